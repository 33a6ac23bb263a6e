//! The words that all packages of cobaltfall share: ids, epochs, times, result codes.
//!
//! Every file of this package (and of those built on it) imports [`prelude`] alone for them.

mod address;
mod api_key;
mod disk_id;
mod epoch;
mod macros;
mod moment;
mod names;
mod random;
mod result_code;
mod splice;
mod token_key;

/// What each file imports.
pub mod prelude {
    pub use crate::address::Address;
    pub use crate::api_key::{ApiKey, ApiKeys};
    pub use crate::disk_id::DiskId;
    pub use crate::epoch::{Epoch, Seq, ViewEpoch};
    pub use crate::messages;
    pub use crate::moment::{Clock, Moment, Span};
    pub use crate::names::{RequestId, RunId, ServerName, ServiceName, TenantName, ZoneName};
    pub use crate::random::random_bytes;
    pub use crate::result_code::ResultCode;
    pub use crate::splice::{Splice, unwind};
    pub use crate::token_key::TokenKey;
}

#[doc(hidden)]
pub use rkyv;
