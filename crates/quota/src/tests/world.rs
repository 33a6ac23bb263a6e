//! A small world of nodes, authorities and an unreliable network, run from a seed.

use crate::amount::Amount;
use crate::authority::QuotaAuthority;
use crate::client::{Admission, AdmissionDecision, QuotaClient};
use crate::limit::{QuotaBounds, QuotaLimit};
use crate::messages::{CreditGrant, CreditRequest};
use crate::tests::mutant::Mutant;
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// A pseudo-random number generator (splitmix64).
pub(super) struct Random(u64);

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

pub(super) const NODES: usize = 12;
pub(super) const BOUNDS: QuotaBounds = QuotaBounds {
    window: Milliseconds(8000),
    excess_percent: 10,
    tolerance: 400,
};
pub(super) const START: u64 = 1_000_000;
/// The load in ordinary times, in percent of the rate.
pub(super) const ORDINARY_LOAD: u64 = 75;
/// The load that uses the whole limit, in percent of the rate.
pub(super) const FULL_LOAD: u64 = 100;
/// The time from the start of the nodes to the first request, in ms.
pub(super) const LEAD: u64 = 3000;

/// The parameters of a run.
#[derive(Clone, Copy)]
pub(super) struct Scenario {
    pub(super) seed: u64,
    pub(super) seconds: u64,
    /// Units per second, and units at once beyond that.
    pub(super) rate: u64,
    pub(super) burst: u64,
    /// Percent of the rate that is sent.
    pub(super) load: u64,
    /// How the load varies with time.
    pub(super) shape: Shape,
    /// Whether nodes crash, freeze or lose the network, authorities change, and messages are lost, late or repeated.
    pub(super) has_faults: bool,
    pub(super) mutant: Option<&'static Mutant>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// The same at all times.
    Steady,
    /// In turns with ordinary traffic.
    Waves,
    /// In turns with ordinary traffic, after pauses.
    Pauses,
}

pub(super) enum Packet {
    Request(usize, CreditRequest),
    Grant(usize, Address, CreditGrant),
}

pub(super) struct Node {
    client: QuotaClient,
    frozen_until: u64,
    cut_until: u64,
    waiting: BTreeMap<u64, u64>,
}

/// The authority at one address, until another one takes over.
pub(super) struct Core {
    authority: QuotaAuthority,
    address: Address,
    away_until: u64,
}

pub(super) struct World {
    pub(super) scenario: Scenario,
    random: Random,
    now: u64,
    core: Core,
    nodes: Vec<Node>,
    packets: Vec<(u64, Packet)>,
    pub(super) admitted: Vec<(u64, u64)>,
    pub(super) rejected: u64,
    pub(super) sent: u64,
    incarnations: u64,
    number: u64,
}

pub(super) fn tenant() -> TenantName {
    "one".into()
}
pub(super) fn address(node: usize) -> Address {
    Address::loopback(2001 + node as u16)
}

