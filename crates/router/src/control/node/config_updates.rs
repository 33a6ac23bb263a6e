//! What is in force: news, the plan that goes with it, and taking both up.

use crate::control::node::{ANNOUNCEMENT_VALIDITY, PendingUpdate};
use crate::control::node::{Node, NodeOutput};
use config::{Plan, PlanError};
use placement::Event;
use std::sync::Arc;
use types::{Address, ConfigEpoch, Delta, Milliseconds, MonotonicInstant, ResultCode, ZoneName};
use wire::{ConfigUpdate, Message};

impl Node {
    /// What is known here, whole.
    pub(super) fn update(&self) -> Option<ConfigUpdate> {
        self.lease_state.lease_deadline()?;
        let (epoch, plan_epoch) = (self.lease_state.epoch(), self.plan_epoch);
        let (withdrawn, members) = (self.withdrawn.clone(), Some(self.members.clone()));
        Some(ConfigUpdate {
            epoch,
            plan_epoch,
            withdrawn,
            members,
            members_since: self.members_since,
        })
    }

    /// Asks a peer that knows more, once in a while.
    pub(super) fn request_config_update(&mut self, from: Address, epoch: ConfigEpoch) {
        let is_newer =
            epoch > self.lease_state.epoch() && self.lease_state.lease_deadline().is_some();
        if is_newer && self.now.since(self.config_update_requested_at) >= Milliseconds(100) {
            self.config_update_requested_at = self.now;
            self.send(from, Message::ConfigUpdateRequest);
        }
    }

    pub(super) fn on_config_update(
        &mut self,
        from: Address,
        mut update: ConfigUpdate,
        lease_deadline: Option<MonotonicInstant>,
    ) {
        if update.epoch < self.lease_state.epoch() {
            return;
        }
        self.lease_state
            .announce_epoch(update.epoch, self.now + ANNOUNCEMENT_VALIDITY);
        if update.members.is_none() {
            let under_way = self
                .pending_update
                .as_ref()
                .filter(|pending_update| pending_update.update.epoch >= update.members_since);
            update.members = match under_way {
                Some(pending_update) => pending_update.update.members.clone(),
                None if self.lease_state.epoch() >= update.members_since => {
                    Some(self.members.clone())
                }
                // Earlier news was lost on the way.
                None => {
                    self.next_lease_request_at = self.now;
                    return self.request_lease();
                }
            };
        }
        if update.plan_epoch == self.plan_epoch {
            return self.apply_config_update(update, lease_deadline);
        }
        // Withdrawals don't wait for a large plan.
        if update.epoch > self.lease_state.epoch() {
            self.set_withdrawn(update.withdrawn.clone());
        }
        self.next_lease_request_at = self.now + Milliseconds(400);
        match &mut self.pending_update {
            Some(pending_update) if pending_update.update.plan_epoch == update.plan_epoch => {
                if update.epoch >= pending_update.update.epoch {
                    pending_update.lease_deadline =
                        lease_deadline.max(pending_update.lease_deadline);
                    pending_update.update = update;
                }
            }
            Some(pending_update) if pending_update.update.plan_epoch > update.plan_epoch => {}
            _ => {
                let epoch = update.plan_epoch;
                self.pending_update = Some(PendingUpdate {
                    update,
                    lease_deadline,
                    from,
                    bytes: vec![],
                    requested_at: self.now,
                    is_complete: false,
                });
                self.send(
                    from,
                    Message::PlanRequest {
                        epoch,
                        offset: 0,
                        have: self.plan_epoch,
                    },
                );
            }
        }
    }

    pub(super) fn on_plan_chunk(
        &mut self,
        from: Address,
        epoch: ConfigEpoch,
        offset: u64,
        length: u64,
        bytes: &[u8],
    ) {
        let Some(pending_update) = &mut self.pending_update else {
            return;
        };
        let is_next = !pending_update.is_complete
            && pending_update.from == from
            && pending_update.update.plan_epoch == epoch
            && offset == pending_update.bytes.len() as u64
            && offset + bytes.len() as u64 <= length;
        if !is_next {
            return;
        }
        pending_update.bytes.extend_from_slice(bytes);
        pending_update.requested_at = self.now;
        let have = pending_update.bytes.len() as u64;
        if have < length {
            return self.send(
                from,
                Message::PlanRequest {
                    epoch,
                    offset: have,
                    have: self.plan_epoch,
                },
            );
        }
        self.on_complete_plan();
    }

