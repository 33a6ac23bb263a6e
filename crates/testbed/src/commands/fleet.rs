//! `testbed fleet`: a deployment at its true shape under load, with every answer checked.

use loadgen::{LoadTest, LoadTestConfig, Report, RequestRecord, Workload};
use simulator::{Deployment, ScheduleRules};
use std::path::PathBuf;
use std::time::Duration;
use testbed::{Daemon, Fleet, FleetOptions, ProcessGroup, join_logs, plan_of};
use types::Milliseconds;

/// How long the core may take to form, and then the routers to be ready.
const START_TIMEOUT: Milliseconds = Milliseconds::seconds(20);
/// Requests in flight at most.
const MAX_IN_FLIGHT: usize = 1500;
/// The routers' counters in the report.
const REPORTED_METRICS: [&str; 5] = [
    "router_copies",
    "router_placed_warm",
    "router_placed_match",
    "router_placed_other",
    "router_repeats",
];

/// Bring a deployment up at its true shape, load it for a while, check every answer, stop it.
/// Exit codes: 0 all well, 1 something that must never be was seen or a daemon ended badly.
#[derive(Debug, clap::Args)]
pub(crate) struct FleetCommand {
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
}

impl FleetCommand {
    /// Starts the fleet, loads it, stops it and prints the report; whether there was no violation and each daemon
    /// ended well.
    pub(crate) fn run(self) -> Result<bool, String> {
        let shape = self.deployment.shape();
        let servers = ProcessGroup::start(&shape, &ScheduleRules::default())
            .map_err(|fault| fault.to_string())?;
        let platform = servers.platform.address;
        let mut fleet = Fleet::start(
            &shape,
            platform,
            self.folder.clone(),
            &FleetOptions::default(),
        )
        .map_err(|fault| {
            format!("the daemons can't be started (build the whole workspace first): {fault}")
        })?;
        let plan = plan_of(self.deployment, !self.plain);
        self.await_ready(&fleet, &plan)?;
        let (requests, late) = self.load(&fleet);
        let mut report = Report::of(&requests, late);
        join_logs(&mut report, &requests, &servers.logs(), &plan);
        add_metrics(&mut report, &fleet);
        std::thread::sleep(Duration::from_secs(self.linger));
        let failed = stop(&mut fleet);
        self.print_report(&report, &failed)?;
        Ok(report.violations.is_empty() && failed.is_empty())
    }

    /// Waits for the core, has it accept the plan and waits for the routers.
    fn await_ready(&self, fleet: &Fleet, plan: &str) -> Result<(), String> {
        let core = fleet.await_core(START_TIMEOUT)?;
        let outcome = fleet.put_plan("first", 0, plan)?;
        let ready = fleet.await_routers(START_TIMEOUT)?;
        if !self.json {
            println!(
                "core formed after {} ms, plan accepted as epoch {}, routers ready {} ms later",
                core.0, outcome["epoch"], ready.0
            );
            println!("controllers: {}", addresses(&fleet.controllers));
            println!("routers:     {}", addresses(&fleet.routers));
            println!("settings, logs and data: {}", fleet.folder.display());
        }
        Ok(())
    }

    fn load(&self, fleet: &Fleet) -> (Vec<RequestRecord>, u64) {
        let config = LoadTestConfig {
            routers: fleet.clients_addresses(),
            span: Milliseconds::seconds(self.seconds),
            scale: self.scale,
            max_in_flight: MAX_IN_FLIGHT,
        };
        LoadTest::new(Workload::new(self.deployment.mix(), self.seed), config).run()
    }

    fn print_report(&self, report: &Report, failed: &[String]) -> Result<(), String> {
        if self.json {
            let text = serde_json::to_string_pretty(report).map_err(|fault| fault.to_string())?;
            println!("{text}");
            return Ok(());
        }
        print!("{report}");
        let failed = match failed {
            [] => "none".into(),
            _ => failed.join(", "),
        };
        println!("daemons that ended badly: {failed}");
        Ok(())
    }
}

fn addresses(daemons: &[Daemon]) -> String {
    let addresses: Vec<String> = daemons
        .iter()
        .map(|daemon| daemon.listen.to_string())
        .collect();
    addresses.join(" ")
}

/// Adds the sums of the routers' counters to the report.
fn add_metrics(report: &mut Report, fleet: &Fleet) {
    for name in REPORTED_METRICS {
        let sum = fleet.routers.iter().map(|router| router.metric(name)).sum();
        report.at_servers.insert(name.into(), sum);
    }
}

/// Stops the fleet. Returns the daemons that did not end with code 0, with their codes.
fn stop(fleet: &mut Fleet) -> Vec<String> {
    fleet
        .stop()
        .iter()
        .filter(|(_, code)| **code != Some(0))
        .map(|(name, code)| format!("{name}: {code:?}"))
        .collect()
}
