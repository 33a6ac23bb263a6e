use super::*;
use crate::dissemination::{DigestTiming, Dissemination};
use placement::{Digest, DigestKey, PrefixHash, mix};
use types::{Address, MonotonicInstant, ZoneName};
use wire::{Member, Message, seal};

/// Nodes with a wire between them on which each letter takes 5 ms.
struct Wire {
    now: u64,
    nodes: BTreeMap<Address, Dissemination>,
    local_digest: BTreeMap<Address, Digest>,
    sums: BTreeMap<Address, Digest>,
    dead: BTreeSet<Address>,
    under_way: Vec<(u64, Address, Address, Message)>,
    bytes: BTreeMap<Address, u64>,
    messages: u64,
    longest: u64,
}

const SERVER: u32 = 77;

fn node(port: u16) -> Address {
    Address::loopback(port)
}

impl Wire {
    /// So many zones with so many nodes each; ports are 100, 101, … in the first, 200, … in the second.
    fn new(zones: u16, each: u16) -> Self {
        let members: Vec<Member> = (1..=zones)
            .flat_map(|zone| (0..each).map(move |n| (zone, zone * 100 + n)))
            .map(|(zone, port)| Member {
                address: node(port),
                zone: ZoneName(format!("zone-{zone}")),
            })
            .collect();
        let fresh = |member: &Member| {
            let incarnation = u64::from(member.address.0.port());
            let zone = member.zone.clone();
            let mut one = Dissemination::new(
                member.address,
                zone,
                incarnation,
                DigestTiming::default(),
                MonotonicInstant(1000),
            );
            one.set_members(&members);
            (member.address, one)
        };
        Wire {
            now: 1000,
            nodes: members.iter().map(fresh).collect(),
            local_digest: BTreeMap::new(),
            sums: BTreeMap::new(),
            dead: BTreeSet::new(),
            under_way: vec![],
            bytes: BTreeMap::new(),
            messages: 0,
            longest: 0,
        }
    }

    fn see(&mut self, at: Address, count: u16) {
        let mut digest = Digest::default();
        digest.more(DigestKey::Load(SERVER), count);
        self.local_digest.insert(at, digest);
    }

    fn send(&mut self, from: Address, messages: Vec<(Address, Message)>) {
        for (to, message) in messages {
            let bytes = seal(from, &message).expect("sealed").len() as u64;
            *self.bytes.entry(from).or_default() += bytes;
            self.messages += 1;
            self.longest = self.longest.max(bytes);
            self.under_way.push((self.now + 5, from, to, message));
        }
        if let Some((_, _, sum)) = self
            .nodes
            .get_mut(&from)
            .and_then(Dissemination::take_fleet_digest)
        {
            self.sums.insert(from, sum);
        }
    }

    fn run(&mut self, span: u64) {
        let until = self.now + span;
        while self.now < until {
            self.now += 5;
            let now = self.now;
            let (deadline, later) = std::mem::take(&mut self.under_way)
                .into_iter()
                .partition(|(at, ..)| *at <= now);
            self.under_way = later;
            let deadline: Vec<(u64, Address, Address, Message)> = deadline;
            for (_, from, to, message) in deadline {
                if self.dead.contains(&to) || self.dead.contains(&from) {
                    continue;
                }
                let Some(one) = self.nodes.get_mut(&to) else {
                    continue;
                };
                let messages = match message {
                    Message::Digest {
                        leg,
                        incarnation,
                        number,
                        is_snapshot,
                        change,
                    } => one.on_digest(
                        MonotonicInstant(now),
                        from,
                        leg,
                        incarnation,
                        number,
                        is_snapshot,
                        &change,
                    ),
                    Message::DigestAck { leg, number } => {
                        one.on_ack(MonotonicInstant(now), from, leg, number)
                    }
                    _ => vec![],
                };
                self.send(to, messages);
            }
            let all: Vec<Address> = self.nodes.keys().copied().collect();
            for (place, address) in all.into_iter().enumerate() {
                // Each at its own time, 250 ms apart.
                if !(now + place as u64 * 35).is_multiple_of(250) || self.dead.contains(&address) {
                    continue;
                }
                let local_digest = self.local_digest.get(&address).cloned().unwrap_or_default();
                let messages = self
                    .nodes
                    .get_mut(&address)
                    .map(|one| one.on_clock(MonotonicInstant(now), local_digest))
                    .unwrap_or_default();
                self.send(address, messages);
            }
        }
    }

    fn load_at(&self, at: Address) -> u16 {
        self.sums
            .get(&at)
            .map_or(0, |sum| sum.count(DigestKey::Load(SERVER)))
    }
}

