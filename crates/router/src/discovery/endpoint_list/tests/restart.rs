//! A whole fleet that starts at once, in front of a platform that takes few calls.

use super::*;
use crate::discovery::endpoint_list::{
    EndpointList, EndpointListOutput, EndpointListPeers, EndpointListReading, EndpointListTiming,
    ReadRetryPolicy,
};
use placement::{ServerEntry, mix};
use types::{Address, MonotonicInstant};
use wire::Message;

/// Nodes of each zone.
const ZONE_SIZE: usize = 60;
/// A page is there so much later.
const PAGE: u64 = 20;
/// As in the reader (`list_reader.rs`).
const PAGE_PAUSE: u64 = 200;
const PERSISTS_FOR: u64 = 3000;
/// A process knows its zone so long after it has started.
const LEASE: u64 = 500;
/// A letter takes so long.
const LETTER: u64 = 5;

/// What the platform takes: so many calls in any second, and no more.
struct Platform {
    rate: usize,
    taken: VecDeque<u64>,
    refused: usize,
}

impl Platform {
    fn takes(&mut self, now: u64) -> bool {
        while self.taken.front().is_some_and(|at| at + 1000 <= now) {
            self.taken.pop_front();
        }
        let takes = self.taken.len() < self.rate;
        match takes {
            true => self.taken.push_back(now),
            false => self.refused += 1,
        }
        takes
    }
}

/// A reading under way: when the next page is asked for.
struct Reader {
    requested_at: u64,
    next_page: u64,
    pages: usize,
    effort: ReadRetryPolicy,
}

struct FleetStart {
    now: u64,
    nodes: Vec<EndpointList>,
    readers: Vec<Option<Reader>>,
    platform: Platform,
    pages: usize,
    messages: Vec<(u64, Address, Address, Message)>,
    knows_since: Vec<Option<u64>>,
    /// When each process starts; it knows the others `LEASE` later.
    starts: Vec<u64>,
    /// So many of the first nodes of each zone are members still, and never come back.
    dead: usize,
    /// Whom each node passes over as its zone's collector.
    passed_over: Vec<BTreeSet<Address>>,
}

impl FleetStart {
    /// The processes start within `spread`.
    fn new(zones: usize, pages: usize, rate: u64, spread: u64, seed: u64) -> Self {
        let timing = EndpointListTiming {
            max_calls_per_second: rate,
            ..EndpointListTiming::default()
        };
        let incarnation = |place: usize| mix(seed << 20 | place as u64);
        let starts: Vec<u64> = (0..zones * ZONE_SIZE)
            .map(|place| 10_000 + mix(incarnation(place)) % spread)
            .collect();
        let fresh = |place: usize| {
            EndpointList::new(
                node(1 + place as u16),
                incarnation(place),
                timing,
                MonotonicInstant(starts[place]),
            )
        };
        let count = starts.len();
        FleetStart {
            now: 10_000,
            nodes: (0..count).map(fresh).collect(),
            readers: (0..count).map(|_| None).collect(),
            platform: Platform {
                rate: rate as usize,
                taken: VecDeque::new(),
                refused: 0,
            },
            pages,
            messages: vec![],
            knows_since: vec![None; count],
            passed_over: vec![BTreeSet::new(); count],
            starts,
            dead: 0,
        }
    }

    fn is_dead(&self, place: usize) -> bool {
        place % ZONE_SIZE < self.dead
    }

    fn take(&mut self, place: usize, outputs: Vec<EndpointListOutput>) {
        for output in outputs {
            match output {
                EndpointListOutput::Read(effort) => {
                    let (requested_at, next_page) = (self.now, self.now + PAGE);
                    self.readers[place] = Some(Reader {
                        requested_at,
                        next_page,
                        pages: 0,
                        effort,
                    });
                }
                EndpointListOutput::Send { to, message } => {
                    self.messages
                        .push((self.now + LETTER, node(1 + place as u16), to, message));
                }
                EndpointListOutput::Servers(_) => {
                    let now = self.now;
                    self.knows_since[place].get_or_insert(now);
                }
                EndpointListOutput::CollectorUnreachable(collector) => {
                    self.passed_over[place].insert(collector);
                }
            }
        }
    }

