//! Operators' calls in any dialect, and the state machine that turns each into requests to the core.

use crate::admin::control_client::OPERATOR_PATIENCE;
use crate::admin::control_client::{Attempt, ControlClient, ControlResponse};
use crate::controller::OperatorRequest;
use config::{Command, PlanDialect, PlanError, Proposal};
use transport::{Request, Response};
use types::{ConfigEpoch, Milliseconds, ResultCode, ZoneName, random_bytes};
use wire::Query;

/// What an operator's call asks for, in whatever dialect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCall {
    /// Take a whole plan.
    Plan {
        /// As sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Change the plan.
    Change {
        /// As sent.
        bytes: Vec<u8>,
        /// The revision that it builds on.
        base: u64,
    },
    /// Give the newest plan.
    ReadPlan,
    /// Give a zone no new work.
    Withdraw {
        /// The zone.
        zone: ZoneName,
    },
    /// Give a zone work again.
    Restore {
        /// The zone.
        zone: ZoneName,
    },
    /// Whether this controller serves the core.
    Readiness,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminAnswer {
    /// It is done, or so it is.
    Done,
    /// The newest plan, as it was taken.
    Plan(Vec<u8>),
    /// Not done, or not known to be.
    Refused {
        /// The numbered result.
        code: ResultCode,
        /// More about it.
        why: String,
        /// The plan's faults.
        faults: Vec<PlanError>,
    },
}

/// How operators' calls and their answers look.
pub trait AdminDialect: Send + Sync {
    /// Reads a call; `None` if it is none of the dialect's, an answer at once if it can't be read.
    fn read(&self, request: &Request) -> Result<Option<AdminCall>, Box<Response>>;
    /// Writes its answer.
    fn write(&self, answer: AdminAnswer) -> Response;
    /// How long whoever sent a call of so many bytes waits for its answer. Nothing is begun for it after that.
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

/// The same call at any time and any controller has the same id.
fn content_id(kind: &str, bytes: &[u8], base: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher
        .update(kind.as_bytes())
        .update(&base.to_be_bytes())
        .update(bytes);
    format!("{kind}-{base}-{}", &hasher.finalize().to_hex()[..32])
}

/// What a call's task does next.
#[derive(Debug, Clone)]
pub enum AdminStep {
    /// Ask the core; its answer goes to [`AdminTask::on_response`].
    Request(OperatorRequest),
    /// It is over.
    Answer(AdminAnswer),
}

/// What the core's next answer to a call's task is about.
#[derive(Debug, Clone)]
enum Stage {
    /// The plan that a change is to be merged into.
    Merging {
        id: String,
        bytes: Vec<u8>,
        base: u64,
    },
    /// Whether a document that has faults now was taken before.
    Fate { faults: Vec<PlanError> },
    /// What became of a proposal.
    Proposed,
    /// The newest plan.
    Query,
    /// Nothing; it is over.
    Finished,
}

/// A call on its way, as a state machine: what it asks of the core, step by step, until it is answered.
///
/// Invariant: it is refused for good only by the tail's own word: on a proposal, or that a document which has
/// faults was not taken and builds on nothing that is yet to come.
pub struct AdminTask<'a> {
    plans: &'a dyn PlanDialect,
    zones: &'a [ZoneName],
    stage: Stage,
}

impl<'a> AdminTask<'a> {
    /// A call's task and its first step. `zones` may be evacuated besides those that members and plans name.
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
        AdminStep::Request(OperatorRequest::Read(Query::ConfigEpoch {
            epoch: ConfigEpoch(0),
        }))
    }

    /// The core's status and body in answer to what was asked; `None` if none came in time.
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

    /// Merges a change into the tail's plan, which comes behind its epoch.
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
        let newest = self.plans.parse(plan).map_or(0, |plan| plan.revision);
        if command.is_err() && base > newest {
            // It may have none with the plan that it was made for.
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

    /// Proposes what a document came to. One with faults now may have been taken when it was first sent.
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
    /// Runs a call to its end, for as long as its attempt lasts. `zones` may be withdrawn besides those that members
    /// and plans name.
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

/// Of a call that may be given any number of times.
fn random_id() -> String {
    format!("c-{:032x}", u128::from_be_bytes(random_bytes()))
}

#[cfg(test)]
mod tests;
