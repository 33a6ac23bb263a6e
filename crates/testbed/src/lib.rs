//! The project's own proof: stand-ins for servers and the platform, a fleet on one machine, and the
//! measurements. Only this package starts processes.

mod answers;
mod compare;
mod explorer;
mod fleet;
mod hollow;
mod measure;
mod platform;
mod process_group;
mod schedule;
mod stand_in;
mod world;

pub use answers::{AnswersMutant, AnswersReport, AnswersRules, Fate as AnswersFate, play_answers};
pub use compare::{CompareRules, Question, compare};
pub use explorer::{
    ClusterRules, Counterexample, DeliberateFault, Exploration, Limits, Walk, explore, replay, walk,
};
pub use fleet::{Daemon, Fleet, FleetOptions, free_ports, join_logs, plan_of};
pub use hollow::{HollowReport, HollowRules, hollow, host::serve as serve_hollow, plot};
pub use measure::{MeasureRules, Sweep, measure};
pub use platform::Platform;
pub use process_group::{Deployment, ProcessGroup, Shape};
pub use schedule::{Progress, Schedule, ScheduleRules, Strike};
pub use stand_in::{RunLog, StandIn};
pub use world::{FaultKind, Mutant, Witness, World, WorldRules};
