//! The doors of a process: HTTP towards clients, servers and operators; snapshots between our own.
//!
//! `rouille` and `astra` hold small pieces back (tests/library_traps.rs shows it), so answers go
//! through `hyper`, their kin, on one blocking thread a connection.

mod connection_pool;
mod http_client;
mod http_server;
mod message_transport;
mod socket;

pub use connection_pool::{
    CHECK_LIFE, ConnectionError, ConnectionPool, ConnectionPoolBounds, Line, LinePull, Waits,
};
pub use http_client::{
    Ask, Heard, HttpClientError, HttpRequestExt, http_delete, http_get, http_post, http_request,
    read_all, read_page,
};
pub use http_server::{
    HttpServer, HttpServerBounds, HttpServerCloser, HttpServerLimiter, HttpServerLimits,
    PieceSource, Pull, Request, RequestLimits, Response,
};
pub use message_transport::{MessageTransport, PostClass, PostTally};
pub use socket::Client;
