//! `testbed compare`: one way of working against another, in pairs of real fleets.

use simulator::Deployment;
use testbed::{CompareRules, Question, compare};

/// Set one way of working against another: pairs of fleets under the same traffic, in turn.
#[derive(Debug, clap::Args)]
pub(crate) struct CompareCommand {
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
}

impl CompareCommand {
    /// Plays the pairs and prints the figures. Fails if a fleet can't be started or shows a violation.
    pub(crate) fn run(self) -> Result<bool, String> {
        compare(&CompareRules {
            deployment: self.deployment,
            question: self.question,
            seed: self.seed,
            pairs: self.pairs,
            seconds: self.seconds,
            scale: self.scale,
            hot_share: self.hot_share,
            block_micros: self.block_micros,
        })?;
        Ok(true)
    }
}
