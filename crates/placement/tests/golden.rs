//! Events and decisions as JSON lines, as operators read, push and replay them, against golden files.
//! `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use placement::{
    BtbRules, CachedPrefix, Candidate, Decision, Event, HotPrefix, InFlight, Outcome,
    PlacementReason, PrefixHash, RequestCost, Rules, SchedulerRules, ServerEntry, ServiceRules,
    Sketch, Timestamped, incarnation_key, server_key,
};
use std::collections::BTreeMap;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName, ServiceName,
    ZoneName,
};

variant_names!(ALL_EVENTS, event_name(Event) {
    Event::Rules { .. } => "rules",
    Event::Members { .. } => "members",
    Event::Lease { .. } => "lease",
    Event::ServerList { .. } => "server_list",
    Event::Load { .. } => "load",
    Event::Unreachable { .. } => "unreachable",
    Event::Prompt { .. } => "prompt",
    Event::FirstToken { .. } => "first_token",
    Event::Ended { .. } => "ended",
    Event::PeerSketch { .. } => "peer_sketch",
    Event::CopyFate { .. } => "copy_fate",
    Event::Tick => "tick",
});

variant_names!(ALL_DECISIONS, decision_name(Decision) {
    Decision::Placed { .. } => "placed",
    Decision::Refused { .. } => "refused",
    Decision::Warm { .. } => "warm",
    Decision::Cooled { .. } => "cooled",
    Decision::Disproved { .. } => "disproved",
    Decision::Suspected { .. } => "suspected",
});

variant_names!(ALL_OUTCOMES, outcome_name(Outcome) {
    Outcome::Complete => "complete",
    Outcome::Cancelled => "cancelled",
    Outcome::Refused => "refused",
    Outcome::Unsent => "unsent",
    Outcome::Failed => "failed",
});

variant_names!(ALL_REASONS, reason_name(PlacementReason) {
    PlacementReason::Warm => "warm",
    PlacementReason::CacheMatch => "cache_match",
    PlacementReason::Imbalance => "imbalance",
    PlacementReason::LeastLoaded => "least_loaded",
    PlacementReason::Soonest => "soonest",
    PlacementReason::Warming => "warming",
});

const OUTCOMES: [Outcome; 5] = [
    Outcome::Complete,
    Outcome::Cancelled,
    Outcome::Refused,
    Outcome::Unsent,
    Outcome::Failed,
];

const REASONS: [PlacementReason; 6] = [
    PlacementReason::Warm,
    PlacementReason::CacheMatch,
    PlacementReason::Imbalance,
    PlacementReason::LeastLoaded,
    PlacementReason::Soonest,
    PlacementReason::Warming,
];

fn rules() -> Rules {
    let service = ServiceRules {
        pool: "model".into(),
        zones: vec![ZoneName::from("north")],
        servers: vec![ServerName::from("127.0.0.1:8101")],
        first_token: Milliseconds(2000),
        slots: 8,
        btb: BtbRules {
            is_on: false,
            blocks: 32,
            arrivals: 5,
            window: Milliseconds(6000),
            copies: 2,
            most_copies: 7,
        },
        warm_up_per_second: 9,
        warm_up_duration: Milliseconds(10_000),
        memory_tokens: 200_000,
    };
    Rules {
        epoch: ConfigEpoch(3),
        services: BTreeMap::from([(ServiceName::from("drafts"), service)]),
        withdrawn: vec![ZoneName::from("south")],
    }
}

fn servers() -> Vec<ServerEntry> {
    vec![
        ServerEntry {
            server: ServerName::from("model-0.life-3"),
            address: Some("127.0.0.1:8101".into()),
            slots: Some(16),
            warm_up_left: Some(Milliseconds(2500)),
            zone: ZoneName::from("north"),
            pool: "model".into(),
            is_draining: false,
        },
        ServerEntry {
            server: ServerName::from("127.0.0.1:8102"),
            address: None,
            slots: None,
            warm_up_left: None,
            zone: ZoneName::from("south"),
            pool: "app".into(),
            is_draining: true,
        },
    ]
}

