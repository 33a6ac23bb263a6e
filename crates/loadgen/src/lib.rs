//! A load generator that plays the clients: open-loop arrivals, and every stream checked piece by
//! piece.

mod asker;
mod campaign;
mod mix;
mod report;

/// What each file imports.
pub mod prelude {
    pub use crate::asker::{Asked, Fate, ask, print_of};
    pub use crate::campaign::{Campaign, CampaignRules};
    pub use crate::mix::{Mix, MixKind, PlannedRequest, Shape};
    pub use crate::report::{Report, ServiceReport};
    pub use placement::prelude::mix;
    pub use transport::prelude::*;
    pub use types::prelude::*;
}
