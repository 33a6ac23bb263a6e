//! A replicated register with a singleton role that is claimed: three replicas in one process,
//! messages carried by a queue, disks that are vectors. Run it with `cargo run -p replication
//! --example register`.
//!
//! An embedder does the same with its own network, disks and clock:
//! feed [`Replica::step`], do what it returns.

use replication::{
    Input, Output, Preview, Record, RecoveredRecords, Replica, ReplicationMessage, StateMachine,
    Timing, Voter,
};
use std::collections::VecDeque;
use types::{Address, DiskId, Milliseconds, MonotonicInstant};

/// A value, and who holds the singleton role.
#[derive(Debug, Clone, Default, PartialEq)]
struct Register {
    value: String,
    holder: String,
}

/// `set WORD`, `claim NAME` (won by the first while the role is vacant), `vacate NAME`.
impl StateMachine for Register {
    fn preview(&self, body: &[u8]) -> Preview {
        match String::from_utf8_lossy(body).split_once(' ') {
            Some(("set" | "claim" | "vacate", _)) => Preview::Admit,
            _ => Preview::Reject(b"set, claim or vacate".to_vec()),
        }
    }
    fn apply(&mut self, body: &[u8]) -> Vec<u8> {
        let text = String::from_utf8_lossy(body).into_owned();
        match text.split_once(' ') {
            Some(("set", value)) => self.value = value.into(),
            Some(("claim", name)) if self.holder.is_empty() => self.holder = name.into(),
            Some(("vacate", name)) if self.holder == name => self.holder.clear(),
            _ => {}
        }
        format!("word {}, duty held by {}", self.value, self.holder).into_bytes()
    }
    fn snapshot(&self) -> Vec<u8> {
        format!("{}\n{}", self.value, self.holder).into_bytes()
    }
    fn restore(snapshot: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(snapshot).ok()?;
        let (value, holder) = text.split_once('\n')?;
        Some(Register {
            value: value.into(),
            holder: holder.into(),
        })
    }
}

/// Three machines and what lies between them.
struct Zone {
    now: MonotonicInstant,
    replicas: Vec<Option<Replica<Register>>>,
    disks: Vec<Vec<Record>>,
    messages: VecDeque<(Address, Address, ReplicationMessage)>,
    responses: Vec<String>,
    proposals: u64,
}

fn voter(place: usize) -> Voter {
    Voter {
        address: Address::loopback(7001 + place as u16),
        disk: DiskId(place as u128 + 1),
    }
}

impl Zone {
    fn new() -> Zone {
        let mut zone = Zone {
            now: MonotonicInstant(1_000),
            replicas: vec![],
            disks: vec![vec![]; 3],
            messages: VecDeque::new(),
            responses: vec![],
            proposals: 0,
        };
        zone.replicas = (0..3).map(|place| Some(zone.open(place))).collect();
        zone
    }
    fn open(&self, place: usize) -> Replica<Register> {
        let founders = (0..3).map(|n| voter(n).address).collect();
        let recovered = RecoveredRecords {
            records: self.disks[place].clone(),
        };
        let made = Replica::new(
            voter(place),
            founders,
            Timing::default(),
            recovered,
            Register::default(),
            self.now,
        );
        made.expect("what the disk holds can be used")
    }
    /// Gives one replica an input and carries out its outputs.
    fn step(&mut self, place: usize, input: Input) {
        let Some(replica) = &mut self.replicas[place] else {
            return;
        };
        for output in replica.step(self.now, input) {
            self.act(place, output);
        }
    }
    fn act(&mut self, place: usize, output: Output) {
        match output {
            Output::Send { to, message } => {
                self.messages.push_back((voter(place).address, to, message));
            }
            Output::Write {
                id,
                records,
                replaces_all,
            } => {
                if replaces_all {
                    self.disks[place].clear();
                }
                self.disks[place].extend(records);
                self.step(place, Input::Written { id });
            }
            Output::Response { is_final, body, .. } => {
                let text = String::from_utf8_lossy(&body).into_owned();
                self.responses.push(if is_final {
                    text
                } else {
                    "the core could not take it".into()
                });
            }
            Output::Committed { request_id, body }
            | Output::ChangeRejected { request_id, body } => {
                let response = self.replicas[place]
                    .as_mut()
                    .and_then(|replica| replica.respond(self.now, request_id, body));
                response
                    .into_iter()
                    .for_each(|output| self.act(place, output));
            }
            Output::ViewChanged(view) => {
                let chain: Vec<String> = view
                    .chain
                    .iter()
                    .map(|position| position.voter.address.to_string())
                    .collect();
                println!(
                    "{}: view {}, chain {}",
                    voter(place).address,
                    view.epoch,
                    chain.join(" > ")
                );
            }
        }
    }
    /// Lets time pass and delivers all messages.
    fn pass(&mut self, span: Milliseconds) {
        let deadline = self.now + span;
        while self.now < deadline {
            self.now = self.now + Milliseconds(20);
            (0..3).for_each(|place| self.step(place, Input::Tick));
            while let Some((from, to, message)) = self.messages.pop_front() {
                if let Some(place) = (0..3).find(|place| voter(*place).address == to) {
                    self.step(place, Input::Message { from, message });
                }
            }
        }
    }
    /// Proposes something at one machine and gives the response.
    fn propose(&mut self, place: usize, what: &str) -> String {
        self.responses.clear();
        self.proposals += 1;
        self.step(
            place,
            Input::Propose {
                number: self.proposals,
                body: what.as_bytes().to_vec(),
            },
        );
        self.pass(Milliseconds(200));
        let response = self.responses.pop().unwrap_or_else(|| "no response".into());
        println!("{what:>12} -> {response}");
        response
    }
}

fn main() {
    let mut zone = Zone::new();
    zone.pass(Milliseconds(2_000));
    assert_eq!(zone.propose(0, "set hello"), "word hello, duty held by ");
    assert_eq!(zone.propose(1, "claim ada"), "word hello, duty held by ada");
    assert_eq!(
        zone.propose(2, "claim ben"),
        "word hello, duty held by ada",
        "it was won already"
    );
    println!("the tail is lost");
    let tail = (0..3).find(|place| {
        zone.replicas[*place]
            .as_ref()
            .is_some_and(|f| f.may_respond(zone.now))
    });
    let tail = tail.expect("there is a tail");
    zone.replicas[tail] = None;
    zone.pass(Milliseconds(4_000));
    let other = (tail + 1) % 3;
    assert_eq!(
        zone.propose(other, "vacate ada"),
        "word hello, duty held by "
    );
    assert_eq!(
        zone.propose(other, "claim ben"),
        "word hello, duty held by ben"
    );
    println!("it comes back, and takes what it missed");
    zone.replicas[tail] = Some(zone.open(tail));
    zone.pass(Milliseconds(4_000));
    assert_eq!(
        zone.replicas[tail]
            .as_ref()
            .map(|f| f.state_machine().holder.clone()),
        Some("ben".into())
    );
    assert_eq!(
        zone.propose(tail, "set done"),
        "word done, duty held by ben"
    );
}
