use rustix::net::sockopt;
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use types::Address;
use wire::{Message, SealError, open, seal};

/// Which of a peer's two connections a letter takes: pieces of snapshots never delay the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PostClass {
    /// Leases, views, news, sketches, changes.
    Swift,
    /// Pieces of snapshots and of large changes.
    Bulk,
    /// Small ones that go to many at once and are asked again when lost: no connection is made.
    Datagram,
}

impl PostClass {
    /// That of a letter, which its sender may want on the bulk line.
    pub fn of(message: &Message, is_bulk: bool) -> Self {
        match (is_bulk, message.is_datagram()) {
            (true, _) => PostClass::Bulk,
            (false, true) => PostClass::Datagram,
            (false, false) => PostClass::Swift,
        }
    }
}

/// Carries letters between our processes: one connection out to each peer and class, letters in
/// request on each, dropped when the peer can't be reached. Whoever needs an answer asks again.
///
/// Invariant: a connection and its thread last only while there is something to say.
pub struct MessageTransport {
    own: Address,
    datagrams: UdpSocket,
    outboxes: HashMap<(Address, PostClass), flume::Sender<Message>>,
    metrics: HashMap<Address, Arc<PostTally>>,
}

/// What was sent to one peer.
#[derive(Debug, Default)]
pub struct PostTally {
    /// Letters.
    pub messages: AtomicU64,
    /// Bytes of them, sealed.
    pub bytes: AtomicU64,
}

impl PostTally {
    fn more(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

const CONNECT_PATIENCE: Duration = Duration::from_millis(300);
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// A connection whose bytes stay unacknowledged for this long is given up, and a new one made for the next letter.
/// Without a bound, one that was cut off for 17 s stands still for up to 17 s more after the cut has healed: each
/// pause before bytes are sent again is twice the one before.
const SWIFT_DEAD_AFTER: Duration = Duration::from_millis(1500);
/// The same where large pieces queue on a slow link.
const BULK_DEAD_AFTER: Duration = Duration::from_secs(4);
const INBOUND_BOUND: usize = 512;
/// A line on which nothing was said for this long is closed by whoever opened it,
const LINE_IDLE: Duration = Duration::from_secs(10);
/// and by the other side if that one is gone.
const IDLE_PATIENCE: Duration = Duration::from_secs(20);
/// Letters are read into the heap; little is on a line's stack.
const LINE_STACK: usize = 256 << 10;
const DATAGRAM_BOUND: usize = 1200;

impl MessageTransport {
    /// Listens for letters and hands each to `inbox`.
    pub fn open(
        listener: TcpListener,
        inbox: impl Fn(Address, Message) + Send + Sync + Clone + 'static,
    ) -> io::Result<MessageTransport> {
        let own = Address(listener.local_addr()?);
        // Datagrams come to the same port, and leave from it without waiting.
        let inbound = UdpSocket::bind(own.0)?;
        let datagrams = inbound.try_clone()?;
        datagrams.set_write_timeout(Some(Duration::from_millis(1)))?;
        let take_datagram = inbox.clone();
        std::thread::Builder::new()
            .name("post-datagrams".into())
            .stack_size(LINE_STACK)
            .spawn(move || {
                let mut buffer = [0u8; DATAGRAM_BOUND];
                loop {
                    let Ok((length, _)) = inbound.recv_from(&mut buffer) else {
                        continue;
                    };
                    if let Ok((from, message)) = open(&mut &buffer[..length]) {
                        take_datagram(from, message);
                    }
                }
            })?;
        let open_count = Arc::new(AtomicUsize::new(0));
        std::thread::Builder::new()
            .name("post".into())
            .spawn(move || {
                loop {
                    let Ok((stream, _)) = listener.accept() else {
                        std::thread::sleep(Duration::from_millis(20));
                        continue;
                    };
                    if open_count.fetch_add(1, Ordering::Relaxed) >= INBOUND_BOUND {
                        open_count.fetch_sub(1, Ordering::Relaxed);
                        continue;
                    }
                    let (inbox, count) = (inbox.clone(), open_count.clone());
                    let line = std::thread::Builder::new()
                        .name("post-in".into())
                        .stack_size(LINE_STACK);
                    let spawned = line.spawn(move || {
                        receive(stream, inbox);
                        count.fetch_sub(1, Ordering::Relaxed);
                    });
                    if spawned.is_err() {
                        open_count.fetch_sub(1, Ordering::Relaxed);
                    }
                }
            })?;
        Ok(MessageTransport {
            own,
            datagrams,
            outboxes: HashMap::new(),
            metrics: HashMap::new(),
        })
    }

    /// This process's own inner address.
    pub fn own(&self) -> Address {
        self.own
    }

    /// What was sent, by peer.
    pub fn metrics(&self) -> impl Iterator<Item = (&Address, &PostTally)> {
        self.metrics.iter().map(|(to, tally)| (to, tally.as_ref()))
    }

    /// Sends a letter if it can be sent; never waits. It's sealed on the line's own thread.
    pub fn send(&mut self, to: Address, class: PostClass, message: Message) {
        if class == PostClass::Datagram {
            // Lost, like on a bad wire, if it can't leave now.
            if let Ok(bytes) = seal(self.own, &message)
                && self.datagrams.send_to(&bytes, to.0).is_ok()
            {
                self.metrics.entry(to).or_default().more(bytes.len());
            }
            return;
        }
        let unsent = match self.outboxes.get(&(to, class)) {
            Some(outbox) => match outbox.try_send(message) {
                // Its line was idle and is closed.
                Err(flume::TrySendError::Disconnected(message)) => message,
                // A full outbox means that the peer is slow or gone; the letter is lost, as on a bad wire.
                Ok(()) | Err(flume::TrySendError::Full(_)) => return,
            },
            None => message,
        };
        self.outboxes.retain(|_, outbox| !outbox.is_disconnected());
        let (sender, receiver) = flume::bounded(if class == PostClass::Swift { 256 } else { 16 });
        let line = std::thread::Builder::new()
            .name("post-out".into())
            .stack_size(LINE_STACK);
        let (own, tally) = (self.own, self.metrics.entry(to).or_default().clone());
        if let Err(fault) = line.spawn(move || deliver(own, to, class, &receiver, &tally)) {
            tracing::warn!("post: no thread for {to}: {fault}.");
            return;
        }
        let _ = sender.try_send(unsent);
        self.outboxes.insert((to, class), sender);
    }
}

/// Connects to a peer; the connection notices by itself when its path is dead.
fn connect(to: Address, class: PostClass) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.0, CONNECT_PATIENCE)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_PATIENCE))?;
    let dead_after = if class == PostClass::Bulk {
        BULK_DEAD_AFTER
    } else {
        SWIFT_DEAD_AFTER
    };
    sockopt::set_tcp_user_timeout(&stream, dead_after.as_millis() as u32)?;
    Ok(stream)
}

