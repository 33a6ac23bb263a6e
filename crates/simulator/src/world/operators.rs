//! Operators: plans, patches, races, storms, withdrawals, reads; and calls that are sent again.

use super::history::{CallAction, CallAnswer};
use crate::world::RouterMachine;
use crate::world::event::Event;
use crate::world::{Mutant, World};
use config::Command;
use controller::RequestAge;
use std::collections::BTreeMap;
use types::{Address, ResultCode, ZoneName};

/// What operators want, their calls under way, and what they know.
#[derive(Default)]
pub(super) struct Operators {
    /// Calls that are pending at a controller, by their numbers.
    pub pending: BTreeMap<u64, PendingCall>,
    /// Calls that their operator waits for, by their numbers.
    pub calls: BTreeMap<u64, OperatorCall>,
    /// What calls asked for that were given up on connections which stay open, by their numbers.
    left_open: BTreeMap<u64, Command>,
    tasks: BTreeMap<u64, Task>,
    next_call: u64,
    next_task: u64,
    pub epoch: u64,
    /// The newest revision that an operator knows of.
    revision: u64,
    /// A zone that may be withdrawn; it stays here until its restoring was accepted.
    pub withdrawn: Option<ZoneName>,
    pub storm_until: u64,
    /// The controller that acknowledged the last change.
    pub last_actor: Option<usize>,
    /// Percent of answers that are lost on their way.
    pub answer_loss: u64,
}

/// A call as the controller knows it at which it is pending.
pub(super) struct PendingCall {
    pub at: u64,
    /// How old it may be, by its controller's clock.
    pub age: RequestAge,
    pub id: String,
    pub command: Option<Command>,
    pub newest_acknowledged: u64,
    /// Routers that were lost when the call came.
    pub lost: Vec<Address>,
}

/// A call as its operator knows it.
pub(super) struct OperatorCall {
    pub task: u64,
    pub machine: usize,
    pub is_answer_lost: bool,
}

/// Something that an operator wants, sent again until there is a clear answer.
pub(super) struct Task {
    pub intent: Intent,
    /// Of a plan or patch: the same each time that it's sent.
    pub id: String,
    /// Where it's to be sent; anywhere if nowhere.
    pub machine: Option<usize>,
    sends: u32,
    /// How often it's sent at most.
    most_sends: u32,
    /// Its operator waits for the answer for as long as it takes.
    is_patient: bool,
    /// Its operator leaves a connection open on which no answer came.
    never_closes_connections: bool,
}

/// What an operator wants.
#[derive(Debug, Clone)]
pub(super) enum Intent {
    /// A whole plan.
    Plan { bytes: Vec<u8>, basis: Basis },
    /// A change of the plan, merged by the controller's admin API.
    Patch { bytes: Vec<u8>, basis: Basis },
    /// Anything else that changes something.
    Command(Command),
    /// The newest state without plans.
    ReadState,
    /// The plan in force.
    ReadPlan,
}

/// What a plan builds on.
#[derive(Debug, Clone, Copy)]
pub(super) enum Basis {
    /// An epoch that its operator looked at.
    ConfigEpoch(u64),
    /// A revision of the operators' own, and the plan's own.
    Revision { base: u64, own: u64 },
}

/// Without an answer for this long, an operator sends the same to another controller.
const CALL_TIMEOUT: u64 = 1000;
/// Before the first time that something is sent again; each pause is twice the one before,
const FIRST_PAUSE: u64 = 100;
/// up to this.
const LONGEST_PAUSE: u64 = 1600;
const MOST_SENDS: u32 = 8;
/// A controller notices within this that an operator has closed its connection.
const CLOSE_NOTICED_WITHIN: u64 = 100;
/// Tasks that operators have under way at once.
const MOST_TASKS: usize = 8;

impl World {
    /// In one run of four, operators count by epochs and wait for each answer; in the others they count by their
    /// own revisions, and send what has no clear answer again.
    pub(super) fn counts_by_epochs(&self) -> bool {
        self.rules.seed.is_multiple_of(4)
    }

