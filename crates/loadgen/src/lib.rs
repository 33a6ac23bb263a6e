//! A load generator that plays the clients: open-loop arrivals, and every stream checked piece by
//! piece.

mod asker;
mod campaign;
mod mix;
mod report;

pub use asker::{Asked, Fate, ask, print_of};
pub use campaign::{Campaign, CampaignRules};
pub use mix::{Mix, MixKind, PlannedRequest, Shape};
pub use report::{Report, ServiceReport};
