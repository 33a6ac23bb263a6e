//! How long one choice takes with 90 servers and 90 peers: `cargo run --release --example placing_speed`.

use placement::{
    BtbRules, CachedPrefix, Event, HotPrefix, InFlight, PrefixHash, RequestCost, Rules, Scheduler,
    SchedulerRules, ServerEntry, ServiceRules, Sketch, Timestamped, mix,
};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId};

fn main() {
    let rules = ServiceRules {
        pool: "model".into(),
        zones: vec![],
        servers: vec![],
        first_token: Milliseconds(800),
        slots: 128,
        btb: BtbRules::default(),
        warm_up_per_second: 20,
        warm_up_duration: Milliseconds(3000),
        memory_tokens: 650_000,
    };
    let mut scheduler = Scheduler::new(
        Address::loopback(1),
        1,
        SchedulerRules {
            block_micros: 143,
            orders_kv_copies: false,
            ..SchedulerRules::default()
        },
    );
    let mut take = |at: u64, event| {
        scheduler.take(Timestamped {
            at: MonotonicInstant(1_000_000 + at),
            event,
        })
    };
    let rules = Rules {
        epoch: ConfigEpoch(1),
        services: [("drafts".into(), rules)].into(),
        withdrawn: vec![],
    };
    take(0, Event::Rules { rules });
    let entry = |n: u64| ServerEntry {
        server: format!("i-{n:08x}").as_str().into(),
        slots: Some(128),
        warm_up_left: Some(Milliseconds(0)),
        zone: "north".into(),
        pool: "model".into(),
        ..ServerEntry::default()
    };
    take(
        0,
        Event::ServerList {
            servers: (0..90).map(entry).collect(),
        },
    );
    take(
        0,
        Event::Members {
            members: (1..=90).map(Address::loopback).collect(),
            since: ConfigEpoch(1),
        },
    );
    let in_flight = |n: u64| InFlight {
        server: entry(n).server,
        count: 1,
        pending_prefill_tokens: 500,
        tokens: 12_000,
        prefilled_tokens: 9,
    };
    let sketch = Sketch {
        missing: None,
        incarnation: 1,
        number: 1,
        hot: (0..60)
            .map(|n| HotPrefix {
                prefix: PrefixHash(mix(n)),
                count: 1,
            })
            .collect(),
        holdings: (0..180)
            .map(|n| CachedPrefix {
                prefix: PrefixHash(mix(n % 60)),
                server: entry(n % 90).server,
                incarnation: 0,
                is_shown: n % 2 == 0,
            })
            .collect(),
        in_flight: (0..90).map(in_flight).collect(),
        draining: vec![],
    };
    let sketches = std::time::Instant::now();
    for peer in 2..=90 {
        take(
            0,
            Event::PeerSketch {
                from: Address::loopback(peer),
                sketch: sketch.clone(),
            },
        );
    }
    let sketches = sketches.elapsed();
    let prompt = |n: u64| Event::Prompt {
        request: RequestId(format!("request-{n:016x}")),
        service: "drafts".into(),
        hashes: vec![
            PrefixHash(mix(1000 + n % 3)),
            PrefixHash(mix(n % 60)),
            PrefixHash(mix(9_000_000 + n)),
        ],
        round: 0,
        tried: vec![],
        request_cost: RequestCost {
            hash_tokens: vec![512, 4870, 6610],
            prompt_tokens: 11_992,
            output_tokens: 400,
            deadline: Milliseconds(15_000),
            ..RequestCost::default()
        },
    };
    let (count, begun) = (5000, std::time::Instant::now());
    for n in 0..count {
        take(n / 5, prompt(n));
    }
    println!(
        "a sketch {:?}, a choice {:?}",
        sketches / 89,
        begun.elapsed() / count as u32
    );
}
