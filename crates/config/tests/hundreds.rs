//! Hundreds of changes: a member of the core is away, comes back and is level again, on virtual time, with
//! lines and disks of real sizes and the real state machines.

use config::{Command, ConfigStateMachine, Proposal, Revisions};
use replication::{
    Input, Output, Record, RecoveredRecords, Replica, ReplicationMessage, StateMachine, Timing,
    Voter,
};
use std::collections::VecDeque;
use types::{Address, ConfigEpoch, Delta, DiskId, MonotonicInstant, SequenceNumber, ViewNumber};
use yare::parameterized;

/// Between steps of the virtual time.
const STEP: u64 = 5;
/// A disk's sync, and its bytes a millisecond, as on the users' small sites.
const SYNC: u64 = 5;
const DISK_BYTES: u64 = 120_000;
/// Changes under way at most.
const UNDER_WAY: u64 = 8;

/// A write on its way: its number, its records, whether they replace all before.
type Write = (u64, Vec<Record>, bool);

/// Takes what came while it was at work together, with one sync, as the controller's disk thread does.
#[derive(Default)]
struct Disk {
    records: Vec<Record>,
    waiting: Vec<Write>,
    at_work: Vec<Write>,
    done_at: u64,
    stalled_until: u64,
}

#[derive(Default)]
struct Line {
    free_at: u64,
    messages: VecDeque<(u64, ReplicationMessage)>,
    bytes: u64,
}

/// Three machines. Each pair has a small line, and a bulk line of so many bytes a millisecond.
struct Core {
    at: u64,
    timing: Timing,
    bulk: u64,
    replicas: Vec<Option<Replica<ConfigStateMachine>>>,
    disks: Vec<Disk>,
    lines: Vec<Line>,
    next_change: u64,
    accepted: u64,
    /// The newest epoch that was told as accepted.
    told: ConfigEpoch,
    plan: Box<dyn Fn(u64) -> Vec<u8>>,
    is_whole: bool,
    offers: Vec<SequenceNumber>,
    /// The mutant `lead-before-level`: one that is behind says that it has all, and
    /// takes all seats for level.
    leads_early: bool,
}

/// Thousands of changes are not to take minutes.
fn unpaced() -> Timing {
    Timing {
        max_changes_per_second: 100_000,
        max_change_burst: 100_000,
        ..Timing::default()
    }
}

fn voter(n: usize) -> Voter {
    Voter {
        address: Address::loopback(n as u16 + 1),
        disk: DiskId(n as u128 + 1),
    }
}

fn size_of(message: &ReplicationMessage) -> u64 {
    match message {
        ReplicationMessage::SnapshotChunk { bytes, .. } => bytes.len() as u64,
        ReplicationMessage::CatchUpBatch { changes } => changes
            .iter()
            .map(|change| change.body.len() as u64 + 40)
            .sum(),
        ReplicationMessage::Forward { change, .. } => change.body.len() as u64,
        ReplicationMessage::Propose { body, .. } => body.len() as u64,
        _ => 100,
    }
}

fn bytes_of(record: &Record) -> u64 {
    match record {
        Record::Change { change } => change.body.len() as u64,
        Record::Snapshot { body, .. } => body.len() as u64,
        _ => 100,
    }
}

