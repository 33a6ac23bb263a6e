//! Faults that are aimed: at the machine that acted last, at the moment after something, at a machine's return.

use super::{Fault, FaultEntry, FaultTarget, restart_delay};
use crate::world::event::Event;
use crate::world::operators::Intent;
use crate::world::{FaultKind, World};
use config::Command;
use placement::mix;
use types::ZoneName;

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::lasting(FaultKind::CutController, |world, target| {
        world.cut_off(target.place, target.controller);
    }),
    FaultEntry::lasting(FaultKind::CutLeader, |world, target| {
        world.cut_off(target.place, world.leader_or(target.controller));
    }),
    FaultEntry::lasting(FaultKind::ResetController, World::reset_controller),
    FaultEntry::lasting(FaultKind::KillLeader, World::restart_leader),
    FaultEntry::healed_by(
        FaultKind::FreezeLeader,
        World::freeze_leader,
        World::wake_all,
    ),
    FaultEntry::lasting(FaultKind::KillAfterSend, World::wait_for_send),
    FaultEntry::lasting(FaultKind::PowerLossAfterSend, World::wait_for_send),
    FaultEntry::lasting(FaultKind::KillInWrite, World::wait_for_write),
    FaultEntry::lasting(FaultKind::MeetReturn, World::meet_return),
    FaultEntry::lasting(FaultKind::EvacuateCut, World::evacuate_cut),
    FaultEntry::healed_by(
        FaultKind::EvacuateFrozen,
        World::evacuate_frozen,
        World::wake_all,
    ),
    FaultEntry::lasting(FaultKind::ReplacePlanned, World::replace_by_plan),
    FaultEntry::lasting(FaultKind::ReplaceCutSeeds, World::replace_with_cut_seeds),
];

/// A fault that is aimed at a change comes this many milliseconds after the change was sent.
const AFTER_SEND: std::ops::Range<u64> = 5..400;
/// A zone that was evacuated at a machine that is cut off is restored at another after this many milliseconds.
const RESTORE_AFTER: u64 = 1600;

impl World {
    /// The machine that acknowledged last, or else this one.
    fn leader_or(&self, controller: usize) -> usize {
        self.operators.last_actor.unwrap_or(controller)
    }

    fn reset_controller(&mut self, target: &FaultTarget) {
        self.cut_off(target.place, target.controller);
        let pairs = self.faults[target.place].cut.clone();
        self.reset_between(&pairs);
    }

    fn restart_leader(&mut self, target: &FaultTarget) {
        let machine = self.leader_or(target.controller);
        self.kill_controller(machine, target.pick.is_multiple_of(2));
        self.put(target.restart_delay, Event::StartController { machine });
    }

    fn freeze_leader(&mut self, target: &FaultTarget) {
        let leader = self.leader_or(target.controller);
        self.controllers[leader].frozen_until = self.now + target.span;
    }

    fn wait_for_send(&mut self, target: &FaultTarget) {
        self.armed_for_send.push(target.place);
    }

    fn wait_for_write(&mut self, target: &FaultTarget) {
        self.armed_for_write.push(target.place);
    }

    fn meet_return(&mut self, target: &FaultTarget) {
        let machine = target.controller;
        self.kill_controller(machine, false);
        self.put(target.restart_delay, Event::StartController { machine });
        let after = target.restart_delay + target.pick % 20;
        self.put(after, Event::ControllerReturns { machine });
    }

    /// Cuts a controller's machine off from all others. Half of the time operators go on reaching it, with a change.
    fn cut_off(&mut self, place: usize, machine: usize) {
        let others = self.disk_and_router_addresses();
        self.cut_between(place, &[self.controllers[machine].address], &others, false);
        if self.faults[place].pick.is_multiple_of(2) {
            self.propose_at(machine);
        }
    }

    /// A change was sent to this machine.
    pub(in crate::world) fn inject_after_send(&mut self, machine: usize) {
        for place in std::mem::take(&mut self.armed_for_send) {
            let after = AFTER_SEND.start + self.below(AFTER_SEND.end - AFTER_SEND.start);
            self.put(after, Event::InjectArmed { place, machine });
        }
    }

    /// A controller's disk has begun to write.
    pub(in crate::world) fn inject_in_write(&mut self, machine: usize) {
        for place in std::mem::take(&mut self.armed_for_write) {
            let after = self.below(4);
            self.put(after, Event::InjectArmed { place, machine });
        }
    }