    pub(super) fn on_operate(&mut self) {
        let end = self.rules.span.0 + self.rules.calm.0;
        let is_storm = self.now < self.operators.storm_until;
        let usual = self.rules.operators_gap.0;
        let gap = if is_storm {
            15 + self.below(30)
        } else {
            usual + self.below(5 * usual)
        };
        if self.now + gap + 9000 < end || self.operators.epoch == 0 {
            self.put(gap, Event::Operate);
        }
        if self
            .operators
            .tasks
            .values()
            .filter(|task| !task.is_patient)
            .count()
            >= MOST_TASKS
        {
            return;
        }
        if self.operators.epoch == 0 {
            return self.propose_plan(self.newest_basis(), true, None);
        }
        match self.below(10) {
            0..3 => {
                let basis = self.newest_basis();
                let allows_extra = self.chance(50);
                self.propose_plan(basis, allows_extra, None);
                if self.chance(50) {
                    // Another operator looked at the same, and picked the same number.
                    self.propose_plan(basis, !allows_extra, None);
                }
            }
            7 | 8 => self.propose_patch(),
            3 | 4 => self.evacuate_or_restore_at(None),
            5 if !self.counts_by_epochs() => self.begin(Intent::ReadPlan, None),
            _ => self.begin(Intent::ReadState, None),
        }
    }

    fn newest_basis(&self) -> Basis {
        if self.counts_by_epochs() {
            return Basis::ConfigEpoch(self.operators.epoch);
        }
        Basis::Revision {
            base: self.operators.revision,
            own: self.operators.revision + 1,
        }
    }

    /// An operator evacuates a zone, or takes that back, by way of this machine or any.
    pub(super) fn evacuate_or_restore_at(&mut self, machine: Option<usize>) {
        let command = match self.operators.withdrawn.clone() {
            Some(zone) => Command::Restore { zone },
            None => {
                let zones = self.rules.deployment.shape().zones;
                let zone = ZoneName::from(zones[self.below(zones.len() as u64) as usize]);
                self.operators.withdrawn = Some(zone.clone());
                Command::Withdraw { zone }
            }
        };
        self.begin(Intent::Command(command), machine);
    }

    /// An operator sends a plan to this machine.
    pub(super) fn propose_at(&mut self, machine: usize) {
        self.propose_plan(self.newest_basis(), true, Some(machine));
    }

    fn propose_plan(&mut self, basis: Basis, allows_extra: bool, machine: Option<usize>) {
        let btb = self.rules.btb.clone();
        let stream = |is_resumable: bool| serde_json::json!({"resumable": is_resumable, "slots": 16, "first_token_ms": 4000, "btb": btb});
        let mut services = serde_json::json!({
            "drafts": stream(true), "questions": stream(false),
            "pages": {"kind": "fetch", "pool": "app", "idempotent": true, "slots": 64},
        });
        if allows_extra {
            // Now and then it may be repeated; the checkers take it from the plans in force.
            services["extra"] = stream(true);
            services["extra"]["idempotent"] = self.chance(50).into();
        }
        let padding = if self.chance(self.rules.large_plans) {
            "x".repeat(600_000)
        } else {
            String::new()
        };
        let mut plan =
            serde_json::json!({"services": services, "note": self.note_of_next(&padding)});
        if let Basis::Revision { own, .. } = basis {
            plan["revision"] = own.into();
        }
        if self.rules.tenants > 0 {
            plan["tenants"] = self.tenants_of_plan();
        }
        self.begin(
            Intent::Plan {
                bytes: plan.to_string().into_bytes(),
                basis,
            },
            machine,
        );
    }

    /// A change, merged by the admin API into its plan.
    fn propose_patch(&mut self) {
        let is_kept = self.chance(50);
        let basis = self.newest_basis();
        let mut change = serde_json::json!({"services": {"extra": {"resumable": true, "idempotent": is_kept}}, "n": null,
            "note": self.note_of_next("changed")});
        if let Basis::Revision { own, .. } = basis {
            change["revision"] = own.into();
        }
        self.begin(
            Intent::Patch {
                bytes: change.to_string().into_bytes(),
                basis,
            },
            None,
        );
    }

    /// Shows in a plan that is read which task made it.
    fn note_of_next(&self, more: &str) -> String {
        format!("{} {more}", self.operators.next_task + 1)
    }

    fn lost(&self) -> Vec<Address> {
        self.routers
            .iter()
            .filter(|m| m.is_lost)
            .map(|m| m.address)
            .collect()
    }

