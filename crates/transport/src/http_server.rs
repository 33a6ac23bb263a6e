//! An HTTP/1.1 server with a blocking thread for each connection.
//!
//! `framing` decides where each request on a connection begins and ends, `connection` drives one connection
//! from its first byte to its end, and `state` holds the limits in force, which may change meanwhile.

mod arrival;
mod body_buffer;
mod closing;
mod connection;
mod framing;
mod limits;
mod request;
mod request_reader;
mod response;
mod safety;
mod state;

pub use self::framing::RequestLimits;
pub use self::limits::{HttpServerBounds, HttpServerLimits};
pub use self::request::Request;
pub use self::response::{BodyChunk, BodySource, Response};

use self::arrival::ArrivalTracker;
use self::connection::serve_connection;
use self::state::ServerState;
use crate::resource_budget::ListenerBudget;
use crate::socket::wait_for_connection;
use rustix::net::sockopt;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use types::{Address, Clock, MonotonicInstant};

/// The pause after a failed accept, as when the process has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// A deadline that never comes.
const NEVER: MonotonicInstant = MonotonicInstant(u64::MAX);
/// Bytes that the kernel may hold for a connection until they are read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// How long [`HttpServerCloser::close`] waits for its connection that wakes the listener.
const CLOSE_CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A listening HTTP server.
pub struct HttpServer {
    listener: TcpListener,
    /// Before this, no connection can have come.
    opened_at: MonotonicInstant,
    bounds: HttpServerBounds,
    is_closed: Arc<AtomicBool>,
    state: Arc<ServerState>,
    open_count: Arc<AtomicUsize>,
    listener_budget: ListenerBudget,
}

impl HttpServer {
    /// Binds to an address; port 0 for a free one. The server has a budget of its own, bounded by
    /// [`HttpServerBounds::connections`] alone.
    ///
    /// # Errors
    ///
    /// If the address can't be bound, or no descriptors are left for the notification of changed limits.
    pub fn open(address: SocketAddr, bounds: HttpServerBounds) -> io::Result<Self> {
        Self::open_within(
            address,
            bounds,
            ListenerBudget::unlimited(bounds.connections),
        )
    }

    /// The same for a server whose connections, and what is held for them, are part of the process's budget.
    ///
    /// # Errors
    ///
    /// See [`HttpServer::open`].
    pub fn open_within(
        address: SocketAddr,
        bounds: HttpServerBounds,
        listener_budget: ListenerBudget,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        // Connections inherit it. Without it the server works too, and the kernel holds more.
        let _ = sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
        Ok(HttpServer {
            opened_at: Clock::now(),
            listener,
            state: Arc::new(ServerState::new(bounds.limits())?),
            listener_budget,
            bounds,
            is_closed: Arc::default(),
            open_count: Arc::default(),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> Address {
        let address = self.listener.local_addr();
        Address(address.expect("a bound listener has an address"))
    }

    /// Returns a handle that drains and closes the server.
    pub fn closer(&self) -> HttpServerCloser {
        HttpServerCloser {
            is_closed: self.is_closed.clone(),
            state: self.state.clone(),
            address: self.address(),
        }
    }

    /// Returns a handle that changes the server's limits.
    pub fn limiter(&self) -> HttpServerLimiter {
        HttpServerLimiter(self.state.clone())
    }

    /// Returns the number of open connections, kept up to date.
    pub fn open_count(&self) -> Arc<AtomicUsize> {
        self.open_count.clone()
    }

    /// Serves requests, each connection on a thread of its own, until [`HttpServerCloser::close`].
    ///
    /// `handler` is called on the connection's thread and may block; one that panics ends its connection.
    /// A connection for which there is no place in the budget, and for which no other one can give way, is closed unread.
    pub fn serve<H>(self, handler: H)
    where
        H: Fn(Request) -> Response + Send + Sync + Clone + 'static,
    {
        let mut arrivals = ArrivalTracker::new(self.bounds.arrival_check_period, self.opened_at);
        loop {
            let is_tracked = self.bounds.arrival_check_period.is_some();
            if is_tracked && !self.is_closed.load(Ordering::SeqCst) {
                arrivals.wait(NEVER, |deadline| {
                    wait_for_connection(&self.listener, deadline)
                });
            }
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                // Closing: all connections that had come were accepted.
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                }
            };
            if self.is_closed.load(Ordering::SeqCst) && self.listener.set_nonblocking(true).is_err()
            {
                return;
            }
            self.spawn_connection(stream, arrivals, handler.clone());
        }
    }

    fn spawn_connection<H>(&self, stream: TcpStream, arrivals: ArrivalTracker, handler: H)
    where
        H: Fn(Request) -> Response + Send + Clone + 'static,
    {
        let Some(slot) = self.listener_budget.admit() else {
            return;
        };
        let counted = CountedConnection::new(&self.open_count);
        let (bounds, state) = (self.bounds, self.state.clone());
        let builder = std::thread::Builder::new()
            .name("http-connection".into())
            .stack_size(bounds.stack_bytes);
        let spawned = builder.spawn(move || {
            let _counted = counted;
            serve_connection(stream, slot, arrivals, bounds, &state, handler);
        });
        if let Err(error) = spawned {
            tracing::warn!(%error, "no thread for a connection");
        }
    }
}

/// Drains and closes a server.
#[derive(Debug, Clone)]
pub struct HttpServerCloser {
    is_closed: Arc<AtomicBool>,
    state: Arc<ServerState>,
    address: Address,
}

impl HttpServerCloser {
    /// Begins to drain the server: from now on every response says `Connection: close`, and idle
    /// connections are closed shortly after, so that requests in flight are still served. New connections
    /// are served too.
    pub fn drain(&self) {
        self.state.drain();
    }

    /// Stops listening; connections that are open go on.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that waits for the next connection.
        let _ = TcpStream::connect_timeout(&self.address.0, CLOSE_CONNECT_TIMEOUT);
    }
}

/// Changes a server's limits while it serves.
#[derive(Debug, Clone)]
pub struct HttpServerLimiter(Arc<ServerState>);

impl HttpServerLimiter {
    /// Puts limits into force, for open connections too: for the request that is being read on one, and,
    /// counted from now, for the time that it may stay idle.
    pub fn set(&self, limits: HttpServerLimits) {
        self.0.set_limits(limits);
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> HttpServerLimits {
        self.0.settings().limits
    }
}

/// Counts one open connection until it's dropped, however its thread ends, be it by a panic of the handler.
struct CountedConnection(Arc<AtomicUsize>);

impl CountedConnection {
    fn new(open_count: &Arc<AtomicUsize>) -> Self {
        open_count.fetch_add(1, Ordering::Relaxed);
        CountedConnection(open_count.clone())
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
