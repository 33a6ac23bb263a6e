//! The project's own proof: stand-ins for servers and the platform, a fleet on one machine, and the
//! measurements. Only this package starts processes.

mod answers;
mod compare;
mod fleet;
mod hollow;
mod measure;
mod platform;
mod ports;
mod process_group;
mod soak;
mod stand_in;

pub use answers::{AnswersMutant, AnswersReport, AnswersRules, Fate as AnswersFate, play_answers};
pub use compare::{CompareRules, Question, compare};
pub use fleet::{Daemon, DaemonCommand, Fleet, FleetOptions, join_logs, plan_of};
pub use hollow::{HollowReport, HollowRules, hollow, host::serve as serve_hollow, plot};
pub use measure::{MeasureRules, Sweep, measure};
pub use platform::Platform;
pub use ports::free_ports;
pub use process_group::ProcessGroup;
pub use soak::{
    CheckReport, DEFAULT_PROCESSES, ProcessFates, Schedule, SoakError, SoakReport, SoakRules,
    SoakTarget, Supervisor, Trouble, TroubleKind, max_processes, soak,
};
pub use stand_in::{RunLog, StandIn};
