//! Forwards a call by its route: to a server that the scheduler chooses, and the answer back. A stream that may
//! be taken up goes on at another server inside the same answer.

pub(crate) mod detached;

use crate::admin::metrics::Metrics;
use crate::control::node::{NodeInput, Placement, Rejection};
use crate::dialect::{Call, CallDialect, Sending};
use crate::downstream::authentication::authorize;
use crate::request::attempts::{AttemptInput, AttemptOutput};
use crate::request::state_machine::{Failure, RequestInput, RequestStateMachine};
use crate::shared::Shared;
use crate::upstream::dispatch::{Gone, NotTaken, Trip, Wanted};
use crate::upstream::event_splitter::{EventSplitter, StreamEvent};
use crate::upstream::response_validation::{AnswerIdentity, AnswerPlace, ResponseValidation};
use bytes::Bytes;
use config::{RouteKind, ServiceKind};
use placement::{Event, Outcome, RequestCost};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use transport::{
    BodyChunk, BodyRead, BodySource, ClientConnection, ConnectionError, ConnectionPool,
    PooledResponse, Request, Response, SendOptions,
};
use types::{Clock, Milliseconds, MonotonicInstant, RequestId, ResultCode, ServiceName};

/// What forwarding threads share.
pub(crate) struct Forwarder {
    pub shared: Arc<Shared>,
    pub dialect: Arc<dyn CallDialect>,
    pub lines: ConnectionPool,
    #[cfg(test)]
    pub mutant: Option<Mutant>,
}

/// A deliberate fault, by which the tests show that they see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// What may have run goes to another server all the same.
    RepeatAnything,
    /// An answer to another call, or without the mark, is taken for one to this.
    PassForeign,
    /// A refusal without an id is believed wherever it stands.
    BelieveUnnamed,
    /// Whether a newer epoch is in force is not asked right before the send.
    ForgetEpoch,
    /// A stream that broke ends as if it were whole.
    EndTorn,
    /// A torn stream is taken up at its first event.
    ResumeFromStart,
}

/// A connection to a server comes up within this, or it's tried elsewhere.
const CONNECT: Milliseconds = Milliseconds(250);
/// A whole answer is no longer than this.
const ANSWER_MOST: usize = 8 << 20;
/// A server that is this late with a first piece may be given up for another one.
const OVERDUE: Milliseconds = Milliseconds(300);

/// By these an answer says that the request was not run. A server that may have run it can't say so through us.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// A server's own answer: status, headers, body.
type ServersAnswer = (u16, http::HeaderMap, Bytes);

/// Why an answer to a call can't be had from a server.
struct Failed {
    failure: Failure,
    why: String,
    /// The server's own answer, to be passed on if no other server is asked.
    answer: Option<Box<ServersAnswer>>,
}

/// The beginning of a server's answer.
struct Opening {
    line: PooledResponse,
    /// Events that came with it.
    splitter: EventSplitter,
    first: Option<StreamEvent>,
    body: Bytes,
    has_ended: bool,
}

