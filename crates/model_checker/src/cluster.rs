//! A small core on virtual time: replicas, disks, links, operators.

use super::deviation::{CutDirection, Deviation, Outage, StepFault, TickPlan};
use super::properties::History;
use super::register::{Command, Register};
use super::stored_disk::StoredDisk;
use replication::{
    Input, Output, Record, RecoveredRecords, Replica, ReplicationMessage, Timing, View, Voter,
};
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// Between ticks, in ms.
pub(crate) const TICK: u64 = 100;
/// A machine counts as lost for so long after it is back, in ms.
const SETTLE: u64 = 4000;
/// After more were lost at once than the budget, of which the pages bound nothing, all is made up for within
/// this, in ms: a tail that was itself restarted takes its time to tell who is gone.
const EXCESS_SETTLE: u64 = 6000;
/// Once all machines are back, the core serves within this, in ms: `recovery_s` of the users' small sites.
const RECOVERY: u64 = 12_000;
/// A machine that is asked to leave ends by itself after this, in ms.
const HAND_OVER: u64 = 4000;
/// An operator without an answer asks the next machine after this, in ms.
const ANSWER_WAIT: u64 = 1000;
/// And after this where the answer was to come back later, in ms.
const ANSWER_PAUSE: u64 = 300;
/// An operator asks so many machines at most.
const MOST_TRIES: u64 = 4;

/// A deliberate fault in the core or in what runs it, for the checks to find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum DeliberateFault {
    /// Writes are called synced 400 ms before they are.
    SkipSync,
    /// Voters keep no word to the tail.
    SkipFencing,
    /// A wiped disk keeps its identity.
    ReuseWipedVote,
    /// A newcomer is told that it's level before it holds everything.
    LeadBeforeLevel,
    /// A voter that was restarted doesn't keep the word that it may have given.
    GrantAfterRestart,
    /// Voters take any ballot as if the tail had released its lease.
    AcceptWithLiveLease,
    /// A decided view counts its newcomers as level at once.
    CountEmptyMember,
    /// Whoever is told of a view isn't told of its reserve.
    ForgetReserve,
}

/// When disks may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum DiskLosses {
    /// While no more machines are lost at once than the budget, the one with the disk included.
    #[default]
    WithinBudget,
    /// At any time, however many other machines are away with their disks; but no more disks in the
    /// whole run than the budget, those of machines that are replaced by plan included.
    Overlapping,
}

/// The size of a core and what is checked.
#[derive(Debug, Clone)]
pub struct ClusterRules {
    /// Founders, all of them voters.
    pub voters: usize,
    /// Disks that a change is on before it's confirmed.
    pub copies: usize,
    /// Whether a refusal must be final.
    pub checks_refusals: bool,
    /// When disks may be lost.
    pub disk_losses: DiskLosses,
    /// With a deliberate fault.
    pub fault: Option<DeliberateFault>,
}

#[derive(Clone, Hash)]
struct PendingWrite {
    id: u64,
    records: Vec<Record>,
    is_whole: bool,
    synced_at: Option<u64>,
}

#[derive(Clone)]
struct Machine {
    address: Address,
    disk: DiskId,
    stored: StoredDisk,
    unsynced: VecDeque<PendingWrite>,
    replica: Option<Replica<Register>>,
    incarnation: u64,
    starts_at: Option<u64>,
    stops_at: Option<u64>,
    restarts_after: Option<u64>,
    is_asked_to_leave: bool,
    cut: Option<(CutDirection, u64)>,
    paused_until: u64,
    held: VecDeque<Packet>,
    lost_until: u64,
    has_lost_disk: bool,
    is_removed: bool,
}

impl Machine {
    fn is_partitioned(&self) -> bool {
        self.cut.is_some()
    }
}

#[derive(Debug, Clone)]
struct Packet {
    from: Address,
    to: Address,
    message: ReplicationMessage,
}

#[derive(Clone)]
enum Step {
    Deliver(Box<Packet>),
    Sync {
        machine: usize,
        incarnation: u64,
        id: u64,
    },
}

/// A step that a deviation may befall.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OpenStep {
    /// A message.
    Message(usize),
    /// A write.
    Write(usize),
}

