use crate::fleet::{Fleet, FleetOptions, join_logs, plan_of};
use crate::process_group::ProcessGroup;
use loadgen::{LoadTest, LoadTestConfig, Report, Workload};
use simulator::Deployment;
use simulator::ScheduleRules;
use std::collections::BTreeMap;
use std::time::Duration;
use types::Milliseconds;

/// What is set against what.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Question {
    /// Plain cache awareness against BTB.
    Btb,
    /// Routers that count for themselves against merged sketches.
    Merge,
    /// Everything taken against admission by time to first token.
    Admit,
}

impl Question {
    /// The two sides: a word, whether BTB is on, lines for the routers' settings.
    fn sides(self) -> [(&'static str, bool, &'static str); 2] {
        match self {
            Question::Btb => [("plain", false, ""), ("btb", true, "")],
            Question::Merge => [("apart", true, "merge = false\n"), ("merged", true, "")],
            Question::Admit => [
                ("all taken", true, "admit = false\n"),
                ("admission", true, ""),
            ],
        }
    }
}

/// How a comparison goes.
#[derive(Debug, Clone)]
pub struct CompareRules {
    /// Whose fleet.
    pub deployment: Deployment,
    /// What is asked.
    pub question: Question,
    /// The first seed; each pair plays the same traffic.
    pub seed: u64,
    /// How many pairs.
    pub pairs: u64,
    /// How long each side of a pair is loaded.
    pub seconds: u64,
    /// Times today's rates.
    pub scale: f64,
    /// The part of long prompts that belong to the burst at hand.
    pub hot_share: f64,
    /// Prefill of a block at the servers, in microseconds.
    pub block_micros: u64,
}

/// One side of a pair, as figures by name.
fn play(
    rules: &CompareRules,
    seed: u64,
    is_btb_on: bool,
    settings: &str,
) -> Result<BTreeMap<String, f64>, String> {
    let shape = rules.deployment.shape();
    let process_group = ProcessGroup::start(
        &shape,
        &ScheduleRules {
            block_micros: rules.block_micros,
            ..ScheduleRules::default()
        },
    )
    .map_err(|fault| fault.to_string())?;
    let options = FleetOptions {
        router_settings: settings.to_owned(),
        ..FleetOptions::default()
    };
    let mut fleet = Fleet::start(&shape, process_group.platform.address, None, &options)
        .map_err(|fault| format!("no fleet: {fault}"))?;
    fleet.await_core(Milliseconds::seconds(20))?;
    let plan = plan_of(rules.deployment, is_btb_on);
    fleet.put_plan("first", 0, &plan)?;
    fleet.await_routers(Milliseconds::seconds(20))?;
    std::thread::sleep(Duration::from_millis(1200));
    let mut mix = Workload::new(rules.deployment.mix(), seed);
    mix.hot_share = rules.hot_share;
    let span = Milliseconds::seconds(rules.seconds);
    let campaign = LoadTestConfig {
        routers: fleet.clients_addresses(),
        span,
        scale: rules.scale,
        max_in_flight: 1500,
    };
    let (asked, late) = LoadTest::new(mix, campaign).run();
    let mut report = Report::of(&asked, late);
    join_logs(&mut report, &asked, &process_group.logs(), &plan);
    if !report.violations.is_empty() {
        return Err(format!("seed {seed}: {:?}", report.violations));
    }
    let mut figures = BTreeMap::new();
    let (mut sent, mut complete) = (0, 0);
    for (name, service) in &report.services {
        for (place, part) in ["p50", "p95", "p99"].iter().enumerate() {
            figures.insert(
                format!("{name} first piece {part} ms"),
                service.first_ms[place],
            );
        }
        sent += service.sent;
        complete += service.complete;
    }
    figures.insert(
        "complete, percent".into(),
        100.0 * complete as f64 / sent.max(1) as f64,
    );
    for metric in ["router_copies", "router_placed_warm"] {
        let sum: u64 = fleet
            .routers
            .iter()
            .map(|router| router.metric(metric))
            .sum();
        figures.insert(metric.into(), sum as f64);
    }
    fleet.stop();
    Ok(figures)
}

/// Plays the pairs and prints each side's mean and spread, and how often the second was lower.
pub fn compare(rules: &CompareRules) -> Result<(), String> {
    let sides = rules.question.sides();
    let mut found: [BTreeMap<String, Vec<f64>>; 2] = Default::default();
    for seed in rules.seed..rules.seed + rules.pairs {
        // Which side comes first changes from pair to pair, so that a drifting machine favours neither.
        let request = if seed % 2 == 0 { [0, 1] } else { [1, 0] };
        for side in request {
            let (word, is_btb_on, settings) = sides[side];
            let figures = play(rules, seed, is_btb_on, settings)?;
            eprintln!("seed {seed}, {word}: played");
            for (name, value) in figures {
                found[side].entry(name).or_default().push(value);
            }
        }
    }
    println!(
        "{:?}, {:?}, {} pairs of {} s, scale {}, hot share {}, {} us a block",
        rules.deployment,
        rules.question,
        rules.pairs,
        rules.seconds,
        rules.scale,
        rules.hot_share,
        rules.block_micros
    );
    println!(
        "| figure | {} mean (least to most) | {} mean (least to most) | second lower in |",
        sides[0].0, sides[1].0
    );
    println!("| --- | --- | --- | --- |");
    let show = |values: &[f64]| {
        let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        format!("{mean:.1} ({least:.1} to {most:.1})")
    };
    let [first, second] = &found;
    for (name, ones) in first {
        let others = second.get(name).cloned().unwrap_or_default();
        let lower = ones
            .iter()
            .zip(&others)
            .filter(|(one, other)| other < one)
            .count();
        println!(
            "| {name} | {} | {} | {lower} of {} |",
            show(ones),
            show(&others),
            ones.len()
        );
    }
    Ok(())
}
