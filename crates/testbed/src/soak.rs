//! A soak: a whole fleet of real processes under clients and operators, in troubles drawn from a seed.
//!
//! Troubles come in series and overlap; clients go on using their open connections until the process is gone. What must
//! never happen is judged by what clients, servers, operators and the system saw. Everything runs on loopback.

mod checks;
mod clients;
mod error;
mod operators;
mod recovery;
mod report;
mod samples;
mod schedule;
mod supervisor;

pub use error::SoakError;
pub use report::{CheckReport, SoakReport};
pub use schedule::{Schedule, Trouble, TroubleKind};
pub use supervisor::{ProcessFates, SoakTarget, Supervisor};

use crate::fleet::{Daemon, Fleet, FleetOptions, plan_of};
use crate::process_group::ProcessGroup;
use crate::soak::checks::Findings;
use crate::soak::clients::{ClientRules, Clients};
use crate::soak::operators::Operators;
use crate::soak::samples::ResourceSamples;
use procfs::Current;
use simulator::{Deployment, ScheduleRules, ServerFault, Shape};
use std::path::PathBuf;
use std::time::Duration;
use transport::ProcessSignals;
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// The core forms, and then the routers are ready, within this.
const START_TIMEOUT: Milliseconds = Milliseconds::seconds(30);
/// How often the state of the processes is looked at.
const TICK: Duration = Duration::from_millis(20);
/// Memory that a process may use, as its settings say.
const MEMORY_BYTES: u64 = 220_000_000;
/// Descriptors that a process may have open, as its settings say.
const DESCRIPTORS: u64 = 1000;
/// Told to stop, a router finishes what is in hand within this.
const DRAIN: Milliseconds = Milliseconds::seconds(6);
/// Seeds that the settings name at most.
const SEEDS: usize = 3;
/// Processes of a small fleet: controllers and routers.
pub const DEFAULT_PROCESSES: usize = 9;
/// Processes of the largest fleet.
const MAX_PROCESSES: usize = 200;
/// A fleet of so many processes has five controllers in place of three.
const LARGE_FLEET: usize = 15;

/// How a soak goes.
#[derive(Debug, Clone)]
pub struct SoakRules {
    /// Where troubles and traffic are drawn from.
    pub seed: u64,
    /// How long troubles strike.
    pub span: Milliseconds,
    /// Controllers and routers together.
    pub processes: usize,
    /// The troubles, in place of those that the seed draws.
    pub schedule: Option<Schedule>,
    /// Where logs, data and the report go; a temporary folder by default.
    pub folder: Option<PathBuf>,
}

/// Returns how many processes this machine bears: half of its memory, and a few hundred at most.
///
/// # Errors
///
/// The system doesn't tell its memory.
pub fn max_processes() -> Result<usize, SoakError> {
    let memory = procfs::Meminfo::current()?;
    let by_memory = usize::try_from(memory.mem_total / 2 / MEMORY_BYTES).unwrap_or(MAX_PROCESSES);
    Ok(by_memory.min(MAX_PROCESSES))
}

/// Runs one soak. Whatever happens, no process is left.
///
/// # Errors
///
/// The fleet could not be started, or the soak was interrupted: nothing is judged.
pub fn soak(rules: &SoakRules, signals: &ProcessSignals) -> Result<SoakReport, SoakError> {
    let most = max_processes()?;
    if rules.processes < 4 || rules.processes > most {
        return Err(SoakError::Size {
            processes: rules.processes,
            most,
        });
    }
    let shape = shape(rules.processes);
    let schedule = match &rules.schedule {
        Some(schedule) => schedule.clone(),
        None => Schedule::draw(rules.seed, rules.span, &shape),
    };
    schedule.check(&shape)?;
    let run = Run::start(rules, &shape, schedule.clone())?;
    run.play(rules, schedule, signals)
}

/// The settings that all routers of a soak share.
fn fleet_options() -> FleetOptions {
    FleetOptions {
        router_settings: format!(
            "memory_bytes = {MEMORY_BYTES}\ndescriptors = {DESCRIPTORS}\ndrain_ms = {}\n",
            DRAIN.0
        ),
        ..FleetOptions::default()
    }
}

/// The fleet of so many processes.
fn shape(processes: usize) -> Shape {
    let controllers = if processes < LARGE_FLEET { 3 } else { 5 };
    Shape {
        controllers,
        routers: processes - controllers,
        ..Deployment::Pahana.shape()
    }
}

/// The product's own programs before stand-ins.
struct OwnPrograms {
    fleet: Fleet,
    servers: ProcessGroup,
    /// What the settings name as seeds.
    seeds: Vec<Address>,
}

