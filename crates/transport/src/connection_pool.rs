//! Kept-alive HTTP connections to servers, shared by all threads of a process.
//!
//! [`ConnectionPool`] opens, bounds and reuses connections, `connection` drives one of them, and
//! `response` reads a response from it and decides whether the connection may be used again.

mod bounds;
mod connection;
mod error;
mod response;
mod safety;

pub use self::bounds::{ConnectionPoolBounds, SEND_CHECK_VALIDITY, SendOptions};
pub use self::error::ConnectionError;
pub use self::response::{BodyFraming, BodyRead, PooledResponse};

use self::connection::{PooledConnection, SendCheck};
use self::safety::{ReuseSafety, SafeReuse};
use crate::socket::Peeked;
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::{Clock, MonotonicInstant};

/// Kept-alive connections to servers, shared by all threads; a clone is another handle on the same pool.
///
/// Invariant: a connection serves one request at a time. It serves another one only if the request before
/// was written completely, its response ended by a length or a last chunk, no byte has come since, and
/// its idle time-out has not passed. Once a byte of a request was written, no failure is reported as
/// [`ConnectionError::NotSent`].
#[derive(Clone)]
pub struct ConnectionPool {
    shared: Arc<SharedPool>,
}

/// What the handles on a pool and its open connections share.
struct SharedPool {
    bounds: ConnectionPoolBounds,
    addresses: Mutex<HashMap<SocketAddr, AddressConnections>>,
    /// Connections that may be open to all addresses together; 0 for no bound.
    max_total: AtomicUsize,
    /// Connections that are open to all addresses together. Changed under the lock of the addresses alone.
    total_open: AtomicUsize,
    safety: Arc<dyn ReuseSafety>,
}

/// The connections to one address.
#[derive(Default)]
struct AddressConnections {
    /// The address's own bound on open connections; 0 for none, `None` for the pool's.
    max_open: Option<usize>,
    open_count: usize,
    /// Oldest first.
    idle: VecDeque<IdleConnection>,
}

struct IdleConnection {
    connection: Box<PooledConnection>,
    /// From then on it isn't used again.
    deadline: MonotonicInstant,
}

impl SharedPool {
    /// The addresses, also after a thread has panicked with the lock: each change of them is complete.
    fn addresses(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressConnections>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// The right to keep one connection to an address open, counted in the pool. Dropping it gives the right
/// back, so that a connection that ends in whatever way no longer counts against its address's bound.
struct OpenPermit {
    pool: Arc<SharedPool>,
    address: SocketAddr,
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        let mut addresses = self.pool.addresses();
        if let Some(connections) = addresses.get_mut(&self.address) {
            connections.open_count -= 1;
            self.pool.total_open.fetch_sub(1, Ordering::Relaxed);
            if connections.open_count == 0 && connections.max_open.is_none() {
                addresses.remove(&self.address);
            }
        }
    }
}

impl ConnectionPool {
    /// An empty pool with these bounds.
    pub fn new(bounds: ConnectionPoolBounds) -> Self {
        Self::with_safety(bounds, Arc::new(SafeReuse))
    }

    /// An empty pool whose reuse is decided by `safety`, which tests replace by a faulty one.
    fn with_safety(bounds: ConnectionPoolBounds, safety: Arc<dyn ReuseSafety>) -> Self {
        ConnectionPool {
            shared: Arc::new(SharedPool {
                bounds,
                addresses: Mutex::default(),
                max_total: AtomicUsize::new(0),
                total_open: AtomicUsize::new(0),
                safety,
            }),
        }
    }

    /// Sets how many connections to an address may be open at once, in use or idle, instead of
    /// [`ConnectionPoolBounds::max_per_address`]; 0 for no bound. Open connections beyond a smaller bound
    /// stay until they are released.
    pub fn set_max_per_address(&self, address: SocketAddr, max_open: usize) {
        self.shared.addresses().entry(address).or_default().max_open = Some(max_open);
    }

    /// Sets how many connections to all addresses may be open at once, in use or idle; 0 for no bound. Where it's
    /// reached, an idle connection to another address is closed for a new one.
    pub fn set_max_total(&self, max_total: usize) {
        self.shared.max_total.store(max_total, Ordering::Relaxed);
    }

    /// Returns how many connections to an address wait for reuse.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        self.shared
            .addresses()
            .get(&address)
            .map_or(0, |connections| connections.idle.len())
    }

    /// Returns how many connections to an address are open, in use or idle.
    pub fn open_count(&self, address: SocketAddr) -> usize {
        self.shared
            .addresses()
            .get(&address)
            .map_or(0, |connections| connections.open_count)
    }

    /// Closes the idle connections to an address and drops the bound set by
    /// [`ConnectionPool::set_max_per_address`], as when its server was removed.
    pub fn close_idle(&self, address: SocketAddr) {
        let idle = {
            let mut addresses = self.shared.addresses();
            let Some(connections) = addresses.get_mut(&address) else {
                return;
            };
            connections.max_open = None;
            let idle = std::mem::take(&mut connections.idle);
            if connections.open_count == 0 {
                addresses.remove(&address);
            }
            idle
        };
        // Each takes the lock as it's dropped.
        drop(idle);
    }

    /// Closes the idle connections whose time-out has passed or that their server has closed, with one
    /// system call each. It's to be called periodically, since nothing else touches an address to which
    /// no requests go any more.
    pub fn close_stale(&self) {
        let now = Clock::now();
        let mut stale = Vec::new();
        for connections in self.shared.addresses().values_mut() {
            for idle in std::mem::take(&mut connections.idle) {
                if idle.deadline > now && idle.connection.socket.peek() == Peeked::Nothing {
                    connections.idle.push_back(idle);
                } else {
                    stale.push(idle);
                }
            }
        }
    }

