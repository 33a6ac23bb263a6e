//! What our processes say to each other, and how a letter is framed. No I/O of its own.

mod letter;
mod seal;

pub use letter::{
    ControllerContact, CoreLocation, DigestLeg, Letter, ListChange, ListPiece, ListState,
    ListVersion, Member, News, Poll, PollResponse, Reading, SPLICE_MOST,
};
pub use seal::{PROTOCOL, SealFault, open, seal};
