use super::*;
use crate::discovery::peer_discovery::PeerDiscovery;
use types::{Address, Milliseconds, MonotonicInstant, ViewNumber};
use wire::{ControllerContact, CoreLocation, LeaseResponse, Message, seal};

fn at(port: u16) -> Address {
    Address::loopback(port)
}

fn location(view: u64, voters: &[u16], controllers: &[(u16, u64)]) -> CoreLocation {
    let contact = |(port, age): &(u16, u64)| ControllerContact {
        inner: at(*port),
        admin: at(port + 50),
        age: Milliseconds(*age),
    };
    CoreLocation {
        view: ViewNumber(view),
        voters: voters.iter().copied().map(at).collect(),
        controllers: controllers.iter().map(contact).collect(),
    }
}

fn said(message: &Message) -> &CoreLocation {
    match message {
        Message::CoreLocation { location, .. } => location,
        other => panic!("not a location: {other:?}"),
    }
}

#[test]
fn a_seed_that_knows_nobody_learns_the_core_and_announces_it_on_request() {
    let start = MonotonicInstant(100_000);
    let mut core = PeerDiscovery::new(at(1), Some(at(51)), vec![at(9), at(8)], start);
    let mut seed = PeerDiscovery::new(at(9), None, vec![at(8), at(9)], start);
    assert_eq!(seed.elsewhere(), None, "nothing is known so far");
    core.learn(ViewNumber(4), [at(1), at(2)]);
    let sent = core.on_clock(start);
    assert_eq!(
        sent.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [at(9), at(8)]
    );
    let answer = seed.on_location(start + Milliseconds(5), at(1), said(&sent[0].1), false);
    let answer = answer.expect("a question is answered");
    assert_eq!(
        said(&answer),
        &location(4, &[], &[]),
        "one that knows as much is told no more"
    );
    assert_eq!(seed.core(), (ViewNumber(4), &[at(1), at(2)][..]));
    assert_eq!(seed.admin_addresses(start + Milliseconds(5)), [at(51)]);
    let voters = vec![at(1), at(2)];
    assert_eq!(
        seed.elsewhere(),
        Some(LeaseResponse::Elsewhere {
            view: ViewNumber(4),
            tail: None,
            voters
        })
    );
    // A newcomer with a disk that knows the seed alone.
    let mut newcomer = PeerDiscovery::new(at(3), Some(at(53)), vec![at(9)], start);
    let attempt = newcomer.on_clock(start + Milliseconds(6));
    let answer = seed
        .on_location(start + Milliseconds(7), at(3), said(&attempt[0].1), false)
        .expect("an answer");
    assert_eq!(
        newcomer.on_location(start + Milliseconds(8), at(9), said(&answer), true),
        None
    );
    assert_eq!(newcomer.core(), (ViewNumber(4), &[at(1), at(2)][..]));
    // One without a disk that is no seed.
    let mut relay = PeerDiscovery::new(at(7), None, vec![at(9)], start);
    let attempt = relay.on_clock(start + Milliseconds(9));
    let answer = seed
        .on_location(start + Milliseconds(10), at(7), said(&attempt[0].1), false)
        .expect("an answer");
    relay.on_location(start + Milliseconds(11), at(9), said(&answer), true);
    assert_eq!(relay.core(), newcomer.core());
    assert_eq!(
        relay.admin_addresses(start + Milliseconds(11)),
        [at(53), at(51)]
    );
}

#[test]
fn a_seed_that_has_restarted_learns_from_one_without_a_disk_too() {
    let start = MonotonicInstant(100_000);
    let mut relay = PeerDiscovery::new(at(7), None, vec![at(9)], start);
    relay.on_location(start, at(1), &location(4, &[1, 2], &[(1, 0)]), true);
    let mut seed = PeerDiscovery::new(at(9), None, vec![at(7)], start);
    let attempt = relay.on_clock(start + Milliseconds(5));
    seed.on_location(start + Milliseconds(10), at(7), said(&attempt[0].1), false);
    assert_eq!(
        (seed.core(), seed.admin_addresses(start + Milliseconds(10))),
        (relay.core(), vec![at(51)])
    );
}

#[test]
fn an_older_view_replaces_no_newer_one() {
    let mut contacts = PeerDiscovery::new(at(9), None, vec![], MonotonicInstant(100_000));
    contacts.on_location(
        MonotonicInstant(100_000),
        at(1),
        &location(7, &[1, 2], &[]),
        true,
    );
    contacts.on_location(
        MonotonicInstant(100_000),
        at(1),
        &location(6, &[4, 5], &[]),
        true,
    );
    contacts.on_location(
        MonotonicInstant(100_000),
        at(1),
        &location(7, &[4, 5], &[]),
        true,
    );
    assert_eq!(contacts.core(), (ViewNumber(7), &[at(1), at(2)][..]));
}

