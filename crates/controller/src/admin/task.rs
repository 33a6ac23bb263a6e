//! Operators' calls in any dialect, and the state machine that turns each into requests to the core.

use crate::admin::control_client::OPERATOR_PATIENCE;
use crate::admin::control_client::{Attempt, ControlClient, ControlResponse};
use crate::controller::OperatorRequest;
use config::{Command, PlanDialect, PlanError, Proposal};
use transport::{Request, Response};
use types::{ConfigEpoch, Milliseconds, ResultCode, ZoneName, random_bytes};
use wire::Query;

/// An operator's call, independent of the dialect in which it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Replaces the plan by a complete one.
    Plan {
        /// The document as it was sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Merges a change into the plan.
    Change {
        /// The document as it was sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Reads the newest plan.
    ReadPlan,
    /// Withdraws a zone, which then gets no new work.
    Withdraw {
        /// The name of the zone.
        zone: ZoneName,
    },
    /// Restores a zone, which then gets work again.
    Restore {
        /// The name of the zone.
        zone: ZoneName,
    },
    /// Checks whether this controller serves the core.
    Readiness,
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminAnswer {
    /// The change is accepted, or the check succeeded.
    Done,
    /// The newest plan, as it was accepted.
    Plan(Vec<u8>),
    /// The call was rejected, failed, or has an unknown fate.
    Refused {
        /// The result code, which says which of these it is.
        code: ResultCode,
        /// An explanation for the operator.
        why: String,
        /// The errors found in the plan; empty if the plan is not the cause.
        faults: Vec<PlanError>,
    },
}

/// The format of operators' calls and of the responses to them.
pub trait AdminDialect: Send + Sync {
    /// Parses a call; `None` if the request is not one of this dialect's calls.
    ///
    /// # Errors
    ///
    /// Returns the response to send at once if the call is malformed.
    fn read(&self, request: &Request) -> Result<Option<AdminCall>, Box<Response>>;
    /// Renders the response to a call.
    fn write(&self, answer: AdminAnswer) -> Response;
    /// The time-out of whoever sends a call with a body of this size. Nothing is started for the call after that.
    fn patience(&self, _body_bytes: usize) -> Milliseconds {
        OPERATOR_PATIENCE
    }
}

fn rejected(code: ResultCode, why: impl Into<String>, faults: Vec<PlanError>) -> AdminAnswer {
    AdminAnswer::Refused {
        code,
        why: why.into(),
        faults,
    }
}

fn readiness(is_ready: bool) -> AdminAnswer {
    if is_ready {
        AdminAnswer::Done
    } else {
        rejected(ResultCode::CoreNotReady, "not in the chain", vec![])
    }
}

/// Turns the core's HTTP status and JSON body into an answer. A body without a known code is an unknown fate.
fn answer_from(status: u16, body: &[u8]) -> AdminAnswer {
    if status == 200 {
        return AdminAnswer::Done;
    }
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let is_code = |code: &&ResultCode| value["code"].as_u64() == Some(u64::from(code.number()));
    let code = ResultCode::ALL
        .iter()
        .find(is_code)
        .copied()
        .unwrap_or(ResultCode::FateUnknown);
    rejected(code, value["why"].as_str().unwrap_or_default(), vec![])
}

/// The id of a call, from its content alone: the same call has the same id at any time and at any controller.
fn content_id(kind: &str, bytes: &[u8], base: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(kind.as_bytes())
        .update(&base.to_be_bytes())
        .update(bytes);
    format!("{kind}-{base}-{}", &hasher.finalize().to_hex()[..32])
}

/// The next step of a call's task.
#[derive(Debug, Clone)]
pub enum AdminStep {
    /// Send this request to the core, and pass the response to [`AdminTask::on_response`].
    Request(OperatorRequest),
    /// The call is complete, with this outcome.
    Answer(AdminAnswer),
}

/// What the core's next response to a call's task is about.
#[derive(Debug, Clone)]
enum Stage {
    /// The plan that a change is to be merged into.
    Merging {
        id: String,
        bytes: Vec<u8>,
        base: u64,
    },
    /// The status of a document that has errors now but may have been accepted before.
    Fate { faults: Vec<PlanError> },
    /// The outcome of a proposal.
    Proposed,
    /// The newest plan.
    Query,
    /// No response is awaited, since the call is complete.
    Finished,
}

/// A call in flight, as a state machine: its requests to the core, one after another, until its outcome is known.
///
/// Invariant: it is rejected for good only by a response of the tail, either to a proposal, or that a document with
/// errors was not accepted before and builds on no revision that is yet to be accepted.
pub struct AdminTask<'a> {
    plans: &'a dyn PlanDialect,
    zones: &'a [ZoneName],
    stage: Stage,
}

impl<'a> AdminTask<'a> {
    /// Starts the task of a call, and returns it with its first step. `zones` are zones that may be withdrawn besides
    /// those that members and plans name.
    pub fn begin(
        call: AdminCall,
        plans: &'a dyn PlanDialect,
        zones: &'a [ZoneName],
        is_ready: bool,
    ) -> (AdminTask<'a>, AdminStep) {
        let mut task = AdminTask {
            plans,
            zones,
            stage: Stage::Finished,
        };
        let step = match call {
            AdminCall::Plan { bytes, base } => {
                let id = content_id("plan", &bytes, base);
                let command = Command::plan_in(plans, bytes, Some(base));
                task.propose_document(id, command)
            }
            AdminCall::Change { bytes, base } => task.request_merge_base(bytes, base),
            AdminCall::ReadPlan => task.request_plan(),
            AdminCall::Withdraw { zone } => task.propose(random_id(), Command::Withdraw { zone }),
            AdminCall::Restore { zone } => task.propose(random_id(), Command::Restore { zone }),
            AdminCall::Readiness => AdminStep::Answer(readiness(is_ready)),
        };
        (task, step)
    }

    /// Requests the plan that a change is to be merged into. It is read at the tail, since a change merged into an
    /// older plan would be rejected as a conflict where there is none.
    fn request_merge_base(&mut self, bytes: Vec<u8>, base: u64) -> AdminStep {
        self.stage = Stage::Merging {
            id: content_id("change", &bytes, base),
            bytes,
            base,
        };
        AdminStep::Request(OperatorRequest::Read(Query::Base {
            at_least: ConfigEpoch(u64::MAX),
        }))
    }

    fn request_plan(&mut self) -> AdminStep {
        self.stage = Stage::Query;
        AdminStep::Request(OperatorRequest::Read(Query::AcceptedCommand {
            epoch: ConfigEpoch(0),
        }))
    }

    /// Takes the core's response to the last request, `None` if it timed out, and returns the next step.
    pub fn on_response(&mut self, response: Option<ControlResponse>) -> AdminStep {
        let stage = std::mem::replace(&mut self.stage, Stage::Finished);
        let Some((status, body)) = response else {
            let code = if matches!(stage, Stage::Proposed) {
                ResultCode::FateUnknown
            } else {
                ResultCode::CoreNotReady
            };
            return AdminStep::Answer(rejected(code, "no answer in time", vec![]));
        };
        match stage {
            Stage::Merging { id, bytes, base } if status == 200 => {
                self.merge(id, bytes, base, &body)
            }
            Stage::Fate { faults } if status == ResultCode::UnknownChange.http_status() => {
                AdminStep::Answer(rejected(ResultCode::BadPlan, "nothing changed", faults))
            }
            Stage::Query if status == 200 => AdminStep::Answer(AdminAnswer::Plan(body)),
            Stage::Merging { .. }
            | Stage::Fate { .. }
            | Stage::Proposed
            | Stage::Query
            | Stage::Finished => AdminStep::Answer(answer_from(status, &body)),
        }
    }

    /// Merges a change into the tail's plan. The response holds the plan's epoch in 8 bytes, and then the plan.
    fn merge(&mut self, id: String, bytes: Vec<u8>, base: u64, response: &[u8]) -> AdminStep {
        let Some((epoch, plan)) = response.split_first_chunk::<8>() else {
            return AdminStep::Answer(rejected(
                ResultCode::CoreNotReady,
                "no plan to merge into",
                vec![],
            ));
        };
        let command = Command::change_in(
            self.plans,
            bytes,
            ConfigEpoch(u64::from_be_bytes(*epoch)),
            plan,
            Some(base),
        );
        let newest = self
            .plans
            .parse_accepted(plan)
            .map_or(0, |plan| plan.revision);
        if command.is_err() && base > newest {
            // It may be free of errors when merged into the plan that it was made for.
            let why = format!("it builds on revision {base}, which is not accepted so far");
            return AdminStep::Answer(rejected(ResultCode::CoreNotReady, why, vec![]));
        }
        self.propose_document(id, command)
    }

    fn propose(&mut self, id: String, command: Command) -> AdminStep {
        self.stage = Stage::Proposed;
        AdminStep::Request(OperatorRequest::Propose(Proposal {
            id,
            builds_on: None,
            seen: ConfigEpoch(0),
            command,
        }))
    }

    /// Proposes a document's command. A document that has errors now may have been accepted when it was first sent, so
    /// its status is requested first.
    fn propose_document(
        &mut self,
        id: String,
        command: Result<Command, Vec<PlanError>>,
    ) -> AdminStep {
        match command {
            Ok(command) => self.propose(id, command.with_zones(self.zones)),
            Err(faults) => {
                self.stage = Stage::Fate { faults };
                AdminStep::Request(OperatorRequest::Read(Query::CommandStatus { id }))
            }
        }
    }
}

impl ControlClient {
    /// Runs a call until it is complete or its attempt is over. `zones` are zones that may be withdrawn besides those
    /// that members and plans name.
    pub fn execute(
        &self,
        call: AdminCall,
        plans: &dyn PlanDialect,
        zones: &[ZoneName],
        is_ready: bool,
        attempt: &Attempt,
    ) -> AdminAnswer {
        let (mut task, mut step) = AdminTask::begin(call, plans, zones, is_ready);
        loop {
            match step {
                AdminStep::Answer(answer) => return answer,
                AdminStep::Request(request) => {
                    step = task.on_response(self.request(request, attempt).ok());
                }
            }
        }
    }
}

/// A new id, for calls that may be repeated and are a new change each time.
fn random_id() -> String {
    format!("c-{:032x}", u128::from_be_bytes(random_bytes()))
}

#[cfg(test)]
mod tests;
