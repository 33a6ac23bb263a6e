//! Operators' requests in flight: queries of the tail and proposals to the head, retried until their deadlines.

use crate::controller::{Controller, ControllerOutput, OperatorRequest, RequestAge};
use config::{Command, Proposal};
use replication::Input;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, ResultCode};
use wire::{Message, Query};

/// What the newest epoch was when a zone's change came in must be known within this of its arrival, or it is not
/// proposed: an answer from later may be younger than what its operator did since. Under the second after which an
/// operator turns to another controller.
const SEEN_WITHIN: Milliseconds = Milliseconds(700);

/// An operator's request in flight.
pub(crate) struct PendingRequest {
    /// What is requested.
    pub(crate) request: OperatorRequest,
    /// How old it may be.
    pub(crate) age: RequestAge,
    /// When it is attempted again; `None` while a response to its proposal is outstanding.
    pub(crate) retry_at: Option<MonotonicInstant>,
    /// A proposal that the core rejected for now is attempted again until then.
    pub(crate) patience_deadline: MonotonicInstant,
    /// Without a response by then the request ends: a query unanswered, a proposal with its fate unknown.
    pub(crate) deadline: MonotonicInstant,
    /// By then the tail must have answered what has to be known before the request is proposed.
    pub(crate) precheck_deadline: MonotonicInstant,
    /// Whether that is known: that the members to be removed are unreachable, or which epoch was the newest when a
    /// zone's change came in.
    pub(crate) is_prechecked: bool,
    /// The number under which its query or its newest proposal goes out. No other request has it, in this incarnation
    /// or an earlier one.
    pub(crate) attempt: u64,
    /// The replica that was queried last, while a query is outstanding. A response of any other is ignored.
    pub(crate) queried: Option<Address>,
}

