//! The figures of a hollow run, as JSON and as text.

use crate::hollow::costs::{Role, RoleCost};
use crate::hollow::rules::HollowRules;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// The percentiles of a set of durations, in milliseconds.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Spread {
    /// Number of values.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}

impl Spread {
    /// Computes the percentiles of these values.
    pub(super) fn of(values: &[u64]) -> Spread {
        let mut histogram: Histogram<u64> = Histogram::new(3).expect("three digits are possible");
        values
            .iter()
            .for_each(|value| histogram.saturating_record(*value));
        let at = |quantile: f64| histogram.value_at_quantile(quantile);
        Spread {
            count: histogram.len(),
            p50: at(0.5),
            p99: at(0.99),
            max: values.iter().copied().max().unwrap_or(0),
        }
    }
}

/// The figures that a run measured.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HollowReport {
    /// The size and load of the fleet.
    pub rules: HollowRules,
    /// Length of the measurement in seconds.
    pub seconds: f64,
    /// Costs by role.
    pub roles: BTreeMap<Role, RoleCost>,
    /// From the operator's request until the change was in force at a node.
    pub change_at_node: Spread,
    /// From the operator's request until the change was in force at the last node.
    pub change_everywhere: Spread,
    /// From the operator's request until the response that the change is accepted.
    pub change_accepted: Spread,
    /// Changes that were rejected or whose outcome is unknown.
    pub failed_changes: u64,
    /// Changes that never came into force at some live node.
    pub unseen_changes: u64,
    /// Epochs besides those of the changes: updates of the membership.
    #[serde(alias = "roster_changes")]
    pub membership_changes: u64,
    /// Requests placed each second.
    pub placed: f64,
    /// Requests rejected each second.
    pub refused: f64,
    /// Milliseconds until all nodes were members and had the configuration.
    pub join_ms: u64,
    /// The machine's load average over the last minute at the end, whoever caused it.
    pub machine_load: f32,
}

impl fmt::Display for HollowReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rules = &self.rules;
        writeln!(
            f,
            "{} nodes in {} zones, {} servers, {:.1} s; joined after {} ms; machine's load {:.0}",
            rules.nodes, rules.zones, rules.servers, self.seconds, self.join_ms, self.machine_load
        )?;
        write_header(f)?;
        for (role, cost) in &self.roles {
            write_role(f, *role, cost)?;
        }
        write_spread(f, "change in force at a node", &self.change_at_node)?;
        write_spread(f, "change in force everywhere", &self.change_everywhere)?;
        write_spread(f, "change accepted", &self.change_accepted)?;
        writeln!(
            f,
            "changes failed {}, not seen by all {}; membership's epochs {}; placed {:.0}/s, refused {:.0}/s",
            self.failed_changes,
            self.unseen_changes,
            self.membership_changes,
            self.placed,
            self.refused
        )
    }
}

fn write_header(f: &mut fmt::Formatter<'_>) -> fmt::Result {
    writeln!(
        f,
        "{:10} {:>5} {:>5} {:>8} {:>9} {:>9} {:>6} {:>8} {:>9} {:>9} {:>9}",
        "role",
        "procs",
        "nodes",
        "core %",
        "MB/proc",
        "MB/node",
        "fds",
        "letters",
        "bytes/s",
        "far",
        "most"
    )
}

fn write_role(f: &mut fmt::Formatter<'_>, role: Role, cost: &RoleCost) -> fmt::Result {
    writeln!(
        f,
        "{:10} {:>5} {:>5} {:>8.3} {:>9.2} {:>9.2} {:>6.1} {:>8.2} {:>9.0} {:>9.0} {:>9.0}",
        format!("{role:?}"),
        cost.processes,
        cost.nodes,
        cost.core * 100.0,
        cost.process_bytes / 1e6,
        cost.node_bytes / 1e6,
        cost.descriptors,
        cost.messages,
        cost.bytes,
        cost.far_bytes,
        cost.most_bytes
    )
}

fn write_spread(f: &mut fmt::Formatter<'_>, what: &str, spread: &Spread) -> fmt::Result {
    let Spread {
        count,
        p50,
        p99,
        max,
    } = spread;
    writeln!(f, "{what}: {count} times, p50 {p50} p99 {p99} max {max} ms")
}
