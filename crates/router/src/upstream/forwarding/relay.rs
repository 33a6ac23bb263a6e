//! Phases "relay" and "retry" of a forwarded stream: the client's side of it.

use super::Mutant;
use super::attempt::ResponseStart;
use super::forwarded_request::ForwardedRequest;
use super::server_stream::{ServerStream, StreamRead};
use crate::admin::metrics::Metrics;
use crate::control::node::NodeInput;
use crate::request::attempts::{AttemptInput, AttemptOutput};
use crate::request::state_machine::RequestInput;
use crate::upstream::dispatch::DispatchOutcome;
use crate::upstream::event_reader::StreamEvent;
use placement::{Event, Outcome};
use std::time::Duration;
use transport::{BodyChunk, BodySource};
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// How long one read may wait, since the client is watched together with the server.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// A gap between chunks is measured against at least this latency target.
const MIN_GAP_TARGET: Milliseconds = Milliseconds(400);
/// Where no place is granted to take a stalled stream over, one is asked for again after this.
const TAKEOVER_PERIOD: Milliseconds = Milliseconds(400);
/// A server whose gap is so many times its latency target has stalled.
const STALL_FACTOR: u64 = 4;

/// The client's side of a relayed stream.
///
/// Invariant: only complete events are relayed, each after the last one; once the stream broke and no other server
/// takes it over, it is aborted.
pub(super) struct RelayedStream {
    request: ForwardedRequest,
    stream: Option<ServerStream>,
    /// The first event of the current server, until it is relayed.
    first_event: Option<StreamEvent>,
    /// Whether the current server has given an event that is new to the client.
    has_first: bool,
    is_over: bool,
    last_read: MonotonicInstant,
    /// Before this no place is asked for again to take the stream over.
    next_takeover_at: MonotonicInstant,
}

impl RelayedStream {
    pub(super) fn new(
        request: ForwardedRequest,
        stream: ServerStream,
        first_event: Option<StreamEvent>,
    ) -> RelayedStream {
        RelayedStream {
            request,
            stream: Some(stream),
            first_event,
            has_first: false,
            is_over: false,
            last_read: Clock::now(),
            next_takeover_at: MonotonicInstant(0),
        }
    }

    /// Passes an event on to the client.
    fn pass(&mut self, event: StreamEvent) -> BodyChunk {
        let request = &mut self.request;
        request.last_event = Some(event.id);
        if !std::mem::replace(&mut self.has_first, true) {
            let first_token = Event::FirstToken {
                request: request.call.id.clone(),
            };
            request
                .forwarder
                .shared
                .notify_control(NodeInput::Event(first_token));
        }
        request.dispatcher.attempts.relay(RequestInput::Relay);
        BodyChunk::Data(event.bytes)
    }

    /// The server's stream has ended completely.
    fn finish(&mut self) -> BodyChunk {
        let Some(stream) = self.stream.take() else {
            return BodyChunk::End;
        };
        let trailer = stream.release();
        self.is_over = true;
        self.request.dispatcher.attempts.relay(RequestInput::Finish);
        self.request.report_outcome(Outcome::Complete);
        Metrics::more(&self.request.forwarder.shared.metrics.complete);
        if trailer.is_empty() {
            BodyChunk::End
        } else {
            BodyChunk::Data(trailer)
        }
    }

    /// The server broke off or sent what is no event: what follows is retried at another server, if it may be.
    fn retry(&mut self, why: String) -> BodyChunk {
        self.request.report_outcome(Outcome::Failed);
        let input = AttemptInput::Interrupt(why);
        let output = self.request.dispatcher.attempts.step(input);
        self.go_on_elsewhere(output)
    }

    /// The server has stalled: another one takes the stream over, if a place there is granted. Else the stream is
    /// read on, since its server may still end it.
    fn seek_takeover(&mut self, now: MonotonicInstant) -> Option<BodyChunk> {
        let why = "it fell silent in mid-stream";
        match self.request.dispatcher.place_takeover(why) {
            Ok(output) => Some(self.go_on_elsewhere(output)),
            Err(rejection) => {
                let request = &self.request.call.id;
                tracing::debug!(%request, code = %rejection.code, reason = rejection.why, "no takeover of a stalled stream");
                self.next_takeover_at = now + TAKEOVER_PERIOD;
                None
            }
        }
    }

