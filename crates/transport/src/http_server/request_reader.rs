//! A connection as the HTTP library reads it: one request at a time, each checked to its end first.

use super::framing::{RequestError, RequestFramer, RequestLimits, RequestProgress};
use crate::resource_budget::NoRoom;
use crate::socket::{Socket, SocketStream};
use ::resource_budget::Phase;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use types::MonotonicInstant;

/// What a connection's reader, its service and its event loop share about the current request.
pub(super) struct Exchange {
    pub framer: RefCell<RequestFramer>,
    /// The limits that the connection obeys.
    pub limits: Cell<RequestLimits>,
    /// Whether the library has handed the current request on.
    pub is_dispatched: Cell<bool>,
    /// Whether a response to it has begun.
    pub is_responding: Cell<bool>,
    /// Whether only the close marks the end of the response's body.
    pub is_close_delimited: Cell<bool>,
    /// The bytes read last arrived after this instant.
    pub arrived_after: Cell<MonotonicInstant>,
}

impl Exchange {
    pub(super) fn new(limits: RequestLimits, arrived_after: MonotonicInstant) -> Self {
        Exchange {
            framer: RefCell::new(RequestFramer::new()),
            limits: Cell::new(limits),
            is_dispatched: Cell::new(false),
            is_responding: Cell::new(false),
            is_close_delimited: Cell::new(false),
            arrived_after: Cell::new(arrived_after),
        }
    }

    pub(super) fn progress(&self) -> RequestProgress {
        self.framer.borrow().progress()
    }

    /// Lets the next request be read, once the response to the current one was written.
    pub(super) fn next_request(&self) {
        self.framer.borrow_mut().next_request(&self.limits.get());
        self.is_dispatched.set(false);
    }
}

/// Reads from the socket into the framer, and gives the library what the framer releases.
pub(super) struct RequestReader {
    pub stream: SocketStream,
    pub exchange: Rc<Exchange>,
}

/// Bytes that are held for each request: its head, a small body, and what may wait unread behind it.
const REQUEST_BYTES: u64 = 96 << 10;
/// Bytes of a head for which nothing more is held.
const INCLUDED_HEAD_BYTES: usize = 16 << 10;
/// A head is held as it came, as the library reads it, and as the headers of the request.
const HEAD_COPIES: usize = 3;
/// Bytes read from the socket at once.
const READ_BUFFER_BYTES: usize = 8 << 10;

impl Read for RequestReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let RequestReader { stream, exchange } = self.get_mut();
        loop {
            let mut framer = exchange.framer.borrow_mut();
            if framer.has_releasable() {
                cursor.put_slice(framer.release(cursor.remaining()));
                return Poll::Ready(Ok(()));
            }
            // What follows waits for the response; behind a rejected request nothing is read at all.
            if matches!(
                framer.progress(),
                RequestProgress::Complete | RequestProgress::Rejected(_)
            ) {
                return Poll::Pending;
            }
            if let Err(no_room) = hold_head(&framer, &stream.socket) {
                framer.reject(RequestError::NoRoom(no_room));
                return Poll::Pending;
            }
            let mut bytes = [MaybeUninit::<u8>::uninit(); READ_BUFFER_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut *stream).poll_read(context, buffer.unfilled()))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            let is_first = framer.progress() == RequestProgress::Idle;
            framer.push(buffer.filled(), &exchange.limits.get());
            if is_first && let Err(no_room) = begin_request(&stream.socket) {
                framer.reject(RequestError::NoRoom(no_room));
                return Poll::Pending;
            }
        }
    }
}

/// The first bytes of a request have come: what each request costs is held for it.
pub(super) fn begin_request(socket: &Socket) -> Result<(), NoRoom> {
    socket.enter(Phase::Reading);
    socket.reserve(REQUEST_BYTES)
}

/// Holds what a head takes beyond what each request holds, before more of it is read.
fn hold_head(framer: &RequestFramer, socket: &Socket) -> Result<(), NoRoom> {
    if framer.progress() != RequestProgress::Head || framer.buffered_bytes() < INCLUDED_HEAD_BYTES {
        return Ok(());
    }
    socket.reserve((READ_BUFFER_BYTES * HEAD_COPIES) as u64)
}

impl Write for RequestReader {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(context)
    }
}
