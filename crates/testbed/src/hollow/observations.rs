//! What the hosts reported: when configuration epochs came into force at nodes, and the traffic.

use crate::hollow::protocol::HostReport;
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, MonotonicInstant};

/// What a node has sent since it started.
pub(super) struct SentTotals {
    /// Number of messages.
    pub messages: u64,
    /// Bytes of all messages.
    pub bytes: u64,
    /// Bytes of messages to other zones.
    pub cross_zone_bytes: u64,
}

/// The traffic since the start, as last reported.
#[derive(Default)]
pub(super) struct Traffic {
    /// What each node has sent.
    pub sent: BTreeMap<Address, SentTotals>,
    /// Requests placed and rejected, by report.
    placements: Vec<(u64, u64)>,
}

impl Traffic {
    /// Requests placed and rejected, of all hosts.
    pub(super) fn placed_and_rejected(&self) -> (u64, u64) {
        self.placements
            .iter()
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
    }
}

/// Everything that the hosts reported.
#[derive(Default)]
pub(super) struct Observations {
    /// Since when each node has had each epoch in force.
    epochs: BTreeMap<Address, BTreeMap<u64, u64>>,
    /// The traffic since the last call of [`Observations::take_traffic`].
    pub traffic: Traffic,
}

impl Observations {
    /// Takes in a report.
    pub(super) fn record(&mut self, report: HostReport) {
        match report {
            HostReport::ConfigEpoch(node, epoch, at) => {
                self.epochs.entry(node).or_default().insert(epoch, at);
            }
            HostReport::Sent(rows, placed, rejected) => {
                let totals = rows
                    .into_iter()
                    .map(|(node, messages, bytes, cross_zone_bytes)| {
                        let totals = SentTotals {
                            messages,
                            bytes,
                            cross_zone_bytes,
                        };
                        (node, totals)
                    });
                self.traffic.sent.extend(totals);
                self.traffic.placements.push((placed, rejected));
            }
        }
    }

    /// Returns the traffic reported so far and begins anew.
    pub(super) fn take_traffic(&mut self) -> Traffic {
        std::mem::take(&mut self.traffic)
    }

    /// Number of nodes whose latest epoch is this one.
    pub(super) fn nodes_at(&self, epoch: u64) -> usize {
        self.epochs
            .values()
            .filter(|known| {
                known
                    .last_key_value()
                    .is_some_and(|(last, _)| *last == epoch)
            })
            .count()
    }

    /// Milliseconds from `since` until this epoch or a later one was in force, for each node that was in the fleet
    /// by then and was not killed; `None` for a node where it never was.
    pub(super) fn lags(
        &self,
        epoch: u64,
        since: MonotonicInstant,
        killed: &BTreeSet<Address>,
    ) -> Vec<Option<u64>> {
        let was_member = |known: &BTreeMap<u64, u64>| {
            let first = known.first_key_value();
            first.is_some_and(|(_, at)| MonotonicInstant(*at) < since)
        };
        let lag = |at: &u64| MonotonicInstant(*at).since(since).0;
        self.epochs
            .iter()
            .filter(|(node, known)| !killed.contains(*node) && was_member(known))
            .map(|(_, known)| known.range(epoch..).map(|(_, at)| lag(at)).min())
            .collect()
    }
}
