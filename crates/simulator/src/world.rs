use crate::schedule::Schedule;
use controller::Controller;
use placement::{ServerEntry, mix};
use replication::Record;
use router::Node;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use types::{
    Address, ConfigEpoch, DiskId, MonotonicInstant, RequestId, RunId, ServerName, ServiceName,
    ZoneName,
};

mod admin_api;
mod checks;
mod connections;
mod event;
mod fault_kinds;
mod faults;
mod history;
mod linearizability;
mod machines;
mod mutants;
mod operators;
mod relays;
mod router_contact;
mod rules;
mod stream_reader;
mod streams;
mod tenants;
mod traffic;
mod withdrawn_zones;

pub use checks::Witness;
pub use fault_kinds::FaultKind;
pub(crate) use faults::Fault;
pub use mutants::Mutant;
pub use rules::WorldRules;

use event::Event;

/// Many nodes in one process, on virtual time, network and disks. The same seed gives the same run.
///
/// Invariant: everything that happens is in `queue`, ordered by time and then by when it was put
/// there; nothing depends on real time, threads or hashing.
pub struct World {
    now: u64,
    rules: WorldRules,
    random: u64,
    next_number: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    controllers: Vec<ControllerMachine>,
    routers: Vec<RouterMachine>,
    relays: Vec<relays::RelayMachine>,
    /// Whom the settings of all machines name now.
    settings_seeds: Vec<Address>,
    servers: Vec<ServerMachine>,
    /// Pairs of addresses whose letters don't arrive, one way.
    cut: BTreeSet<(Address, Address)>,
    connections: connections::Connections,
    /// Percent of letters that are lost.
    loss: u64,
    platform: std::collections::VecDeque<(u64, Vec<ServerEntry>)>,
    requests: BTreeMap<RequestId, SimRequest>,
    operators: operators::Operators,
    history: history::History,
    /// Patches that are at a controller's door, by their calls.
    patches: BTreeMap<u64, admin_api::PatchStep>,
    witness: Witness,
    trace: u64,
    faults: Vec<Fault>,
    /// Faults that wait for the next acknowledgement.
    armed: Vec<usize>,
    /// Faults that wait for the next change that is sent,
    armed_for_send: Vec<usize>,
    /// and for the next write of a controller.
    armed_for_write: Vec<usize>,
    replaced: u16,
    /// Five times the traffic until then.
    crowd_until: u64,
    /// For the mutant: questions of controllers, the operator's number behind each, and whether it was answered.
    proposal_numbers: BTreeMap<u64, (u64, bool)>,
}

struct ControllerMachine {
    address: Address,
    zone: ZoneName,
    offset: u64,
    controller: Option<Controller>,
    incarnation: u64,
    frozen_until: u64,
    late: Vec<Event>,
    disk: SimDisk,
    is_gone: bool,
}

struct SimDisk {
    id: DiskId,
    durable: Vec<Record>,
    /// Under way: deadline, life, id, records, whether they replace all.
    pending: Vec<(u64, u64, u64, Vec<Record>, bool)>,
    delay: u64,
    stalled_until: u64,
    full_until: u64,
}

impl ControllerMachine {
    fn new(address: Address, zone: ZoneName, offset: u64, disk: SimDisk) -> Self {
        let (controller, incarnation, frozen_until, late, is_gone) = (None, 0, 0, vec![], false);
        ControllerMachine {
            address,
            zone,
            offset,
            controller,
            incarnation,
            frozen_until,
            late,
            disk,
            is_gone,
        }
    }
}

impl SimDisk {
    fn new(id: DiskId, delay: u64) -> Self {
        SimDisk {
            id,
            durable: vec![],
            pending: vec![],
            delay,
            stalled_until: 0,
            full_until: 0,
        }
    }
}

struct RouterMachine {
    address: Address,
    /// When its next clock event comes.
    next_tick: u64,
    zone: ZoneName,
    offset: u64,
    node: Option<Node>,
    incarnation: u64,
    frozen_until: u64,
    late: Vec<Event>,
    is_cut_off: bool,
    /// Lost for good, as far as its operator knows.
    is_lost: bool,
    may_act_until: MonotonicInstant,
    old: Option<(u64, Node)>,
    contact: router_contact::RouterContact,
}

struct ServerMachine {
    name: ServerName,
    zone: ZoneName,
    pool: String,
    schedule: Schedule,
    incarnation: u64,
    started: u64,
    is_up: bool,
    is_dark: bool,
    accepts_late: bool,
    is_garbled: bool,
    is_listed: bool,
    draining_since: Option<u64>,
}

struct SimRequest {
    came: u64,
    number: u64,
    service: ServiceName,
    router: usize,
    incarnation: u64,
    attempts: router::AttemptSequence,
    prompt: String,
    /// The server that it was last sent to.
    sent_to: Option<ServerName>,
    run: Option<(usize, RunId)>,
    server_incarnation: u64,
    had_first: bool,
    /// Under which it was placed.
    epoch: ConfigEpoch,
    /// The server's life that it's meant for.
    meant_for: Option<u64>,
    /// Whether it left a group without leases that had met nobody who knows more than that epoch.
    is_apart: bool,
    /// Pieces that its client asked for.
    pieces: u64,
    /// Whether its run is to be kept when nobody reads it.
    keep: bool,
    stream: Option<streams::SimStream>,
    /// Whose it is, where there are tenants.
    owner: Option<tenants::Ownership>,
    /// As what it was last sent.
    access: router::Access,
}

