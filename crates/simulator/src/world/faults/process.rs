//! Faults of processes and their machines: kills, power losses, freezes, lost zones.

use super::{FaultEntry, FaultTarget};
use crate::world::event::Event;
use crate::world::{FaultKind, World};
use placement::mix;
use types::ZoneName;

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::lasting(FaultKind::KillController, World::restart_controller),
    FaultEntry::lasting(FaultKind::PowerLoss, World::cut_power_of_controller),
    FaultEntry::lasting(FaultKind::KillCore, World::restart_core),
    FaultEntry::lasting(FaultKind::PowerLossAll, World::restart_core),
    FaultEntry::lasting(FaultKind::KillAll, World::restart_all),
    FaultEntry::lasting(FaultKind::KillRouters, World::restart_routers),
    FaultEntry::lasting(FaultKind::LoseMembers, World::lose_members),
    FaultEntry::lasting(FaultKind::LoseZone, World::lose_zone),
    FaultEntry::healed_by(
        FaultKind::FreezeController,
        World::freeze_controller,
        World::wake_all,
    ),
    FaultEntry::healed_by(FaultKind::FreezeRouter, World::freeze_router, |world, _| {
        world.wake_routers();
    }),
    FaultEntry::healed_by(FaultKind::FreezeZone, World::freeze_zone, World::wake_all),
];

/// The operator tries so often to have lost members forgotten,
const FORGET_ATTEMPTS: u64 = 8;
/// first after this many milliseconds,
const FIRST_FORGET: u64 = 3000;
/// and then each time after so many.
const FORGET_PERIOD: u64 = 2500;

impl World {
    fn restart_controller(&mut self, target: &FaultTarget) {
        let machine = target.controller;
        self.kill_controller(machine, false);
        self.put(target.restart_delay, Event::StartController { machine });
    }

    fn cut_power_of_controller(&mut self, target: &FaultTarget) {
        let machine = target.controller;
        self.kill_controller(machine, true);
        self.put(target.restart_delay, Event::StartController { machine });
    }

    fn restart_core(&mut self, target: &FaultTarget) {
        let is_power_loss = target.kind == FaultKind::PowerLossAll;
        for machine in 0..self.controllers.len() {
            self.kill_controller(machine, is_power_loss);
            let after = target.restart_delay + machine as u64 * 30;
            self.put(after, Event::StartController { machine });
        }
    }

    fn restart_all(&mut self, target: &FaultTarget) {
        self.restart_core(target);
        self.restart_relays(None, target.restart_delay);
        for machine in 0..self.routers.len() {
            self.kill_router(machine);
            let after = target.restart_delay + machine as u64 * 20;
            self.put(after, Event::StartRouter { machine });
        }
    }

    fn restart_routers(&mut self, target: &FaultTarget) {
        for machine in 0..self.routers.len() {
            if mix(target.pick ^ machine as u64).is_multiple_of(2) {
                self.kill_router(machine);
                self.put(target.restart_delay, Event::StartRouter { machine });
            }
        }
    }

    fn lose_members(&mut self, target: &FaultTarget) {
        let count = self.routers.len();
        for machine in (0..count / 2 + 1).map(|step| (target.router + step) % count) {
            self.kill_router(machine);
            self.routers[machine].is_lost = true;
        }
        for step in 0..FORGET_ATTEMPTS {
            let place = step as usize;
            self.put(FIRST_FORGET + step * FORGET_PERIOD, Event::Forget { place });
        }
    }

    /// The zone that a fault hits.
    fn zone_of(&self, target: &FaultTarget) -> ZoneName {
        let zones = self.rules.deployment.shape().zones;
        ZoneName::from(zones[(target.pick % zones.len() as u64) as usize])
    }

    fn lose_zone(&mut self, target: &FaultTarget) {
        let zone = self.zone_of(target);
        let span = target.span;
        self.restart_relays(Some(&zone), span);
        for machine in 0..self.controllers.len() {
            if self.controllers[machine].zone == zone {
                self.kill_controller(machine, true);
                self.put(span, Event::StartController { machine });
            }
        }
        for machine in 0..self.routers.len() {
            if self.routers[machine].zone == zone {
                self.kill_router(machine);
                self.put(span, Event::StartRouter { machine });
            }
        }
        for server in 0..self.servers.len() {
            if self.servers[server].zone == zone {
                self.servers[server].is_up = false;
                self.put(span, Event::StartServer { server });
            }
        }
    }

    pub(super) fn freeze_controller(&mut self, target: &FaultTarget) {
        self.controllers[target.controller].frozen_until = self.now + target.span;
    }

    fn freeze_router(&mut self, target: &FaultTarget) {
        self.routers[target.router].frozen_until = self.now + target.span;
    }

    fn freeze_zone(&mut self, target: &FaultTarget) {
        let zone = self.zone_of(target);
        let until = self.now + target.span;
        let controllers = self.controllers.iter_mut();
        controllers
            .filter(|machine| machine.zone == zone)
            .for_each(|machine| machine.frozen_until = until);
        let routers = self.routers.iter_mut();
        routers
            .filter(|machine| machine.zone == zone)
            .for_each(|machine| machine.frozen_until = until);
    }

    /// Wakes routers and then controllers whose freeze is over.
    pub(super) fn wake_all(&mut self, _: &FaultTarget) {
        self.wake_routers();
        for machine in 0..self.controllers.len() {
            if self.now >= self.controllers[machine].frozen_until {
                self.wake(true, machine);
            }
        }
    }

    fn wake_routers(&mut self) {
        for machine in 0..self.routers.len() {
            if self.now >= self.routers[machine].frozen_until {
                self.wake(false, machine);
            }
        }
    }
}
