//! Phases "relay" and "retry" of a forwarded stream: the client's side of it.

use super::Mutant;
use super::attempt::ResponseStart;
use super::forwarded_request::ForwardedRequest;
use super::malformed_event::{MalformedEvent, StreamPlace};
use crate::admin::metrics::Metrics;
use crate::control::node::NodeInput;
use crate::request::attempts::{AttemptInput, AttemptOutput};
use crate::request::state_machine::RequestInput;
use crate::upstream::dispatch::DispatchOutcome;
use crate::upstream::event_splitter::StreamEvent;
use bytes::Bytes;
use placement::{Event, Outcome};
use std::collections::VecDeque;
use std::time::Duration;
use transport::{BodyChunk, BodyRead, BodySource};
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// How long one read may wait, since the client is watched together with the server.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);
/// A gap between chunks is measured against at least this latency target.
const MIN_GAP_TARGET: u64 = 400;
/// A server whose gap is so many times its latency target has stalled.
const STALL_FACTOR: u64 = 4;

/// The client's side of a relayed stream.
///
/// Invariant: only complete events are relayed, each after the last one; once the stream broke and no other server
/// takes it over, it is aborted.
pub(super) struct RelayedStream {
    request: ForwardedRequest,
    start: Option<ResponseStart>,
    ready: VecDeque<Bytes>,
    /// Whether the current server has given an event that is new to the client.
    has_first: bool,
    is_over: bool,
    last_read: MonotonicInstant,
    has_been_taken_over: bool,
}

impl RelayedStream {
    pub(super) fn new(request: ForwardedRequest, start: ResponseStart) -> RelayedStream {
        RelayedStream {
            request,
            start: Some(start),
            ready: VecDeque::new(),
            has_first: false,
            is_over: false,
            last_read: Clock::now(),
            has_been_taken_over: false,
        }
    }

    /// Logs and counts bytes of the current server's stream that are no event.
    fn report_malformed(&self, start: &ResponseStart, is_end: bool, bytes: &Bytes) {
        let place = match (is_end, self.has_first, self.has_been_taken_over) {
            (true, _, _) => StreamPlace::End,
            (false, true, _) => StreamPlace::Middle,
            (false, false, true) => StreamPlace::AfterTakeover,
            (false, false, false) => StreamPlace::First,
        };
        let malformed = MalformedEvent {
            request: &self.request.call.id,
            server: &start.server,
            framing: start.response.framing(),
            place,
            last_event: self.request.last_event,
            bytes,
        };
        malformed.report(&self.request.forwarder.shared.metrics);
    }

    /// Queues an event for the client, unless it has it already.
    fn queue(&mut self, event: StreamEvent) {
        if let (None, Some(start)) = (event.id, &self.start) {
            self.report_malformed(start, false, &event.bytes);
        }
        let request = &mut self.request;
        let is_old = event
            .id
            .is_some_and(|id| request.last_event.is_some_and(|last| id <= last));
        if is_old && !request.forwarder.is_mutant(Mutant::ResumeFromStart) {
            return;
        }
        request.last_event = event.id.or(request.last_event);
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
        self.ready.push_back(event.bytes);
    }

    fn next_ready(&mut self) -> BodyChunk {
        self.ready
            .pop_front()
            .map_or(BodyChunk::Pending, BodyChunk::Data)
    }

    /// The server's stream has ended completely.
    fn finish(&mut self) -> BodyChunk {
        let Some(mut start) = self.start.take() else {
            return BodyChunk::End;
        };
        let rest = start.splitter.rest();
        if !rest.is_empty() {
            self.report_malformed(&start, true, &rest);
        }
        start.response.release();
        self.is_over = true;
        self.request.dispatcher.attempts.relay(RequestInput::Finish);
        self.request.report_outcome(Outcome::Complete);
        Metrics::more(&self.request.forwarder.shared.metrics.complete);
        if rest.is_empty() {
            BodyChunk::End
        } else {
            BodyChunk::Data(rest)
        }
    }

    /// The server broke off or stalled: what follows is retried at another server, if it may be.
    fn retry(&mut self, why: String) -> BodyChunk {
        self.start = None;
        self.request.report_outcome(Outcome::Failed);
        let input = AttemptInput::Interrupt(why);
        let outcome = match self.request.dispatcher.attempts.step(input) {
            AttemptOutput::Abort(why) => DispatchOutcome::Aborted(why),
            other => self.request.dispatch(other),
        };
        match outcome {
            DispatchOutcome::Accepted(_, start) => {
                Metrics::more(&self.request.forwarder.shared.metrics.resumed);
                self.start = Some(start);
                self.has_first = false;
                self.has_been_taken_over = true;
                self.last_read = Clock::now();
                BodyChunk::Pending
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

    /// Reads on from the server until the deadline of the call. A server that stalls is left before that, where
    /// another may take the stream over.
    fn read_on(&mut self, timeout: Duration) -> BodyChunk {
        let now = Clock::now();
        let deadline = self.request.deadline;
        if now >= deadline {
            return self.cancel("the deadline has passed");
        }
        let gap = self.request.gap_target.0.max(MIN_GAP_TARGET);
        let stalled_at = self.last_read + Milliseconds(gap * STALL_FACTOR);
        let may_retry = self.request.dispatcher.attempts.request_state().may_retry();
        if now >= stalled_at && may_retry {
            return self.retry("it fell silent in mid-stream".into());
        }
        let deadline = if may_retry {
            stalled_at.min(deadline)
        } else {
            deadline
        };
        self.read_chunk(timeout.min(now.until(deadline).duration()))
    }

    fn read_chunk(&mut self, timeout: Duration) -> BodyChunk {
        let Some(start) = &mut self.start else {
            return BodyChunk::Pending;
        };
        match start
            .response
            .read_chunk(timeout, Some(&self.request.client))
        {
            BodyRead::Data(bytes) => {
                start.splitter.push(&bytes);
                self.last_read = Clock::now();
                if let Some(event) = start.splitter.next_event() {
                    self.queue(event);
                }
                self.next_ready()
            }
            BodyRead::TimedOut => BodyChunk::Pending,
            BodyRead::End => {
                start.has_ended = true;
                BodyChunk::Pending
            }
            BodyRead::Truncated(why) => self.retry(why),
            BodyRead::ClientDisconnected => self.cancel("the client has gone"),
        }
    }
}

impl BodySource for RelayedStream {
    fn chunk_timeout(&self) -> Duration {
        CHUNK_TIMEOUT
    }

    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(bytes) = self.ready.pop_front() {
            return BodyChunk::Data(bytes);
        }
        if self.is_over {
            return BodyChunk::End;
        }
        let Some(start) = &mut self.start else {
            return self.abort("nothing to read on");
        };
        let event = start
            .first_event
            .take()
            .or_else(|| start.splitter.next_event());
        if let Some(event) = event {
            self.queue(event);
            return self.next_ready();
        }
        if start.has_ended {
            return self.finish();
        }
        self.read_on(timeout)
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
