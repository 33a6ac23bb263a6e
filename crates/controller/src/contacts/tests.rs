use super::*;
use crate::contacts::Contacts;
use types::{Address, Moment, Span, ViewEpoch};
use wire::{ControllerContact, CoreLocation, Letter, PollResponse, seal};

fn at(port: u16) -> Address {
    Address::loopback(port)
}

fn location(view: u64, voters: &[u16], controllers: &[(u16, u64)]) -> CoreLocation {
    let contact = |(port, age): &(u16, u64)| ControllerContact {
        inner: at(*port),
        admin: at(port + 50),
        age: Span(*age),
    };
    CoreLocation {
        view: ViewEpoch(view),
        voters: voters.iter().copied().map(at).collect(),
        controllers: controllers.iter().map(contact).collect(),
    }
}

fn said(letter: &Letter) -> &CoreLocation {
    match letter {
        Letter::CoreLocation { location, .. } => location,
        other => panic!("not a location: {other:?}"),
    }
}

#[test]
fn a_seed_that_knows_nobody_learns_the_core_from_it_and_tells_whoever_asks() {
    let start = Moment(100_000);
    let mut core = Contacts::new(at(1), Some(at(51)), vec![at(9), at(8)], start);
    let mut seed = Contacts::new(at(9), None, vec![at(8), at(9)], start);
    assert_eq!(seed.elsewhere(), None, "nothing is known so far");
    core.learn(ViewEpoch(4), [at(1), at(2)]);
    let sent = core.on_clock(start);
    assert_eq!(
        sent.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [at(9), at(8)]
    );
    let answer = seed.on_location(start + Span(5), at(1), said(&sent[0].1), false);
    let answer = answer.expect("a question is answered");
    assert_eq!(
        said(&answer),
        &location(4, &[], &[]),
        "one that knows as much is told no more"
    );
    assert_eq!(seed.core(), (ViewEpoch(4), &[at(1), at(2)][..]));
    assert_eq!(seed.admin_addresses(start + Span(5)), [at(51)]);
    let voters = vec![at(1), at(2)];
    assert_eq!(
        seed.elsewhere(),
        Some(PollResponse::Elsewhere {
            view: ViewEpoch(4),
            tail: None,
            voters
        })
    );
    // A newcomer with a disk that knows the seed alone.
    let mut newcomer = Contacts::new(at(3), Some(at(53)), vec![at(9)], start);
    let asked = newcomer.on_clock(start + Span(6));
    let answer = seed
        .on_location(start + Span(7), at(3), said(&asked[0].1), false)
        .expect("an answer");
    assert_eq!(
        newcomer.on_location(start + Span(8), at(9), said(&answer), true),
        None
    );
    assert_eq!(newcomer.core(), (ViewEpoch(4), &[at(1), at(2)][..]));
    // One without a disk that is no seed.
    let mut relay = Contacts::new(at(7), None, vec![at(9)], start);
    let asked = relay.on_clock(start + Span(9));
    let answer = seed
        .on_location(start + Span(10), at(7), said(&asked[0].1), false)
        .expect("an answer");
    relay.on_location(start + Span(11), at(9), said(&answer), true);
    assert_eq!(relay.core(), newcomer.core());
    assert_eq!(relay.admin_addresses(start + Span(11)), [at(53), at(51)]);
}

#[test]
fn a_seed_that_has_restarted_learns_from_one_without_a_disk_too() {
    let start = Moment(100_000);
    let mut relay = Contacts::new(at(7), None, vec![at(9)], start);
    relay.on_location(start, at(1), &location(4, &[1, 2], &[(1, 0)]), true);
    let mut seed = Contacts::new(at(9), None, vec![at(7)], start);
    let asked = relay.on_clock(start + Span(5));
    seed.on_location(start + Span(10), at(7), said(&asked[0].1), false);
    assert_eq!(
        (seed.core(), seed.admin_addresses(start + Span(10))),
        (relay.core(), vec![at(51)])
    );
}

#[test]
fn an_older_view_replaces_no_newer_one() {
    let mut contacts = Contacts::new(at(9), None, vec![], Moment(100_000));
    contacts.on_location(Moment(100_000), at(1), &location(7, &[1, 2], &[]), true);
    contacts.on_location(Moment(100_000), at(1), &location(6, &[4, 5], &[]), true);
    contacts.on_location(Moment(100_000), at(1), &location(7, &[4, 5], &[]), true);
    assert_eq!(contacts.core(), (ViewEpoch(7), &[at(1), at(2)][..]));
}

