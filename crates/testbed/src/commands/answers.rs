//! `testbed answers`: the forwarder between clients that check and servers that do what they may.

use testbed::{AnswersMutant, AnswersRules, play_answers};

/// Play answers in doubt: the real forwarder over loopback, between clients that check whose each answer
/// is and servers that do at random whatever a server may do. Exit codes: 0 nothing that must never
/// be was seen, 1 something was.
#[derive(Debug, clap::Args)]
pub(crate) struct AnswersCommand {
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
}

impl AnswersCommand {
    /// Plays the calls and prints the report; whether there was no violation.
    pub(crate) fn run(self) -> Result<bool, String> {
        let report = play_answers(AnswersRules {
            seed: self.seed,
            calls: self.calls,
            lanes: self.lanes,
            only_lane: self.only_lane,
            mutant: self.mutant,
        })?;
        let (seed, calls, lanes) = (self.seed, self.calls, self.lanes);
        println!("seed {seed}, {calls} calls, {lanes} lanes");
        print!("{report}");
        Ok(report.violations.is_empty())
    }
}
