use super::*;
use crate::discovery::endpoint_list::{
    EndpointList, EndpointListOutput, EndpointListPeers, EndpointListReading, EndpointListTiming,
    ReadRetryPolicy,
};
use placement::ServerEntry;
use std::collections::VecDeque;
use types::{Address, Milliseconds, MonotonicInstant};
use wire::{Message, ServerListChange, ServerListChunk, ServerListState, seal};
use yare::parameterized;

mod restart;

/// A zone's nodes with a wire between them on which each letter takes 5 ms, and a platform that answers
/// within 20 ms. All see the same collector: the first that is not passed over.
struct Zone {
    now: u64,
    nodes: BTreeMap<Address, EndpointList>,
    members: BTreeSet<Address>,
    passed_over: BTreeSet<Address>,
    dead: BTreeSet<Address>,
    /// They can't read the list.
    cut_off: BTreeSet<Address>,
    /// Letters to them are lost.
    unreached: BTreeSet<Address>,
    /// Servers by name, cold until, and whether they are leaving.
    platform: BTreeMap<String, (u64, bool)>,
    fleet: usize,
    /// Whether a collector that is not heard is passed over.
    does_pass_over: bool,
    calls: Vec<(u64, Address)>,
    messages: Vec<(u64, Address, Address, Message)>,
    readings: Vec<(u64, Address, EndpointListReading)>,
    lists: BTreeMap<Address, Vec<ServerEntry>>,
    changes: usize,
    /// Letters that were sent, by kind: fresh, change, ask, piece.
    sent: [usize; 4],
}

fn node(port: u16) -> Address {
    Address::loopback(port)
}

