//! The ways in which a server ends a connection.

use super::framing::{RequestError, RequestProgress};
use super::request_reader::Exchange;
use super::response::Response;
use crate::resource_budget::NoRoom;
use crate::socket::{Peeked, Socket};
use ::resource_budget::Phase;
use rustix::net::sockopt;
use std::io::{Read, Write};
use std::net::Shutdown;
use std::time::Duration;
use types::{Clock, Milliseconds, ResultCode};

/// The response to a rejected request is written within this.
const REJECTION_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// For so long, and so many bytes, what a client still sends is read and dropped once this side has ended.
const CLOSE_LINGER: Milliseconds = Milliseconds::seconds(1);
/// The same where others wait for the connection's place.
const EVICTION_LINGER: Milliseconds = Milliseconds(100);
const CLOSE_MAX_DRAINED_BYTES: usize = 16 << 20;
/// Bytes drained by one read.
const DRAIN_BUFFER_BYTES: usize = 4 << 10;
/// The status of a request whose head is over the bound.
const HEADER_FIELDS_TOO_LARGE: u16 = 431;

/// Why a connection ends.
#[derive(Debug)]
pub(super) enum Ending {
    /// The HTTP library is done with the connection.
    Finished(Result<(), hyper::Error>),
    /// The client has disconnected while its response was waited for.
    ClientDisconnected,
    /// Nothing more is to be served, but what was written is still to reach the client.
    Graceful,
    /// A request can't be served.
    Rejected(RequestError),
    /// The rest of a request, of which this much came, did not come in time.
    RequestTimedOut(RequestProgress),
    /// The connection gives way to others. So much of a request had come.
    Evicted(RequestProgress),
}

impl Ending {
    /// Does what is left to be done before the connection is closed.
    pub(super) fn close(self, socket: &Socket, exchange: &Exchange) {
        exchange.framer.borrow_mut().clear();
        socket.enter(Phase::Closing);
        socket.release_content();
        match self {
            Ending::Finished(Ok(())) => {
                // A client that has ended its side sends nothing more: the connection can close at once.
                if socket.peek() != Peeked::Disconnected {
                    close_gracefully(socket, CLOSE_LINGER);
                }
            }
            Ending::Finished(Err(error)) => abort(socket, exchange, &error),
            Ending::ClientDisconnected | Ending::Evicted(RequestProgress::Idle) => {}
            Ending::Graceful => close_gracefully(socket, CLOSE_LINGER),
            Ending::Rejected(error) => respond_and_close(socket, rejection(error), CLOSE_LINGER),
            Ending::RequestTimedOut(progress) => {
                respond_and_close(socket, request_timeout(progress), CLOSE_LINGER);
            }
            Ending::Evicted(_) => {
                respond_and_close(socket, refusal(NoRoom::Evicted), EVICTION_LINGER);
            }
        }
    }
}

fn abort(socket: &Socket, exchange: &Exchange, error: &hyper::Error) {
    tracing::debug!(%error, "connection ended early");
    // Where only the close marks the end of a body, an ordinary close must not look like that end.
    if exchange.is_responding.get() && exchange.is_close_delimited.get() {
        let _ = sockopt::set_socket_linger(&socket.stream, Some(Duration::ZERO));
    }
}

fn rejection(error: RequestError) -> Response {
    match error {
        RequestError::Malformed(reason) => {
            Response::result(ResultCode::BadRequest, reason.to_string())
        }
        RequestError::HeadTooLarge => {
            Response::result(ResultCode::TooLarge, "the head is over the bound")
                .with_status(HEADER_FIELDS_TOO_LARGE)
        }
        RequestError::BodyTooLarge => {
            Response::result(ResultCode::TooLarge, "the body is over the bound")
        }
        RequestError::NoRoom(no_room) => refusal(no_room),
    }
}

/// The response to a request that the process has no room for: nothing of it was handed on.
pub(super) fn refusal(no_room: NoRoom) -> Response {
    let code = match no_room {
        NoRoom::Busy | NoRoom::Evicted => ResultCode::Busy,
        NoRoom::TooLarge => ResultCode::TooLarge,
    };
    Response::result(code, no_room.to_string())
}

fn request_timeout(progress: RequestProgress) -> Response {
    let missing = if progress == RequestProgress::Head {
        "the head"
    } else {
        "the body"
    };
    let reason = format!("{missing} did not come in time");
    Response::result(ResultCode::SlowBody, reason)
}

/// Writes the last response. Nothing of another one is on the wire: the request was not handed on, and the
/// response before it has ended.
fn respond_and_close(socket: &Socket, response: Response, linger: Milliseconds) {
    let _ = socket
        .stream
        .set_write_timeout(Some(REJECTION_WRITE_TIMEOUT));
    let bytes = response.into_last_bytes();
    if (&socket.stream).write_all(&bytes).is_ok() {
        close_gracefully(socket, linger);
    }
}

/// Ends the connection such that the client can read all that was written, whatever it still sends meanwhile:
/// a close with unread bytes, or bytes that come after a close, reset the connection.
fn close_gracefully(socket: &Socket, linger: Milliseconds) {
    let deadline = Clock::now() + linger;
    if socket.stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
    let mut drained_bytes = 0;
    while drained_bytes < CLOSE_MAX_DRAINED_BYTES {
        let left = Clock::now().until(deadline);
        if left.0 == 0 {
            return;
        }
        let timeout = Some(left.duration());
        if socket.stream.set_read_timeout(timeout).is_err() {
            return;
        }
        match (&socket.stream).read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => drained_bytes += count,
        }
    }
}
