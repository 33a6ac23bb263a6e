//! `testbed hollow`, `hollow-plot` and `hollow-host`: the control plane alone.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};
use testbed::{HollowReport, HollowRules, hollow, plot, serve_hollow};

/// Run the control plane alone: real controllers, and many nodes' control state and inner protocol
/// over loopback. A size that can't fit the machine is refused before anything starts.
#[derive(Debug, clap::Args)]
pub(crate) struct HollowCommand {
    #[command(flatten)]
    rules: HollowRules,
    /// Where settings, logs and data go; a temporary folder by default.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Add the report as a line of JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl HollowCommand {
    /// Runs the fleet and prints the report; whether all changes came into force everywhere.
    pub(crate) fn run(self) -> Result<bool, String> {
        let report = hollow(&self.rules, self.folder)?;
        print!("{report}");
        let line = serde_json::to_string(&report).map_err(|error| error.to_string())?;
        match self.json {
            Some(path) => append_line(&path, &line).map_err(|error| error.to_string())?,
            None => println!("{line}"),
        }
        Ok(report.failed_changes == 0 && report.unseen_changes == 0)
    }
}

fn append_line(path: &Path, line: &str) -> std::io::Result<()> {
    let mut file = File::options().create(true).append(true).open(path)?;
    writeln!(file, "{line}")
}

/// Fit lines through hollow runs of several sizes and draw them.
#[derive(Debug, clap::Args)]
pub(crate) struct HollowPlotCommand {
    /// Lines of JSON, as written by `hollow --json`.
    runs: PathBuf,
    /// The picture, SVG.
    picture: PathBuf,
}

impl HollowPlotCommand {
    /// Draws the picture and prints the fitted lines.
    pub(crate) fn run(self) -> Result<bool, String> {
        let text = std::fs::read_to_string(&self.runs).map_err(|error| error.to_string())?;
        let runs: Result<Vec<HollowReport>, _> = text.lines().map(serde_json::from_str).collect();
        let runs = runs.map_err(|error| error.to_string())?;
        print!("{}", plot(&runs, &self.picture)?);
        Ok(true)
    }
}

/// Serves as a host process of a hollow fleet until standard input ends.
pub(crate) fn run_host() -> Result<bool, String> {
    serve_hollow()?;
    Ok(true)
}
