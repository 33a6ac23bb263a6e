use super::*;
use crate::messages::{
    Change, ChangeRequestId, ProposalNumber, Record, ReplicationMessage, ViewProposal,
};
use crate::replica::{Input, Output, RecoveredRecords, RecoveryError, Replica, Timing};
use crate::state_machine::{Preview, StateMachine};
use crate::view::{ChainPosition, View, Voter};
use types::{Address, DiskId, MonotonicInstant, SequenceNumber, ViewNumber};

/// Counts the bodies that it applied.
#[derive(Debug, Clone, PartialEq)]
struct Counter(u64);

impl StateMachine for Counter {
    fn preview(&self, _: &[u8]) -> Preview {
        Preview::Admit
    }
    fn apply(&mut self, _: &[u8]) -> Vec<u8> {
        self.0 += 1;
        self.0.to_be_bytes().to_vec()
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.to_be_bytes().to_vec()
    }
    fn restore(snapshot: &[u8]) -> Option<Self> {
        snapshot
            .try_into()
            .ok()
            .map(|bytes| Counter(u64::from_be_bytes(bytes)))
    }
}

fn voter(n: u16) -> Voter {
    Voter {
        address: Address::loopback(n),
        disk: DiskId(u128::from(n)),
    }
}

fn view(epoch: u64, chain: &[(u16, bool)]) -> View {
    View {
        epoch: ViewNumber(epoch),
        chain: chain
            .iter()
            .map(|(n, is_caught_up)| ChainPosition {
                voter: voter(*n),
                is_caught_up: *is_caught_up,
            })
            .collect(),
        voters: (1..=3).map(voter).collect(),
        reserve: vec![],
    }
}

fn change(seq: u64, origin_view: u64) -> Change {
    let request_id = ChangeRequestId {
        origin: Address::loopback(1),
        number: seq,
    };
    Change {
        seq: SequenceNumber(seq),
        origin_view: ViewNumber(origin_view),
        request_id,
        body: vec![1],
    }
}

fn replica(n: u16, records: Vec<Record>) -> Replica<Counter> {
    let founders = (1..=3).map(Address::loopback).collect();
    Replica::new(
        voter(n),
        founders,
        Timing::default(),
        RecoveredRecords { records },
        Counter(0),
        MonotonicInstant(10_000),
    )
    .unwrap()
}

/// The beat of a level member of view 1 that holds no change.
fn heartbeat(n: u16) -> ReplicationMessage {
    ReplicationMessage::Heartbeat {
        disk: voter(n).disk,
        view: ViewNumber(1),
        last: SequenceNumber(0),
        origin_view: ViewNumber(0),
        commit_index: SequenceNumber(0),
        is_caught_up: true,
        is_healthy: true,
        has_member_majority: true,
    }
}

/// Has the replica take a note and all its writes synced; gives what it sends.
fn deliver(
    replica: &mut Replica<Counter>,
    at: u64,
    from: u16,
    message: ReplicationMessage,
) -> Vec<(u16, ReplicationMessage)> {
    step_synced(
        replica,
        at,
        Input::Message {
            from: Address::loopback(from),
            message,
        },
    )
}

/// Has the replica take an input and all its writes synced; gives what it sends.
fn step_synced(
    replica: &mut Replica<Counter>,
    at: u64,
    input: Input,
) -> Vec<(u16, ReplicationMessage)> {
    let mut outputs = replica.step(MonotonicInstant(at), input);
    let mut sent = vec![];
    while !outputs.is_empty() {
        let mut more = vec![];
        for output in outputs {
            match output {
                Output::Write { id, .. } => {
                    more.extend(replica.step(MonotonicInstant(at), Input::Written { id }));
                }
                Output::Send { to, message } => sent.push((to.0.port(), message)),
                _ => {}
            }
        }
        outputs = more;
    }
    sent
}

