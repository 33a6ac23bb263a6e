//! `testbed explore`: the states of a small core, all of them or by random walks.

use model_checker::{
    ClusterRules, Counterexample, DeliberateFault, DiskLosses, Limits, Walk, explore, walk,
};

/// Visit every state of a small core that so many faults and commands lead to, or walk at random.
/// Exit codes: 0 nothing that must never be was seen, 1 something was.
#[derive(Debug, clap::Args)]
pub(crate) struct ExploreCommand {
    /// Founders and voters.
    #[arg(long, default_value_t = 3)]
    voters: usize,
    /// Disks that a change is on before it's confirmed.
    #[arg(long, default_value_t = 2)]
    copies: usize,
    /// Faults in each run.
    #[arg(long, default_value_t = 1)]
    faults: usize,
    /// Commands in each run, besides the one that was confirmed before.
    #[arg(long, default_value_t = 1)]
    proposals: usize,
    /// Threads.
    #[arg(long, default_value_t = 4)]
    threads: usize,
    /// End after so many states.
    #[arg(long, default_value_t = u64::MAX)]
    most_states: u64,
    /// Walk at random from these many seeds instead, with up to `faults` faults and commands.
    #[arg(long, default_value_t = 0)]
    walks: u64,
    /// The first seed of the walks.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also check that nothing is taken that was refused for good.
    #[arg(long)]
    refusals: bool,
    /// When disks may be lost.
    #[arg(long, default_value = "within-budget")]
    disk_losses: DiskLosses,
    /// With a deliberate fault in the system itself.
    #[arg(long)]
    mutant: Option<DeliberateFault>,
}

impl ExploreCommand {
    /// Visits the states or walks, and prints what was found; whether there was no violation.
    pub(crate) fn run(self) -> bool {
        let rules = ClusterRules {
            voters: self.voters,
            copies: self.copies,
            checks_refusals: self.refusals,
            disk_losses: self.disk_losses,
            fault: self.mutant,
        };
        match self.walks {
            0 => self.explore_all(&rules),
            _ => self.walk_all(&rules),
        }
    }

    fn explore_all(&self, rules: &ClusterRules) -> bool {
        let limits = Limits {
            faults: self.faults,
            proposals: self.proposals,
            threads: self.threads,
            most_states: self.most_states,
        };
        let found = explore(rules, limits);
        let end = match found.is_complete {
            true => "all visited",
            false => "unfinished",
        };
        println!("{} states, {} ticks, {end}", found.states, found.ticks);
        found.counterexample.iter().for_each(print_counterexample);
        found.counterexample.is_none()
    }

    fn walk_all(&self, rules: &ClusterRules) -> bool {
        let (count, deviations) = (self.walks, self.faults);
        let mut broken = 0;
        for seed in self.seed..self.seed + count {
            if let Some(found) = walk(rules, Walk { seed, deviations }) {
                println!("seed {seed}:");
                print_counterexample(&found);
                broken += 1;
            }
        }
        println!(
            "{count} walks of up to {deviations} deviations, {broken} show what must never be"
        );
        broken == 0
    }
}

fn print_counterexample(found: &Counterexample) {
    println!("{}", found.violation);
    for (tick, plan) in &found.trace {
        println!("  tick {tick}: {plan:?}");
    }
}
