//! What a cold server gets from a whole fleet whose nodes know different memberships: some are cut off from the core,
//! some have just started, some were retired and don't know. Pure, seeded, in steps of a millisecond.

use placement::{
    BtbRules, Decision, Event, Outcome, RequestCost, Rules, Scheduler, SchedulerRules, ServerEntry,
    ServiceRules, Timestamped, mix,
};
use std::collections::{BTreeSet, VecDeque};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId};
use yare::parameterized;

const START: u64 = 1_000_000;
/// A lease runs for this long from when it was asked for.
const LEASE: u64 = 2000;
/// Requests a second that the cold server bears.
const BEARS: usize = 20;
const NODES: usize = 11;

/// A node, and how it stands with the core.
struct Node {
    scheduler: Scheduler,
    incarnations: u64,
    /// Since when its process runs.
    up_from: u64,
    cut_until: u64,
    next_poll: u64,
    /// The membership's epoch that it knows.
    knows: ConfigEpoch,
    /// Answers under way: when they come, when they were asked for, the membership as it was at the core.
    answers: VecDeque<(u64, u64, ConfigEpoch, Vec<Address>)>,
}

/// One server that is cold throughout, and nodes that send it whatever they may.
struct Fleet {
    now: u64,
    seed: u64,
    nodes: Vec<Node>,
    membership: Vec<Address>,
    since: ConfigEpoch,
    next: u64,
    placed: Vec<u64>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Fleet {
            now: START,
            seed,
            nodes: vec![],
            membership: vec![],
            since: ConfigEpoch(0),
            next: 0,
            placed: vec![],
        };
        for place in 0..NODES {
            let node = Node {
                scheduler: Scheduler::new(own(place), 0, SchedulerRules::default()),
                incarnations: 0,
                up_from: START,
                cut_until: START,
                next_poll: START,
                knows: ConfigEpoch(0),
                answers: VecDeque::new(),
            };
            fleet.nodes.push(node);
            fleet.restart(place);
        }
        fleet
    }
    fn random(&mut self, below: u64) -> u64 {
        self.seed = mix(self.seed);
        self.seed % below
    }
    fn tell(&mut self, place: usize, event: Event) -> Vec<Decision> {
        self.nodes[place].scheduler.take(Timestamped {
            at: MonotonicInstant(self.now),
            event,
        })
    }
    /// A node's process ends and another starts a little later, at the same address.
    fn restart(&mut self, place: usize) {
        let up_from = self.now + self.random(400);
        let node = &mut self.nodes[place];
        node.incarnations += 1;
        node.scheduler = Scheduler::new(own(place), node.incarnations, SchedulerRules::default());
        (node.up_from, node.next_poll, node.knows) = (up_from, up_from, ConfigEpoch(0));
        node.answers.clear();
    }
    /// The new life is told the plan and the list as soon as it runs.
    fn begin(&mut self, place: usize) {
        let service = ServiceRules {
            pool: "model".into(),
            zones: vec![],
            servers: vec![],
            first_token: Milliseconds(800),
            slots: 128,
            btb: BtbRules::default(),
            warm_up_per_second: BEARS as u32,
            warm_up_duration: Milliseconds(3000),
            memory_tokens: 0,
        };
        let services = [("drafts".into(), service)].into();
        self.tell(
            place,
            Event::Rules {
                rules: Rules {
                    epoch: ConfigEpoch(1),
                    services,
                    withdrawn: vec![],
                },
            },
        );
        let entry = ServerEntry {
            server: "new".into(),
            slots: Some(128),
            warm_up_left: Some(Milliseconds(600_000)),
            zone: "north".into(),
            pool: "model".into(),
            ..ServerEntry::default()
        };
        self.tell(
            place,
            Event::ServerList {
                servers: vec![entry],
            },
        );
    }
    /// The core's membership becomes this.
    fn change_membership(&mut self, members: BTreeSet<Address>) {
        self.membership = members.into_iter().collect();
        self.since = self.since.next();
    }
    /// A millisecond goes by: polls, and answers with leases and memberships.
    fn step(&mut self) {
        self.now += 1;
        for place in 0..NODES {
            if self.nodes[place].up_from == self.now {
                self.begin(place);
            }
            if self.now < self.nodes[place].up_from {
                continue;
            }
            while let Some((_, asked, since, membership)) = self.nodes[place]
                .answers
                .pop_front_if(|(deadline, ..)| *deadline <= self.now)
            {
                if since < self.nodes[place].knows {
                    continue;
                }
                if since > self.nodes[place].knows {
                    self.nodes[place].knows = since;
                    self.tell(
                        place,
                        Event::Members {
                            members: membership,
                            since,
                        },
                    );
                }
                self.tell(
                    place,
                    Event::Lease {
                        until: MonotonicInstant(asked + LEASE),
                        span: Milliseconds(LEASE),
                    },
                );
            }
            if self.now >= self.nodes[place].next_poll {
                self.nodes[place].next_poll = self.now + 1000;
                let is_member = self.membership.contains(&own(place));
                if is_member && self.now >= self.nodes[place].cut_until {
                    let deadline = self.now + 1 + self.random(150);
                    let answer = (deadline, self.now, self.since, self.membership.clone());
                    self.nodes[place].answers.push_back(answer);
                }
            }
        }
    }
    /// A request comes to a node; it ends at once.
    fn submit(&mut self, place: usize) {
        if self.now <= self.nodes[place].up_from {
            return;
        }
        self.next += 1;
        let request = RequestId(format!("o{}", self.next));
        let request_cost = RequestCost {
            prompt_tokens: 100,
            output_tokens: 10,
            deadline: Milliseconds(15_000),
            ..RequestCost::default()
        };
        let (service, hashes, tried) = ("drafts".into(), vec![], vec![]);
        let decisions = self.tell(
            place,
            Event::Prompt {
                request: request.clone(),
                service,
                hashes,
                round: 0,
                tried,
                request_cost,
            },
        );
        if decisions
            .iter()
            .any(|decision| matches!(decision, Decision::Placed { .. }))
        {
            self.placed.push(self.now);
            self.tell(
                place,
                Event::Ended {
                    request,
                    outcome: Outcome::Complete,
                },
            );
        }
    }
    /// For so long, requests come to each node as fast as a cold server could be flooded by it alone.
    fn press(&mut self, span: u64) {
        for _ in 0..span {
            self.step();
            for _ in 0..3 {
                let place = self.random(NODES as u64) as usize;
                self.submit(place);
            }
        }
    }
    /// The most in any second, of those placed from a moment on.
    fn most_a_second(&self, from: u64) -> usize {
        let placed: Vec<u64> = self
            .placed
            .iter()
            .copied()
            .filter(|at| *at >= from)
            .collect();
        let within = |place: usize| {
            placed[place..]
                .iter()
                .take_while(|at| **at < placed[place] + 1000)
                .count()
        };
        (0..placed.len()).map(within).max().unwrap_or(0)
    }
}

