//! The state machine of one request: which phase it is in, and whether a server may have run it.

use placement::Outcome;
use types::ResultCode;

/// The phase that a request has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    /// It was read and is well formed.
    Received,
    /// Its service is allowed, and this node is below its bound of requests in flight.
    Admitted,
    /// The scheduler has chosen a server.
    Placed,
    /// The server has accepted it and its response has begun.
    ServerAccepted,
    /// Chunks are relayed to the client.
    Streaming,
    /// The final record was relayed.
    Ended,
    /// It never ran and never will.
    Refused,
    /// It may have run, and the client has no complete response.
    Broken,
}

/// How an attempt at a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent.
    Unsent,
    /// The server said that it did not run it.
    Refused,
    /// The server may have run it.
    Unknown,
}

impl Failure {
    /// The outcome that is reported to the scheduler.
    pub fn outcome(self) -> Outcome {
        match self {
            Failure::Unsent => Outcome::Unsent,
            Failure::Refused => Outcome::Refused,
            Failure::Unknown => Outcome::Failed,
        }
    }
}

/// An input of the state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestInput {
    /// The request is admitted: the node is below its bound and the service is allowed.
    Admit,
    /// The scheduler chose a server.
    Place {
        /// Whether the plan in force lets a request that may have run go to a further server.
        may_repeat: bool,
    },
    /// The scheduler chose none.
    Reject(ResultCode),
    /// This node may not act at this moment.
    LoseLease,
    /// A newer epoch is in force than the one under which the server was chosen; no byte has left.
    Supersede,
    /// The server accepted it.
    Open,
    /// The attempt failed.
    Fail(Failure),
    /// A chunk or a page was relayed to the client.
    Relay,
    /// The final record came.
    Finish,
    /// The stream broke, or the client disconnected.
    Abort,
    /// The stream was interrupted; what follows its last chunk may be retried at another server, if the request
    /// may run again.
    Interrupt,
}

/// What the state machine wants done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutput {
    /// Have the scheduler place the request.
    Place,
    /// Send it to the chosen server.
    Send,
    /// Relay the response.
    Relay,
    /// Finish with this result, the final response to the client.
    Finish(ResultCode),
    /// Cut the connection: no final record, no HTTP end.
    Abort,
    /// Nothing more.
    Idle,
}

/// The phases of one request, as a state machine without input or output.
///
/// Invariants: `may_have_run` never turns false again. A refusal is only returned while it is false. A
/// further server is tried only while it's false, or if every plan under which the request was placed
/// lets it repeat, and, once a chunk was relayed, only for what follows the last one ([`RequestInput::Interrupt`]).
/// No more than `max_servers` servers get it. After a final state nothing happens.
#[derive(Debug, Clone)]
pub struct RequestStateMachine {
    state: RequestState,
    may_repeat: bool,
    may_have_run: bool,
    attempt_count: u32,
    max_servers: u32,
    unsent_count: u32,
    last_failure: Option<Failure>,
}

/// The number of servers that may get one request, unless its route says otherwise.
const DEFAULT_MAX_SERVERS: u32 = 3;
/// The number of unreachable servers after which no other is tried.
const MAX_UNSENT: u32 = 3;

impl Default for RequestStateMachine {
    /// For a request that was read.
    fn default() -> Self {
        RequestStateMachine::with_max_servers(DEFAULT_MAX_SERVERS)
    }
}

impl RequestStateMachine {
    /// For a request that at most this many servers may get.
    pub fn with_max_servers(max_servers: u32) -> Self {
        RequestStateMachine {
            state: RequestState::Received,
            may_repeat: true,
            may_have_run: false,
            attempt_count: 0,
            max_servers,
            unsent_count: 0,
            last_failure: None,
        }
    }
    /// Whether a failure of the current server could still be retried at another one.
    pub fn may_retry(&self) -> bool {
        self.may_repeat && self.attempt_count + 1 < self.max_servers
    }
    /// Whether a server may have run it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
    /// Where it stands.
    pub fn state(&self) -> RequestState {
        self.state
    }
    /// How many attempts have failed after the server got bytes of the request.
    pub fn attempt_count(&self) -> u32 {
        self.attempt_count
    }

    /// Applies an input and returns what is to be done. An input that does not belong to the state changes nothing.
    pub fn step(&mut self, input: RequestInput) -> RequestOutput {
        use RequestState::{
            Admitted, Broken, Ended, Placed, Received, Refused, ServerAccepted, Streaming,
        };
        match (self.state, input) {
            (Received, RequestInput::Admit) => {
                self.state = Admitted;
                RequestOutput::Place
            }
            (Admitted, RequestInput::Place { may_repeat }) => {
                self.may_repeat &= may_repeat;
                if self.may_have_run && !self.may_repeat {
                    return self.finish(ResultCode::Unknown);
                }
                self.state = Placed;
                RequestOutput::Send
            }
            (Received | Admitted, RequestInput::Reject(code)) => self.finish(code),
            (Placed, RequestInput::LoseLease) => self.finish(ResultCode::NotReady),
            // Nothing was sent, so nothing failed: no round is used up.
            (Placed, RequestInput::Supersede) => {
                self.state = Admitted;
                RequestOutput::Place
            }
            (Placed, RequestInput::Open) => {
                self.state = ServerAccepted;
                self.may_have_run = true;
                RequestOutput::Relay
            }
            (Placed, RequestInput::Fail(failure)) => {
                // A server that no byte reached has not been given it.
                if failure == Failure::Unsent {
                    self.unsent_count += 1;
                } else {
                    self.attempt_count += 1;
                }
                self.last_failure = Some(failure);
                self.may_have_run |= failure == Failure::Unknown;
                let may_repeat = self.may_repeat || !self.may_have_run;
                if may_repeat
                    && self.attempt_count < self.max_servers
                    && self.unsent_count < MAX_UNSENT
                {
                    self.state = Admitted;
                    RequestOutput::Place
                } else {
                    self.finish(ResultCode::ServerRefused)
                }
            }
            (ServerAccepted | Streaming, RequestInput::Relay) => {
                self.state = Streaming;
                RequestOutput::Relay
            }
            (ServerAccepted | Streaming, RequestInput::Finish) => {
                self.state = Ended;
                RequestOutput::Finish(ResultCode::Complete)
            }
            (ServerAccepted | Streaming, RequestInput::Interrupt) if self.may_retry() => {
                self.attempt_count += 1;
                self.last_failure = Some(Failure::Unknown);
                self.state = Admitted;
                RequestOutput::Place
            }
            (ServerAccepted | Streaming, RequestInput::Abort | RequestInput::Interrupt) => {
                self.state = Broken;
                RequestOutput::Abort
            }
            (Ended | Refused | Broken, _) | (_, _) => RequestOutput::Idle,
        }
    }

    /// The final result for the client: the given code, or the one that an earlier failure turns it into.
    fn finish(&mut self, code: ResultCode) -> RequestOutput {
        if self.may_have_run {
            self.state = RequestState::Broken;
            return RequestOutput::Finish(ResultCode::Unknown);
        }
        if !code.is_refusal() {
            self.state = RequestState::Broken;
            return RequestOutput::Finish(code);
        }
        self.state = RequestState::Refused;
        RequestOutput::Finish(match self.last_failure {
            Some(Failure::Unsent) => ResultCode::Unsent,
            Some(Failure::Refused) => ResultCode::ServerRefused,
            _ => code,
        })
    }
}

#[cfg(test)]
mod tests;