fn grant_all(replica: &mut Replica<Counter>, at: u64) -> bool {
    let requests: Vec<ReplicationMessage> = replica
        .step(MonotonicInstant(at), Input::Tick)
        .into_iter()
        .filter_map(|output| match output {
            Output::Send {
                message: message @ ReplicationMessage::LeaseRequest { .. },
                ..
            } => Some(message),
            _ => None,
        })
        .collect();
    for ask in requests {
        let ReplicationMessage::LeaseRequest {
            view,
            request_number,
        } = ask
        else {
            continue;
        };
        for n in 1..=3 {
            deliver(
                replica,
                at,
                n,
                ReplicationMessage::LeaseGrant {
                    view,
                    request_number,
                    disk: DiskId(u128::from(n)),
                },
            );
        }
    }
    replica.may_respond(MonotonicInstant(at))
}

#[test]
fn a_member_left_out_of_a_view_is_not_caught_up_in_a_later_one() {
    let mut records = vec![Record::View {
        view: view(1, &[(1, true), (2, true), (3, true)]),
    }];
    records.push(Record::Change {
        change: change(1, 1),
    });
    let mut tail = replica(3, records);
    // View 2 went on without 3; view 3 admits it again at the end.
    deliver(
        &mut tail,
        10_100,
        2,
        ReplicationMessage::Decided {
            view: view(3, &[(1, true), (2, true), (3, false)]),
        },
    );
    assert!(
        !grant_all(&mut tail, 10_200),
        "it responds, and lacks what view 2 replied to"
    );
    deliver(
        &mut tail,
        10_300,
        2,
        ReplicationMessage::CatchUpTarget {
            view: ViewNumber(3),
            last: SequenceNumber(2),
        },
    );
    assert!(!grant_all(&mut tail, 10_500));
    deliver(
        &mut tail,
        10_600,
        2,
        ReplicationMessage::Forward {
            view: ViewNumber(3),
            change: change(2, 2),
        },
    );
    deliver(
        &mut tail,
        10_700,
        2,
        ReplicationMessage::CatchUpTarget {
            view: ViewNumber(3),
            last: SequenceNumber(2),
        },
    );
    assert!(grant_all(&mut tail, 11_000));
}