    /// A plan came as what differs from the one held.
    pub(super) fn on_plan_delta(
        &mut self,
        from: Address,
        epoch: ConfigEpoch,
        base: ConfigEpoch,
        delta: &Delta,
    ) {
        let Some(pending_update) = &mut self.pending_update else {
            return;
        };
        let is_awaited = !pending_update.is_complete
            && pending_update.from == from
            && pending_update.update.plan_epoch == epoch;
        if !is_awaited || !pending_update.bytes.is_empty() || base != self.plan_epoch {
            return;
        }
        if let Some(bytes) = delta.apply(&self.plan_bytes) {
            pending_update.bytes = bytes;
            self.on_complete_plan();
        }
    }

    /// All of a plan is here; another thread reads it.
    pub(super) fn on_complete_plan(&mut self) {
        let Some(pending_update) = &mut self.pending_update else {
            return;
        };
        let (plan_epoch, bytes) = (
            pending_update.update.plan_epoch,
            Arc::new(std::mem::take(&mut pending_update.bytes)),
        );
        pending_update.is_complete = true;
        self.outputs.push(NodeOutput::Read { plan_epoch, bytes });
    }

    pub(super) fn on_plan(
        &mut self,
        plan_epoch: ConfigEpoch,
        plan: Result<Arc<Plan>, Vec<PlanError>>,
        bytes: Arc<Vec<u8>>,
    ) {
        let Some(pending_update) = self
            .pending_update
            .take_if(|f| f.is_complete && f.update.plan_epoch == plan_epoch)
        else {
            return;
        };
        match plan {
            Ok(plan) => {
                self.plan = Some(plan);
                self.plan_bytes = bytes;
                self.plan_epoch = plan_epoch;
                self.update_tenants();
                self.next_lease_request_at = self.now;
                self.apply_config_update(pending_update.update, pending_update.lease_deadline);
            }
            Err(faults) => {
                let code = ResultCode::BadMessage;
                let line = format!(
                    "node: {code} the plan of epoch {plan_epoch} can't be read: {faults:?}"
                );
                self.outputs.push(NodeOutput::Log(line));
            }
        }
    }

    /// News is whole here: it's in force.
    pub(super) fn apply_config_update(
        &mut self,
        update: ConfigUpdate,
        lease_deadline: Option<MonotonicInstant>,
    ) {
        let is_newer = update.epoch > self.lease_state.epoch();
        // Filled in when it came.
        let listed_members = update.members.unwrap_or_default();
        let since = update.members_since;
        let have_members_changed = listed_members != self.members || since > self.members_since;
        let members: Vec<Address> = listed_members.iter().map(|member| member.address).collect();
        match lease_deadline {
            Some(deadline) => self
                .lease_state
                .renew_lease(deadline, update.epoch, members.clone()),
            None => self
                .lease_state
                .update_members(update.epoch, members.clone()),
        }
        if is_newer {
            self.set_withdrawn(update.withdrawn);
            let line = format!(
                "node: epoch {} is in force, plan {}",
                update.epoch, self.plan_epoch
            );
            self.outputs.push(NodeOutput::Log(line));
            // The core is to know that it's in force here.
            self.next_lease_request_at = self.now;
            self.request_lease();
        }
        if have_members_changed {
            self.dissemination.set_members(&listed_members);
            self.members = listed_members;
            self.members_since = since;
            self.notify_scheduler(Event::Members { members, since });
        }
        if let Some(until) = lease_deadline {
            self.notify_scheduler(Event::Lease {
                until,
                span: self.lease_span,
            });
        }
    }

    /// Puts the withdrawn zones in force, together with whatever else is new.
    fn set_withdrawn(&mut self, withdrawn: Vec<ZoneName>) {
        let before = std::mem::replace(&mut self.withdrawn, withdrawn);
        let has_restored = self
            .restored_zones
            .update(&before, &self.withdrawn, self.now);
        if has_restored {
            self.reapply_endpoint_list();
        }
        self.update_scheduler_rules();
    }

    pub(super) fn update_scheduler_rules(&mut self) {
        if let Some(plan) = self.plan.clone() {
            let rules = plan.rules(self.lease_state.epoch(), self.withdrawn.clone());
            self.notify_scheduler(Event::Rules { rules });
        }
    }
}