    pub(in crate::world) fn inject_armed(&mut self, place: usize, machine: usize) {
        let Fault { kind, pick, .. } = self.faults[place];
        let back = restart_delay(pick);
        let is_power = kind == FaultKind::PowerLossAfterSend;
        let all = if kind == FaultKind::KillAfterSend {
            machine..machine + 1
        } else {
            0..self.controllers.len()
        };
        for victim in all {
            self.kill_controller(victim, is_power);
            self.put(
                back + mix(pick ^ victim as u64) % 300,
                Event::StartController { machine: victim },
            );
        }
    }

    /// Operators reach a machine as it returns.
    pub(in crate::world) fn on_controller_returns(&mut self, machine: usize) {
        self.propose_at(machine);
        self.evacuate_or_restore_at(Some(machine));
        self.begin(Intent::ReadPlan, Some(machine));
    }

    /// A zone is evacuated at a machine that is cut off, and again at another; later it's restored there.
    fn evacuate_cut(&mut self, target: &FaultTarget) {
        self.cut_off(target.place, target.controller);
        let zone = self.zone_to_evacuate(target);
        let withdrawal = Intent::Command(Command::Withdraw { zone: zone.clone() });
        self.begin(withdrawal, Some(target.controller));
        self.restore_elsewhere(zone, target.controller, RESTORE_AFTER);
    }

    /// A zone is evacuated at a machine that freezes, and again at another; later it's restored there. The frozen
    /// machine finds the first call in its socket when it wakes, on a connection that nobody closed.
    fn evacuate_frozen(&mut self, target: &FaultTarget) {
        let machine = target.controller;
        self.freeze_controller(target);
        let zone = self.zone_to_evacuate(target);
        let withdrawal = Command::Withdraw { zone: zone.clone() };
        self.begin_on_open_connections(withdrawal, machine);
        // The core takes some time to go on without the machine.
        let again = RESTORE_AFTER + target.pick / 5 % RESTORE_AFTER;
        self.restore_elsewhere(zone, machine, again);
    }

    fn zone_to_evacuate(&self, target: &FaultTarget) -> ZoneName {
        let zones = self.rules.deployment.shape().zones;
        ZoneName::from(zones[(target.pick / 3 % zones.len() as u64) as usize])
    }

    /// Restores a zone after a while, by way of another machine.
    fn restore_elsewhere(&mut self, zone: ZoneName, machine: usize, after: u64) {
        let other = (machine + 1) % self.controllers.len();
        self.put(
            after,
            Event::RestoreZone {
                zone,
                machine: other,
            },
        );
    }

    pub(in crate::world) fn on_restore_zone(&mut self, zone: ZoneName, machine: usize) {
        self.begin(Intent::Command(Command::Restore { zone }), Some(machine));
    }

    /// The new machine comes first; once it has had time to start, the old one is told to end.
    fn replace_by_plan(&mut self, target: &FaultTarget) {
        let machine = target.controller;
        if !self.is_core_complete() {
            return;
        }
        let zone = self.controllers[machine].zone.clone();
        let newcomer = self.add_controller(zone);
        self.put(1, Event::StartController { machine: newcomer });
        self.put(
            2500 + target.pick % 2000,
            Event::RetireController { machine },
        );
    }

    /// The old one ends, once the core is complete: its successor stands by and takes its seat.
    pub(in crate::world) fn on_retire_controller(&mut self, machine: usize) {
        if self.controllers[machine].is_gone || self.now >= self.rules.span.0 {
            return;
        }
        if !self.is_core_complete() || self.controllers[machine].controller.is_none() {
            return self.put(1000, Event::RetireController { machine });
        }
        // It ends by itself, once its disk is done.
        let pending = std::mem::take(&mut self.controllers[machine].disk.pending);
        pending
            .into_iter()
            .for_each(|(_, _, _, records, is_whole)| {
                self.controllers[machine].disk.keep(records, is_whole);
            });
        self.kill_controller(machine, false);
        self.controllers[machine].is_gone = true;
    }

    /// The replacement of a lost machine cannot reach two of the seeds that its settings name.
    fn replace_with_cut_seeds(&mut self, target: &FaultTarget) {
        let before = self.controllers.len();
        self.lose_disk(
            target.controller,
            FaultKind::ReplaceCore,
            target.restart_delay,
        );
        if self.controllers.len() == before {
            return;
        }
        let newcomer = self.controllers[before].address;
        let mut seeds = self.seeds_of(before).unwrap_or_default();
        seeds.truncate(2);
        self.cut_between(target.place, &[newcomer], &seeds, false);
    }
}

#[cfg(test)]
mod tests;