fn sketch() -> Sketch {
    let server = || ServerName::from("127.0.0.1:8101");
    Sketch {
        incarnation: 11,
        number: 12,
        hot: vec![HotPrefix {
            prefix: PrefixHash(13),
            count: 14,
        }],
        holdings: vec![CachedPrefix {
            prefix: PrefixHash(15),
            server: server(),
            incarnation: 16,
            is_shown: true,
        }],
        in_flight: vec![InFlight {
            server: server(),
            count: 17,
            pending_prefill_tokens: 18,
            tokens: 19,
            prefilled_tokens: 20,
        }],
        draining: vec![server()],
        missing: Some(vec![Address::loopback(7201)]),
    }
}

fn events() -> Vec<Event> {
    let request = || RequestId::from("r-1");
    let server = || ServerName::from("127.0.0.1:8101");
    let mut events = vec![
        Event::Rules { rules: rules() },
        Event::Members {
            members: vec![Address::loopback(7201), Address::loopback(7202)],
            since: ConfigEpoch(2),
        },
        Event::Lease {
            until: MonotonicInstant(99_000),
            span: Milliseconds(6000),
        },
        Event::ServerList { servers: servers() },
        Event::Load {
            server: server(),
            incarnation: 21,
            up: Milliseconds(22),
            running: 23,
            waiting: 24,
            slots: 25,
            weights: "w-1".into(),
        },
        Event::Unreachable { server: server() },
        Event::Prompt {
            request: request(),
            service: ServiceName::from("drafts"),
            hashes: vec![PrefixHash(26), PrefixHash(27)],
            round: 1,
            tried: vec![server()],
            request_cost: RequestCost {
                hash_tokens: vec![28, 29],
                prompt_tokens: 30,
                output_tokens: 31,
                rank: 2,
                target: Milliseconds(32),
                deadline: Milliseconds(33),
            },
        },
        Event::FirstToken { request: request() },
        Event::PeerSketch {
            from: Address::loopback(7202),
            sketch: sketch(),
        },
        Event::CopyFate {
            prefix: PrefixHash(34),
            server: server(),
            is_taken: true,
            knows_kv: false,
        },
        Event::Tick,
    ];
    events.extend(OUTCOMES.map(|outcome| Event::Ended {
        request: request(),
        outcome,
    }));
    events
}

fn decisions() -> Vec<Decision> {
    let request = || RequestId::from("r-1");
    let server = || ServerName::from("127.0.0.1:8101");
    let service = || ServiceName::from("drafts");
    let mut decisions = vec![
        Decision::Refused {
            request: request(),
            service: service(),
            code: 103,
            why: "every server is full".into(),
            retry_after: Milliseconds(1000),
            round: 0,
            epoch: ConfigEpoch(3),
        },
        Decision::Warm {
            prefix: PrefixHash(1),
            holder: server(),
            targets: vec![ServerName::from("127.0.0.1:8102")],
            count: 4,
            epoch: ConfigEpoch(3),
        },
        Decision::Cooled {
            prefix: PrefixHash(1),
            copies: vec![server()],
        },
        Decision::Disproved {
            request: request(),
            server: server(),
        },
        Decision::Suspected {
            server: server(),
            span: Milliseconds(500),
        },
    ];
    decisions.extend(REASONS.map(|reason| Decision::Placed {
        request: request(),
        service: service(),
        server: server(),
        reason,
        round: 1,
        count: 2,
        candidates: vec![Candidate {
            server: server(),
            load: 3,
            matched: 4,
            expected: Milliseconds(5),
            is_warm: true,
        }],
        epoch: ConfigEpoch(3),
    }));
    decisions
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it is JSON")
}

