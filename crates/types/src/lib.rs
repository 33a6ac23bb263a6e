//! The types that all packages of cobaltfall share: ids, epochs, instants, result codes.
//!
//! Many of them are archived with `rkyv` and stored or sent: the order of
//! fields and variants must never change.

mod address;
mod api_key;
mod delta;
mod disk_id;
mod epoch;
mod macros;
mod moment;
mod names;
mod random;
mod result_code;
mod token_key;

pub use address::{Address, ParseAddressError};
pub use api_key::{ApiKey, ApiKeys};
pub use delta::{Delta, revert};
pub use disk_id::DiskId;
pub use epoch::{ConfigEpoch, SequenceNumber, ViewNumber};
pub use moment::{Clock, Milliseconds, MonotonicInstant};
pub use names::{RequestId, RunId, ServerName, ServiceName, TenantName, ZoneName};
pub use random::random_bytes;
pub use result_code::ResultCode;
pub use token_key::TokenKey;

#[doc(hidden)]
pub use rkyv;
