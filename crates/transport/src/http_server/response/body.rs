//! The body of a response, as its source gives it and as the HTTP library polls it.

use crate::sliced_body::SlicedBody;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// What a source gives when it is asked for the next chunk of a body.
pub enum BodyChunk {
    /// Bytes to send now.
    Data(Bytes),
    /// No bytes yet; the server checks whether the client is still connected, then asks again.
    Pending,
    /// The body is complete.
    End,
    /// The body can't be completed: the connection is reset, without a proper end of the response.
    Abort,
}

/// Where a streamed body comes from. It's dropped early when the client has disconnected.
pub trait BodySource: Send {
    /// Waits for the next chunk for at most `timeout`.
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk;

    /// Returns how long one call of [`next_chunk`](Self::next_chunk) may wait; 100 ms by default. A source
    /// that watches the client by itself may wait longer: else the server checks between two calls.
    fn chunk_timeout(&self) -> Duration {
        Duration::from_millis(100)
    }
}

/// A response's body for the HTTP library.
pub(in crate::http_server) enum ResponseBody {
    /// All bytes that are still to be given.
    Complete(SlicedBody),
    Stream(StreamedBody),
}

pub(in crate::http_server) struct StreamedBody {
    source: Box<dyn BodySource>,
    /// What is left of the chunk that the source gave last.
    current: SlicedBody,
    /// Whether a slice was given that the library has yet to write.
    has_unflushed: bool,
    /// Bytes still to come of an announced length.
    remaining: Option<u64>,
}

impl ResponseBody {
    pub(crate) fn complete(bytes: Bytes) -> Self {
        ResponseBody::Complete(SlicedBody::new(bytes))
    }

    pub(crate) fn stream(source: Box<dyn BodySource>) -> Self {
        ResponseBody::Stream(StreamedBody {
            source,
            current: SlicedBody::default(),
            has_unflushed: false,
            remaining: None,
        })
    }

    /// The bytes of a complete body; none of a stream.
    pub(crate) fn into_complete(self) -> Bytes {
        match self {
            ResponseBody::Complete(body) => body.into_rest(),
            ResponseBody::Stream(_) => Bytes::new(),
        }
    }
}

impl StreamedBody {
    pub(crate) fn announce_length(&mut self, length: Option<u64>) {
        self.remaining = length;
    }

    /// Gives a slice of a chunk, then is pending once, so that the library writes it and checks the connection before
    /// the next one is waited for.
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if std::mem::take(&mut self.has_unflushed) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        if let Some(slice) = self.current.next_slice() {
            self.has_unflushed = true;
            return Poll::Ready(Some(Ok(Frame::data(slice))));
        }
        match self.source.next_chunk(self.source.chunk_timeout()) {
            BodyChunk::Data(bytes) => Poll::Ready(Some(self.take_chunk(bytes))),
            BodyChunk::Pending => {
                context.waker().wake_by_ref();
                Poll::Pending
            }
            BodyChunk::End => Poll::Ready(None),
            BodyChunk::Abort => Poll::Ready(Some(Err(io::Error::other("the stream broke")))),
        }
    }

    fn take_chunk(&mut self, bytes: Bytes) -> io::Result<Frame<Bytes>> {
        if let Some(remaining) = &mut self.remaining {
            // Bytes beyond the announced length are no part of this response, and of no other.
            *remaining = remaining
                .checked_sub(bytes.len() as u64)
                .ok_or_else(|| io::Error::other("more bytes than were told"))?;
        }
        self.has_unflushed = true;
        self.current = SlicedBody::new(bytes);
        Ok(Frame::data(self.current.next_slice().unwrap_or_default()))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            ResponseBody::Complete(body) => {
                Poll::Ready(body.next_slice().map(|slice| Ok(Frame::data(slice))))
            }
            ResponseBody::Stream(stream) => stream.poll_chunk(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Complete(body) if body.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            ResponseBody::Stream(_) => SizeHint::default(),
        }
    }
}
