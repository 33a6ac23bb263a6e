//! What a pool and a single request on it are bounded by.

use crate::socket::ClientConnection;
use types::{Milliseconds, MonotonicInstant};

/// How many connections a pool opens and keeps.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionPoolBounds {
    /// Connections that may be open to one address at once, in use or idle; 0 for no bound. Beyond it a
    /// request fails with [`ConnectionError::PoolExhausted`](super::ConnectionError::PoolExhausted).
    pub max_per_address: usize,
    /// Idle connections kept for reuse to one address; beyond it the oldest one is closed.
    pub max_idle_per_address: usize,
    /// How long an idle connection is kept if its server names no time of its own in `Keep-Alive`.
    pub idle_timeout: Milliseconds,
}

/// How long the answer of [`SendOptions::may_send`] is valid: the first byte of a request is written at
/// most this much later, by the clock as it's read right before that write; else the check is repeated.
pub const SEND_CHECK_VALIDITY: Milliseconds = Milliseconds(5);

/// How long a request may take until its response begins, and whether it may still be sent.
pub struct SendOptions<'a> {
    /// How long connecting may take; it ends at `head_deadline` at the latest.
    pub connect_timeout: Milliseconds,
    /// When the response's head must have come.
    pub head_deadline: MonotonicInstant,
    /// Whether the request may be sent: called before connecting, and again at most
    /// [`SEND_CHECK_VALIDITY`] before the first byte is written.
    pub may_send: &'a dyn Fn() -> bool,
    /// The client on whose behalf the request is sent; the wait for the head ends when it disconnects.
    pub client: Option<&'a ClientConnection>,
}
