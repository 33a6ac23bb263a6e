use clap::{Parser, Subcommand};
use loadgen::{LoadTest, LoadTestConfig, Report, Workload};
use model_checker::{ClusterRules, Counterexample, DeliberateFault, Limits, Walk, explore, walk};
use simulator::{Deployment, FaultKind, Mutant, ScheduleRules, World, WorldRules};
use std::io::Write;
use std::path::PathBuf;
use std::process::ExitCode;
use testbed::{
    AnswersMutant, AnswersRules, CompareRules, Fleet, FleetOptions, HollowReport, HollowRules,
    MeasureRules, ProcessGroup, Question, Sweep, compare, hollow, join_logs, measure, plan_of,
    play_answers, plot, serve_hollow,
};
use types::{Milliseconds, ServiceName};

/// Plays the whole thing on one machine: stand-ins, a fleet, clients, failures.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Line {
    #[command(subcommand)]
    task: Task,
}

#[derive(Debug, Subcommand)]
enum Task {
    /// Bring a deployment up at its true shape, load it for a while, check every answer, stop it.
    /// Exit codes: 0 all well, 1 something that must never be was seen or a daemon ended badly.
    Fleet {
        /// Whose.
        #[arg(long, default_value = "pahana")]
        deployment: Deployment,
        /// Load it for this long; 3600 at most.
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
        seconds: u64,
        /// Times today's rates.
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// Where the traffic is drawn from.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Without BTB: plain cache awareness.
        #[arg(long)]
        plain: bool,
        /// Where settings, logs and data go; a temporary folder by default.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// After the load, stay up this many seconds, to be looked at.
        #[arg(long, default_value_t = 0)]
        linger: u64,
        /// The report as JSON.
        #[arg(long)]
        json: bool,
    },
    /// Set one way of working against another: pairs of fleets under the same traffic, in turn.
    Compare {
        /// What is set against what.
        question: Question,
        /// Whose.
        #[arg(long, default_value = "pahana")]
        deployment: Deployment,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many pairs.
        #[arg(long, default_value_t = 5)]
        pairs: u64,
        /// How long each side is loaded.
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        /// Times today's rates.
        #[arg(long, default_value_t = 1.0)]
        scale: f64,
        /// The part of long prompts that belong to the burst at hand.
        #[arg(long, default_value_t = 0.9)]
        hot_share: f64,
        /// Prefill of a block at the servers, in microseconds.
        #[arg(long, default_value_t = 10_000)]
        block_micros: u64,
    },
    /// Set ways of working against each other in simulated fleets without faults, seed by seed.
    Measure {
        /// What is swept.
        sweep: Sweep,
        /// Whose.
        #[arg(long, default_value = "pahana")]
        deployment: Deployment,
        /// How many seeds.
        #[arg(long, default_value_t = 24)]
        seeds: u64,
        /// Requests a second.
        #[arg(long, alias = "orders", default_value_t = 80)]
        requests: u64,
        /// Prefill of a block at the servers, in microseconds.
        #[arg(long, default_value_t = 10_000)]
        block_micros: u64,
        /// Percent of drafts that belong to the burst at hand.
        #[arg(long, default_value_t = 90)]
        hot_share: u64,
    },
    /// Run the control plane alone: real controllers, and many nodes' control state and inner protocol
    /// over loopback. A size that can't fit the machine is refused before anything starts.
    Hollow {
        #[command(flatten)]
        rules: HollowRules,
        /// Where settings, logs and data go; a temporary folder by default.
        #[arg(long)]
        folder: Option<PathBuf>,
        /// Add the report as a line of JSON to this file.
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Fit lines through hollow runs of several sizes and draw them.
    HollowPlot {
        /// Lines of JSON, as written by `hollow --json`.
        runs: PathBuf,
        /// The picture, SVG.
        picture: PathBuf,
    },
    /// A process of a hollow fleet; takes orders from standard input.
    #[command(hide = true)]
    HollowHost,
    /// Play answers in doubt: the real forwarder over loopback, between clients that check whose each answer
    /// is and servers that do at random whatever a server may do. Exit codes: 0 nothing that must never
    /// be was seen, 1 something was.
    Answers {
        /// What each server does with each call follows from it.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many calls.
        #[arg(long, default_value_t = 100_000)]
        calls: u64,
        /// Forwarders side by side, each with its own servers and client.
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=64))]
        lanes: u64,
        /// Only this lane, as it was with this seed, these calls and lanes.
        #[arg(long)]
        only_lane: Option<u64>,
        /// With a deliberate fault.
        #[arg(long)]
        mutant: Option<AnswersMutant>,
    },
    /// Play fleets on virtual time, network and disks, with faults drawn from seeds, and judge what
    /// clients, servers and operators see. Exit codes: 0 nothing that must never be was seen, 1
    /// something was.
    Simulate {
        /// Whose.
        #[arg(long, default_value = "pahana")]
        deployment: Deployment,
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds from there on.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Faults in each run.
        #[arg(long, default_value_t = 8)]
        faults: u64,
        /// Only these kinds.
        #[arg(long, value_delimiter = ',')]
        kinds: Vec<FaultKind>,
        /// Requests a second.
        #[arg(long, alias = "orders", default_value_t = 25)]
        requests: u64,
        /// So many routers, in place of the deployment's.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=500))]
        routers: Option<u16>,
        /// Controllers take each other for gone after this many ms.
        #[arg(long)]
        suspect_ms: Option<u64>,
        /// So many controllers, in place of the deployment's.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=9))]
        controllers: Option<u16>,
        /// So many controllers without a disk, which settings may come to name as seeds.
        #[arg(long, value_parser = clap::value_parser!(u16).range(0..=9))]
        relays: Option<u16>,
        /// So many tenants with keys and quotas.
        #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u64).range(0..=100))]
        tenants: u64,
        /// Disks that a change is on before it is told as accepted.
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=9))]
        copies: Option<u16>,
        /// Operators do something each time after one to six times this many ms; 25 makes hundreds of changes.
        #[arg(long, default_value_t = 300, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        operators_ms: u64,
        /// Who must know a change before it is told as accepted.
        #[arg(long, default_value = "majority")]
        quorum: controller::Quorum,
        /// With a deliberate fault in the system itself.
        #[arg(long)]
        mutant: Option<Mutant>,
    },
    /// Visit every state of a small core that so many faults and commands lead to, or walk at random.
    /// Exit codes: 0 nothing that must never be was seen, 1 something was.
    Explore {
        /// Founders and voters.
        #[arg(long, default_value_t = 3)]
        voters: usize,
        /// Disks that a change is on before it's confirmed.
        #[arg(long, default_value_t = 2)]
        copies: usize,
        /// Faults in each run.
        #[arg(long, default_value_t = 1)]
        faults: usize,
        /// Commands in each run, besides the one that was confirmed before.
        #[arg(long, default_value_t = 1)]
        proposals: usize,
        /// Threads.
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// End after so many states.
        #[arg(long, default_value_t = u64::MAX)]
        most_states: u64,
        /// Walk at random from these many seeds instead, with up to `faults` faults and commands.
        #[arg(long, default_value_t = 0)]
        walks: u64,
        /// The first seed of the walks.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Also check that nothing is taken that was refused for good.
        #[arg(long)]
        refusals: bool,
        /// With a deliberate fault in the system itself.
        #[arg(long)]
        mutant: Option<DeliberateFault>,
    },
}