#[derive(Clone, Hash)]
struct Operator {
    id: u8,
    base: Option<u8>,
    via: usize,
    tries: u64,
    asks_at: Option<u64>,
    asked: u64,
    is_done: bool,
}

/// The whole state between two ticks.
#[derive(Clone)]
pub(crate) struct Cluster {
    rules: ClusterRules,
    now: u64,
    machines: Vec<Machine>,
    late: Vec<(u64, Packet)>,
    operators: Vec<Operator>,
    history: History,
    /// Until then more machines are lost than the budget, or were a while ago: nothing says how soon what was
    /// lost is made up for.
    unbound_until: u64,
    /// Whether a message or a write was struck, so that replicas may know little of one another.
    had_step_fault: bool,
    /// Disks lost in the whole run.
    lost_disks: usize,
    /// Since when all machines are back and the core doesn't serve.
    out_of_service_since: Option<u64>,
    steps: VecDeque<Step>,
}

impl Cluster {
    /// A core that was founded, confirmed one command and rests.
    pub(crate) fn founded(rules: &ClusterRules) -> Cluster {
        let operator = |id| Operator {
            id,
            base: None,
            via: 0,
            tries: 0,
            asks_at: None,
            asked: 0,
            is_done: false,
        };
        let mut cluster = Cluster {
            rules: rules.clone(),
            now: 1_000_000,
            machines: vec![],
            late: vec![],
            operators: vec![operator(1), operator(2), operator(3)],
            history: History::default(),
            unbound_until: 0,
            had_step_fault: false,
            lost_disks: 0,
            out_of_service_since: None,
            steps: VecDeque::new(),
        };
        for place in 0..rules.voters {
            cluster.add_machine(Address::loopback(place as u16 + 1));
            cluster.start(place);
        }
        for _ in 0..80 {
            cluster.tick(&vec![]);
        }
        cluster.tick(&vec![Deviation::Propose {
            operator: 0,
            via: 0,
        }]);
        for _ in 0..80 {
            cluster.tick(&vec![]);
        }
        assert_eq!(
            cluster.history.confirmed.len(),
            1,
            "the first command is confirmed"
        );
        cluster
    }

    /// What must never be and was seen.
    pub(crate) fn violation(&self) -> Option<&str> {
        self.history.violation.as_deref()
    }
    /// Whether a replica may answer.
    pub(crate) fn may_respond(&self) -> bool {
        self.replying() > 0
    }
    fn add_machine(&mut self, address: Address) {
        self.machines.push(Machine {
            address,
            disk: DiskId(u128::from(address.0.port())),
            stored: StoredDisk::default(),
            unsynced: VecDeque::new(),
            replica: None,
            incarnation: 0,
            starts_at: None,
            stops_at: None,
            restarts_after: None,
            is_asked_to_leave: false,
            cut: None,
            paused_until: 0,
            held: VecDeque::new(),
            lost_until: 0,
            has_lost_disk: false,
            is_removed: false,
        });
    }

    fn timing(&self) -> Timing {
        let mut timing = Timing {
            min_chain_length: self.rules.copies,
            target_voters: self.rules.voters,
            ..Timing::default()
        };
        if self.rules.fault == Some(DeliberateFault::SkipFencing) {
            timing.lease_duration = Milliseconds(0);
        }
        timing
    }

    fn start(&mut self, place: usize) {
        let timing = self.timing();
        let founders: Vec<Address> = (1..=self.rules.voters as u16)
            .map(Address::loopback)
            .collect();
        let is_founding = self.history.views.is_empty();
        let machine = &mut self.machines[place];
        let me = Voter {
            address: machine.address,
            disk: machine.disk,
        };
        let known = founders
            .into_iter()
            .filter(|address| is_founding || *address != me.address)
            .collect();
        let mut born = MonotonicInstant(self.now);
        if self.rules.fault == Some(DeliberateFault::GrantAfterRestart) {
            born = MonotonicInstant(self.now - timing.lease_duration.0);
        }
        let kept = RecoveredRecords {
            records: machine.stored.records(),
        };
        match Replica::new(me, known, timing, kept, Register::default(), born) {
            Ok(replica) => machine.replica = Some(replica),
            Err(fault) => self
                .history
                .violate(format!("a disk can't be used: {fault}")),
        }
        self.machines[place].incarnation += 1;
        self.machines[place].starts_at = None;
    }

