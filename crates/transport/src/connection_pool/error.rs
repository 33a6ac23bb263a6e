//! Why a request on a pooled connection failed.

/// Why a request got no head of a response, or why the response's body did not end properly.
///
/// Only after [`NotSent`](Self::NotSent), [`Withheld`](Self::Withheld) and
/// [`PoolExhausted`](Self::PoolExhausted) is it certain that the server can't have run the request.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// No byte of the request was written; the request may be retried elsewhere.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The caller's check no longer allowed the request, and no byte of it was written.
    #[error("withheld at the last moment")]
    Withheld,
    /// As many connections to the address are open as its bound allows.
    #[error("no connection is free")]
    PoolExhausted,
    /// The request was sent and its deadline passed; the server may have run it.
    #[error("late: {0}")]
    TimedOut(String),
    /// The client disconnected while the request was in flight; the server may have run it.
    #[error("the client has gone")]
    ClientDisconnected,
    /// A part of the request was sent and the connection failed; the server may have run it.
    #[error("unknown: {0}")]
    OutcomeUnknown(String),
}

impl ConnectionError {
    pub(super) fn not_sent(error: &dyn std::fmt::Display) -> Self {
        ConnectionError::NotSent(error.to_string())
    }

    /// A new connection on which the server sent or closed before a request.
    pub(super) fn unexpected_bytes() -> Self {
        ConnectionError::NotSent("the server spoke or closed unasked".into())
    }
}

/// An error of the HTTP library with its cause.
pub(super) fn describe(error: &hyper::Error) -> String {
    match std::error::Error::source(error) {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    }
}
