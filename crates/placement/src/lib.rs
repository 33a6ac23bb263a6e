//! Prompt placement: which prefixes turn hot, who holds their KV, where each request goes.
//!
//! The mechanism is BTB, Bite the Bullet (docs/provenance.md): a sliding-window count for each
//! prefix hash; a burst makes the prefix active and orders copies of its KV; later prompts go to the
//! least-loaded warm server; everything else is placed by plain cache awareness. Pure: [`Scheduler`] takes
//! dated events and gives decisions, the same ones for the same events.
//!
//! [`Scheduler`]: prelude::Scheduler

mod allowance;
mod blocks;
mod claim;
mod digest;
mod event;
mod repeat_window;
mod residency;
mod rules;
mod scheduler;
mod server_state;
mod share;
mod sketch;
mod window;

/// What each file imports.
pub mod prelude {
    pub use crate::allowance::Allowance;
    pub use crate::blocks::block_hashes;
    pub use crate::claim::Claim;
    pub use crate::digest::{Digest, DigestChange, DigestKey, life_key, server_key};
    pub use crate::event::{
        Candidate, Dated, Decision, Demand, Event, Outcome, PlaceReason, ServerEntry,
    };
    pub use crate::repeat_window::RepeatWindow;
    pub use crate::residency::Residency;
    pub use crate::rules::{BtbRules, Rules, SchedulerRules, ServiceRules};
    pub use crate::scheduler::Scheduler;
    pub use crate::server_state::{Load, ServerState};
    pub use crate::share::{key_of, mix, rank, share, share_at};
    pub use crate::sketch::{FLEET, Holding, Hot, InFlight, PrefixHash, Sketch};
    pub use crate::window::Window;
    pub use serde::{Deserialize, Serialize};
    pub use types::prelude::*;
}