impl Zone {
    fn new(count: u16) -> Self {
        Zone::of(count, 40, EndpointListTiming::default())
    }
    fn of(count: u16, servers: u64, timing: EndpointListTiming) -> Self {
        let members: BTreeSet<Address> = (1..=count).map(node).collect();
        let fresh = |one: &Address| {
            (
                *one,
                EndpointList::new(
                    *one,
                    u64::from(one.0.port()),
                    timing,
                    MonotonicInstant(10_000),
                ),
            )
        };
        Zone {
            now: 10_000,
            nodes: members.iter().map(fresh).collect(),
            fleet: members.len(),
            does_pass_over: true,
            members,
            passed_over: BTreeSet::new(),
            dead: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            unreached: BTreeSet::new(),
            platform: (0..servers)
                .map(|n| (format!("s{n:04}"), (0, false)))
                .collect(),
            calls: vec![],
            messages: vec![],
            readings: vec![],
            lists: BTreeMap::new(),
            changes: 0,
            sent: [0; 4],
        }
    }
    fn listed(&self) -> Vec<ServerEntry> {
        let entry =
            |(name, (warming_up_until, is_draining)): (&String, &(u64, bool))| ServerEntry {
                server: name.as_str().into(),
                address: Some(format!("10.0.0.1:{name}")),
                warm_up_left: Some(Milliseconds(warming_up_until.saturating_sub(self.now))),
                is_draining: *is_draining,
                ..ServerEntry::default()
            };
        self.platform.iter().map(entry).collect()
    }
    fn collector(&self) -> Option<Address> {
        self.members
            .iter()
            .find(|one| !self.passed_over.contains(*one))
            .copied()
    }
    fn take(&mut self, at: Address, outputs: Vec<EndpointListOutput>) {
        for output in outputs {
            match output {
                EndpointListOutput::Read(_) => {
                    self.calls.push((self.now, at));
                    let servers = (!self.cut_off.contains(&at)).then(|| self.listed());
                    let reading = EndpointListReading {
                        requested_at: MonotonicInstant(self.now),
                        calls: 1,
                        servers,
                    };
                    self.readings.push((self.now + 20, at, reading));
                }
                EndpointListOutput::Send { to, message } => {
                    match message {
                        Message::ServerListUnchanged { .. } => self.sent[0] += 1,
                        Message::ServerListChange { .. } => self.sent[1] += 1,
                        Message::ServerListRequest { .. } => self.sent[2] += 1,
                        _ => self.sent[3] += 1,
                    }
                    if !self.unreached.contains(&to) {
                        self.messages.push((self.now + 5, at, to, message));
                    }
                }
                EndpointListOutput::Servers(servers) => {
                    self.changes += 1;
                    self.lists.insert(at, servers);
                }
                EndpointListOutput::CollectorUnreachable(collector) => {
                    if self.does_pass_over {
                        self.passed_over.insert(collector);
                    }
                }
            }
        }
    }
    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 5;
            let now = self.now;
            let (messages, later) = std::mem::take(&mut self.messages)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.messages = later;
            let messages: Vec<(u64, Address, Address, Message)> = messages;
            for (_, from, to, message) in messages
                .into_iter()
                .filter(|message| !self.dead.contains(&message.2))
                .collect::<Vec<_>>()
            {
                let outputs = self.nodes.get_mut(&to).expect("a node").on_message(
                    MonotonicInstant(now),
                    from,
                    &message,
                );
                self.take(to, outputs);
            }
            let (readings, later) = std::mem::take(&mut self.readings)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.readings = later;
            let readings: Vec<(u64, Address, EndpointListReading)> = readings;
            for (_, at, reading) in readings
                .into_iter()
                .filter(|reading| !self.dead.contains(&reading.1))
                .collect::<Vec<_>>()
            {
                let outputs = self
                    .nodes
                    .get_mut(&at)
                    .expect("a node")
                    .on_reading(MonotonicInstant(now), reading);
                self.take(at, outputs);
            }
            for at in self
                .members
                .iter()
                .copied()
                .filter(|one| !self.dead.contains(one))
                .collect::<Vec<_>>()
            {
                let is_due = self.nodes[&at].next_timer().0 <= now
                    || (now + u64::from(at.0.port()) * 35).is_multiple_of(250);
                if is_due {
                    let members = self.members.clone();
                    let peers = EndpointListPeers {
                        zone: Some(&members),
                        collector: self.collector(),
                        fleet: self.fleet,
                    };
                    let outputs = self
                        .nodes
                        .get_mut(&at)
                        .expect("a node")
                        .on_clock(MonotonicInstant(now), peers);
                    self.take(at, outputs);
                }
            }
        }
    }
    fn calls_in(&mut self, span: u64) -> usize {
        let before = self.calls.len();
        self.run(span);
        self.calls.len() - before
    }
    fn knows(&self, at: Address, is_so: impl Fn(&ServerEntry) -> bool) -> bool {
        self.lists
            .get(&at)
            .is_some_and(|list| list.iter().any(is_so))
    }
    /// How many live nodes know of a server like this.
    fn knowing(&self, is_so: impl Fn(&ServerEntry) -> bool) -> usize {
        self.members
            .iter()
            .filter(|one| !self.dead.contains(*one) && self.knows(**one, &is_so))
            .count()
    }
    /// Until the collector has just read the list.
    fn run_to_reading(&mut self) {
        let before = self.calls.len();
        while self.calls.len() == before {
            self.run(5);
        }
        self.run(25);
    }
}

#[parameterized(
    a_small_fleet = { 11, 1, 44, 375 },
    more_pages = { 11, 4, 44, 1500 },
    a_large_one = { 88, 3, 44, 9000 },
)]
fn the_fleet_together_keeps_to_the_rate(members: usize, calls: usize, rate: u64, expected: u64) {
    let span = fleet_period(members, calls, rate);
    assert_eq!(span, Milliseconds(expected));
    assert!(members as u64 * calls as u64 * 1000 <= rate * span.0);
}

#[test]
fn a_quiet_zone_makes_one_call_a_second_and_one_small_letter_to_each() {
    let mut zone = Zone::new(30);
    zone.run(5000);
    assert_eq!(zone.lists.len(), 30);
    let (sent, changes) = (zone.sent, zone.changes);
    assert_eq!(zone.calls_in(60_000), 60);
    assert_eq!(
        (zone.sent[0] - sent[0], &zone.sent[1..]),
        (60 * 29, &sent[1..])
    );
    assert_eq!(zone.changes, changes);
    let message = Message::ServerListUnchanged {
        state: zone.nodes[&node(1)].state(),
    };
    assert!(message.is_datagram() && seal(node(1), &message).expect("sealed").len() < 120);
}

