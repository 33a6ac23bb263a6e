//! Operators: plans, patches, races, storms, withdrawals, reads. How they are sent stands in `calls`, what comes of
//! the answers in `responses`.

mod calls;
mod responses;

use crate::world::RouterMachine;
use crate::world::World;
use crate::world::event::Event;
use config::Command;
use controller::RequestAge;
use std::collections::BTreeMap;
use types::{Address, ZoneName};

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

const MOST_SENDS: u32 = 8;
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
}
