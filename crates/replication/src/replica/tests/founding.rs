use super::*;
use crate::messages::{ChangeRequestId, Record, ReplicationMessage};
use crate::replica::{Input, Output, RecoveredRecords, Replica, Timing};
use crate::view::Voter;
use types::{Address, DiskId, MonotonicInstant};

/// Replicas that write at once and lose no letter but those to and from the `down`.
struct Network {
    replicas: BTreeMap<u16, Replica<Counter>>,
    at: u64,
}

impl Network {
    fn new(founders: &[u16]) -> Self {
        let mut network = Network {
            replicas: BTreeMap::new(),
            at: 10_000,
        };
        founders
            .iter()
            .for_each(|n| network.start(*n, u128::from(*n), founders, vec![]));
        network
    }
    fn start(&mut self, n: u16, disk: u128, known: &[u16], records: Vec<Record>) {
        let me = Voter {
            address: Address::loopback(n),
            disk: DiskId(disk),
        };
        let known = known.iter().map(|n| Address::loopback(*n)).collect();
        let now = MonotonicInstant(self.at);
        let replica = Replica::new(
            me,
            known,
            Timing::default(),
            RecoveredRecords { records },
            Counter(0),
            now,
        )
        .unwrap();
        self.replicas.insert(n, replica);
    }
    /// Plays this long; gives the records that each wrote.
    fn run(&mut self, span: u64) -> BTreeMap<u16, Vec<Record>> {
        let mut written: BTreeMap<u16, Vec<Record>> = BTreeMap::new();
        for _ in 0..span / 25 {
            self.at += 25;
            let mut inputs: VecDeque<(u16, Input)> =
                self.replicas.keys().map(|n| (*n, Input::Tick)).collect();
            while let Some((n, input)) = inputs.pop_front() {
                let Some(replica) = self.replicas.get_mut(&n) else {
                    continue;
                };
                for output in replica.step(MonotonicInstant(self.at), input) {
                    match output {
                        Output::Send { to, message } => {
                            inputs.push_back((
                                to.0.port(),
                                Input::Message {
                                    from: Address::loopback(n),
                                    message,
                                },
                            ));
                        }
                        Output::Write { id, records, .. } => {
                            written.entry(n).or_default().extend(records);
                            inputs.push_back((n, Input::Written { id }));
                        }
                        _ => {}
                    }
                }
            }
        }
        written
    }
    fn chain(&self) -> Vec<(u16, u128)> {
        let newest = self
            .replicas
            .values()
            .map(Replica::view)
            .max_by_key(|view| view.epoch)
            .unwrap();
        newest
            .chain
            .iter()
            .map(|position| (position.voter.address.0.port(), position.voter.disk.0))
            .collect()
    }
}

#[test]
fn any_majority_of_founders_founds_and_a_wiped_one_joins_later() {
    for lost in 1..=3 {
        let mut network = Network::new(&[1, 2, 3]);
        network.replicas.remove(&lost);
        network.run(1000);
        // Back with an empty disk, and not told that it is a founder.
        let others: Vec<u16> = (1..=3).filter(|n| *n != lost).collect();
        network.start(lost, 77, &others, vec![]);
        network.run(6000);
        let mut chain = network.chain();
        chain.sort_unstable();
        let wanted = (1..=3u16)
            .map(|n| (n, if n == lost { 77 } else { u128::from(n) }))
            .collect::<Vec<_>>();
        assert_eq!(chain, wanted, "without {lost}");
    }
}

#[test]
fn wiped_replicas_found_nothing_without_a_majority() {
    let mut network = Network::new(&[1, 2, 3]);
    network.start(1, 71, &[2, 3], vec![]);
    network.start(2, 72, &[1, 3], vec![]);
    network.run(8000);
    assert_eq!(network.chain(), []);
}

#[test]
fn a_founders_disk_outweighs_later_settings() {
    let mut network = Network::new(&[1, 2, 3]);
    network.replicas.remove(&3);
    let written = network.run(25);
    assert_eq!(network.chain(), []);
    network.replicas.clear();
    network.start(1, 1, &[2, 3], written[&1].clone());
    network.start(2, 2, &[1, 3], written[&2].clone());
    network.run(3000);
    assert_eq!(network.chain(), [(1, 1), (2, 2)]);
}

#[test]
fn what_a_shrunk_chain_has_on_too_few_disks_is_not_committed() {
    let mut head = replica(
        1,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    let request_id = ChangeRequestId {
        origin: Address::loopback(1),
        number: 1,
    };
    let propose = ReplicationMessage::Propose {
        request_id,
        body: vec![1],
    };
    let outputs = head.step(
        MonotonicInstant(10_100),
        Input::Message {
            from: Address::loopback(1),
            message: propose.clone(),
        },
    );
    let id = outputs.iter().find_map(|output| match output {
        Output::Write { id, .. } => Some(*id),
        _ => None,
    });
    deliver(
        &mut head,
        10_150,
        2,
        ReplicationMessage::Decided {
            view: view(2, &[(1, true)]),
        },
    );
    let outputs = head.step(
        MonotonicInstant(10_200),
        Input::Written {
            id: id.expect("a write"),
        },
    );
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::Committed { .. })),
        "{outputs:?}"
    );
    let outputs = head.step(
        MonotonicInstant(10_300),
        Input::Message {
            from: Address::loopback(1),
            message: propose,
        },
    );
    assert!(
        !outputs
            .iter()
            .any(|output| matches!(output, Output::Write { .. })),
        "{outputs:?}"
    );
}
