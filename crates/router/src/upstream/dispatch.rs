//! Dispatches a request: has it placed, sends it, and retries it at other servers as far as its attempts allow.

use crate::admin::metrics::Metrics;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection};
use crate::request::attempts::{AttemptInput, AttemptOutput, AttemptSequence, PlacementRound};
use crate::request::in_flight::InFlightGuard;
use crate::request::resume_token::run_id;
use crate::request::state_machine::{Failure, RequestStateMachine};
use crate::shared::Shared;
use config::ServiceKind;
use placement::{Event, Outcome, RequestCost};
use std::sync::Arc;
use types::{Milliseconds, ResultCode, RunId, ServiceName, random_bytes};

/// Why a server has not accepted a request.
pub(crate) enum AttemptError {
    /// The epoch fence or the lease held it back: nothing that could run was sent.
    Fenced,
    /// The attempt failed in this way, for this reason.
    Failed(Failure, String),
    /// Another server has the address; nothing ran there.
    WrongServer(String),
    /// The client has disconnected.
    ClientDisconnected,
}

/// How a dispatch ended.
pub(crate) enum DispatchOutcome<T> {
    /// A server has accepted the request, and this is the beginning of its response.
    Accepted(Placement, T),
    /// The final rejection.
    Rejected(Rejection),
    /// The client's connection is to be aborted.
    Aborted(String),
}

impl<T> DispatchOutcome<T> {
    /// The accepted request, or the final rejection. Only a stream that was relayed is ever aborted: before that,
    /// nothing is known of a request that ends so.
    pub(crate) fn accepted(self) -> Result<(Placement, T), Rejection> {
        match self {
            DispatchOutcome::Accepted(placement, response) => Ok((placement, response)),
            DispatchOutcome::Rejected(rejection) => Err(rejection),
            DispatchOutcome::Aborted(why) => Err(unknown_outcome(why)),
        }
    }
}

/// The rejection of a request of which nobody knows whether it ran.
pub(crate) fn unknown_outcome(why: String) -> Rejection {
    Rejection::with_reason(ResultCode::Unknown, why, Milliseconds(0))
}

impl PlacementRequest {
    /// The first placement of an admitted request whose client names the service and says nothing more.
    pub(crate) fn for_service(
        guard: &InFlightGuard,
        service: ServiceName,
        kind: ServiceKind,
    ) -> PlacementRequest {
        PlacementRequest {
            number: guard.number,
            request: guard.request.clone(),
            service,
            kind,
            route: None,
            key: None,
            hashes: vec![],
            request_cost: RequestCost::default(),
            round: 0,
            tried: vec![],
            may_have_run: false,
            // Each placement draws a run id of its own (`Dispatcher::place`).
            run: RunId(String::new()),
        }
    }
}

/// Performs the attempts of one request with real servers.
pub(crate) struct Dispatcher {
    pub shared: Arc<Shared>,
    pub guard: InFlightGuard,
    pub attempts: AttemptSequence,
    placement_request: PlacementRequest,
}

impl Dispatcher {
    /// For an admitted request that at most `max_servers` servers may get; also what is to be done first.
    pub(crate) fn new(
        guard: InFlightGuard,
        placement_request: PlacementRequest,
        max_servers: Option<u32>,
    ) -> (Dispatcher, AttemptOutput) {
        let (attempts, first) = max_servers.map_or_else(
            AttemptSequence::begin,
            AttemptSequence::begin_with_max_servers,
        );
        let dispatcher = Dispatcher {
            shared: guard.shared.clone(),
            guard,
            attempts,
            placement_request,
        };
        (dispatcher, first)
    }

