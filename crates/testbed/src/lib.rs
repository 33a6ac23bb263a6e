//! The project's own proof: stand-ins for servers and the platform, a fleet on one machine, and the
//! measurements. Only this package starts processes.

mod answers;
mod compare;
mod crew;
mod explorer;
mod fleet;
mod hollow;
mod measure;
mod platform;
mod schedule;
mod stand_in;
mod world;

/// What each file imports.
pub mod prelude {
    pub use crate::answers::{
        AnswersMutant, AnswersReport, AnswersRules, Fate as AnswersFate, play_answers,
    };
    pub use crate::compare::{CompareRules, Question, compare};
    pub use crate::crew::{Crew, Deployment, Shape};
    pub use crate::explorer::{
        ClusterRules, Counterexample, DeliberateFault, Exploration, Limits, Walk, explore, replay,
        walk,
    };
    pub use crate::fleet::{Daemon, Fleet, FleetOptions, free_ports, join_logs, plan_of};
    pub use crate::hollow::{HollowReport, HollowRules, hollow, host::serve as serve_hollow, plot};
    pub use crate::measure::{MeasureRules, Sweep, measure};
    pub use crate::platform::Platform;
    pub use crate::schedule::{Progress, Schedule, ScheduleRules, Strike};
    pub use crate::stand_in::{RunLog, StandIn};
    pub use crate::world::{FaultKind, Mutant, Witness, World, WorldRules};
    pub use loadgen::prelude::{
        Asked, Campaign, CampaignRules, Fate, Mix, MixKind, PlannedRequest, Report, ask, mix,
        print_of,
    };
    pub use placement::prelude::{PrefixHash, ServerEntry, block_hashes};
    pub use router::prelude::{
        LIFE_HEADER, RunPiece, RunRequest, ServerListReport, ServerReport, ServicePlan, parse_plan,
    };
    pub use serde::{Deserialize, Serialize};
    pub use transport::prelude::*;
    pub use types::prelude::*;
}