impl Forwarder {
    /// Answers a client's request.
    pub fn respond(self: &Arc<Self>, request: Request) -> Response {
        let arrived = Clock::now();
        self.shared
            .arrived
            .store(arrived.0, std::sync::atomic::Ordering::Relaxed);
        let client = request.client.clone();
        Metrics::more(&self.shared.metrics.received);
        let call = match self.dialect.read(request) {
            Ok(call) => call,
            Err(rejection) => return self.refuse(None, &rejection),
        };
        let deny = |code: ResultCode, why: &str, after: u64| {
            let rejection = Rejection {
                code,
                why: why.to_owned(),
                retry_after: Milliseconds(after),
            };
            self.refuse(Some(&call.id), &rejection)
        };
        let Some(plan) = self
            .shared
            .plan_in_force()
            .filter(|_| self.shared.may_act())
        else {
            return deny(ResultCode::NotReady, "this node may not act", 300);
        };
        let Some(route) = plan.routes.route(&call.host, call.path()) else {
            return deny(
                ResultCode::UnknownService,
                "no accepted plan has a route for this",
                0,
            );
        };
        let credentials = match authorize(&plan.tenants, route.public, call.api_key.as_ref()) {
            Ok(credentials) => credentials,
            Err(rejection) => return self.refuse(Some(&call.id), &rejection),
        };
        let key = u64::from_be_bytes(
            blake3::hash(call.id.as_str().as_bytes()).as_bytes()[..8]
                .try_into()
                .unwrap_or_default(),
        );
        let Some(service) = route.service_for(key).map(ServiceName::from) else {
            return deny(ResultCode::UnknownService, "the route leads nowhere", 0);
        };
        let left = Milliseconds(call.left.0.min(route.deadline_ms));
        if !self.shared.ends_in_time(arrived + left) {
            return deny(
                ResultCode::Draining,
                "this node stops before that must have ended; another takes it",
                0,
            );
        }
        let Some(place) = self
            .shared
            .take_place(call.id.clone(), self.shared.next_number())
        else {
            return deny(
                ResultCode::Busy,
                "this node is at its bound of requests",
                200,
            );
        };
        let priority = credentials
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority);
        let request_cost = RequestCost {
            rank: priority as u8,
            target: Milliseconds(route.target_ms),
            deadline: left,
            ..call.request_cost.clone()
        };
        let urgency = request_cost.urgency();
        let does_stream = route.kind == RouteKind::Stream;
        let kind = if does_stream {
            ServiceKind::Stream
        } else {
            ServiceKind::Fetch
        };
        let hashes = call.hashes.clone();
        let key = credentials.map(|tenant| tenant.key);
        let wanted = Wanted {
            service,
            kind,
            route: Some(route.name.clone()),
            key,
            hashes,
            request_cost,
        };
        let (trip, first) = Trip::new(place, wanted, Some(route.max_tries as u32));
        let way = Way {
            forwarder: self.clone(),
            does_stream,
            target: Milliseconds(route.target_ms),
            gap: Milliseconds(route.gap_target_ms),
            urgency,
            client,
            deadline: arrived + left,
            last: call.after,
            call,
            trip,
            answer: None,
        };
        way.respond(first)
    }

    #[cfg(test)]
    fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }
    #[cfg(not(test))]
    const fn is_mutant(&self, _: Mutant) -> bool {
        false
    }

    fn refuse(&self, id: Option<&RequestId>, rejection: &Rejection) -> Response {
        self.shared.metrics.refuse(rejection.code);
        self.dialect.refuse(id, rejection)
    }
}

/// One call on its way.
struct Way {
    forwarder: Arc<Forwarder>,
    call: Call,
    trip: Trip,
    does_stream: bool,
    target: Milliseconds,
    gap: Milliseconds,
    urgency: u8,
    client: ClientConnection,
    deadline: MonotonicInstant,
    /// The last piece that the client has.
    last: Option<u64>,
    /// A server's own answer that stands for a failure.
    answer: Option<Box<ServersAnswer>>,
}

impl Way {
    fn respond(mut self, first: AttemptOutput) -> Response {
        let (placing, opening) = match self.go(first) {
            Gone::RecoveredStorage(placing, opening) => (placing, opening),
            Gone::Told(rejection) => {
                // A failure that a server owned up to is the server's to tell.
                let is_refusal = rejection.code.is_refusal();
                return match self
                    .answer
                    .take()
                    .filter(|answer| !is_refusal && !PROMISES.contains(&answer.0))
                {
                    Some(answer) => {
                        let (status, headers, body) = *answer;
                        Response::forwarded(status, headers, body)
                    }
                    None => self.forwarder.refuse(Some(&self.call.id), &rejection),
                };
            }
            Gone::Cut(why) => {
                let rejection = Rejection {
                    code: ResultCode::Unknown,
                    why,
                    retry_after: Milliseconds(0),
                };
                return self.forwarder.refuse(Some(&self.call.id), &rejection);
            }
        };
        let head = opening.line.head();
        let status = head.status.as_u16();
        let headers = self.forwarder.dialect.passed(head);
        if self.does_stream {
            let source = CarriedStream {
                way: self,
                placing,
                opening: Some(opening),
                ready: VecDeque::new(),
                has_first: false,
                is_over: false,
                last_bytes: Clock::now(),
            };
            Response::forwarded_stream(status, headers, Box::new(source))
        } else {
            let body = opening.body.clone();
            opening.line.release();
            self.ended(Outcome::Complete);
            Metrics::more(&self.forwarder.shared.metrics.complete);
            Response::forwarded(status, headers, body)
        }
    }

    fn ended(&self, outcome: Outcome) {
        self.forwarder.shared.tell_ended(&self.call.id, outcome);
    }