    /// Has the lost forgotten; the second time one that lives is named besides, and must not be.
    pub(super) fn on_forget(&mut self, step: usize) {
        let mut members = self.lost();
        if members.is_empty() {
            return;
        }
        let now = self.now;
        let is_well =
            |m: &&RouterMachine| m.node.is_some() && now >= m.frozen_until && !m.is_cut_off;
        if step == 1 && self.cut.is_empty() && self.loss == 0 {
            members.extend(self.routers.iter().find(is_well).map(|m| m.address));
        }
        self.send_once(Command::ForceRemove { members });
    }

    /// Asks some controller that is up to change something, once.
    pub(super) fn send_once(&mut self, command: Command) {
        self.begin_task(Intent::Command(command), None, 1, true);
    }

    /// An operator wants something, and sends it to this machine first, or to any.
    pub(super) fn begin(&mut self, intent: Intent, machine: Option<usize>) {
        let is_read = matches!(intent, Intent::ReadState | Intent::ReadPlan);
        let most_sends = if is_read || self.counts_by_epochs() {
            1
        } else {
            MOST_SENDS
        };
        self.begin_task(intent, machine, most_sends, self.counts_by_epochs());
    }

    fn begin_task(
        &mut self,
        intent: Intent,
        machine: Option<usize>,
        most_sends: u32,
        is_patient: bool,
    ) {
        let task = self.add_task(intent, machine, most_sends, is_patient);
        self.send_call(task);
    }

    fn add_task(
        &mut self,
        intent: Intent,
        machine: Option<usize>,
        most_sends: u32,
        is_patient: bool,
    ) -> u64 {
        self.operators.next_task += 1;
        let task = self.operators.next_task;
        let id = format!("op-t{task}");
        self.operators.tasks.insert(
            task,
            Task {
                intent,
                id,
                machine,
                sends: 0,
                most_sends,
                is_patient,
                never_closes_connections: false,
            },
        );
        task
    }

    /// An operator orders something by way of this machine, then of others, and closes none of the connections.
    pub(super) fn begin_on_open_connections(&mut self, command: Command, machine: usize) {
        let intent = Intent::Command(command);
        let task = self.add_task(intent, Some(machine), MOST_SENDS, false);
        if let Some(task) = self.operators.tasks.get_mut(&task) {
            task.never_closes_connections = true;
        }
        self.send_call(task);
    }

    /// Sends what a task wants as one more call.
    pub(super) fn send_call(&mut self, task: u64) {
        let Some(machine) = self.pick_controller(task) else {
            return self.try_later(task);
        };
        self.operators.next_call += 1;
        let call = self.operators.next_call;
        let counts_by_epochs = self.counts_by_epochs();
        let is_answer_lost = self.chance(self.operators.answer_loss);
        let Some(found) = self.operators.tasks.get_mut(&task) else {
            return;
        };
        found.sends += 1;
        let (action, is_patient) = (action_of(task, &found.intent), found.is_patient);
        let is_change = !matches!(found.intent, Intent::ReadState | Intent::ReadPlan);
        // Where plans are counted by epochs, the register of plans isn't judged.
        let is_judged =
            |action: &CallAction| !(counts_by_epochs && matches!(action, CallAction::ReadPlan));
        if let Some(action) = action.filter(is_judged) {
            self.history.sent(self.now, call, action);
        }
        self.operators.calls.insert(
            call,
            OperatorCall {
                task,
                machine,
                is_answer_lost,
            },
        );
        let incarnation = self.controllers[machine].incarnation;
        self.put(
            1,
            Event::CallReaches {
                machine,
                incarnation,
                call,
                arrived_at: self.now + 1,
            },
        );
        if is_change {
            self.inject_after_send(machine);
        }
        if !is_patient {
            self.put(CALL_TIMEOUT, Event::CallTimeout { call });
        }
    }

    /// Where a task's next call goes: to the machine that is wanted, and then to others.
    fn pick_controller(&mut self, task: u64) -> Option<usize> {
        let found = self.operators.tasks.get_mut(&task)?;
        if let Some(machine) = found.machine.take() {
            return Some(machine);
        }
        let last = self
            .operators
            .calls
            .values()
            .filter(|call| call.task == task)
            .map(|call| call.machine)
            .next_back();
        let is_up = |place: &usize| self.controllers[*place].controller.is_some();
        let up: Vec<usize> = (0..self.controllers.len()).filter(is_up).collect();
        let others: Vec<usize> = up
            .iter()
            .copied()
            .filter(|place| Some(*place) != last)
            .collect();
        let from = if others.is_empty() { up } else { others };
        if from.is_empty() {
            return None;
        }
        Some(from[self.below(from.len() as u64) as usize])
    }

