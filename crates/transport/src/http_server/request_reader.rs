//! A connection as hyper reads it: one request at a time, each followed to its end first.

use super::framing::{RequestFramer, RequestLimits, RequestProgress};
use crate::socket::Duct;
use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// What a connection's intake and its loop share.
pub(crate) struct Exchange {
    pub framer: RefCell<RequestFramer>,
    /// The limits in force.
    pub limits: Cell<RequestLimits>,
    /// Whether the current request was handed on.
    pub is_taken: Cell<bool>,
    /// Whether an answer to it has begun.
    pub is_responding: Cell<bool>,
    /// Whether only the close tells the end of the answer's body.
    pub is_close_delimited: Cell<bool>,
}

impl Exchange {
    pub fn new(limits: RequestLimits) -> Self {
        Exchange {
            framer: RefCell::new(RequestFramer::new()),
            limits: Cell::new(limits),
            is_taken: Cell::new(false),
            is_responding: Cell::new(false),
            is_close_delimited: Cell::new(false),
        }
    }
    pub fn progress(&self) -> RequestProgress {
        self.framer.borrow().progress()
    }
    /// The answer was given: the next request may be read.
    pub fn next_request(&self) {
        self.framer.borrow_mut().next_request(&self.limits.get());
        self.is_taken.set(false);
    }
}

/// Reads from the wire into the framer, and gives hyper what the framer lets out.
pub(crate) struct Intake {
    pub duct: Duct,
    pub exchange: Rc<Exchange>,
}

const READ_BYTES: usize = 8 << 10;

impl Read for Intake {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let Intake { duct, exchange } = self.get_mut();
        loop {
            let mut framer = exchange.framer.borrow_mut();
            if framer.has_ready() {
                cursor.put_slice(framer.release(cursor.remaining()));
                return Poll::Ready(Ok(()));
            }
            // What follows waits for the answer; behind a fault nothing is read at all.
            if matches!(
                framer.progress(),
                RequestProgress::Whole | RequestProgress::Refused(_)
            ) {
                return Poll::Pending;
            }
            let mut bytes = [MaybeUninit::<u8>::uninit(); READ_BYTES];
            let mut buffer = ReadBuf::uninit(&mut bytes);
            ready!(Pin::new(&mut *duct).poll_read(context, buffer.unfilled()))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            framer.push(buffer.filled(), &exchange.limits.get());
        }
    }
}

impl Write for Intake {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().duct).poll_write(context, bytes)
    }
    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().duct).poll_flush(context)
    }
    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().duct).poll_shutdown(context)
    }
}