impl OwnPrograms {
    fn new(fleet: Fleet, servers: ProcessGroup) -> Self {
        let controllers = fleet.controllers.iter().take(SEEDS);
        OwnPrograms {
            seeds: controllers.map(|controller| controller.inner).collect(),
            fleet,
            servers,
        }
    }
}

impl SoakTarget for OwnPrograms {
    fn daemons(&mut self) -> Vec<&mut Daemon> {
        let controllers = self.fleet.controllers.iter_mut();
        controllers.chain(&mut self.fleet.routers).collect()
    }

    /// The seeds are named in another order.
    fn change_settings(&mut self) {
        self.seeds.rotate_left(1);
        let written = self.fleet.name_seeds(&self.seeds);
        written.expect("the settings can be written");
    }

    fn suspend_server(&mut self, server: &str, is_suspended: bool) {
        let fault = ServerFault {
            is_dark: is_suspended,
            ..ServerFault::default()
        };
        let number = server
            .strip_prefix("model-")
            .and_then(|number| number.parse::<usize>().ok());
        let model = number.and_then(|number| self.servers.models.get(number));
        if let Some(model) = model {
            model.inject_fault(fault);
        }
    }
}

/// A soak under way.
struct Run {
    clients: Clients,
    operators: Operators,
    supervisor: Supervisor<OwnPrograms>,
    samples: ResourceSamples,
    plan: String,
}

impl Run {
    /// Starts all processes, and waits until they serve.
    fn start(rules: &SoakRules, shape: &Shape, schedule: Schedule) -> Result<Run, SoakError> {
        let servers = ProcessGroup::start(shape, &ScheduleRules::default())?;
        let platform = servers.platform.address;
        let fleet = Fleet::start(shape, platform, rules.folder.clone(), &fleet_options())?;
        fleet.await_core(START_TIMEOUT).map_err(SoakError::NotUp)?;
        let plan = plan_of(Deployment::Pahana, true);
        let first = fleet
            .put_plan("first", 0, &plan)
            .map_err(SoakError::NotUp)?;
        fleet
            .await_routers(START_TIMEOUT)
            .map_err(SoakError::NotUp)?;
        let epoch = first["epoch"].as_u64().unwrap_or(0);
        Ok(Run {
            clients: Clients::start(&ClientRules::new(rules.seed, fleet.clients_addresses())),
            operators: Operators::start(rules.seed, &fleet, epoch),
            supervisor: Supervisor::new(OwnPrograms::new(fleet, servers), schedule),
            samples: ResourceSamples::default(),
            plan,
        })
    }

    fn play(
        mut self,
        rules: &SoakRules,
        schedule: Schedule,
        signals: &ProcessSignals,
    ) -> Result<SoakReport, SoakError> {
        let begun = Clock::now();
        let mut next_line = begun + Milliseconds::seconds(1);
        loop {
            let now = Clock::now();
            if signals.is_stop_requested() {
                return Err(SoakError::Interrupted);
            }
            if now.since(begun) >= rules.span {
                break;
            }
            self.supervisor.step(now.since(begun));
            if now >= next_line {
                next_line = next_line + Milliseconds::seconds(1);
                self.samples.take(&self.supervisor.target().fleet);
                self.print_line(begun, now);
            }
            std::thread::sleep(TICK);
        }
        Ok(self.conclude(rules, schedule))
    }

    fn print_line(&self, begun: MonotonicInstant, now: MonotonicInstant) {
        eprintln!(
            "{:3} s: {}; {}; {}",
            now.since(begun).0 / 1000,
            self.clients.progress(),
            self.operators.progress(),
            self.supervisor.progress()
        );
    }

    /// Ends all troubles, and judges what was seen.
    fn conclude(mut self, rules: &SoakRules, schedule: Schedule) -> SoakReport {
        self.supervisor.heal();
        let operators = self.operators.stop();
        let recovery = recovery::measure(&self.supervisor.target().fleet, &operators);
        self.samples.take(&self.supervisor.target().fleet);
        let records = self.clients.stop();
        let logs = self.supervisor.target().servers.logs();
        let stopped = self.supervisor.stop();
        let findings = Findings {
            records: &records.all,
            logs: &logs,
            plan: &self.plan,
            recovery: &recovery,
            processes: &stopped,
            samples: &self.samples,
        };
        SoakReport {
            seed: rules.seed,
            span_ms: rules.span.0,
            processes: rules.processes,
            requests: records.all.len() as u64,
            connections: records.connections,
            outcomes: records.outcomes(),
            commands: operators.summary(),
            troubles: schedule.counts(),
            recovery_ms: recovery.service_ms(),
            checks: findings.evaluate(),
            schedule,
        }
    }
}