#[test]
fn nothing_in_hand_is_nothing_said_and_after_work_there_is_silence_again() {
    let mut wire = Wire::new(3, 4);
    wire.run(20_000);
    assert_eq!(wire.messages, 0);
    wire.see(node(203), 4);
    wire.run(5000);
    assert!(wire.messages > 0);
    wire.local_digest.clear();
    wire.run(20_000);
    let before = wire.messages;
    wire.run(60_000);
    assert_eq!(wire.messages - before, 0, "letters in a quiet minute");
    assert_eq!(wire.load_at(node(101)), 0);
}

#[test]
fn sums_reach_every_node_within_about_a_second_and_count_nobody_twice() {
    let mut wire = Wire::new(3, 4);
    let all: Vec<Address> = wire.nodes.keys().copied().collect();
    all.iter().for_each(|one| wire.see(*one, 1));
    wire.run(3000);
    for one in &all {
        assert_eq!(wire.load_at(*one), 11, "{one}: all but its own");
        assert_eq!(wire.sums[one].missing, BTreeSet::new(), "{one}");
    }
    wire.see(node(303), 6);
    let began = wire.now;
    while all
        .iter()
        .any(|one| wire.load_at(*one) != if *one == node(303) { 11 } else { 16 })
    {
        wire.run(5);
        assert!(
            wire.now - began < 1200,
            "not everywhere after 1200 ms: {:?}",
            all.map(|one| wire.load_at(one))
        );
    }
}

trait MapAll {
    fn map(&self, of: impl Fn(Address) -> u16) -> Vec<u16>;
}

impl MapAll for Vec<Address> {
    fn map(&self, of: impl Fn(Address) -> u16) -> Vec<u16> {
        self.iter().map(|one| of(*one)).collect()
    }
}

#[test]
fn a_collector_that_is_killed_is_replaced_and_one_that_comes_back_takes_over_again() {
    let mut wire = Wire::new(3, 4);
    let all: Vec<Address> = wire.nodes.keys().copied().collect();
    all.iter().for_each(|one| wire.see(*one, 1));
    wire.run(3000);
    wire.dead.insert(node(200));
    wire.run(6000);
    for one in all.iter().filter(|one| **one != node(200)) {
        assert_eq!(
            wire.load_at(*one),
            10,
            "{one}: all but its own and the dead one's"
        );
        assert_eq!(wire.sums[one].missing, BTreeSet::from([node(200)]), "{one}");
    }
    // It comes back in a new life and knows nothing.
    wire.dead.clear();
    let mut back = Dissemination::new(
        node(200),
        "zone-2".into(),
        9999,
        DigestTiming::default(),
        MonotonicInstant(wire.now),
    );
    let members: Vec<Member> = all
        .iter()
        .map(|one| Member {
            address: *one,
            zone: ZoneName(format!("zone-{}", one.0.port() / 100)),
        })
        .collect();
    back.set_members(&members);
    wire.nodes.insert(node(200), back);
    wire.run(25_000);
    for one in &all {
        assert_eq!(wire.load_at(*one), 11, "{one}");
        assert_eq!(
            wire.nodes[one].collector(&"zone-2".into()),
            Some(node(200)),
            "{one}"
        );
    }
}

#[test]
fn a_zone_that_is_lost_is_told_as_missing_and_counts_no_more() {
    let mut wire = Wire::new(3, 4);
    let all: Vec<Address> = wire.nodes.keys().copied().collect();
    all.iter().for_each(|one| wire.see(*one, 1));
    wire.run(3000);
    let lost: BTreeSet<Address> = (300..304).map(node).collect();
    wire.dead = lost.clone();
    wire.run(6000);
    assert_eq!(
        (wire.load_at(node(101)), &wire.sums[&node(101)].missing),
        (7, &lost)
    );
}

#[test]
fn bytes_of_each_node_and_the_longest_letter_are_bounded_in_a_large_busy_fleet() {
    let mut wire = Wire::new(3, 16);
    let all: Vec<Address> = wire.nodes.keys().copied().collect();
    let mut random = 1;
    for _ in 0..10 {
        for one in &all {
            let mut digest = Digest::default();
            for _ in 0..80 {
                random = mix(random);
                digest.more(DigestKey::Load((random % 880) as u32), 1);
                digest.more(DigestKey::HotPrefix(PrefixHash(mix(random) % 2000)), 1);
            }
            wire.local_digest.insert(*one, digest);
        }
        wire.run(1000);
    }
    assert!(wire.longest < 20_000, "{} bytes", wire.longest);
    let of_node = wire.bytes[&node(105)];
    assert!(of_node < 10 * 4500, "{of_node} bytes in ten seconds");
}
