//! Faults that are aimed: at the machine that acted last, at the moment after something, at a machine's return.

use super::operators::Wish;
use super::*;
use crate::world::{FaultKind, World};
use placement::mix;
use types::{Address, ZoneName};

/// After a change was sent, a fault that is aimed at it comes this much later.
const AFTER_SEND: std::ops::Range<u64> = 5..400;

impl World {
    pub(super) fn strike_aimed(&mut self, place: usize, controller: usize) {
        let Fault {
            kind, span, pick, ..
        } = self.faults[place].clone();
        let leader = self.operators.last_actor.unwrap_or(controller);
        let back = 50 + pick % 2500;
        match kind {
            FaultKind::CutController => self.cut_off(place, controller),
            FaultKind::CutLeader => self.cut_off(place, leader),
            FaultKind::ResetController => {
                self.cut_off(place, controller);
                let pairs = self.faults[place].cut.clone();
                self.reset_between(&pairs);
            }
            FaultKind::KillLeader => {
                self.kill_controller(leader, pick.is_multiple_of(2));
                self.put(back, Happening::StartController { machine: leader });
            }
            FaultKind::FreezeLeader => self.controllers[leader].frozen_until = self.now + span,
            FaultKind::KillAfterSend | FaultKind::PowerLossAfterSend => {
                self.armed_for_send.push(place)
            }
            FaultKind::KillInWrite => self.armed_for_write.push(place),
            FaultKind::MeetReturn => {
                self.kill_controller(controller, false);
                self.put(
                    back,
                    Happening::StartController {
                        machine: controller,
                    },
                );
                self.put(
                    back + pick % 20,
                    Happening::Meet {
                        machine: controller,
                    },
                );
            }
            FaultKind::EvacuateCut => self.evacuate_cut(place, controller),
            FaultKind::ReplacePlanned => self.replace_by_plan(controller, pick),
            FaultKind::ReplaceCutSeeds => self.replace_with_cut_seeds(place, controller, back),
            _ => {}
        }
    }

    /// Cuts a controller's machine off from all others. Half of the time operators go on reaching it, with a change.
    fn cut_off(&mut self, place: usize, machine: usize) {
        let others: Vec<Address> = self
            .controllers
            .iter()
            .map(|m| m.address)
            .chain(self.routers.iter().map(|m| m.address))
            .collect();
        self.cut_between(place, &[self.controllers[machine].address], &others, false);
        if self.faults[place].pick.is_multiple_of(2) {
            self.propose_at(machine);
        }
    }

    /// A change was sent to this machine.
    pub(super) fn strike_after_send(&mut self, machine: usize) {
        for place in std::mem::take(&mut self.armed_for_send) {
            let after = AFTER_SEND.start + self.below(AFTER_SEND.end - AFTER_SEND.start);
            self.put(after, Happening::StrikeArmed { place, machine });
        }
    }

    /// A controller's disk has begun to write.
    pub(super) fn strike_in_write(&mut self, machine: usize) {
        for place in std::mem::take(&mut self.armed_for_write) {
            let after = self.below(4);
            self.put(after, Happening::StrikeArmed { place, machine });
        }
    }

    pub(super) fn strike_armed(&mut self, place: usize, machine: usize) {
        let Fault { kind, pick, .. } = self.faults[place];
        let back = 50 + pick % 2500;
        let is_power = kind == FaultKind::PowerLossAfterSend;
        let all = if kind == FaultKind::KillAfterSend {
            machine..machine + 1
        } else {
            0..self.controllers.len()
        };
        for struck in all {
            self.kill_controller(struck, is_power);
            self.put(
                back + mix(pick ^ struck as u64) % 300,
                Happening::StartController { machine: struck },
            );
        }
    }

    /// Operators reach a machine as it returns.
    pub(super) fn on_meet(&mut self, machine: usize) {
        self.propose_at(machine);
        self.evacuate_or_restore_at(Some(machine));
        self.begin(Wish::ReadPlan, Some(machine));
    }

    /// A zone is evacuated at a machine that is cut off, and again at another; later it's restored there.
    fn evacuate_cut(&mut self, place: usize, machine: usize) {
        self.cut_off(place, machine);
        let zones = self.rules.deployment.shape().zones;
        let zone =
            ZoneName::from(zones[(self.faults[place].pick / 3 % zones.len() as u64) as usize]);
        self.begin(
            Wish::Command(Command::Withdraw { zone: zone.clone() }),
            Some(machine),
        );
        let other = (machine + 1) % self.controllers.len();
        self.put(
            1600,
            Happening::TakeBack {
                zone,
                machine: other,
            },
        );
    }

    pub(super) fn on_take_back(&mut self, zone: ZoneName, machine: usize) {
        self.begin(Wish::Command(Command::Restore { zone }), Some(machine));
    }

    /// The new machine comes first; once it has had time to start, the old one is told to end.
    fn replace_by_plan(&mut self, machine: usize, pick: u64) {
        if !self.is_core_whole() {
            return;
        }
        let zone = self.controllers[machine].zone.clone();
        let newcomer = self.add_controller(zone);
        self.put(1, Happening::StartController { machine: newcomer });
        self.put(2500 + pick % 2000, Happening::Retire { machine });
    }

    /// The old one ends, once the core is whole: its successor stands by and takes its seat.
    pub(super) fn on_retire(&mut self, machine: usize) {
        if self.controllers[machine].is_gone || self.now >= self.rules.span.0 {
            return;
        }
        if !self.is_core_whole() || self.controllers[machine].controller.is_none() {
            return self.put(1000, Happening::Retire { machine });
        }
        // It ends by itself, once its disk is done.
        let pending = std::mem::take(&mut self.controllers[machine].disk.pending);
        pending
            .into_iter()
            .for_each(|(_, _, _, records, is_whole)| {
                self.controllers[machine].disk.keep(records, is_whole)
            });
        self.kill_controller(machine, false);
        self.controllers[machine].is_gone = true;
    }

    fn replace_with_cut_seeds(&mut self, place: usize, machine: usize, back: u64) {
        let before = self.controllers.len();
        self.lose_disk(machine, FaultKind::ReplaceCore, back);
        if self.controllers.len() == before {
            return;
        }
        let newcomer = self.controllers[before].address;
        let mut seeds = self.seeds_of(before).unwrap_or_default();
        seeds.truncate(2);
        self.cut_between(place, &[newcomer], &seeds, false);
    }
}

#[cfg(test)]
mod tests;
