use hyper::rt::ReadBufCursor;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{RecvFlags, SendFlags, recv, send, sockopt};
use std::fs::File;
use std::io;
use std::mem::MaybeUninit;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};
use std::task::{Context, Poll, Wake};
use std::time::Duration;
use types::{Clock, MonotonicInstant};

/// A TCP connection and what is known of it between two polls, so that no system call asks again.
pub(crate) struct Wire {
    pub stream: TcpStream,
    /// Whether a read may find something: nothing has told that there is nothing.
    pub may_read: AtomicBool,
    /// Whether a write waits for room.
    pub wants_room: AtomicBool,
    /// Bytes written to it so far.
    pub sent_count: AtomicU64,
    /// The next write is made up to this moment only, since what allows it was checked a while before; the
    /// write lifts it. [`Wire::UNBOUND`] is no bound.
    pub write_by: AtomicU64,
    /// Whether a write was held back since that moment has passed.
    pub is_check_old: AtomicBool,
}

/// What a peek at a connection shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peeked {
    Nothing,
    Bytes,
    Gone,
}

/// Unacknowledged bytes for this long mean that the other side is dead or cut off.
const USER_TIMEOUT_MS: u32 = 10_000;

impl Wire {
    /// No bound on the moment of the next write.
    pub const UNBOUND: u64 = u64::MAX;

    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        let _ = sockopt::set_tcp_user_timeout(&stream, USER_TIMEOUT_MS);
        Wire {
            stream,
            may_read: AtomicBool::new(true),
            wants_room: AtomicBool::new(false),
            sent_count: AtomicU64::new(0),
            write_by: AtomicU64::new(Self::UNBOUND),
            is_check_old: AtomicBool::new(false),
        }
    }
    /// Whether a write may be made now; notes it if what allows it has grown old.
    fn may_write(&self) -> bool {
        let by = self.write_by.load(Ordering::Relaxed);
        let is_old = by != Self::UNBOUND && Clock::now() > MonotonicInstant(by);
        if is_old {
            self.is_check_old.store(true, Ordering::Relaxed);
        }
        !is_old
    }
    /// Looks without waiting and without taking bytes.
    pub fn peek(&self) -> Peeked {
        loop {
            match recv(
                &self.stream,
                &mut [0u8; 1],
                RecvFlags::PEEK | RecvFlags::DONTWAIT,
            ) {
                Ok((_, 0)) => return Peeked::Gone,
                Ok(_) => return Peeked::Bytes,
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => return Peeked::Nothing,
                Err(_) => return Peeked::Gone,
            }
        }
    }
    /// Whether the other side has closed or reset it, also behind bytes that nobody has read.
    pub fn is_gone(&self) -> bool {
        match self.peek() {
            Peeked::Gone => true,
            Peeked::Nothing => false,
            Peeked::Bytes => {
                let mut seen = [PollFd::new(&self.stream, PollFlags::RDHUP)];
                poll(
                    &mut seen,
                    Some(&Timespec {
                        tv_sec: 0,
                        tv_nsec: 0,
                    }),
                )
                .is_ok_and(|count| count > 0)
            }
        }
    }
}

/// The client's connection, as one that serves it may look at it.
///
/// Invariant: it never keeps the connection open; once its gate has closed it, the client is gone.
#[derive(Clone)]
pub struct Client(Weak<Wire>);

impl Client {
    pub(crate) fn new(socket: &Arc<Wire>) -> Self {
        Client(Arc::downgrade(socket))
    }
    pub(crate) fn socket(&self) -> Option<Arc<Wire>> {
        self.0.upgrade()
    }
    /// Whether it has closed or reset the connection. Doesn't wait, and takes no bytes from it.
    pub fn is_gone(&self) -> bool {
        self.0.upgrade().is_none_or(|socket| socket.is_gone())
    }
}

/// What ended a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Woken {
    /// The wire can be read or written on.
    Ready,
    /// Its time is over.
    Late,
    /// The client watched beside it has gone.
    ClientGone,
    /// The bell has rung.
    Bell,
}

