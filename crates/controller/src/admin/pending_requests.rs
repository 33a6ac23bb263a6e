//! What operators wait for: readings at the tail and proposals to the head, tried again until their time is up.

use crate::controller::{Controller, ControllerOutput, OperatorRequest, Waiting};
use config::{Command, Proposal};
use replication::Input;
use types::{Address, ConfigEpoch, Milliseconds, ResultCode};
use wire::{Message, Query};

/// What the newest epoch was when a zone's change came in must be known within this, or it is not proposed: an
/// answer from later may be younger than what its operator did since. Under the second after which an operator
/// turns to another controller.
const SEEN_WITHIN: Milliseconds = Milliseconds(700);

impl Controller {
    pub(crate) fn on_operator(&mut self, number: u64, ask: OperatorRequest) {
        let is_read = matches!(ask, OperatorRequest::Read(_));
        let deadline = self.now
            + if is_read {
                self.timing.read_patience
            } else {
                self.timing.fate_deadline
            };
        let patience_deadline = self.now + self.timing.patience;
        self.last_asked += 1;
        let (next_try, asked) = (Some(self.now), self.last_asked);
        let clear_deadline = match &ask {
            OperatorRequest::Propose(proposal) if proposal.command.is_of_a_zone() => {
                self.now + SEEN_WITHIN
            }
            _ => deadline,
        };
        let is_cleared = false;
        let waiting = Waiting {
            ask,
            next_try,
            patience_deadline,
            deadline,
            clear_deadline,
            is_cleared,
            asked,
            asked_of: None,
        };
        self.waiting.insert(number, waiting);
        if !self.replica.has_reachable_majority(self.now) {
            // Nothing was asked or proposed yet, so this is final, and its operator loses no time here.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        self.try_again(number);
    }

    pub(crate) fn try_again(&mut self, number: u64) {
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return;
        };
        let retry_at = self.now + self.timing.replica.proposal_retry_interval;
        if self.now >= waiting.deadline {
            let code = match waiting.ask {
                OperatorRequest::Read(_) => ResultCode::CoreNotReady,
                OperatorRequest::Propose(_) => ResultCode::FateUnknown,
            };
            return self.give_up(number, code);
        }
        if !waiting.is_cleared && self.now >= waiting.clear_deadline {
            // Nothing was proposed; and what the tail tells from now on is newer than the request.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match &waiting.ask {
            OperatorRequest::Read(reading) => {
                waiting.next_try = Some(retry_at);
                let reading = reading.clone();
                // A change's base may be read here: the head judges whether it's the newest.
                let is_base = matches!(reading, Query::Base { at_least } if self.replica.state_machine().epoch >= at_least);
                let is_known_here = || {
                    let state = self.replica.state();
                    state.is_healthy && state.view.contains(&state.me)
                };
                if self.may_respond() || (is_base && is_known_here()) {
                    self.waiting.remove(&number);
                    let (status, body) = self.read(&reading);
                    self.outputs.push(ControllerOutput::Response {
                        number,
                        status,
                        body,
                    });
                } else {
                    self.ask_tail(number, reading);
                }
            }
            OperatorRequest::Propose(proposal)
                if !waiting.is_cleared
                    && let Some(reading) = read_before(proposal) =>
            {
                waiting.next_try = Some(retry_at);
                if self.may_respond() {
                    let (status, body) = self.read(&reading);
                    self.clear(number, status, body);
                } else {
                    self.ask_tail(number, reading);
                }
            }
            OperatorRequest::Propose(proposal) => {
                // Each try has a number of its own: a late word on one says nothing of the next.
                self.last_asked += 1;
                (waiting.asked, waiting.asked_of) = (self.last_asked, None);
                waiting.next_try = None;
                let (number, body) = (waiting.asked, proposal.to_bytes());
                self.drive(Input::Propose { number, body });
            }
        }
    }

