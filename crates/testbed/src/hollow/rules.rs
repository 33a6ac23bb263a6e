//! The size and load of a hollow fleet, and whether a machine can run it.

use serde::{Deserialize, Serialize};

/// The size and the load of a hollow fleet. The comments of the fields are the command line's help.
#[derive(Debug, Clone, Serialize, Deserialize, clap::Args)]
pub struct HollowRules {
    /// Nodes of the data plane.
    #[arg(long, default_value_t = 12)]
    pub nodes: u32,
    /// Servers in the platform's list.
    #[arg(long, default_value_t = 24)]
    pub servers: u32,
    /// Measured for this long, after all are members.
    #[arg(long, default_value_t = 30)]
    pub seconds: u64,
    /// Zones, with as many nodes each.
    #[arg(long, default_value_t = 3)]
    pub zones: u32,
    /// Machines with controllers.
    #[arg(long, alias = "registrars", default_value_t = 4)]
    #[serde(alias = "registrars")]
    pub controllers: u32,
    /// Requests a second at each node; the target has 17.
    #[arg(long, default_value_t = 2.0)]
    pub requests: f64,
    /// Shared prefixes that requests are drawn from.
    #[arg(long, default_value_t = 110_000)]
    pub prefixes: u64,
    /// Changes of the plan that operators make while it's measured.
    #[arg(long, default_value_t = 8)]
    pub changes: u64,
    /// Nodes killed meanwhile, each replaced by one at a new address.
    #[arg(long, default_value_t = 1)]
    pub kills: u32,
    /// Servers replaced in the list meanwhile.
    #[arg(long, default_value_t = 2)]
    pub replacements: u32,
    /// Nodes that one process holds at most; collectors have processes of their own.
    #[arg(long, default_value_t = 32)]
    pub per_process: u32,
    /// Where the draws begin.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// Resident bytes to allow for a node, without its list of servers: what was measured, with a margin.
const NODE_BYTES: u64 = 4 << 20;
/// Resident bytes to allow for each server in a node's list.
const SERVER_BYTES: u64 = 4 << 10;
/// Resident bytes to allow for a process besides its nodes.
const PROCESS_BYTES: u64 = 16 << 20;
/// Bytes of memory that a run may use at most: half of a machine's.
const MAX_MEMORY_BYTES: u64 = 16 << 30;
/// Processes that a run may start at most.
const MAX_PROCESSES: u32 = 300;
/// Threads that a node keeps, those of its connections included.
const NODE_THREADS: u64 = 10;
/// Zones at most: each has a second octet of the loopback network.
const MAX_ZONES: u32 = 200;

impl HollowRules {
    /// Returns the reason why the fleet does not fit this machine, with a size that would, or `None` if it fits.
    pub fn misfit(&self, free_bytes: u64, free_threads: u64) -> Option<String> {
        self.invalid_shape()
            .or_else(|| self.memory_misfit(free_bytes))
            .or_else(|| self.process_misfit())
            .or_else(|| self.thread_misfit(free_threads))
    }

    fn invalid_shape(&self) -> Option<String> {
        let has_zones = (1..=MAX_ZONES).contains(&self.zones) && self.nodes >= self.zones;
        (!has_zones || self.controllers < 2).then(|| {
            "wanted are at least one node a zone, 1 to 200 zones and two controllers".into()
        })
    }

    fn memory_misfit(&self, free_bytes: u64) -> Option<String> {
        let allowed = MAX_MEMORY_BYTES.min(free_bytes / 2);
        let nodes = u64::from(self.nodes) * self.node_bytes();
        let needed = nodes + u64::from(self.processes()) * PROCESS_BYTES;
        let fixed = u64::from(self.controllers + self.zones + 1) * PROCESS_BYTES;
        let each = self.node_bytes() + PROCESS_BYTES / u64::from(self.per_process.max(1));
        let fit = allowed.saturating_sub(fixed) / each;
        (needed > allowed).then(|| {
            let (needed, allowed) = (needed >> 20, allowed >> 20);
            format!(
                "about {needed} MiB are needed and {allowed} MiB may be used: --nodes {fit} would fit"
            )
        })
    }

    fn process_misfit(&self) -> Option<String> {
        let processes = self.processes();
        (processes > MAX_PROCESSES).then(|| {
            let left = MAX_PROCESSES - self.zones - self.controllers - 1;
            let per_process = self.nodes.div_ceil(left);
            format!("{processes} processes: --per-process {per_process} would fit")
        })
    }

    fn thread_misfit(&self, free_threads: u64) -> Option<String> {
        (u64::from(self.nodes) * NODE_THREADS > free_threads).then(|| {
            let fit = free_threads / NODE_THREADS;
            format!("too many threads: --nodes {fit} would fit")
        })
    }

    fn node_bytes(&self) -> u64 {
        NODE_BYTES + u64::from(self.servers) * SERVER_BYTES
    }

    fn processes(&self) -> u32 {
        let others = self.nodes.saturating_sub(self.zones);
        others.div_ceil(self.per_process.max(1)) + self.zones + self.controllers
    }
}
