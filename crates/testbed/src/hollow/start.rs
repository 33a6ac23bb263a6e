//! The start of a hollow fleet: the check of the machine, the controllers and the host processes.

use crate::fleet::{Fleet, FleetOptions};
use crate::hollow::costs::Role;
use crate::hollow::host_process::HostProcess;
use crate::hollow::progress::Progress;
use crate::hollow::protocol::HostReport;
use crate::hollow::rules::HollowRules;
use crate::hollow::threads::ThreadBounds;
use procfs::Current;
use simulator::Shape;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use types::{Address, Milliseconds, ZoneName};

/// Threads that a run takes at most, however many are free: a shared machine has refused more.
const MAX_THREADS: u64 = 8000;
/// How long the controllers may take to form the core.
const CORE_TIMEOUT: Milliseconds = Milliseconds::seconds(30);
/// The pause after each start of a host process.
const HOST_START_GAP: Duration = Duration::from_millis(20);
/// The controllers that a node contacts first.
const SEED_CONTROLLERS: usize = 3;
/// The port of each node's inner protocol.
const NODE_PORT: u16 = 17_101;

/// Fails if the fleet does not fit the machine, with a size that would.
pub(super) fn check_machine(rules: &HollowRules) -> Result<(), String> {
    let memory = procfs::Meminfo::current().map_err(|fault| fault.to_string())?;
    let bounds = ThreadBounds::read(Path::new("/proc"), Path::new("/sys/fs/cgroup"))
        .map_err(|fault| fault.to_string())?;
    let free_bytes = memory.mem_available.unwrap_or(memory.mem_free);
    let free_threads = MAX_THREADS.min(bounds.free() / 2);
    match rules.misfit(free_bytes, free_threads) {
        Some(why) => Err(format!("nothing was started: {why}")),
        None => Ok(()),
    }
}

/// Starts the controllers, waits for the core and has it accept the first plan.
pub(super) fn start_controllers(
    rules: &HollowRules,
    folder: Option<PathBuf>,
    progress: &Progress,
) -> Result<Fleet, String> {
    let shape = Shape {
        zones: vec!["core-a", "core-b", "core-c", "core-d"],
        controllers: rules.controllers as usize,
        routers: 0,
        models: 0,
        apps: 0,
    };
    let platform = Address::loopback(1);
    let fleet =
        Fleet::start(&shape, platform, folder, &FleetOptions::default()).map_err(|fault| {
            format!("the controllers can't be started (build the workspace first): {fault}")
        })?;
    let formed_after = fleet.await_core(CORE_TIMEOUT)?.0;
    let controllers = rules.controllers;
    progress.print(&format!(
        "core of {controllers} formed after {formed_after} ms"
    ));
    fleet.put_plan("first", 0, &plan(0))?;
    Ok(fleet)
}

/// Starts the host processes: one for each zone's collector, then those of the other nodes.
pub(super) fn start_hosts(
    rules: &HollowRules,
    fleet: &Fleet,
    reports: &flume::Sender<HostReport>,
) -> Result<Vec<HostProcess>, String> {
    let controllers = fleet.controllers.iter().take(SEED_CONTROLLERS);
    let seeds: Vec<Address> = controllers.map(|controller| controller.inner).collect();
    let (collectors, others) = place_nodes(rules);
    let per_process = rules.per_process.max(1) as usize;
    let collectors = collectors.chunks(1).map(|group| (Role::Collector, group));
    let others = others.chunks(per_process).map(|group| (Role::Node, group));
    let mut hosts = vec![];
    for (role, group) in collectors.chain(others) {
        hosts.push(HostProcess::start(rules, role, group, &seeds, reports)?);
        std::thread::sleep(HOST_START_GAP);
    }
    Ok(hosts)
}

type PlacedNodes = Vec<(Address, ZoneName)>;

/// Deals the nodes to the zones in turn. Returns the first node of each zone, and the others.
fn place_nodes(rules: &HollowRules) -> (PlacedNodes, PlacedNodes) {
    let (mut collectors, mut others) = (vec![], vec![]);
    for n in 0..rules.nodes {
        let (zone, place) = (n % rules.zones, n / rules.zones);
        let group = match place {
            0 => &mut collectors,
            _ => &mut others,
        };
        group.push((node_address(zone, place), zone_name(zone)));
    }
    (collectors, others)
}

/// The name of a zone of nodes.
pub(super) fn zone_name(zone: u32) -> ZoneName {
    ZoneName(format!("zone-{zone}"))
}

/// The address of the `n`th node of a zone. All of 127/8 is this machine.
pub(super) fn node_address(zone: u32, n: u32) -> Address {
    let ip = Ipv4Addr::new(127, 20 + zone as u8, (n / 200) as u8, (n % 200 + 1) as u8);
    Address((ip, NODE_PORT).into())
}

/// The plan after this many changes.
pub(super) fn plan(changes: u64) -> String {
    let service = serde_json::json!({"pool": "model", "resumable": true, "slots": 64});
    let services: BTreeMap<String, serde_json::Value> = (0..13)
        .map(|n| (format!("model-{n}"), service.clone()))
        .collect();
    serde_json::json!({"services": services, "note": format!("change {changes}")}).to_string()
}