impl Controller {
    pub(crate) fn on_operator(&mut self, number: u64, request: OperatorRequest, age: RequestAge) {
        if self.now >= age.deadline {
            // It has waited in this process or before it; nothing was started for it.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        let is_read = matches!(request, OperatorRequest::Read(_));
        let patience = if is_read {
            self.timing.read_patience
        } else {
            self.timing.fate_deadline
        };
        let deadline = age.deadline.min(self.now + patience);
        let patience_deadline = self.now + self.timing.patience;
        self.last_attempt += 1;
        let (retry_at, attempt) = (Some(self.now), self.last_attempt);
        let precheck_deadline = match &request {
            OperatorRequest::Propose(proposal) if proposal.command.is_of_a_zone() => {
                age.arrived_after + SEEN_WITHIN
            }
            _ => deadline,
        };
        let is_prechecked = false;
        let pending = PendingRequest {
            request,
            age,
            retry_at,
            patience_deadline,
            deadline,
            precheck_deadline,
            is_prechecked,
            attempt,
            queried: None,
        };
        self.pending.insert(number, pending);
        if !self.replica.has_reachable_majority(self.now) {
            // No request was sent yet, so this is final, and the operator can turn to another controller at once.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        self.retry(number);
    }

    /// Attempts a pending request again, unless one of its deadlines has passed.
    pub(crate) fn retry(&mut self, number: u64) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        if self.now >= pending.deadline {
            let code = match pending.request {
                OperatorRequest::Read(_) => ResultCode::CoreNotReady,
                OperatorRequest::Propose(_) => ResultCode::FateUnknown,
            };
            return self.give_up(number, code);
        }
        if !pending.is_prechecked && self.now >= pending.precheck_deadline {
            // Nothing was proposed; and what the tail answers from now on is newer than the request.
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match pending.request.clone() {
            OperatorRequest::Read(query) => self.attempt_read(number, query),
            OperatorRequest::Propose(proposal) => {
                let precheck = precheck_query(&proposal).filter(|_| !pending.is_prechecked);
                match precheck {
                    Some(query) => self.attempt_precheck(number, query),
                    None => self.attempt_proposal(number, &proposal),
                }
            }
        }
    }

    fn set_retry(&mut self, number: u64, retry_at: Option<MonotonicInstant>) {
        if let Some(pending) = self.pending.get_mut(&number) {
            pending.retry_at = retry_at;
        }
    }

    fn attempt_read(&mut self, number: u64, query: Query) {
        let retry_at = self.now + self.timing.replica.proposal_retry_interval;
        self.set_retry(number, Some(retry_at));
        if self.may_respond() || self.is_readable_here(&query) {
            self.pending.remove(&number);
            let (status, body) = self.read(&query);
            self.respond(number, status, body);
        } else {
            self.query_tail(number, query);
        }
    }

    /// Whether a replica that is not the tail may answer: the base of a change may be old, since the head rejects a
    /// change of any but the newest.
    fn is_readable_here(&self, query: &Query) -> bool {
        let is_base = matches!(query, Query::Base { at_least } if self.replica.state_machine().epoch >= *at_least);
        if !is_base {
            return false;
        }
        let state = self.replica.state();
        state.is_healthy && state.view.contains(&state.me)
    }

    /// Asks the tail what has to be known before the request may be proposed.
    fn attempt_precheck(&mut self, number: u64, query: Query) {
        let retry_at = self.now + self.timing.replica.proposal_retry_interval;
        self.set_retry(number, Some(retry_at));
        if self.may_respond() {
            let (status, body) = self.read(&query);
            self.on_precheck(number, status, body);
        } else {
            self.query_tail(number, query);
        }
    }

    /// Proposes the change. Each attempt has a number of its own, so that a late response to one is not taken for a
    /// response to the next.
    fn attempt_proposal(&mut self, number: u64, proposal: &Proposal) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        self.last_attempt += 1;
        pending.attempt = self.last_attempt;
        pending.queried = None;
        pending.retry_at = None;
        let arrived_after = pending.age.arrived_after;
        self.report_zone_change(proposal, arrived_after);
        let (number, body) = (self.last_attempt, proposal.to_bytes());
        self.drive(Input::Propose { number, body });
    }

    /// Reports that a zone's change is proposed, and on which grounds.
    fn report_zone_change(&mut self, proposal: &Proposal, arrived_after: MonotonicInstant) {
        let change = match &proposal.command {
            Command::Withdraw { .. } => "withdraw",
            Command::Restore { .. } => "restore",
            _ => return,
        };
        self.outputs.push(ControllerOutput::ZoneChangeProposed {
            id: proposal.id.clone(),
            change,
            seen: proposal.seen,
            applied: self.replica.state_machine().epoch,
            pending_for: self.now.since(arrived_after),
        });
    }

    fn respond(&mut self, number: u64, status: u16, body: Vec<u8>) {
        self.outputs.push(ControllerOutput::Response {
            number,
            status,
            body,
        });
    }

    pub(crate) fn query_tail(&mut self, number: u64, query: Query) {
        let Some(tail) = self.replica.view().tail() else {
            return;
        };
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.queried = Some(tail.address);
        let number = pending.attempt;
        self.send(
            tail.address,
            Message::QueryRequest {
                number,
                query: Box::new(query),
            },
        );
    }

    /// Takes a response to a query. It is ignored unless its number is that of a pending request, and its sender the
    /// replica that was queried last.
    pub(crate) fn on_query_response(
        &mut self,
        from: Address,
        attempt: u64,
        status: u16,
        body: Vec<u8>,
    ) {
        let matches_attempt =
            |pending: &PendingRequest| pending.attempt == attempt && pending.queried == Some(from);
        let Some((&number, pending)) = self
            .pending
            .iter()
            .find(|(_, pending)| matches_attempt(pending))
        else {
            return;
        };
        if matches!(pending.request, OperatorRequest::Propose(_)) {
            return self.on_precheck(number, status, body);
        }
        self.pending.remove(&number);
        self.respond(number, status, body);
    }

    /// Takes the tail's response to a query that precedes a proposal: which epoch is the newest, or whether the members
    /// to be removed are unreachable. On success the change is proposed; a tail that does not know yet is queried again;
    /// any other response is the operator's.
    pub(crate) fn on_precheck(&mut self, number: u64, status: u16, body: Vec<u8>) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        if pending.is_prechecked {
            return;
        }
        if self.now >= pending.precheck_deadline {
            return self.give_up(number, ResultCode::CoreNotReady);
        }
        match status {
            200 => {
                if let OperatorRequest::Propose(proposal) = &mut pending.request
                    && proposal.command.is_of_a_zone()
                {
                    let Ok(newest) = body.try_into() else { return };
                    proposal.seen = ConfigEpoch(u64::from_be_bytes(newest));
                }
                pending.is_prechecked = true;
                self.retry(number);
            }
            503 if self.now < pending.patience_deadline => {}
            _ => {
                self.pending.remove(&number);
                self.respond(number, status, body);
            }
        }
    }

    pub(crate) fn give_up(&mut self, number: u64, code: ResultCode) {
        self.pending.remove(&number);
        let body = serde_json::json!({"code": code.number(), "result": code.word(), "why": code.meaning()});
        let body = serde_json::to_vec(&body).expect("a JSON value is JSON");
        self.outputs.push(ControllerOutput::Response {
            number,
            status: code.http_status(),
            body,
        });
    }

    /// Takes the core's response to a proposal of this controller. It is ignored unless it is one to the newest attempt
    /// of an operator's request.
    pub(crate) fn on_response(&mut self, attempt: u64, is_final: bool, body: Vec<u8>) {
        let matches_attempt =
            |pending: &PendingRequest| pending.attempt == attempt && pending.queried.is_none();
        let Some((&number, pending)) = self
            .pending
            .iter_mut()
            .find(|(_, pending)| matches_attempt(pending))
        else {
            return;
        };
        if is_final {
            self.pending.remove(&number);
            let status = status_of(&body);
            self.respond(number, status, body);
        } else if self.now < pending.patience_deadline {
            // The core did not accept it, so a retry can't apply it twice.
            pending.retry_at = Some(self.now + self.timing.replica.proposal_retry_interval);
        } else {
            self.give_up(number, ResultCode::CoreNotReady);
        }
    }
}

/// The query that the tail must answer before this is proposed.
fn precheck_query(proposal: &Proposal) -> Option<Query> {
    match &proposal.command {
        Command::ForceRemove { members } => Some(Query::Reachability {
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
