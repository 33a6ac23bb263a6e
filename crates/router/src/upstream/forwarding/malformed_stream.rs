//! What is logged and counted of a stream in which a server sent what is no event of it.

use crate::admin::metrics::Metrics;
use crate::upstream::event_reader::MalformedEvent;
use transport::BodyFraming;
use types::{RequestId, ServerName};

/// So many of the bytes are logged at most.
const MAX_LOGGED_BYTES: usize = 48;

/// Where in a server's stream the bytes stood.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StreamPlace {
    /// Before any event of the first server.
    First,
    /// Before any event of a server that took the stream over.
    AfterTakeover,
    /// Behind an event of the same server.
    Middle,
    /// Behind the last event, with the end of the body right after them.
    End,
}

/// A stream that a server has spoiled.
pub(super) struct MalformedStream<'a> {
    pub request: &'a RequestId,
    pub server: &'a ServerName,
    pub framing: BodyFraming,
    pub place: StreamPlace,
    /// The number of the last event that the client has.
    pub last_event: Option<u64>,
    pub malformed: &'a MalformedEvent,
}

impl MalformedStream<'_> {
    /// Logs and counts it.
    pub(super) fn report(&self, metrics: &Metrics) {
        Metrics::more(&metrics.malformed_streams);
        let bytes = &self.malformed.bytes;
        // What a field holds may be a part of an answer, which is no matter of the log.
        let names = bytes.split(|byte| *byte == b':').next().unwrap_or_default();
        let begins = names[..names.len().min(MAX_LOGGED_BYTES)].escape_ascii();
        tracing::warn!(
            request = %self.request,
            server = %self.server,
            framing = ?self.framing,
            place = ?self.place,
            last_event = self.last_event,
            reason = %self.malformed.error,
            length = bytes.len(),
            %begins,
            "stream: a server sent what is no event"
        );
    }
}
