//! Peers: what other nodes report of their arrivals, loads and cached prefixes.
//!
//! Source: own; the paper (BTB, docs/provenance.md) has one router that sees all arrivals.

use crate::rendezvous::share_at;
use crate::scheduler::Scheduler;
use crate::scheduler::peer_totals::PeerTotals;
use crate::server_state::ServerState;
use crate::sketch::Sketch;
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, Milliseconds, MonotonicInstant, ServerName};

/// What one peer, or the sum of all others, reported last.
#[derive(Debug, Clone)]
pub(super) struct Peer {
    pub(super) received_at: MonotonicInstant,
    pub(super) sketch: Sketch,
    /// Whether it is in the sum.
    pub(super) is_counted: bool,
    /// Tokens that its requests made each server prefill in its incarnation.
    pub(super) prefilled_tokens: BTreeMap<ServerName, u64>,
}

/// Updates the load from peers at the servers that a sketch names.
fn update_peer_loads(
    servers: &mut BTreeMap<ServerName, ServerState>,
    reported: &PeerTotals,
    sketch: &Sketch,
) {
    for load in &sketch.in_flight {
        if let Some(server) = servers.get_mut(&load.server) {
            server.peer_load = reported.load(&load.server);
        }
    }
}

impl Scheduler {
    /// Replaces what a peer reported before by its new sketch, unless that one is older.
    pub(super) fn on_peer_sketch(&mut self, from: Address, sketch: Sketch, now: MonotonicInstant) {
        if from == self.own || !self.scheduler_rules.merges_peer_sketches {
            return;
        }
        let is_old = self.peers.get(&from).is_some_and(|peer| {
            peer.sketch.incarnation == sketch.incarnation && peer.sketch.number >= sketch.number
        });
        if is_old {
            return;
        }
        self.apply_reported_draining(&sketch);
        let mut former = self.peers.remove(&from);
        let prefilled_tokens = self.apply_reported_prefill(former.as_mut(), &sketch);
        if let Some(former) = former.filter(|peer| peer.is_counted) {
            self.peer_totals.remove(&former.sketch);
            update_peer_loads(&mut self.servers, &self.peer_totals, &former.sketch);
        }
        self.peer_totals.add(&sketch);
        update_peer_loads(&mut self.servers, &self.peer_totals, &sketch);
        self.peers.insert(
            from,
            Peer {
                received_at: now,
                sketch,
                is_counted: true,
                prefilled_tokens,
            },
        );
        self.update_reachable();
    }

    /// Marks the servers that a peer knows to be draining: the platform's list lags behind it.
    fn apply_reported_draining(&mut self, sketch: &Sketch) {
        for name in &sketch.draining {
            if let Some(server) = self.servers.get_mut(name) {
                server.is_draining = true;
            }
        }
    }

    /// Adds what a peer's requests made each server prefill since its former sketch, which evicts older
    /// blocks there, and returns the new totals. Another incarnation of the peer starts over.
    fn apply_reported_prefill(
        &mut self,
        former: Option<&mut Peer>,
        sketch: &Sketch,
    ) -> BTreeMap<ServerName, u64> {
        let known = former
            .filter(|peer| peer.sketch.incarnation == sketch.incarnation)
            .map(|peer| std::mem::take(&mut peer.prefilled_tokens));
        let is_same_incarnation = known.is_some();
        let mut totals = known.unwrap_or_default();
        for reported in &sketch.in_flight {
            let total = reported.prefilled_tokens;
            let before = totals.insert(reported.server.clone(), total).unwrap_or(0);
            let server = self.servers.get_mut(&reported.server);
            if let Some(server) = server.filter(|_| is_same_incarnation) {
                server
                    .residency
                    .record_prefill(total.saturating_sub(before));
            }
        }
        totals.retain(|name, _| self.servers.contains_key(name));
        totals
    }

    /// This node's share of a slow-start or warm-up budget.
    ///
    /// # Errors
    ///
    /// The time after which to check again, in ms, while this node's claim does not hold.
    pub(super) fn claimed_share(
        &self,
        total: u32,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> Result<u32, Milliseconds> {
        self.claim.check(now)?;
        let is_member = self.members.contains(&self.own);
        Ok(if is_member {
            share_at(total, server.rank, self.fleet_size())
        } else {
            0
        })
    }

    /// How many nodes there are at least, as far as known here.
    pub(super) fn fleet_size(&self) -> u32 {
        (self.members.len() as u32)
            .max(self.scheduler_rules.min_members)
            .max(self.reachable_peer_count + 1)
    }

    /// Takes sketches off the totals that have outlived `sketch_lifetime`.
    pub(super) fn expire_peers(&mut self, now: MonotonicInstant) {
        if self.next_expiry.is_none_or(|deadline| now < deadline) {
            return;
        }
        let lifetime = self.scheduler_rules.sketch_lifetime;
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| peer.is_counted && now.since(peer.received_at) >= lifetime)
        {
            self.peer_totals.remove(&peer.sketch);
            update_peer_loads(&mut self.servers, &self.peer_totals, &peer.sketch);
            peer.is_counted = false;
        }
        self.update_reachable();
    }

    /// Updates what follows from the set of sketches that count.
    pub(super) fn update_reachable(&mut self) {
        let lifetime = self.scheduler_rules.sketch_lifetime;
        let counted = self.peers.values().filter(|peer| peer.is_counted);
        self.next_expiry = counted.map(|peer| peer.received_at + lifetime).min();
        let reachable_peers = self.reachable_peers();
        self.reachable_peer_count = reachable_peers.len() as u32 - 1;
        self.reaches_all_members = self
            .members
            .iter()
            .all(|member| reachable_peers.contains(member));
    }

    /// Members whose reports are known here: this node, the peers that reported, and those in a sum.
    pub(super) fn reachable_peers(&self) -> BTreeSet<Address> {
        let mut reachable_peers = BTreeSet::from([self.own]);
        for (from, peer) in self.peers.iter().filter(|(_, peer)| peer.is_counted) {
            match &peer.sketch.missing {
                Some(missing) => reachable_peers.extend(
                    self.members
                        .iter()
                        .filter(|member| !missing.contains(member)),
                ),
                None => drop(reachable_peers.insert(*from)),
            }
        }
        reachable_peers
    }
}
