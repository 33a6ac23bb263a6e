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

/// Plays every side with every seed and prints means and spreads. Fails if a run shows a violation.
pub fn measure(rules: &MeasureRules) -> Result<(), String> {
    let sides = rules.sweep.sides();
    let batch = MeasureBatch {
        rules,
        sides: &sides,
        next: AtomicU64::new(0),
        figures: Mutex::default(),
        violation: Mutex::default(),
    };
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| batch.play_remaining());
        }
    });
    if let Some(violation) = batch
        .violation
        .into_inner()
        .expect("no thread panics with it")
    {
        return Err(violation);
    }
    let figures = batch
        .figures
        .into_inner()
        .expect("no thread panics with it");
    print_heading(rules, &sides);
    print_figures(&figures);
    Ok(())
}

/// The values of each figure by its name, for each side.
type SideFigures = BTreeMap<String, Vec<Vec<f64>>>;

/// The runs of a measurement, each a seed and a side, which several threads play.
struct MeasureBatch<'a> {
    rules: &'a MeasureRules,
    sides: &'a [Side],
    /// The number of the next run.
    next: AtomicU64,
    figures: Mutex<SideFigures>,
    /// The last violation that was found.
    violation: Mutex<Option<String>>,
}

impl MeasureBatch<'_> {
    fn play_remaining(&self) {
        let sides = self.sides.len() as u64;
        loop {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let (seed, side) = (number / sides, (number % sides) as usize);
            if seed >= self.rules.seeds {
                return;
            }
            let witness = World::new(self.world_rules(seed, side)).run();
            match figures(&witness) {
                Ok(figures) => self.add_figures(side, figures),
                Err(why) => {
                    let mut violation = self.violation.lock().expect("no thread panics with it");
                    *violation = Some(format!("seed {seed}: {why}"));
                }
            }
        }
    }

    fn world_rules(&self, seed: u64, side: usize) -> WorldRules {
        let (_, btb, scheduler) = self.sides[side].clone();
        let servers = ScheduleRules {
            block_micros: self.rules.block_micros,
            ..ScheduleRules::default()
        };
        WorldRules {
            faults: 0,
            span: Milliseconds::seconds(30),
            calm: Milliseconds::seconds(12),
            large_plans: 0,
            requests_a_second: self.rules.requests,
            hot_share: self.rules.hot_share,
            btb,
            scheduler,
            servers,
            ..WorldRules::new(self.rules.deployment, seed + 1)
        }
    }

    fn add_figures(&self, side: usize, figures: BTreeMap<String, f64>) {
        let mut all = self.figures.lock().expect("no thread panics with it");
        for (name, value) in figures {
            let by_side = all
                .entry(name)
                .or_insert_with(|| vec![vec![]; self.sides.len()]);
            by_side[side].push(value);
        }
    }
}

fn print_heading(rules: &MeasureRules, sides: &[Side]) {
    println!(
        "{:?}, {:?}, {} seeds, {} requests/s, {} us a block, {} % of drafts in the burst; mean (least to most)",
        rules.deployment,
        rules.sweep,
        rules.seeds,
        rules.requests,
        rules.block_micros,
        rules.hot_share
    );
    let names: Vec<&str> = sides.iter().map(|(name, ..)| name.as_str()).collect();
    println!("| figure | {} |", names.join(" | "));
    println!("| --- |{}", " --- |".repeat(sides.len()));
}

fn print_figures(figures: &SideFigures) {
    for (name, sides) in figures {
        let cells: Vec<String> = sides.iter().map(|values| spread(values)).collect();
        println!("| {name} | {} |", cells.join(" | "));
    }
}

/// The mean of these values, with the least and the greatest.
fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.0} ({least:.0} to {most:.0})")
}
