use placement::SchedulerRules;
use simulator::Deployment;
use simulator::ScheduleRules;
use simulator::{Witness, World, WorldRules};
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use types::Milliseconds;

/// What is measured in simulated fleets without faults: ways of working under the same traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Sweep {
    /// BTB off and on.
    Btb,
    /// Sketches not merged and merged.
    Merge,
    /// Admission off and on, under a crowd.
    Admit,
    /// Values of X.
    X,
    /// Values of Y.
    Y,
    /// Values of Z.
    Z,
    /// Values of M.
    M,
    /// How far copies may grow beyond M.
    MMost,
}

type Side = (String, serde_json::Value, SchedulerRules);

impl Sweep {
    fn sides(self) -> Vec<Side> {
        let usual = SchedulerRules::default;
        let plan = |word: String, value: serde_json::Value| (word, value, usual());
        let swept = |name: &str, key: &str, values: &[u64]| {
            values
                .iter()
                .map(|v| plan(format!("{name} {v}"), serde_json::json!({key: v})))
                .collect()
        };
        match self {
            Sweep::Btb => {
                vec![
                    plan("plain".into(), serde_json::json!({"on": false})),
                    plan("btb".into(), serde_json::json!({})),
                ]
            }
            Sweep::Merge => vec![
                (
                    "apart".into(),
                    serde_json::json!({}),
                    SchedulerRules {
                        merges_peer_sketches: false,
                        ..usual()
                    },
                ),
                plan("merged".into(), serde_json::json!({})),
            ],
            Sweep::Admit => vec![
                (
                    "all taken".into(),
                    serde_json::json!({}),
                    SchedulerRules {
                        enforces_deadlines: false,
                        ..usual()
                    },
                ),
                plan("admission".into(), serde_json::json!({})),
            ],
            Sweep::X => swept("X", "x", &[2, 3, 4, 6, 10]),
            Sweep::Y => swept("Y", "y", &[16, 32, 64, 96, 112]),
            Sweep::Z => swept("Z ms", "z_ms", &[500, 1000, 2500, 5000, 10_000]),
            Sweep::M => [1u64, 2, 3, 5, 8]
                .iter()
                .map(|v| plan(format!("M {v}"), serde_json::json!({"m": v, "m_most": v})))
                .collect(),
            Sweep::MMost => swept("most", "m_most", &[3, 4, 6, 9]),
        }
    }
}

/// How a measurement goes.
#[derive(Debug, Clone)]
pub struct MeasureRules {
    /// What.
    pub sweep: Sweep,
    /// Whose fleet.
    pub deployment: Deployment,
    /// How many seeds.
    pub seeds: u64,
    /// Requests a second.
    pub requests: u64,
    /// Prefill of a block, in microseconds.
    pub block_micros: u64,
    /// Percent of drafts in the burst at hand.
    pub hot_share: u64,
}

/// One run's figures by name.
fn figures(witness: &Witness) -> Result<BTreeMap<String, f64>, String> {
    if !witness.violations.is_empty() {
        return Err(format!("{:?}", witness.violations));
    }
    let mut found = BTreeMap::new();
    for (service, times) in &witness.first_ms {
        let mut times = times.clone();
        times.sort_unstable();
        for percent in [50, 95, 99] {
            let at = (times.len() * percent / 100).min(times.len() - 1);
            found.insert(
                format!("{service} first piece p{percent} ms"),
                times[at] as f64,
            );
        }
    }
    let share = |word: &str| {
        100.0 * witness.words.get(word).copied().unwrap_or(0) as f64 / witness.arrivals as f64
    };
    found.insert("complete, percent".into(), share("complete"));
    found.insert("copies".into(), witness.copies as f64);
    Ok(found)
}

/// Plays every side with every seed and prints means and spreads.
pub fn measure(rules: &MeasureRules) -> Result<(), String> {
    let sides = rules.sweep.sides();
    let found: Mutex<BTreeMap<String, Vec<Vec<f64>>>> = Mutex::default();
    let fault: Mutex<Option<String>> = Mutex::default();
    let next = AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let (seed, side) = (
                        number / sides.len() as u64,
                        (number % sides.len() as u64) as usize,
                    );
                    if seed >= rules.seeds {
                        return;
                    }
                    let (_, btb, scheduler) = sides[side].clone();
                    let servers = ScheduleRules {
                        block_micros: rules.block_micros,
                        ..ScheduleRules::default()
                    };
                    let world = WorldRules {
                        faults: 0,
                        span: Milliseconds::seconds(30),
                        calm: Milliseconds::seconds(12),
                        large_plans: 0,
                        requests_a_second: rules.requests,
                        hot_share: rules.hot_share,
                        btb,
                        scheduler,
                        servers,
                        ..WorldRules::new(rules.deployment, seed + 1)
                    };
                    match figures(&World::new(world).run()) {
                        Ok(figures) => {
                            let mut found = found.lock().expect("no thread panics with it");
                            for (name, value) in figures {
                                found
                                    .entry(name)
                                    .or_insert_with(|| vec![vec![]; sides.len()])[side]
                                    .push(value);
                            }
                        }
                        Err(why) => {
                            *fault.lock().expect("no thread panics with it") =
                                Some(format!("seed {seed}: {why}"))
                        }
                    }
                }
            });
        }
    });
    if let Some(fault) = fault.into_inner().expect("no thread panics with it") {
        return Err(fault);
    }
    println!(
        "{:?}, {:?}, {} seeds, {} requests/s, {} us a block, {} % of drafts in the burst; mean (least to most)",
        rules.deployment,
        rules.sweep,
        rules.seeds,
        rules.requests,
        rules.block_micros,
        rules.hot_share
    );
    println!(
        "| figure | {} |",
        sides
            .iter()
            .map(|(word, ..)| word.clone())
            .collect::<Vec<_>>()
            .join(" | ")
    );
    println!("| --- |{}", " --- |".repeat(sides.len()));
    for (name, sides) in found.into_inner().expect("no thread panics with it") {
        let cells = sides.iter().map(|values| {
            let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
            let least = values.iter().copied().fold(f64::INFINITY, f64::min);
            let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
            format!("{mean:.0} ({least:.0} to {most:.0})")
        });
        println!("| {name} | {} |", cells.collect::<Vec<_>>().join(" | "));
    }
    Ok(())
}
