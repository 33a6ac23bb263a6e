//! Warming: bursts make prefixes active, active prefixes are copied to M servers, and both end after a while.
//!
//! Source: "if the same Y-block-length prefix arrives X times within Z seconds, BTB marks that prefix as active
//! and warms M replicas" (BTB, docs/provenance.md).

use crate::event::Decision;
use crate::rendezvous::{key_of, mix, rank};
use crate::rules::ServiceRules;
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use std::collections::BTreeMap;
use types::{Address, Milliseconds, MonotonicInstant, ServerName, ServiceName};

/// A prefix in a burst.
#[derive(Debug, Clone)]
pub(super) struct Active {
    pub(super) last: MonotonicInstant,
    pub(super) hashes: Vec<PrefixHash>,
    pub(super) service: ServiceName,
    pub(super) copies: BTreeMap<ServerName, Copy>,
}

/// A copy that this node has ordered.
#[derive(Debug, Clone)]
pub(super) struct Copy {
    pub(super) ordered: MonotonicInstant,
    pub(super) state: CopyState,
}

#[derive(Debug, Clone, PartialEq)]
pub(super) enum CopyState {
    Ordered,
    Assumed,
    Failed,
}

impl Copy {
    /// Whether it keeps another copy to the same server from being ordered.
    fn is_blocking(&self, now: MonotonicInstant) -> bool {
        self.state == CopyState::Ordered
            || (self.state == CopyState::Failed && now.since(self.ordered) < COPY_RETRY_DELAY)
    }
}

/// A copy that failed is ordered again after this.
const COPY_RETRY_DELAY: Milliseconds = Milliseconds(3000);

impl Scheduler {
    /// Makes a prefix active when its count fires, and orders copies that are due.
    pub(super) fn activate_burst(
        &mut self,
        prefix: PrefixHash,
        rules: &ServiceRules,
        service: &ServiceName,
        hashes: &[PrefixHash],
        count: u32,
        now: MonotonicInstant,
    ) {
        if let Some(active) = self.active.get_mut(&prefix) {
            active.last = now;
        } else if count >= rules.btb.arrivals {
            let counted = hashes
                .iter()
                .position(|hash| *hash == prefix)
                .map_or(0, |place| place + 1);
            let counted = hashes[..counted].to_vec();
            let active = Active {
                last: now,
                hashes: counted,
                service: service.clone(),
                copies: BTreeMap::new(),
            };
            self.active.insert(prefix, active);
        }
    }

    pub(super) fn on_tick(&mut self, now: MonotonicInstant) {
        self.record_overdue(now);
        self.assume_copies(now);
        if self.scheduler_rules.orders_kv_copies {
            self.request_copies(now);
        }
        self.update_overdue(now);
        self.deactivate_idle(now);
        let incarnation = Milliseconds(self.scheduler_rules.sketch_lifetime.0 * 4);
        self.peers
            .retain(|_, peer| now.since(peer.received_at) < incarnation);
        self.forget_unlisted();
    }

    /// Nobody tells that an import is done: after a while it's assumed, and first-token times may
    /// disprove it.
    fn assume_copies(&mut self, now: MonotonicInstant) {
        let span = self.scheduler_rules.copy_duration;
        for active in self.active.values_mut() {
            for (name, copy) in &mut active.copies {
                if copy.state == CopyState::Ordered && now.since(copy.ordered) >= span {
                    copy.state = CopyState::Assumed;
                    if let Some(server) = self.servers.get_mut(name) {
                        server.residency.record_cached(&active.hashes, now);
                    }
                }
            }
        }
    }

    /// Orders the copies that active prefixes lack, where that is this node's duty: the node that ranks
    /// first for the prefix among those heard. Should two nodes both think so for a moment, the servers
    /// take the same copy once.
    fn request_copies(&mut self, now: MonotonicInstant) {
        let reachable_peers: Vec<Address> = self.reachable_peers().into_iter().collect();
        let prefixes: Vec<PrefixHash> = self.active.keys().copied().collect();
        for prefix in prefixes {
            if rank(prefix.0, &self.own, &reachable_peers) == 0 {
                self.request_copies_of(prefix, now);
            }
        }
    }

    /// Orders the copies that one active prefix lacks, from its least-loaded holder.
    fn request_copies_of(&mut self, prefix: PrefixHash, now: MonotonicInstant) {
        let service = &self.active[&prefix].service;
        let Some(rules) = self.rules.services.get(service).cloned() else {
            return;
        };
        let holders = self.usable_holders(prefix, &rules, now);
        let load_of = |name: &ServerName| self.servers.get(name).map_or(0, |s| self.load(s, now));
        let Some(holder) = holders
            .iter()
            .min_by_key(|name| (load_of(name), (*name).clone()))
        else {
            return;
        };
        let missing = self.missing_copies(prefix, &rules, &holders, now);
        if missing == 0 {
            return;
        }
        let targets = self.copy_targets(prefix, &rules, holder, &holders, missing, now);
        if targets.is_empty() || !self.servers[holder].knows_kv {
            return;
        }
        let count = self.count(prefix, now, rules.btb.window);
        let (holder, epoch) = (holder.clone(), self.rules.epoch);
        self.record_ordered(prefix, &targets, now);
        self.decisions.push(Decision::Warm {
            prefix,
            holder,
            targets,
            count,
            epoch,
        });
    }

