//! Three control machines on virtual time: lines that can be held or cut, disks that lose what is not
//! synced, machines that are killed or wiped.

#![allow(dead_code)] // Each test file uses its part.

use config::ConfigStateMachine;
use controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming, PeerDiscovery};
use replication::{
    ChainPosition, Preview, Record, RecoveredRecords, Replica, ReplicationMessage, StateMachine,
    View, Voter,
};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, DiskId, MonotonicInstant, TokenKey, ViewNumber};
use wire::Message;

/// The time between two clock events, in virtual milliseconds.
const TICK: u64 = 25;
/// A run that takes more steps than this without coming to rest is taken for an endless loop.
const STEPS_AT_MOST: usize = 200_000;

/// How a connection between two machines carries messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Carriage {
    /// Messages arrive at once, in order.
    Open,
    /// Messages are queued in order until the connection is open again, as TCP does over a short loss.
    Held,
    /// Messages are lost.
    Cut,
}

/// A deliberate fault in the system, put in from outside, to show that a test sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// Evacuations enter whatever was acknowledged since they came.
    BlindEvacuations,
    /// The head refuses out of its own state.
    HeadRefuses,
    /// A document with faults is refused whatever its fate is.
    AnyFateRefuses,
}

struct Machine {
    disk: DiskId,
    durable: Vec<Record>,
    unsynced: VecDeque<(u64, Vec<Record>, bool)>,
    controller: Option<Controller>,
    incarnations: u64,
}

/// The control machines and what is between them.
pub(crate) struct Core {
    /// The virtual time in milliseconds.
    pub now: u64,
    /// Responses to operators' requests, by the requests' numbers.
    pub answers: BTreeMap<u64, (u16, Vec<u8>)>,
    machines: Vec<Machine>,
    lines: BTreeMap<(usize, usize), (Carriage, VecDeque<Message>)>,
    /// How many of a hundred responses of the tail to other machines' queries are lost.
    pub lost_answers: u64,
    mutant: Option<Mutant>,
    random: u64,
}

fn address(machine: usize) -> Address {
    Address::loopback(machine as u16 + 1)
}

