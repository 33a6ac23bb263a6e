//! What a controller's admin API makes of an operator's call, step by step, as the daemon's does.

use super::operators::{Basis, Intent, PendingCall};
use crate::world::event::Event;
use crate::world::{Mutant, World};
use config::{Command, Proposal};
use config::{OwnPlans, PlanError};
use controller::{ControllerInput, OperatorRequest, RequestAge};
use types::{ConfigEpoch, Milliseconds, MonotonicInstant, ResultCode};
use wire::Query;

/// How long the admin API takes an operator to wait that sends a call again after a second.
const OPERATOR_TIMEOUT: Milliseconds = Milliseconds(950);
/// The same for an operator that waits, as on the product's own interface.
const PATIENT_OPERATOR_TIMEOUT: Milliseconds = Milliseconds::seconds(12);

/// How far the admin API has come with a patch.
#[derive(Debug, Clone)]
pub(super) enum PatchStep {
    /// The plan that it changes is read.
    ReadsBase(Vec<u8>, Basis),
    /// It has faults; whether it was taken before they came is read.
    ReadsFate,
}

impl World {
    /// A call reaches a controller, if that is still the process that it was sent to.
    pub(super) fn on_call_reaches(
        &mut self,
        machine: usize,
        incarnation: u64,
        call: u64,
        arrived_at: u64,
    ) {
        let event = Event::CallReaches {
            machine,
            incarnation,
            call,
            arrived_at,
        };
        let m = &self.controllers[machine];
        if m.incarnation != incarnation || m.controller.is_none() {
            // Refused or reset: the operator knows at once.
            return self.on_call_timeout(call);
        }
        if !self.is_awake(true, machine, &event) {
            return;
        }
        let age = self.age_of_call(machine, arrived_at);
        let Some((intent, pending)) = self.pending_call_of(call, age) else {
            return;
        };
        match intent {
            Intent::ReadState => self.read(machine, call, pending, Query::Latest),
            Intent::ReadPlan => self.read(
                machine,
                call,
                pending,
                Query::AcceptedCommand {
                    epoch: ConfigEpoch(0),
                },
            ),
            Intent::Command(command) => {
                self.propose(machine, call, pending, Ok(command), None, &[]);
            }
            Intent::Plan { bytes, basis } => {
                let command = Command::plan_in(&OwnPlans, bytes, base_revision(basis));
                self.propose(machine, call, pending, command, Some(basis), &[]);
            }
            Intent::Patch { bytes, basis } => {
                self.patches
                    .insert(call, PatchStep::ReadsBase(bytes, basis));
                let at_least = match basis {
                    Basis::ConfigEpoch(epoch) => ConfigEpoch(epoch),
                    Basis::Revision { .. } => ConfigEpoch(u64::MAX),
                };
                self.read(machine, call, pending, Query::Base { at_least });
            }
        }
    }

    /// How old a call may be that came to a controller's machine at `arrived_at`, by that machine's clock.
    fn age_of_call(&self, machine: usize, arrived_at: u64) -> RequestAge {
        let arrived_at = match self.rules.mutant {
            Some(Mutant::CountFromRead) => self.now,
            _ => arrived_at,
        };
        let arrived_after = MonotonicInstant(arrived_at + self.controllers[machine].offset);
        let timeout = if self.counts_by_epochs() {
            PATIENT_OPERATOR_TIMEOUT
        } else {
            OPERATOR_TIMEOUT
        };
        RequestAge::new(arrived_after, timeout)
    }

    /// A controller sees that an operator's connection is closed.
    pub(super) fn on_connection_closed(&mut self, machine: usize, incarnation: u64, call: u64) {
        let is_same = self.controllers[machine].incarnation == incarnation
            && self.controllers[machine].controller.is_some();
        if !is_same
            || !self.is_awake(
                true,
                machine,
                &Event::ConnectionClosed {
                    machine,
                    incarnation,
                    call,
                },
            )
        {
            return;
        }
        self.patches.remove(&call);
        if self.operators.pending.remove(&call).is_some() {
            self.step_controller(machine, ControllerInput::Abandoned { number: call });
        }
    }

