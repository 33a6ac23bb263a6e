//! Phase "send" of a forwarded call: one attempt at one server, up to the first event of its response.

use super::server_stream::{Leniency, ServerStream, StreamOrigin, StreamRead};
use super::{Forwarder, Mutant};
use crate::control::node::{NodeInput, Placement};
use crate::dialect::{Call, Sending};
use crate::request::state_machine::{Failure, RequestStateMachine};
use crate::upstream::dispatch::AttemptError;
use crate::upstream::event_reader::StreamEvent;
use crate::upstream::response_validation::{AnswerIdentity, AnswerPlace, ResponseValidation};
use bytes::Bytes;
use placement::Event;
use std::net::SocketAddr;
use std::sync::Arc;
use transport::{ClientConnection, ConnectionError, PooledResponse, SendOptions};
use types::{Clock, Milliseconds, MonotonicInstant};

/// A connection to a server is established within this, or another server is tried.
const CONNECT_TIMEOUT: Milliseconds = Milliseconds(250);
/// A complete response has at most so many bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// A server that is this late with its first chunk may be given up for another one.
const MIN_FIRST_CHUNK_TIMEOUT: Milliseconds = Milliseconds(300);
/// The body of a failure is read for this long, to be returned or to free the connection.
const FAILURE_BODY_TIMEOUT: Milliseconds = Milliseconds(500);
/// The body of a failure has at most so many bytes.
const MAX_FAILURE_BYTES: usize = 64 << 10;

/// A server's own response: status, headers, body.
pub(super) type ServerResponse = (u16, http::HeaderMap, Bytes);

/// Why an attempt failed.
pub(super) struct SendFailure {
    pub error: AttemptError,
    /// The server's own response, to be returned if no other server is tried.
    pub response: Option<Box<ServerResponse>>,
}

impl From<AttemptError> for SendFailure {
    fn from(error: AttemptError) -> Self {
        SendFailure {
            error,
            response: None,
        }
    }
}

/// A server's response, as far as it is read before the client's response begins.
pub(super) enum ResponseStart {
    /// A complete one.
    Complete(PooledResponse, Bytes),
    /// A stream, and its first event if it has one.
    Stream(ServerStream, Option<StreamEvent>),
}

/// What the attempts of a call have in common.
pub(super) struct Attempt<'a> {
    pub forwarder: &'a Arc<Forwarder>,
    pub call: &'a Call,
    pub is_stream: bool,
    pub first_chunk_target: Milliseconds,
    pub urgency: u8,
    pub client: &'a ClientConnection,
    pub deadline: MonotonicInstant,
    pub last_event: Option<u64>,
}

