//! Faults of the model servers.

use super::{FaultEntry, FaultTarget};
use crate::world::event::Event;
use crate::world::{FaultKind, World};
use placement::mix;

/// The kinds of this family.
pub(super) const FAULTS: &[FaultEntry] = &[
    FaultEntry::lasting(FaultKind::CrashServer, World::crash_server),
    FaultEntry::lasting(FaultKind::RestartServer, |world, target| {
        world.start_server(target.model);
    }),
    FaultEntry::healed_by(
        FaultKind::DarkServer,
        |world, target| world.servers[target.model].is_dark = true,
        |world, target| world.servers[target.model].is_dark = false,
    ),
    FaultEntry::healed_by(
        FaultKind::SlowServer,
        World::slow_server_down,
        |world, target| world.servers[target.model].schedule.fault.slowness = 0,
    ),
    FaultEntry::healed_by(
        FaultKind::GarbleServers,
        |world, _| world.set_garbled(true),
        |world, _| world.set_garbled(false),
    ),
    FaultEntry::healed_by(
        FaultKind::LateAccept,
        |world, _| world.set_accepts_late(true),
        |world, _| world.set_accepts_late(false),
    ),
    FaultEntry::lasting(FaultKind::ReplaceServers, World::replace_servers),
    FaultEntry::healed_by(
        FaultKind::LeaveServer,
        World::drain_server,
        World::remove_drained_server,
    ),
    FaultEntry::healed_by(
        FaultKind::Brownout,
        World::make_most_servers_refuse,
        World::end_refusals,
    ),
];

/// Servers that are replaced one after another,
const REPLACED_SERVERS: u64 = 4;
/// and the time between two of them, in milliseconds.
const REPLACEMENT_PERIOD: u64 = 900;
/// A server that has left comes back after this many milliseconds.
const RETURN_AFTER_LEAVING: u64 = 700;

impl World {
    fn crash_server(&mut self, target: &FaultTarget) {
        let server = target.model;
        self.servers[server].is_up = false;
        self.put(target.span, Event::StartServer { server });
    }

    fn slow_server_down(&mut self, target: &FaultTarget) {
        let slowness = 20 + (target.pick % 40) as u32;
        self.servers[target.model].schedule.fault.slowness = slowness;
    }

    fn set_garbled(&mut self, is_garbled: bool) {
        for server in &mut self.servers {
            server.is_garbled = is_garbled;
        }
    }

    fn set_accepts_late(&mut self, accepts_late: bool) {
        for server in &mut self.servers {
            server.accepts_late = accepts_late;
        }
    }

    fn replace_servers(&mut self, target: &FaultTarget) {
        let models = self.rules.deployment.shape().models as u64;
        for step in 0..REPLACED_SERVERS {
            let server = ((target.model as u64 + step) % models) as usize;
            self.put(step * REPLACEMENT_PERIOD, Event::ReplaceServer { server });
        }
    }

    fn drain_server(&mut self, target: &FaultTarget) {
        self.servers[target.model].draining_since = Some(self.now);
        self.publish();
    }

    /// The drained server is gone; later another comes in its place.
    fn remove_drained_server(&mut self, target: &FaultTarget) {
        let server = target.model;
        self.servers[server].is_up = false;
        self.servers[server].is_listed = false;
        self.publish();
        self.put(RETURN_AFTER_LEAVING, Event::StartServer { server });
    }

    /// About three of four model servers refuse all requests.
    fn make_most_servers_refuse(&mut self, target: &FaultTarget) {
        for (number, server) in self.servers.iter_mut().enumerate() {
            if server.pool == "model" && !mix(target.pick ^ number as u64).is_multiple_of(4) {
                server.schedule.fault.does_refuse = true;
            }
        }
    }

    fn end_refusals(&mut self, _: &FaultTarget) {
        for server in &mut self.servers {
            server.schedule.fault.does_refuse = false;
        }
    }
}
