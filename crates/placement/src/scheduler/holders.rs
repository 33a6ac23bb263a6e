//! Prefix residency over the fleet: which servers are believed to hold a prefix, by own sight or a peer's.
//!
//! Source: the paper's "resident copy" (BTB, docs/provenance.md).

use crate::scheduler::Scheduler;
use crate::scheduler::peer_totals::ReportedPrefix;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant, ServerName};

impl Scheduler {
    /// Servers believed to hold a prefix, by own sight or a peer's.
    pub(super) fn holders(&self, prefix: PrefixHash, now: MonotonicInstant) -> Vec<ServerName> {
        let holds =
            |(name, server): &(&ServerName, &ServerState)| self.is_warm(prefix, name, server, now);
        self.servers
            .iter()
            .filter(holds)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether a server is believed to hold a prefix.
    pub(super) fn is_warm(
        &self,
        prefix: PrefixHash,
        name: &ServerName,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> bool {
        server.residency.holds(prefix, now)
            || self.reported_residency(prefix, name, server) == Some(true)
    }

    /// What peers report: `Some(true)`, the server holds the prefix; `Some(false)`, it was sent there.
    pub(super) fn reported_residency(
        &self,
        prefix: PrefixHash,
        name: &ServerName,
        server: &ServerState,
    ) -> Option<bool> {
        let reported = self
            .peer_totals
            .holdings(prefix)
            .iter()
            .find(|reported| reported.is_of(name, server.incarnation.unwrap_or(0)))?;
        Some(reported.is_shown())
    }

    /// What is known here and from peers: `Some(true)`, the server holds the prefix; `Some(false)`, it was sent
    /// there.
    pub(super) fn holding(
        reported: &[ReportedPrefix],
        prefix: PrefixHash,
        name: &ServerName,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> Option<bool> {
        let reported = reported
            .iter()
            .find(|reported| reported.is_of(name, server.incarnation.unwrap_or(0)));
        if reported.is_some_and(ReportedPrefix::is_shown) || server.residency.holds(prefix, now) {
            return Some(true);
        }
        if reported.is_some() || server.residency.expects(prefix, now) {
            Some(false)
        } else {
            None
        }
    }

    /// Arrivals of a prefix within the window, over all nodes.
    pub(super) fn count(
        &self,
        prefix: PrefixHash,
        now: MonotonicInstant,
        span: Milliseconds,
    ) -> u32 {
        let from_peers = self.peer_totals.count(prefix).unwrap_or(0);
        self.window.count(prefix, now, span) + from_peers
    }
}
