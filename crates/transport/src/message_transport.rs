//! Messages between the processes of a fleet: one outgoing connection to each peer and class, and datagrams.
//!
//! Delivery is best effort, in order on each connection. Messages to a peer that can't be reached are
//! dropped; whoever needs an answer retries.

mod inbound;
mod outbound;

use self::inbound::MAX_INBOUND_CONNECTIONS;
use self::outbound::Outbox;
use crate::resource_budget::ListenerBudget;
use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use types::Address;
use wire::{Message, seal};

/// How long sending a datagram may wait for space in the send buffer.
const DATAGRAM_WRITE_TIMEOUT: Duration = Duration::from_millis(1);
/// Bytes of the stack of a connection's thread: messages are read into the heap.
const CONNECTION_STACK_BYTES: usize = 256 << 10;

/// Which of a peer's connections carries a message: chunks of snapshots never delay the rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageClass {
    /// Leases, views, configuration updates, sketches and changes.
    Control,
    /// Chunks of snapshots and of large changes.
    Bulk,
    /// Small messages that go to many peers at once and are repeated when lost: no connection is made.
    Datagram,
}

impl MessageClass {
    /// Returns the class of a message, which its sender may want on the bulk connection.
    pub fn of(message: &Message, is_bulk: bool) -> Self {
        match (is_bulk, message.is_datagram()) {
            (true, _) => MessageClass::Bulk,
            (false, true) => MessageClass::Datagram,
            (false, false) => MessageClass::Control,
        }
    }
}

/// Carries messages between the processes of a fleet.
///
/// Invariant: an outgoing connection and its thread last only while there are messages for it.
pub struct MessageTransport {
    local_address: Address,
    datagrams: UdpSocket,
    outboxes: HashMap<(Address, MessageClass), Outbox>,
    traffic: HashMap<Address, Arc<PeerTraffic>>,
}

/// What was sent to one peer since the transport was opened.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    /// Messages sent.
    pub messages: AtomicU64,
    /// Bytes of the messages, sealed.
    pub bytes: AtomicU64,
}

impl PeerTraffic {
    fn record(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl MessageTransport {
    /// Accepts messages on the listener and on the same port's datagrams, and calls `inbox` with the
    /// sender's address and each message, on the receiving threads. Connections have a budget of their own, bounded by
    /// their number alone.
    ///
    /// # Errors
    ///
    /// If the port is in use for datagrams, or threads or descriptors are exhausted.
    pub fn open(
        listener: TcpListener,
        inbox: impl Fn(Address, Message) + Send + Sync + Clone + 'static,
    ) -> io::Result<MessageTransport> {
        Self::open_within(
            listener,
            ListenerBudget::unlimited(MAX_INBOUND_CONNECTIONS),
            inbox,
        )
    }

    /// The same for a process whose connections, and the messages that come in on them, are part of its budget.
    ///
    /// # Errors
    ///
    /// See [`MessageTransport::open`].
    pub fn open_within(
        listener: TcpListener,
        listener_budget: ListenerBudget,
        inbox: impl Fn(Address, Message) + Send + Sync + Clone + 'static,
    ) -> io::Result<MessageTransport> {
        let local_address = Address(listener.local_addr()?);
        // Datagrams come to the same port and are sent from it.
        let inbound_datagrams = UdpSocket::bind(local_address.0)?;
        let datagrams = inbound_datagrams.try_clone()?;
        datagrams.set_write_timeout(Some(DATAGRAM_WRITE_TIMEOUT))?;
        inbound::spawn_datagram_receiver(inbound_datagrams, inbox.clone())?;
        inbound::spawn_listener(listener, listener_budget, inbox)?;
        Ok(MessageTransport {
            local_address,
            datagrams,
            outboxes: HashMap::new(),
            traffic: HashMap::new(),
        })
    }

    /// Returns the address at which this process receives messages.
    pub fn local_address(&self) -> Address {
        self.local_address
    }

    /// Returns what was sent, by peer.
    pub fn traffic(&self) -> impl Iterator<Item = (&Address, &PeerTraffic)> {
        self.traffic
            .iter()
            .map(|(peer, traffic)| (peer, traffic.as_ref()))
    }

    /// Queues a message for a peer without waiting. It's dropped if the class's queue is full or no thread
    /// can be started.
    pub fn send(&mut self, peer: Address, class: MessageClass, message: Message) {
        if class == MessageClass::Datagram {
            self.send_datagram(peer, &message);
            return;
        }
        let unsent = match self.outboxes.get(&(peer, class)) {
            Some(outbox) => match outbox.try_send(message) {
                Some(unsent) => unsent,
                None => return,
            },
            None => message,
        };
        self.send_on_new_connection(peer, class, unsent);
    }

    fn send_datagram(&mut self, peer: Address, message: &Message) {
        // Dropped, as by a lossy network, if it can't be sent now.
        if let Ok(bytes) = seal(self.local_address, message)
            && self.datagrams.send_to(&bytes, peer.0).is_ok()
        {
            self.traffic.entry(peer).or_default().record(bytes.len());
        }
    }

    fn send_on_new_connection(&mut self, peer: Address, class: MessageClass, message: Message) {
        self.outboxes.retain(|_, outbox| !outbox.is_closed());
        let traffic = self.traffic.entry(peer).or_default().clone();
        match Outbox::spawn(self.local_address, peer, class, traffic) {
            Ok(outbox) => {
                let _ = outbox.try_send(message);
                self.outboxes.insert((peer, class), outbox);
            }
            Err(error) => tracing::warn!(%peer, %error, "no thread for a peer's messages"),
        }
    }
}
