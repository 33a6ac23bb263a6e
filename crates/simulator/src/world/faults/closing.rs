//! The end of all faults: everything is healed, and operators probe whether changes are taken again.

use crate::schedule::ServerFault;
use crate::world::World;
use crate::world::event::Event;
use config::Command;
use types::ZoneName;

/// Processes that are down start after this many milliseconds.
const PROCESS_RESTART: u64 = 1500;
/// Servers that are down start after this many milliseconds.
const SERVER_RESTART: u64 = 500;
/// How often operators probe,
const PROBES: u64 = 24;
/// and the time between two probes, in milliseconds.
const PROBE_PERIOD: u64 = 500;
/// The usual delay of a disk's sync, in milliseconds.
pub(super) const USUAL_DISK_DELAY: u64 = 3;

impl World {
    /// Ends all faults; everything that is down is started a little later.
    pub(super) fn heal_all(&mut self) {
        self.faults.iter_mut().for_each(|fault| fault.cut.clear());
        self.cut.clear();
        self.loss = 0;
        self.heal_controllers();
        self.heal_routers();
        for machine in 0..self.relays.len() {
            self.put(PROCESS_RESTART, Event::StartRelay { machine });
        }
        self.heal_servers();
        self.witness.calm(self.now);
        (1..=PROBES).for_each(|step| self.put(step * PROBE_PERIOD, Event::Probe));
    }

    fn heal_controllers(&mut self) {
        for machine in 0..self.controllers.len() {
            let healed = &mut self.controllers[machine];
            healed.disk.delay = USUAL_DISK_DELAY;
            healed.disk.stalled_until = 0;
            healed.disk.full_until = 0;
            healed.frozen_until = healed.frozen_until.min(self.now);
            self.wake(true, machine);
            self.put(PROCESS_RESTART, Event::StartController { machine });
        }
    }

    fn heal_routers(&mut self) {
        for machine in 0..self.routers.len() {
            let healed = &mut self.routers[machine];
            healed.is_cut_off = false;
            healed.is_lost = false;
            healed.frozen_until = healed.frozen_until.min(self.now);
            self.wake(false, machine);
            self.put(PROCESS_RESTART, Event::StartRouter { machine });
        }
    }

    fn heal_servers(&mut self) {
        for server in 0..self.servers.len() {
            let healed = &mut self.servers[server];
            healed.is_dark = false;
            healed.accepts_late = false;
            healed.is_garbled = false;
            healed.schedule.fault = ServerFault::default();
            if !healed.is_up {
                self.put(SERVER_RESTART, Event::StartServer { server });
            }
        }
    }

    /// An operator tries whether changes are taken again.
    pub(in crate::world) fn on_probe(&mut self) {
        let zone = ZoneName::from(self.rules.deployment.shape().zones[0]);
        if !self.witness.is_core_back() {
            self.send_once(Command::Restore { zone });
        }
    }
}