impl Core {
    fn new(bulk: u64, is_whole: bool, routes: u64) -> Core {
        Core::with_timing(unpaced(), bulk, is_whole, routes)
    }
    fn with_timing(timing: Timing, bulk: u64, is_whole: bool, routes: u64) -> Core {
        let routes: Vec<String> = (0..routes)
            .map(|n| {
                format!(
                    r#""route-{n}":{{"slots":{},"zones":["north","south"],"first_token_ms":4000}}"#,
                    n % 60 + 1
                )
            })
            .collect();
        let routes = routes.join(",");
        let plan = move |n: u64| {
            format!(
                r#"{{"revision":{},"services":{{"a":{{"slots":{}}},{routes}}}}}"#,
                n + 1,
                n % 50 + 1
            )
            .into_bytes()
        };
        let mut core = Core {
            at: 10_000,
            timing,
            bulk,
            replicas: vec![None, None, None],
            disks: (0..3).map(|_| Disk::default()).collect(),
            lines: (0..18).map(|_| Line::default()).collect(),
            next_change: 0,
            accepted: 0,
            told: ConfigEpoch(0),
            plan: Box::new(plan),
            is_whole,
            offers: vec![],
            leads_early: false,
        };
        (0..3).for_each(|n| core.start(n));
        core.run(2000);
        assert!(core.tail().is_some(), "the core is founded");
        core
    }
    fn start(&mut self, n: usize) {
        let kept = RecoveredRecords {
            records: self.disks[n].records.clone(),
        };
        let founders = (0..3).map(|n| voter(n).address).collect();
        let made = Replica::new(
            voter(n),
            founders,
            self.timing,
            kept,
            ConfigStateMachine::default(),
            MonotonicInstant(self.at),
        );
        self.replicas[n] = Some(made.expect("its disk is good"));
    }
    /// Power is lost: what isn't synced is gone.
    fn stop(&mut self, n: usize) {
        self.replicas[n] = None;
        self.disks[n].waiting.clear();
        self.disks[n].at_work.clear();
        self.lines
            .iter_mut()
            .skip(n * 6)
            .take(6)
            .for_each(|line| line.messages.clear());
    }
    fn tail(&self) -> Option<&Replica<ConfigStateMachine>> {
        self.replicas
            .iter()
            .flatten()
            .find(|replica| replica.may_respond(MonotonicInstant(self.at)))
    }
    fn epoch(&self, n: usize) -> ConfigEpoch {
        self.replicas[n]
            .as_ref()
            .map_or(ConfigEpoch(0), |replica| replica.state_machine().epoch)
    }
    /// Whether it has a seat, by its own word and by that of the tail, and all that was told as accepted.
    fn is_caught_up(&self, n: usize) -> bool {
        let seat_of = |replica: &Replica<ConfigStateMachine>| {
            replica
                .view()
                .position(&voter(n))
                .is_some_and(|position| position.is_caught_up)
        };
        let says_so = self.replicas[n].as_ref().is_some_and(seat_of);
        says_so && self.tail().is_some_and(seat_of) && self.epoch(n) >= self.told
    }
    fn proposal(&self, n: u64) -> Proposal {
        let plan = (self.plan)(n);
        let id = format!("change-{n}-0123456789abcdef0123456789abcdef");
        let revisions = Revisions {
            own: n + 1,
            base: n,
        };
        let command = if n == 0 || self.is_whole {
            Command::Plan {
                bytes: plan,
                zones: vec![],
                revisions,
            }
        } else {
            // As the front of a controller makes it, which has the plan before.
            let delta = Delta::between(&(self.plan)(n - 1), &plan);
            let base = ConfigEpoch(n);
            let bytes = format!(
                r#"{{"revision":{},"services":{{"a":{{"slots":{}}}}}}}"#,
                n + 1,
                n % 50 + 1
            )
            .into();
            Command::Change {
                bytes,
                base,
                delta,
                zones: vec![],
                revisions,
            }
        };
        Proposal {
            id,
            builds_on: None,
            seen: ConfigEpoch(0),
            command,
        }
    }
    fn propose(&mut self) {
        let Some(at) = (0..3).find(|n| {
            self.replicas[*n]
                .as_ref()
                .is_some_and(|f| f.view().head() == Some(f.me()))
        }) else {
            return;
        };
        let body = self.proposal(self.next_change).to_bytes();
        self.next_change += 1;
        let number = self.next_change;
        self.step(at, Input::Propose { number, body });
    }
    /// So many changes, one after another as fast as they're taken.
    fn change(&mut self, count: u64) {
        let (deadline, mut tries) = (self.accepted + count, 0);
        while self.accepted < deadline {
            if self.next_change < deadline.min(self.accepted + UNDER_WAY) {
                self.propose();
            }
            let before = self.accepted;
            self.run(STEP);
            tries = if self.accepted > before { 0 } else { tries + 1 };
            if tries % 400 == 399 {
                // Turned away while the view changed.
                self.next_change = self.accepted;
            }
            assert!(tries < 4000, "no change was taken for 20 s");
        }
    }