#[test]
fn a_voter_honours_its_lease_grant_across_a_restart() {
    let records = vec![Record::View {
        view: view(1, &[(1, true), (2, true), (3, true)]),
    }];
    let mut voter = replica(1, records);
    let proposal_number = ProposalNumber {
        count: 9,
        proposer: 2,
    };
    let without_tail = ViewProposal {
        proposal_number,
        view: view(2, &[(1, true), (2, true)]),
    };
    let with_tail = ViewProposal {
        proposal_number,
        view: view(2, &[(1, true), (3, true)]),
    };
    let accepts = |replica: &mut Replica<Counter>, at: u64, from: u16, proposal: &ViewProposal| {
        let sent = deliver(
            replica,
            at,
            from,
            ReplicationMessage::Accept {
                proposal: proposal.clone(),
            },
        );
        sent.iter()
            .any(|(_, message)| matches!(message, ReplicationMessage::Accepted { .. }))
    };
    assert!(
        !accepts(&mut voter, 10_500, 2, &without_tail),
        "it may have given its word before it restarted"
    );
    assert!(
        accepts(&mut voter, 10_500, 2, &with_tail),
        "the tail stays: nothing to wait for"
    );
    let mut voter = replica(
        1,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    deliver(
        &mut voter,
        12_000,
        3,
        ReplicationMessage::LeaseRequest {
            view: ViewNumber(1),
            request_number: 1,
        },
    );
    assert!(
        !accepts(&mut voter, 12_900, 2, &without_tail),
        "its word of 12000 holds until 13000"
    );
    let sent = deliver(
        &mut voter,
        12_950,
        3,
        ReplicationMessage::LeaseRequest {
            view: ViewNumber(1),
            request_number: 2,
        },
    );
    assert_eq!(sent, vec![], "while a view waits, no new word is given");
    assert!(accepts(&mut voter, 13_000, 2, &without_tail));
}

#[test]
fn nothing_is_sent_before_it_is_synced() {
    let chain = [(1, true), (2, true), (3, true)];
    let mut middle = replica(
        2,
        vec![Record::View {
            view: view(1, &chain),
        }],
    );
    let pass = ReplicationMessage::Forward {
        view: ViewNumber(1),
        change: change(1, 1),
    };
    let outputs = middle.step(
        MonotonicInstant(10_100),
        Input::Message {
            from: Address::loopback(1),
            message: pass,
        },
    );
    let [Output::Write { id, .. }] = outputs.as_slice() else {
        panic!("{outputs:?}")
    };
    let outputs = middle.step(MonotonicInstant(10_200), Input::Written { id: *id });
    assert!(
        matches!(outputs.as_slice(), [Output::Send { to, message: ReplicationMessage::Forward { .. } }] if to.0.port() == 3)
    );
    let prepare = ReplicationMessage::Prepare {
        instance: ViewNumber(2),
        proposal_number: ProposalNumber {
            count: 1,
            proposer: 1,
        },
    };
    let outputs = middle.step(
        MonotonicInstant(10_300),
        Input::Message {
            from: Address::loopback(1),
            message: prepare,
        },
    );
    assert!(
        matches!(outputs.as_slice(), [Output::Write { .. }]),
        "{outputs:?}"
    );
}

#[test]
fn recovery_fails_on_gaps_and_unreadable_snapshots() {
    let gap = vec![
        Record::Change {
            change: change(1, 1),
        },
        Record::Change {
            change: change(3, 1),
        },
    ];
    let bent = vec![Record::Snapshot {
        last: SequenceNumber(5),
        origin_view: ViewNumber(1),
        body: vec![1, 2],
    }];
    for (records, fault) in [
        (gap, RecoveryError::Gap(SequenceNumber(3))),
        (bent, RecoveryError::Snapshot(SequenceNumber(5))),
    ] {
        let made = Replica::new(
            voter(1),
            vec![],
            Timing::default(),
            RecoveredRecords { records },
            Counter(0),
            MonotonicInstant(0),
        );
        assert_eq!(made.err(), Some(fault));
    }
}

#[test]
fn a_follower_far_behind_fetches_the_snapshot_and_then_changes() {
    let chain = [(1, true), (2, true)];
    let mut records = vec![Record::View {
        view: view(1, &chain),
    }];
    records.push(Record::Snapshot {
        last: SequenceNumber(40),
        origin_view: ViewNumber(1),
        body: 40u64.to_be_bytes().to_vec(),
    });
    records.push(Record::Change {
        change: change(41, 1),
    });
    let mut tail = replica(2, records);
    let mut behind = replica(
        3,
        vec![
            Record::View {
                view: view(1, &chain),
            },
            Record::Change {
                change: change(1, 1),
            },
        ],
    );
    let (mut at, mut to_tail) = (10_000, vec![]);
    for _ in 0..40 {
        at += 100;
        let outputs = behind.step(MonotonicInstant(at), Input::Tick);
        to_tail.extend(outputs.into_iter().filter_map(|output| match output {
            Output::Send { to, message } if to.0.port() == 2 => Some(message),
            _ => None,
        }));
        while let Some(message) = to_tail.pop() {
            for (_, message) in deliver(&mut tail, at, 3, message)
                .into_iter()
                .filter(|(to, _)| *to == 3)
            {
                to_tail.extend(
                    deliver(&mut behind, at, 2, message)
                        .into_iter()
                        .filter(|(to, _)| *to == 2)
                        .map(|(_, n)| n),
                );
            }
        }
    }
    assert_eq!(
        (behind.state_machine(), behind.state().last),
        (&Counter(41), SequenceNumber(41))
    );
}

#[test]
fn a_proposal_accepted_by_half_of_the_voters_does_not_block_the_chain() {
    // Two of four back a view with another tail; its proposer is gone, and all four see each other again.
    let all = View {
        voters: (1..=4).map(voter).collect(),
        ..view(1, &[(1, true), (2, true), (3, true), (4, true)])
    };
    let without_the_tail = View {
        voters: all.voters.clone(),
        ..view(2, &[(1, true), (2, true), (3, true)])
    };
    let proposal = ViewProposal {
        proposal_number: ProposalNumber {
            count: 7,
            proposer: 9,
        },
        view: without_the_tail,
    };
    let founders: Vec<Address> = (1..=4).map(Address::loopback).collect();
    let mut replicas: Vec<Replica<Counter>> = (1..=4)
        .map(|n| {
            let mut records = vec![Record::View { view: all.clone() }];
            if n <= 2 {
                records.push(Record::Accepted {
                    proposal: proposal.clone(),
                });
            }
            let start = MonotonicInstant(10_000);
            Replica::new(
                voter(n),
                founders.clone(),
                Timing::default(),
                RecoveredRecords { records },
                Counter(0),
                start,
            )
            .unwrap()
        })
        .collect();
    let mut messages: VecDeque<(Address, Address, ReplicationMessage)> = VecDeque::new();
    for at in (10_000..20_000).step_by(25).map(MonotonicInstant) {
        let mut inputs: Vec<(usize, Input)> = (0..4).map(|place| (place, Input::Tick)).collect();
        while let Some((place, input)) = inputs.pop() {
            let from = founders[place];
            for output in replicas[place].step(at, input) {
                match output {
                    Output::Send { to, message } => messages.push_back((from, to, message)),
                    Output::Write { id, .. } => inputs.push((place, Input::Written { id })),
                    _ => {}
                }
            }
            if inputs.is_empty()
                && let Some((from, to, message)) = messages.pop_front()
            {
                inputs.push((
                    usize::from(to.0.port()) - 1,
                    Input::Message { from, message },
                ));
            }
        }
        if replicas.iter().any(|replica| replica.may_respond(at))
            && replicas[0].view().chain.len() == 4
        {
            return;
        }
    }
    panic!(
        "nobody may respond: {:?}",
        replicas.iter().map(Replica::state).collect::<Vec<_>>()
    );
}

/// A tail counts its lease from when it asked: a grant to an earlier life of its
/// own is older than that.
#[test]
fn a_lease_grant_to_an_earlier_incarnation_is_not_counted() {
    let records = vec![Record::View {
        view: view(1, &[(1, true), (2, true), (3, true)]),
    }];
    let requested = |tail: &mut Replica<Counter>, at: u64| {
        let request_number = |output| match output {
            Output::Send {
                message: ReplicationMessage::LeaseRequest { request_number, .. },
                ..
            } => Some(request_number),
            _ => None,
        };
        tail.step(MonotonicInstant(at), Input::Tick)
            .into_iter()
            .find_map(request_number)
            .expect("it asks")
    };
    let mut tail = replica(3, records.clone());
    let earlier = requested(&mut tail, 10_500);
    let founders = (1..=3).map(Address::loopback).collect();
    let mut tail = Replica::new(
        voter(3),
        founders,
        Timing::default(),
        RecoveredRecords { records },
        Counter(0),
        MonotonicInstant(13_000),
    )
    .unwrap();
    let request_number = requested(&mut tail, 13_500);
    let grant_all = |tail: &mut Replica<Counter>, request_number: u64| {
        for n in 1..=3 {
            deliver(
                tail,
                13_510,
                n,
                ReplicationMessage::LeaseGrant {
                    view: ViewNumber(1),
                    request_number,
                    disk: DiskId(u128::from(n)),
                },
            );
        }
        tail.may_respond(MonotonicInstant(13_510))
    };
    assert!(!grant_all(&mut tail, earlier));
    assert!(grant_all(&mut tail, request_number));
}

/// Replicas on a network of one beat's steps that loses nothing; who is `None` is down.
struct Cluster {
    at: u64,
    founders: Vec<Address>,
    timing: Timing,
    replicas: Vec<Option<Replica<Counter>>>,
    disks: Vec<DiskId>,
    records: Vec<Vec<Record>>,
    /// Nothing comes in here.
    unreachable: Option<u16>,
}

impl Cluster {
    fn new(founders: u16, voters: usize, all: u16) -> Cluster {
        let mut cluster = Cluster {
            at: 10_000,
            founders: (1..=founders).map(Address::loopback).collect(),
            timing: Timing {
                min_chain_length: 3,
                target_voters: voters,
                ..Timing::default()
            },
            replicas: vec![],
            disks: (1..=all).map(|n| DiskId(u128::from(n))).collect(),
            records: vec![vec![]; usize::from(all)],
            unreachable: None,
        };
        cluster.replicas.resize_with(usize::from(all), || None);
        (1..=all).for_each(|n| cluster.start(n));
        cluster
    }
    fn start(&mut self, n: u16) {
        let place = usize::from(n) - 1;
        let me = Voter {
            address: Address::loopback(n),
            disk: self.disks[place],
        };
        let kept = RecoveredRecords {
            records: self.records[place].clone(),
        };
        let replica = Replica::new(
            me,
            self.founders.clone(),
            self.timing,
            kept,
            Counter(0),
            MonotonicInstant(self.at),
        );
        self.replicas[place] = Some(replica.unwrap());
    }
    fn stop(&mut self, n: u16) {
        self.replicas[usize::from(n) - 1] = None;
    }
    fn wipe(&mut self, n: u16) {
        self.stop(n);
        let place = usize::from(n) - 1;
        self.disks[place] = DiskId(self.disks[place].0 + 100);
        self.records[place].clear();
    }
    /// Plays for so long; gives the last response to a proposal made here at
    /// the start, if any came.
    fn play(&mut self, span: u64, proposer: Option<(u16, u64)>) -> Option<bool> {
        let mut inputs: VecDeque<(usize, Input)> = VecDeque::new();
        if let Some((n, number)) = proposer {
            inputs.push_back((
                usize::from(n) - 1,
                Input::Propose {
                    number,
                    body: vec![1],
                },
            ));
        }
        let mut last_response = None;
        let deadline = self.at + span;
        while self.at < deadline {
            self.at += 25;
            let at = MonotonicInstant(self.at);
            inputs.extend((0..self.replicas.len()).map(|place| (place, Input::Tick)));
            while let Some((place, input)) = inputs.pop_front() {
                let Some(replica) = &mut self.replicas[place] else {
                    continue;
                };
                let mut outputs = replica.step(at, input);
                outputs.reverse();
                while let Some(output) = outputs.pop() {
                    match output {
                        Output::Send { to, message } => {
                            let from = Address::loopback(place as u16 + 1);
                            if self.unreachable == Some(to.0.port()) {
                                continue;
                            }
                            inputs.push_back((
                                usize::from(to.0.port()) - 1,
                                Input::Message { from, message },
                            ));
                        }
                        Output::Write {
                            id,
                            records,
                            replaces_all,
                        } => {
                            if replaces_all {
                                self.records[place].clear();
                            }
                            self.records[place].extend(records);
                            inputs.push_back((place, Input::Written { id }));
                        }
                        Output::Committed { request_id, body }
                        | Output::ChangeRejected { request_id, body } => {
                            outputs.extend(replica.respond(at, request_id, body));
                        }
                        Output::Response { is_final, .. } => last_response = Some(is_final),
                        Output::ViewChanged(_) => {}
                    }
                }
            }
        }
        last_response
    }
    /// Where a replica may respond: who votes and who sits in the chain there,
    /// and how many changes it holds.
    fn cluster(&self) -> Option<(Vec<u16>, Vec<u16>, u64)> {
        let may_respond =
            |replica: &&Replica<Counter>| replica.may_respond(MonotonicInstant(self.at));
        let tail = self.replicas.iter().flatten().find(may_respond)?;
        let sorted = |voters: &mut dyn Iterator<Item = Address>| {
            let mut ports: Vec<u16> = voters.map(|address| address.0.port()).collect();
            ports.sort();
            ports
        };
        let voters = sorted(&mut tail.view().voters.iter().map(|v| v.address));
        let chain = sorted(&mut tail.view().chain.iter().map(|s| s.voter.address));
        Some((voters, chain, tail.state_machine().0))
    }
}

#[test]
fn founders_grow_to_the_target_number_of_voters_and_no_further() {
    let mut cluster = Cluster::new(3, 5, 6);
    cluster.play(4000, None);
    let (voters, chain, _) = cluster.cluster().expect("it responds");
    assert_eq!((voters.len(), &voters), (5, &chain), "{voters:?}");
    assert_eq!(voters[..3], [1, 2, 3]);
    assert_eq!(
        cluster.play(1000, Some((6, 1))),
        Some(true),
        "whoever is no voter proposes all the same"
    );
    let mut cluster = Cluster::new(3, 3, 5);
    cluster.play(4000, None);
    assert_eq!(
        cluster.cluster().map(|(voters, ..)| voters),
        Some(vec![1, 2, 3])
    );
}

/// What three voters can't bear: of the three disks that hold a change, two come back empty.
#[test]
fn two_of_five_disks_wiped_at_once_lose_no_change() {
    for pair in [(1, 2), (2, 3), (1, 3), (4, 5), (1, 5)] {
        let mut cluster = Cluster::new(3, 5, 5);
        cluster.play(4000, None);
        assert_eq!(cluster.play(1000, Some((1, 1))), Some(true));
        cluster.wipe(pair.0);
        cluster.wipe(pair.1);
        cluster.play(600, None);
        cluster.start(pair.0);
        cluster.start(pair.1);
        cluster.play(8000, None);
        let (voters, chain, change_count) = cluster.cluster().expect("it responds");
        assert_eq!(
            (voters.len(), chain.len(), change_count),
            (5, 5, 1),
            "{pair:?}: {voters:?} {chain:?}"
        );
        assert_eq!(cluster.play(1000, Some((2, 2))), Some(true), "{pair:?}");
    }
}

#[test]
fn two_of_five_lost_members_are_replaced_by_two_at_other_addresses() {
    let mut cluster = Cluster::new(3, 5, 7);
    cluster.stop(6);
    cluster.stop(7);
    cluster.play(4000, None);
    cluster.stop(1);
    cluster.stop(4);
    cluster.play(3000, None);
    assert_eq!(
        cluster
            .cluster()
            .map(|(voters, chain, _)| (voters.len(), chain)),
        Some((5, vec![2, 3, 5]))
    );
    assert_eq!(cluster.play(1000, Some((2, 1))), Some(true));
    cluster.start(6);
    cluster.start(7);
    cluster.play(8000, None);
    assert_eq!(
        cluster.cluster().map(|(voters, ..)| voters),
        Some(vec![2, 3, 5, 6, 7])
    );
}

/// Power lost by all, with two disks, while the newest voters held the newest change.
#[test]
fn a_grown_chain_recovers_from_a_power_loss_of_all() {
    let mut cluster = Cluster::new(3, 5, 6);
    cluster.play(4000, None);
    assert_eq!(cluster.play(1000, Some((1, 1))), Some(true));
    (1..=6).for_each(|n| cluster.stop(n));
    cluster.wipe(2);
    cluster.wipe(4);
    cluster.play(600, None);
    (1..=6).for_each(|n| cluster.start(n));
    cluster.play(8000, None);
    let (voters, chain, change_count) = cluster.cluster().expect("it responds");
    assert_eq!(
        (voters.len(), chain.len(), change_count),
        (5, 5, 1),
        "{voters:?} {chain:?}"
    );
}

mod draining;
mod founding;
mod isolation;
mod member_majority;
mod overlapping_losses;
mod proposals;
mod rate_limit;
mod recovery;

/// Who hears only itself can neither read nor propose, and says so to whoever asks it.
#[test]
fn a_replica_without_a_reachable_majority_does_not_serve() {
    let records = vec![Record::View {
        view: view(1, &[(1, true), (2, true), (3, true)]),
    }];
    let mut alone = replica(1, records);
    assert!(
        alone.is_serving(MonotonicInstant(10_700)),
        "it has just begun"
    );
    assert!(!alone.is_serving(MonotonicInstant(10_800)));
    deliver(&mut alone, 11_000, 3, heartbeat(3));
    assert!(
        alone.is_serving(MonotonicInstant(11_700)),
        "it and another are two of three"
    );
    assert!(!alone.is_serving(MonotonicInstant(11_800)));
    alone.step(MonotonicInstant(20_000), Input::Tick);
    assert!(
        alone.has_reachable_majority(MonotonicInstant(20_700)),
        "it slept, and nobody could be heard meanwhile"
    );
    assert!(!alone.has_reachable_majority(MonotonicInstant(20_800)));
}
