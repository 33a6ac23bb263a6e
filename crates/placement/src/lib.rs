//! Prompt placement: which prefixes turn hot, who holds their KV, where each request goes.
//!
//! The mechanism is BTB, Bite the Bullet (docs/provenance.md): a sliding-window count for each
//! prefix hash; a burst makes the prefix active and orders copies of its KV; later prompts go to the
//! least-loaded warm server; everything else is placed by plain cache awareness. Pure: [`Scheduler`] takes
//! dated events and gives decisions, the same ones for the same events.
//!

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

pub use allowance::Allowance;
pub use blocks::block_hashes;
pub use claim::Claim;
pub use digest::{Digest, DigestChange, DigestKey, incarnation_key, server_key};
pub use event::{
    Candidate, Decision, Event, Outcome, PlacementReason, RequestCost, ServerEntry, Timestamped,
};
pub use repeat_window::RepeatWindow;
pub use residency::Residency;
pub use rules::{BtbRules, Rules, SchedulerRules, ServiceRules};
pub use scheduler::Scheduler;
pub use server_state::{Load, ServerState};
pub use share::{key_of, mix, rank, share, share_at};
pub use sketch::{CachedPrefix, FLEET, HotPrefix, InFlight, PrefixHash, Sketch};
pub use window::Window;