    /// Finds a server that accepts the request. `send` performs one attempt.
    pub(crate) fn dispatch<T>(
        &mut self,
        first: AttemptOutput,
        mut send: impl FnMut(&Placement, &RequestStateMachine) -> Result<T, AttemptError>,
    ) -> DispatchOutcome<T> {
        let (mut output, mut response) = (first, None);
        loop {
            output = match output {
                AttemptOutput::Place(round) => {
                    let outcome = self.place(round);
                    self.attempts.step(AttemptInput::Scheduler(outcome))
                }
                AttemptOutput::Send(placement) => {
                    match send(&placement, self.attempts.request_state()) {
                        Ok(started) => {
                            response = Some(started);
                            self.attempts.step(AttemptInput::Open)
                        }
                        Err(AttemptError::ClientDisconnected) => return self.abandon(),
                        Err(error) => self.record_failure(&placement, error),
                    }
                }
                AttemptOutput::Relay(placement) => match response.take() {
                    Some(response) => {
                        self.guard.may_have_run = self.is_stream();
                        return DispatchOutcome::Accepted(placement, response);
                    }
                    None => self.attempts.step(AttemptInput::Fail(
                        Failure::Unknown,
                        "nothing was heard".into(),
                    )),
                },
                AttemptOutput::Finish(rejection) => {
                    self.guard.may_have_run =
                        self.is_stream() && self.attempts.request_state().may_have_run();
                    return DispatchOutcome::Rejected(rejection);
                }
                AttemptOutput::Abort(why) => return DispatchOutcome::Aborted(why),
            }
        }
    }

    /// Phase "place": asks the scheduler for a server, for a run of a new id.
    fn place(&self, round: PlacementRound) -> Result<Placement, Rejection> {
        let is_retry = round.round > 0;
        let placement = self.shared.place(PlacementRequest {
            round: round.round,
            tried: round.tried,
            may_have_run: round.may_have_run,
            run: run_id(random_bytes()),
            ..self.placement_request.clone()
        })?;
        if is_retry {
            Metrics::more(&self.shared.metrics.repeats);
        }
        Ok(placement)
    }

    /// Asks for a place at another server for a request whose server has stalled; `why` tells how. What is to be done
    /// once it is granted. Until then nothing changes: the server may go on.
    ///
    /// # Errors
    ///
    /// No other server gets it now.
    pub(crate) fn place_takeover(&mut self, why: &str) -> Result<AttemptOutput, Rejection> {
        let placement = self.place(self.attempts.takeover())?;
        self.attempts.step(AttemptInput::Interrupt(why.to_owned()));
        Ok(self.attempts.step(AttemptInput::Scheduler(Ok(placement))))
    }

    /// Phase "retry": reports a failed attempt and decides what follows from it.
    fn record_failure(&mut self, placement: &Placement, error: AttemptError) -> AttemptOutput {
        let request = &self.guard.request;
        let input = match error {
            AttemptError::Fenced => {
                self.shared.report_outcome(request, Outcome::Refused);
                if self.shared.may_act() && self.shared.is_superseded(placement.epoch) {
                    AttemptInput::Supersede
                } else {
                    AttemptInput::LoseLease
                }
            }
            AttemptError::Failed(failure, why) => {
                self.shared.report_outcome(request, failure.outcome());
                AttemptInput::Fail(failure, why)
            }
            AttemptError::WrongServer(why) => {
                self.shared.report_outcome(request, Outcome::Refused);
                let server = placement.server.clone();
                self.shared
                    .notify_control(NodeInput::Event(Event::Unreachable { server }));
                AttemptInput::Fail(Failure::Refused, why)
            }
            AttemptError::ClientDisconnected => {
                self.shared.report_outcome(request, Outcome::Cancelled);
                AttemptInput::Fail(Failure::Unknown, "the client has gone".into())
            }
        };
        self.attempts.step(input)
    }

    /// The client has disconnected during an attempt.
    fn abandon<T>(&mut self) -> DispatchOutcome<T> {
        self.shared
            .report_outcome(&self.guard.request, Outcome::Cancelled);
        self.guard.may_have_run = self.is_stream();
        DispatchOutcome::Aborted("the client has gone".into())
    }

    fn is_stream(&self) -> bool {
        self.placement_request.kind == ServiceKind::Stream
    }
}