impl Attempt<'_> {
    /// Sends the call to one server; returns with the first event of its response, or with the whole of it.
    pub(super) fn send(
        &self,
        placement: &Placement,
        request_state: &RequestStateMachine,
    ) -> Result<ResponseStart, SendFailure> {
        let now = Clock::now();
        let time_left = now.until(self.deadline);
        if time_left.0 == 0 {
            return Err(failed(placement, Failure::Unsent, "the deadline has passed").into());
        }
        let Ok(address) = placement.address.parse::<SocketAddr>() else {
            let why = format!("`{}` is no address", placement.address);
            return Err(failed(placement, Failure::Unsent, &why).into());
        };
        let sending = Sending {
            server: &placement.server,
            left: time_left,
            after: self.last_event,
            urgency: self.urgency,
            access: &placement.access,
        };
        let request = self.forwarder.dialect.request(self.call, &sending);
        let start_deadline = self.start_deadline(now, placement, request_state);
        let response = self.send_fenced(address, request, placement, start_deadline)?;
        let response = self.validate(response, address, placement)?;
        if self.is_stream {
            self.read_first_event(response, placement, start_deadline)
        } else {
            self.read_body(response, placement)
        }
    }

    /// When the response must have begun. Where another server may be tried, a silent one is not waited for until
    /// the deadline of the call.
    fn start_deadline(
        &self,
        now: MonotonicInstant,
        placement: &Placement,
        request_state: &RequestStateMachine,
    ) -> MonotonicInstant {
        if !request_state.may_retry() {
            return self.deadline;
        }
        let expected = Milliseconds(placement.expected.0 * 2 + self.first_chunk_target.0);
        self.deadline
            .min(now + expected.max(MIN_FIRST_CHUNK_TIMEOUT))
    }

    /// Sends the request; right before its first byte the epoch fence is asked.
    fn send_fenced(
        &self,
        address: SocketAddr,
        request: http::Request<Bytes>,
        placement: &Placement,
        head_deadline: MonotonicInstant,
    ) -> Result<PooledResponse, AttemptError> {
        let shared = &self.forwarder.shared;
        let forgets_epoch = self.forwarder.is_mutant(Mutant::ForgetEpoch);
        let may_send = || {
            if forgets_epoch {
                shared.may_act()
            } else {
                shared.may_send(placement.epoch)
            }
        };
        let options = SendOptions {
            connect_timeout: CONNECT_TIMEOUT,
            head_deadline,
            may_send: &may_send,
            client: Some(self.client),
        };
        self.forwarder
            .pool
            .send_request(address, request, &options)
            .map_err(|error| connection_failure(error, placement))
    }

    /// Lets a response through that is the server's success for this call.
    fn validate(
        &self,
        mut response: PooledResponse,
        address: SocketAddr,
        placement: &Placement,
    ) -> Result<PooledResponse, SendFailure> {
        let validation = self.validation(&response);
        if validation.is_of_the_server() {
            self.report_load(placement, response.head());
        }
        match validation {
            ResponseValidation::Taken => Ok(response),
            ResponseValidation::NotRun => {
                if self.read_failure_body(&mut response).is_some() {
                    response.release();
                }
                Err(failed(placement, Failure::Refused, "it did not run it").into())
            }
            ResponseValidation::Elsewhere => {
                self.forwarder.pool.close_idle(address);
                let why = format!("server {} has left its address", placement.server);
                Err(AttemptError::WrongServer(why).into())
            }
            ResponseValidation::Failed => Err(self.server_failure(response, placement)),
            ResponseValidation::Foreign if self.forwarder.is_mutant(Mutant::PassForeign) => {
                Ok(response)
            }
            ResponseValidation::Foreign => {
                Err(failed(placement, Failure::Unknown, "that was no answer to this").into())
            }
        }
    }

    fn validation(&self, response: &PooledResponse) -> ResponseValidation {
        let (dialect, head) = (&self.forwarder.dialect, response.head());
        let is_sole =
            response.is_sole_response() || self.forwarder.is_mutant(Mutant::BelieveUnnamed);
        let place = if is_sole {
            AnswerPlace::Sole
        } else {
            AnswerPlace::Doubtful
        };
        let (identity, claim) = (dialect.identity(self.call, head), dialect.claim(head));
        if identity == AnswerIdentity::Missing {
            tracing::debug!(status = %head.status, ?claim, ?place, "response without a request id");
        }
        ResponseValidation::of(identity, claim, place)
    }

    /// The failure that a server owned up to, with its own response.
    fn server_failure(&self, mut response: PooledResponse, placement: &Placement) -> SendFailure {
        let status = response.head().status.as_u16();
        let headers = self.forwarder.dialect.passed(response.head());
        let error = failed(
            placement,
            Failure::Unknown,
            &format!("it answered {status}"),
        );
        let body = self.read_failure_body(&mut response);
        if body.is_some() {
            response.release();
        }
        SendFailure {
            error,
            response: body.map(|body| Box::new((status, headers, body))),
        }
    }

    fn read_failure_body(&self, response: &mut PooledResponse) -> Option<Bytes> {
        let deadline = self.deadline.min(Clock::now() + FAILURE_BODY_TIMEOUT);
        response
            .read_all(deadline, MAX_FAILURE_BYTES, Some(self.client))
            .ok()
    }

    fn read_body(
        &self,
        mut response: PooledResponse,
        placement: &Placement,
    ) -> Result<ResponseStart, SendFailure> {
        let body = response
            .read_all(self.deadline, MAX_RESPONSE_BYTES, Some(self.client))
            .map_err(|error| connection_failure(error, placement))?;
        Ok(ResponseStart::Complete(response, body))
    }

    fn read_first_event(
        &self,
        response: PooledResponse,
        placement: &Placement,
        deadline: MonotonicInstant,
    ) -> Result<ResponseStart, SendFailure> {
        let origin = StreamOrigin {
            request: self.call.id.clone(),
            server: placement.server.clone(),
            is_takeover: self.last_event != self.call.after,
        };
        let mut stream = ServerStream::new(
            self.forwarder.shared.clone(),
            origin,
            response,
            self.last_event,
            self.leniency(),
        );
        loop {
            let timeout = Clock::now().until(deadline);
            if timeout.0 == 0 {
                return Err(failed(placement, Failure::Unknown, "no piece came in time").into());
            }
            match stream.read(timeout.duration(), self.client) {
                StreamRead::Event(event) => return Ok(ResponseStart::Stream(stream, Some(event))),
                StreamRead::End => return Ok(ResponseStart::Stream(stream, None)),
                StreamRead::Pending | StreamRead::TimedOut => {}
                StreamRead::Failed(why) => {
                    return Err(failed(placement, Failure::Unknown, &why).into());
                }
                StreamRead::NoRoom(no_room) => {
                    let why = no_room.to_string();
                    return Err(failed(placement, Failure::Unknown, &why).into());
                }
                StreamRead::ClientDisconnected => {
                    return Err(AttemptError::ClientDisconnected.into());
                }
            }
        }
    }

    fn leniency(&self) -> Leniency {
        if self.forwarder.is_mutant(Mutant::PassMalformed) {
            Leniency::Malformed
        } else if self.forwarder.is_mutant(Mutant::PassUnterminated) {
            Leniency::Unterminated
        } else {
            Leniency::None
        }
    }

    /// Reports the load that a response head tells to the scheduler.
    fn report_load(&self, placement: &Placement, head: &http::response::Parts) {
        if let Some(load) = self.forwarder.dialect.load(head) {
            self.forwarder
                .shared
                .notify_control(NodeInput::Event(Event::Load {
                    server: placement.server.clone(),
                    incarnation: 0,
                    up: Milliseconds(0),
                    running: load.running,
                    waiting: load.waiting,
                    slots: load.slots,
                    weights: String::new(),
                }));
        }
    }
}

fn failed(placement: &Placement, failure: Failure, why: &str) -> AttemptError {
    AttemptError::Failed(failure, format!("server {}: {why}", placement.server))
}

fn connection_failure(error: ConnectionError, placement: &Placement) -> AttemptError {
    match error {
        ConnectionError::NotSent(why) => failed(placement, Failure::Unsent, &why),
        ConnectionError::PoolExhausted => failed(
            placement,
            Failure::Unsent,
            "all connections to it are taken",
        ),
        ConnectionError::Withheld => AttemptError::Fenced,
        ConnectionError::ClientDisconnected => AttemptError::ClientDisconnected,
        ConnectionError::TimedOut(why) | ConnectionError::OutcomeUnknown(why) => {
            failed(placement, Failure::Unknown, &why)
        }
    }
}
