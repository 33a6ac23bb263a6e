//! The command line of the test bed.

mod commands;

use clap::{Parser, Subcommand};
use commands::{
    AnswersCommand, CompareCommand, ExploreCommand, FleetCommand, HollowCommand, HollowPlotCommand,
    MeasureCommand, SimulateCommand, SoakCommand, run_host,
};
use std::process::ExitCode;

/// Plays the whole thing on one machine: stand-ins, a fleet, clients, failures.
#[derive(Debug, Parser)]
#[command(version, about)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

// The help of a subcommand is the doc comment of its arguments.
#[derive(Debug, Subcommand)]
enum Command {
    Fleet(FleetCommand),
    Compare(CompareCommand),
    Measure(MeasureCommand),
    Hollow(HollowCommand),
    HollowPlot(HollowPlotCommand),
    /// A process of a hollow fleet; takes orders from standard input.
    #[command(hide = true)]
    HollowHost,
    Answers(AnswersCommand),
    Simulate(SimulateCommand),
    Explore(ExploreCommand),
    Soak(SoakCommand),
}

impl Command {
    /// The exit code if the command could not do its work.
    fn code_of_failure(&self) -> u8 {
        match self {
            Command::Soak(_) => 2,
            _ => 1,
        }
    }

    /// Runs the command; whether all went well.
    fn run(self) -> Result<bool, String> {
        match self {
            Command::Fleet(command) => command.run(),
            Command::Compare(command) => command.run(),
            Command::Measure(command) => command.run(),
            Command::Hollow(command) => command.run(),
            Command::HollowPlot(command) => command.run(),
            Command::HollowHost => run_host(),
            Command::Answers(command) => command.run(),
            Command::Simulate(command) => Ok(command.run()),
            Command::Explore(command) => Ok(command.run()),
            Command::Soak(command) => command.run().map_err(|error| error.to_string()),
        }
    }
}

fn main() -> ExitCode {
    let command = CommandLine::parse().command;
    let code_of_failure = command.code_of_failure();
    match command.run() {
        Ok(is_well) => ExitCode::from(u8::from(!is_well)),
        Err(why) => {
            eprintln!("testbed: {why}");
            ExitCode::from(code_of_failure)
        }
    }
}