fn main() -> ExitCode {
    let outcome = match Line::parse().task {
        Task::Fleet {
            deployment,
            seconds,
            scale,
            seed,
            plain,
            folder,
            linger,
            json,
        } => play(
            deployment, seconds, scale, seed, plain, folder, linger, json,
        ),
        Task::Compare {
            question,
            deployment,
            seed,
            pairs,
            seconds,
            scale,
            hot_share,
            block_micros,
        } => {
            let rules = CompareRules {
                deployment,
                question,
                seed,
                pairs,
                seconds,
                scale,
                hot_share,
                block_micros,
            };
            compare(&rules).map(|()| true)
        }
        Task::Measure {
            sweep,
            deployment,
            seeds,
            requests,
            block_micros,
            hot_share,
        } => {
            let rules = MeasureRules {
                sweep,
                deployment,
                seeds,
                requests,
                block_micros,
                hot_share,
            };
            measure(&rules).map(|()| true)
        }
        Task::Hollow {
            rules,
            folder,
            json,
        } => run_hollow(&rules, folder, json),
        Task::HollowPlot { runs, picture } => draw_hollow(&runs, &picture),
        Task::Answers {
            seed,
            calls,
            lanes,
            only_lane,
            mutant,
        } => play_answers(AnswersRules {
            seed,
            calls,
            lanes,
            only_lane,
            mutant,
        })
        .map(|report| {
            println!("seed {seed}, {calls} calls, {lanes} lanes");
            print!("{report}");
            report.violations.is_empty()
        }),
        Task::HollowHost => serve_hollow().map(|()| true),
        Task::Simulate {
            deployment,
            seed,
            seeds,
            faults,
            kinds,
            requests,
            routers,
            suspect_ms,
            controllers,
            relays,
            tenants,
            copies,
            operators_ms,
            quorum,
            mutant,
        } => {
            let swept = WorldRules::swept(deployment, seed);
            let rules = WorldRules {
                faults,
                kinds,
                mutant,
                routers: routers.map(usize::from),
                suspect: suspect_ms.map(Milliseconds),
                controllers: controllers.map(usize::from),
                relays: relays.map_or(swept.relays, usize::from),
                tenants,
                copies: copies.map_or(swept.copies, usize::from),
                operators_gap: Milliseconds(operators_ms),
                quorum,
                requests_a_second: requests,
                ..swept
            };
            // A size that is named holds for all seeds.
            let is_swept = controllers.is_none() && relays.is_none() && copies.is_none();
            Ok(simulate(&rules, seeds, is_swept))
        }
        Task::Explore {
            voters,
            copies,
            faults,
            proposals,
            threads,
            most_states,
            walks,
            seed,
            refusals,
            mutant,
        } => {
            let rules = ClusterRules {
                voters,
                copies,
                checks_refusals: refusals,
                fault: mutant,
            };
            Ok(match walks {
                0 => explore_all(
                    &rules,
                    Limits {
                        faults,
                        proposals,
                        threads,
                        most_states,
                    },
                ),
                _ => walk_all(&rules, seed..seed + walks, faults),
            })
        }
    };
    match outcome {
        Ok(is_well) => ExitCode::from(u8::from(!is_well)),
        Err(why) => {
            eprintln!("testbed: {why}");
            ExitCode::from(1)
        }
    }
}