#[test]
fn events_have_their_golden_json_and_read_back() {
    let dated: Vec<Timestamped> = events()
        .into_iter()
        .map(|event| Timestamped {
            at: MonotonicInstant(10_000),
            event,
        })
        .collect();
    let lines: Vec<String> = dated.iter().map(json).collect();
    let golden = golden_file::compare_json_lines("events.jsonl", &lines);
    for (line, event) in golden.iter().zip(&dated) {
        let read: Timestamped = serde_json::from_str(line).expect("an event");
        assert_eq!(&read, event);
        let tag = format!(r#""event":"{}""#, event_name(&event.event));
        assert!(line.contains(&tag), "{line}");
    }
    golden_file::check_all_named(ALL_EVENTS, events().iter().map(event_name));
    golden_file::check_all_named(ALL_OUTCOMES, OUTCOMES.iter().map(outcome_name));
    OUTCOMES.iter().for_each(|outcome| {
        assert_eq!(json(outcome), format!("\"{}\"", outcome_name(outcome)));
    });
}

#[test]
fn decisions_have_their_golden_json_and_read_back() {
    let decisions = decisions();
    let lines: Vec<String> = decisions.iter().map(json).collect();
    let golden = golden_file::compare_json_lines("decisions.jsonl", &lines);
    for (line, decision) in golden.iter().zip(&decisions) {
        let read: Decision = serde_json::from_str(line).expect("a decision");
        assert_eq!(&read, decision);
        let tag = format!(r#""decision":"{}""#, decision_name(decision));
        assert!(line.contains(&tag), "{line}");
    }
    golden_file::check_all_named(ALL_DECISIONS, decisions.iter().map(decision_name));
    golden_file::check_all_named(ALL_REASONS, REASONS.iter().map(reason_name));
    REASONS.iter().for_each(|reason| {
        assert_eq!(json(reason), format!("\"{}\"", reason_name(reason)));
    });
}

/// What may be left out of events that were recorded before it came, or that operators push.
#[test]
fn events_without_optional_fields_still_read() {
    let lines = [
        r#"{"at":1,"event":"members","members":["127.0.0.1:7201"]}"#,
        r#"{"at":2,"event":"server_list","servers":[{"server":"a","zone":"z","pool":"p"}]}"#,
        r#"{"at":3,"event":"prompt","request":"r","service":"s","hashes":[],"round":0,"tried":[]}"#,
        r#"{"at":4,"event":"prompt","request":"r","service":"s","hashes":[],"round":0,"tried":[],"demand":{}}"#,
        r#"{"at":5,"event":"peer_sketch","from":"0.0.0.0:0","sketch":{"incarnation":1,"number":2,"hot":[],"holdings":[],"in_flight":[{"server":"a","count":1}],"leaving":[]}}"#,
        r#"{"at":6,"event":"rules","rules":{"epoch":1,"services":{"s":{"pool":"p","zones":[],"servers":[],"first_token":1,"slots":2,"btb":{"is_on":true,"blocks":1,"arrivals":2,"window":3,"copies":4,"most_copies":5}}},"withdrawn":[]}}"#,
    ];
    let read =
        lines.map(|line| json(&serde_json::from_str::<Timestamped>(line).expect("an event")));
    golden_file::compare_json_lines("events-completed.jsonl", &read);
}

#[test]
fn the_schedulers_rules_have_their_golden_keys_and_defaults() {
    golden_file::compare_json_lines("scheduler-rules.jsonl", &[json(&SchedulerRules::default())]);
    golden_file::compare_json_lines("btb-rules.jsonl", &[json(&BtbRules::default())]);
}

/// Nodes tell each other of servers by these numbers.
#[test]
fn servers_and_their_lives_have_their_golden_keys() {
    let server = ServerName::from("127.0.0.1:8101");
    let keys = [
        server_key(&server),
        incarnation_key(&server, 7, false),
        incarnation_key(&server, 7, true),
        incarnation_key(&server, 8, true),
    ];
    golden_file::compare_text("server-keys.txt", &format!("{keys:?}\n"));
}
