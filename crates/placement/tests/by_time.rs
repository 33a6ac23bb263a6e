//! Placement where clients tell what they ask: tokens, targets, deadlines.

use placement::{
    BtbRules, Decision, Event, InFlight, Outcome, PlacementReason, PrefixHash, RequestCost, Rules,
    Scheduler, SchedulerRules, ServerEntry, ServiceRules, Sketch, Timestamped,
};
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode, ServerName,
};
use yare::parameterized;

/// Long after the machine came up.
const START: u64 = 1_000_000;

fn service() -> ServiceRules {
    ServiceRules {
        pool: "model".into(),
        zones: vec![],
        servers: vec![],
        first_token: Milliseconds(800),
        slots: 128,
        btb: BtbRules::default(),
        warm_up_per_second: 0,
        warm_up_duration: Milliseconds(0),
        memory_tokens: 650_000,
    }
}

fn scheduler_rules() -> SchedulerRules {
    SchedulerRules {
        block_micros: 143,
        orders_kv_copies: false,
        ..SchedulerRules::default()
    }
}

fn entry(name: &str, zone: &str) -> ServerEntry {
    ServerEntry {
        server: name.into(),
        zone: zone.into(),
        pool: "model".into(),
        slots: Some(128),
        warm_up_left: Some(Milliseconds(0)),
        ..ServerEntry::default()
    }
}

struct Played {
    scheduler: Scheduler,
    next: u64,
}

impl Played {
    fn with(
        service: ServiceRules,
        scheduler_rules: SchedulerRules,
        servers: Vec<ServerEntry>,
    ) -> Self {
        let mut played = Played {
            scheduler: Scheduler::new(Address::loopback(1), 1, scheduler_rules),
            next: 0,
        };
        let rules = Rules {
            epoch: ConfigEpoch(1),
            services: [("drafts".into(), service)].into(),
            withdrawn: vec![],
        };
        played.take(0, Event::Rules { rules });
        played.take(0, Event::ServerList { servers });
        played
    }
    fn new() -> Self {
        let servers = ["a", "b", "c", "d", "e", "f"]
            .map(|name| entry(name, "north"))
            .to_vec();
        Played::with(service(), scheduler_rules(), servers)
    }
    fn take(&mut self, at: u64, event: Event) -> Vec<Decision> {
        self.scheduler.take(Timestamped {
            at: MonotonicInstant(START + at),
            event,
        })
    }
    /// A prompt of these parts and tokens; gives its request and the decision on it.
    fn submit(&mut self, at: u64, parts: &[(u64, u32)], round: u32) -> (RequestId, Decision) {
        self.next += 1;
        let request = RequestId(format!("o{}", self.next));
        let request_cost = RequestCost {
            hash_tokens: parts.iter().map(|(_, tokens)| *tokens).collect(),
            prompt_tokens: parts.iter().map(|(_, tokens)| tokens).sum(),
            output_tokens: 400,
            deadline: Milliseconds(15_000),
            ..RequestCost::default()
        };
        let event = Event::Prompt {
            request: request.clone(),
            service: "drafts".into(),
            hashes: parts.iter().map(|(hash, _)| PrefixHash(*hash)).collect(),
            round,
            tried: vec![],
            request_cost,
        };
        let decisions = self.take(at, event);
        let is_answer =
            |d: &Decision| matches!(d, Decision::Placed { .. } | Decision::Refused { .. });
        (
            request,
            decisions
                .into_iter()
                .find(is_answer)
                .expect("each request is placed or refused"),
        )
    }
    fn draft(&mut self, at: u64, prefix: u64) -> (RequestId, Decision) {
        let own = 1_000_000 + self.next;
        self.submit(at, &[(1, 512), (prefix, 4870), (own, 6610)], 0)
    }
    fn end(&mut self, at: u64, request: RequestId, outcome: Outcome) -> Vec<Decision> {
        self.take(at, Event::Ended { request, outcome })
    }
}

