//! The network interfaces of a process: an HTTP server and client for clients, servers and operators, a
//! connection pool towards servers, and messages between the fleet's own processes.
//!
//! The HTTP server is built on `hyper` with one blocking thread for each connection: `rouille` and `astra`
//! hold small chunks back (tests/library_traps.rs shows it).

mod connection_pool;
mod http_client;
mod http_server;
mod message_transport;
mod process_signals;
mod resource_budget;
mod sliced_body;
mod socket;

pub use connection_pool::{
    BodyFraming, BodyRead, ConnectionError, ConnectionPool, ConnectionPoolBounds, PooledResponse,
    SEND_CHECK_VALIDITY, SendOptions,
};
pub use http_client::{
    HttpClientError, HttpRequest, HttpRequestExt, HttpResponse, http_delete, http_get, http_post,
    http_request, read_all, read_typed_body,
};
pub use http_server::{
    BodyChunk, BodySource, HttpServer, HttpServerBounds, HttpServerCloser, HttpServerLimiter,
    HttpServerLimits, Request, RequestLimits, Response,
};
pub use message_transport::{MessageClass, MessageTransport, PeerTraffic};
pub use process_signals::ProcessSignals;
pub use resource_budget::{BudgetUsage, ListenerBudget, NoRoom, ResourceBudget};
pub use socket::ClientConnection;
