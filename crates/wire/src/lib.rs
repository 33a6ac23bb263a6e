//! The inner protocol: the messages between processes of the fleet, and their encoding.
//!
//! A [`Message`] is archived by rkyv and framed by [`seal`]; [`open`] reads it back from any byte stream. The order
//! of variants and fields is that of the bytes: to change it, [`PROTOCOL`] must grow. The package does no I/O of its
//! own.

mod config_update;
mod core_location;
mod dissemination;
mod lease;
mod message;
mod query;
mod sealing;
mod server_list;

pub use config_update::{ConfigUpdate, MAX_DELTA_BYTES};
pub use core_location::{ControllerContact, CoreLocation};
pub use dissemination::DigestLeg;
pub use lease::{LeaseRequest, LeaseResponse, Member};
pub use message::Message;
pub use query::Query;
pub use sealing::{PROTOCOL, SealError, open, open_within, seal};
pub use server_list::{ServerListChange, ServerListChunk, ServerListState, ServerListVersion};
