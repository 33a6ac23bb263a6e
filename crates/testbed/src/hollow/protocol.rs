//! The commands to host processes and their reports.

use crate::hollow::rules::HollowRules;
use serde::{Deserialize, Serialize};
use types::{Address, ZoneName};

/// A command to a host process, a line of JSON on its standard input.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum HostCommand {
    /// Starts the process's nodes; the first command.
    Begin {
        /// The size and load of the fleet.
        rules: HollowRules,
        /// The addresses and zones of the nodes.
        nodes: Vec<(Address, ZoneName)>,
        /// The controllers that the nodes contact first.
        seeds: Vec<Address>,
    },
    /// Starts the requests.
    Load,
    /// Ends a node as if its process were killed.
    Kill(Address),
    /// Starts a new node.
    Add(Address, ZoneName),
    /// Takes the platform's list of servers after this many replacements.
    ServerList(u32),
    /// Asks for a report of the traffic so far.
    #[serde(rename = "tell")]
    ReportTraffic,
}

/// A report of a host process, a line of JSON on its standard output.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum HostReport {
    /// A configuration epoch is in force at a node since this time, a [`types::MonotonicInstant`].
    ConfigEpoch(Address, u64, u64),
    /// The traffic so far: each node's messages, bytes and bytes to other zones; requests placed and rejected.
    Sent(Vec<(Address, u64, u64, u64)>, u64, u64),
}