#[test]
fn those_that_have_read_the_same_take_over_the_collectors_version_without_asking() {
    let mut zone = Zone::new(30);
    zone.run(5000);
    assert_eq!(zone.sent[2], 0);
    let version = zone.nodes[&node(1)].version();
    assert!(zone.nodes.values().all(|one| one.version() == version));
}

#[test]
fn a_change_is_everywhere_at_once_after_the_collectors_reading() {
    let mut zone = Zone::new(30);
    zone.run(5000);
    zone.run_to_reading();
    zone.platform.get_mut("s0007").expect("listed").1 = true;
    zone.platform.remove("s0009");
    zone.platform.insert("t0001".into(), (0, false));
    let sent = zone.sent;
    zone.run_to_reading();
    zone.run(10);
    assert_eq!(
        zone.knowing(|entry| entry.server.as_str() == "s0007" && entry.is_draining),
        30
    );
    assert_eq!(zone.knowing(|entry| entry.server.as_str() == "t0001"), 30);
    assert_eq!(
        zone.knowing(|entry| entry.server.as_str() == "s0009"),
        0,
        "a life that is gone is gone"
    );
    assert_eq!((zone.sent[1] - sent[1], zone.sent[2]), (29, sent[2]));
}

#[test]
fn counting_down_is_no_change_but_turning_cold_again_is() {
    let mut zone = Zone::new(5);
    let end = zone.now + 8000;
    zone.platform.insert("t".into(), (end, false));
    zone.run(3000);
    let (changes, left) = (zone.changes, |zone: &Zone, at| {
        zone.nodes[&at]
            .servers()
            .iter()
            .find(|one| one.server.as_str() == "t")
            .and_then(|one| one.warm_up_left)
    });
    for _ in 0..10 {
        zone.run(1000);
        for at in 1..=5 {
            let told = left(&zone, node(at)).expect("told").0;
            assert!(told.abs_diff(end.saturating_sub(zone.now)) <= 300, "{told}");
        }
    }
    assert_eq!(zone.changes, changes);
    zone.platform.insert("t".into(), (zone.now + 5000, false));
    zone.run(1100);
    assert_eq!(zone.changes, changes + 5);
    assert!((1..=5).all(|at| left(&zone, node(at)).expect("told") > Milliseconds(3500)));
}

/// The collector is killed; others read themselves, pass it over, and go over to the next.
#[test]
fn after_the_collectors_end_members_read_themselves_and_go_over_to_the_next() {
    let mut zone = Zone::new(30);
    zone.run(5000);
    zone.run_to_reading();
    zone.dead.insert(node(1));
    zone.platform.get_mut("s0007").expect("listed").1 = true;
    zone.run(3100);
    assert_eq!(
        zone.knowing(|entry| entry.server.as_str() == "s0007" && entry.is_draining),
        29
    );
    zone.run(3000);
    assert!(zone.nodes[&node(2)].is_collecting());
    assert_eq!(zone.calls_in(10_000), 10);
    // Its passing over lapses, and still it is dead: the next one goes on.
    zone.passed_over.clear();
    assert_eq!(zone.calls_in(10_000), 10);
    // It is back, without what it knew.
    zone.dead.clear();
    let again = EndpointList::new(
        node(1),
        99,
        EndpointListTiming::default(),
        MonotonicInstant(zone.now),
    );
    zone.nodes.insert(node(1), again);
    zone.run(3000);
    assert!(zone.nodes[&node(1)].is_collecting() && !zone.nodes[&node(2)].is_collecting());
    assert_eq!((zone.calls_in(10_000), zone.sent[2]), (10, 0));
}

#[test]
fn a_collector_that_cannot_read_says_nothing_and_members_read_within_the_fleets_rate() {
    let mut zone = Zone::of(
        30,
        40,
        EndpointListTiming {
            max_calls_per_second: 10,
            ..EndpointListTiming::default()
        },
    );
    // It goes on collecting digests.
    zone.does_pass_over = false;
    zone.run(5000);
    zone.cut_off.insert(node(1));
    zone.run(2500);
    let calls = |zone: &Zone| zone.calls.iter().filter(|(_, at)| *at != node(1)).count();
    let (sent, before) = (zone.sent[0], calls(&zone));
    zone.run(20_000);
    assert!(
        calls(&zone) - before <= 200,
        "{} calls",
        calls(&zone) - before
    );
    assert!(
        calls(&zone) - before >= 60,
        "{} calls",
        calls(&zone) - before
    );
    assert_eq!(zone.sent[0], sent);
    zone.cut_off.clear();
    zone.run(3000);
    assert_eq!(zone.calls_in(5000), 5);
}

