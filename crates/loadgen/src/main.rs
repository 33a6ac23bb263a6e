use clap::Parser;
use loadgen::{Campaign, CampaignRules, Mix, MixKind, Report};
use std::process::ExitCode;
use types::{Address, Milliseconds};

/// Plays the clients of a fleet for a while and checks every answer. Exit codes: 0 nothing that must
/// never be was seen, 1 something was, 2 the call can't be used.
#[derive(Debug, Parser)]
#[command(version, about)]
struct Line {
    /// Listening addresses of routers.
    #[arg(long, required = true, num_args = 1.., value_delimiter = ',')]
    at: Vec<Address>,
    /// Whose traffic.
    #[arg(long, default_value = "pahana")]
    mix: MixKind,
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
    let line = Line::parse();
    if !(0.01..=20.0).contains(&line.scale) {
        eprintln!("loadgen: scale: {} is not within 0.01 to 20", line.scale);
        return ExitCode::from(2);
    }
    let rules = CampaignRules {
        routers: line.at,
        span: Milliseconds::seconds(line.seconds),
        scale: line.scale,
        in_hand: 1500,
    };
    let (asked, late) = Campaign::new(Mix::new(line.mix, line.seed), rules).run();
    let report = Report::of(&asked, late);
    if line.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&report).expect("a report is JSON")
        );
    } else {
        print!("{report}");
    }
    ExitCode::from(u8::from(!report.violations.is_empty()))
}
