//! Faults of disks: slow, stalled, full, wiped ones; and controllers' machines that are replaced.

use super::closing::USUAL_DISK_DELAY;
use super::{FaultEntry, FaultTarget};
use crate::world::event::Event;
use crate::world::{ControllerMachine, FaultKind, Mutant, SimDisk, World};
use replication::Voter;
use types::{Address, DiskId, ZoneName};

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::healed_by(
        FaultKind::SlowDisk,
        World::slow_disk_down,
        World::speed_disks_up,
    ),
    FaultEntry::lasting(FaultKind::StallDisk, World::stall_disk),
    FaultEntry::lasting(FaultKind::FullDisk, World::fill_disk),
    FaultEntry::lasting(FaultKind::WipeDisk, World::lose_disk_of_controller),
    FaultEntry::lasting(FaultKind::ReplaceCore, World::lose_disk_of_controller),
    FaultEntry::lasting(FaultKind::PowerLossAfterAck, World::wait_for_ack),
    FaultEntry::lasting(FaultKind::WipeAfterAck, World::wait_for_ack),
    FaultEntry::lasting(FaultKind::LoseBudgetAfterAck, World::wait_for_ack),
    FaultEntry::lasting(FaultKind::LoseBudget, |world, target| {
        world.lose_budget(target.pick, target.restart_delay);
    }),
];

impl World {
    fn slow_disk_down(&mut self, target: &FaultTarget) {
        self.controllers[target.controller].disk.delay = 150 + target.pick % 400;
    }

    fn speed_disks_up(&mut self, _: &FaultTarget) {
        for machine in &mut self.controllers {
            machine.disk.delay = USUAL_DISK_DELAY;
        }
    }

    fn stall_disk(&mut self, target: &FaultTarget) {
        self.controllers[target.controller].disk.stalled_until = self.now + target.span;
    }

    fn fill_disk(&mut self, target: &FaultTarget) {
        self.controllers[target.controller].disk.full_until = self.now + target.span;
    }

    fn lose_disk_of_controller(&mut self, target: &FaultTarget) {
        self.lose_disk(target.controller, target.kind, target.restart_delay);
    }

    fn wait_for_ack(&mut self, target: &FaultTarget) {
        self.armed.push(target.place);
    }

    /// Whether the chain has all its seats, each of them level and taken by a controller that is up: only then may
    /// one be lost.
    pub(super) fn is_core_complete(&self) -> bool {
        let now = self.now;
        let controllers = self
            .controllers
            .iter()
            .filter_map(|m| m.controller.as_ref());
        let Some(view) = controllers
            .map(|controller| controller.replica().view())
            .max_by_key(|view| view.epoch)
        else {
            return false;
        };
        let is_up = |position: &replication::ChainPosition| {
            let mut machines = self
                .controllers
                .iter()
                .filter(|m| !m.is_gone && m.controller.is_some());
            machines.any(|m| {
                position.voter
                    == Voter {
                        address: m.address,
                        disk: m.disk.id,
                    }
                    && now >= m.frozen_until
                    && now >= m.disk.full_until
            })
        };
        view.chain.len() == self.controller_count()
            && view
                .chain
                .iter()
                .all(|position| position.is_caught_up && is_up(position))
    }

    /// One disk at a time may be lost: only while all others have everything.
    pub(super) fn lose_disk(&mut self, machine: usize, kind: FaultKind, back: u64) {
        if !self.is_core_complete() {
            return;
        }
        self.kill_controller(machine, true);
        let new_id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
        let does_keep_id = self.rules.mutant == Some(Mutant::ReuseWipedVote);
        if kind == FaultKind::ReplaceCore {
            let zone = self.controllers[machine].zone.clone();
            self.controllers[machine].is_gone = true;
            let machine = self.add_controller(zone);
            self.put(back, Event::StartController { machine });
            return;
        }
        let disk = &mut self.controllers[machine].disk;
        disk.durable.clear();
        if !does_keep_id {
            disk.id = new_id;
        }
        self.put(back, Event::StartController { machine });
    }

    /// A controller's machine with an empty disk, at an address of its own.
    pub(super) fn add_controller(&mut self, zone: ZoneName) -> usize {
        let number = self.controllers.len() as u16;
        let id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
        let offset = 1_000_000 + self.below(1_000_000_000);
        let address = Address::loopback(1501 + number);
        self.controllers.push(ControllerMachine::new(
            address,
            zone,
            offset,
            SimDisk::new(id, USUAL_DISK_DELAY),
        ));
        self.controllers.len() - 1
    }

    /// Wipes as many disks as may be lost at once and cuts all power, provided that each machine votes with its
    /// disk: only then do most voters remain.
    pub(super) fn lose_budget(&mut self, pick: u64, back: u64) {
        let controllers = self
            .controllers
            .iter()
            .filter_map(|m| m.controller.as_ref());
        let newest = controllers
            .map(|controller| controller.replica().view())
            .max_by_key(|view| view.epoch);
        let is_voter = |m: &&ControllerMachine| {
            newest.is_some_and(|v| {
                v.has_voter(&Voter {
                    address: m.address,
                    disk: m.disk.id,
                })
            })
        };
        let all: Vec<usize> = (0..self.controllers.len())
            .filter(|place| !self.controllers[*place].is_gone)
            .collect();
        if !all.iter().all(|place| is_voter(&&self.controllers[*place])) {
            return;
        }
        let zones = self.rules.deployment.shape().zones;
        let zone = ZoneName::from(zones[(pick / 2 % zones.len() as u64) as usize]);
        let is_struck =
            |place: &usize| pick.is_multiple_of(2) || self.controllers[*place].zone == zone;
        let from = (pick / 5) as usize % all.len();
        let in_turn = (0..all.len()).map(|step| all[(from + step) % all.len()]);
        let victims: Vec<usize> = in_turn
            .filter(is_struck)
            .take(self.rules.copies - 1)
            .collect();
        for machine in all {
            self.kill_controller(machine, true);
            if victims.contains(&machine) {
                let new_id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
                let disk = &mut self.controllers[machine].disk;
                disk.durable.clear();
                disk.id = new_id;
            }
            self.put(
                back + machine as u64 * 30,
                Event::StartController { machine },
            );
        }
    }
}