    /// One page for the reader of this node.
    fn read_page(&mut self, place: usize) {
        let Some(reader) = &mut self.readers[place] else {
            return;
        };
        if self.now < reader.next_page {
            return;
        }
        let is_taken = self.platform.takes(self.now);
        if !is_taken
            && reader.effort == ReadRetryPolicy::Persistent
            && self.now < reader.requested_at + PERSISTS_FOR
        {
            reader.next_page = self.now + PAGE_PAUSE;
            return;
        }
        reader.pages += 1;
        reader.next_page = self.now + PAGE;
        if is_taken && reader.pages < self.pages {
            return;
        }
        let entry = |n: u64| ServerEntry {
            server: format!("s{n:04}").as_str().into(),
            ..ServerEntry::default()
        };
        let servers = is_taken.then(|| (0..160).map(entry).collect());
        let reading = EndpointListReading {
            requested_at: MonotonicInstant(reader.requested_at),
            calls: reader.pages,
            servers,
        };
        self.readers[place] = None;
        let outputs = self.nodes[place].on_reading(MonotonicInstant(self.now), reading);
        self.take(place, outputs);
    }

    fn step(&mut self) {
        self.now += 5;
        let now = self.now;
        let (arrived, later) = std::mem::take(&mut self.messages)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.messages = later;
        let arrived: Vec<(u64, Address, Address, Message)> = arrived;
        for (_, from, to, message) in arrived {
            let place = usize::from(to.0.port()) - 1;
            if now < self.starts[place] || self.is_dead(place) {
                continue;
            }
            let outputs = self.nodes[place].on_message(MonotonicInstant(now), from, &message);
            self.take(place, outputs);
        }
        for place in 0..self.nodes.len() {
            if now < self.starts[place] || self.is_dead(place) {
                continue;
            }
            self.read_page(place);
            let is_awaited = self.nodes[place].next_timer().0 <= now
                || (now + place as u64 * 35).is_multiple_of(250);
            if is_awaited {
                let first = place / ZONE_SIZE * ZONE_SIZE;
                let zone: BTreeSet<Address> = (first..first + ZONE_SIZE)
                    .map(|n| node(1 + n as u16))
                    .collect();
                let is_leased = now >= self.starts[place] + LEASE;
                let peers = EndpointListPeers {
                    zone: is_leased.then_some(&zone),
                    collector: zone
                        .iter()
                        .find(|one| is_leased && !self.passed_over[place].contains(one))
                        .copied(),
                    fleet: if is_leased { self.nodes.len() } else { 0 },
                };
                let outputs = self.nodes[place].on_clock(MonotonicInstant(now), peers);
                self.take(place, outputs);
            }
        }
    }

    /// Runs until all know the list; gives how long after the last start that is.
    fn run(mut self) -> u64 {
        let last_start = self.starts.iter().copied().max().unwrap_or_default();
        let live: Vec<usize> = (0..self.nodes.len())
            .filter(|place| !self.is_dead(*place))
            .collect();
        while live.iter().any(|place| self.knows_since[*place].is_none()) {
            assert!(
                self.now < last_start + 30_000,
                "some know nothing: {} calls refused",
                self.platform.refused
            );
            self.step();
        }
        self.now.saturating_sub(last_start)
    }
}

/// Each of 300 or 420 nodes reads the list at once as it starts, with four pages a reading, and the platform
/// takes 50 calls a second of all together. What it turns away is tried again later; meanwhile the collectors get
/// through and tell their zones.
#[parameterized(
    all_at_once = { 5, 4, 10 },
    all_at_once_in_more_zones = { 7, 4, 10 },
    within_a_second = { 5, 4, 1000 },
    within_four_seconds = { 5, 4, 4000 },
    within_four_seconds_in_more_zones = { 7, 4, 4000 },
)]
fn a_fleet_that_starts_together_knows_the_list_soon(zones: usize, pages: usize, spread: u64) {
    for seed in 1..=12 {
        let took = FleetStart::new(zones, pages, 50, spread, seed).run();
        assert!(took <= 5000, "seed {seed}: {took} ms");
    }
}

/// The first of each zone, which should read for it, is a member still and never comes back.
#[parameterized(one = { 1, 10 }, one_late = { 1, 4000 }, two = { 2, 1000 })]
fn a_fleet_whose_first_members_are_gone_knows_the_list_soon(dead: usize, spread: u64) {
    for seed in 1..=12 {
        let fleet = FleetStart {
            dead,
            ..FleetStart::new(5, 4, 50, spread, seed)
        };
        let took = fleet.run();
        assert!(took <= 8000, "seed {seed}: {took} ms");
    }
}
