//! A response on a pooled connection: reading its body, and returning the connection for reuse.

use super::connection::PooledConnection;
use super::error::describe;
use super::{ConnectionError, ConnectionPool, IdleConnection};
use crate::socket::{ClientConnection, Readiness};
use bytes::{Bytes, BytesMut};
use hyper::body::{Body, Incoming};
use std::pin::Pin;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use types::{Clock, Milliseconds, MonotonicInstant};

/// What a wait for the next bytes of a body came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BodyRead {
    /// The next bytes of the body; never empty.
    Data(Bytes),
    /// No bytes came within the time-out; the body may go on.
    TimedOut,
    /// The body is complete.
    End,
    /// The body broke off before its end, with the reason.
    Truncated(String),
    /// The client on whose behalf the body is read disconnected.
    ClientDisconnected,
}

/// By what the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// The kind of response has no body.
    NoBody,
    /// A length.
    Length,
    /// Chunks.
    Chunks,
    /// The close of the connection.
    Close,
    /// Two ways at once, or a further transfer coding.
    Ambiguous,
}

impl BodyFraming {
    /// The framing that a response head announces.
    fn of(head: &http::response::Parts, is_head_request: bool) -> BodyFraming {
        if is_head_request || matches!(head.status.as_u16(), 204 | 304) {
            return BodyFraming::NoBody;
        }
        let has_length = head.headers.contains_key(http::header::CONTENT_LENGTH);
        let mut codings = head.headers.get_all(http::header::TRANSFER_ENCODING).iter();
        match (codings.next(), codings.next()) {
            (None, _) if has_length => BodyFraming::Length,
            (None, _) => BodyFraming::Close,
            (Some(coding), None)
                if coding.as_bytes().eq_ignore_ascii_case(b"chunked") && !has_length =>
            {
                BodyFraming::Chunks
            }
            (Some(_), _) => BodyFraming::Ambiguous,
        }
    }

    /// Whether the head says, in one way alone, where the body ends.
    fn is_delimited(self) -> bool {
        match self {
            BodyFraming::NoBody | BodyFraming::Length | BodyFraming::Chunks => true,
            BodyFraming::Close | BodyFraming::Ambiguous => false,
        }
    }
}

/// Bytes of a body that each request holds anyway.
const FREE_BODY_BYTES: usize = 32 << 10;
/// Memory for a longer body is held in steps of so many bytes.
const BODY_STEP_BYTES: usize = 64 << 10;

/// How far a body has been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    Open,
    Complete,
    Truncated,
}

/// One response on its connection: the head, and the body to be read. Dropping it closes the connection,
/// since bytes that were not read would be taken for the next response;
/// [`release`](Self::release) returns the connection to its pool instead.
pub struct PooledResponse {
    head: http::response::Parts,
    body: Incoming,
    connection: Box<PooledConnection>,
    is_reused: bool,
    /// Whether the head came while a part of the request waited to be written.
    is_early: bool,
    framing: BodyFraming,
    state: BodyState,
}

impl PooledResponse {
    pub(super) fn new(
        response: http::Response<Incoming>,
        connection: Box<PooledConnection>,
        is_reused: bool,
        is_head_request: bool,
    ) -> Self {
        let (head, body) = response.into_parts();
        PooledResponse {
            is_early: connection.socket.wants_write.load(Ordering::Relaxed),
            framing: BodyFraming::of(&head, is_head_request),
            head,
            body,
            connection,
            is_reused,
            state: BodyState::Open,
        }
    }

    /// Returns status and headers.
    pub fn head(&self) -> &http::response::Parts {
        &self.head
    }

    /// Returns whether the connection had served a request before this one.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Returns by what the end of the body is told.
    pub fn framing(&self) -> BodyFraming {
        self.framing
    }

    /// Returns whether no other request was ever written on the connection, and this one completely before
    /// the head came: then the response can't belong to another request.
    pub fn is_sole_response(&self) -> bool {
        !self.is_reused && !self.is_early
    }

