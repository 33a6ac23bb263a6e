//! The doors of a process: HTTP towards clients, servers and operators; snapshots between our own.
//!
//! `rouille` and `astra` hold small pieces back (tests/library_traps.rs shows it), so answers go
//! through `hyper`, their kin, on one blocking thread a connection.

mod ask;
mod framing;
mod http_server;
mod lines;
mod post;
mod response;
mod socket;

pub use ask::{
    Ask, Heard, HttpClientError, HttpRequestExt, http_delete, http_get, http_post, http_request,
    read_all, read_page,
};
pub use framing::RequestLimits;
pub use http_server::{
    HttpServer, HttpServerBounds, HttpServerCloser, HttpServerLimiter, HttpServerLimits, Request,
};
pub use lines::{
    CHECK_LIFE, ConnectionError, ConnectionPool, ConnectionPoolBounds, Line, LinePull, Waits,
};
pub use post::{MessageTransport, PostClass, PostTally};
pub use response::{PieceSource, Pull, Response};
pub use socket::Client;