    /// After a pause that grows, if it may be sent again at all.
    fn try_later(&mut self, task: u64) {
        let Some(found) = self.operators.tasks.get_mut(&task) else {
            return;
        };
        if found.sends >= found.most_sends || found.most_sends == 1 {
            self.operators.tasks.remove(&task);
            return;
        }
        // Where nobody was up, nothing was sent; it counts all the same.
        let pause = (FIRST_PAUSE << found.sends.min(10)).min(LONGEST_PAUSE);
        let pause = pause + self.below(pause / 2);
        self.put(pause, Event::SendAgain { task });
    }

    /// An operator waits for this call no longer.
    pub(super) fn on_call_timeout(&mut self, call: u64) {
        let Some(given_up) = self.operators.calls.remove(&call) else {
            return;
        };
        self.history.given_up(self.now, call);
        if self.abandon_on_open_connection(call, given_up.task) {
            return self.try_later(given_up.task);
        }
        let (machine, incarnation) = (
            given_up.machine,
            self.controllers[given_up.machine].incarnation,
        );
        let notices = 1 + self.below(CLOSE_NOTICED_WITHIN);
        self.put(
            notices,
            Event::ConnectionClosed {
                machine,
                incarnation,
                call,
            },
        );
        self.try_later(given_up.task);
    }

    /// Leaves the connection of a call open, if its operator does so; returns whether it does.
    fn abandon_on_open_connection(&mut self, call: u64, task: u64) -> bool {
        let Some(task) = self.operators.tasks.get(&task) else {
            return false;
        };
        match &task.intent {
            Intent::Command(command) if task.never_closes_connections => {
                self.operators.left_open.insert(call, command.clone());
                true
            }
            _ => false,
        }
    }

    /// What a call wants at the controller that it reached, and the id of what a document changes; `None` once its
    /// connection is closed.
    fn intent_of_call(&self, call: u64) -> Option<(Intent, String)> {
        if let Some(command) = self.operators.left_open.get(&call) {
            return Some((Intent::Command(command.clone()), String::new()));
        }
        let task = self.operators.calls.get(&call)?.task;
        let found = self.operators.tasks.get(&task)?;
        Some((found.intent.clone(), found.id.clone()))
    }

    /// What a call is at the controller that it reached.
    pub(super) fn pending_call_of(
        &self,
        call: u64,
        age: RequestAge,
    ) -> Option<(Intent, PendingCall)> {
        let (intent, document_id) = self.intent_of_call(call)?;
        // Withdrawals and their like get an id of their own with each call, as at the daemon's admin API.
        let is_new =
            matches!(intent, Intent::Command(_)) || self.rules.mutant == Some(Mutant::NewIds);
        let id = if is_new {
            format!("op-{call}")
        } else {
            document_id
        };
        let (newest_acknowledged, lost) = (self.witness.newest_acknowledged, self.lost());
        Some((
            intent,
            PendingCall {
                at: self.now,
                age,
                id,
                command: None,
                newest_acknowledged,
                lost,
            },
        ))
    }

    /// A controller answers a call.
    pub(super) fn on_operator_response(&mut self, number: u64, status: u16, body: &[u8]) {
        let Some(pending) = self.operators.pending.remove(&number) else {
            return;
        };
        // Of calls that were given up, and answers that are lost, operators learn nothing.
        let call = self.operators.calls.get(&number);
        if call.is_some_and(|call| call.is_answer_lost)
            || (call.is_none() && number <= self.operators.next_call)
        {
            return;
        }
        let call = self.operators.calls.remove(&number);
        match pending.command {
            Some(_) => self.on_change_answered(number, call, pending, body),
            None => self.on_read(number, call, &pending, status, body),
        }
    }