fn explore_all(rules: &ClusterRules, limits: Limits) -> bool {
    let found = explore(rules, limits);
    let end = if found.is_complete {
        "all visited"
    } else {
        "unfinished"
    };
    println!("{} states, {} ticks, {end}", found.states, found.ticks);
    found.counterexample.iter().for_each(show_counterexample);
    found.counterexample.is_none()
}

fn walk_all(rules: &ClusterRules, seeds: std::ops::Range<u64>, deviations: usize) -> bool {
    let count = seeds.end - seeds.start;
    let mut broken = 0;
    for seed in seeds {
        if let Some(found) = walk(rules, Walk { seed, deviations }) {
            println!("seed {seed}:");
            show_counterexample(&found);
            broken += 1;
        }
    }
    println!("{count} walks of up to {deviations} deviations, {broken} show what must never be");
    broken == 0
}

fn show_counterexample(found: &Counterexample) {
    println!("{}", found.violation);
    for (tick, plan) in &found.trace {
        println!("  tick {tick}: {plan:?}");
    }
}

fn run_hollow(
    rules: &HollowRules,
    folder: Option<PathBuf>,
    json: Option<PathBuf>,
) -> Result<bool, String> {
    let report = hollow(rules, folder)?;
    print!("{report}");
    let line = serde_json::to_string(&report).map_err(|fault| fault.to_string())?;
    if let Some(path) = json {
        let file = std::fs::File::options()
            .create(true)
            .append(true)
            .open(path);
        file.and_then(|mut file| writeln!(file, "{line}"))
            .map_err(|fault| fault.to_string())?;
    } else {
        println!("{line}");
    }
    Ok(report.failed_changes == 0 && report.unseen_changes == 0)
}

