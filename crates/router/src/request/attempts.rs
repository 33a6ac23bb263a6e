use crate::control::node::{Placement, Rejection};
use crate::request::state_machine::{Failure, RequestInput, RequestOutput, RequestStateMachine};
use types::{Milliseconds, ResultCode, ServerName};

/// What an errand is told.
#[derive(Debug, Clone)]
pub enum AttemptInput {
    /// The scheduler's word on where it goes.
    Scheduler(Result<Placement, Rejection>),
    /// The node may not act at this moment.
    LoseLease,
    /// A newer epoch is in force than the one under which it was placed; no byte has left.
    Supersede,
    /// The asked server took it.
    Open,
    /// Asking the server failed in this way, for this reason.
    Fail(Failure, String),
    /// The stream that it gave broke, for this reason; what follows may be had elsewhere.
    Tear(String),
}

/// What an errand wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutput {
    /// Ask the scheduler for a server.
    AskScheduler {
        /// Zero the first time.
        round: u32,
        /// Servers not to be asked again.
        tried: Vec<ServerName>,
        /// Whether one of them may have run it.
        may_have_run: bool,
    },
    /// Ask this server.
    AskServer(Placement),
    /// A server has it: carry its answer.
    Carry(Placement),
    /// Tell the client this, at once, as the final answer.
    Tell(Rejection),
    /// Cut the client's connection: it must not take the answer for whole.
    Cut(String),
}

/// A request's way to the server that takes it, going on to others as far as its chart allows. The
/// carrier does what it wants; the simulator does, too.
///
/// Invariants: those of its [`Chart`]. Each server is asked at most once.
#[derive(Debug, Clone)]
pub struct AttemptSequence {
    request_state: RequestStateMachine,
    placed: Option<Placement>,
    tried: Vec<ServerName>,
    why: String,
    retry_after: Milliseconds,
}

impl AttemptSequence {
    /// For a request that was read; says what is to be done first.
    pub fn begin() -> (AttemptSequence, AttemptOutput) {
        Self::begin_with(RequestStateMachine::default())
    }
    /// For one that at most this many servers may get.
    pub fn begin_bounded(most: u32) -> (AttemptSequence, AttemptOutput) {
        Self::begin_with(RequestStateMachine::bounded(most))
    }
    fn begin_with(mut request_state: RequestStateMachine) -> (AttemptSequence, AttemptOutput) {
        request_state.step(RequestInput::Admit);
        let attempts = AttemptSequence {
            request_state,
            placed: None,
            tried: vec![],
            why: String::new(),
            retry_after: Milliseconds(0),
        };
        let first = attempts.ask_scheduler();
        (attempts, first)
    }
    /// Its chart.
    pub fn request_state(&self) -> &RequestStateMachine {
        &self.request_state
    }
    /// What happens to the answer that a server gives.
    pub fn carried(&mut self, input: RequestInput) -> RequestOutput {
        self.request_state.step(input)
    }

    /// Takes an input in; gives what is to be done.
    pub fn step(&mut self, input: AttemptInput) -> AttemptOutput {
        let output = match input {
            AttemptInput::Scheduler(Ok(placing)) => {
                let may_repeat = placing.may_repeat;
                self.placed = Some(placing);
                self.request_state.step(RequestInput::Place { may_repeat })
            }
            AttemptInput::Scheduler(Err(rejection)) => {
                // The first word on why counts: that no further server was found says less.
                if self.why.is_empty() {
                    self.why = rejection.why;
                }
                self.retry_after = rejection.retry_after;
                self.request_state.step(RequestInput::Deny(rejection.code))
            }
            AttemptInput::LoseLease => {
                self.why = "this node's lease ran out before the request was sent".into();
                self.request_state.step(RequestInput::LoseLease)
            }
            AttemptInput::Supersede => self.request_state.step(RequestInput::Supersede),
            AttemptInput::Open => self.request_state.step(RequestInput::Open),
            AttemptInput::Fail(failure, why) => {
                self.why = why;
                self.tried
                    .extend(self.placed.as_ref().map(|placing| placing.server.clone()));
                self.request_state.step(RequestInput::Fail(failure))
            }
            AttemptInput::Tear(why) => {
                self.why = why;
                self.tried
                    .extend(self.placed.as_ref().map(|placing| placing.server.clone()));
                self.request_state.step(RequestInput::Tear)
            }
        };
        match (output, &self.placed) {
            (RequestOutput::AskScheduler, _) => self.ask_scheduler(),
            (RequestOutput::AskServer, Some(placing)) => AttemptOutput::AskServer(placing.clone()),
            (RequestOutput::Carry, Some(placing)) => AttemptOutput::Carry(placing.clone()),
            (RequestOutput::Tell(code), _) => self.tell(code),
            (RequestOutput::Cut, _) => AttemptOutput::Cut(self.why.clone()),
            // Nothing else comes of these inputs; were it so, nobody could say what ran.
            _ => self.tell(ResultCode::Unknown),
        }
    }

    fn ask_scheduler(&self) -> AttemptOutput {
        let (round, tried, may_have_run) = (
            self.request_state.rounds(),
            self.tried.clone(),
            self.request_state.may_have_run(),
        );
        AttemptOutput::AskScheduler {
            round,
            tried,
            may_have_run,
        }
    }

    fn tell(&self, code: ResultCode) -> AttemptOutput {
        AttemptOutput::Tell(Rejection {
            code,
            why: self.why.clone(),
            retry_after: self.retry_after,
        })
    }
}