#[test]
fn a_collector_whose_reading_is_older_takes_nobody_back() {
    let mut zone = Zone::new(3);
    zone.run(5000);
    let stale = zone.nodes[&node(1)].clone();
    zone.platform.get_mut("s0007").expect("listed").1 = true;
    zone.run(2000);
    let is_draining = |entry: &ServerEntry| entry.server.as_str() == "s0007" && entry.is_draining;
    let mut member = zone.nodes[&node(3)].clone();
    let (version, read_at) = (member.version(), member.read_at());
    let mut old = stale.clone();
    old.now = MonotonicInstant(zone.now);
    let change = ServerListChange {
        state: old.state(),
        base: version,
        set: old.servers(),
        removed: vec![],
    };
    let piece = ServerListChunk {
        state: old.state(),
        offset: 0,
        length: 40,
        entries: old.servers(),
    };
    let messages = [
        Message::ServerListUnchanged { state: old.state() },
        Message::ServerListChange {
            change: Box::new(change),
        },
        Message::ServerListChunk {
            chunk: Box::new(piece),
        },
    ];
    for message in messages {
        assert_eq!(
            member.on_message(MonotonicInstant(zone.now), node(1), &message),
            vec![],
            "{message:?}"
        );
        assert_eq!((member.version(), member.read_at()), (version, read_at));
    }
    assert!(member.servers().iter().any(is_draining));
}

#[test]
fn an_older_reading_of_its_own_takes_nobody_back_either() {
    let mut zone = Zone::new(3);
    zone.run(5000);
    let mut member = zone.nodes[&node(3)].clone();
    let (version, requested_at) = (member.version(), MonotonicInstant(zone.now - 3000));
    let reading = EndpointListReading {
        requested_at,
        calls: 1,
        servers: Some(vec![]),
    };
    member.on_reading(MonotonicInstant(zone.now), reading);
    assert_eq!((member.version(), member.servers().len()), (version, 40));
}

#[test]
fn a_lost_change_is_made_up_for_within_a_period_even_of_cold_time_alone() {
    let mut zone = Zone::new(5);
    zone.run(5000);
    zone.run_to_reading();
    zone.unreached.insert(node(4));
    zone.platform
        .insert("s0007".into(), (zone.now + 60_000, false));
    zone.run_to_reading();
    zone.unreached.clear();
    let is_cold = |entry: &ServerEntry| {
        entry.server.as_str() == "s0007" && entry.warm_up_left > Some(Milliseconds(50_000))
    };
    zone.run(10);
    assert_eq!(zone.knowing(is_cold), 4);
    zone.run(1050);
    assert_eq!((zone.knowing(is_cold), zone.sent[2]), (5, 1));
}

#[test]
fn a_long_list_comes_by_pieces_and_in_its_newest_version() {
    let mut zone = Zone::of(2, 5000, EndpointListTiming::default());
    zone.cut_off.insert(node(2));
    // Two versions within the pieces of one.
    zone.run_to_reading();
    zone.run(3000);
    assert!(zone.sent[3] >= 3, "{} pieces", zone.sent[3]);
    assert_eq!(zone.lists.get(&node(2)).map(Vec::len), Some(5000));
    assert_eq!(
        zone.nodes[&node(1)].version(),
        zone.nodes[&node(2)].version()
    );
    let all: Vec<String> = zone.platform.keys().cloned().collect();
    all.iter()
        .for_each(|name| zone.platform.get_mut(name).expect("listed").1 = true);
    zone.run(1500);
    assert!(zone.lists[&node(2)].iter().all(|entry| entry.is_draining));
}

