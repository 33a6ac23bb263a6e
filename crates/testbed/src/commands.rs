//! The subcommands of the test bed, a file each.

mod answers;
mod compare;
mod explore;
mod fleet;
mod hollow;
mod measure;
mod simulate;
mod soak;

pub(crate) use answers::AnswersCommand;
pub(crate) use compare::CompareCommand;
pub(crate) use explore::ExploreCommand;
pub(crate) use fleet::FleetCommand;
pub(crate) use hollow::{HollowCommand, HollowPlotCommand, run_host};
pub(crate) use measure::MeasureCommand;
pub(crate) use simulate::SimulateCommand;
pub(crate) use soak::SoakCommand;
