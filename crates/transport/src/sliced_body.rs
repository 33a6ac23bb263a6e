//! A complete body that the HTTP library gets slice by slice, so that it copies no more than it can write soon.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes of a slice.
pub(crate) const MAX_SLICE_BYTES: usize = 64 << 10;

/// What is left of a body to be given to the library.
#[derive(Debug, Clone, Default)]
pub(crate) struct SlicedBody {
    rest: Bytes,
}

impl SlicedBody {
    pub(crate) fn new(rest: Bytes) -> Self {
        SlicedBody { rest }
    }

    /// Takes the next slice; `None` behind the last one.
    pub(crate) fn next_slice(&mut self) -> Option<Bytes> {
        let length = self.rest.len().min(MAX_SLICE_BYTES);
        (length > 0).then(|| self.rest.split_to(length))
    }

    /// All that is left.
    pub(crate) fn into_rest(self) -> Bytes {
        self.rest
    }

    pub(crate) fn length(&self) -> usize {
        self.rest.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }
}

impl Body for SlicedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next_slice().map(|slice| Ok(Frame::data(slice))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
