use placement::Outcome;
use types::ResultCode;

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// Read and sound.
    Received,
    /// A service that is allowed, and room for it here.
    Admitted,
    /// A server is chosen.
    Placed,
    /// The server has taken it.
    RecoveredStorage,
    /// Pieces go to the client.
    Streaming,
    /// The final record was given.
    Ended,
    /// It never ran and never will.
    Refused,
    /// It may have run, and the client has no whole answer.
    Broken,
}

/// How asking a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte left.
    Unsent,
    /// The server said that it did not run it.
    Refused,
    /// The server may have run it.
    Unknown,
}

impl Failure {
    /// What the scheduler is told of it.
    pub fn outcome(self) -> Outcome {
        match self {
            Failure::Unsent => Outcome::Unsent,
            Failure::Refused => Outcome::Refused,
            Failure::Unknown => Outcome::Failed,
        }
    }
}

/// What a request's chart is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestInput {
    /// There is room here and the service is allowed.
    Admit,
    /// The scheduler chose a server.
    Place {
        /// Whether the plan in force lets a request that may have run go to a further server.
        may_repeat: bool,
    },
    /// The scheduler chose none.
    Deny(ResultCode),
    /// This node may not act at this moment.
    LoseLease,
    /// A newer epoch is in force than the one under which the server was chosen; no byte has left.
    Supersede,
    /// The server took it.
    Open,
    /// Asking it failed.
    Fail(Failure),
    /// A piece or a page went to the client.
    Give,
    /// The final record came.
    Finish,
    /// The stream broke, or the client went away.
    Break,
    /// The stream broke, and what follows its last piece may be had elsewhere, if it may be run again.
    Tear,
}

/// What a request's chart wants done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutput {
    /// Ask the scheduler for a server.
    AskScheduler,
    /// Ask the chosen server.
    AskServer,
    /// Pass pieces on.
    Carry,
    /// Tell the client this, as the final answer.
    Tell(ResultCode),
    /// Cut the connection: no final record, no HTTP end.
    Cut,
    /// Nothing more.
    Rest,
}

/// The way of one request, as a state chart.
///
/// Invariants: `may_have_run` never turns false again. "Refused" is only told while it's false. A
/// further server is asked only while it's false, or if every plan under which the request was placed
/// lets it repeat, and, once a piece has gone out, only for what follows the last one ([`ChartInput::Tear`]).
/// No more than `most` servers get it. After a final state nothing happens.
#[derive(Debug, Clone)]
pub struct RequestStateMachine {
    state: RequestState,
    may_repeat: bool,
    may_have_run: bool,
    rounds: u32,
    most: u32,
    unsent: u32,
    last_failure: Option<Failure>,
}

/// Servers that one request may be given to, at most, unless its route says otherwise.
const ROUNDS: u32 = 3;
/// Servers that could not be reached, after which no other is tried.
const UNSENT_MOST: u32 = 3;

impl Default for RequestStateMachine {
    /// For a request that was read.
    fn default() -> Self {
        RequestStateMachine::bounded(ROUNDS)
    }
}

impl RequestStateMachine {
    /// For a request that at most this many servers may get.
    pub fn bounded(most: u32) -> Self {
        RequestStateMachine {
            state: RequestState::Received,
            may_repeat: true,
            may_have_run: false,
            rounds: 0,
            most,
            unsent: 0,
            last_failure: None,
        }
    }
    /// Whether a failure of the server in hand could still be made up for elsewhere.
    pub fn may_go_on(&self) -> bool {
        self.may_repeat && self.rounds + 1 < self.most
    }
    /// Whether a server may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
    /// Where it stands.
    pub fn state(&self) -> RequestState {
        self.state
    }
    /// How many servers were asked.
    pub fn rounds(&self) -> u32 {
        self.rounds
    }

    /// Takes an input in; gives what is to be done. Inputs that don't belong to the state change
    /// nothing.
    pub fn step(&mut self, input: RequestInput) -> RequestOutput {
        use RequestState::{
            Admitted, Broken, Ended, Placed, Received, RecoveredStorage, Refused, Streaming,
        };
        match (self.state, input) {
            (Received, RequestInput::Admit) => {
                self.state = Admitted;
                RequestOutput::AskScheduler
            }
            (Admitted, RequestInput::Place { may_repeat }) => {
                self.may_repeat &= may_repeat;
                if self.may_have_run && !self.may_repeat {
                    return self.finally(ResultCode::Unknown);
                }
                self.state = Placed;
                RequestOutput::AskServer
            }
            (Received | Admitted, RequestInput::Deny(code)) => self.finally(code),
            (Placed, RequestInput::LoseLease) => self.finally(ResultCode::NotReady),
            // Nothing was sent, so nothing failed: no round is used up.
            (Placed, RequestInput::Supersede) => {
                self.state = Admitted;
                RequestOutput::AskScheduler
            }
            (Placed, RequestInput::Open) => {
                self.state = RecoveredStorage;
                self.may_have_run = true;
                RequestOutput::Carry
            }
            (Placed, RequestInput::Fail(failure)) => {
                // A server that no byte reached has not been given it.
                if failure == Failure::Unsent {
                    self.unsent += 1;
                } else {
                    self.rounds += 1;
                }
                self.last_failure = Some(failure);
                self.may_have_run |= failure == Failure::Unknown;
                let may_repeat = self.may_repeat || !self.may_have_run;
                if may_repeat && self.rounds < self.most && self.unsent < UNSENT_MOST {
                    self.state = Admitted;
                    RequestOutput::AskScheduler
                } else {
                    self.finally(ResultCode::ServerRefused)
                }
            }
            (RecoveredStorage | Streaming, RequestInput::Give) => {
                self.state = Streaming;
                RequestOutput::Carry
            }
            (RecoveredStorage | Streaming, RequestInput::Finish) => {
                self.state = Ended;
                RequestOutput::Tell(ResultCode::Complete)
            }
            (RecoveredStorage | Streaming, RequestInput::Tear) if self.may_go_on() => {
                self.rounds += 1;
                self.last_failure = Some(Failure::Unknown);
                self.state = Admitted;
                RequestOutput::AskScheduler
            }
            (RecoveredStorage | Streaming, RequestInput::Break | RequestInput::Tear) => {
                self.state = Broken;
                RequestOutput::Cut
            }
            (Ended | Refused | Broken, _) | (_, _) => RequestOutput::Rest,
        }
    }

    /// The last word to the client: the given refusal, or what a failure before it makes of it.
    fn finally(&mut self, code: ResultCode) -> RequestOutput {
        if self.may_have_run {
            self.state = RequestState::Broken;
            return RequestOutput::Tell(ResultCode::Unknown);
        }
        if !code.is_refusal() {
            self.state = RequestState::Broken;
            return RequestOutput::Tell(code);
        }
        self.state = RequestState::Refused;
        RequestOutput::Tell(match self.last_failure {
            Some(Failure::Unsent) => ResultCode::Unsent,
            Some(Failure::Refused) => ResultCode::ServerRefused,
            _ => code,
        })
    }
}

#[cfg(test)]
mod tests;
