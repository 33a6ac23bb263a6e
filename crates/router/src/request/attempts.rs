//! The attempts of one request: one server after the other, as far as its state machine allows.

use crate::control::node::{Placement, Rejection};
use crate::request::state_machine::{Failure, RequestInput, RequestOutput, RequestStateMachine};
use types::{Milliseconds, ResultCode, ServerName};

/// An input of the attempts.
#[derive(Debug, Clone)]
pub enum AttemptInput {
    /// The scheduler placed the request or rejected it.
    Scheduler(Result<Placement, Rejection>),
    /// The node may not act at this moment.
    LoseLease,
    /// A newer epoch is in force than the one under which it was placed; no byte has left.
    Supersede,
    /// The server accepted it.
    Open,
    /// The attempt failed in this way, for this reason.
    Fail(Failure, String),
    /// The stream that it gave broke, for this reason; what follows may be had elsewhere.
    Interrupt(String),
}

/// One round of placing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRound {
    /// Zero the first time.
    pub round: u32,
    /// Servers that do not get it again.
    pub tried: Vec<ServerName>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
}

/// What is to be done next.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutput {
    /// Have the scheduler place the request.
    Place(PlacementRound),
    /// Send it to this server.
    Send(Placement),
    /// The server accepted it: relay its response.
    Relay(Placement),
    /// Finish with this, the final response to the client.
    Finish(Rejection),
    /// Abort the client's connection: it must not take the response for complete.
    Abort(String),
}

/// The attempts of a request until one server accepts it, retried at others as far as its state machine
/// allows. It does no input or output: the dispatcher performs what it wants, and the simulator does, too.
///
/// Invariants: those of its [`RequestStateMachine`]. Each server is tried at most once.
#[derive(Debug, Clone)]
pub struct AttemptSequence {
    request_state: RequestStateMachine,
    placement: Option<Placement>,
    tried: Vec<ServerName>,
    why: String,
    retry_after: Milliseconds,
}

impl AttemptSequence {
    /// Begins for a request that was read; returns what is to be done first.
    pub fn begin() -> (AttemptSequence, AttemptOutput) {
        Self::begin_with(RequestStateMachine::default())
    }
    /// Begins for a request that at most this many servers may get.
    pub fn begin_with_max_servers(max_servers: u32) -> (AttemptSequence, AttemptOutput) {
        Self::begin_with(RequestStateMachine::with_max_servers(max_servers))
    }
    fn begin_with(mut request_state: RequestStateMachine) -> (AttemptSequence, AttemptOutput) {
        request_state.step(RequestInput::Admit);
        let attempts = AttemptSequence {
            request_state,
            placement: None,
            tried: vec![],
            why: String::new(),
            retry_after: Milliseconds(0),
        };
        let first = attempts.place();
        (attempts, first)
    }
    /// The state machine of the request.
    pub fn request_state(&self) -> &RequestStateMachine {
        &self.request_state
    }
    /// Applies what happens to the response while it is relayed.
    pub fn relay(&mut self, input: RequestInput) -> RequestOutput {
        self.request_state.step(input)
    }

    /// Applies an input and returns what is to be done next.
    pub fn step(&mut self, input: AttemptInput) -> AttemptOutput {
        let output = match input {
            AttemptInput::Scheduler(Ok(placement)) => {
                let may_repeat = placement.may_repeat;
                self.placement = Some(placement);
                self.request_state.step(RequestInput::Place { may_repeat })
            }
            AttemptInput::Scheduler(Err(rejection)) => {
                // The first reason counts: that no further server was found says less.
                if self.why.is_empty() {
                    self.why = rejection.why;
                }
                self.retry_after = rejection.retry_after;
                self.request_state
                    .step(RequestInput::Reject(rejection.code))
            }
            AttemptInput::LoseLease => {
                self.why = "this node's lease ran out before the request was sent".into();
                self.request_state.step(RequestInput::LoseLease)
            }
            AttemptInput::Supersede => self.request_state.step(RequestInput::Supersede),
            AttemptInput::Open => self.request_state.step(RequestInput::Open),
            AttemptInput::Fail(failure, why) => {
                self.why = why;
                self.tried.extend(
                    self.placement
                        .as_ref()
                        .map(|placement| placement.server.clone()),
                );
                self.request_state.step(RequestInput::Fail(failure))
            }
            AttemptInput::Interrupt(why) => {
                self.why = why;
                self.tried.extend(
                    self.placement
                        .as_ref()
                        .map(|placement| placement.server.clone()),
                );
                self.request_state.step(RequestInput::Interrupt)
            }
        };
        match (output, &self.placement) {
            (RequestOutput::Place, _) => self.place(),
            (RequestOutput::Send, Some(placement)) => AttemptOutput::Send(placement.clone()),
            (RequestOutput::Relay, Some(placement)) => AttemptOutput::Relay(placement.clone()),
            (RequestOutput::Finish(code), _) => self.finish(code),
            (RequestOutput::Abort, _) => AttemptOutput::Abort(self.why.clone()),
            // Nothing else comes of these inputs; were it so, nobody could say what ran.
            _ => self.finish(ResultCode::Unknown),
        }
    }

    /// What is to be placed for another server to take the request over while the current one still has it. Once
    /// that is granted, [`AttemptInput::Interrupt`] and the placement follow.
    pub fn takeover(&self) -> PlacementRound {
        let server = self.placement.iter().map(|placement| &placement.server);
        PlacementRound {
            round: self.request_state.attempt_count() + 1,
            tried: self.tried.iter().chain(server).cloned().collect(),
            may_have_run: true,
        }
    }

    fn place(&self) -> AttemptOutput {
        AttemptOutput::Place(PlacementRound {
            round: self.request_state.attempt_count(),
            tried: self.tried.clone(),
            may_have_run: self.request_state.may_have_run(),
        })
    }

    fn finish(&self, code: ResultCode) -> AttemptOutput {
        AttemptOutput::Finish(Rejection {
            code,
            why: self.why.clone(),
            retry_after: self.retry_after,
        })
    }
}