    fn go(&mut self, first: AttemptOutput) -> Gone<Opening> {
        let Way {
            forwarder,
            call,
            trip,
            does_stream,
            target,
            urgency,
            client,
            deadline,
            last,
            answer,
            ..
        } = self;
        let asking = Asking {
            forwarder,
            call,
            does_stream: *does_stream,
            target: *target,
            urgency: *urgency,
            client,
            deadline: *deadline,
            last: if forwarder.is_mutant(Mutant::ResumeFromStart) {
                call.after
            } else {
                *last
            },
        };
        trip.go(first, |placing, request_state| {
            asking
                .ask(placing, request_state)
                .map_err(|not_taken| match not_taken {
                    Ok(failed) => {
                        *answer = failed.answer;
                        let is_repeated = forwarder.is_mutant(Mutant::RepeatAnything);
                        NotTaken::Failed(
                            if is_repeated {
                                Failure::Refused
                            } else {
                                failed.failure
                            },
                            failed.why,
                        )
                    }
                    Err(other) => other,
                })
        })
    }
}

/// What asking a server for a call needs.
struct Asking<'a> {
    forwarder: &'a Arc<Forwarder>,
    call: &'a Call,
    does_stream: bool,
    target: Milliseconds,
    urgency: u8,
    client: &'a ClientConnection,
    deadline: MonotonicInstant,
    last: Option<u64>,
}

