//! Servers that answer their probes and fail requests: found by what fails at them over all nodes.

use primer::prelude::*;
use yare::parameterized;

const START: u64 = 1_000_000;
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

struct Played {
    desk: Desk,
    orders: u64,
    told: u64,
}

impl Played {
    fn new() -> Self {
        let desk_rules = DeskRules { block_micros: 143, does_order_copies: false, ..DeskRules::default() };
        let mut played = Played { desk: Desk::new(Address::loopback(1), 1, desk_rules), orders: 0, told: 0 };
        let service = ServiceRules {
            pool: "model".into(),
            halls: vec![],
            servers: vec![],
            first_token: Span(800),
            slots: 8,
            btb: BtbRules::default(),
            cold_per_second: 0,
            cold_span: Span(0),
            memory_tokens: 650_000,
        };
        let rules = Rules { epoch: Epoch(1), services: [("hints".into(), service)].into(), withdrawn: vec![] };
        played.take(0, Event::Rules { rules });
        let entry = |name: &str| RollEntry {
            server: name.into(),
            hall: "north".into(),
            pool: "model".into(),
            slots: Some(8),
            cold_left: Some(Span(0)),
            ..RollEntry::default()
        };
        played.take(0, Event::Roll { servers: NAMES.map(entry).to_vec() });
        played
    }
    fn take(&mut self, at: u64, event: Event) -> Vec<Decision> {
        self.desk.take(Dated { at: Moment(START + at), event })
    }
    /// An order of its own; gives it with where it goes.
    fn ask(&mut self, at: u64) -> (OrderId, ServerName) {
        self.orders += 1;
        let order = OrderId(format!("o{}", self.orders));
        let demand = Demand { hash_tokens: vec![300], prompt_tokens: 300, deadline: Span(3000), ..Demand::default() };
        let event = Event::Prompt {
            order: order.clone(),
            service: "hints".into(),
            hashes: vec![PrefixHash(self.orders)],
            round: 0,
            tried: vec![],
            demand,
        };
        let decisions = self.take(at, event);
        let placed = decisions.into_iter().find_map(|decision| match decision {
            Decision::Placed { server, .. } => Some(server),
            _ => None,
        });
        (order, placed.expect("it is placed"))
    }
    /// Where so many go that are served at once.
    fn spread(&mut self, at: u64, count: u64) -> Vec<ServerName> {
        let mut servers = vec![];
        for n in 0..count {
            let (order, server) = self.ask(at + n);
            self.take(at + n, Event::Ended { order, outcome: Outcome::Complete });
            servers.push(server);
        }
        servers
    }
    /// What fails at all other nodes.
    fn tell(&mut self, at: u64, failures: &[(&str, u32)]) -> Vec<Decision> {
        self.told += 1;
        let in_flight = failures.iter().map(|(server, failures)| InFlight {
            server: (*server).into(),
            count: 0,
            unread: 0,
            tokens: 0,
            read: 0,
            failures: *failures,
        });
        let sketch = Sketch {
            incarnation: 1,
            number: self.told,
            in_flight: in_flight.collect(),
            missing: Some(vec![]),
            ..Sketch::default()
        };
        self.take(at, Event::Trade { from: FLEET, sketch })
    }
}

fn ejected(decisions: &[Decision]) -> Vec<&str> {
    let suspected = decisions.iter().filter_map(|decision| match decision {
        Decision::Suspected { server, .. } => Some(server.as_str()),
        _ => None,
    });
    suspected.collect()
}

/// The failure: a tenth of the servers failed half of their requests for six seconds, each node saw one
/// failure at most there, and went on sending.
#[test]
fn what_fails_at_other_nodes_keeps_a_server_from_work_here() {
    let mut played = Played::new();
    assert!(played.spread(0, 60).iter().any(|server| server.as_str() == "a"));
    assert_eq!(ejected(&played.tell(1000, &[("a", 3), ("b", 1)])), ["a"]);
    assert!(played.spread(1100, 60).iter().all(|server| server.as_str() != "a"));
    played.tell(4000, &[]);
    assert!(played.spread(5100, 60).iter().any(|server| server.as_str() == "a"), "it may have come to itself");
}

#[test]
fn one_that_goes_on_failing_is_kept_from_work_for_longer() {
    let mut played = Played::new();
    played.tell(1000, &[("a", 3)]);
    played.tell(4000, &[]);
    assert_eq!(ejected(&played.tell(6000, &[("a", 4)])), ["a"]);
    played.tell(7000, &[]);
    assert!(played.spread(11_000, 60).iter().all(|server| server.as_str() != "a"));
    assert!(played.spread(14_100, 60).iter().any(|server| server.as_str() == "a"));
}

#[test]
fn own_failures_count_with_those_of_others() {
    let mut played = Played::new();
    played.tell(1000, &[("a", 1), ("b", 1), ("c", 1), ("d", 1), ("e", 1), ("f", 1)]);
    let mut decisions = vec![];
    for at in 0..6 {
        let (order, server) = played.ask(1100 + at);
        let outcome = if server.as_str() == "a" { Outcome::Refused } else { Outcome::Complete };
        decisions.extend(played.take(1100 + at, Event::Ended { order, outcome }));
    }
    assert_eq!(ejected(&decisions), [] as [&str; 0], "two are chance");
}

#[parameterized(
    all_alike = { &[("a", 9), ("b", 8), ("c", 9), ("d", 10), ("e", 9), ("f", 12)], &[] },
    all_bad_one_far_worse = { &[("a", 40), ("b", 8), ("c", 9), ("d", 7), ("e", 9), ("f", 8)], &["a"] },
    few_are_chance = { &[("a", 2), ("b", 2)], &[] },
    no_more_than_half = { &[("a", 9), ("b", 8), ("c", 7)], &["a", "b", "c"] },
)]
fn only_those_far_worse_than_their_kin_are_ejected(failures: &[(&str, u32)], expected: &[&str]) {
    let mut played = Played::new();
    assert_eq!(ejected(&played.tell(1000, failures)), expected);
}

/// One that turns requests away at once looks idle, and would draw ever more of them.
#[test]
fn one_that_turns_away_although_it_has_room_is_ejected() {
    let mut played = Played::new();
    let mut ejections = vec![];
    for n in 0..60 {
        let (order, server) = played.ask(n * 20);
        let outcome = if server.as_str() == "a" { Outcome::Refused } else { Outcome::Complete };
        ejections.extend(ejected(&played.take(n * 20, Event::Ended { order, outcome })).iter().map(|s| s.to_string()));
    }
    assert_eq!(ejections, ["a"]);
}