    fn read(&mut self, machine: usize, call: u64, pending: PendingCall, query: Query) {
        let age = pending.age;
        self.operators.pending.insert(call, pending);
        if self.rules.mutant == Some(Mutant::StaleReads)
            && matches!(query, Query::AcceptedCommand { .. })
        {
            return self.read_here(machine, call);
        }
        self.step_controller(
            machine,
            ControllerInput::Operator {
                number: call,
                request: OperatorRequest::Read(query),
                age,
            },
        );
    }

    /// For the mutant: the plan as this controller has it.
    fn read_here(&mut self, machine: usize, call: u64) {
        let controller = self.controllers[machine].controller.as_ref();
        let plan = controller
            .map(|controller| controller.replica().state_machine().plan.clone())
            .unwrap_or_default();
        self.on_operator_response(call, if plan.is_empty() { 404 } else { 200 }, &plan);
    }

    fn propose(
        &mut self,
        machine: usize,
        call: u64,
        mut pending: PendingCall,
        command: Result<Command, Vec<PlanError>>,
        basis: Option<Basis>,
        base: &[u8],
    ) {
        let Ok(command) = command else {
            self.patches.insert(call, PatchStep::ReadsFate);
            let id = pending.id.clone();
            return self.read(machine, call, pending, Query::CommandStatus { id });
        };
        self.witness.proposed(self.now, &pending.id, &command, base);
        let builds_on = match basis {
            Some(Basis::ConfigEpoch(epoch)) => Some(ConfigEpoch(epoch)),
            _ => None,
        };
        let proposal = Proposal {
            id: pending.id.clone(),
            builds_on,
            seen: ConfigEpoch(0),
            command: command.clone(),
        };
        pending.command = Some(command);
        let age = pending.age;
        self.operators.pending.insert(call, pending);
        self.step_controller(
            machine,
            ControllerInput::Operator {
                number: call,
                request: OperatorRequest::Propose(proposal),
                age,
            },
        );
    }

    /// A controller answers: the admin API goes on with a patch, or hands the answer to the operator.
    pub(super) fn on_controller_response(
        &mut self,
        machine: usize,
        number: u64,
        status: u16,
        body: &[u8],
    ) {
        match self.patches.remove(&number) {
            None => self.on_operator_response(number, status, body),
            Some(PatchStep::ReadsBase(bytes, basis)) if status == 200 && body.len() >= 8 => {
                let Some(pending) = self.operators.pending.remove(&number) else {
                    return;
                };
                let (epoch, plan) = body.split_at(8);
                let epoch = ConfigEpoch(u64::from_be_bytes(epoch.try_into().unwrap_or_default()));
                let command =
                    Command::change_in(&OwnPlans, bytes, epoch, plan, base_revision(basis));
                self.propose(machine, number, pending, command, Some(basis), plan);
            }
            Some(PatchStep::ReadsBase(..)) => self.answer_patch(number, ResultCode::CoreNotReady),
            Some(PatchStep::ReadsFate) if status == 200 => self.answer_patch_as(number, body),
            // Only a clear answer that it was never accepted makes the refusal final.
            Some(PatchStep::ReadsFate) if status == ResultCode::UnknownChange.http_status() => {
                self.answer_patch(number, ResultCode::BadPlan);
            }
            Some(PatchStep::ReadsFate) => self.answer_patch(number, ResultCode::CoreNotReady),
        }
    }

    fn answer_patch(&mut self, number: u64, code: ResultCode) {
        self.answer_patch_as(
            number,
            serde_json::json!({"code": code.number()})
                .to_string()
                .as_bytes(),
        );
    }

    /// The answer to a patch that wasn't proposed this time.
    fn answer_patch_as(&mut self, number: u64, body: &[u8]) {
        let Some(mut pending) = self.operators.pending.remove(&number) else {
            return;
        };
        self.witness.not_proposed(&pending.id);
        pending.command = Some(Command::FinalizeMembership {
            since: ConfigEpoch(0),
        });
        self.operators.pending.insert(number, pending);
        self.on_operator_response(number, 200, body);
    }
}

fn base_revision(basis: Basis) -> Option<u64> {
    match basis {
        Basis::ConfigEpoch(_) => None,
        Basis::Revision { base, .. } => Some(base),
    }
}
