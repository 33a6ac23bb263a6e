//! `testbed soak`: real processes under clients and operators, in troubles drawn from a seed.

use std::path::{Path, PathBuf};
use testbed::{DEFAULT_PROCESSES, Schedule, SoakError, SoakReport, SoakRules, max_processes, soak};
use transport::ProcessSignals;
use types::Milliseconds;

/// Play a fleet of real processes under clients and operators, in troubles drawn from seeds.
/// Exit codes: 0 nothing that must never be was seen, 1 something was, 2 it could not run.
#[derive(Debug, clap::Args)]
pub(crate) struct SoakCommand {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How many seeds from there on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..))]
    seeds: u64,
    /// How long troubles strike in each; 3600 at most.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=3600))]
    seconds: u64,
    /// Controllers and routers together; 0: as many as the machine bears.
    #[arg(long, default_value_t = DEFAULT_PROCESSES)]
    processes: usize,
    /// Plays the troubles of this file, as a report has them, in place of those that the seed draws.
    #[arg(long)]
    schedule: Option<PathBuf>,
    /// Where a report of each seed goes, as JSON, with the settings, logs and data of its processes.
    #[arg(long)]
    report: Option<PathBuf>,
}

impl SoakCommand {
    /// Plays all seeds and prints what was seen; whether nothing was that must never be.
    pub(crate) fn run(self) -> Result<bool, SoakError> {
        let signals = ProcessSignals::register()?;
        let schedule = self.schedule.as_deref().map(read_schedule).transpose()?;
        if let Some(folder) = &self.report {
            std::fs::create_dir_all(folder).map_err(|error| file_error(folder, &error))?;
        }
        let most = max_processes()?;
        let processes = if self.processes == 0 {
            most
        } else {
            self.processes
        };
        println!("{processes} processes; this machine bears {most}");
        let mut failed = 0;
        for seed in self.seed..self.seed + self.seeds {
            let rules = SoakRules {
                seed,
                span: Milliseconds::seconds(self.seconds),
                processes,
                schedule: schedule.clone(),
                folder: self
                    .report
                    .as_ref()
                    .map(|folder| folder.join(format!("seed-{seed}"))),
            };
            let report = soak(&rules, &signals)?;
            print!("{report}");
            self.write(&report)?;
            failed += u64::from(!report.holds());
        }
        println!("{} seeds, {failed} with violations", self.seeds);
        Ok(failed == 0)
    }

    fn write(&self, report: &SoakReport) -> Result<(), SoakError> {
        let Some(folder) = &self.report else {
            return Ok(());
        };
        let path = folder.join(format!("seed-{}.json", report.seed));
        let text = serde_json::to_string_pretty(report).expect("a report is JSON");
        std::fs::write(&path, text).map_err(|error| file_error(&path, &error))
    }
}

/// Reads the troubles of a report, or of a file that has nothing else.
fn read_schedule(path: &Path) -> Result<Schedule, SoakError> {
    let text = std::fs::read_to_string(path).map_err(|error| file_error(path, &error))?;
    let value: serde_json::Value =
        serde_json::from_str(&text).map_err(|error| file_error(path, &error))?;
    let schedule = value.get("schedule").unwrap_or(&value);
    serde_json::from_value(schedule.clone()).map_err(|error| file_error(path, &error))
}

fn file_error(path: &Path, error: &dyn std::fmt::Display) -> SoakError {
    SoakError::File {
        path: path.display().to_string(),
        error: error.to_string(),
    }
}
