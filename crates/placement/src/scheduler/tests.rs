use crate::event::{
    Decision, Event, Outcome, PlacementReason, RequestCost, ServerEntry, Timestamped,
};
use crate::rules::{BtbRules, Rules, SchedulerRules, ServiceRules};
use crate::scheduler::Scheduler;
use crate::sketch::{HotPrefix, PrefixHash, Sketch};
use std::collections::BTreeSet;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode, ServerName,
};
use yare::parameterized;

fn rules() -> Rules {
    let service = ServiceRules {
        pool: "model".into(),
        zones: vec![],
        servers: vec![],
        first_token: Milliseconds(2000),
        slots: 8,
        btb: BtbRules {
            blocks: 4,
            ..BtbRules::default()
        },
        warm_up_per_second: 0,
        warm_up_duration: Milliseconds(0),
        memory_tokens: 0,
    };
    Rules {
        epoch: ConfigEpoch(1),
        services: [("drafts".into(), service)].into(),
        withdrawn: vec![],
    }
}

fn prompt(request: u64, prefix: u64) -> Event {
    let hashes = (0..6)
        .map(|n| {
            PrefixHash(if n < 4 {
                prefix * 100 + n
            } else {
                request * 1000 + n
            })
        })
        .collect();
    Event::Prompt {
        request: RequestId(format!("o{request}")),
        service: "drafts".into(),
        hashes,
        round: 0,
        tried: vec![],
        request_cost: RequestCost::default(),
    }
}

fn load(server: &str, up: u64) -> Event {
    Event::Load {
        server: server.into(),
        incarnation: 1,
        up: Milliseconds(up),
        running: 0,
        waiting: 0,
        slots: 4,
        weights: "w1".into(),
    }
}

/// The machine has been up for long when a test begins.
const START: u64 = 1_000_000;

struct Played {
    scheduler: Scheduler,
}

impl Played {
    fn new() -> Self {
        let mut played = Played {
            scheduler: Scheduler::new(Address::loopback(1), 1, SchedulerRules::default()),
        };
        played.take(0, Event::Rules { rules: rules() });
        let entry = |name: &str, zone: &str| ServerEntry {
            server: name.into(),
            zone: zone.into(),
            pool: "model".into(),
            is_draining: false,
            ..ServerEntry::default()
        };
        let servers = vec![
            entry("a", "north"),
            entry("b", "north"),
            entry("c", "south"),
            entry("d", "south"),
        ];
        played.take(0, Event::ServerList { servers });
        for name in ["a", "b", "c", "d"] {
            played.take(0, load(name, 60_000));
        }
        played
    }
    fn take(&mut self, at: u64, event: Event) -> Vec<Decision> {
        self.scheduler.take(Timestamped {
            at: MonotonicInstant(START + at),
            event,
        })
    }
    fn place(
        &mut self,
        at: u64,
        request: u64,
        prefix: u64,
    ) -> Option<(ServerName, PlacementReason)> {
        self.take(at, prompt(request, prefix))
            .into_iter()
            .find_map(|decision| match decision {
                Decision::Placed { server, reason, .. } => Some((server, reason)),
                _ => None,
            })
    }
    /// Four prompts of one prefix, the first of them replied.
    fn burst(&mut self) -> ServerName {
        let (holder, _) = self.place(100, 1, 7).expect("placed");
        self.take(
            150,
            Event::FirstToken {
                request: "o1".into(),
            },
        );
        for request in 2..=4 {
            self.place(100 + request * 20, request, 7);
        }
        holder
    }
}

#[test]
fn a_burst_warms_others_and_spreads_over_them() {
    let mut played = Played::new();
    let holder = played.burst();
    let decisions = played.take(300, Event::Tick);
    let Some(Decision::Warm {
        holder: exporter,
        targets,
        count: 4,
        ..
    }) = decisions.first()
    else {
        panic!("no copies were ordered: {decisions:?}");
    };
    assert_eq!((exporter, targets.len()), (&holder, 2));
    played.take(800, Event::Tick);
    let mut used = BTreeSet::new();
    for request in 10..20 {
        let (server, reason) = played.place(900, request, 7).expect("placed");
        assert_eq!(reason, PlacementReason::Warm);
        used.insert(server);
    }
    assert_eq!(used.len(), 3, "the burst went to {used:?}");
}