    fn run(&mut self, span: u64) {
        let deadline = self.at + span;
        while self.at < deadline {
            self.at += STEP;
            for n in 0..3 {
                self.sync(n);
                if self.at.is_multiple_of(25) {
                    self.step(n, Input::Tick);
                }
            }
            for place in 0..self.lines.len() {
                while self.lines[place]
                    .messages
                    .front()
                    .is_some_and(|(at, _)| *at <= self.at)
                {
                    let Some((_, message)) = self.lines[place].messages.pop_front() else {
                        break;
                    };
                    let from = voter(place / 6).address;
                    self.step(place % 6 / 2, Input::Message { from, message });
                }
            }
        }
    }
    fn sync(&mut self, n: usize) {
        let disk = &mut self.disks[n];
        if self.at < disk.done_at.max(disk.stalled_until) {
            return;
        }
        let mut newest = None;
        for (id, records, is_whole) in std::mem::take(&mut disk.at_work) {
            if is_whole {
                disk.records.clear();
            }
            disk.records.extend(records);
            newest = Some(id);
        }
        disk.at_work = std::mem::take(&mut disk.waiting);
        let size: u64 = disk
            .at_work
            .iter()
            .flat_map(|(_, records, _)| records)
            .map(bytes_of)
            .sum();
        disk.done_at = self.at + SYNC + size / DISK_BYTES;
        if let Some(id) = newest {
            self.step(n, Input::Written { id });
        }
    }
    fn step(&mut self, n: usize, input: Input) {
        let now = MonotonicInstant(self.at);
        let Some(replica) = &mut self.replicas[n] else {
            return;
        };
        // As the controller does: changes enter while enough members are in touch.
        replica.set_has_member_majority(true);
        let mut outputs: VecDeque<Output> = replica.step(now, input).into();
        while let Some(output) = outputs.pop_front() {
            match output {
                Output::Send { to, message } => self.send(n, usize::from(to.0.port()) - 1, message),
                Output::Write {
                    id,
                    records,
                    replaces_all: is_whole,
                } => self.write(n, id, records, is_whole),
                Output::Committed { request_id, body }
                | Output::ChangeRejected { request_id, body } => {
                    let Some(replica) = &mut self.replicas[n] else {
                        return;
                    };
                    outputs.extend(replica.respond(now, request_id, body));
                    self.assert_newest(n);
                }
                Output::Response {
                    is_final: true,
                    body,
                    ..
                } => self.on_told(&body),
                Output::Response { .. } | Output::ViewChanged(_) => {}
            }
        }
    }
    fn newest_view(&self) -> Option<ViewNumber> {
        self.replicas
            .iter()
            .flatten()
            .map(|replica| replica.view().epoch)
            .max()
    }
    /// Whoever answers for the core has all that was told; whoever is level in the newest view lacks no more
    /// than what may be under way.
    fn assert_newest(&self, n: usize) {
        let may_respond = self.replicas[n]
            .as_ref()
            .is_some_and(|replica| replica.may_respond(MonotonicInstant(self.at)));
        assert!(
            !may_respond || self.epoch(n) >= self.told,
            "{n} responses with old state at {}",
            self.at
        );
        let position = self.replicas[n]
            .as_ref()
            .and_then(|replica| replica.view().position(&voter(n)));
        let is_behind = self.epoch(n).0 + self.timing.max_in_flight_changes < self.told.0;
        let is_newest_view = self.replicas[n]
            .as_ref()
            .map(|replica| replica.view().epoch)
            == self.newest_view();
        let claims = position.is_some_and(|position| position.is_caught_up) && is_newest_view;
        assert!(
            !claims || !is_behind,
            "{n} claims to be level and lacks changes at {}",
            self.at
        );
    }
    fn on_told(&mut self, body: &[u8]) {
        let outcome: serde_json::Value = serde_json::from_slice(body).expect("an outcome");
        if outcome["code"] == 300 {
            self.accepted = self
                .accepted
                .max(outcome["epoch"].as_u64().expect("an epoch"));
            self.told = ConfigEpoch(self.accepted);
        }
    }
    fn claim_all(&self, message: &mut ReplicationMessage) {
        let newest = self
            .tail()
            .map(|tail| (tail.state().last, tail.view().epoch));
        match (message, newest) {
            (
                ReplicationMessage::CatchUpRequest {
                    last, origin_view, ..
                },
                Some(newest),
            ) => (*last, *origin_view) = newest,
            (ReplicationMessage::Decided { view }, _) => view
                .chain
                .iter_mut()
                .for_each(|position| position.is_caught_up = true),
            _ => {}
        }
    }
    fn send(&mut self, from: usize, to: usize, mut message: ReplicationMessage) {
        if self.leads_early {
            self.claim_all(&mut message);
        }
        if let ReplicationMessage::SnapshotOffer { last, .. } = &message {
            self.offers.push(*last);
        }
        let size = size_of(&message);
        let is_bulk = matches!(
            message,
            ReplicationMessage::SnapshotChunk { .. } | ReplicationMessage::CatchUpBatch { .. }
        ) || size > 64 << 10;
        if self.replicas[to].is_none() {
            return;
        }
        let at = self.at;
        let line = &mut self.lines[from * 6 + to * 2 + usize::from(is_bulk)];
        line.bytes += size;
        let rate = if is_bulk { self.bulk } else { 100_000 };
        line.free_at = line.free_at.max(at) + size / rate;
        line.messages.push_back((line.free_at + 1, message));
    }
    fn write(&mut self, n: usize, id: u64, records: Vec<Record>, is_whole: bool) {
        self.disks[n].waiting.push((id, records, is_whole));
    }
    /// The same, while there's a change each 250 ms.
    fn level_under_changes(&mut self, n: usize) -> u64 {
        let mut last = 0;
        let change = |core: &mut Core| {
            if core.at - last >= 250 {
                last = core.at;
                core.next_change = core.accepted;
                core.propose();
            }
        };
        self.time_to_level(n, 60_000, change).0
    }
    /// Runs until this one is level again; gives how long it took, and what came to it on the way.
    fn time_to_level(
        &mut self,
        n: usize,
        limit: u64,
        mut meanwhile: impl FnMut(&mut Core),
    ) -> (u64, u64) {
        let came = |core: &Core| -> u64 {
            (0..3)
                .flat_map(|from| [from * 6 + n * 2, from * 6 + n * 2 + 1])
                .map(|place| core.lines[place].bytes)
                .sum()
        };
        let (start, before) = (self.at, came(self));
        while !self.is_caught_up(n) {
            assert!(
                self.at - start < limit,
                "{n} isn't level after {limit} ms; offers {:?}",
                self.offers
            );
            meanwhile(self);
            self.run(STEP);
            self.assert_newest(n);
        }
        (self.at - start, came(self) - before)
    }
}

