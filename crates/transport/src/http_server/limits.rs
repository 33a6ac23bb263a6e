//! What a server accepts at most.

use super::framing::RequestLimits;
use types::Milliseconds;

/// What a server accepts at most. The part that [`HttpServerLimits`] repeats may be changed while it serves.
#[derive(Debug, Clone, Copy)]
pub struct HttpServerBounds {
    /// Connections open at once, each with a thread, of a server without a budget: for one more, the one that is idle
    /// for longest is closed, or, if none is, the new one unread. Default 512.
    pub connections: usize,
    /// Bytes of a request's body; a longer one gets status 413. Default 4 MiB.
    pub body_bytes: usize,
    /// How long a request's head may take from its first byte (without `keep_alive` from the connection's
    /// beginning), and again the body after it; beyond it the request gets status 408. Default 10 s.
    pub read_timeout: Milliseconds,
    /// Whether a connection serves one request after the other. Default `false`.
    pub keep_alive: bool,
    /// With `keep_alive`, how long a connection may stay without a request before it's closed. Default 15 s.
    pub idle_timeout: Milliseconds,
    /// Bytes of a request's head; a longer one gets status 431. Default 64 KiB; values over 384 KiB act as
    /// 384 KiB.
    pub header_bytes: usize,
    /// Bytes of the stack of each connection's thread, which also runs the handler. Default 512 KiB.
    pub stack_bytes: usize,
    /// How often the listener and each connection that waits for a request are checked for being empty. It bounds
    /// how far [`Request::arrived_after`](super::Request::arrived_after) lies before the arrival in a process that
    /// runs. `None`, the default, doesn't check.
    pub arrival_check_period: Option<Milliseconds>,
}

impl Default for HttpServerBounds {
    fn default() -> Self {
        HttpServerBounds {
            connections: 512,
            body_bytes: 4 << 20,
            read_timeout: Milliseconds::seconds(10),
            keep_alive: false,
            idle_timeout: Milliseconds::seconds(15),
            header_bytes: 64 << 10,
            stack_bytes: 512 << 10,
            arrival_check_period: None,
        }
    }
}

impl HttpServerBounds {
    /// Returns the limits that hold until others are set.
    pub fn limits(&self) -> HttpServerLimits {
        HttpServerLimits {
            request: RequestLimits {
                header_bytes: self.header_bytes,
                body_bytes: self.body_bytes,
            },
            head_timeout: self.read_timeout,
            idle_timeout: self.idle_timeout,
        }
    }
}

/// Limits of a server that may change while it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpServerLimits {
    /// Bounds on the size of each request.
    pub request: RequestLimits,
    /// How long a request's head may take, from its first byte.
    pub head_timeout: Milliseconds,
    /// How long a connection may stay without a request.
    pub idle_timeout: Milliseconds,
}