    fn stop(&mut self, place: usize, keeps_unsynced: bool) {
        let machine = &mut self.machines[place];
        machine.replica = None;
        machine.incarnation += 1;
        machine.held.clear();
        machine.is_asked_to_leave = false;
        machine.stops_at = None;
        for write in std::mem::take(&mut machine.unsynced) {
            if keeps_unsynced {
                machine.stored.store(write.records, write.is_whole);
            }
        }
    }

    fn crash(&mut self, place: usize, outage: Outage, keeps_unsynced: bool) {
        self.stop(place, keeps_unsynced);
        self.machines[place].starts_at = Some(self.now + outage.span());
        self.lose_for(place, outage.span());
    }

    fn lose_for(&mut self, place: usize, span: u64) {
        let machine = &mut self.machines[place];
        machine.lost_until = machine.lost_until.max(self.now + span + SETTLE);
    }

    /// Whether the rules allow this now: no more disks are lost at once than the budget.
    pub(crate) fn allows(&self, deviation: &Deviation) -> bool {
        let lost = self.lost();
        match *deviation {
            Deviation::Wipe(place, _) | Deviation::Replace(place, _) => {
                self.is_running(place) && self.may_lose_disk_of(place)
            }
            Deviation::PlannedReplace(place) | Deviation::PlannedRestart(place) => {
                let is_planned = |m: &Machine| m.stops_at.is_some() || m.is_asked_to_leave;
                let keeps_disk = matches!(deviation, Deviation::PlannedRestart(_));
                self.is_running(place)
                    && lost == 0
                    && !self.machines.iter().any(is_planned)
                    && (keeps_disk || self.may_lose_disk_of(place))
            }
            Deviation::Crash(place, _) | Deviation::Pause(place, _) => self.is_running(place),
            Deviation::Cut(place, ..) => {
                self.is_running(place) && !self.machines[place].is_partitioned()
            }
            Deviation::Propose { operator, via } => {
                let is_idle = self
                    .operators
                    .get(operator)
                    .is_some_and(|operator| operator.base.is_none());
                is_idle && self.is_running(via)
            }
            Deviation::AtStep { .. } => true,
        }
    }

    fn may_lose_disk_of(&self, place: usize) -> bool {
        let budget = self.rules.copies - 1;
        match self.rules.disk_losses {
            DiskLosses::WithinBudget => {
                let is_lost = self.machines[place].lost_until > self.now;
                self.lost() + usize::from(!is_lost) <= budget && self.now >= self.unbound_until
            }
            DiskLosses::Overlapping => self.lost_disks < budget,
        }
    }

    /// Machines that count as lost.
    fn lost(&self) -> usize {
        self.machines
            .iter()
            .filter(|m| m.lost_until > self.now)
            .count()
    }

    fn is_running(&self, place: usize) -> bool {
        let runs = |m: &Machine| m.replica.is_some() && m.paused_until <= self.now;
        self.machines.get(place).is_some_and(runs)
    }

    /// How many machines there are, also those gone.
    pub(crate) fn machine_count(&self) -> usize {
        self.machines.len()
    }

    /// Lets one tick pass with these deviations; gives the steps that more could befall.
    pub(crate) fn tick(&mut self, plan: &TickPlan) -> Vec<OpenStep> {
        self.now += TICK;
        self.take_deadline();
        for deviation in plan {
            // One before it in this tick may have used the budget up.
            if self.allows(deviation) {
                self.take_deviation(deviation);
            }
        }
        for place in 0..self.machines.len() {
            if self.is_running(place) {
                let held = std::mem::take(&mut self.machines[place].held);
                self.steps
                    .extend(held.into_iter().map(Box::new).map(Step::Deliver));
                self.drive(place, Input::Tick);
            }
        }
        let mut open = vec![];
        while let Some(step) = self.steps.pop_front() {
            let index = open.len();
            let fault = plan.iter().find_map(|deviation| match deviation {
                Deviation::AtStep { index: at, fault } if *at == index => Some(*fault),
                _ => None,
            });
            open.extend(self.open_step(&step));
            let is_open = open.len() > index;
            self.take_step(step, fault.filter(|_| is_open));
            self.check_readable();
        }
        self.check_recovery();
        self.check_quiet();
        open
    }

