//! The endpoint table: which servers there are, what each reports of itself, and which of them may take work.
//!
//! Source: the endpoint list of any cache-aware router; the paper (BTB, docs/provenance.md) presumes one.

use crate::event::ServerEntry;
use crate::rendezvous::rank;
use crate::rules::ServiceRules;
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use std::collections::BTreeSet;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, ServerName, ZoneName};

/// What a server reports of itself.
#[derive(Debug)]
pub(super) struct LoadReport {
    /// The incarnation that reports.
    pub(super) incarnation: u64,
    /// How long it has been up, in ms.
    pub(super) up: Milliseconds,
    /// Requests running and waiting.
    pub(super) load: u32,
    /// Requests that it runs at once.
    pub(super) slots: u32,
    /// The weights that it runs.
    pub(super) weights: String,
}

impl Scheduler {
    pub(super) fn on_server_list(&mut self, entries: Vec<ServerEntry>, now: MonotonicInstant) {
        for server in self.servers.values_mut() {
            server.is_listed = false;
        }
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(server) => server.update_from_list(entry, now),
                None => {
                    let mut state = ServerState::new(&entry, now, &self.scheduler_rules);
                    state.peer_load = self.peer_totals.load(&entry.server);
                    state.rank = rank(state.key, &self.own, &self.members) as u32;
                    self.servers.insert(entry.server, state);
                }
            }
        }
        self.forget_unlisted();
    }

    /// One that is gone from the list and has nothing in tracked is forgotten, and comes back fresh.
    pub(super) fn forget_unlisted(&mut self) {
        self.servers
            .retain(|_, server| server.is_listed || server.own > 0);
    }

    pub(super) fn on_members(
        &mut self,
        members: Vec<Address>,
        since: ConfigEpoch,
        now: MonotonicInstant,
    ) {
        let has_others =
            members.iter().collect::<BTreeSet<_>>() != self.members.iter().collect::<BTreeSet<_>>();
        self.claim.learn_membership(since, has_others, now);
        self.members = members;
        for server in self.servers.values_mut() {
            server.rank = rank(server.key, &self.own, &self.members) as u32;
        }
        self.update_reachable();
    }

    /// Applies a server's own report. A new incarnation, or other weights, empties its cache.
    pub(super) fn on_load(&mut self, name: &ServerName, report: LoadReport, now: MonotonicInstant) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let is_new_incarnation = server
            .incarnation
            .is_some_and(|old| old != report.incarnation);
        let has_other_weights = server
            .weights
            .as_ref()
            .is_some_and(|old| *old != report.weights);
        if is_new_incarnation || has_other_weights {
            server.residency.clear();
            server.knows_kv = true;
            server.block_micros = self.scheduler_rules.block_micros;
        }
        if is_new_incarnation {
            server.listed_from = now;
            server.warming_up_until = None;
        }
        if server.incarnation != Some(report.incarnation) {
            server.slow_start_from = now - report.up;
            if let Some(deadline) = server.ejected_until {
                server.slow_start_from = server.slow_start_from.max(deadline);
            }
        }
        server.incarnation = Some(report.incarnation);
        server.weights = Some(report.weights);
        server.slots = Some(report.slots);
        server.reported = Some((report.load, now));
    }

    /// Applies a failed connection: whatever comes back at this address starts empty and slowly.
    pub(super) fn on_unreachable(&mut self, name: &ServerName, now: MonotonicInstant) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.residency.clear();
        self.record_failure(name.clone(), true, now);
    }

    /// Whether the rules and the server's state let it take work of this service at all.
    pub(super) fn may_serve(
        &self,
        rules: &ServiceRules,
        name: &ServerName,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> bool {
        server.is_listed
            && !server.is_draining
            && !server.is_ejected(now)
            && server.pool == rules.pool
            && !self.is_withdrawn(&server.zone)
            && (rules.zones.is_empty() || rules.zones.contains(&server.zone))
            && (rules.servers.is_empty() || rules.servers.contains(name))
    }

    fn is_withdrawn(&self, zone: &ZoneName) -> bool {
        self.rules.withdrawn.contains(zone)
    }
}