impl World {
    pub(super) fn new(scenario: Scenario) -> World {
        let mut world = World {
            scenario,
            random: Random(scenario.seed),
            now: START,
            core: World::core(&scenario, 1, START, START),
            nodes: vec![],
            packets: vec![],
            admitted: vec![],
            rejected: 0,
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

    fn core(scenario: &Scenario, number: u16, now: u64, away_until: u64) -> Core {
        let mut authority = QuotaAuthority::new(BOUNDS, MonotonicInstant(now));
        if let Some(mutant) = scenario.mutant {
            authority.faults = mutant;
        }
        Core {
            authority,
            address: Address::loopback(1000 + number),
            away_until,
        }
    }

    fn fresh_node(&mut self) -> Node {
        self.incarnations += 1;
        let mut client = QuotaClient::new(self.incarnations, MonotonicInstant(self.now));
        if let Some(mutant) = self.scenario.mutant {
            client.faults = mutant;
        }
        let limit = QuotaLimit {
            rate: Amount::units(self.scenario.rate),
            burst: Amount::units(self.scenario.burst),
        };
        client.set_limits(ConfigEpoch(1), &[(tenant(), limit)]);
        Node {
            client,
            frozen_until: 0,
            cut_until: 0,
            waiting: BTreeMap::new(),
        }
    }

    pub(super) fn run(mut self) -> World {
        let end = START + self.scenario.seconds * 1000;
        while self.now < end {
            self.now += 5;
            self.inject_fault();
            self.deliver();
            self.arrive();
            self.tick();
        }
        self
    }

    fn inject_fault(&mut self) {
        if !self.scenario.has_faults || !self.random.chance(1) {
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
                self.core = World::core(&self.scenario, number, away, away);
            }
            _ => {}
        }
    }

    fn post(&mut self, node: usize, packet: Packet) {
        let is_cut = self.now < self.nodes[node].cut_until;
        if self.scenario.has_faults && (is_cut || self.random.chance(4)) {
            return;
        }
        let late = if self.scenario.has_faults && self.random.chance(5) {
            self.random.below(5000)
        } else {
            0
        };
        let copies = if self.scenario.has_faults && self.random.chance(25) {
            2
        } else {
            1
        };
        for copy in 0..copies {
            let at = self.now + 1 + self.random.below(20) + late * (copy + 1);
            let packet = match &packet {
                Packet::Request(node, request) => Packet::Request(*node, request.clone()),
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
        let is_reached = |(at, packet): &(u64, Packet)| {
            *at <= now
                && match packet {
                    Packet::Request(..) => true,
                    Packet::Grant(node, ..) => !frozen[*node],
                }
        };
        let (deadline, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.packets)
            .into_iter()
            .partition(is_reached);
        self.packets = rest;
        let members: Vec<Address> = (0..NODES).map(address).collect();
        for (_, packet) in deadline {
            match packet {
                Packet::Request(node, request) => {
                    if now < self.core.away_until {
                        continue;
                    }
                    let grant = self.core.authority.on_request(
                        MonotonicInstant(now),
                        address(node),
                        &request,
                        &members,
                    );
                    let from = self.core.address;
                    grant
                        .into_iter()
                        .for_each(|grant| self.post(node, Packet::Grant(node, from, grant)));
                }
                Packet::Grant(node, from, grant) => {
                    let decisions =
                        self.nodes[node]
                            .client
                            .on_grant(MonotonicInstant(now), from, &grant);
                    self.record_decisions(node, decisions);
                }
            }
        }
    }

    fn record_decisions(&mut self, node: usize, decisions: Vec<AdmissionDecision>) {
        for decision in decisions {
            let Some(amount) = self.nodes[node].waiting.remove(&decision.number) else {
                continue;
            };
            match decision.outcome {
                Ok(()) => self.admitted.push((self.now, amount)),
                Err(_) => self.rejected += 1,
            }
        }
    }

    fn arrive(&mut self) {
        if self.now < START + LEAD {
            return;
        }
        let load = match ((self.now - START) / 1000 % 30, self.scenario.shape) {
            (_, Shape::Steady) | (19.., _) => self.scenario.load,
            (6..19, Shape::Pauses) => 0,
            (_, Shape::Pauses) => FULL_LOAD,
            _ => ORDINARY_LOAD,
        };
        let units = self.scenario.rate * load / 100 * 5 / 1000;
        let mean = self.mean_request();
        let requests = units / mean + u64::from(self.random.below(mean) < units % mean);
        for _ in 0..requests {
            self.request();
        }
    }

    /// The average units of a request. Nodes have credit for future requests only if it is worth more than one request.
    fn mean_request(&self) -> u64 {
        if self.scenario.shape == Shape::Pauses {
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
        let client = &mut self.nodes[node].client;
        match client.admit(
            MonotonicInstant(self.now),
            self.number,
            &tenant(),
            Amount::units(amount),
        ) {
            Admission::Admitted => self.admitted.push((self.now, amount)),
            Admission::Waiting => drop(self.nodes[node].waiting.insert(self.number, amount)),
            Admission::Rejected(_) => self.rejected += 1,
        }
    }

    fn tick(&mut self) {
        for node in 0..NODES {
            if self.now < self.nodes[node].frozen_until {
                continue;
            }
            let decisions = self.nodes[node].client.on_clock(MonotonicInstant(self.now));
            self.record_decisions(node, decisions);
            if let Some((_, request)) = self.nodes[node]
                .client
                .next_request(MonotonicInstant(self.now), Some(self.core.address))
            {
                self.post(node, Packet::Request(node, request));
            }
        }
    }

    /// The largest number of units that any window has.
    pub(super) fn fullest_window(&self) -> u64 {
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

    pub(super) fn bound(&self) -> u64 {
        let limit = QuotaLimit {
            rate: Amount::units(self.scenario.rate),
            burst: Amount::units(self.scenario.burst),
        };
        BOUNDS
            .allowed(&limit)
            .plus(BOUNDS.slack(&limit))
            .thousandths
            / 1000
    }
}
