//! Sending messages to one peer: a queue, and a thread with a connection as long as there are messages.

use super::{CONNECTION_STACK_BYTES, MessageClass, PeerTraffic};
use rustix::net::sockopt;
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;
use types::Address;
use wire::{Message, seal};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// A connection whose bytes stay unacknowledged for this long is given up, and a new one is made for the next
/// message. Without a bound, one that was partitioned for 17 s stands still for up to 17 s more after the
/// partition has healed: TCP's retransmission time-out doubles each time.
const CONTROL_USER_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same where large chunks queue on a slow network.
const BULK_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// A connection on which nothing was sent for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Messages that wait for one connection; further ones are dropped.
const CONTROL_QUEUE_LENGTH: usize = 256;
const BULK_QUEUE_LENGTH: usize = 16;
/// Attempts to write a message: the first may fail on a connection that the peer has closed meanwhile.
const WRITE_ATTEMPTS: usize = 2;

/// The queue of one connection.
pub(super) struct Outbox(flume::Sender<Message>);

impl Outbox {
    /// Starts a connection's thread.
    pub(super) fn spawn(
        sender_address: Address,
        peer: Address,
        class: MessageClass,
        traffic: Arc<PeerTraffic>,
    ) -> io::Result<Self> {
        let queue_length = match class {
            MessageClass::Control => CONTROL_QUEUE_LENGTH,
            MessageClass::Bulk | MessageClass::Datagram => BULK_QUEUE_LENGTH,
        };
        let (queue, messages) = flume::bounded(queue_length);
        let mut connection = OutboundConnection {
            sender_address,
            peer,
            class,
            traffic,
            stream: None,
        };
        std::thread::Builder::new()
            .name("post-out".into())
            .stack_size(CONNECTION_STACK_BYTES)
            .spawn(move || connection.deliver_all(&messages))?;
        Ok(Outbox(queue))
    }

    /// Queues a message; returns it if the connection was idle and its thread has ended. If the queue is
    /// full the peer is slow or unreachable: the message is dropped, as by a lossy network.
    pub(super) fn try_send(&self, message: Message) -> Option<Message> {
        match self.0.try_send(message) {
            Err(flume::TrySendError::Disconnected(message)) => Some(message),
            Ok(()) | Err(flume::TrySendError::Full(_)) => None,
        }
    }

    pub(super) fn is_closed(&self) -> bool {
        self.0.is_disconnected()
    }
}

/// A thread's connection to a peer, made for the first message and remade once it fails.
struct OutboundConnection {
    sender_address: Address,
    peer: Address,
    class: MessageClass,
    traffic: Arc<PeerTraffic>,
    stream: Option<TcpStream>,
}

impl OutboundConnection {
    /// Delivers messages until none has come for [`IDLE_TIMEOUT`]. One that comes just as the thread ends is
    /// lost, as by a lossy network.
    fn deliver_all(&mut self, messages: &flume::Receiver<Message>) {
        while let Ok(message) = messages.recv_timeout(IDLE_TIMEOUT) {
            match seal(self.sender_address, &message) {
                Ok(bytes) => self.deliver(&bytes, messages),
                Err(error) => {
                    tracing::warn!(code = %error.code(), %error, "message can't be sent");
                }
            }
        }
    }

    fn deliver(&mut self, bytes: &[u8], messages: &flume::Receiver<Message>) {
        for _ in 0..WRITE_ATTEMPTS {
            let connected = match self.stream.take() {
                Some(stream) => Ok(stream),
                None => connect(self.peer, self.class),
            };
            let Ok(mut stream) = connected else {
                // The queued messages are out of date by now.
                messages.drain().for_each(drop);
                return;
            };
            if stream.write_all(bytes).is_ok() {
                self.stream = Some(stream);
                self.traffic.record(bytes.len());
                return;
            }
        }
    }
}

/// Connects to a peer; the connection fails by itself when the path to the peer is dead.
pub(super) fn connect(peer: Address, class: MessageClass) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&peer.0, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let user_timeout = match class {
        MessageClass::Bulk => BULK_USER_TIMEOUT,
        MessageClass::Control | MessageClass::Datagram => CONTROL_USER_TIMEOUT,
    };
    sockopt::set_tcp_user_timeout(&stream, user_timeout.as_millis() as u32)?;
    Ok(stream)
}

#[cfg(test)]
mod tests;