    /// Leaves the current server, and does what its failure has led to.
    fn go_on_elsewhere(&mut self, output: AttemptOutput) -> BodyChunk {
        self.stream = None;
        let outcome = match output {
            AttemptOutput::Abort(why) => DispatchOutcome::Aborted(why),
            other => self.request.dispatch(other),
        };
        match outcome {
            DispatchOutcome::Accepted(_, ResponseStart::Stream(stream, first_event)) => {
                Metrics::more(&self.request.forwarder.shared.metrics.resumed);
                self.stream = Some(stream);
                self.first_event = first_event;
                self.has_first = false;
                self.last_read = Clock::now();
                BodyChunk::Pending
            }
            DispatchOutcome::Accepted(_, ResponseStart::Complete(..)) => {
                self.abort("a stream was taken over by what is no stream")
            }
            DispatchOutcome::Rejected(rejection) => self.abort(&rejection.why),
            DispatchOutcome::Aborted(why) => self.abort(&why),
        }
    }

    fn abort(&mut self, reason: &str) -> BodyChunk {
        let request = &self.request.call.id;
        tracing::debug!(code = %ResultCode::Broken, %request, reason, "stream aborted");
        self.is_over = true;
        Metrics::more(&self.request.forwarder.shared.metrics.broken);
        if self.request.forwarder.is_mutant(Mutant::EndTorn) {
            BodyChunk::End
        } else {
            BodyChunk::Abort
        }
    }

    fn cancel(&mut self, reason: &str) -> BodyChunk {
        self.request.report_outcome(Outcome::Cancelled);
        self.abort(reason)
    }

    /// Reads on from the server until the deadline of the call. A server that stalls is left before that, once
    /// another has a place to take the stream over.
    fn read_on(&mut self, timeout: Duration) -> BodyChunk {
        let now = Clock::now();
        let deadline = self.request.deadline;
        if now >= deadline {
            return self.cancel("the deadline has passed");
        }
        let gap = self.request.gap_target.max(MIN_GAP_TARGET);
        let stalled_at = self.last_read + Milliseconds(gap.0 * STALL_FACTOR);
        let may_retry = self.request.dispatcher.attempts.request_state().may_retry();
        if may_retry
            && now >= stalled_at.max(self.next_takeover_at)
            && let Some(chunk) = self.seek_takeover(now)
        {
            return chunk;
        }
        let deadline = if may_retry {
            stalled_at.max(self.next_takeover_at).min(deadline)
        } else {
            deadline
        };
        let timeout = timeout.min(now.until(deadline).duration());
        let Some(stream) = &mut self.stream else {
            return BodyChunk::Pending;
        };
        let read = stream.read(timeout, &self.request.client);
        if !matches!(read, StreamRead::TimedOut) {
            self.last_read = Clock::now();
        }
        self.apply(read)
    }

    fn apply(&mut self, read: StreamRead) -> BodyChunk {
        match read {
            StreamRead::Event(event) => self.pass(event),
            StreamRead::Pending | StreamRead::TimedOut => BodyChunk::Pending,
            StreamRead::End => self.finish(),
            StreamRead::Failed(why) => self.retry(why),
            StreamRead::NoRoom(no_room) => self.cancel(&no_room.to_string()),
            StreamRead::ClientDisconnected => self.cancel("the client has gone"),
        }
    }
}

impl BodySource for RelayedStream {
    fn chunk_timeout(&self) -> Duration {
        CHUNK_TIMEOUT
    }

    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if self.is_over {
            return BodyChunk::End;
        }
        if let Some(event) = self.first_event.take() {
            return self.pass(event);
        }
        let Some(stream) = &mut self.stream else {
            return self.abort("nothing to read on");
        };
        match stream.next_event() {
            StreamRead::Pending => self.read_on(timeout),
            read => self.apply(read),
        }
    }
}

impl Drop for RelayedStream {
    fn drop(&mut self) {
        if !self.is_over {
            // The client has disconnected; closing the connection frees its server.
            self.request.report_outcome(Outcome::Cancelled);
            Metrics::more(&self.request.forwarder.shared.metrics.gone);
        }
    }
}