    pub(crate) fn ask_tail(&mut self, number: u64, reading: Query) {
        let Some(tail) = self.replica.view().tail() else {
            return;
        };
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return;
        };
        waiting.asked_of = Some(tail.address);
        let number = waiting.asked;
        self.send(
            tail.address,
            Message::Ask {
                number,
                reading: Box::new(reading),
            },
        );
    }

    /// The tail's answer. It's taken only for the question that waits under this number, and only from
    /// the one that was asked last.
    pub(crate) fn on_told(&mut self, from: Address, asked: u64, status: u16, body: Vec<u8>) {
        let is_its = |waiting: &Waiting| waiting.asked == asked && waiting.asked_of == Some(from);
        let Some((&number, waiting)) = self.waiting.iter().find(|(_, waiting)| is_its(waiting))
        else {
            return;
        };
        if matches!(waiting.ask, OperatorRequest::Propose(_)) {
            return self.clear(number, status, body);
        }
        self.waiting.remove(&number);
        self.outputs.push(ControllerOutput::Response {
            number,
            status,
            body,
        });
    }

    /// The tail's word on what is to be known before it's proposed: which epoch is the newest, or whether those
    /// to be forgotten are heard. If nobody hears them, it's proposed; a tail that does not know yet is asked
    /// again; any other word is the operator's answer.
    pub(crate) fn clear(&mut self, number: u64, status: u16, body: Vec<u8>) {
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return;
        };
        if waiting.is_cleared {
            return;
        }
        if self.now >= waiting.clear_deadline {
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match status {
            200 => {
                if let OperatorRequest::Propose(proposal) = &mut waiting.ask
                    && proposal.command.is_of_a_zone()
                {
                    let Ok(newest) = body.try_into() else { return };
                    proposal.seen = ConfigEpoch(u64::from_be_bytes(newest));
                }
                waiting.is_cleared = true;
                self.try_again(number);
            }
            503 if self.now < waiting.patience_deadline => {}
            _ => {
                self.waiting.remove(&number);
                self.outputs.push(ControllerOutput::Response {
                    number,
                    status,
                    body,
                });
            }
        }
    }

    pub(crate) fn give_up(&mut self, number: u64, code: ResultCode) {
        self.waiting.remove(&number);
        let body = serde_json::json!({"code": code.number(), "result": code.word(), "why": code.meaning()});
        let body = serde_json::to_vec(&body).expect("a JSON value is JSON");
        self.outputs.push(ControllerOutput::Response {
            number,
            status: code.http_status(),
            body,
        });
    }

    /// The core's answer to a proposal made here, taken only for the newest try of an operator's.
    pub(crate) fn on_response(&mut self, asked: u64, is_final: bool, body: Vec<u8>) {
        let is_its = |waiting: &Waiting| waiting.asked == asked && waiting.asked_of.is_none();
        let Some((&number, waiting)) = self.waiting.iter_mut().find(|(_, waiting)| is_its(waiting))
        else {
            return;
        };
        if is_final {
            self.waiting.remove(&number);
            let status = status_of(&body);
            self.outputs.push(ControllerOutput::Response {
                number,
                status,
                body,
            });
        } else if self.now < waiting.patience_deadline {
            // The core did not take it, so asking again can't do it twice.
            waiting.next_try = Some(self.now + self.timing.replica.proposal_retry_interval);
        } else {
            self.give_up(number, ResultCode::CoreNotReady);
        }
    }
}

/// What the tail must be asked before this is proposed.
fn read_before(proposal: &Proposal) -> Option<Query> {
    match &proposal.command {
        Command::ForceRemove { members } => Some(Query::Heard {
            id: proposal.id.clone(),
            members: members.clone(),
        }),
        command => command.is_of_a_zone().then_some(Query::Newest),
    }
}

/// The HTTP status that goes with an outcome's code.
fn status_of(body: &[u8]) -> u16 {
    let code = serde_json::from_slice::<serde_json::Value>(body)
        .ok()
        .and_then(|value| value["code"].as_u64());
    let found = ResultCode::ALL
        .iter()
        .find(|known| Some(u64::from(known.number())) == code);
    found.map_or(500, |code| code.http_status())
}
