//! `testbed measure`: ways of working against each other in simulated fleets.

use simulator::Deployment;
use testbed::{MeasureRules, Sweep, measure};

/// Set ways of working against each other in simulated fleets without faults, seed by seed.
#[derive(Debug, clap::Args)]
pub(crate) struct MeasureCommand {
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
}

impl MeasureCommand {
    /// Plays every side with every seed and prints the figures. Fails if a run shows a violation.
    pub(crate) fn run(self) -> Result<bool, String> {
        measure(&MeasureRules {
            sweep: self.sweep,
            deployment: self.deployment,
            seeds: self.seeds,
            requests: self.requests,
            block_micros: self.block_micros,
            hot_share: self.hot_share,
        })?;
        Ok(true)
    }
}