fn server_of(decision: &Decision) -> ServerName {
    let Decision::Placed { server, .. } = decision else {
        panic!("not placed: {decision:?}")
    };
    server.clone()
}

#[parameterized(
    long_shared_prefix = { &[(1, 512), (2, 4870), (3, 6610)], true },
    shared_prefix_under_y_blocks = { &[(1, 341), (2, 227), (3, 1800)], false },
    own_part_alone_is_long = { &[(3, 6610)], false },
    exactly_y_blocks = { &[(1, 512), (2, 512), (3, 10)], true },
)]
fn y_counts_in_tokens_and_never_with_the_own_part(parts: &[(u64, u32)], is_counted: bool) {
    let mut played = Played::new();
    for n in 0..6 {
        played.submit(n * 10, parts, 0);
    }
    assert_eq!(
        !played
            .scheduler
            .active(MonotonicInstant(START + 60))
            .is_empty(),
        is_counted
    );
}

#[test]
fn prompts_that_begin_alike_stay_together_until_waiting_costs_more_than_reading() {
    let mut played = Played::new();
    let (first, decision) = played.draft(0, 7);
    let holder = server_of(&decision);
    played.take(
        140,
        Event::FirstToken {
            request: first.clone(),
        },
    );
    played.end(1500, first, Outcome::Complete);
    let (second, decision) = played.draft(10_000, 7);
    assert_eq!(server_of(&decision), holder, "it holds 5382 tokens");
    played.end(10_500, second, Outcome::Complete);
    // Others' prompts: that server has a million tokens to read before.
    let in_flight = vec![InFlight {
        server: holder.clone(),
        count: 80,
        pending_prefill_tokens: 1_000_000,
        tokens: 0,
        prefilled_tokens: 0,
    }];
    let sketch = Sketch {
        incarnation: 1,
        number: 1,
        in_flight,
        ..Sketch::default()
    };
    played.take(
        20_000,
        Event::PeerSketch {
            from: Address::loopback(2),
            sketch,
        },
    );
    let (_, decision) = played.draft(20_000, 7);
    assert_ne!(server_of(&decision), holder);
}

#[test]
fn a_server_whose_memory_is_full_is_expected_late() {
    let servers = vec![entry("a", "north"), entry("b", "north")];
    let mut played = Played::with(service(), scheduler_rules(), servers);
    let in_flight = vec![InFlight {
        server: "a".into(),
        count: 40,
        pending_prefill_tokens: 0,
        tokens: 649_000,
        prefilled_tokens: 0,
    }];
    let sketch = Sketch {
        incarnation: 1,
        number: 1,
        in_flight,
        ..Sketch::default()
    };
    played.take(
        0,
        Event::PeerSketch {
            from: Address::loopback(2),
            sketch,
        },
    );
    let Decision::Placed {
        candidates, server, ..
    } = played.draft(1, 7).1
    else {
        panic!("placed")
    };
    assert_eq!(server.as_str(), "b");
    let expected = |name: &str| {
        candidates
            .iter()
            .find(|c| c.server.as_str() == name)
            .map_or(0, |c| c.expected.0)
    };
    assert!(expected("a") > expected("b"), "{candidates:?}");
}