    /// Sends a request on an idle connection or a new one, and returns as soon as the response's head has
    /// come.
    ///
    /// The target and the headers are sent as they are, except for the body's length, which is set anew; a
    /// `Host` header is to be among them.
    ///
    /// # Errors
    ///
    /// See [`ConnectionError`]. A reused connection that closes before the first byte was written is
    /// replaced by another one until [`SendOptions::head_deadline`].
    pub fn send_request(
        &self,
        address: SocketAddr,
        mut request: http::Request<Bytes>,
        options: &SendOptions<'_>,
    ) -> Result<PooledResponse, ConnectionError> {
        let headers = request.headers_mut();
        headers.remove(http::header::CONTENT_LENGTH);
        headers.remove(http::header::TRANSFER_ENCODING);
        if !(options.may_send)() {
            return Err(ConnectionError::Withheld);
        }
        loop {
            if let Some(outcome) = self.try_send(address, &request, options) {
                return outcome;
            }
        }
    }

    /// Sends a request on one connection; `None` if it was an idle one that turned out to be unusable
    /// before any byte was written, so that the next one is to be tried.
    fn try_send(
        &self,
        address: SocketAddr,
        request: &http::Request<Bytes>,
        options: &SendOptions<'_>,
    ) -> Option<Result<PooledResponse, ConnectionError>> {
        let idle = self.take_idle(address);
        let is_reused = idle.is_some();
        let idle = match idle.map_or_else(|| self.open(address, options), Ok) {
            Ok(idle) => idle,
            Err(error) => return Some(Err(error)),
        };
        match idle.connection.check_before_send(options) {
            SendCheck::Allowed => {}
            SendCheck::Unclean if is_reused => return None,
            SendCheck::Unclean => return Some(Err(ConnectionError::unexpected_bytes())),
            SendCheck::Withheld => {
                if is_reused {
                    self.put_idle(address, idle);
                }
                return Some(Err(ConnectionError::Withheld));
            }
        }
        match idle.connection.send(request.clone(), options, is_reused) {
            // The server closed it between the check and the first byte.
            Err(ConnectionError::NotSent(_))
                if is_reused && Clock::now() < options.head_deadline =>
            {
                None
            }
            outcome => Some(outcome),
        }
    }

    /// Takes the newest idle connection whose time-out has not passed.
    fn take_idle(&self, address: SocketAddr) -> Option<IdleConnection> {
        loop {
            let newest = self.shared.addresses().get_mut(&address)?.idle.pop_back()?;
            if Clock::now() < newest.deadline {
                return Some(newest);
            }
        }
    }

    fn put_idle(&self, address: SocketAddr, idle: IdleConnection) {
        let mut surplus = None;
        let mut addresses = self.shared.addresses();
        // The connection is open itself, so its address is in the table.
        if let Some(connections) = addresses.get_mut(&address) {
            connections.idle.push_back(idle);
            let is_over_own_bound = connections
                .max_open
                .is_some_and(|max_open| max_open > 0 && connections.open_count > max_open);
            // A bound that has become smaller holds for idle connections from now on.
            if connections.idle.len() > self.shared.bounds.max_idle_per_address || is_over_own_bound
            {
                surplus = connections.idle.pop_front();
            }
        }
        drop(addresses);
        // It takes the lock as it's dropped.
        drop(surplus);
    }

    /// Opens a connection if the address's bound allows for one.
    fn open(
        &self,
        address: SocketAddr,
        options: &SendOptions<'_>,
    ) -> Result<IdleConnection, ConnectionError> {
        let permit = self.acquire_permit(address)?;
        Ok(IdleConnection {
            connection: Box::new(PooledConnection::open(permit, options)?),
            deadline: MonotonicInstant(0),
        })
    }

    fn acquire_permit(&self, address: SocketAddr) -> Result<OpenPermit, ConnectionError> {
        self.make_room_in_total()?;
        let mut addresses = self.shared.addresses();
        let connections = addresses.entry(address).or_default();
        let max_open = connections
            .max_open
            .unwrap_or(self.shared.bounds.max_per_address);
        if max_open > 0 && connections.open_count >= max_open {
            return Err(ConnectionError::PoolExhausted);
        }
        connections.open_count += 1;
        self.shared.total_open.fetch_add(1, Ordering::Relaxed);
        Ok(OpenPermit {
            pool: self.shared.clone(),
            address,
        })
    }
}

impl ConnectionPool {
    /// Closes idle connections until one more may be opened, those first that would be closed first anyway.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::PoolExhausted`] if all open connections are in use.
    fn make_room_in_total(&self) -> Result<(), ConnectionError> {
        let max_total = self.shared.max_total.load(Ordering::Relaxed);
        while max_total > 0 && self.shared.total_open.load(Ordering::Relaxed) >= max_total {
            // Dropped once the lock is free.
            let oldest = self.take_oldest_idle();
            if oldest.is_none() {
                return Err(ConnectionError::PoolExhausted);
            }
        }
        Ok(())
    }

    fn take_oldest_idle(&self) -> Option<IdleConnection> {
        let mut addresses = self.shared.addresses();
        let oldest = addresses
            .values_mut()
            .filter(|connections| !connections.idle.is_empty())
            .min_by_key(|connections| connections.idle.front().map(|idle| idle.deadline))?;
        oldest.idle.pop_front()
    }
}

#[cfg(test)]
mod tests;
