//! The HTTP door of a process: what it takes, and a thread for each connection.

mod connection;
mod framing;
mod request_reader;
mod response;
mod state;

pub use self::framing::RequestLimits;
pub use self::response::{PieceSource, Pull, Response};
pub use self::state::HttpServerLimits;

use self::connection::serve_connection;
use self::state::GateState;
use crate::socket::Client;
use bytes::Bytes;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use types::{Address, Milliseconds};

/// One request over HTTP, read whole.
pub struct Request {
    /// `GET`, `POST` and so on.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query, if any.
    pub query: String,
    /// Path and query exactly as sent.
    pub target: String,
    /// The body, within the bound.
    pub body: Bytes,
    /// Who sent it.
    pub client: Client,
    verb: http::Method,
    headers: http::HeaderMap,
}

impl Request {
    fn new(head: http::request::Parts, body: Bytes, client: Client) -> Self {
        Request {
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            target: head
                .uri
                .path_and_query()
                .map_or_else(|| head.uri.to_string(), |both| both.as_str().to_owned()),
            body,
            client,
            verb: head.method,
            headers: head.headers,
        }
    }
    /// All headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.headers
    }
    /// Method, target, headers and body, to be passed on.
    pub fn into_parts(self) -> (http::Method, String, http::HeaderMap, Bytes) {
        (self.verb, self.target, self.headers, self.body)
    }
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
    /// A word of the query, such as `from` in `?from=3`. Plain values only, nothing is unescaped.
    pub fn query_word(&self, name: &str) -> Option<&str> {
        let words = self
            .query
            .split('&')
            .filter_map(|word| word.split_once('='));
        words
            .into_iter()
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }
    /// The parts of the path.
    pub fn parts(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|part| !part.is_empty())
            .collect()
    }
}

/// What a gate takes at most. Those of [`GateLimits`] may be changed while it serves.
#[derive(Debug, Clone, Copy)]
pub struct HttpServerBounds {
    /// Connections at once; each has a thread. More are closed unread.
    pub connections: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// For a head, from its first byte (without `keep_alive` from the connection's beginning), and once
    /// more for the body behind it.
    pub read_span: Milliseconds,
    /// Whether a connection takes one request after the other.
    pub keep_alive: bool,
    /// With `keep_alive`, how long a connection may stay without a request.
    pub idle_span: Milliseconds,
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Stack of each connection's thread, handlers included.
    pub stack_bytes: usize,
}

impl Default for HttpServerBounds {
    fn default() -> Self {
        HttpServerBounds {
            connections: 512,
            body_bytes: 4 << 20,
            read_span: Milliseconds::seconds(10),
            keep_alive: false,
            idle_span: Milliseconds::seconds(15),
            header_bytes: 64 << 10,
            stack_bytes: 512 << 10,
        }
    }
}

impl HttpServerBounds {
    /// The limits that hold until others are set.
    pub fn limits(&self) -> HttpServerLimits {
        HttpServerLimits {
            request: RequestLimits {
                header_bytes: self.header_bytes,
                body_bytes: self.body_bytes,
            },
            head_span: self.read_span,
            idle_span: self.idle_span,
        }
    }
}

/// A listening HTTP door.
pub struct HttpServer {
    listener: TcpListener,
    bounds: HttpServerBounds,
    is_closed: Arc<AtomicBool>,
    state: Arc<GateState>,
    open_count: Arc<AtomicUsize>,
}

impl HttpServer {
    /// Listens there.
    pub fn open(address: SocketAddr, bounds: HttpServerBounds) -> io::Result<Self> {
        Ok(HttpServer {
            listener: TcpListener::bind(address)?,
            state: Arc::new(GateState::new(bounds.limits())?),
            bounds,
            is_closed: Arc::default(),
            open_count: Arc::default(),
        })
    }
    /// Where it listens.
    pub fn address(&self) -> Address {
        Address(
            self.listener
                .local_addr()
                .expect("a bound listener has an address"),
        )
    }
    /// What closes it again.
    pub fn closer(&self) -> HttpServerCloser {
        HttpServerCloser {
            is_closed: self.is_closed.clone(),
            state: self.state.clone(),
            address: self.address(),
        }
    }
    /// What changes its limits.
    pub fn limiter(&self) -> HttpServerLimiter {
        HttpServerLimiter(self.state.clone())
    }
    /// How many connections are open.
    pub fn open_count(&self) -> Arc<AtomicUsize> {
        self.open_count.clone()
    }
    /// Takes requests for ever, each connection on a thread of its own.
    pub fn serve<H>(self, handler: H)
    where
        H: Fn(Request) -> Response + Send + Sync + Clone + 'static,
    {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                // Closing: all that had come is taken.
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return,
                Err(fault) => {
                    tracing::warn!("gate: accept failed: {fault}.");
                    std::thread::sleep(std::time::Duration::from_millis(20));
                    continue;
                }
            };
            if self.is_closed.load(Ordering::SeqCst) && self.listener.set_nonblocking(true).is_err()
            {
                return;
            }
            if self.open_count.fetch_add(1, Ordering::Relaxed) >= self.bounds.connections {
                self.open_count.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (bounds, handler, state) = (self.bounds, handler.clone(), self.state.clone());
            let position = ChainPosition(self.open_count.clone());
            let builder = std::thread::Builder::new()
                .name("gate".into())
                .stack_size(bounds.stack_bytes);
            let spawned = builder.spawn(move || {
                let _seat = position;
                serve_connection(stream, bounds, &state, handler);
            });
            if let Err(fault) = spawned {
                tracing::warn!("gate: no thread for a connection: {fault}.");
            }
        }
    }
}

/// Closes a gate: it stops listening; connections that are open go on.
#[derive(Debug, Clone)]
pub struct HttpServerCloser {
    is_closed: Arc<AtomicBool>,
    state: Arc<GateState>,
    address: Address,
}

impl HttpServerCloser {
    /// From now on every answer says `Connection: close`, and kept connections without a request are
    /// closed shortly after: what was on the wire is still taken. New connections are served too.
    pub fn leave(&self) {
        self.state.leave();
    }
    /// Stops listening.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that waits for the next connection.
        let _ = TcpStream::connect_timeout(&self.address.0, std::time::Duration::from_millis(500));
    }
}

/// Changes a gate's limits while it serves.
#[derive(Debug, Clone)]
pub struct HttpServerLimiter(Arc<GateState>);

impl HttpServerLimiter {
    /// From now on these hold, for the connections that are open too: for the request that is being read
    /// on one, and, counted from now, for the time that it may stay without one.
    pub fn set(&self, limits: HttpServerLimits) {
        self.0.set_limits(limits);
    }
    /// Those in force.
    pub fn limits(&self) -> HttpServerLimits {
        self.0.rules().limits
    }
}

/// Gives its place back when the thread ends, however it ends.
struct ChainPosition(Arc<AtomicUsize>);

impl Drop for ChainPosition {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
