//! Receiving messages: datagrams, and a thread for each connection that peers open.

use super::CONNECTION_STACK_BYTES;
use std::io;
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use types::Address;
use wire::{Message, SealError, open};

/// Connections from peers that are open at once; further ones are closed unread.
const MAX_INBOUND_CONNECTIONS: usize = 512;
/// A connection without a message for this long is closed; its opener closes it sooner unless it's gone.
const IDLE_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a datagram at most; longer ones are cut by the system and then fail to open.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// The pause after a failed accept, as when the process has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The right to keep one inbound connection open. Dropping it gives the right back, so that a connection no
/// longer counts however its thread ends.
struct InboundPermit(Arc<AtomicUsize>);

impl InboundPermit {
    fn acquire(open_count: &Arc<AtomicUsize>) -> Option<Self> {
        let open_before = open_count.fetch_add(1, Ordering::Relaxed);
        let permit = InboundPermit(open_count.clone());
        (open_before < MAX_INBOUND_CONNECTIONS).then_some(permit)
    }
}

impl Drop for InboundPermit {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(super) fn spawn_datagram_receiver(
    socket: UdpSocket,
    inbox: impl Fn(Address, Message) + Send + 'static,
) -> io::Result<()> {
    std::thread::Builder::new()
        .name("post-datagrams".into())
        .stack_size(CONNECTION_STACK_BYTES)
        .spawn(move || {
            let mut buffer = [0u8; MAX_DATAGRAM_BYTES];
            loop {
                let Ok((length, _)) = socket.recv_from(&mut buffer) else {
                    continue;
                };
                if let Ok((sender, message)) = open(&mut &buffer[..length]) {
                    inbox(sender, message);
                }
            }
        })?;
    Ok(())
}

pub(super) fn spawn_listener(
    listener: TcpListener,
    inbox: impl Fn(Address, Message) + Send + Clone + 'static,
) -> io::Result<()> {
    let open_count = Arc::new(AtomicUsize::new(0));
    std::thread::Builder::new()
        .name("post".into())
        .spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if let Some(permit) = InboundPermit::acquire(&open_count) {
                    spawn_receiver(stream, permit, inbox.clone());
                }
            }
        })?;
    Ok(())
}

fn spawn_receiver(
    stream: TcpStream,
    permit: InboundPermit,
    inbox: impl Fn(Address, Message) + Send + 'static,
) {
    let builder = std::thread::Builder::new()
        .name("post-in".into())
        .stack_size(CONNECTION_STACK_BYTES);
    let spawned = builder.spawn(move || {
        let _permit = permit;
        receive(stream, inbox);
    });
    if let Err(error) = spawned {
        tracing::debug!(%error, "no thread for an inbound connection");
    }
}

/// Receives messages until the connection ends, idles or carries something that is no message.
fn receive(stream: TcpStream, inbox: impl Fn(Address, Message)) {
    let _ = stream.set_read_timeout(Some(IDLE_READ_TIMEOUT));
    let mut reader = io::BufReader::new(stream);
    loop {
        match open(&mut reader) {
            Ok((sender, message)) => inbox(sender, message),
            Err(SealError::Io(_)) => return,
            Err(error) => {
                tracing::warn!(code = %error.code(), %error, "invalid message received");
                return;
            }
        }
    }
}