#[test]
fn an_active_prefix_is_warmed_by_its_own_requests_one_at_a_time() {
    let mut played = Played::new();
    let mut requests = vec![];
    let mut reasons = vec![];
    for n in 0..12 {
        let (request, decision) = played.draft(n * 5, 7);
        let Decision::Placed { reason, server, .. } = decision else {
            panic!("placed")
        };
        reasons.push((reason, server));
        requests.push(request);
    }
    // The third went where nothing of it was held, for it would have waited longer than its reading takes.
    let warming: Vec<&ServerName> = reasons
        .iter()
        .filter(|(reason, _)| *reason == PlacementReason::Warming)
        .map(|(_, server)| server)
        .collect();
    let distinct: std::collections::BTreeSet<&ServerName> = warming.iter().copied().collect();
    assert!(
        !warming.is_empty() && distinct.len() == warming.len(),
        "a target reads it once: {reasons:?}"
    );
    let used: std::collections::BTreeSet<&ServerName> =
        reasons.iter().map(|(_, server)| server).collect();
    assert_eq!(
        used.len(),
        3,
        "M = 3, the first holder among them: {reasons:?}"
    );
    for request in requests {
        played.take(
            350,
            Event::FirstToken {
                request: request.clone(),
            },
        );
        played.end(900, request, Outcome::Complete);
    }
    let used: std::collections::BTreeSet<ServerName> = (0..30)
        .map(|n| {
            let Decision::Placed { reason, server, .. } = played.draft(1000 + n, 7).1 else {
                panic!("placed")
            };
            assert_eq!(reason, PlacementReason::Warm);
            server
        })
        .collect();
    assert_eq!(used.len(), 3, "the least loaded of the warm ones in turn");
}

#[test]
fn the_own_zone_is_preferred_lightly() {
    let servers = vec![entry("a", "north"), entry("b", "south")];
    let rules = SchedulerRules {
        zone_penalty: Milliseconds(60),
        ..scheduler_rules()
    };
    let mut played = Played::with(service(), rules, servers);
    played.scheduler.set_zone("south".into());
    let placed: Vec<ServerName> = (0..20)
        .map(|n| server_of(&played.draft(n, 100 + n).1))
        .collect();
    assert_eq!(placed[0].as_str(), "b");
    assert!(
        placed.iter().any(|server| server.as_str() == "a"),
        "but not whatever it costs"
    );
}

#[test]
fn late_is_better_than_never_and_the_hopeless_are_told_when_to_come_back() {
    let servers = vec![entry("a", "north"), entry("b", "north")];
    let mut played = Played::with(service(), scheduler_rules(), servers);
    let tell = |played: &mut Played, number, pending_prefill_tokens| {
        let in_flight = ["a", "b"]
            .map(|server| InFlight {
                server: server.into(),
                count: 100,
                pending_prefill_tokens,
                tokens: 0,
                prefilled_tokens: 0,
            })
            .to_vec();
        let sketch = Sketch {
            incarnation: 1,
            number,
            in_flight,
            ..Sketch::default()
        };
        played.take(
            number,
            Event::PeerSketch {
                from: Address::loopback(2),
                sketch,
            },
        );
    };
    tell(&mut played, 1, 500_000);
    assert!(
        matches!(played.draft(1, 7).1, Decision::Placed { .. }),
        "after 4.5 s of 15 s: late, but worth it"
    );
    tell(&mut played, 2, 1_500_000);
    let Decision::Refused {
        code, retry_after, ..
    } = played.draft(2, 7).1
    else {
        panic!("13 s are too late")
    };
    assert_eq!(code, ResultCode::Crowded.number());
    assert!(retry_after >= Milliseconds(50));
}

#[test]
fn nobody_is_refused_while_servers_stand_half_empty_however_uneven_the_traffic() {
    let app = ServiceRules {
        slots: 6,
        first_token: Milliseconds(300),
        memory_tokens: 0,
        ..service()
    };
    let servers = ["a", "b", "c"]
        .map(|name| ServerEntry {
            slots: Some(6),
            ..entry(name, "north")
        })
        .to_vec();
    let mut played = Played::with(app, scheduler_rules(), servers);
    // Eleven members, all heard, none of them busy: this one takes all of the traffic.
    let members: Vec<Address> = (1..=11).map(Address::loopback).collect();
    played.take(
        0,
        Event::Members {
            members: members.clone(),
            since: ConfigEpoch(1),
        },
    );
    for from in members.into_iter().skip(1) {
        played.take(
            0,
            Event::PeerSketch {
                from,
                sketch: Sketch {
                    incarnation: 1,
                    number: 1,
                    ..Sketch::default()
                },
            },
        );
    }
    let decisions: Vec<Decision> = (0..40).map(|n| played.submit(n, &[], 0).1).collect();
    let placed = decisions
        .iter()
        .filter(|d| matches!(d, Decision::Placed { .. }))
        .count();
    assert!(
        (18..=27).contains(&placed),
        "{placed} at 18 slots and their queues"
    );
    let Some(Decision::Refused { retry_after, .. }) = decisions.last() else {
        panic!("the last has no place")
    };
    assert!(
        (50..500).contains(&retry_after.0),
        "a place is free soon: {retry_after:?}"
    );
}

