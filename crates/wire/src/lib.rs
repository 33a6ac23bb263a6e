//! What our processes say to each other, and how a letter is framed. No I/O of its own.

mod message;
mod seal;

pub use message::{
    ConfigUpdate, ControllerContact, CoreLocation, DigestLeg, LeaseRequest, LeaseResponse,
    ListChange, ListState, ListVersion, Member, Message, Query, SPLICE_MOST, ServerListChunk,
};
pub use seal::{PROTOCOL, SealError, open, seal};