fn mix(seed: u64) -> u64 {
    let seed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let seed = (seed ^ (seed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    seed ^ (seed >> 31)
}

impl Core {
    /// Three machines that form a chain from the first to the last and serve already.
    pub(crate) fn new(seed: u64, mutant: Option<Mutant>) -> Core {
        let voter = |n: usize| Voter {
            address: address(n),
            disk: DiskId(n as u128 + 1),
        };
        let chain = (0..3)
            .map(|n| ChainPosition {
                voter: voter(n),
                is_caught_up: true,
            })
            .collect();
        let view = View {
            epoch: ViewNumber(1),
            chain,
            voters: (0..3).map(voter).collect(),
            reserve: vec![],
        };
        let machine = |n: usize| Machine {
            disk: voter(n).disk,
            durable: vec![Record::View { view: view.clone() }],
            unsynced: VecDeque::new(),
            controller: None,
            incarnations: 0,
        };
        let mut core = Core {
            now: 10_000,
            answers: BTreeMap::new(),
            machines: (0..3).map(machine).collect(),
            lines: BTreeMap::new(),
            lost_answers: 0,
            mutant,
            random: mix(seed.wrapping_add(1)),
        };
        (0..3).for_each(|n| core.start(n));
        core.run(3000);
        assert!(
            core.tail().is_some(),
            "a core without faults serves after three seconds"
        );
        core
    }

    /// A number below the bound.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random) % bound.max(1)
    }
    /// So many times in a hundred.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    /// Whether it runs.
    pub(crate) fn is_up(&self, machine: usize) -> bool {
        self.machines[machine].controller.is_some()
    }
    /// The machine that may answer for the core now.
    pub(crate) fn tail(&self) -> Option<usize> {
        let may_respond =
            |controller: &Controller| controller.replica().may_respond(MonotonicInstant(self.now));
        (0..3).find(|n| {
            self.machines[*n]
                .controller
                .as_ref()
                .is_some_and(may_respond)
        })
    }
    /// The first of the chain, as the tail knows it.
    pub(crate) fn head(&self) -> Option<usize> {
        let controller = self.machines[self.tail()?].controller.as_ref()?;
        controller
            .replica()
            .view()
            .head()
            .map(|head| usize::from(head.address.0.port()) - 1)
    }
    /// What a machine's disk came to.
    pub(crate) fn config_state(&self, machine: usize) -> Option<&ConfigStateMachine> {
        self.machines[machine]
            .controller
            .as_ref()
            .map(|controller| controller.replica().state_machine())
    }
    /// What was accepted, as the tail has it.
    pub(crate) fn accepted(&self) -> Option<&ConfigStateMachine> {
        self.config_state(self.tail()?)
    }

    /// Starts a machine from what its disk holds.
    pub(crate) fn start(&mut self, machine: usize) {
        let now = MonotonicInstant(self.now);
        let timing = ControllerTiming::default();
        let founders = (0..3).map(address).collect();
        let m = &mut self.machines[machine];
        if m.controller.is_some() {
            return;
        }
        m.incarnations += 1;
        let incarnation = mix((machine as u64) << 32 | m.incarnations) | 1;
        let me = Voter {
            address: address(machine),
            disk: m.disk,
        };
        let recovered = RecoveredRecords {
            records: m.durable.clone(),
        };
        let replica = Replica::new(
            me,
            founders,
            timing.replica,
            recovered,
            ConfigStateMachine::default(),
            now,
        )
        .expect("a sound disk");
        let contacts = PeerDiscovery::new(me.address, None, vec![], now);
        m.controller = Some(Controller::new(
            replica,
            contacts,
            timing,
            TokenKey([machine as u8; 32]),
            incarnation,
            now,
        ));
    }
    /// Ends it; what was not synced is lost, and so is what is on its way to it.
    pub(crate) fn kill(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        m.controller = None;
        m.unsynced.clear();
        self.lines
            .iter_mut()
            .filter(|((_, to), _)| *to == machine)
            .for_each(|(_, (_, messages))| messages.clear());
    }
    /// Ends it and gives it an empty disk.
    pub(crate) fn wipe(&mut self, machine: usize) {
        self.kill(machine);
        let m = &mut self.machines[machine];
        m.disk = DiskId(m.disk.0 + 1000);
        m.durable.clear();
    }
    /// Sets how the line from one to another carries.
    pub(crate) fn set_line(&mut self, from: usize, to: usize, carriage: Carriage) {
        let line = self
            .lines
            .entry((from, to))
            .or_insert((Carriage::Open, VecDeque::new()));
        line.0 = carriage;
        if carriage == Carriage::Cut {
            line.1.clear();
        }
    }
    /// The same for all lines from and to a machine.
    pub(crate) fn set_lines_of(&mut self, machine: usize, carriage: Carriage) {
        for other in (0..3).filter(|other| *other != machine) {
            self.set_line(machine, other, carriage);
            self.set_line(other, machine, carriage);
        }
    }

    /// Gives a machine an input; its effects happen in [`Core::advance`] and [`Core::run`].
    pub(crate) fn step(&mut self, machine: usize, input: ControllerInput) {
        let now = MonotonicInstant(self.now);
        let Some(controller) = &mut self.machines[machine].controller else {
            return;
        };
        for output in controller.step(now, input) {
            match output {
                ControllerOutput::Send { to, message, .. } => {
                    self.send(machine, usize::from(to.0.port()) - 1, message);
                }
                ControllerOutput::Write {
                    id,
                    records,
                    replaces_all,
                } => {
                    self.machines[machine]
                        .unsynced
                        .push_back((id, records, replaces_all));
                }
                ControllerOutput::Response {
                    number,
                    status,
                    body,
                } => {
                    self.answers.insert(number, (status, body));
                }
                ControllerOutput::ViewChanged(_) | ControllerOutput::ZoneChangeProposed { .. } => {}
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if matches!(message, Message::QueryResponse { .. }) && self.chance(self.lost_answers) {
            return;
        }
        let (to, message) = self.tamper(from, to, message);
        let (carriage, messages) = self
            .lines
            .entry((from, to))
            .or_insert((Carriage::Open, VecDeque::new()));
        if *carriage != Carriage::Cut {
            messages.push_back(message);
        }
    }

    /// The receiver and the message, as a mutant changes them.
    fn tamper(&self, from: usize, to: usize, message: Message) -> (usize, Message) {
        match message {
            // The newest epoch, in answer to a zone's change: it looks younger than anything.
            Message::QueryResponse {
                number,
                status: 200,
                body,
            } if self.mutant == Some(Mutant::BlindEvacuations) && body.len() == 8 => (
                to,
                Message::QueryResponse {
                    number,
                    status: 200,
                    body: u64::MAX.to_be_bytes().to_vec(),
                },
            ),
            Message::Replication { message } if self.mutant == Some(Mutant::HeadRefuses) => {
                match *message {
                    ReplicationMessage::ConfirmRejection {
                        request_id, body, ..
                    } => {
                        let judged = self
                            .config_state(from)
                            .map(|config_state| config_state.preview(&body));
                        let Some(Preview::Reject(body)) = judged else {
                            unreachable!("the head would not take it")
                        };
                        let message = ReplicationMessage::Response {
                            number: request_id.number,
                            is_final: true,
                            body,
                        };
                        (
                            usize::from(request_id.origin.0.port()) - 1,
                            Message::Replication {
                                message: Box::new(message),
                            },
                        )
                    }
                    message => (
                        to,
                        Message::Replication {
                            message: Box::new(message),
                        },
                    ),
                }
            }
            message => (to, message),
        }
    }

    /// Does one thing that can happen now, drawn at random: a message arrives or a disk syncs.
    pub(crate) fn advance(&mut self) -> bool {
        let is_moving =
            |line: &(Carriage, VecDeque<Message>)| line.0 == Carriage::Open && !line.1.is_empty();
        let lines = self
            .lines
            .iter()
            .filter(|(_, line)| is_moving(line))
            .map(|(ends, _)| *ends);
        let lines: Vec<(usize, usize)> = lines.collect();
        let disks: Vec<usize> = (0..3)
            .filter(|n| !self.machines[*n].unsynced.is_empty())
            .collect();
        let choices = lines.len() + disks.len();
        if choices == 0 {
            return false;
        }
        let choice = self.below(choices as u64) as usize;
        match lines.get(choice) {
            Some((from, to)) => {
                let message = self
                    .lines
                    .get_mut(&(*from, *to))
                    .and_then(|line| line.1.pop_front());
                let message = message.expect("it was not empty");
                self.step(
                    *to,
                    ControllerInput::Message {
                        from: address(*from),
                        message,
                    },
                );
            }
            None => self.sync(disks[choice - lines.len()]),
        }
        true
    }

    fn sync(&mut self, machine: usize) {
        let m = &mut self.machines[machine];
        let Some((id, records, replaces_all)) = m.unsynced.pop_front() else {
            return;
        };
        if replaces_all {
            m.durable.clear();
        }
        m.durable.extend(records);
        self.step(machine, ControllerInput::Written { id });
    }

    /// Lets so much time pass; all that can happen meanwhile does.
    pub(crate) fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
            for step in 0.. {
                assert!(step < STEPS_AT_MOST, "the machines never come to rest");
                if !self.advance() {
                    break;
                }
            }
        }
    }
    /// One clock event at each.
    pub(crate) fn tick(&mut self) {
        self.now += TICK;
        (0..3).for_each(|machine| self.step(machine, ControllerInput::ClockEvent));
    }
    /// Runs until there is an answer, for so long at most.
    pub(crate) fn await_answer(&mut self, number: u64, span: u64) -> Option<(u16, Vec<u8>)> {
        let until = self.now + span;
        while !self.answers.contains_key(&number) && self.now < until {
            self.run(TICK);
        }
        self.answers.remove(&number)
    }
}