#[test]
fn operators_are_sent_to_whom_was_heard_last_and_to_all_while_nobody_was() {
    let mut contacts = Contacts::new(at(9), None, vec![], Moment(100_000));
    contacts.on_location(
        Moment(100_000),
        at(1),
        &location(1, &[], &[(1, 4000), (2, 100), (3, 20_000)]),
        true,
    );
    assert_eq!(contacts.admin_addresses(Moment(100_000)), [at(52), at(51)]);
    assert_eq!(contacts.admin_addresses(Moment(104_000)), [at(52)]);
    assert_eq!(
        contacts.admin_addresses(Moment(107_500)),
        [at(52), at(51), at(53)]
    );
    assert_eq!(
        contacts.admin_addresses(Moment(111_000)),
        [at(52), at(51)],
        "one unheard for 30 s is gone"
    );
    // An older word on one that was heard since changes nothing.
    contacts.on_location(Moment(111_000), at(1), &location(1, &[], &[(1, 30)]), true);
    contacts.on_location(
        Moment(111_000),
        at(1),
        &location(1, &[], &[(1, 9000)]),
        true,
    );
    assert_eq!(contacts.admin_addresses(Moment(111_000)), [at(51)]);
}

#[test]
fn seeds_are_told_soon_until_one_answers_and_anew_when_they_change() {
    let mut contacts = Contacts::new(at(9), Some(at(59)), vec![at(1), at(9)], Moment(100_000));
    assert_eq!(
        contacts.on_clock(Moment(100_000)).len(),
        1,
        "it does not tell itself"
    );
    assert_eq!(contacts.next_timer(), Moment(100_250));
    assert_eq!(contacts.on_clock(Moment(100_200)), []);
    contacts.on_location(Moment(100_210), at(1), &location(1, &[1], &[]), true);
    contacts.on_clock(Moment(100_250));
    assert_eq!(contacts.next_timer(), Moment(102_250));
    contacts.set_seeds(Moment(100_300), vec![at(1), at(9)]);
    assert_eq!(contacts.next_timer(), Moment(102_250), "the same seeds");
    contacts.set_seeds(Moment(100_400), vec![at(2)]);
    assert_eq!(contacts.on_clock(Moment(100_400))[0].0, at(2));
    assert_eq!(
        contacts.next_timer(),
        Moment(100_650),
        "none of these has answered"
    );
}

#[test]
fn what_is_told_fits_a_datagram_whatever_the_core_s_size() {
    let voters: Vec<u16> = (1..=19).collect();
    let controllers: Vec<(u16, u64)> = (1..=40).map(|port| (port, u64::from(port))).collect();
    let mut contacts = Contacts::new(at(99), Some(at(98)), vec![at(1)], Moment(100_000));
    contacts.on_location(
        Moment(100_000),
        at(1),
        &location(u64::MAX, &voters, &controllers),
        true,
    );
    let answer = contacts.on_location(Moment(100_000), at(77), &location(0, &[], &[]), false);
    let letter = answer.expect("an answer");
    let sealed = seal(at(99), &letter).expect("sealed");
    assert!(
        letter.is_datagram() && sealed.len() <= 1200,
        "{} bytes",
        sealed.len()
    );
    let told: Vec<Address> = said(&letter)
        .controllers
        .iter()
        .map(|contact| contact.inner)
        .collect();
    assert_eq!((told[0], told[1], told.len()), (at(99), at(1), MOST_TOLD));
}

/// 14 controllers in seven zones, half of them with a disk, five of which vote; all name the same three seeds. A seed
/// takes and sends less than 6 KB a second for it.
#[test]
fn the_exchange_is_cheap_for_a_seed_of_the_largest_fleet() {
    const SECONDS: u64 = 60;
    /// Of IP and UDP, to each datagram.
    const HEADERS: usize = 28;
    let mut clock = Moment(100_000);
    let seeds = vec![at(8), at(9), at(10)];
    let admin = |port: u16| (port <= 7).then(|| at(port + 50));
    let mut all: BTreeMap<Address, Contacts> = (1..=14)
        .map(|port| {
            (
                at(port),
                Contacts::new(at(port), admin(port), seeds.clone(), clock),
            )
        })
        .collect();
    (1..=7).for_each(|port| {
        all.get_mut(&at(port))
            .expect("there")
            .learn(ViewEpoch(3), (1..=5).map(at))
    });
    let mut bytes = 0;
    let mut count = |from: Address, to: Address, letter: &Letter| {
        if from == at(8) || to == at(8) {
            bytes += seal(from, letter).expect("sealed").len() + HEADERS;
        }
    };
    for _ in 0..SECONDS * 20 {
        clock = clock + Span(50);
        for asker in (1..=14).map(at) {
            for (seed, letter) in all.get_mut(&asker).expect("there").on_clock(clock) {
                count(asker, seed, &letter);
                let answer = all.get_mut(&seed).expect("there").on_location(
                    clock,
                    asker,
                    said(&letter),
                    false,
                );
                let answer = answer.expect("an answer");
                count(seed, asker, &answer);
                all.get_mut(&asker)
                    .expect("there")
                    .on_location(clock, seed, said(&answer), true);
            }
        }
    }
    let a_second = bytes as u64 / SECONDS;
    assert!(a_second < 6000, "{a_second} bytes a second");
    assert!(
        all.values()
            .all(|contacts| contacts.core().0 == ViewEpoch(3))
    );
}
