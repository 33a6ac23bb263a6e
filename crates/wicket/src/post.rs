use circular::prelude::*;
use parlance::prelude::*;
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Which of a peer's two connections a letter takes: pieces of snapshots never delay the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PostClass {
    /// Leases, views, news, sketches, changes.
    Swift,
    /// Pieces of snapshots and of large changes.
    Bulk,
}

/// Carries letters between our processes: one connection out to each peer and class, letters in
/// order on each, dropped when the peer can't be reached. Whoever needs an answer asks again.
pub struct Post {
    own: Address,
    outboxes: HashMap<(Address, PostClass), flume::Sender<Letter>>,
}

const CONNECT_PATIENCE: Duration = Duration::from_millis(300);
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
const INBOUND_BOUND: usize = 512;
const IDLE_PATIENCE: Duration = Duration::from_secs(60);

impl Post {
    /// Listens for letters and hands each to `inbox`.
    pub fn open(
        listener: TcpListener,
        inbox: impl Fn(Address, Letter) + Send + Sync + Clone + 'static,
    ) -> io::Result<Post> {
        let own = Address(listener.local_addr()?);
        let open_count = Arc::new(AtomicUsize::new(0));
        std::thread::Builder::new().name("post".into()).spawn(move || {
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
                let spawned = std::thread::Builder::new().name("post-in".into()).spawn(move || {
                    receive(stream, inbox);
                    count.fetch_sub(1, Ordering::Relaxed);
                });
                if spawned.is_err() {
                    open_count.fetch_sub(1, Ordering::Relaxed);
                }
            }
        })?;
        Ok(Post { own, outboxes: HashMap::new() })
    }

    /// This process's own inner address.
    pub fn own(&self) -> Address {
        self.own
    }

    /// Sends a letter if it can be sent; never waits. It's sealed on the line's own thread.
    pub fn send(&mut self, to: Address, class: PostClass, letter: Letter) {
        let own = self.own;
        let outbox = self.outboxes.entry((to, class)).or_insert_with(|| {
            let bound = if class == PostClass::Swift { 256 } else { 16 };
            let (sender, receiver) = flume::bounded(bound);
            let spawned =
                std::thread::Builder::new().name("post-out".into()).spawn(move || deliver(own, to, &receiver));
            if let Err(fault) = spawned {
                tracing::warn!("post: no thread for {to}: {fault}.");
            }
            sender
        });
        // A full outbox means that the peer is slow or gone; the letter is lost, as on a bad wire.
        let _ = outbox.try_send(letter);
    }
}

fn deliver(own: Address, to: Address, outbox: &flume::Receiver<Letter>) {
    let mut line: Option<TcpStream> = None;
    while let Ok(letter) = outbox.recv() {
        let bytes = match seal(own, &letter) {
            Ok(bytes) => bytes,
            Err(fault) => {
                tracing::warn!("post: {} {fault}.", fault.code());
                continue;
            }
        };
        for _ in 0..2 {
            let stream = match line.take() {
                Some(stream) => stream,
                None => match TcpStream::connect_timeout(&to.0, CONNECT_PATIENCE) {
                    Ok(stream) => {
                        let _ = stream.set_nodelay(true);
                        let _ = stream.set_write_timeout(Some(WRITE_PATIENCE));
                        stream
                    }
                    Err(_) => {
                        // What has gathered is old by now.
                        outbox.drain().for_each(drop);
                        break;
                    }
                },
            };
            if io::Write::write_all(&mut &stream, &bytes).is_ok() {
                line = Some(stream);
                break;
            }
        }
    }
}

fn receive(stream: TcpStream, inbox: impl Fn(Address, Letter)) {
    let _ = stream.set_read_timeout(Some(IDLE_PATIENCE));
    let mut reader = io::BufReader::new(stream);
    loop {
        match open(&mut reader) {
            Ok((from, letter)) => inbox(from, letter),
            Err(SealFault::Io(_)) => return,
            Err(fault) => {
                tracing::warn!("post: {} {fault}.", fault.code());
                return;
            }
        }
    }
}
