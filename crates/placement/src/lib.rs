//! Prompt placement: which prefixes turn hot, which servers hold their KV, where each request goes.
//!
//! The mechanism is BTB, Bite the Bullet (docs/provenance.md): a sliding-window count for each
//! prefix hash; a burst makes the prefix active and orders copies of its KV; later prompts go to the
//! least-loaded warm server; everything else is placed by plain cache awareness. Pure: [`Scheduler`] takes
//! timestamped events and returns decisions, the same ones for the same events.

mod arrival_window;
mod block_hash;
mod budget_claim;
mod digest;
mod event;
mod prefix_residency;
mod rendezvous;
mod retry_budget;
mod retry_window;
mod rules;
mod scheduler;
mod server_state;
mod sketch;

pub use arrival_window::ArrivalWindow;
pub use block_hash::block_hashes;
pub use budget_claim::BudgetClaim;
pub use digest::{Digest, DigestChange, DigestKey, incarnation_key, server_key};
pub use event::{
    Candidate, Decision, Event, Outcome, PlacementReason, RequestCost, ServerEntry, Timestamped,
};
pub use prefix_residency::PrefixResidency;
pub use rendezvous::{key_of, mix, rank, share, share_at};
pub use retry_budget::RetryBudget;
pub use retry_window::RetryWindow;
pub use rules::{BtbRules, Rules, SchedulerRules, ServiceRules};
pub use scheduler::Scheduler;
pub use server_state::{Load, ServerState};
pub use sketch::{CachedPrefix, FLEET, HotPrefix, InFlight, PrefixHash, Sketch};