    /// Servers that hold a prefix and may serve the service.
    fn usable_holders(
        &self,
        prefix: PrefixHash,
        rules: &ServiceRules,
        now: MonotonicInstant,
    ) -> Vec<ServerName> {
        let is_usable = |name: &ServerName| {
            self.servers
                .get(name)
                .is_some_and(|server| self.may_serve(rules, name, server, now))
        };
        self.holders(prefix, now)
            .into_iter()
            .filter(is_usable)
            .collect()
    }

    /// How many copies of a prefix are to be ordered now: up to M, and one more at a time while every
    /// holder is full.
    fn missing_copies(
        &self,
        prefix: PrefixHash,
        rules: &ServiceRules,
        holders: &[ServerName],
        now: MonotonicInstant,
    ) -> usize {
        let copies = self.active[&prefix].copies.values();
        let under_way = copies
            .filter(|copy| copy.state == CopyState::Ordered)
            .count();
        let is_full = |name: &ServerName| {
            self.servers
                .get(name)
                .is_some_and(|server| self.load(server, now) >= server.slots.unwrap_or(rules.slots))
        };
        let more = usize::from(under_way == 0 && holders.iter().all(is_full));
        let max_copies = rules.btb.most_copies.max(rules.btb.copies) as usize;
        let goal = (rules.btb.copies as usize)
            .max(holders.len() + more)
            .min(max_copies);
        goal.saturating_sub(holders.len() + under_way)
    }

    /// The least-loaded servers that can take a copy, at most `missing` of them.
    fn copy_targets(
        &self,
        prefix: PrefixHash,
        rules: &ServiceRules,
        holder: &ServerName,
        holders: &[ServerName],
        missing: usize,
        now: MonotonicInstant,
    ) -> Vec<ServerName> {
        let copies = &self.active[&prefix].copies;
        let weights = &self.servers[holder].weights;
        let can_take = |name: &ServerName, server: &ServerState| {
            self.may_serve(rules, name, server, now)
                && !holders.contains(name)
                && !copies.get(name).is_some_and(|copy| copy.is_blocking(now))
                && !server.is_in_slow_start(now, &self.scheduler_rules)
                && server.knows_kv
                && server.weights == *weights
                && self.copies_under_way(name) < self.scheduler_rules.copies_per_server
        };
        let mut targets: Vec<(u32, u64, &ServerName)> = self
            .servers
            .iter()
            .filter(|(name, server)| can_take(name, server))
            .map(|(name, server)| {
                let tie_breaker = mix(prefix.0 ^ key_of(name.as_str()));
                (self.load(server, now), tie_breaker, name)
            })
            .collect();
        targets.sort();
        targets.truncate(missing);
        targets
            .into_iter()
            .map(|(_, _, name)| name.clone())
            .collect()
    }

    fn record_ordered(
        &mut self,
        prefix: PrefixHash,
        targets: &[ServerName],
        now: MonotonicInstant,
    ) {
        let Some(active) = self.active.get_mut(&prefix) else {
            return;
        };
        for target in targets {
            let copy = Copy {
                ordered: now,
                state: CopyState::Ordered,
            };
            active.copies.insert(target.clone(), copy);
        }
    }

    fn copies_under_way(&self, name: &ServerName) -> u32 {
        let copies = self
            .active
            .values()
            .filter_map(|active| active.copies.get(name));
        copies
            .filter(|copy| copy.state != CopyState::Failed)
            .count() as u32
    }

    pub(super) fn on_copy_result(
        &mut self,
        prefix: PrefixHash,
        name: &ServerName,
        is_taken: bool,
        knows_kv: bool,
    ) {
        if let Some(server) = self.servers.get_mut(name) {
            server.knows_kv = knows_kv;
        }
        if let Some(copy) = self
            .active
            .get_mut(&prefix)
            .and_then(|active| active.copies.get_mut(name))
            && !is_taken
        {
            copy.state = CopyState::Failed;
        }
    }

    fn deactivate_idle(&mut self, now: MonotonicInstant) {
        let span = self.scheduler_rules.deactivate_after;
        for (prefix, active) in &mut self.active {
            if self.peer_totals.count(*prefix).is_some() {
                active.last = now;
            }
        }
        let cooled: Vec<PrefixHash> = self
            .active
            .iter()
            .filter(|(_, active)| now.since(active.last) >= span)
            .map(|(prefix, _)| *prefix)
            .collect();
        for prefix in cooled {
            let Some(active) = self.active.remove(&prefix) else {
                continue;
            };
            let copies: Vec<ServerName> = active.copies.into_keys().collect();
            for name in &copies {
                if let Some(server) = self.servers.get_mut(name) {
                    server.residency.evict(&[prefix]);
                }
            }
            self.decisions.push(Decision::Cooled { prefix, copies });
        }
    }
}