impl Asking<'_> {
    /// Asks one server, up to the first piece of its answer, or the whole of it.
    fn ask(
        &self,
        placing: &Placement,
        request_state: &RequestStateMachine,
    ) -> Result<Opening, Result<Failed, NotTaken>> {
        let fail = |failure: Failure, why: String| {
            Ok(Failed {
                failure,
                why: format!("server {}: {why}", placing.server),
                answer: None,
            })
        };
        let now = Clock::now();
        let left = now.until(self.deadline);
        if left.0 == 0 {
            return Err(fail(Failure::Unsent, "the deadline has passed".into()));
        }
        let Ok(address) = placing.address.parse::<SocketAddr>() else {
            return Err(fail(
                Failure::Unsent,
                format!("`{}` is no address", placing.address),
            ));
        };
        let (server, access) = (&placing.server, &placing.access);
        let sending = Sending {
            server,
            left,
            after: self.last,
            urgency: self.urgency,
            access,
        };
        let request = self.forwarder.dialect.request(self.call, &sending);
        // Where another server may take it up, a silent one is not waited for until the deadline.
        let patience = Milliseconds(placing.expected.0 * 2 + self.target.0).max(OVERDUE);
        let opened_by = if request_state.may_go_on() {
            self.deadline.min(now + patience)
        } else {
            self.deadline
        };
        let shared = &self.forwarder.shared;
        let forgets_epoch = self.forwarder.is_mutant(Mutant::ForgetEpoch);
        let may_leave = || {
            if forgets_epoch {
                shared.may_act()
            } else {
                shared.may_leave(placing.epoch)
            }
        };
        let waits = SendOptions {
            connect_timeout: CONNECT,
            head_deadline: opened_by,
            may_send: &may_leave,
            client: Some(self.client),
        };
        let mut line = self
            .forwarder
            .lines
            .send_request(address, request, &waits)
            .map_err(|fault| not_taken(fault, placing))?;
        self.note_load(placing, line.head());
        match self.judge(&line) {
            ResponseValidation::Taken => {}
            ResponseValidation::NotRun => {
                self.drain(&mut line)
                    .map(|_| line.release())
                    .unwrap_or_default();
                return Err(fail(Failure::Refused, "it did not run it".into()));
            }
            ResponseValidation::Elsewhere => {
                self.forwarder.lines.close_idle(address);
                return Err(Err(NotTaken::Elsewhere(format!(
                    "server {} has left its address",
                    placing.server
                ))));
            }
            ResponseValidation::Failed => {
                let (status, headers) = (
                    line.head().status.as_u16(),
                    self.forwarder.dialect.passed(line.head()),
                );
                let mut failed = fail(Failure::Unknown, format!("it answered {status}"));
                if let (Some(body), Ok(failed)) = (self.drain(&mut line), &mut failed) {
                    line.release();
                    failed.answer = Some(Box::new((status, headers, body)));
                }
                return Err(failed);
            }
            ResponseValidation::Foreign if self.forwarder.is_mutant(Mutant::PassForeign) => {}
            ResponseValidation::Foreign => {
                return Err(fail(Failure::Unknown, "that was no answer to this".into()));
            }
        }
        if !self.does_stream {
            let body = line
                .read_all(self.deadline, ANSWER_MOST, Some(self.client))
                .map_err(|fault| not_taken(fault, placing))?;
            return Ok(Opening {
                line,
                splitter: EventSplitter::default(),
                first: None,
                body,
                has_ended: true,
            });
        }
        let mut splitter = EventSplitter::default();
        loop {
            let patience = Clock::now().until(opened_by);
            if patience.0 == 0 {
                return Err(fail(Failure::Unknown, "no piece came in time".into()));
            }
            match line.read_chunk(patience.duration(), Some(self.client)) {
                BodyRead::Data(bytes) => splitter.push(&bytes),
                BodyRead::TimedOut => {}
                BodyRead::End => {
                    return Ok(Opening {
                        line,
                        splitter,
                        first: None,
                        body: Bytes::new(),
                        has_ended: true,
                    });
                }
                BodyRead::Truncated(why) => return Err(fail(Failure::Unknown, why)),
                BodyRead::ClientDisconnected => return Err(Err(NotTaken::ClientGone)),
            }
            if let Some(event) = splitter.next_event() {
                return Ok(Opening {
                    line,
                    splitter,
                    first: Some(event),
                    body: Bytes::new(),
                    has_ended: false,
                });
            }
        }
    }

    fn judge(&self, line: &PooledResponse) -> ResponseValidation {
        let (dialect, head) = (&self.forwarder.dialect, line.head());
        let is_sole = line.is_sole_response() || self.forwarder.is_mutant(Mutant::BelieveUnnamed);
        let place = if is_sole {
            AnswerPlace::Sole
        } else {
            AnswerPlace::Doubtful
        };
        let (identity, claim) = (dialect.identity(self.call, head), dialect.claim(head));
        if identity == AnswerIdentity::Missing {
            tracing::debug!(
                "forward: {} without an id says {claim:?}, {place:?}.",
                head.status
            );
        }
        ResponseValidation::of(identity, claim, place)
    }

    fn drain(&self, line: &mut PooledResponse) -> Option<Bytes> {
        line.read_all(
            self.deadline.min(Clock::now() + Milliseconds(500)),
            64 << 10,
            Some(self.client),
        )
        .ok()
    }

    fn note_load(&self, placing: &Placement, head: &http::response::Parts) {
        if let Some(load) = self.forwarder.dialect.load(head) {
            self.forwarder.shared.tell(NodeInput::Event(Event::Load {
                server: placing.server.clone(),
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

fn not_taken(fault: ConnectionError, placing: &Placement) -> Result<Failed, NotTaken> {
    let fail = |failure: Failure, why: String| {
        Ok(Failed {
            failure,
            why: format!("server {}: {why}", placing.server),
            answer: None,
        })
    };
    match fault {
        ConnectionError::NotSent(why) => fail(Failure::Unsent, why),
        ConnectionError::PoolExhausted => {
            fail(Failure::Unsent, "all connections to it are taken".into())
        }
        ConnectionError::Withheld => Err(NotTaken::Withheld),
        ConnectionError::ClientDisconnected => Err(NotTaken::ClientGone),
        ConnectionError::TimedOut(why) | ConnectionError::OutcomeUnknown(why) => {
            fail(Failure::Unknown, why)
        }
    }
}

/// The client's side of a stream that is carried.
///
/// Invariant: only whole events are given, each behind the last one; once it broke and no other server
/// takes it up, it's cut.
struct CarriedStream {
    way: Way,
    placing: Placement,
    opening: Option<Opening>,
    ready: VecDeque<Bytes>,
    has_first: bool,
    is_over: bool,
    last_bytes: MonotonicInstant,
}

impl CarriedStream {
    /// Lines up an event for the client, unless it has it already.
    fn take(&mut self, event: StreamEvent) {
        let is_old = event
            .id
            .is_some_and(|id| self.way.last.is_some_and(|last| id <= last));
        if is_old && !self.way.forwarder.is_mutant(Mutant::ResumeFromStart) {
            return;
        }
        self.way.last = event.id.or(self.way.last);
        if !std::mem::replace(&mut self.has_first, true) {
            self.way
                .forwarder
                .shared
                .tell(NodeInput::Event(Event::FirstToken {
                    request: self.way.call.id.clone(),
                }));
        }
        self.way.trip.attempts.carried(RequestInput::Give);
        self.ready.push_back(event.bytes);
    }

    /// The server broke off, or fell silent: what follows is taken up elsewhere, if it may be.
    fn tear(&mut self, why: String) -> BodyChunk {
        self.opening = None;
        self.way.ended(Outcome::Failed);
        let output = self.way.trip.attempts.step(AttemptInput::Tear(why));
        let gone = match output {
            AttemptOutput::Cut(why) => Gone::Cut(why),
            other => self.way.go(other),
        };
        match gone {
            Gone::RecoveredStorage(placing, opening) => {
                Metrics::more(&self.way.forwarder.shared.metrics.resumed);
                self.placing = placing;
                self.opening = Some(opening);
                self.has_first = false;
                self.last_bytes = Clock::now();
                BodyChunk::Pending
            }
            Gone::Told(rejection) => self.cut(&rejection.why),
            Gone::Cut(why) => self.cut(&why),
        }
    }

    fn cut(&mut self, why: &str) -> BodyChunk {
        tracing::debug!(
            "forward: {} {}: {why}.",
            ResultCode::Broken,
            self.way.call.id
        );
        self.is_over = true;
        Metrics::more(&self.way.forwarder.shared.metrics.broken);
        if self.way.forwarder.is_mutant(Mutant::EndTorn) {
            BodyChunk::End
        } else {
            BodyChunk::Abort
        }
    }
}

impl BodySource for CarriedStream {
    /// The client is watched together with the server.
    fn chunk_timeout(&self) -> Duration {
        Duration::from_secs(5)
    }

    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(bytes) = self.ready.pop_front() {
            return BodyChunk::Data(bytes);
        }
        if self.is_over {
            return BodyChunk::End;
        }
        let Some(opening) = &mut self.opening else {
            return self.cut("nothing to read on");
        };
        if let Some(event) = opening
            .first
            .take()
            .or_else(|| opening.splitter.next_event())
        {
            self.take(event);
            return self
                .ready
                .pop_front()
                .map_or(BodyChunk::Pending, BodyChunk::Data);
        }
        if opening.has_ended {
            let rest = opening.splitter.rest();
            if let Some(opening) = self.opening.take() {
                opening.line.release();
            }
            self.is_over = true;
            self.way.trip.attempts.carried(RequestInput::Finish);
            self.way.ended(Outcome::Complete);
            Metrics::more(&self.way.forwarder.shared.metrics.complete);
            return if rest.is_empty() {
                BodyChunk::End
            } else {
                BodyChunk::Data(rest)
            };
        }
        let now = Clock::now();
        if now >= self.way.deadline {
            self.way.ended(Outcome::Cancelled);
            return self.cut("the deadline has passed");
        }
        // A server that fell silent in mid-stream is left where another may take the stream up.
        let silent_from = self.last_bytes + Milliseconds(self.way.gap.0.max(400) * 4);
        let may_go_on = self.way.trip.attempts.request_state().may_go_on();
        if now >= silent_from && may_go_on {
            return self.tear("it fell silent in mid-stream".into());
        }
        let Some(opening) = &mut self.opening else {
            return BodyChunk::Pending;
        };
        let deadline = if may_go_on {
            silent_from.min(self.way.deadline)
        } else {
            self.way.deadline
        };
        let timeout = timeout.min(now.until(deadline).duration());
        match opening.line.read_chunk(timeout, Some(&self.way.client)) {
            BodyRead::Data(bytes) => {
                opening.splitter.push(&bytes);
                self.last_bytes = Clock::now();
                match opening.splitter.next_event() {
                    Some(event) => {
                        self.take(event);
                        self.ready
                            .pop_front()
                            .map_or(BodyChunk::Pending, BodyChunk::Data)
                    }
                    None => BodyChunk::Pending,
                }
            }
            BodyRead::TimedOut => BodyChunk::Pending,
            BodyRead::End => {
                opening.has_ended = true;
                BodyChunk::Pending
            }
            BodyRead::Truncated(why) => self.tear(why),
            BodyRead::ClientDisconnected => {
                self.way.ended(Outcome::Cancelled);
                self.cut("the client has gone")
            }
        }
    }
}

impl Drop for CarriedStream {
    fn drop(&mut self) {
        if !self.is_over {
            // The client has gone; closing the line frees its server.
            self.way.ended(Outcome::Cancelled);
            Metrics::more(&self.way.forwarder.shared.metrics.gone);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