fn draw_hollow(runs: &std::path::Path, picture: &std::path::Path) -> Result<bool, String> {
    let text = std::fs::read_to_string(runs).map_err(|fault| fault.to_string())?;
    let runs: Result<Vec<HollowReport>, _> = text.lines().map(serde_json::from_str).collect();
    print!(
        "{}",
        plot(&runs.map_err(|fault| fault.to_string())?, picture)?
    );
    Ok(true)
}

/// Plays these seeds, some at a time; says whether all went well. Where it's swept, seeds draw the core's size.
fn simulate(rules: &WorldRules, seeds: u64, is_swept: bool) -> bool {
    let next = std::sync::atomic::AtomicU64::new(rules.seed);
    let bad = std::sync::Mutex::new(vec![]);
    let lags: std::sync::Mutex<std::collections::BTreeMap<&str, Vec<u64>>> =
        std::sync::Mutex::default();
    let threads = std::thread::available_parallelism().map_or(2, |count| count.get()) as u64;
    std::thread::scope(|scope| {
        for _ in 0..threads.min(seeds) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    if seed >= rules.seed + seeds {
                        return;
                    }
                    let rules = WorldRules {
                        seed,
                        ..rules.clone()
                    };
                    let witness = World::new(if is_swept {
                        rules.with_swept_size()
                    } else {
                        rules
                    })
                    .run();
                    let _ = writeln!(std::io::stdout(), "seed {seed}: {witness}");
                    let mut all = lags.lock().expect("no thread panics with it");
                    let mut note = |what, found: &mut dyn Iterator<Item = u64>| {
                        all.entry(what).or_default().extend(found)
                    };
                    note(
                        "placed under the epoch before, after \"accepted\"",
                        &mut witness.in_force_ms.values().copied(),
                    );
                    note(
                        "run in a zone, after its withdrawal was accepted",
                        &mut witness.withdrawn_ms.iter().copied(),
                    );
                    note(
                        "run at a server, after it was marked as leaving",
                        &mut witness.leaving_ms.iter().copied(),
                    );
                    note(
                        "command accepted, after it was sent",
                        &mut witness.accept_ms.iter().copied(),
                    );
                    note(
                        "a change accepted again, after all was healed",
                        &mut witness.back_ms.0.into_iter(),
                    );
                    note(
                        "all controllers level again, after all was healed",
                        &mut witness.level_ms.into_iter(),
                    );
                    note(
                        "a request complete again, after all was healed",
                        &mut witness.back_ms.1.into_iter(),
                    );
                    let over =
                        |(requests, repeats): &(u64, u64)| repeats.saturating_sub(requests / 5);
                    note(
                        "repeats of a service beyond a fifth (a count)",
                        &mut witness.repeats.values().map(over),
                    );
                    for (service, what) in [
                        ("drafts", "first piece of drafts"),
                        ("questions", "first piece of questions"),
                    ] {
                        let found = witness.first_ms.get(&ServiceName::from(service));
                        note(what, &mut found.into_iter().flatten().copied());
                    }
                    drop(all);
                    if !witness.violations.is_empty() {
                        let mut text = format!("seed {seed}:\n");
                        witness
                            .violations
                            .iter()
                            .take(8)
                            .for_each(|what| text += &format!("  VIOLATION {what}\n"));
                        witness
                            .faults
                            .iter()
                            .for_each(|fault| text += &format!("  {fault}\n"));
                        if seeds == 1 {
                            witness
                                .calls
                                .iter()
                                .for_each(|call| text += &format!("  {call}\n"));
                        }
                        bad.lock().expect("no thread panics with it").push(text);
                    }
                }
            });
        }
    });
    let bad = bad.into_inner().expect("no thread panics with it");
    bad.iter().for_each(|text| print!("{text}"));
    for (what, mut values) in lags.into_inner().expect("no thread panics with it") {
        values.sort_unstable();
        let at = |percent: usize| {
            values
                .get((values.len() * percent / 100).min(values.len().max(1) - 1))
                .unwrap_or(&0)
        };
        println!(
            "{what}: {} times, p50 {} p99 {} most {} ms",
            values.len(),
            at(50),
            at(99),
            at(100)
        );
    }
    println!("{seeds} seeds, {} with violations", bad.len());
    bad.is_empty()
}

