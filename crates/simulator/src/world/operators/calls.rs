//! Operators' calls: sent to a controller, given up, and sent again to another.

use super::{Basis, Intent, OperatorCall, PendingCall};
use crate::world::event::Event;
use crate::world::history::CallAction;
use crate::world::{Mutant, World};
use config::Command;
use controller::RequestAge;
use types::ZoneName;

/// Without an answer for this long, an operator sends the same to another controller.
const CALL_TIMEOUT: u64 = 1000;
/// Before the first time that something is sent again; each pause is twice the one before,
const FIRST_PAUSE: u64 = 100;
/// up to this.
const LONGEST_PAUSE: u64 = 1600;
/// A controller notices within this that an operator has closed its connection.
const CLOSE_NOTICED_WITHIN: u64 = 100;

impl World {
    /// Sends what a task wants as one more call.
    pub(in crate::world) fn send_call(&mut self, task: u64) {
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
    pub(super) fn try_later(&mut self, task: u64) {
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
    pub(in crate::world) fn on_call_timeout(&mut self, call: u64) {
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
    pub(in crate::world) fn pending_call_of(
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