#[test]
fn operators_are_sent_to_controllers_seen_recently_or_to_all_if_none_was() {
    let mut contacts = PeerDiscovery::new(at(9), None, vec![], MonotonicInstant(100_000));
    contacts.on_location(
        MonotonicInstant(100_000),
        at(1),
        &location(1, &[], &[(1, 4000), (2, 100), (3, 20_000)]),
        true,
    );
    assert_eq!(
        contacts.admin_addresses(MonotonicInstant(100_000)),
        [at(52), at(51)]
    );
    assert_eq!(
        contacts.admin_addresses(MonotonicInstant(104_000)),
        [at(52)]
    );
    assert_eq!(
        contacts.admin_addresses(MonotonicInstant(107_500)),
        [at(52), at(51), at(53)]
    );
    assert_eq!(
        contacts.admin_addresses(MonotonicInstant(111_000)),
        [at(52), at(51)],
        "one unheard for 30 s is gone"
    );
    // An older word on one that was heard since changes nothing.
    contacts.on_location(
        MonotonicInstant(111_000),
        at(1),
        &location(1, &[], &[(1, 30)]),
        true,
    );
    contacts.on_location(
        MonotonicInstant(111_000),
        at(1),
        &location(1, &[], &[(1, 9000)]),
        true,
    );
    assert_eq!(
        contacts.admin_addresses(MonotonicInstant(111_000)),
        [at(51)]
    );
}

#[test]
fn seeds_are_notified_often_until_one_responds_and_again_when_they_change() {
    let mut contacts = PeerDiscovery::new(
        at(9),
        Some(at(59)),
        vec![at(1), at(9)],
        MonotonicInstant(100_000),
    );
    assert_eq!(
        contacts.on_clock(MonotonicInstant(100_000)).len(),
        1,
        "it does not tell itself"
    );
    assert_eq!(contacts.next_timer(), MonotonicInstant(100_250));
    assert_eq!(contacts.on_clock(MonotonicInstant(100_200)), []);
    contacts.on_location(
        MonotonicInstant(100_210),
        at(1),
        &location(1, &[1], &[]),
        true,
    );
    contacts.on_clock(MonotonicInstant(100_250));
    assert_eq!(contacts.next_timer(), MonotonicInstant(102_250));
    contacts.set_seeds(MonotonicInstant(100_300), vec![at(1), at(9)]);
    assert_eq!(
        contacts.next_timer(),
        MonotonicInstant(102_250),
        "the same seeds"
    );
    contacts.set_seeds(MonotonicInstant(100_400), vec![at(2)]);
    assert_eq!(contacts.on_clock(MonotonicInstant(100_400))[0].0, at(2));
    assert_eq!(
        contacts.next_timer(),
        MonotonicInstant(100_650),
        "none of these has answered"
    );
}

#[test]
fn the_response_fits_a_datagram_whatever_the_core_s_size() {
    let voters: Vec<u16> = (1..=19).collect();
    let controllers: Vec<(u16, u64)> = (1..=40).map(|port| (port, u64::from(port))).collect();
    let mut contacts =
        PeerDiscovery::new(at(99), Some(at(98)), vec![at(1)], MonotonicInstant(100_000));
    contacts.on_location(
        MonotonicInstant(100_000),
        at(1),
        &location(u64::MAX, &voters, &controllers),
        true,
    );
    let answer = contacts.on_location(
        MonotonicInstant(100_000),
        at(77),
        &location(0, &[], &[]),
        false,
    );
    let message = answer.expect("an answer");
    let sealed = seal(at(99), &message).expect("sealed");
    assert!(
        message.is_datagram() && sealed.len() <= 1200,
        "{} bytes",
        sealed.len()
    );
    let named: Vec<Address> = said(&message)
        .controllers
        .iter()
        .map(|contact| contact.inner)
        .collect();
    assert_eq!(
        (named[0], named[1], named.len()),
        (at(99), at(1), MAX_CONTACTS)
    );
}

/// 14 controllers in seven zones, half of them with a disk, five of which vote; all name the same three seeds. A seed
/// takes and sends less than 6 KB a second for it.
#[test]
fn the_exchange_is_cheap_for_a_seed_of_the_largest_fleet() {
    const SECONDS: u64 = 60;
    /// Of IP and UDP, to each datagram.
    const HEADERS: usize = 28;
    let mut clock = MonotonicInstant(100_000);
    let seeds = vec![at(8), at(9), at(10)];
    let admin = |port: u16| (port <= 7).then(|| at(port + 50));
    let mut all: BTreeMap<Address, PeerDiscovery> = (1..=14)
        .map(|port| {
            (
                at(port),
                PeerDiscovery::new(at(port), admin(port), seeds.clone(), clock),
            )
        })
        .collect();
    (1..=7).for_each(|port| {
        all.get_mut(&at(port))
            .expect("there")
            .learn(ViewNumber(3), (1..=5).map(at));
    });
    let mut bytes = 0;
    let mut count = |from: Address, to: Address, message: &Message| {
        if from == at(8) || to == at(8) {
            bytes += seal(from, message).expect("sealed").len() + HEADERS;
        }
    };
    for _ in 0..SECONDS * 20 {
        clock = clock + Milliseconds(50);
        for requester in (1..=14).map(at) {
            for (seed, message) in all.get_mut(&requester).expect("there").on_clock(clock) {
                count(requester, seed, &message);
                let answer = all.get_mut(&seed).expect("there").on_location(
                    clock,
                    requester,
                    said(&message),
                    false,
                );
                let answer = answer.expect("an answer");
                count(seed, requester, &answer);
                all.get_mut(&requester).expect("there").on_location(
                    clock,
                    seed,
                    said(&answer),
                    true,
                );
            }
        }
    }
    let a_second = bytes as u64 / SECONDS;
    assert!(a_second < 6000, "{a_second} bytes a second");
    assert!(
        all.values()
            .all(|contacts| contacts.core().0 == ViewNumber(3))
    );
}