    fn on_change_answered(
        &mut self,
        number: u64,
        call: Option<OperatorCall>,
        pending: PendingCall,
        body: &[u8],
    ) {
        let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        let epoch = value["epoch"].as_u64().unwrap_or(0);
        let code = value["code"].as_u64().unwrap_or(0);
        let is = |known: ResultCode| code == u64::from(known.number());
        let is_accepted = is(ResultCode::Accepted);
        let is_unclear = is(ResultCode::CoreNotReady)
            || is(ResultCode::FateUnknown)
            || is(ResultCode::Overtaken);
        self.witness
            .record_acknowledgement(self.now, pending.at, &pending.id, code, epoch);
        match (is_accepted, is_unclear) {
            (true, _) => self.history.answered(self.now, number, CallAnswer::Done),
            (_, true) => self.history.given_up(self.now, number),
            _ => self.history.answered(self.now, number, CallAnswer::Refused),
        }
        if is_accepted {
            self.on_accepted(&pending, call.as_ref(), epoch);
        }
        let Some(call) = call else { return };
        if is_unclear {
            return self.try_later(call.task);
        }
        if let Some(task) = self.operators.tasks.remove(&call.task)
            && let Intent::Plan {
                basis: Basis::Revision { base, own },
                ..
            }
            | Intent::Patch {
                basis: Basis::Revision { base, own },
                ..
            } = task.intent
        {
            let known = if is_accepted { own } else { base };
            self.operators.revision = self.operators.revision.max(known);
            if !is_accepted {
                // Another version is current: which?
                self.begin(Intent::ReadPlan, None);
            }
        }
    }

    fn on_accepted(&mut self, pending: &PendingCall, call: Option<&OperatorCall>, epoch: u64) {
        match &pending.command {
            Some(Command::ForceRemove { members }) => {
                // Who was lost when it was asked may have come back since.
                let is_wrong = |m: &&RouterMachine| {
                    members.contains(&m.address) && !m.is_lost && !pending.lost.contains(&m.address)
                };
                if let Some(living) = self.routers.iter().find(is_wrong).map(|m| m.address)
                    && pending.at + 200 > self.now
                {
                    self.witness
                        .violate(self.now, format!("{living} lives and was forgotten"));
                }
            }
            Some(Command::Restore { zone }) if self.operators.withdrawn.as_ref() == Some(zone) => {
                self.operators.withdrawn = None;
            }
            _ => {}
        }
        self.operators.epoch = self.operators.epoch.max(epoch);
        self.operators.last_actor = call.map(|call| call.machine).or(self.operators.last_actor);
        self.inject_after_ack();
    }

    fn on_read(
        &mut self,
        number: u64,
        call: Option<OperatorCall>,
        pending: &PendingCall,
        status: u16,
        body: &[u8],
    ) {
        let task = call.and_then(|call| self.operators.tasks.remove(&call.task));
        let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
        if let Some(Task {
            intent: Intent::ReadPlan,
            ..
        }) = task
        {
            // Before the first there is none.
            let maker = value["note"]
                .as_str()
                .and_then(|note| note.split(' ').next()?.parse().ok());
            let maker = if status == 404 {
                Some(0)
            } else {
                maker.filter(|_| status == 200)
            };
            if let Some(maker) = maker {
                self.history
                    .answered(self.now, number, CallAnswer::Plan(maker));
                self.operators.revision = self
                    .operators
                    .revision
                    .max(value["revision"].as_u64().unwrap_or(0));
            }
            return;
        }
        if status != 200 {
            return;
        }
        let epoch = value["epoch"].as_u64().unwrap_or(0);
        let zones = serde_json::from_value(value["withdrawn"].clone()).unwrap_or_default();
        self.history
            .answered(self.now, number, CallAnswer::Zones(zones));
        self.operators.epoch = self.operators.epoch.max(epoch);
        if epoch < pending.newest_acknowledged {
            let newest = pending.newest_acknowledged;
            self.witness.violate(
                self.now,
                format!("a read gave epoch {epoch} after {newest} was told"),
            );
        }
    }
}

/// A call as the history has it; `None` of those that are judged elsewhere.
fn action_of(task: u64, intent: &Intent) -> Option<CallAction> {
    let set = |zone: &ZoneName, is_withdrawn| {
        Some(CallAction::SetZone {
            zone: zone.clone(),
            is_withdrawn,
        })
    };
    match intent {
        Intent::Plan { basis, .. } | Intent::Patch { basis, .. } => match *basis {
            Basis::ConfigEpoch(_) => None,
            Basis::Revision { base, own } => Some(CallAction::Put {
                change: task,
                base,
                revision: own,
            }),
        },
        Intent::Command(Command::Withdraw { zone }) => set(zone, true),
        Intent::Command(Command::Restore { zone }) => set(zone, false),
        Intent::Command(_) => None,
        Intent::ReadState => Some(CallAction::ReadZones),
        Intent::ReadPlan => Some(CallAction::ReadPlan),
    }
}
