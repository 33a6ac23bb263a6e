//! Waiting in one poll(2) for a socket, for the client's disconnection and for a notification.

use super::{ClientConnection, Socket};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use std::fs::File;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use types::{Clock, MonotonicInstant};

/// What ended a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// The socket can be read from or written to.
    Ready,
    /// The deadline has passed.
    TimedOut,
    /// The client watched beside it has disconnected.
    ClientDisconnected,
    /// The notifier's other end was closed.
    Notified,
}

/// What a wait watches.
struct Watched<'a> {
    socket: &'a Socket,
    client: Option<&'a Socket>,
    client_interest: PollFlags,
    notifier: Option<&'a File>,
}

/// What one poll(2) found.
struct PolledEvents {
    socket: PollFlags,
    client: PollFlags,
}

/// Waits until the socket has something (bytes, or the space that a write waits for), the client has
/// disconnected, the notifier's other end was closed, or the deadline has passed.
pub(crate) fn wait_for_readiness(
    socket: &Socket,
    client: Option<&ClientConnection>,
    notifier: Option<&File>,
    deadline: MonotonicInstant,
) -> Readiness {
    let client = match client.map(ClientConnection::socket) {
        Some(None) => return Readiness::ClientDisconnected,
        Some(socket) => socket,
        None => None,
    };
    let mut watched = Watched {
        socket,
        client: client.as_deref(),
        client_interest: PollFlags::IN | PollFlags::RDHUP,
        notifier,
    };
    loop {
        if let Some(readiness) = watched.poll_once(deadline) {
            return readiness;
        }
    }
}

/// Waits until a connection can be accepted or the deadline has passed. An error of the wait counts as a connection:
/// the accept that follows returns the cause.
pub(crate) fn wait_for_connection(listener: &TcpListener, deadline: MonotonicInstant) -> Readiness {
    loop {
        let left = Clock::now().until(deadline);
        let timeout = Timespec::try_from(left.duration()).ok();
        let mut polled = [PollFd::new(listener, PollFlags::IN)];
        match poll(&mut polled, timeout.as_ref()) {
            Ok(0) if Clock::now().until(deadline).0 == 0 => return Readiness::TimedOut,
            Ok(0) | Err(Errno::INTR) => {}
            Ok(_) | Err(_) => return Readiness::Ready,
        }
    }
}

impl Watched<'_> {
    /// Polls once; `None` if nothing has happened that ends the wait.
    fn poll_once(&mut self, deadline: MonotonicInstant) -> Option<Readiness> {
        let left = Clock::now().until(deadline);
        let Ok(timeout) = Timespec::try_from(left.duration()) else {
            return Some(Readiness::TimedOut);
        };
        match self.poll_events(&timeout) {
            Ok(Some(events)) => self.classify(&events),
            Ok(None) if Clock::now().until(deadline).0 == 0 => Some(Readiness::TimedOut),
            Ok(None) | Err(Errno::INTR) => None,
            Err(error) => {
                // Not expected; the read or write that follows returns the cause.
                tracing::debug!(%error, "poll failed");
                self.socket.may_read.store(true, Ordering::Relaxed);
                Some(Readiness::TimedOut)
            }
        }
    }

    /// Calls poll(2); `None` if its time-out has passed.
    fn poll_events(&self, timeout: &Timespec) -> Result<Option<PolledEvents>, Errno> {
        let mut interest = PollFlags::IN;
        if self.socket.wants_write.load(Ordering::Relaxed) {
            interest |= PollFlags::OUT;
        }
        // Only the first `count` are polled; the rest are there to fill the array.
        let mut polled = [(); 3].map(|()| PollFd::new(&self.socket.stream, interest));
        let mut count = 1;
        if let Some(client) = self.client {
            polled[count] = PollFd::new(&client.stream, self.client_interest);
            count += 1;
        }
        if let Some(notifier) = self.notifier {
            polled[count] = PollFd::new(notifier, PollFlags::empty());
            count += 1;
        }
        if poll(&mut polled[..count], Some(timeout))? == 0 {
            return Ok(None);
        }
        let client = self
            .client
            .map_or(PollFlags::empty(), |_| polled[1].revents());
        Ok(Some(PolledEvents {
            socket: polled[0].revents(),
            client,
        }))
    }

    fn classify(&mut self, events: &PolledEvents) -> Option<Readiness> {
        if !events.socket.is_empty() {
            self.record_socket_events(events.socket);
            return Some(Readiness::Ready);
        }
        if events.client.is_empty() {
            return Some(Readiness::Notified);
        }
        let is_disconnected = events.client != PollFlags::IN
            || self.client.is_some_and(|client| client.is_disconnected());
        if is_disconnected {
            return Some(Readiness::ClientDisconnected);
        }
        // The client has sent its next request already: from now on only its end is watched, or each
        // poll would return at once.
        self.client_interest = PollFlags::RDHUP;
        None
    }

    fn record_socket_events(&self, events: PollFlags) {
        let can_write = PollFlags::OUT | PollFlags::ERR | PollFlags::HUP;
        if events.intersects(can_write) {
            self.socket.wants_write.store(false, Ordering::Relaxed);
        }
        if events != PollFlags::OUT {
            self.socket.may_read.store(true, Ordering::Relaxed);
        }
    }
}