    /// Waits for the next bytes of the body for at most `timeout`; ends early when `client` disconnects.
    pub fn read_chunk(&mut self, timeout: Duration, client: Option<&ClientConnection>) -> BodyRead {
        let timeout = Milliseconds(u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX / 2));
        self.read_chunk_until(Clock::now() + timeout, client)
    }

    fn read_chunk_until(
        &mut self,
        deadline: MonotonicInstant,
        client: Option<&ClientConnection>,
    ) -> BodyRead {
        match self.state {
            BodyState::Complete => return BodyRead::End,
            BodyState::Truncated => {
                return BodyRead::Truncated("the body broke off before".into());
            }
            BodyState::Open => {}
        }
        loop {
            let body = &mut self.body;
            let outcome = self.connection.wait(deadline, client, None, |context| {
                Pin::new(&mut *body).poll_frame(context)
            });
            match outcome {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return BodyRead::Data(data),
                    // An empty frame, or trailers, which no response of ours uses.
                    Ok(_) | Err(_) => {}
                },
                Ok(Some(Err(error))) => return self.truncate(describe(&error)),
                Ok(None) => return self.finish(),
                Err(Readiness::TimedOut) => return BodyRead::TimedOut,
                Err(Readiness::ClientDisconnected) => return BodyRead::ClientDisconnected,
                Err(Readiness::Ready | Readiness::Notified) => {
                    return BodyRead::Truncated("the connection ended".into());
                }
            }
        }
    }

    /// The library has come to the end of the body.
    fn finish(&mut self) -> BodyRead {
        let is_delimited = self.framing.is_delimited();
        if !self.connection.safety().is_complete_end(is_delimited) {
            return self.truncate("an end that only a close tells is no sure end".into());
        }
        self.state = BodyState::Complete;
        BodyRead::End
    }

    fn truncate(&mut self, reason: String) -> BodyRead {
        self.state = BodyState::Truncated;
        BodyRead::Truncated(reason)
    }

    /// Reads the rest of the body, at most `max_bytes`. What is more than 32 KiB of it is held in the budget of
    /// the client's connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::OutcomeUnknown`] if the body breaks off, is longer than `max_bytes` or there is no room for it,
    /// [`ConnectionError::TimedOut`] if it has not ended by the deadline, and
    /// [`ConnectionError::ClientDisconnected`] if `client` disconnects.
    pub fn read_all(
        &mut self,
        deadline: MonotonicInstant,
        max_bytes: usize,
        client: Option<&ClientConnection>,
    ) -> Result<Bytes, ConnectionError> {
        // Most bodies come in one piece, which is passed on without a copy.
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        let mut reserved = FREE_BODY_BYTES;
        loop {
            match self.read_chunk_until(deadline, client) {
                BodyRead::Data(data) if first.len() + rest.len() + data.len() > max_bytes => {
                    let reason = format!("the body is over {max_bytes} bytes");
                    return Err(ConnectionError::OutcomeUnknown(reason));
                }
                BodyRead::Data(data) => {
                    reserve_body(&mut reserved, first.len() + rest.len() + data.len(), client)?;
                    if first.is_empty() {
                        first = data;
                    } else {
                        rest.extend_from_slice(&data);
                    }
                }
                BodyRead::End => return Ok(concatenate(first, &rest)),
                BodyRead::TimedOut => {
                    let reason = "the body has not ended by its deadline".into();
                    return Err(ConnectionError::TimedOut(reason));
                }
                BodyRead::Truncated(reason) => {
                    return Err(ConnectionError::OutcomeUnknown(reason));
                }
                BodyRead::ClientDisconnected => return Err(ConnectionError::ClientDisconnected),
            }
        }
    }

    /// Returns the connection to the pool. It's closed instead unless request and body are complete, both
    /// sides keep the connection open and no further byte has come on it.
    pub fn release(mut self) {
        if self.state == BodyState::Truncated || !self.framing.is_delimited() || !self.is_reusable()
        {
            return;
        }
        let pool = ConnectionPool {
            shared: self.connection.permit.pool.clone(),
        };
        let timeout =
            keep_alive_timeout(&self.head.headers).unwrap_or(pool.shared.bounds.idle_timeout);
        if timeout.0 > 0 {
            let idle = IdleConnection {
                connection: self.connection,
                deadline: Clock::now() + timeout,
            };
            pool.put_idle(idle.connection.permit.address, idle);
        }
    }

    /// Whether request and response are complete and the connection waits for another request.
    fn is_reusable(&mut self) -> bool {
        let is_body_complete = self.state == BodyState::Complete || self.is_at_end();
        let connection = &mut self.connection;
        connection.drive();
        while connection.wake_flag.take() {
            connection.drive();
        }
        // The library counts a request as written once it holds all of it; some may still wait for space.
        let has_pending_bytes = connection.socket.wants_write.load(Ordering::Relaxed);
        is_body_complete
            && connection.safety().is_completely_written(has_pending_bytes)
            && !connection.is_finished
            && connection.sender.is_ready()
    }

    /// Whether a body without further bytes has ended: its reader may have stopped before the end was read.
    fn is_at_end(&mut self) -> bool {
        self.connection.drive();
        let mut context = Context::from_waker(Waker::noop());
        let polled = Pin::new(&mut self.body).poll_frame(&mut context);
        matches!(polled, Poll::Ready(None))
    }
}

/// Holds what a body that is collected takes, twice: the buffer grows by doubling.
fn reserve_body(
    reserved: &mut usize,
    length: usize,
    client: Option<&ClientConnection>,
) -> Result<(), ConnectionError> {
    let Some(client) = client else {
        return Ok(());
    };
    while *reserved < 2 * length {
        client
            .reserve(BODY_STEP_BYTES as u64)
            .map_err(|no_room| ConnectionError::OutcomeUnknown(no_room.to_string()))?;
        *reserved += BODY_STEP_BYTES;
    }
    Ok(())
}

fn concatenate(first: Bytes, rest: &[u8]) -> Bytes {
    if rest.is_empty() {
        return first;
    }
    let mut body = BytesMut::with_capacity(first.len() + rest.len());
    body.extend_from_slice(&first);
    body.extend_from_slice(rest);
    body.freeze()
}

/// How long a server keeps the connection by its `Keep-Alive: timeout=N`, in seconds, less a margin for the
/// time on the network.
fn keep_alive_timeout(headers: &http::HeaderMap) -> Option<Milliseconds> {
    let values = headers
        .get_all("keep-alive")
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut parameters = values
        .flat_map(|value| value.split(','))
        .filter_map(|parameter| parameter.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    match seconds.trim().trim_matches('"').parse::<u32>().ok()? {
        0 => Some(Milliseconds(0)),
        1 => Some(Milliseconds(500)),
        seconds => Some(Milliseconds::seconds(u64::from(seconds) - 1)),
    }
}