/// Printed with `--nocapture`, for docs/control-safety.md.
#[parameterized(
    ten = { 10, 0 }, hundred = { 100, 0 }, thousand = { 1000, 0 }, ten_thousand = { 10_000, 0 },
    thousand_as_the_head = { 1000, 1 }, thousand_as_the_last = { 1000, 2 },
)]
fn a_member_back_after_many_changes_of_a_thousand_routes_is_level_within_3_s(
    count: u64,
    place: usize,
) {
    let mut core = Core::new(4000, false, 1000);
    core.change(1);
    let seats = core.tail().expect("a tail").view().chain.clone();
    let position = [0, seats.len() - 1, 1][place.min(2)];
    let away = usize::from(seats[position].voter.address.0.port()) - 1;
    core.stop(away);
    core.run(3000);
    core.change(count);
    core.start(away);
    let (ms, bytes) = core.time_to_level(away, 30_000, |_| {});
    let tail = core.tail().expect("a tail").state_machine();
    let (snapshot, kept) = (tail.snapshot().len(), core.disks[away].records.len());
    println!(
        "{count} changes, machine {away} away: level in {ms} ms, {bytes} bytes, state {snapshot}, {kept} records"
    );
    assert!(ms <= 3000, "{ms} ms");
    assert_eq!(
        core.replicas[away]
            .as_ref()
            .map(|replica| replica.state_machine()),
        Some(tail)
    );
}

#[test]
#[should_panic(expected = "claims to be level and lacks changes")]
fn one_that_leads_before_it_is_level_is_caught() {
    let mut core = Core::new(400, false, 1000);
    core.change(1);
    core.stop(2);
    core.run(3000);
    core.change(4000);
    core.leads_early = true;
    core.start(2);
    core.time_to_level(2, 30_000, |_| {});
}

/// A line that takes seconds for the snapshot, and a whole configuration of 290 KB each 250 ms, so that the log
/// is folded meanwhile.
#[parameterized(at_60 = { 60 }, at_64 = { 64 }, at_68 = { 68 }, at_72 = { 72 })]
fn a_snapshot_is_fetched_once_while_the_log_is_folded(missed: u64) {
    let mut core = Core::new(1600, true, 4000);
    core.change(1);
    let away = 2;
    core.stop(away);
    core.run(3000);
    core.change(missed);
    core.offers.clear();
    core.start(away);
    let ms = core.level_under_changes(away);
    core.offers.dedup();
    println!(
        "after {missed} whole configurations: level in {ms} ms, offers {:?}",
        core.offers
    );
    assert_eq!(core.offers.len(), 1, "it began anew: {:?}", core.offers);
}

/// A piece takes 2.6 s on this line, longer than silence is borne elsewhere.
#[test]
fn a_snapshot_comes_over_a_line_of_100_kb_a_second_while_changes_go_on() {
    let timing = Timing {
        compaction_threshold_bytes: 100_000,
        ..unpaced()
    };
    let mut core = Core::with_timing(timing, 100, false, 1000);
    core.change(1);
    let away = 2;
    core.stop(away);
    core.run(3000);
    core.change(10_500);
    let before: u64 = core.lines.iter().map(|line| line.bytes).sum();
    core.offers.clear();
    core.start(away);
    let ms = core.level_under_changes(away);
    let bytes = core.lines.iter().map(|line| line.bytes).sum::<u64>() - before;
    println!(
        "level in {ms} ms, {bytes} bytes on all lines, {} offers",
        core.offers.len()
    );
    assert!(!core.offers.is_empty(), "the log reached back all the way");
}

#[test]
fn a_machine_with_a_stalled_disk_follows_on_when_it_is_back() {
    let mut core = Core::new(4000, false, 1000);
    core.change(5);
    core.disks[2].stalled_until = core.at + 8000;
    core.run(3000);
    core.change(300);
    core.run(6000);
    let (ms, _) = core.time_to_level(2, 3000, |_| {});
    println!("level {ms} ms after its disk took writes");
}
