//! A small world of nodes, authorities and a bad network, over many seeds: whatever happens in it, no window
//! holds more than the bound, and what is within the limit is let in.

use crate::Mutant;
use crate::authority::QuotaAuthority;
use crate::holder::{Admission, QuotaClient, Settlement};
use crate::limit::{Amount, QuotaBounds, QuotaLimit};
use crate::messages::{CreditAsk, CreditGrant, CreditRequest};
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};
use yare::parameterized;

/// Numbers from a seed (splitmix64).
struct Random(u64);

impl Random {
    fn draw(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut x = self.0;
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        x ^ (x >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.draw() % bound.max(1)
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

const NODES: usize = 12;
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Milliseconds(8000),
    excess_percent: 10,
    tolerance: 400,
};
const START: u64 = 1_000_000;
/// Percent of the rate that is sent in ordinary times.
const ORDINARY_LOAD: u64 = 75;
/// And where they use all that they may.
const FULL_LOAD: u64 = 100;
/// Requests begin so long after the nodes.
const LEAD: u64 = 3000;

/// What is asked of a run.
#[derive(Clone, Copy)]
struct Play {
    seed: u64,
    seconds: u64,
    /// Units a second, and above that.
    rate: u64,
    burst: u64,
    /// Percent of the rate that is sent.
    load: u64,
    /// How it comes.
    shape: Shape,
    /// Kills, freezes, cuts, changes of the authority, lost and late letters.
    has_faults: bool,
    mutant: Option<Mutant>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Shape {
    /// All the time.
    Steady,
    /// By turns with ordinary traffic.
    Waves,
    /// By turns with ordinary traffic and then none.
    Pauses,
}

enum Packet {
    Ask(usize, CreditAsk),
    Grant(usize, Address, CreditGrant),
}

struct Node {
    holder: QuotaClient,
    frozen_until: u64,
    cut_until: u64,
    waiting: BTreeMap<u64, u64>,
}

/// The authority at one address, until another takes over.
struct Core {
    authority: QuotaAuthority,
    address: Address,
    away_until: u64,
}

struct World {
    play: Play,
    random: Random,
    now: u64,
    core: Core,
    nodes: Vec<Node>,
    packets: Vec<(u64, Packet)>,
    admitted: Vec<(u64, u64)>,
    refused: u64,
    sent: u64,
    incarnations: u64,
    number: u64,
}

fn tenant() -> TenantName {
    "one".into()
}
fn address(node: usize) -> Address {
    Address::loopback(2001 + node as u16)
}

impl World {
    fn new(play: Play) -> World {
        let mut world = World {
            play,
            random: Random(play.seed),
            now: START,
            core: World::core(&play, 1, START, START),
            nodes: vec![],
            packets: vec![],
            admitted: vec![],
            refused: 0,
            sent: 0,
            incarnations: 0,
            number: 0,
        };
        for _ in 0..NODES {
            let node = world.fresh_node();
            world.nodes.push(node);
        }
        world
    }

    fn core(play: &Play, number: u16, now: u64, away_until: u64) -> Core {
        let mut authority = QuotaAuthority::new(BOUNDS, MonotonicInstant(now));
        authority.mutant = play.mutant;
        Core {
            authority,
            address: Address::loopback(1000 + number),
            away_until,
        }
    }

    fn fresh_node(&mut self) -> Node {
        self.incarnations += 1;
        let mut holder = QuotaClient::new(self.incarnations, MonotonicInstant(self.now));
        holder.mutant = self.play.mutant;
        let limit = QuotaLimit {
            rate: Amount::units(self.play.rate),
            burst: Amount::units(self.play.burst),
        };
        holder.set_limits(ConfigEpoch(1), &[(tenant(), limit)]);
        Node {
            holder,
            frozen_until: 0,
            cut_until: 0,
            waiting: BTreeMap::new(),
        }
    }

    fn run(mut self) -> World {
        let end = START + self.play.seconds * 1000;
        while self.now < end {
            self.now += 5;
            self.strike();
            self.deliver();
            self.arrive();
            self.tick();
        }
        self
    }

    fn strike(&mut self) {
        if !self.play.has_faults || !self.random.chance(1) {
            return;
        }
        let node = self.random.below(NODES as u64) as usize;
        match self.random.below(8) {
            0 => self.nodes[node] = self.fresh_node(),
            1 => self.nodes[node].frozen_until = self.now + self.random.below(9000),
            2 => self.nodes[node].cut_until = self.now + self.random.below(9000),
            3 => {
                let number = 1 + self.random.below(3) as u16;
                let away = self.now + self.random.below(3000);
                self.core = World::core(&self.play, number, away, away);
            }
            _ => {}
        }
    }

    fn post(&mut self, node: usize, packet: Packet) {
        let is_cut = self.now < self.nodes[node].cut_until;
        if self.play.has_faults && (is_cut || self.random.chance(4)) {
            return;
        }
        let late = if self.play.has_faults && self.random.chance(5) {
            self.random.below(5000)
        } else {
            0
        };
        let copies = if self.play.has_faults && self.random.chance(25) {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let at = self.now + 1 + self.random.below(20) + late * (copy + 1);
            let packet = match &packet {
                Packet::Ask(node, ask) => Packet::Ask(*node, ask.clone()),
                Packet::Grant(node, from, grant) => Packet::Grant(*node, *from, grant.clone()),
            };
            self.packets.push((at, packet));
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let frozen: Vec<bool> = self
            .nodes
            .iter()
            .map(|node| now < node.frozen_until)
            .collect();
        let is_ripe = |(at, packet): &(u64, Packet)| {
            *at <= now
                && match packet {
                    Packet::Ask(..) => true,
                    Packet::Grant(node, ..) => !frozen[*node],
                }
        };
        let (ripe, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(is_ripe);
        self.packets = rest;
        let members: Vec<Address> = (0..NODES).map(address).collect();
        for (_, packet) in ripe {
            match packet {
                Packet::Ask(node, ask) => {
                    if now < self.core.away_until {
                        continue;
                    }
                    let grant = self.core.authority.on_ask(
                        MonotonicInstant(now),
                        address(node),
                        &ask,
                        &members,
                    );
                    let from = self.core.address;
                    grant
                        .into_iter()
                        .for_each(|grant| self.post(node, Packet::Grant(node, from, grant)));
                }
                Packet::Grant(node, from, grant) => {
                    let settled =
                        self.nodes[node]
                            .holder
                            .on_grant(MonotonicInstant(now), from, &grant);
                    self.settle(node, settled);
                }
            }
        }
    }

    fn settle(&mut self, node: usize, settled: Vec<Settlement>) {
        for one in settled {
            let Some(amount) = self.nodes[node].waiting.remove(&one.number) else {
                continue;
            };
            match one.outcome {
                Ok(()) => self.admitted.push((self.now, amount)),
                Err(_) => self.refused += 1,
            }
        }
    }

    fn arrive(&mut self) {
        if self.now < START + LEAD {
            return;
        }
        let load = match ((self.now - START) / 1000 % 30, self.play.shape) {
            (_, Shape::Steady) | (19.., _) => self.play.load,
            (6..19, Shape::Pauses) => 0,
            (_, Shape::Pauses) => FULL_LOAD,
            _ => ORDINARY_LOAD,
        };
        let units = self.play.rate * load / 100 * 5 / 1000;
        let mean = self.mean_request();
        let requests = units / mean + u64::from(self.random.below(mean) < units % mean);
        for _ in 0..requests {
            self.request();
        }
    }

    /// Units of a request on average. Nodes hold credit only where it is worth more than one request.
    fn mean_request(&self) -> u64 {
        if self.play.shape == Shape::Pauses {
            10
        } else {
            100
        }
    }

    fn request(&mut self) {
        let node = self.random.below(NODES as u64) as usize;
        let amount = 1 + self.random.below(self.mean_request() * 2 - 1);
        if self.now < self.nodes[node].frozen_until {
            return;
        }
        self.number += 1;
        self.sent += 1;
        let holder = &mut self.nodes[node].holder;
        match holder.admit(
            MonotonicInstant(self.now),
            self.number,
            &tenant(),
            Amount::units(amount),
        ) {
            Admission::Admitted => self.admitted.push((self.now, amount)),
            Admission::Waits => drop(self.nodes[node].waiting.insert(self.number, amount)),
            Admission::Denied(_) => self.refused += 1,
        }
    }

    fn tick(&mut self) {
        for node in 0..NODES {
            if self.now < self.nodes[node].frozen_until {
                continue;
            }
            let settled = self.nodes[node].holder.on_clock(MonotonicInstant(self.now));
            self.settle(node, settled);
            if let Some((_, ask)) = self.nodes[node]
                .holder
                .ask(MonotonicInstant(self.now), Some(self.core.address))
            {
                self.post(node, Packet::Ask(node, ask));
            }
        }
    }

    /// The most that any window holds.
    fn fullest_window(&self) -> u64 {
        let (mut first, mut sum, mut most) = (0, 0, 0);
        for (at, amount) in &self.admitted {
            sum += amount;
            while self.admitted[first].0 + BOUNDS.window.0 < *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            most = most.max(sum);
        }
        most
    }

    fn bound(&self) -> u64 {
        let limit = QuotaLimit {
            rate: Amount::units(self.play.rate),
            burst: Amount::units(self.play.burst),
        };
        BOUNDS
            .allowed(&limit)
            .plus(BOUNDS.slack(&limit))
            .thousandths
            / 1000
    }
}

fn hot(seed: u64) -> Play {
    let load = 700;
    let shape = [Shape::Steady, Shape::Waves, Shape::Pauses][seed as usize % 3];
    Play {
        seed,
        seconds: 90,
        rate: 1000,
        burst: 1000,
        load,
        shape,
        has_faults: true,
        mutant: None,
    }
}

#[test]
fn no_window_holds_more_than_the_bound_whatever_fails() {
    for seed in 0..150 {
        let world = World::new(hot(seed)).run();
        let (most, bound) = (world.fullest_window(), world.bound());
        assert!(most <= bound, "seed {seed}: {most} in a window of {bound}");
    }
}

#[test]
fn beyond_the_limit_each_window_is_used_whole() {
    for seed in 0..10 {
        let world = World::new(Play {
            has_faults: false,
            shape: Shape::Steady,
            ..hot(seed)
        })
        .run();
        let limit = world.play.rate * BOUNDS.window.0 / 1000 + world.play.burst;
        let (mut sum, mut windows) = (0, 0);
        let begin = START + LEAD + BOUNDS.window.0;
        for from in (begin..START + (world.play.seconds - 9) * 1000).step_by(1000) {
            let within = from..=from + BOUNDS.window.0;
            let used: u64 = world
                .admitted
                .iter()
                .filter(|(at, _)| within.contains(at))
                .map(|(_, amount)| amount)
                .sum();
            assert!(
                used * 10 >= limit * 9,
                "seed {seed}: {used} of {limit} in the window from {from}"
            );
            (sum, windows) = (sum + used, windows + 1);
        }
        assert!(
            sum >= limit * windows,
            "seed {seed}: {} of {limit} in a window on average",
            sum / windows
        );
    }
}

#[test]
fn within_the_limit_nothing_is_turned_away() {
    for seed in 0..10 {
        let play = Play {
            load: ORDINARY_LOAD,
            has_faults: false,
            shape: Shape::Steady,
            ..hot(seed)
        };
        let world = World::new(play).run();
        assert!(world.sent > 100, "{}", world.sent);
        assert_eq!(world.refused, 0, "seed {seed}: of {}", world.sent);
    }
}

/// Small requests of the same tenant don't keep large ones out.
#[test]
fn large_requests_get_as_much_as_small_ones() {
    let (mut large, mut small) = (0, 0);
    for seed in 0..10 {
        let world = World::new(Play {
            has_faults: false,
            shape: Shape::Steady,
            load: 300,
            ..hot(seed)
        })
        .run();
        large += world
            .admitted
            .iter()
            .filter(|(_, amount)| *amount > 150)
            .count();
        small += world
            .admitted
            .iter()
            .filter(|(_, amount)| *amount <= 50)
            .count();
    }
    assert!(
        large * 3 >= small * 2,
        "{large} large and {small} small ones"
    );
}

#[parameterized(
    forget_outstanding = { Mutant::ForgetOutstanding },
    spend_expired = { Mutant::SpendExpired },
    take_twice = { Mutant::TakeTwice },
    ignore_outstanding = { Mutant::IgnoreOutstanding },
)]
fn each_mutant_breaks_the_bound(mutant: Mutant) {
    let breaks = |seed: u64| {
        let has_faults = seed % 4 < 2;
        let world = World::new(Play {
            mutant: Some(mutant),
            has_faults,
            ..hot(seed)
        })
        .run();
        world.fullest_window() > world.bound()
    };
    assert!((0..150).any(breaks), "{mutant:?} was not seen");
}

#[test]
fn a_quota_without_burst_or_slack_lets_something_in() {
    let bounds = QuotaBounds {
        window: Milliseconds(1000),
        excess_percent: 0,
        tolerance: 1,
    };
    let mut authority = QuotaAuthority::new(bounds, MonotonicInstant(START));
    let limit = QuotaLimit {
        rate: Amount::units(2),
        burst: Amount::NONE,
    };
    let mut granted = 0;
    for number in 1..=200 {
        let entry = CreditRequest {
            tenant: tenant(),
            limit,
            held: Amount::NONE,
            need: Amount::units(1),
            want: Amount::units(1),
        };
        let ask = CreditAsk {
            incarnation: 1,
            number,
            plan_epoch: ConfigEpoch(1),
            fresh_for: None,
            is_whole: true,
            entries: vec![entry],
        };
        let grant = authority.on_ask(
            MonotonicInstant(START + number * 100),
            address(0),
            &ask,
            &[],
        );
        granted += grant.expect("an answer").entries[0].granted.thousandths / 1000;
    }
    assert!(
        (25..=42).contains(&granted),
        "{granted} in 20 s at 2 a second"
    );
}

#[test]
fn a_new_authority_waits_until_all_have_told_what_they_hold() {
    let mut authority = QuotaAuthority::new(BOUNDS, MonotonicInstant(START));
    let members = [address(0), address(1)];
    let limit = QuotaLimit {
        rate: Amount::units(1000),
        burst: Amount::units(1000),
    };
    let entry = |need: u64| CreditRequest {
        tenant: tenant(),
        limit,
        held: Amount::units(200),
        need: Amount::units(need),
        want: Amount::units(need),
    };
    let mut ask = |node: usize, number: u64, at: u64, is_whole: bool| {
        let ask = CreditAsk {
            incarnation: 7,
            number,
            plan_epoch: ConfigEpoch(1),
            fresh_for: None,
            is_whole,
            entries: vec![entry(10)],
        };
        authority
            .on_ask(MonotonicInstant(START + at), address(node), &ask, &members)
            .expect("an answer")
    };
    let first = ask(0, 1, 100, false);
    assert!(first.wants_whole && first.entries[0].granted.is_none() && first.entries[0].wait.0 > 0);
    let told = ask(0, 2, 200, true);
    assert!(!told.wants_whole && told.entries[0].granted.is_none());
    ask(1, 1, 300, true);
    assert_eq!(ask(0, 3, 1300, true).entries[0].granted, Amount::units(10));
}