#[test]
fn one_that_has_just_started_reads_at_once_and_then_no_more() {
    let mut zone = Zone::new(5);
    zone.run(5000);
    zone.nodes.insert(
        node(5),
        EndpointList::new(
            node(5),
            77,
            EndpointListTiming::default(),
            MonotonicInstant(zone.now),
        ),
    );
    zone.lists.remove(&node(5));
    zone.run(50);
    assert_eq!(zone.lists.get(&node(5)).map(Vec::len), Some(40));
    zone.run(1500);
    assert_eq!(zone.calls_in(10_000), 10);
}

/// Letters may have lain at a machine for as long as it slept.
#[test]
fn after_a_sleep_only_what_was_read_since_counts() {
    let mut zone = Zone::new(3);
    zone.run(5000);
    let told = Message::ServerListUnchanged {
        state: zone.nodes[&node(1)].state(),
    };
    let mut member = zone.nodes[&node(3)].clone();
    let later = zone.now + 4000;
    assert!(member.is_fresh());
    member.on_message(MonotonicInstant(later), node(1), &told);
    assert!(
        !member.is_fresh(),
        "a letter that came before the clock event"
    );
    let old = EndpointListReading {
        requested_at: MonotonicInstant(zone.now),
        calls: 1,
        servers: Some(zone.listed()),
    };
    member.on_reading(MonotonicInstant(later + 1), old);
    assert!(!member.is_fresh(), "a reading that was under way");
    let members = zone.members.clone();
    let peers = EndpointListPeers {
        zone: Some(&members),
        collector: Some(node(1)),
        fleet: 3,
    };
    assert_eq!(
        member.on_clock(MonotonicInstant(later + 2), peers),
        vec![EndpointListOutput::Read(ReadRetryPolicy::Once)]
    );
    let new = EndpointListReading {
        requested_at: MonotonicInstant(later + 2),
        calls: 1,
        servers: Some(zone.listed()),
    };
    assert_eq!(
        member.on_reading(MonotonicInstant(later + 20), new),
        vec![],
        "nobody is passed over for its own sleep"
    );
    assert!(member.is_fresh());
}

#[test]
fn two_collectors_for_a_while_do_no_harm() {
    let mut zone = Zone::new(10);
    zone.run(5000);
    zone.nodes.get_mut(&node(2)).expect("a node").is_collecting = true;
    zone.nodes.get_mut(&node(3)).expect("a node").is_collecting = true;
    zone.platform.get_mut("s0007").expect("listed").1 = true;
    zone.run(1200);
    assert_eq!(
        zone.knowing(|entry| entry.server.as_str() == "s0007" && entry.is_draining),
        10
    );
    zone.run(2000);
    assert_eq!(zone.calls_in(10_000), 10);
}

/// However long a piece was under way: it tells what was known before it was asked for.
#[test]
fn a_piece_that_comes_late_takes_nobody_back() {
    let mut zone = Zone::new(3);
    zone.run(5000);
    let mut member = zone.nodes[&node(3)].clone();
    let mut other = zone.nodes[&node(1)].state();
    other.version.number += 1;
    other.check += 1;
    (other.age, zone.now) = (Milliseconds(0), zone.now + 300);
    let asks = member.on_message(
        MonotonicInstant(zone.now),
        node(1),
        &Message::ServerListUnchanged { state: other },
    );
    assert!(
        matches!(
            asks[..],
            [EndpointListOutput::Send {
                message: Message::ServerListRequest { .. },
                ..
            }]
        ),
        "{asks:?}"
    );
    // Meanwhile it reads the list itself.
    let requested_at = MonotonicInstant(zone.now + 400);
    member.on_reading(
        requested_at,
        EndpointListReading {
            requested_at,
            calls: 1,
            servers: Some(zone.listed()),
        },
    );
    let entries = BTreeMap::new();
    let state = ServerListState {
        check: checksum(&entries),
        warming_up: Milliseconds(0),
        ..other
    };
    let late = Message::ServerListChunk {
        chunk: Box::new(ServerListChunk {
            state,
            offset: 0,
            length: 0,
            entries: vec![],
        }),
    };
    assert_eq!(
        member.on_message(MonotonicInstant(zone.now + 500), node(1), &late),
        vec![]
    );
    assert_eq!(
        (member.servers().len(), member.read_at()),
        (40, Some(requested_at))
    );
}
