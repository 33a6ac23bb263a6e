//! One server's stream of events, read from its response.

use super::malformed_stream::{MalformedStream, StreamPlace};
use crate::shared::Shared;
use crate::upstream::event_reader::{EventError, EventReader, MalformedEvent, StreamEvent};
use bytes::Bytes;
use std::sync::Arc;
use std::time::Duration;
use transport::{BodyRead, ClientConnection, NoRoom, PooledResponse};
use types::{RequestId, ServerName};

/// What a wait for the next event came to.
pub(super) enum StreamRead {
    /// The next event that is new to the client.
    Event(StreamEvent),
    /// Bytes have come, and no complete event; the stream goes on.
    Pending,
    /// No bytes came in time; the stream may go on.
    TimedOut,
    /// The stream has ended in order.
    End,
    /// The server broke off or sent what is no event, for this reason. Nothing more may be read.
    Failed(String),
    /// There is no memory for an event as long as the one that comes.
    NoRoom(NoRoom),
    /// The client disconnected.
    ClientDisconnected,
}

/// Bytes of an event that each request holds anyway.
const FREE_EVENT_BYTES: usize = 32 << 10;
/// Memory for a longer event is held in steps of so many bytes.
const EVENT_STEP_BYTES: usize = 64 << 10;

/// What counts as an event although it is none: a deliberate fault of the tests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Leniency {
    /// Nothing.
    None,
    /// What stands behind the last blank line of a body.
    Unterminated,
    /// Anything.
    Malformed,
}

impl Leniency {
    fn accepts(self, error: EventError) -> bool {
        match self {
            Leniency::None => false,
            Leniency::Unterminated => error == EventError::Unterminated,
            Leniency::Malformed => true,
        }
    }
}

/// Whose stream it is.
pub(super) struct StreamOrigin {
    pub request: RequestId,
    pub server: ServerName,
    /// Whether another server has sent events of it before.
    pub is_takeover: bool,
}

/// A server's stream. Dropping it closes its connection, unless it was released.
pub(super) struct ServerStream {
    shared: Arc<Shared>,
    origin: StreamOrigin,
    response: PooledResponse,
    reader: EventReader,
    /// Whether it has had an event that is new to the client.
    has_event: bool,
    has_ended: bool,
    /// Bytes that the client's connection holds for events.
    reserved: usize,
    /// A deliberate fault of the tests.
    leniency: Leniency,
}

impl ServerStream {
    /// The stream of a response, for a client that has the events up to `received`.
    pub(super) fn new(
        shared: Arc<Shared>,
        origin: StreamOrigin,
        response: PooledResponse,
        received: Option<u64>,
        leniency: Leniency,
    ) -> Self {
        ServerStream {
            shared,
            origin,
            response,
            reader: EventReader::new(received),
            has_event: false,
            has_ended: false,
            reserved: FREE_EVENT_BYTES,
            leniency,
        }
    }

    /// Returns status and headers.
    pub(super) fn head(&self) -> &http::response::Parts {
        self.response.head()
    }

    /// Returns the next event of the bytes that were read.
    pub(super) fn next_event(&mut self) -> StreamRead {
        let event = match self.reader.next_event() {
            Ok(None) if self.has_ended => self.reader.finish(),
            event => event,
        };
        match event {
            Ok(Some(event)) => {
                self.has_event = true;
                StreamRead::Event(event)
            }
            Ok(None) if self.has_ended => StreamRead::End,
            Ok(None) => StreamRead::Pending,
            Err(malformed) if self.leniency.accepts(malformed.error) => {
                StreamRead::Event(StreamEvent {
                    id: self.reader.last_id(),
                    bytes: malformed.bytes,
                })
            }
            Err(malformed) => {
                self.report(&malformed);
                StreamRead::Failed(malformed.to_string())
            }
        }
    }

    /// Logs and counts what is no event.
    fn report(&self, malformed: &MalformedEvent) {
        let malformed_stream = MalformedStream {
            request: &self.origin.request,
            server: &self.origin.server,
            framing: self.response.framing(),
            place: self.place(),
            last_event: self.reader.last_event(),
            malformed,
        };
        malformed_stream.report(&self.shared.metrics);
    }

    /// Where the stream is.
    fn place(&self) -> StreamPlace {
        match (self.has_event, self.origin.is_takeover) {
            (true, _) if self.has_ended => StreamPlace::End,
            (true, _) => StreamPlace::Middle,
            (false, true) => StreamPlace::AfterTakeover,
            (false, false) => StreamPlace::First,
        }
    }

    /// Waits for more bytes for at most `timeout`, and returns the next event of what has come.
    pub(super) fn read(&mut self, timeout: Duration, client: &ClientConnection) -> StreamRead {
        match self.response.read_chunk(timeout, Some(client)) {
            BodyRead::Data(bytes) => {
                if let Err(no_room) = self.reserve(bytes.len(), client) {
                    return StreamRead::NoRoom(no_room);
                }
                self.reader.push(&bytes);
            }
            BodyRead::TimedOut => return StreamRead::TimedOut,
            BodyRead::End => self.has_ended = true,
            BodyRead::Truncated(why) => return StreamRead::Failed(why),
            BodyRead::ClientDisconnected => return StreamRead::ClientDisconnected,
        }
        self.next_event()
    }

    /// Holds what the current event takes with these further bytes, twice: the buffer grows by doubling.
    fn reserve(&mut self, bytes: usize, client: &ClientConnection) -> Result<(), NoRoom> {
        while self.reserved < 2 * (self.reader.pending_bytes() + bytes) {
            client.reserve(EVENT_STEP_BYTES as u64)?;
            self.reserved += EVENT_STEP_BYTES;
        }
        Ok(())
    }

    /// Returns the connection to the pool, and the comments and blank lines behind the last event.
    pub(super) fn release(mut self) -> Bytes {
        self.response.release();
        self.reader.take_trailer()
    }
}
