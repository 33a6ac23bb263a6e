//! Random walks: many deviations, deeper than the search goes; and the shortening of what they find.

use super::cluster::{Cluster, ClusterRules, DiskLosses, OpenStep};
use super::deviation::{Deviation, TickPlan};
use super::search::{Counterexample, later_deviations};

/// Ticks in a walk.
const WALK_TICKS: usize = 400;
/// Troubles that meet are what breaks things: after one, others come more often for so many ticks.
const BURST_TICKS: usize = 10;
/// Quiet ticks after the last deviation, by which the core must answer again.
const REST_TICKS: usize = 300;

/// How a walk goes.
#[derive(Debug, Clone, Copy)]
pub struct Walk {
    /// Where its choices are drawn from.
    pub seed: u64,
    /// Deviations at most.
    pub deviations: usize,
}

/// One walk; gives the shortened run where it shows what must never be.
pub fn walk(rules: &ClusterRules, walk: Walk) -> Option<Counterexample> {
    let mut draws = Draws(walk.seed ^ 0x5DEE_CE66_D1CE_4E5B);
    let mut cluster = Cluster::founded(rules);
    let mut trace = vec![];
    for tick in 1..=WALK_TICKS {
        let last = trace.last().map(|(tick, _): &(usize, TickPlan)| *tick);
        let left = walk.deviations - trace.len().min(walk.deviations);
        let ticks_apart = mean_ticks_apart(rules, &cluster, last.map(|last| tick - last));
        let is_quiet = left == 0 || draws.below(ticks_apart) > 0;
        let plan = if is_quiet {
            vec![]
        } else {
            draw_plan(rules, &cluster, &mut draws)
        };
        cluster.tick(&plan);
        if !plan.is_empty() {
            trace.push((tick, plan));
        }
        if cluster.violation().is_some() {
            break;
        }
    }
    let violation = replay(rules, &trace)?;
    Some(shorten(rules, Counterexample { violation, trace }))
}

/// How many ticks pass on average before the next deviation, when the last one was this long ago.
fn mean_ticks_apart(rules: &ClusterRules, cluster: &Cluster, since_last: Option<usize>) -> u64 {
    let is_burst = since_last.is_some_and(|since| since < BURST_TICKS);
    match rules.disk_losses {
        // The next machine is to go while the core hasn't made up for the last one.
        DiskLosses::Overlapping if !cluster.is_serving() => 4,
        DiskLosses::Overlapping => 16,
        DiskLosses::WithinBudget if is_burst => 3,
        DiskLosses::WithinBudget => 24,
    }
}

fn draw_plan(rules: &ClusterRules, cluster: &Cluster, draws: &mut Draws) -> TickPlan {
    let open: Vec<OpenStep> = cluster.clone().tick(&vec![]);
    let choices = later_deviations(cluster, &vec![], &open);
    let is_step = |deviation: &&Deviation| matches!(deviation, Deviation::AtStep { .. });
    let (steps, starts): (Vec<&Deviation>, Vec<&Deviation>) = choices.iter().partition(is_step);
    let pool = match rules.disk_losses {
        DiskLosses::Overlapping => outages(cluster, &choices, draws),
        DiskLosses::WithinBudget if draws.below(2) == 0 || steps.is_empty() => starts,
        DiskLosses::WithinBudget => steps,
    };
    match pool.get(draws.below(pool.len().max(1) as u64) as usize) {
        Some(deviation) => vec![**deviation],
        None => vec![],
    }
}

/// The outages to choose from: disks are lost while the core makes up for earlier outages, since losses
/// out of good health are what [`DiskLosses::WithinBudget`] walks through.
fn outages<'a>(
    cluster: &Cluster,
    choices: &'a [Deviation],
    draws: &mut Draws,
) -> Vec<&'a Deviation> {
    let does_lose_disk = !cluster.is_serving() && draws.below(2) == 0;
    let is_crash = |deviation: &&Deviation| matches!(deviation, Deviation::Crash(..));
    let is_choice = |deviation: &&Deviation| match does_lose_disk {
        true => deviation.loses_disk(),
        false => is_crash(deviation) || (deviation.is_proposal() && cluster.is_serving()),
    };
    choices.iter().filter(is_choice).collect()
}

/// Plays a trace from the founded core on, and then rests; gives what must never be, if it shows any.
pub fn replay(rules: &ClusterRules, trace: &[(usize, TickPlan)]) -> Option<String> {
    let mut cluster = Cluster::founded(rules);
    let end = trace.last().map_or(0, |(tick, _)| *tick) + REST_TICKS;
    let mut is_readable = false;
    for tick in 1..=end {
        let planned = trace
            .iter()
            .find(|(at, _)| *at == tick)
            .map(|(_, plan)| plan.clone())
            .unwrap_or_default();
        let plan = planned
            .into_iter()
            .filter(|deviation| cluster.allows(deviation))
            .collect();
        cluster.tick(&plan);
        if let Some(violation) = cluster.violation() {
            return Some(format!("tick {tick}: {violation}"));
        }
        is_readable |= tick + 20 > end && cluster.may_respond();
    }
    (!is_readable).then(|| "nobody may answer though all machines are back".into())
}

/// Leaves out whatever isn't needed for a violation.
fn shorten(rules: &ClusterRules, mut found: Counterexample) -> Counterexample {
    let mut place = 0;
    while place < found.trace.len() {
        let mut shorter = found.trace.clone();
        shorter.remove(place);
        match replay(rules, &shorter) {
            Some(violation) => {
                found = Counterexample {
                    violation,
                    trace: shorter,
                }
            }
            None => place += 1,
        }
    }
    found
}

/// Numbers drawn from a seed (splitmix64).
struct Draws(u64);

impl Draws {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}