fn deliver(
    own: Address,
    to: Address,
    class: PostClass,
    outbox: &flume::Receiver<Message>,
    tally: &PostTally,
) {
    let mut line: Option<TcpStream> = None;
    // A letter that comes just as the line is given up is lost, as on a bad wire.
    while let Ok(message) = outbox.recv_timeout(LINE_IDLE) {
        let bytes = match seal(own, &message) {
            Ok(bytes) => bytes,
            Err(fault) => {
                tracing::warn!("post: {} {fault}.", fault.code());
                continue;
            }
        };
        for _ in 0..2 {
            let stream = match line.take() {
                Some(stream) => stream,
                None => match connect(to, class) {
                    Ok(stream) => stream,
                    Err(_) => {
                        // What has gathered is old by now.
                        outbox.drain().for_each(drop);
                        break;
                    }
                },
            };
            if io::Write::write_all(&mut &stream, &bytes).is_ok() {
                line = Some(stream);
                tally.more(bytes.len());
                break;
            }
        }
    }
}

fn receive(stream: TcpStream, inbox: impl Fn(Address, Message)) {
    let _ = stream.set_read_timeout(Some(IDLE_PATIENCE));
    let mut reader = io::BufReader::new(stream);
    loop {
        match open(&mut reader) {
            Ok((from, message)) => inbox(from, message),
            Err(SealError::Io(_)) => return,
            Err(fault) => {
                tracing::warn!("post: {} {fault}.", fault.code());
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests;