#[allow(clippy::too_many_arguments)]
fn play(
    deployment: Deployment,
    seconds: u64,
    scale: f64,
    seed: u64,
    plain: bool,
    folder: Option<PathBuf>,
    linger: u64,
    json: bool,
) -> Result<bool, String> {
    let shape = deployment.shape();
    let process_group = ProcessGroup::start(&shape, &ScheduleRules::default())
        .map_err(|fault| fault.to_string())?;
    let mut fleet = Fleet::start(
        &shape,
        process_group.platform.address,
        folder,
        &FleetOptions::default(),
    )
    .map_err(|fault| {
        format!("the daemons can't be started (build the whole workspace first): {fault}")
    })?;
    let core = fleet.await_core(Milliseconds::seconds(20))?;
    let plan = plan_of(deployment, !plain);
    let outcome = fleet.put_plan("first", 0, &plan)?;
    let ready = fleet.await_routers(Milliseconds::seconds(20))?;
    if !json {
        println!(
            "core formed after {} ms, plan accepted as epoch {}, routers ready {} ms later",
            core.0, outcome["epoch"], ready.0
        );
        println!(
            "controllers: {}",
            fleet
                .controllers
                .iter()
                .map(|d| d.listen.to_string())
                .collect::<Vec<_>>()
                .join(" ")
        );
        println!(
            "routers:     {}",
            fleet
                .routers
                .iter()
                .map(|d| d.listen.to_string())
                .collect::<Vec<_>>()
                .join(" ")
        );
        println!("settings, logs and data: {}", fleet.folder.display());
    }
    let rules = LoadTestConfig {
        routers: fleet.clients_addresses(),
        span: Milliseconds::seconds(seconds),
        scale,
        max_in_flight: 1500,
    };
    let (asked, late) = LoadTest::new(Workload::new(deployment.mix(), seed), rules).run();
    let mut report = Report::of(&asked, late);
    join_logs(&mut report, &asked, &process_group.logs(), &plan);
    let sum = |name: &str| {
        fleet
            .routers
            .iter()
            .map(|router| router.metric(name))
            .sum::<u64>()
    };
    for name in [
        "router_copies",
        "router_placed_warm",
        "router_placed_match",
        "router_placed_other",
        "router_repeats",
    ] {
        report.at_servers.insert(name.into(), sum(name));
    }
    std::thread::sleep(std::time::Duration::from_secs(linger));
    let codes = fleet.stop();
    let bad: Vec<String> = codes
        .iter()
        .filter(|(_, code)| **code != Some(0))
        .map(|(name, code)| format!("{name}: {code:?}"))
        .collect();
    if json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).map_err(|fault| fault.to_string())?
        );
    } else {
        print!("{report}");
        println!(
            "daemons that ended badly: {}",
            if bad.is_empty() {
                "none".into()
            } else {
                bad.join(", ")
            }
        );
    }
    Ok(report.violations.is_empty() && bad.is_empty())
}
