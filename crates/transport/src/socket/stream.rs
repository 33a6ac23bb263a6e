//! A socket as the HTTP library's byte stream, and the library's waker.

use super::Socket;
use ::resource_budget::Phase;
use hyper::rt::ReadBufCursor;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, recv, send};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Wake};
use std::time::Duration;

/// Bytes read by one system call at most.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// A socket as hyper reads and writes it. Reads never wait: whoever drives the stream waits in between.
pub(crate) struct SocketStream {
    pub socket: Arc<Socket>,
    /// How long a write waits by itself for space in the send buffer; with `None`, whoever drives the
    /// stream waits.
    pub write_timeout: Option<Duration>,
}

impl SocketStream {
    /// A client that doesn't read for this long is disconnected.
    pub(crate) const CLIENT_WRITE_TIMEOUT: Duration = Duration::from_secs(10);

    /// What to do when the send buffer is full: nothing to report if space has come meanwhile.
    fn wait_for_space(&self) -> Poll<io::Result<()>> {
        let Some(write_timeout) = self.write_timeout else {
            self.socket.wants_write.store(true, Ordering::Relaxed);
            return Poll::Pending;
        };
        let mut polled = [PollFd::new(&self.socket.stream, PollFlags::OUT)];
        let timeout = Timespec::try_from(write_timeout).ok();
        self.socket.enter(Phase::Stalled);
        let polled_count = poll(&mut polled, timeout.as_ref());
        self.socket.enter(Phase::Serving);
        if polled_count == Ok(0) || self.socket.is_evicted() {
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl hyper::rt::Read for SocketStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.get_mut().socket;
        if !socket.may_read.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        let mut buffer = [MaybeUninit::<u8>::uninit(); READ_BUFFER_BYTES];
        let capacity = cursor.remaining().min(buffer.len());
        loop {
            match recv(&socket.stream, &mut buffer[..capacity], RecvFlags::DONTWAIT) {
                Ok(((bytes, _), _)) => {
                    // An end stays readable; fewer bytes than fit were all there were.
                    if !bytes.is_empty() && bytes.len() < capacity {
                        socket.may_read.store(false, Ordering::Relaxed);
                    }
                    cursor.put_slice(bytes);
                    return Poll::Ready(Ok(()));
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => {
                    socket.may_read.store(false, Ordering::Relaxed);
                    return Poll::Pending;
                }
                Err(error) => return Poll::Ready(Err(error.into())),
            }
        }
    }
}

impl hyper::rt::Write for SocketStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let socket = &stream.socket;
        if socket.wants_write.load(Ordering::Relaxed) || !socket.may_write() {
            return Poll::Pending;
        }
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        loop {
            match send(&socket.stream, bytes, flags) {
                Ok(count) => {
                    socket.sent_count.fetch_add(count as u64, Ordering::Relaxed);
                    socket.set_write_deadline(None);
                    return Poll::Ready(Ok(count));
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => match stream.wait_for_space() {
                    Poll::Ready(Ok(())) => {}
                    Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                    Poll::Pending => return Poll::Pending,
                },
                Err(error) => return Poll::Ready(Err(error.into())),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.get_mut().socket.stream.shutdown(Shutdown::Write))
    }
}

/// A waker that records that a future is to be polled again at once, without waiting for its socket.
#[derive(Default)]
pub(crate) struct WakeFlag(AtomicBool);

impl WakeFlag {
    /// Whether the waker was called since last asked.
    pub(crate) fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

impl Wake for WakeFlag {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}