#[test]
fn a_cold_server_gets_its_rate_and_the_rest_go_elsewhere() {
    let rules = ServiceRules {
        warm_up_per_second: 20,
        warm_up_duration: Milliseconds(3000),
        ..service()
    };
    let servers = vec![
        entry("warm", "north"),
        ServerEntry {
            warm_up_left: None,
            ..entry("new", "north")
        },
    ];
    let mut played = Played::with(rules, scheduler_rules(), servers);
    let members = (1..=4).map(Address::loopback).collect();
    played.take(
        0,
        Event::Members {
            members,
            since: ConfigEpoch(1),
        },
    );
    let mut sent = vec![];
    for at in (0..2900).step_by(10) {
        let (request, decision) = played.submit(at, &[(at + 5, 10)], 0);
        if server_of(&decision).as_str() == "new" {
            sent.push(at);
        }
        played.end(at + 1, request, Outcome::Complete);
    }
    assert!(
        sent.first().is_some_and(|at| *at >= 1000),
        "a life begins without any: {sent:?}"
    );
    for end in 0..2900u64 {
        let within = sent
            .iter()
            .filter(|at| **at <= end && end - **at < 1000)
            .count();
        assert!(within <= 5, "{within} in a second, of 20 among 4 members");
    }
    // Cold again at any moment.
    played.take(
        10_000,
        Event::ServerList {
            servers: vec![ServerEntry {
                warm_up_left: Some(Milliseconds(2000)),
                ..entry("warm", "north")
            }],
        },
    );
    let placed = (0..40)
        .filter(|n| matches!(played.submit(10_000 + n, &[], 0).1, Decision::Placed { .. }))
        .count();
    assert!(placed <= 5, "{placed}");
}

#[test]
fn slow_servers_are_avoided_but_never_more_than_half() {
    let servers = ["a", "b", "c", "d"]
        .map(|name| entry(name, "north"))
        .to_vec();
    let mut played = Played::with(service(), scheduler_rules(), servers);
    let mut suspected = std::collections::BTreeSet::new();
    for round in 0..10u64 {
        let at = round * 5000;
        let requests: Vec<RequestId> = (0..40)
            .map(|n| played.draft(at + n, 1000 * round + n).0)
            .collect();
        for tick in 1..40 {
            for decision in played.take(at + tick * 100, Event::Tick) {
                if let Decision::Suspected { server, .. } = decision {
                    suspected.insert(server);
                }
            }
        }
        let now = MonotonicInstant(START + at + 4000);
        let lost = played
            .scheduler
            .servers()
            .values()
            .filter(|server| server.is_ejected(now))
            .count();
        assert!(lost <= 2, "{lost} of 4 kept from work on mere doubt");
        for request in requests {
            played.end(at + 4500, request, Outcome::Cancelled);
        }
    }
}

#[test]
fn a_refused_connection_is_certain() {
    let mut played = Played::new();
    let (request, decision) = played.draft(0, 7);
    let decisions = played.end(5, request, Outcome::Unsent);
    let is_it = |d: &Decision| matches!(d, Decision::Suspected { server, .. } if *server == server_of(&decision));
    assert!(decisions.iter().any(is_it));
}

