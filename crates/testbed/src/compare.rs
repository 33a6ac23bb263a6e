use crate::fleet::{Fleet, FleetOptions, join_logs, plan_of};
use crate::process_group::ProcessGroup;
use loadgen::{LoadTest, LoadTestConfig, Report, RequestRecord, Workload};
use simulator::{Deployment, ScheduleRules, Shape};
use std::collections::BTreeMap;
use std::time::Duration;
use types::{Address, Milliseconds};

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

/// How long the core may take to form, and then the routers to be ready.
const START_TIMEOUT: Milliseconds = Milliseconds::seconds(20);
/// The pause between the routers being ready and the load.
const SETTLE_TIME: Duration = Duration::from_millis(1200);
/// Requests in flight at most.
const MAX_IN_FLIGHT: usize = 1500;

/// Loads one side of a pair and returns its figures by name. Fails if the fleet can't be started or the load shows
/// a violation.
fn play(
    rules: &CompareRules,
    seed: u64,
    is_btb_on: bool,
    settings: &str,
) -> Result<BTreeMap<String, f64>, String> {
    let shape = rules.deployment.shape();
    let servers = ScheduleRules {
        block_micros: rules.block_micros,
        ..ScheduleRules::default()
    };
    let process_group = ProcessGroup::start(&shape, &servers).map_err(|fault| fault.to_string())?;
    let platform = process_group.platform.address;
    let plan = plan_of(rules.deployment, is_btb_on);
    let mut fleet = start_fleet(&shape, platform, settings, &plan)?;
    std::thread::sleep(SETTLE_TIME);
    let (requests, late) = load(rules, seed, &fleet);
    let mut report = Report::of(&requests, late);
    join_logs(&mut report, &requests, &process_group.logs(), &plan);
    if !report.violations.is_empty() {
        return Err(format!("seed {seed}: {:?}", report.violations));
    }
    let mut figures = service_figures(&report);
    for metric in ["router_copies", "router_placed_warm"] {
        let routers = fleet.routers.iter();
        let sum: u64 = routers.map(|router| router.metric(metric)).sum();
        figures.insert(metric.into(), sum as f64);
    }
    fleet.stop();
    Ok(figures)
}

/// Starts a fleet whose routers have these settings, and waits until it is ready with this plan.
fn start_fleet(
    shape: &Shape,
    platform: Address,
    settings: &str,
    plan: &str,
) -> Result<Fleet, String> {
    let options = FleetOptions {
        router_settings: settings.to_owned(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(shape, platform, None, &options)
        .map_err(|fault| format!("no fleet: {fault}"))?;
    fleet.await_core(START_TIMEOUT)?;
    fleet.put_plan("first", 0, plan)?;
    fleet.await_routers(START_TIMEOUT)?;
    Ok(fleet)
}

/// Returns the requests, and how many were late at the source.
fn load(rules: &CompareRules, seed: u64, fleet: &Fleet) -> (Vec<RequestRecord>, u64) {
    let mut workload = Workload::new(rules.deployment.mix(), seed);
    workload.hot_share = rules.hot_share;
    let config = LoadTestConfig {
        routers: fleet.clients_addresses(),
        span: Milliseconds::seconds(rules.seconds),
        scale: rules.scale,
        max_in_flight: MAX_IN_FLIGHT,
    };
    LoadTest::new(workload, config).run()
}

fn service_figures(report: &Report) -> BTreeMap<String, f64> {
    let mut figures = BTreeMap::new();
    let (mut sent, mut complete) = (0, 0);
    for (name, service) in &report.services {
        for (place, part) in ["p50", "p95", "p99"].iter().enumerate() {
            let figure = format!("{name} first piece {part} ms");
            figures.insert(figure, service.first_ms[place]);
        }
        sent += service.sent;
        complete += service.complete;
    }
    let percent = 100.0 * complete as f64 / sent.max(1) as f64;
    figures.insert("complete, percent".into(), percent);
    figures
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
    print_table(rules, &found);
    Ok(())
}

/// Prints each side's mean and spread, and how often the second was lower.
fn print_table(rules: &CompareRules, found: &[BTreeMap<String, Vec<f64>>; 2]) {
    let sides = rules.question.sides();
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
    let [first, second] = found;
    for (name, ones) in first {
        let others = second.get(name).cloned().unwrap_or_default();
        let lower = ones
            .iter()
            .zip(&others)
            .filter(|(one, other)| other < one)
            .count();
        println!(
            "| {name} | {} | {} | {lower} of {} |",
            spread(ones),
            spread(&others),
            ones.len()
        );
    }
}

/// The mean of these values, with the least and the greatest.
fn spread(values: &[f64]) -> String {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    let most = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    format!("{mean:.1} ({least:.1} to {most:.1})")
}
