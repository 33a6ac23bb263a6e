//! Whole fleets on virtual time, network and disks, with faults drawn from seeds, and checkers that judge what
//! clients, servers and operators see.

mod deployment;
mod schedule;
mod world;

pub use deployment::{Deployment, Shape};
pub use schedule::{Progress, Schedule, ScheduleRules, ServerFault};
pub use world::{FaultKind, Mutant, Witness, World, WorldRules};
