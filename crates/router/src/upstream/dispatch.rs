use crate::admin::metrics::Metrics;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection};
use crate::request::attempts::{AttemptInput, AttemptOutput, AttemptSequence};
use crate::request::resume_token::run_id;
use crate::request::state_machine::{Failure, RequestStateMachine};
use crate::shared::{Place, Shared};
use config::{KeyDigest, ServiceKind};
use placement::{Event, Outcome, PrefixHash, RequestCost};
use std::sync::Arc;
use types::{ServiceName, random_bytes};

/// Why a server has not taken a request.
pub(crate) enum NotTaken {
    /// This node may not act any more, or not as it was placed: nothing that could run was sent.
    Withheld,
    /// Asking it failed in this way.
    Failed(Failure, String),
    /// Another server has its address; nothing ran there.
    Elsewhere(String),
    /// The client has gone.
    ClientGone,
}

/// What a request wants of the scheduler, whatever it's spoken in.
pub(crate) struct Wanted {
    pub service: ServiceName,
    pub kind: ServiceKind,
    pub route: Option<String>,
    pub key: Option<KeyDigest>,
    pub hashes: Vec<PrefixHash>,
    pub request_cost: RequestCost,
}

impl Wanted {
    /// One whose client names the service and tells nothing more.
    pub fn of_service(
        service: ServiceName,
        kind: ServiceKind,
        key: Option<KeyDigest>,
        hashes: Vec<PrefixHash>,
    ) -> Self {
        Wanted {
            service,
            kind,
            route: None,
            key,
            hashes,
            request_cost: RequestCost::default(),
        }
    }
}

/// What a trip came to.
pub(crate) enum Gone<T> {
    /// A server has taken it, and this was heard.
    RecoveredStorage(Placement, T),
    /// The final answer.
    Told(Rejection),
    /// The client's connection is to be cut.
    Cut(String),
}

/// A request on its way: its errand, done with real servers.
pub(crate) struct Trip {
    pub shared: Arc<Shared>,
    pub place: Place,
    pub attempts: AttemptSequence,
    wanted: Wanted,
}

impl Trip {
    /// For a request that has its place; at most so many servers may get it.
    pub fn new(place: Place, wanted: Wanted, most: Option<u32>) -> (Trip, AttemptOutput) {
        let (attempts, first) =
            most.map_or_else(AttemptSequence::begin, AttemptSequence::begin_bounded);
        (
            Trip {
                shared: place.shared.clone(),
                place,
                attempts,
                wanted,
            },
            first,
        )
    }

    /// Finds a server that takes the request, going on to others as far as the errand allows.
    pub fn go<T>(
        &mut self,
        first: AttemptOutput,
        mut ask: impl FnMut(&Placement, &RequestStateMachine) -> Result<T, NotTaken>,
    ) -> Gone<T> {
        let request = self.place.request.clone();
        let does_stream = self.wanted.kind == ServiceKind::Stream;
        let (mut output, mut taken) = (first, None);
        loop {
            output = match output {
                AttemptOutput::AskScheduler {
                    round,
                    tried,
                    may_have_run,
                } => {
                    let input = NodeInput::Place(PlacementRequest {
                        number: self.place.number,
                        request: request.clone(),
                        service: self.wanted.service.clone(),
                        kind: self.wanted.kind,
                        route: self.wanted.route.clone(),
                        key: self.wanted.key,
                        hashes: self.wanted.hashes.clone(),
                        request_cost: self.wanted.request_cost.clone(),
                        round,
                        tried,
                        may_have_run,
                        run: run_id(random_bytes()),
                    });
                    let outcome = self.shared.ask_scheduler(&self.place, input);
                    if round > 0 && outcome.is_ok() {
                        Metrics::more(&self.shared.metrics.repeats);
                    }
                    self.attempts.step(AttemptInput::Scheduler(outcome))
                }
                AttemptOutput::AskServer(placing) => {
                    match ask(&placing, self.attempts.request_state()) {
                        Ok(heard) => {
                            taken = Some(heard);
                            self.attempts.step(AttemptInput::Open)
                        }
                        Err(NotTaken::Withheld) => {
                            self.shared.tell_ended(&request, Outcome::Refused);
                            let is_superseded =
                                self.shared.may_act() && self.shared.is_superseded(placing.epoch);
                            self.attempts.step(if is_superseded {
                                AttemptInput::Supersede
                            } else {
                                AttemptInput::LoseLease
                            })
                        }
                        Err(NotTaken::Failed(failure, why)) => {
                            self.shared.tell_ended(&request, failure.outcome());
                            self.attempts.step(AttemptInput::Fail(failure, why))
                        }
                        Err(NotTaken::Elsewhere(why)) => {
                            self.shared.tell_ended(&request, Outcome::Refused);
                            let server = placing.server.clone();
                            self.shared
                                .tell(NodeInput::Event(Event::Unreachable { server }));
                            self.attempts
                                .step(AttemptInput::Fail(Failure::Refused, why))
                        }
                        Err(NotTaken::ClientGone) => {
                            self.shared.tell_ended(&request, Outcome::Cancelled);
                            self.place.may_have_run = does_stream;
                            return Gone::Cut("the client has gone".into());
                        }
                    }
                }
                AttemptOutput::Carry(placing) => match taken.take() {
                    Some(heard) => {
                        self.place.may_have_run = does_stream;
                        return Gone::RecoveredStorage(placing, heard);
                    }
                    None => self.attempts.step(AttemptInput::Fail(
                        Failure::Unknown,
                        "nothing was heard".into(),
                    )),
                },
                AttemptOutput::Tell(rejection) => {
                    self.place.may_have_run =
                        does_stream && self.attempts.request_state().may_have_run();
                    return Gone::Told(rejection);
                }
                AttemptOutput::Cut(why) => return Gone::Cut(why),
            }
        }
    }
}
