//! What becomes of a task once a controller has answered its call.

use super::{Basis, Intent, OperatorCall, PendingCall, Task};
use crate::world::history::CallAnswer;
use crate::world::{RouterMachine, World};
use config::Command;
use types::ResultCode;

impl World {
    /// A controller answers a call.
    pub(in crate::world) fn on_operator_response(&mut self, number: u64, status: u16, body: &[u8]) {
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