fn own(place: usize) -> Address {
    Address::loopback(place as u16 + 1)
}

fn all() -> BTreeSet<Address> {
    (0..NODES).map(own).collect()
}

#[test]
fn a_calm_fleet_sends_a_cold_server_just_what_it_bears() {
    let mut fleet = Fleet::new(1);
    fleet.change_membership(all());
    fleet.press(12_000);
    assert_eq!(fleet.most_a_second(START), BEARS);
    let consecutive_late = fleet
        .placed
        .iter()
        .filter(|at| **at >= START + 6000)
        .count();
    assert!(
        consecutive_late >= BEARS * 6 * 9 / 10,
        "{consecutive_late} in six seconds"
    );
}

#[test]
fn one_that_was_alone_and_lost_the_core_takes_nothing_on_what_it_knew() {
    let mut fleet = Fleet::new(2);
    fleet.change_membership([own(0)].into());
    fleet.press(6000);
    assert!(fleet.placed.len() > BEARS, "alone it may take all");
    // It's cut off; the others join without its hearing of it.
    fleet.nodes[0].cut_until = u64::MAX;
    fleet.change_membership(all());
    let from = fleet.now;
    fleet.press(12_000);
    assert!(
        fleet.most_a_second(START) <= BEARS,
        "{} in a second",
        fleet.most_a_second(from)
    );
    let consecutive_late = fleet.placed.iter().filter(|at| **at >= from + 6000).count();
    assert!(
        consecutive_late >= BEARS * 6 * 8 / 10,
        "{consecutive_late} in six seconds from the ten that are left"
    );
}

#[test]
fn one_that_was_away_while_the_others_shared_its_part_waits_for_them() {
    let mut fleet = Fleet::new(3);
    fleet.change_membership(all());
    fleet.press(6000);
    fleet.nodes[0].cut_until = u64::MAX;
    fleet.change_membership([own(1)].into());
    fleet.press(8000);
    // The same members as it knew: that they were others meanwhile, it has not seen.
    fleet.change_membership(all());
    fleet.nodes[0].cut_until = fleet.now;
    fleet.press(8000);
    assert!(
        fleet.most_a_second(START) <= BEARS,
        "{} in a second",
        fleet.most_a_second(START)
    );
}

#[parameterized(
    seed_1 = { 101 },
    seed_2 = { 102 },
    seed_3 = { 103 },
    seed_4 = { 104 },
    seed_5 = { 105 },
    seed_6 = { 106 },
)]
fn whatever_each_node_knows_a_cold_server_gets_no_more_than_it_bears(seed: u64) {
    let mut fleet = Fleet::new(seed);
    for _ in 0..40 {
        // Now and then nothing changes for long enough that claims hold.
        let span = if fleet.random(3) == 0 {
            4000 + fleet.random(3000)
        } else {
            100 + fleet.random(1500)
        };
        fleet.press(span);
        match fleet.random(4) {
            0 => {
                let members = (0..NODES)
                    .map(own)
                    .filter(|_| fleet.random(3) > 0)
                    .collect();
                fleet.change_membership(members);
            }
            1 => fleet.change_membership(all()),
            2 => {
                let (place, span) = (fleet.random(NODES as u64) as usize, fleet.random(8000));
                fleet.nodes[place].cut_until = fleet.now + span;
            }
            _ => {
                let place = fleet.random(NODES as u64) as usize;
                fleet.restart(place);
            }
        }
    }
    assert!(fleet.placed.len() > 100, "{} placed", fleet.placed.len());
    assert!(
        fleet.most_a_second(START) <= BEARS,
        "{} in a second",
        fleet.most_a_second(START)
    );
    // And once all is calm, it's given nearly all that it bears.
    fleet.nodes.iter_mut().for_each(|node| node.cut_until = 0);
    fleet.change_membership(all());
    fleet.press(6000);
    let from = fleet.now;
    fleet.press(5000);
    let consecutive_late = fleet.placed.iter().filter(|at| **at >= from).count();
    assert!(
        consecutive_late >= BEARS * 5 * 9 / 10,
        "{consecutive_late} in five seconds"
    );
}