#[test]
fn a_short_or_slow_prefix_stays_with_its_cache() {
    let mut played = Played::new();
    let (holder, reason) = played.place(0, 1, 7).expect("placed");
    assert_eq!(reason, PlacementReason::LeastLoaded);
    played.take(
        50,
        Event::FirstToken {
            request: "o1".into(),
        },
    );
    for request in 2..6 {
        let at = request * 4000;
        assert_eq!(
            played.place(at, request, 7),
            Some((holder.clone(), PlacementReason::CacheMatch))
        );
        assert_eq!(played.take(at, Event::Tick), vec![]);
        played.take(
            at + 1,
            Event::Ended {
                request: RequestId(format!("o{request}")),
                outcome: Outcome::Complete,
            },
        );
    }
}

#[test]
fn counts_of_peers_add_up_once_however_often_they_come() {
    let mut played = Played::new();
    played.place(100, 1, 7);
    played.take(
        150,
        Event::FirstToken {
            request: "o1".into(),
        },
    );
    let sketch = |number, incarnation| Sketch {
        incarnation,
        number,
        hot: vec![HotPrefix {
            prefix: PrefixHash(703),
            count: 1,
        }],
        ..Sketch::default()
    };
    for (number, incarnation) in [(1, 5), (2, 5), (2, 5), (1, 6)] {
        let (from, sketch) = (Address::loopback(2), sketch(number, incarnation));
        played.take(200, Event::PeerSketch { from, sketch });
    }
    assert_eq!(
        played.scheduler.count(
            PrefixHash(703),
            MonotonicInstant(START + 200),
            Milliseconds(5000)
        ),
        2
    );
    // It has cooled at the peer, and the sketch from before comes late.
    let (from, cooled) = (
        Address::loopback(2),
        Sketch {
            incarnation: 6,
            number: 2,
            ..Sketch::default()
        },
    );
    played.take(
        210,
        Event::PeerSketch {
            from,
            sketch: cooled,
        },
    );
    played.take(
        220,
        Event::PeerSketch {
            from,
            sketch: sketch(1, 6),
        },
    );
    assert_eq!(
        played.scheduler.count(
            PrefixHash(703),
            MonotonicInstant(START + 220),
            Milliseconds(5000)
        ),
        1
    );
    for port in [3, 4] {
        played.take(
            200,
            Event::PeerSketch {
                from: Address::loopback(port),
                sketch: sketch(1, 1),
            },
        );
    }
    assert_eq!(
        played.scheduler.count(
            PrefixHash(703),
            MonotonicInstant(START + 220),
            Milliseconds(5000)
        ),
        3
    );
}

#[parameterized(
    draining = { |p: &mut Played| {
        let servers = p.scheduler.servers.iter().map(|(name, s)| ServerEntry {
            server: name.clone(), zone: s.zone.clone(), pool: s.pool.clone(), is_draining: name.as_str() != "d", ..ServerEntry::default()
        }).collect();
        p.take(900, Event::ServerList { servers });
    } },
    withdrawn_and_one_gone = { |p: &mut Played| {
        let mut rules = rules();
        rules.epoch = ConfigEpoch(2);
        rules.withdrawn = vec!["north".into()];
        p.take(900, Event::Rules { rules });
        let servers = p.scheduler.servers.iter().filter(|(name, _)| name.as_str() != "c").map(|(name, s)| ServerEntry {
            server: name.clone(), zone: s.zone.clone(), pool: s.pool.clone(), is_draining: false, ..ServerEntry::default()
        }).collect();
        p.take(900, Event::ServerList { servers });
    } },
    told_by_a_peer = { |p: &mut Played| {
        let sketch = Sketch { number: 1, draining: vec!["a".into(), "b".into(), "c".into()], ..Sketch::default() };
        p.take(900, Event::PeerSketch { from: Address::loopback(2), sketch });
    } },
)]
fn warm_or_not_a_server_that_may_not_serve_gets_nothing(strike: fn(&mut Played)) {
    let mut played = Played::new();
    played.burst();
    played.take(300, Event::Tick);
    played.take(800, Event::Tick);
    strike(&mut played);
    for request in 20..30 {
        if let Some((server, _)) = played.place(1000, request, 7) {
            assert_eq!(server.as_str(), "d");
        }
    }
}