    fn open_step(&self, step: &Step) -> Option<OpenStep> {
        match step {
            Step::Sync { machine, .. } => Some(OpenStep::Write(*machine)),
            Step::Deliver(packet)
                if !matches!(
                    packet.message,
                    ReplicationMessage::Heartbeat { .. }
                        | ReplicationMessage::CatchUpRequest { .. }
                ) =>
            {
                let place = self.machines.iter().position(|m| m.address == packet.to)?;
                Some(OpenStep::Message(place))
            }
            Step::Deliver(_) => None,
        }
    }

    fn take_deadline(&mut self) {
        let now = self.now;
        for place in 0..self.machines.len() {
            let machine = &mut self.machines[place];
            machine.cut = machine.cut.filter(|(_, until)| *until > now);
            if machine.lost_until <= now {
                machine.has_lost_disk = false;
            }
            while machine
                .unsynced
                .front()
                .is_some_and(|write| write.synced_at.is_some_and(|at| at <= now))
            {
                if let Some(write) = machine.unsynced.pop_front() {
                    machine.stored.store(write.records, write.is_whole);
                }
            }
            if machine.starts_at.is_some_and(|at| at <= now) {
                self.start(place);
            }
            self.take_leave(place);
        }
        let (deadline, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = late;
        let deadline: Vec<(u64, Packet)> = deadline;
        self.steps.extend(
            deadline
                .into_iter()
                .map(|(_, packet)| Step::Deliver(Box::new(packet))),
        );
        for operator in 0..self.operators.len() {
            if self.operators[operator].asks_at.is_some_and(|at| at <= now) {
                self.ask(operator);
            }
        }
    }

    /// A machine that is to leave is asked when it's time, and ends once it has handed over.
    fn take_leave(&mut self, place: usize) {
        let machine = &self.machines[place];
        let Some(at) = machine.stops_at else { return };
        if at > self.now || machine.replica.is_none() {
            return;
        }
        if !machine.is_asked_to_leave {
            self.machines[place].is_asked_to_leave = true;
            return self.drive(place, Input::Drain);
        }
        let has_handed_over = machine
            .replica
            .as_ref()
            .is_some_and(Replica::has_handed_over);
        if !has_handed_over && self.now < at + HAND_OVER {
            return;
        }
        self.stop(place, true);
        match self.machines[place].restarts_after {
            Some(span) => {
                self.machines[place].starts_at = Some(self.now + span);
                self.lose_for(place, span);
            }
            None => {
                // It counts until its successor has had its time, and while that stands in for one that is lost.
                let lost_until = self
                    .machines
                    .iter()
                    .map(|m| m.lost_until)
                    .max()
                    .unwrap_or_default();
                let machine = &mut self.machines[place];
                machine.is_removed = true;
                machine.has_lost_disk = true;
                machine.lost_until = lost_until;
            }
        }
    }

    fn take_deviation(&mut self, deviation: &Deviation) {
        match *deviation {
            Deviation::Crash(place, outage) => self.crash(place, outage, false),
            Deviation::Wipe(place, outage) => self.wipe(place, outage),
            Deviation::Replace(place, outage) => self.replace(place, outage),
            Deviation::PlannedReplace(place) => {
                self.lost_disks += 1;
                let newcomer = self.newcomer();
                self.start(newcomer);
                self.lose_for(newcomer, 0);
                self.machines[place].stops_at = Some(self.now + SETTLE);
            }
            Deviation::PlannedRestart(place) => {
                self.machines[place].stops_at = Some(self.now);
                self.machines[place].restarts_after = Some(Outage::Short.span());
            }
            Deviation::Cut(place, direction, outage) => {
                self.machines[place].cut = Some((direction, self.now + outage.span()));
                self.lose_for(place, outage.span());
            }
            Deviation::Pause(place, outage) => {
                self.machines[place].paused_until = self.now + outage.span();
                self.lose_for(place, outage.span());
            }
            Deviation::Propose { operator, via } => {
                let base = self.history.confirmed.len() as u8;
                self.operators[operator].base = Some(base);
                self.operators[operator].via = via;
                self.ask(operator);
            }
            Deviation::AtStep { .. } => self.had_step_fault = true,
        }
    }

    fn wipe(&mut self, place: usize, outage: Outage) {
        self.lost_disks += 1;
        self.crash(place, outage, false);
        let machine = &mut self.machines[place];
        machine.stored = StoredDisk::default();
        machine.has_lost_disk = true;
        if self.rules.fault != Some(DeliberateFault::ReuseWipedVote) {
            machine.disk = DiskId(machine.disk.0 + 1000);
        }
    }

    fn replace(&mut self, place: usize, outage: Outage) {
        self.lost_disks += 1;
        self.stop(place, false);
        self.machines[place].is_removed = true;
        self.machines[place].lost_until = 0;
        let newcomer = self.newcomer();
        self.machines[newcomer].starts_at = Some(self.now + outage.span());
        self.machines[newcomer].has_lost_disk = true;
        self.lose_for(newcomer, outage.span());
    }

    fn newcomer(&mut self) -> usize {
        let address = Address::loopback(self.machines.len() as u16 + 1);
        self.add_machine(address);
        self.machines.len() - 1
    }

    /// An operator sends his command, the same at each try, to one machine after another.
    fn ask(&mut self, place: usize) {
        let operator = &mut self.operators[place];
        let Some(base) = operator.base else { return };
        operator.asks_at = None;
        if operator.is_done || operator.tries >= MOST_TRIES {
            return;
        }
        operator.tries += 1;
        operator.asks_at = Some(self.now + ANSWER_WAIT);
        operator.asked = operator.tries << 8 | place as u64;
        let (number, command) = (
            operator.asked,
            Command {
                base,
                id: operator.id,
            },
        );
        let via = operator.via;
        operator.via = (via + 1) % self.machines.len();
        if self.is_running(via) {
            self.drive(
                via,
                Input::Propose {
                    number,
                    body: command.encode(),
                },
            );
        }
    }

    fn on_answer(&mut self, number: u64, is_final: bool, body: &[u8]) {
        let Some(operator) = self.operators.get_mut((number & 0xFF) as usize) else {
            return;
        };
        let Some(base) = operator
            .base
            .filter(|_| operator.asked == number && !operator.is_done)
        else {
            return;
        };
        if !is_final {
            operator.asks_at = Some(self.now + ANSWER_PAUSE);
            return;
        }
        operator.is_done = true;
        let command = Command {
            base,
            id: operator.id,
        };
        self.history.on_answer(command, body);
    }

    fn take_step(&mut self, step: Step, fault: Option<StepFault>) {
        match (step, fault) {
            (Step::Deliver(_), Some(StepFault::Lose)) => {}
            (Step::Deliver(packet), Some(StepFault::Delay(lateness))) => {
                self.late.push((self.now + lateness.span(), *packet));
            }
            (Step::Deliver(packet), Some(StepFault::Repeat(lateness))) => {
                self.late
                    .push((self.now + lateness.span(), (*packet).clone()));
                self.deliver(*packet);
            }
            (Step::Deliver(packet), _) => self.deliver(*packet),
            (
                Step::Sync {
                    machine,
                    incarnation,
                    ..
                },
                Some(StepFault::CrashBeforeSync(outage)),
            ) => {
                if self.machines[machine].incarnation == incarnation {
                    self.crash(machine, outage, false);
                }
            }
            (
                Step::Sync {
                    machine,
                    incarnation,
                    ..
                },
                Some(StepFault::CrashAfterSync(outage)),
            ) => {
                if self.machines[machine].incarnation == incarnation {
                    self.crash(machine, outage, true);
                }
            }
            (
                Step::Sync {
                    machine,
                    incarnation,
                    id,
                },
                _,
            ) => self.sync(machine, incarnation, id),
        }
    }

    fn sync(&mut self, place: usize, incarnation: u64, id: u64) {
        let now = self.now;
        let machine = &mut self.machines[place];
        if machine.incarnation != incarnation || machine.replica.is_none() {
            return;
        }
        if self.rules.fault == Some(DeliberateFault::SkipSync) {
            let late = machine
                .unsynced
                .iter_mut()
                .filter(|write| write.id <= id && write.synced_at.is_none());
            late.for_each(|write| write.synced_at = Some(now + 400));
        } else {
            while machine.unsynced.front().is_some_and(|write| write.id <= id) {
                if let Some(write) = machine.unsynced.pop_front() {
                    machine.stored.store(write.records, write.is_whole);
                }
            }
        }
        self.drive(place, Input::Written { id });
    }

    fn deliver(&mut self, mut packet: Packet) {
        let Some(place) = self.machines.iter().position(|m| m.address == packet.to) else {
            return;
        };
        if self.machines[place].replica.is_none() {
            return;
        }
        if self.machines[place].paused_until > self.now {
            self.machines[place].held.push_back(packet);
            return;
        }
        self.spoil(place, &mut packet);
        self.drive(
            place,
            Input::Message {
                from: packet.from,
                message: packet.message,
            },
        );
    }

    /// Has deliberate faults their way with a message.
    fn spoil(&mut self, place: usize, packet: &mut Packet) {
        let Some(replica) = &self.machines[place].replica else {
            return;
        };
        match (&mut packet.message, self.rules.fault) {
            (
                ReplicationMessage::CatchUpTarget { last, .. },
                Some(DeliberateFault::LeadBeforeLevel),
            ) => *last = SequenceNumber(0),
            (ReplicationMessage::Decided { view }, Some(DeliberateFault::CountEmptyMember)) => {
                view.chain
                    .iter_mut()
                    .for_each(|position| position.is_caught_up = true);
            }
            (ReplicationMessage::Decided { view }, Some(DeliberateFault::ForgetReserve)) => {
                view.reserve.clear();
            }
            (ReplicationMessage::Accept { proposal }, Some(DeliberateFault::ForgetReserve)) => {
                proposal.view.reserve.clear();
            }
            (ReplicationMessage::Accept { .. }, Some(DeliberateFault::AcceptWithLiveLease)) => {
                if let Some(tail) = replica.view().tail().filter(|tail| *tail != replica.me()) {
                    packet.from = tail.address;
                }
            }
            _ => {}
        }
    }

    fn drive(&mut self, place: usize, input: Input) {
        let now = MonotonicInstant(self.now);
        let Some(replica) = &mut self.machines[place].replica else {
            return;
        };
        let mut outputs: VecDeque<Output> = replica.step(now, input).into();
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Send { to, message } => self.send(place, to, message),
                Output::Write {
                    id,
                    records,
                    replaces_all: is_whole,
                } => {
                    let machine = &mut self.machines[place];
                    machine.unsynced.push_back(PendingWrite {
                        id,
                        records,
                        is_whole,
                        synced_at: None,
                    });
                    let incarnation = machine.incarnation;
                    self.steps.push_back(Step::Sync {
                        machine: place,
                        incarnation,
                        id,
                    });
                }
                Output::Response {
                    number,
                    is_final,
                    body,
                } => self.on_answer(number, is_final, &body),
                Output::Committed { request_id, body }
                | Output::ChangeRejected { request_id, body } => {
                    let Some(replica) = &mut self.machines[place].replica else {
                        return;
                    };
                    outputs.extend(replica.respond(now, request_id, body));
                }
                Output::ViewChanged(view) => {
                    let is_spoilt = matches!(
                        self.rules.fault,
                        Some(DeliberateFault::CountEmptyMember | DeliberateFault::ForgetReserve)
                    );
                    if !is_spoilt || !self.history.views.contains_key(&view.epoch) {
                        self.history.on_view(view);
                    }
                }
            }
        }
    }

    fn send(&mut self, place: usize, to: Address, message: ReplicationMessage) {
        let from = self.machines[place].address;
        if let ReplicationMessage::Accept { proposal } = &message {
            self.check_proposal(&proposal.view);
        }
        let to = self.true_target(to, &message);
        let cut_at = |address: Address| {
            self.machines
                .iter()
                .find(|m| m.address == address)
                .and_then(|m| m.cut)
        };
        let is_kept_in =
            cut_at(from).is_some_and(|(direction, _)| direction != CutDirection::Inward);
        let is_kept_out =
            cut_at(to).is_some_and(|(direction, _)| direction != CutDirection::Outward);
        if !is_kept_in && !is_kept_out {
            self.steps
                .push_back(Step::Deliver(Box::new(Packet { from, to, message })));
        }
    }

    /// Where a deliberate fault had a voter take a ballot for the tail's, its answer goes to the proposer.
    fn true_target(&self, to: Address, message: &ReplicationMessage) -> Address {
        let (
            ReplicationMessage::Accepted {
                proposal_number, ..
            },
            Some(DeliberateFault::AcceptWithLiveLease),
        ) = (message, self.rules.fault)
        else {
            return to;
        };
        let proposer = self
            .machines
            .iter()
            .find(|m| m.disk.0 == proposal_number.proposer);
        proposer.map_or(to, |m| m.address)
    }

    fn replying(&self) -> usize {
        let now = MonotonicInstant(self.now);
        let may_respond = |m: &&Machine| {
            m.replica
                .as_ref()
                .is_some_and(|replica| replica.may_respond(now))
        };
        self.machines.iter().filter(may_respond).count()
    }

    /// After each step.
    fn check_readable(&mut self) {
        let now = MonotonicInstant(self.now);
        if self.replying() > 1 {
            self.history
                .violate("two replicas may answer at once".into());
        }
        let checks_refusals = self.rules.checks_refusals;
        for machine in &self.machines {
            let Some(replica) = machine
                .replica
                .as_ref()
                .filter(|replica| replica.may_respond(now))
            else {
                continue;
            };
            self.history
                .on_readable(&replica.state_machine().taken, checks_refusals);
        }
    }

    /// Between ticks: what is lost may be lost, and as much more as the budget has left.
    fn check_quiet(&mut self) {
        let Some(view) = self.history.views.values().next_back().cloned() else {
            return;
        };
        let lost = self.lost();
        if lost >= self.rules.copies {
            self.unbound_until = self.now + EXCESS_SETTLE;
        }
        let do_losses_overlap = self.rules.disk_losses == DiskLosses::Overlapping;
        if do_losses_overlap && self.lost_disks > 0 && !self.are_all_back() {
            self.unbound_until = self.now + RECOVERY + TICK;
        }
        if self.now < self.unbound_until {
            return;
        }
        let is_to_be_had =
            |voter: &&Voter| self.machines.iter().any(|m| self.is_to_be_had(m, voter));
        let missing = view
            .voters
            .iter()
            .filter(|voter| !is_to_be_had(voter))
            .count();
        if missing > lost {
            let voters: Vec<u128> = view.voters.iter().map(|voter| voter.disk.0).collect();
            self.history.violate(format!(
                "{missing} of the votes {voters:?} can't be had, {lost} machines are lost"
            ));
        }
        for command in self.history.confirmed.clone() {
            let counts = |m: &&Machine| view.voters.iter().any(|voter| self.is_to_be_had(m, voter));
            let holders = self
                .machines
                .iter()
                .filter(counts)
                .filter(|m| m.stored.holds(command.id))
                .count();
            if holders + lost < self.rules.copies {
                self.history.violate(format!(
                    "{command:?} is on {holders} disks that count, {lost} machines are lost"
                ));
            }
        }
    }

    /// Nobody proposes a view that drops a caught-up member which was there all the time. A view may
    /// still be decided that was proposed while the member was away.
    fn check_proposal(&mut self, view: &View) {
        if self.had_step_fault || !self.history.is_first_proposal(view) {
            return;
        }
        let Some(before) = self.history.views.get(&ViewNumber(view.epoch.0 - 1)) else {
            return;
        };
        let caught_up = before.chain.iter().filter(|position| position.is_caught_up);
        let mut dropped = caught_up.filter(|position| !view.contains(&position.voter));
        let was_there = |position: &&replication::ChainPosition| {
            let mut machines = self.machines.iter();
            machines.any(|m| self.is_to_be_had(m, &position.voter) && m.stops_at.is_none())
        };
        if let Some(position) = dropped.find(was_there) {
            let disk = position.voter.disk.0;
            self.history.violate(format!(
                "view {} is to drop {disk}, which was there all the time",
                view.epoch
            ));
        }
    }

    /// Between ticks: a core whose machines are all back serves within the bound.
    fn check_recovery(&mut self) {
        if !self.are_all_back() || self.is_serving() {
            self.out_of_service_since = None;
            return;
        }
        let since = *self.out_of_service_since.get_or_insert(self.now);
        if self.now - since >= RECOVERY {
            self.history.violate(format!(
                "all machines have been back for {} ms and the core does not serve",
                self.now - since
            ));
        }
    }

    /// Whether each machine that is to be there runs, and is neither cut off nor paused.
    fn are_all_back(&self) -> bool {
        let is_back =
            |m: &Machine| m.replica.is_some() && !m.is_partitioned() && m.paused_until <= self.now;
        self.machines.iter().all(|m| m.is_removed || is_back(m))
    }

    /// Whether a replica may answer, and changes can be confirmed.
    pub(crate) fn is_serving(&self) -> bool {
        let now = MonotonicInstant(self.now);
        let serves = |replica: &Replica<Register>| replica.may_respond(now) && replica.may_commit();
        self.machines
            .iter()
            .any(|m| m.replica.as_ref().is_some_and(serves))
    }

    /// Whether this machine has this voter's disk, and isn't lost.
    fn is_to_be_had(&self, machine: &Machine, voter: &Voter) -> bool {
        let is_here = !machine.is_removed && machine.lost_until <= self.now;
        is_here && machine.address == voter.address && machine.disk == voter.disk
    }

    /// The same for states that behave alike from here on.
    pub(crate) fn fingerprint(&self, faults_left: usize, proposals_left: usize) -> u64 {
        let mut hasher = DefaultHasher::new();
        (faults_left, proposals_left).hash(&mut hasher);
        for machine in &self.machines {
            self.fingerprint_machine(machine, &mut hasher);
        }
        let mut late: Vec<u64> = self
            .late
            .iter()
            .map(|(at, packet)| self.fingerprint_late(*at, packet))
            .collect();
        late.sort();
        late.hash(&mut hasher);
        for operator in &self.operators {
            let asks_in = operator.asks_at.map(|at| at.saturating_sub(self.now));
            (
                operator.id,
                operator.base,
                operator.tries,
                asks_in,
                operator.is_done,
            )
                .hash(&mut hasher);
            if asks_in.is_some() {
                operator.via.hash(&mut hasher);
            }
        }
        self.history.hash(&mut hasher);
        self.unbound_until
            .saturating_sub(self.now)
            .hash(&mut hasher);
        self.out_of_service_since
            .map(|since| self.now - since)
            .hash(&mut hasher);
        if self.rules.disk_losses == DiskLosses::Overlapping {
            self.lost_disks.hash(&mut hasher);
        }
        self.had_step_fault.hash(&mut hasher);
        hasher.finish()
    }

    fn fingerprint_machine(&self, machine: &Machine, hasher: &mut DefaultHasher) {
        let ahead = |moment: u64| moment.saturating_sub(self.now);
        (
            machine.address,
            machine.disk,
            &machine.stored,
            machine.is_removed,
            machine.has_lost_disk,
        )
            .hash(hasher);
        (
            machine.starts_at.map(ahead),
            machine.stops_at.map(ahead),
            machine.is_asked_to_leave,
        )
            .hash(hasher);
        machine.restarts_after.hash(hasher);
        machine
            .cut
            .map(|(direction, until)| (direction, ahead(until)))
            .hash(hasher);
        (ahead(machine.paused_until), ahead(machine.lost_until)).hash(hasher);
        for write in &machine.unsynced {
            (&write.records, write.is_whole, write.synced_at.map(ahead)).hash(hasher);
        }
        for packet in &machine.held {
            self.fingerprint_late(self.now, packet).hash(hasher);
        }
        machine.replica.is_some().hash(hasher);
        if let Some(replica) = &machine.replica {
            replica.fingerprint(MonotonicInstant(self.now), hasher);
        }
    }

    fn fingerprint_late(&self, at: u64, packet: &Packet) -> u64 {
        let mut hasher = DefaultHasher::new();
        (at.saturating_sub(self.now), packet.from, packet.to).hash(&mut hasher);
        let newest = |address: Address| {
            let machine = self.machines.iter().find(|m| m.address == address);
            machine
                .and_then(|m| m.replica.as_ref())
                .map(Replica::lease_request_number)
        };
        match &packet.message {
            ReplicationMessage::LeaseRequest {
                view,
                request_number,
            } => (1u8, view, newest(packet.from) == Some(*request_number)).hash(&mut hasher),
            ReplicationMessage::LeaseGrant {
                view,
                request_number,
                disk,
            } => {
                (2u8, view, newest(packet.to) == Some(*request_number), disk).hash(&mut hasher);
            }
            message => message.hash(&mut hasher),
        }
        hasher.finish()
    }
}
