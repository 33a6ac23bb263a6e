//! The subcommands of the test bed, a file each.

mod answers;
mod compare;
mod explore;
mod fleet;
mod hollow;
mod measure;
mod simulate;

pub use answers::AnswersCommand;
pub use compare::CompareCommand;
pub use explore::ExploreCommand;
pub use fleet::FleetCommand;
pub use hollow::{HollowCommand, HollowPlotCommand, run_host};
pub use measure::MeasureCommand;
pub use simulate::SimulateCommand;
