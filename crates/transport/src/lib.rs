//! The doors of a process: HTTP towards clients, servers and operators; snapshots between our own.
//!
//! `rouille` and `astra` hold small pieces back (tests/library_traps.rs shows it), so answers go
//! through `hyper`, their kin, on one blocking thread a connection.

mod ask;
mod framing;
mod gate;
mod lines;
mod post;
mod response;
mod socket;

pub use ask::{
    Ask, AskError, AskExt, Heard, ask_delete, ask_get, ask_post, ask_with, read_all, read_page,
};
pub use framing::RequestLimits;
pub use gate::{Gate, GateBounds, GateCloser, GateLimiter, GateLimits, Request};
pub use lines::{CHECK_LIFE, Line, LineError, LinePull, Lines, LinesBounds, Waits};
pub use post::{Post, PostClass, PostTally};
pub use response::{PieceSource, Pull, Response};
pub use socket::Client;