impl World {
    /// A fleet at its true shape, with faults to come drawn from the seed.
    pub fn new(rules: WorldRules) -> World {
        let mut world = World {
            now: 0,
            random: mix(rules.seed),
            next_number: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            controllers: vec![],
            routers: vec![],
            relays: vec![],
            settings_seeds: World::first_seeds(),
            servers: vec![],
            cut: BTreeSet::new(),
            connections: connections::Connections::default(),
            loss: 0,
            platform: std::collections::VecDeque::new(),
            requests: BTreeMap::new(),
            operators: operators::Operators::default(),
            history: history::History::default(),
            patches: BTreeMap::new(),
            witness: Witness::default(),
            trace: 0,
            faults: vec![],
            armed: vec![],
            armed_for_send: vec![],
            armed_for_write: vec![],
            replaced: 0,
            crowd_until: 0,
            proposal_numbers: BTreeMap::new(),
            rules,
        };
        world.populate();
        world
    }

    /// Runs to the end; gives what was seen.
    pub fn run(mut self) -> Witness {
        let end = self.rules.span.0 + self.rules.calm.0;
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.trace = mix(self.trace ^ mix(at) ^ number);
                self.handle_event(event);
            }
        }
        self.now = end;
        self.last_checks();
        self.witness.trace = self.trace;
        self.witness.faults = self
            .faults
            .iter()
            .map(|fault| format!("{fault:?}"))
            .collect();
        self.witness
    }

    fn draw(&mut self) -> u64 {
        self.random = self.random.wrapping_add(1);
        mix(self.random ^ mix(self.rules.seed.wrapping_add(77)))
    }
    fn below(&mut self, bound: u64) -> u64 {
        self.draw() % bound.max(1)
    }
    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn put(&mut self, after: u64, event: Event) {
        self.next_number += 1;
        self.queue
            .push(Reverse((self.now + after, self.next_number)));
        self.events.insert(self.next_number, event);
    }

    /// Sets up the machines, in the order in which they draw, and the first events.
    fn populate(&mut self) {
        self.add_controllers();
        self.add_routers();
        self.add_servers();
        self.place_relays();
        self.publish();
        self.put(1500, Event::Operate);
        self.put(3000, Event::Arrival);
        self.put(500, Event::Check);
        self.plan_faults();
    }

    /// The zone of the machine at this place of its kind.
    fn zone_at(&self, place: usize) -> ZoneName {
        let zones = self.rules.deployment.shape().zones;
        ZoneName::from(zones[place % zones.len()])
    }

    fn add_controllers(&mut self) {
        // Where syncs are skipped, disks are slow, so that something is left to be lost.
        let delay = if self.rules.mutant == Some(Mutant::SkipSync) {
            400
        } else {
            3
        };
        for place in 0..self.controller_count() {
            let id = DiskId(u128::from(self.draw()) << 64 | u128::from(self.draw()));
            let offset = 1_000_000 + self.below(1_000_000_000);
            let address = Address::loopback(1001 + place as u16);
            self.controllers.push(ControllerMachine::new(
                address,
                self.zone_at(place),
                offset,
                SimDisk::new(id, delay),
            ));
            self.put(place as u64 * 7, Event::StartController { machine: place });
        }
    }

    fn add_routers(&mut self) {
        let shape = self.rules.deployment.shape();
        for place in 0..self.rules.routers.unwrap_or(shape.routers) {
            let offset = 1_000_000 + self.below(1_000_000_000);
            self.routers.push(RouterMachine {
                address: Address::loopback(2001 + place as u16),
                next_tick: 0,
                zone: self.zone_at(place),
                offset,
                node: None,
                incarnation: 0,
                frozen_until: 0,
                late: vec![],
                is_cut_off: false,
                is_lost: false,
                may_act_until: MonotonicInstant(0),
                old: None,
                contact: router_contact::RouterContact::default(),
            });
            self.put(10 + place as u64 * 3, Event::StartRouter { machine: place });
        }
    }

    fn add_servers(&mut self) {
        let shape = self.rules.deployment.shape();
        for (pool, count) in [("model", shape.models), ("app", shape.apps)] {
            for place in 0..count {
                let port = if pool == "model" { 3001 } else { 4001 } + place as u16;
                self.servers.push(ServerMachine {
                    name: ServerName(Address::loopback(port).to_string()),
                    zone: self.zone_at(place),
                    pool: pool.into(),
                    schedule: Schedule::new(self.rules.servers.clone()),
                    incarnation: u64::from(port),
                    started: 0,
                    is_up: true,
                    is_dark: false,
                    accepts_late: false,
                    is_garbled: false,
                    is_listed: true,
                    draining_since: None,
                });
            }
        }
    }

    fn controller_count(&self) -> usize {
        self.rules
            .controllers
            .unwrap_or(self.rules.deployment.shape().controllers)
    }

    /// The platform's list as it is now; nodes see it late.
    fn publish(&mut self) {
        let entry = |server: &ServerMachine| ServerEntry {
            server: server.name.clone(),
            zone: server.zone.clone(),
            pool: server.pool.clone(),
            is_draining: server.draining_since.is_some(),
            ..ServerEntry::default()
        };
        let list = self
            .servers
            .iter()
            .filter(|server| server.is_listed)
            .map(entry)
            .collect();
        self.platform.push_back((self.now, list));
    }
}

#[cfg(test)]
mod tests;