#[test]
fn before_the_members_are_told_a_cold_server_gets_nothing() {
    let rules = ServiceRules {
        warm_up_per_second: 20,
        warm_up_duration: Milliseconds(3000),
        ..service()
    };
    let servers = vec![ServerEntry {
        warm_up_left: Some(Milliseconds(60_000)),
        ..entry("new", "north")
    }];
    let mut played = Played::with(rules, scheduler_rules(), servers);
    assert!((0..50).all(|n| matches!(played.submit(n * 100, &[], 0).1, Decision::Refused { .. })));
    played.take(
        5000,
        Event::Members {
            members: vec![Address::loopback(1)],
            since: ConfigEpoch(1),
        },
    );
    // Nor for a second and a half after: what others placed before has left by then, and its second is over.
    assert!((0..30).all(|n| matches!(
        played.submit(5000 + n * 50, &[], 0).1,
        Decision::Refused { .. }
    )));
    assert!(matches!(
        played.submit(6500, &[], 0).1,
        Decision::Placed { .. }
    ));
}

#[parameterized(
    its_report = { Some((u32::MAX, u32::MAX, u32::MAX)), Some(128), 20 },
    its_load = { Some((u32::MAX, 0, 128)), Some(128), 20 },
    its_queue = { Some((0, u32::MAX, 128)), Some(128), 20 },
    no_slots = { Some((0, 0, 0)), Some(128), 20 },
    // It has room for all.
    its_capacity_in_the_list = { None, Some(u32::MAX), 0 },
    no_capacity_in_the_list = { None, Some(0), 20 },
)]
fn a_server_with_numbers_beyond_reason_stops_no_placement(
    report: Option<(u32, u32, u32)>,
    capacity: Option<u32>,
    least_for_the_other: usize,
) {
    let strange = ServerEntry {
        slots: capacity,
        ..entry("a", "north")
    };
    let mut played = Played::with(
        service(),
        scheduler_rules(),
        vec![strange, entry("b", "north")],
    );
    if let Some((running, waiting, slots)) = report {
        let server = "a".into();
        let weights = String::new();
        played.take(
            1,
            Event::Load {
                server,
                incarnation: 0,
                up: Milliseconds(0),
                running,
                waiting,
                slots,
                weights,
            },
        );
    }
    let placed: Vec<String> = (0..40)
        .map(
            |number| match played.submit(2 + number, &[(number, 500)], 0).1 {
                Decision::Placed { server, .. } => server.as_str().to_owned(),
                other => panic!("{other:?}"),
            },
        )
        .collect();
    let for_the_other = placed.iter().filter(|server| *server == "b").count();
    assert!(
        for_the_other >= least_for_the_other,
        "{for_the_other} of 40"
    );
}

#[parameterized(
    granted = { vec![], true },
    refused_for_lack_of_another_server = { vec!["b"], false },
)]
fn a_takeover_moves_a_request_to_its_new_server_unless_it_is_refused(
    other_servers_tried: Vec<&str>,
    is_granted: bool,
) {
    let rules = SchedulerRules {
        retry_window: Milliseconds::seconds(10),
        retry_percent: 1000,
        ..scheduler_rules()
    };
    let servers = vec![entry("a", "north"), entry("b", "north")];
    let mut played = Played::with(service(), rules, servers);
    let (request, first) = played.submit(1, &[(7, 500)], 0);
    let Decision::Placed { server, .. } = first else {
        panic!("{first:?}");
    };
    let (own, other) = if server.as_str() == "a" {
        ("a", "b")
    } else {
        ("b", "a")
    };
    let mut tried: Vec<ServerName> = vec![own.into()];
    if !other_servers_tried.is_empty() {
        tried.push(other.into());
    }
    let event = Event::Prompt {
        request,
        service: "drafts".into(),
        hashes: vec![PrefixHash(7)],
        round: 1,
        tried,
        request_cost: RequestCost {
            hash_tokens: vec![500],
            prompt_tokens: 500,
            deadline: Milliseconds(15_000),
            ..RequestCost::default()
        },
    };
    played.take(100, event);
    let in_flight = |name: &str| played.scheduler.servers()[&ServerName::from(name)].own;
    let expected = if is_granted { (0, 1) } else { (1, 0) };
    assert_eq!((in_flight(own), in_flight(other)), expected);
}