#[test]
fn a_fresh_server_is_never_flooded() {
    let mut played = Played::new();
    let members = (1..=4).map(Address::loopback).collect();
    played.take(
        0,
        Event::Members {
            members,
            since: ConfigEpoch(1),
        },
    );
    let entry = ServerEntry {
        server: "new".into(),
        zone: "north".into(),
        pool: "model".into(),
        is_draining: false,
        ..ServerEntry::default()
    };
    played.take(
        1000,
        Event::ServerList {
            servers: vec![entry],
        },
    );
    let placed = (0..20)
        .filter(|n| played.place(1100, 50 + n, 90 + n).is_some())
        .count();
    assert!(
        placed <= 1,
        "one of four members put {placed} on a server whose cap is two"
    );
}

#[test]
fn repeats_are_a_fifth_and_a_little() {
    let mut played = Played::new();
    let mut repeats = 0;
    for request in 0..200u64 {
        let at = request * 100;
        played.place(at, request, request);
        played.take(
            at + 1,
            Event::Ended {
                request: RequestId(format!("o{request}")),
                outcome: Outcome::Refused,
            },
        );
        if let Event::Prompt {
            request,
            service,
            hashes,
            ..
        } = prompt(request, request)
        {
            let again = Event::Prompt {
                request: request.clone(),
                service,
                hashes,
                round: 1,
                tried: vec![],
                request_cost: RequestCost::default(),
            };
            let decisions = played.take(at + 2, again);
            repeats += decisions
                .iter()
                .filter(|d| matches!(d, Decision::Placed { .. }))
                .count();
            played.take(
                at + 3,
                Event::Ended {
                    request,
                    outcome: Outcome::Complete,
                },
            );
        }
    }
    // A fifth, and of the fleet's ten a minute this only member's third of a minute.
    assert!(
        (40..=44).contains(&repeats),
        "{repeats} repeats of 200 requests"
    );
}

#[test]
fn a_crowd_is_refused_with_a_time_to_come_back() {
    let mut played = Played::new();
    let mut rules = rules();
    rules.epoch = ConfigEpoch(2);
    if let Some(service) = rules.services.get_mut(&"drafts".into()) {
        service.slots = 100;
        service.first_token = Milliseconds(300);
    }
    played.take(10, Event::Rules { rules });
    let mut refused = 0;
    for request in 0..60 {
        for decision in played.take(100, prompt(request, request)) {
            if let Decision::Refused {
                code, retry_after, ..
            } = decision
            {
                assert_eq!(code, ResultCode::Crowded.number());
                assert!(retry_after.0 >= 1000);
                refused += 1;
            }
        }
    }
    assert!(
        (20..=50).contains(&refused),
        "{refused} of 60 refused by 4 servers of 4 slots"
    );
}

#[test]
fn recorded_events_give_the_same_decisions_again() {
    let play = || {
        let mut played = Played::new();
        played.burst();
        let mut all = vec![];
        for request in 0..40u64 {
            all.extend(played.take(200 + request * 50, prompt(100 + request, request % 3)));
            all.extend(played.take(210 + request * 50, Event::Tick));
        }
        serde_json::to_string(&all).unwrap()
    };
    assert_eq!(play(), play());
}
