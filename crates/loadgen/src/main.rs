//! The load generator's command line.

use clap::Parser;
use loadgen::{LoadTest, LoadTestConfig, Report, Workload, WorkloadKind};
use std::process::ExitCode;
use types::{Address, Milliseconds};

/// Plays the clients of a fleet for a while and checks every answer. Exit codes: 0 nothing that must
/// never be was seen, 1 something was, 2 the call can't be used.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Arguments {
    /// Listening addresses of routers.
    #[arg(long, required = true, num_args = 1.., value_delimiter = ',')]
    at: Vec<Address>,
    /// Whose traffic.
    #[arg(long, default_value = "pahana")]
    mix: WorkloadKind,
    /// For how many seconds; 3600 at most.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Times today's rates; 20 at most.
    #[arg(long, default_value_t = 1.0)]
    scale: f64,
    /// Where the traffic is drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if !(0.01..=20.0).contains(&arguments.scale) {
        eprintln!(
            "loadgen: scale: {} is not within 0.01 to 20",
            arguments.scale
        );
        return ExitCode::from(2);
    }
    let config = LoadTestConfig {
        routers: arguments.at,
        span: Milliseconds::seconds(arguments.seconds),
        scale: arguments.scale,
        max_in_flight: 1500,
    };
    let (records, late) = LoadTest::new(Workload::new(arguments.mix, arguments.seed), config).run();
    let report = Report::of(&records, late);
    if arguments.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("a report is JSON")
        );
    } else {
        print!("{report}");
    }
    ExitCode::from(u8::from(!report.violations.is_empty()))
}
