//! Receiving messages: datagrams, and a thread for each connection that peers open.

use super::CONNECTION_STACK_BYTES;
use crate::resource_budget::{ConnectionSlot, Interrupt, ListenerBudget, NoRoom};
use ::resource_budget::Phase;
use rustix::net::sockopt;
use std::io;
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::time::Duration;
use types::Address;
use wire::{Message, SealError, open, open_within};

/// Connections from peers that are open at once; further ones are closed unread.
pub(super) const MAX_INBOUND_CONNECTIONS: usize = 512;
/// A connection without a message for this long is closed; its opener closes it sooner unless it's gone.
const IDLE_READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of a datagram at most; longer ones are cut by the system and then fail to open.
const MAX_DATAGRAM_BYTES: usize = 1200;
/// Bytes that the kernel may hold for a connection until they are read.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// Bytes of a message that each connection holds anyway.
const FREE_MESSAGE_BYTES: usize = 16 << 10;
/// A message is held as it came, in a buffer that grows by doubling, and as what is made of it.
const MESSAGE_COPIES: usize = 3;
/// The pause after a failed accept, as when the process has no descriptor left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A connection that a peer has opened, and its place in the process's budget.
struct InboundConnection {
    stream: TcpStream,
    slot: ConnectionSlot,
}

impl InboundConnection {
    fn accept(stream: TcpStream, slot: ConnectionSlot) -> Arc<Self> {
        let connection = Arc::new(InboundConnection { stream, slot });
        let weak = Arc::downgrade(&connection);
        connection.slot.attach(weak);
        connection
    }

    /// Holds further bytes of a message, of which `held` are held, and what is made of them.
    fn reserve(&self, received: &mut usize, bytes: usize) -> io::Result<()> {
        if *received == 0 {
            self.slot.enter(Phase::Reading);
        }
        *received += bytes;
        if *received <= FREE_MESSAGE_BYTES {
            return Ok(());
        }
        let no_room = |error: NoRoom| io::Error::new(io::ErrorKind::OutOfMemory, error);
        let copies = (bytes * MESSAGE_COPIES) as u64;
        self.slot.reserve(copies).map_err(no_room)
    }

    /// The message was handed on.
    fn release_message(&self) {
        self.slot.shrink_to(0);
        self.slot.enter(Phase::Idle);
    }
}

impl Interrupt for InboundConnection {
    fn interrupt(&self, _: Phase) {
        let _ = self.stream.shutdown(Shutdown::Both);
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
    listener_budget: ListenerBudget,
    inbox: impl Fn(Address, Message) + Send + Clone + 'static,
) -> io::Result<()> {
    // Connections inherit it. Without it they work too, and the kernel holds more.
    let _ = sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES);
    std::thread::Builder::new()
        .name("post".into())
        .spawn(move || {
            loop {
                let Ok((stream, _)) = listener.accept() else {
                    std::thread::sleep(ACCEPT_RETRY_DELAY);
                    continue;
                };
                if let Some(slot) = listener_budget.admit() {
                    spawn_receiver(InboundConnection::accept(stream, slot), inbox.clone());
                }
            }
        })?;
    Ok(())
}

fn spawn_receiver(
    connection: Arc<InboundConnection>,
    inbox: impl Fn(Address, Message) + Send + 'static,
) {
    let builder = std::thread::Builder::new()
        .name("post-in".into())
        .stack_size(CONNECTION_STACK_BYTES);
    let spawned = builder.spawn(move || receive(&connection, inbox));
    if let Err(error) = spawned {
        tracing::debug!(%error, "no thread for an inbound connection");
    }
}

/// Receives messages until the connection ends, idles or carries something that is no message.
fn receive(connection: &InboundConnection, inbox: impl Fn(Address, Message)) {
    let _ = connection.stream.set_read_timeout(Some(IDLE_READ_TIMEOUT));
    let mut reader = io::BufReader::new(&connection.stream);
    loop {
        let mut received = 0;
        match open_within(&mut reader, &mut |bytes| {
            connection.reserve(&mut received, bytes)
        }) {
            Ok((sender, message)) => {
                inbox(sender, message);
                connection.release_message();
            }
            Err(SealError::Io(_)) => return,
            Err(error) => {
                tracing::warn!(code = %error.code(), %error, "invalid message received");
                return;
            }
        }
    }
}
