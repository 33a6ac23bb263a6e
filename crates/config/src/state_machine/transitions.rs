use crate::command::{Command, Revisions};
use crate::state_machine::ConfigStateMachine;
use types::{Address, Delta, ZoneName};

impl ConfigStateMachine {
    /// Executes a command that was validated, as the present epoch.
    pub(super) fn execute(&mut self, command: &Command) {
        match command {
            Command::Plan {
                bytes,
                zones,
                revisions,
            } => {
                let delta = Delta::between(&self.plan, bytes);
                self.set_plan(bytes.clone(), delta, zones, *revisions);
            }
            Command::Change {
                delta,
                zones,
                revisions,
                ..
            } => {
                let plan = delta
                    .apply(&self.plan)
                    .expect("the delta was validated to fit");
                self.set_plan(plan, delta.clone(), zones, *revisions);
            }
            Command::Withdraw { zone } => self.withdraw(zone),
            Command::Restore { zone } => self.restore_zone(zone),
            Command::Join { members } => self.add_members(members),
            Command::Retire { members } => self.remove_members(members),
            Command::ForceRemove { members } => {
                self.remove_members(members);
                // The lost cannot act, so majorities are those of the remaining members (docs/isolation.md).
                self.finalize_membership();
            }
            Command::FinalizeMembership { .. } => self.finalize_membership(),
            Command::SetTokenKey { key } => self.key = Some(*key),
        }
    }

    /// Puts a plan in force, and records the delta that leads back to the previous plan.
    fn set_plan(&mut self, plan: Vec<u8>, delta: Delta, zones: &[ZoneName], revisions: Revisions) {
        let reverse = delta
            .reverse(&self.plan)
            .expect("the delta was made for the plan in force");
        self.history.record_reverse_delta(self.epoch, reverse);
        self.newest = Some((self.plan_epoch, delta));
        self.plan = plan;
        self.plan_zones = zones.to_vec();
        self.plan_epoch = self.epoch;
        self.revision = self.revision.max(revisions.own);
    }

    fn withdraw(&mut self, zone: &ZoneName) {
        self.record_zone_change(zone);
        if !self.withdrawn.contains(zone) {
            self.withdrawn.push(zone.clone());
            self.withdrawn.sort();
        }
    }

    fn restore_zone(&mut self, zone: &ZoneName) {
        self.record_zone_change(zone);
        self.withdrawn.retain(|withdrawn| withdrawn != zone);
    }

    fn record_zone_change(&mut self, zone: &ZoneName) {
        self.zone_changes.retain(|(changed, _)| changed != zone);
        self.zone_changes.push((zone.clone(), self.epoch));
    }

    fn add_members(&mut self, members: &[(Address, ZoneName)]) {
        let mut member_zones = self.member_zones.clone();
        member_zones.retain(|(address, _)| members.iter().all(|(joining, _)| joining != address));
        member_zones.extend_from_slice(members);
        member_zones.sort();
        self.set_members(member_zones);
    }

    fn remove_members(&mut self, members: &[Address]) {
        let mut member_zones = self.member_zones.clone();
        member_zones.retain(|(address, _)| !members.contains(address));
        self.set_members(member_zones);
    }

    /// Changes the membership. Until it is finalized, majorities need the previous members, too.
    fn set_members(&mut self, member_zones: Vec<(Address, ZoneName)>) {
        self.member_zones = member_zones;
        self.membership.previous = std::mem::take(&mut self.membership.members);
        self.membership.members = self
            .member_zones
            .iter()
            .map(|(address, _)| *address)
            .collect();
        self.membership.since = self.epoch;
    }

    fn finalize_membership(&mut self) {
        let membership = &mut self.membership;
        membership.previous.clone_from(&membership.members);
    }
}
