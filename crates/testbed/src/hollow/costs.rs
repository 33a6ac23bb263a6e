//! What the processes of a hollow fleet cost: processor time, memory, descriptors and messages by role.

use crate::hollow::host_process::HostProcess;
use crate::hollow::observations::SentTotals;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use types::Address;

/// The role of a process in a hollow fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// The controller that is the tail of the chain.
    Tail,
    /// Any other controller.
    #[serde(alias = "registrar")]
    Controller,
    /// The first node of a zone, which collects for it.
    Collector,
    /// The other nodes.
    Node,
    /// The test bed itself.
    Tools,
}

/// What one role cost, by process and by node.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RoleCost {
    /// Number of processes.
    pub processes: u32,
    /// Nodes in these processes; a controller counts as one.
    pub nodes: u32,
    /// Share of one processor core that a node used.
    pub core: f64,
    /// Resident bytes of a process at the end.
    pub process_bytes: f64,
    /// Resident bytes of a node at the end: its part of the process's.
    pub node_bytes: f64,
    /// Open file descriptors of a node.
    pub descriptors: f64,
    /// Messages that a node sent each second.
    #[serde(rename = "letters")]
    pub messages: f64,
    /// Bytes that a node sent each second.
    pub bytes: f64,
    /// Bytes that a node sent to other zones each second.
    pub far_bytes: f64,
    /// Bytes that the busiest node sent each second.
    pub most_bytes: f64,
}

/// A process whose use of the machine is measured.
pub(super) struct MeasuredProcess {
    /// Its role.
    pub role: Role,
    /// Its process id.
    pub pid: u32,
    /// The nodes in it; a controller counts as one.
    pub nodes: u32,
}

/// What a process has used at one moment.
pub(super) struct Usage {
    core_seconds: f64,
    resident_bytes: u64,
    descriptors: usize,
}

impl Usage {
    /// Reads the use of a process, or `None` if the process has ended.
    pub(super) fn read(pid: u32) -> Option<Usage> {
        let process = procfs::process::Process::new(pid as i32).ok()?;
        let stat = process.stat().ok()?;
        let ticks = (stat.utime + stat.stime) as f64;
        Some(Usage {
            core_seconds: ticks / procfs::ticks_per_second() as f64,
            resident_bytes: stat.rss * procfs::page_size(),
            descriptors: process.fd_count().ok()?,
        })
    }

    /// Reads the use of each of these processes.
    pub(super) fn read_all(processes: &[MeasuredProcess]) -> Vec<Option<Usage>> {
        let pids = processes.iter().map(|process| process.pid);
        pids.map(Usage::read).collect()
    }
}

/// What was read at the start and at the end of the measurement.
pub(super) struct Interval<'a, T> {
    /// At the start.
    pub before: &'a T,
    /// At the end.
    pub after: &'a T,
}

/// Costs by role of processes over `seconds`, those of messages not yet among them. Processes that had ended at
/// either reading are left out.
pub(super) fn process_costs(
    processes: &[MeasuredProcess],
    usage: &Interval<'_, Vec<Option<Usage>>>,
    seconds: f64,
) -> BTreeMap<Role, RoleCost> {
    let mut roles: BTreeMap<Role, RoleCost> = BTreeMap::new();
    let readings = usage.before.iter().zip(usage.after);
    for (process, (before, after)) in processes.iter().zip(readings) {
        let (Some(before), Some(after)) = (before, after) else {
            continue;
        };
        let cost = roles.entry(process.role).or_default();
        cost.processes += 1;
        cost.nodes += process.nodes;
        cost.core += (after.core_seconds - before.core_seconds) / seconds;
        cost.process_bytes += after.resident_bytes as f64;
        cost.descriptors += after.descriptors as f64;
    }
    roles.values_mut().for_each(RoleCost::divide_by_nodes);
    roles
}

/// Adds what the nodes of these hosts sent over `seconds`. Nodes without both readings are left out.
pub(super) fn add_message_costs(
    roles: &mut BTreeMap<Role, RoleCost>,
    hosts: &[HostProcess],
    sent: &Interval<'_, BTreeMap<Address, SentTotals>>,
    seconds: f64,
) {
    for host in hosts {
        let cost = roles.entry(host.role).or_default();
        for node in &host.nodes {
            if let (Some(before), Some(after)) = (sent.before.get(node), sent.after.get(node)) {
                cost.add_messages(before, after, seconds);
            }
        }
    }
}

impl RoleCost {
    fn divide_by_nodes(&mut self) {
        let nodes = f64::from(self.nodes.max(1));
        self.node_bytes = self.process_bytes / nodes;
        self.process_bytes /= f64::from(self.processes.max(1));
        self.core /= nodes;
        self.descriptors /= nodes;
    }

    fn add_messages(&mut self, before: &SentTotals, after: &SentTotals, seconds: f64) {
        let nodes = f64::from(self.nodes.max(1));
        let bytes = (after.bytes - before.bytes) as f64 / seconds;
        let far_bytes = (after.cross_zone_bytes - before.cross_zone_bytes) as f64 / seconds;
        self.messages += (after.messages - before.messages) as f64 / seconds / nodes;
        self.bytes += bytes / nodes;
        self.far_bytes += far_bytes / nodes;
        self.most_bytes = self.most_bytes.max(bytes);
    }
}
