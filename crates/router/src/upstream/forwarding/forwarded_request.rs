//! One forwarded call, from its first attempt to its response.

use super::attempt::{Attempt, ResponseStart, ServerResponse};
use super::relay::RelayedStream;
use super::{Forwarder, Mutant};
use crate::admin::metrics::Metrics;
use crate::control::node::Rejection;
use crate::dialect::Call;
use crate::request::attempts::AttemptOutput;
use crate::request::state_machine::Failure;
use crate::upstream::dispatch::{AttemptError, DispatchOutcome, Dispatcher, unknown_outcome};
use placement::Outcome;
use std::sync::Arc;
use transport::{ClientConnection, Response};
use types::{Milliseconds, MonotonicInstant};

/// Statuses by which a response promises that the request was not run. A server that may have run it can't promise
/// that through this node.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A call that was admitted.
pub(super) struct ForwardedRequest {
    pub forwarder: Arc<Forwarder>,
    pub call: Call,
    pub dispatcher: Dispatcher,
    pub is_stream: bool,
    /// The latency target of the first chunk.
    pub first_chunk_target: Milliseconds,
    /// The latency target between two chunks.
    pub gap_target: Milliseconds,
    pub urgency: u8,
    pub client: ClientConnection,
    pub deadline: MonotonicInstant,
    /// The number of the last event that the client has.
    pub last_event: Option<u64>,
    /// A server's own response that stands for a failure.
    pub server_failure: Option<Box<ServerResponse>>,
}

impl ForwardedRequest {
    /// Dispatches the call and makes the client's response of what came of it.
    pub(super) fn respond(mut self, first: AttemptOutput) -> Response {
        match self.dispatch(first) {
            DispatchOutcome::Accepted(_, start) => self.relay(start),
            DispatchOutcome::Rejected(rejection) => self.finish_rejected(&rejection),
            DispatchOutcome::Aborted(why) => self
                .forwarder
                .reject(Some(&self.call.id), &unknown_outcome(why)),
        }
    }

    /// Phase "relay": a stream is relayed event by event, any other response as a whole.
    fn relay(self, start: ResponseStart) -> Response {
        let head = match &start {
            ResponseStart::Complete(response, _) => response.head(),
            ResponseStart::Stream(stream, _) => stream.head(),
        };
        let status = head.status.as_u16();
        let headers = self.forwarder.dialect.passed(head);
        match start {
            ResponseStart::Complete(response, body) => {
                response.release();
                self.report_outcome(Outcome::Complete);
                Metrics::more(&self.forwarder.shared.metrics.complete);
                Response::forwarded(status, headers, body)
            }
            ResponseStart::Stream(stream, first_event) => {
                let source = RelayedStream::new(self, stream, first_event);
                Response::forwarded_stream(status, headers, Box::new(source))
            }
        }
    }

    /// Phase "finish" after a rejection. A failure that a server owned up to is returned in the server's own words.
    fn finish_rejected(&mut self, rejection: &Rejection) -> Response {
        let is_refusal = rejection.code.is_refusal();
        let server_failure = self
            .server_failure
            .take()
            .filter(|response| !is_refusal && !NOT_RUN_STATUSES.contains(&response.0));
        match server_failure {
            Some(response) => {
                let (status, headers, body) = *response;
                Response::forwarded(status, headers, body)
            }
            None => self.forwarder.reject(Some(&self.call.id), rejection),
        }
    }

    /// Reports the outcome of the current attempt to the scheduler.
    pub(super) fn report_outcome(&self, outcome: Outcome) {
        self.forwarder.shared.report_outcome(&self.call.id, outcome);
    }

    /// Finds a server that accepts the call.
    pub(super) fn dispatch(&mut self, first: AttemptOutput) -> DispatchOutcome<ResponseStart> {
        let forwarder = &self.forwarder;
        let attempt = Attempt {
            forwarder,
            call: &self.call,
            is_stream: self.is_stream,
            first_chunk_target: self.first_chunk_target,
            urgency: self.urgency,
            client: &self.client,
            deadline: self.deadline,
            last_event: if forwarder.is_mutant(Mutant::ResumeFromStart) {
                self.call.after
            } else {
                self.last_event
            },
        };
        let server_failure = &mut self.server_failure;
        self.dispatcher.dispatch(first, |placement, request_state| {
            attempt.send(placement, request_state).map_err(|failure| {
                let AttemptError::Failed(kind, why) = failure.error else {
                    return failure.error;
                };
                *server_failure = failure.response;
                let is_repeated = forwarder.is_mutant(Mutant::RepeatAnything);
                let kind = if is_repeated { Failure::Refused } else { kind };
                AttemptError::Failed(kind, why)
            })
        })
    }
}
