//! Controllers without a disk, and settings that come to name other seeds.

use crate::world::ControllerMachine;
use crate::world::event::Event;
use crate::world::{Mutant, World};
use controller::ControllerInput;
use controller::{DisklessController, DisklessControllerInput, PeerDiscovery};
use replication::LeaseStatus;
use router::{Node, NodeInput};
use types::{Address, MonotonicInstant, ZoneName};

/// Running processes read their settings this often.
const SETTINGS_PERIOD: u64 = 1000;
/// Processes that settings name.
const SEED_COUNT: usize = 3;

/// A machine with a controller without a disk.
pub(super) struct RelayMachine {
    pub address: Address,
    zone: ZoneName,
    offset: u64,
    relay: Option<DisklessController>,
    pub incarnation: u64,
}

impl World {
    /// Machines whose controllers have no disk; and settings that are read anew now and then, where there are any.
    pub(super) fn place_relays(&mut self) {
        let zones = self.rules.deployment.shape().zones;
        for place in 0..self.rules.relays {
            let address = Address::loopback(1401 + place as u16);
            let zone = ZoneName::from(zones[place % zones.len()]);
            let offset = 1_000_000 + self.below(1_000_000_000);
            self.relays.push(RelayMachine {
                address,
                zone,
                offset,
                relay: None,
                incarnation: 0,
            });
            self.put(place as u64 * 5, Event::StartRelay { machine: place });
        }
        if self.rules.relays > 0 {
            self.put(SETTINGS_PERIOD, Event::ReadSettings);
        }
    }

    /// Whom the settings of all machines name at the start.
    pub(super) fn first_seeds() -> Vec<Address> {
        (0..SEED_COUNT as u16)
            .map(|n| Address::loopback(1001 + n))
            .collect()
    }

    /// What a controller that starts now knows of where the core is.
    pub(super) fn contacts_of(&self, address: Address, now: MonotonicInstant) -> PeerDiscovery {
        let seeds = if self.is_exchanging() {
            self.settings_seeds.clone()
        } else {
            vec![]
        };
        PeerDiscovery::new(address, Some(address), seeds, now)
    }

    fn is_exchanging(&self) -> bool {
        self.rules.relays > 0 && self.rules.mutant != Some(Mutant::LonelySeeds)
    }

    /// The settings name other seeds: more often than not only controllers without a disk.
    pub(super) fn exchange_seeds(&mut self, pick: u64) {
        let relays: Vec<Address> = self.relays.iter().map(|m| m.address).collect();
        let controllers: Vec<Address> = self
            .controllers
            .iter()
            .filter(|m| !m.is_gone)
            .map(|m| m.address)
            .collect();
        let all: Vec<Address> = if pick.is_multiple_of(3) {
            [controllers, relays].concat()
        } else {
            relays
        };
        if all.is_empty() {
            return;
        }
        let from = (pick / 3) as usize;
        self.settings_seeds = (0..SEED_COUNT.min(all.len()))
            .map(|step| all[(from + step) % all.len()])
            .collect();
    }

    pub(super) fn start_relay(&mut self, machine: usize) {
        let seeds = if self.is_exchanging() {
            self.settings_seeds.clone()
        } else {
            vec![]
        };
        let m = &mut self.relays[machine];
        if m.relay.is_some() {
            return;
        }
        m.incarnation += 1;
        m.relay = Some(DisklessController::new(
            m.address,
            seeds,
            MonotonicInstant(self.now + m.offset),
        ));
        let incarnation = m.incarnation;
        self.put(
            1,
            Event::RelayTick {
                machine,
                incarnation,
            },
        );
    }

    pub(super) fn kill_relay(&mut self, machine: usize) {
        let m = &mut self.relays[machine];
        m.relay = None;
        m.incarnation += 1;
        let address = m.address;
        self.connections.close_from(address);
    }

    /// Kills those in this zone, or all, and starts them again after a while.
    pub(super) fn restart_relays(&mut self, zone: Option<&ZoneName>, back: u64) {
        for machine in 0..self.relays.len() {
            if zone.is_none_or(|zone| self.relays[machine].zone == *zone) {
                self.kill_relay(machine);
                self.put(back, Event::StartRelay { machine });
            }
        }
    }

    pub(super) fn step_relay(&mut self, machine: usize, input: DisklessControllerInput) {
        let m = &mut self.relays[machine];
        let now = MonotonicInstant(self.now + m.offset);
        let address = m.address;
        let Some(relay) = &mut m.relay else { return };
        // For the mutant, it does not know more than its settings.
        let messages = if self.rules.mutant == Some(Mutant::LonelySeeds) {
            vec![]
        } else {
            relay.step(now, input)
        };
        messages
            .into_iter()
            .for_each(|(to, message)| self.post(address, to, false, message));
    }

    pub(super) fn on_relay_tick(&mut self, machine: usize, incarnation: u64) {
        if self.relays[machine].incarnation != incarnation {
            return;
        }
        self.step_relay(machine, DisklessControllerInput::ClockEvent);
        let m = &self.relays[machine];
        let local = MonotonicInstant(self.now + m.offset);
        let pause = m
            .relay
            .as_ref()
            .map_or(250, |relay| local.until(relay.next_timer()).0.clamp(1, 250));
        self.put(
            pause,
            Event::RelayTick {
                machine,
                incarnation,
            },
        );
    }

    /// The settings name nobody who is gone for good.
    fn renew_settings(&mut self) {
        let is_gone = |m: &&ControllerMachine| m.is_gone;
        let gone: Vec<Address> = self
            .controllers
            .iter()
            .filter(is_gone)
            .map(|m| m.address)
            .collect();
        let mut there: Vec<Address> = self
            .controllers
            .iter()
            .filter(|m| !m.is_gone)
            .map(|m| m.address)
            .collect();
        there.retain(|address| !self.settings_seeds.contains(address));
        for seed in self
            .settings_seeds
            .iter_mut()
            .filter(|seed| gone.contains(seed))
        {
            *seed = there.pop().unwrap_or(*seed);
        }
    }

    /// Running processes read whom their settings name: routers only while they have no lease.
    pub(super) fn on_read_settings(&mut self) {
        self.put(SETTINGS_PERIOD, Event::ReadSettings);
        self.renew_settings();
        let seeds = self.settings_seeds.clone();
        if self.is_exchanging() {
            for machine in 0..self.controllers.len() {
                if self.now >= self.controllers[machine].frozen_until {
                    self.step_controller(machine, ControllerInput::Seeds(seeds.clone()));
                }
            }
            for machine in 0..self.relays.len() {
                self.step_relay(machine, DisklessControllerInput::Seeds(seeds.clone()));
            }
        }
        for machine in 0..self.routers.len() {
            let m = &self.routers[machine];
            let now = MonotonicInstant(self.now + m.offset);
            let has_lease = |node: &Node| node.lease_state().status(now) == LeaseStatus::Leased;
            if self.now >= m.frozen_until && m.node.as_ref().is_some_and(|node| !has_lease(node)) {
                self.step_node(machine, NodeInput::Seeds(seeds.clone()));
            }
        }
    }
}
