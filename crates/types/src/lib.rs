//! The words that all packages of cobaltfall share: ids, epochs, times, result codes.

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

pub use address::Address;
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
