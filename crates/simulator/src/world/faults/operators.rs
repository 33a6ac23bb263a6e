//! Faults that come from operators and clients: storms of plans, crowds of requests, settings with other seeds.

use super::{FaultEntry, FaultTarget};
use crate::world::{FaultKind, World};

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::lasting(FaultKind::PlanStorm, World::begin_plan_storm),
    FaultEntry::lasting(FaultKind::Crowd, |world, target| {
        world.crowd_until = world.now + target.span;
    }),
    FaultEntry::lasting(FaultKind::ExchangeSeeds, |world, target| {
        world.exchange_seeds(target.pick);
    }),
];

/// The longest storm of plans, in milliseconds.
const LONGEST_PLAN_STORM: u64 = 3000;

impl World {
    fn begin_plan_storm(&mut self, target: &FaultTarget) {
        self.operators.storm_until = self.now + target.span.min(LONGEST_PLAN_STORM);
    }
}
