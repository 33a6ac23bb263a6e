//! TCP sockets as the HTTP server and the connection pool use them: without blocking, with one poll(2) for
//! all that a thread waits for.

mod readiness;
mod stream;

pub(crate) use self::readiness::{Readiness, wait_for_connection, wait_for_readiness};
pub(crate) use self::stream::{SocketStream, WakeFlag};

use crate::resource_budget::{ConnectionSlot, Interrupt, NoRoom};
use ::resource_budget::Phase;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv, sockopt};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use types::{Clock, MonotonicInstant};

/// A TCP connection and what is known of it between two polls, so that no system call is repeated.
pub(crate) struct Socket {
    pub stream: TcpStream,
    /// Whether a read may find something: cleared once a read or poll has found nothing.
    pub may_read: AtomicBool,
    /// Whether a write waits for space in the send buffer.
    pub wants_write: AtomicBool,
    /// Bytes written so far.
    pub sent_count: AtomicU64,
    /// In ms of the monotonic clock: the next write is made up to then only, since the check that allows
    /// it expires. The write lifts it. [`Socket::NO_DEADLINE`] is no bound.
    write_deadline: AtomicU64,
    /// Whether a write was refused since the deadline has passed.
    is_check_expired: AtomicBool,
    /// The connection's place in the process's budget; none for connections that the process opens itself.
    slot: Option<ConnectionSlot>,
}

/// What a peek at a connection found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peeked {
    Nothing,
    Bytes,
    Disconnected,
}

/// Unacknowledged bytes for this long mean that the peer is dead or unreachable.
const USER_TIMEOUT_MS: u32 = 10_000;
/// A time-out of poll(2) that doesn't wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};

impl Socket {
    const NO_DEADLINE: u64 = u64::MAX;

    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without these options the connection works too, only slower or noticing a dead peer later.
        let _ = stream.set_nodelay(true);
        let _ = sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS);
        Socket {
            stream,
            may_read: AtomicBool::new(true),
            wants_write: AtomicBool::new(false),
            sent_count: AtomicU64::new(0),
            write_deadline: AtomicU64::new(Self::NO_DEADLINE),
            is_check_expired: AtomicBool::new(false),
            slot: None,
        }
    }

    /// A connection that a peer has opened, with its place in the budget.
    pub(crate) fn accepted(stream: TcpStream, slot: ConnectionSlot) -> Arc<Self> {
        let socket = Arc::new(Socket {
            slot: Some(slot),
            ..Socket::new(stream)
        });
        if let Some(slot) = &socket.slot {
            let connection = Arc::downgrade(&socket);
            slot.attach(connection);
        }
        socket
    }

    /// Whether the connection must give way to others.
    pub(crate) fn is_evicted(&self) -> bool {
        self.slot.as_ref().is_some_and(ConnectionSlot::is_evicted)
    }

    /// The connection goes on to another phase.
    pub(crate) fn enter(&self, phase: Phase) {
        if let Some(slot) = &self.slot {
            slot.enter(phase);
        }
    }

    /// The request of the connection is complete and is handed on.
    ///
    /// # Errors
    ///
    /// [`NoRoom::Evicted`] if the connection must give way already.
    pub(crate) fn begin_serving(&self) -> Result<(), NoRoom> {
        self.slot
            .as_ref()
            .map_or(Ok(()), ConnectionSlot::begin_serving)
    }

    /// Holds more bytes for the connection.
    ///
    /// # Errors
    ///
    /// See [`NoRoom`].
    pub(crate) fn reserve(&self, bytes: u64) -> Result<(), NoRoom> {
        self.slot
            .as_ref()
            .map_or(Ok(()), |slot| slot.reserve(bytes))
    }

    /// Returns the most bytes that can ever be held for the connection.
    pub(crate) fn largest_holding(&self) -> usize {
        let largest = self
            .slot
            .as_ref()
            .map_or(u64::MAX, ConnectionSlot::largest_holding);
        usize::try_from(largest).unwrap_or(usize::MAX)
    }

    /// Lets go of all bytes that are held for the connection.
    pub(crate) fn release_content(&self) {
        if let Some(slot) = &self.slot {
            slot.shrink_to(0);
        }
    }

    /// Bounds the moment of the next write; `None` for no bound.
    pub(crate) fn set_write_deadline(&self, deadline: Option<MonotonicInstant>) {
        let deadline = deadline.map_or(Self::NO_DEADLINE, |deadline| deadline.0);
        self.write_deadline.store(deadline, Ordering::Relaxed);
    }

    /// Whether a write was refused as its deadline had passed, since last asked.
    pub(crate) fn take_expired_check(&self) -> bool {
        self.is_check_expired.swap(false, Ordering::Relaxed)
    }

    /// Whether a write may be made now; records it if the check that allows it has expired.
    fn may_write(&self) -> bool {
        let deadline = self.write_deadline.load(Ordering::Relaxed);
        let is_expired = deadline != Self::NO_DEADLINE && Clock::now() > MonotonicInstant(deadline);
        if is_expired {
            self.is_check_expired.store(true, Ordering::Relaxed);
        }
        !is_expired
    }

    /// Looks without waiting and without taking bytes.
    pub(crate) fn peek(&self) -> Peeked {
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        loop {
            match recv(&self.stream, &mut [0u8; 1], flags) {
                Ok((_, 0)) => return Peeked::Disconnected,
                Ok(_) => return Peeked::Bytes,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Peeked::Nothing,
                Err(_) => return Peeked::Disconnected,
            }
        }
    }

    /// Whether the peer has closed or reset the connection, also behind bytes that were not read.
    pub(crate) fn is_disconnected(&self) -> bool {
        match self.peek() {
            Peeked::Disconnected => true,
            Peeked::Nothing => false,
            Peeked::Bytes => {
                let mut polled = [PollFd::new(&self.stream, PollFlags::RDHUP)];
                poll(&mut polled, Some(&NO_WAIT)).is_ok_and(|count| count > 0)
            }
        }
    }
}

impl Interrupt for Socket {
    fn interrupt(&self, phase: Phase) {
        // A reader finds the end at once; a stalled answer can't be written on. What is still sent to a reader is drained
        // before the close.
        let direction = match phase {
            Phase::Stalled => Shutdown::Both,
            Phase::Idle | Phase::Reading | Phase::Serving | Phase::Closing => Shutdown::Read,
        };
        let _ = self.stream.shutdown(direction);
    }
}

/// The client's connection, for whoever serves its request to watch.
///
/// Invariant: it never keeps the connection open; once the server has closed it, the client counts as
/// disconnected.
#[derive(Clone)]
pub struct ClientConnection(Weak<Socket>);

impl ClientConnection {
    pub(crate) fn new(socket: &Arc<Socket>) -> Self {
        ClientConnection(Arc::downgrade(socket))
    }

    pub(crate) fn socket(&self) -> Option<Arc<Socket>> {
        self.0.upgrade()
    }

    /// Holds so many more bytes on behalf of the client, until its answer is complete.
    ///
    /// # Errors
    ///
    /// See [`NoRoom`].
    pub fn reserve(&self, bytes: u64) -> Result<(), NoRoom> {
        let socket = self.0.upgrade();
        socket.map_or(Err(NoRoom::Evicted), |socket| socket.reserve(bytes))
    }

    /// Returns whether the client has closed or reset the connection. Neither waits nor takes bytes.
    pub fn is_disconnected(&self) -> bool {
        self.0
            .upgrade()
            .is_none_or(|socket| socket.is_disconnected())
    }
}