/// Waits in one poll(2) until the wire has something (bytes, or the room that a write wants), the client
/// has gone, the bell's other end was closed, or the deadline has passed.
pub(crate) fn await_wire(
    socket: &Wire,
    client: Option<&Client>,
    bell: Option<&File>,
    deadline: MonotonicInstant,
) -> Woken {
    let client = match client {
        Some(client) => match client.socket() {
            Some(socket) => Some(socket),
            None => return Woken::ClientGone,
        },
        None => None,
    };
    let mut client_flags = PollFlags::IN | PollFlags::RDHUP;
    loop {
        let mut wanted = PollFlags::IN;
        if socket.wants_room.load(Ordering::Relaxed) {
            wanted |= PollFlags::OUT;
        }
        // The wire, then the client, then the bell; a missing one is stood in for by the wire itself.
        let (mut watched, mut count) = ([const { None }; 2], 1);
        if let Some(client) = &client {
            watched[0] = Some(PollFd::new(&client.stream, client_flags));
            count += 1;
        }
        if let Some(bell) = bell {
            watched[1] = Some(PollFd::new(bell, PollFlags::empty()));
            count += 1;
        }
        let own = || PollFd::new(&socket.stream, wanted);
        let [first, second] = watched;
        let has_client = first.is_some();
        let mut seen = match (first, second) {
            (Some(client), Some(bell)) => [own(), client, bell],
            (Some(other), None) | (None, Some(other)) => [own(), other, own()],
            (None, None) => [own(), own(), own()],
        };
        let left = Clock::now().until(deadline);
        let Ok(timeout) = Timespec::try_from(left.duration()) else {
            return Woken::Late;
        };
        match poll(&mut seen[..count], Some(&timeout)) {
            Ok(0) if Clock::now().until(deadline).0 == 0 => return Woken::Late,
            Ok(0) | Err(Errno::INTR) => continue,
            Ok(_) => {}
            Err(fault) => {
                // Not expected; the read or write that follows tells more.
                tracing::debug!("wire: poll failed: {fault}.");
                socket.may_read.store(true, Ordering::Relaxed);
                return Woken::Late;
            }
        }
        let own_events = seen[0].revents();
        if !own_events.is_empty() {
            let has_room = own_events.intersects(PollFlags::OUT | PollFlags::ERR | PollFlags::HUP);
            if has_room {
                socket.wants_room.store(false, Ordering::Relaxed);
            }
            if own_events != PollFlags::OUT {
                socket.may_read.store(true, Ordering::Relaxed);
            }
            return Woken::Ready;
        }
        if has_client && !seen[1].revents().is_empty() {
            if seen[1].revents() != PollFlags::IN
                || client.as_ref().is_some_and(|socket| socket.is_gone())
            {
                return Woken::ClientGone;
            }
            // It has sent its next request already; only its end is watched from now on.
            client_flags = PollFlags::RDHUP;
            continue;
        }
        return Woken::Bell;
    }
}

/// A wire as hyper wants it. Reads never wait: whoever drives it waits in between.
pub(crate) struct Duct {
    pub socket: Arc<Wire>,
    /// How long a write waits for room by itself; without it, whoever drives it waits.
    pub write_patience: Option<Duration>,
}

impl Duct {
    /// A client that stops reading is cut after this long.
    pub const WRITE_PATIENCE: Duration = Duration::from_secs(10);
}

impl hyper::rt::Read for Duct {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        mut cursor: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let socket = &self.get_mut().socket;
        if !socket.may_read.load(Ordering::Relaxed) {
            return Poll::Pending;
        }
        let mut buffer = [MaybeUninit::<u8>::uninit(); 16 * 1024];
        let room = cursor.remaining().min(buffer.len());
        loop {
            match recv(&socket.stream, &mut buffer[..room], RecvFlags::DONTWAIT) {
                Ok(((bytes, _), _)) => {
                    // An end stays readable; fewer bytes than there was room for were all.
                    if !bytes.is_empty() && bytes.len() < room {
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
                Err(fault) => return Poll::Ready(Err(fault.into())),
            }
        }
    }
}

impl hyper::rt::Write for Duct {
    fn poll_write(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let duct = self.get_mut();
        let socket = &duct.socket;
        if socket.wants_room.load(Ordering::Relaxed) || !socket.may_write() {
            return Poll::Pending;
        }
        loop {
            match send(
                &socket.stream,
                bytes,
                SendFlags::DONTWAIT | SendFlags::NOSIGNAL,
            ) {
                Ok(count) => {
                    socket.sent_count.fetch_add(count as u64, Ordering::Relaxed);
                    socket.write_by.store(Wire::UNBOUND, Ordering::Relaxed);
                    return Poll::Ready(Ok(count));
                }
                Err(Errno::INTR) => {}
                Err(Errno::AGAIN) => match duct.write_patience {
                    None => {
                        socket.wants_room.store(true, Ordering::Relaxed);
                        return Poll::Pending;
                    }
                    Some(patience) => {
                        let mut room = [PollFd::new(&socket.stream, PollFlags::OUT)];
                        let timeout = Timespec::try_from(patience).ok();
                        if poll(&mut room, timeout.as_ref()) == Ok(0) {
                            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                        }
                    }
                },
                Err(fault) => return Poll::Ready(Err(fault.into())),
            }
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(
            self.get_mut()
                .socket
                .stream
                .shutdown(std::net::Shutdown::Write),
        )
    }
}

/// Notes that a future wants to be polled again at once, without waiting for its wire.
#[derive(Default)]
pub(crate) struct Alarm(AtomicBool);

impl Alarm {
    /// Whether it went off since last asked.
    pub fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

impl Wake for Alarm {
    fn wake(self: Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
    fn wake_by_ref(self: &Arc<Self>) {
        self.0.store(true, Ordering::Relaxed);
    }
}
