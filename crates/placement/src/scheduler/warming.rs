//! Bursts: which prefixes are active, who copies them where, when they cool.

use super::*;
use crate::event::Decision;
use crate::rendezvous::{key_of, mix, rank};
use crate::rules::ServiceRules;
use crate::scheduler::Scheduler;
use crate::sketch::PrefixHash;
use types::{Address, Milliseconds, MonotonicInstant, ServerName, ServiceName};

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
            self.order_copies(now);
        }
        self.update_overdue(now);
        self.cool(now);
        let incarnation = Milliseconds(self.scheduler_rules.sketch_lifetime.0 * 4);
        self.peers
            .retain(|_, peer| now.since(peer.heard) < incarnation);
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

    /// Requests the copies that an active prefix lacks, if it's this node's duty: the one that comes
    /// first in the prefix's own order of the members that are heard. Should two nodes for a moment
    /// both think so, the servers take the same copy once.
    fn order_copies(&mut self, now: MonotonicInstant) {
        let heard: Vec<Address> = self.heard().into_iter().collect();
        let prefixes: Vec<PrefixHash> = self.active.keys().copied().collect();
        for prefix in prefixes {
            if rank(prefix.0, &self.own, &heard) != 0 {
                continue;
            }
            let Some(rules) = self
                .rules
                .services
                .get(&self.active[&prefix].service)
                .cloned()
            else {
                continue;
            };
            let is_usable = |name: &ServerName| {
                self.servers
                    .get(name)
                    .is_some_and(|server| self.may_serve(&rules, name, server, now))
            };
            let holders: Vec<ServerName> = self
                .holders(prefix, now)
                .into_iter()
                .filter(is_usable)
                .collect();
            let Some(holder) = holders.iter().min_by_key(|name| {
                (
                    self.servers.get(*name).map_or(0, |s| self.load(s, now)),
                    (*name).clone(),
                )
            }) else {
                continue;
            };
            let is_under_way = |copy: &Copy| {
                copy.state == CopyState::Ordered
                    || (copy.state == CopyState::Failed
                        && now.since(copy.ordered) < Milliseconds(3000))
            };
            let active = &self.active[&prefix];
            let under_way = active
                .copies
                .values()
                .filter(|copy| copy.state == CopyState::Ordered)
                .count();
            let is_full = |name: &ServerName| {
                self.servers.get(name).is_some_and(|server| {
                    self.load(server, now) >= server.slots.unwrap_or(rules.slots)
                })
            };
            let more = usize::from(under_way == 0 && holders.iter().all(is_full));
            let most = rules.btb.most_copies.max(rules.btb.copies) as usize;
            let goal = (rules.btb.copies as usize)
                .max(holders.len() + more)
                .min(most);
            let wanted = goal.saturating_sub(holders.len() + under_way);
            if wanted == 0 {
                continue;
            }
            let weights = self.servers[holder].weights.clone();
            let mut targets: Vec<(u32, u64, ServerName)> = self
                .servers
                .iter()
                .filter(|(name, server)| {
                    self.may_serve(&rules, name, server, now)
                        && !holders.contains(name)
                        && !active.copies.get(*name).is_some_and(is_under_way)
                        && !server.is_in_slow_start(now, &self.scheduler_rules)
                        && server.knows_kv
                        && server.weights == weights
                        && self.copies_under_way(name) < self.scheduler_rules.copies_per_server
                })
                .map(|(name, server)| {
                    (
                        self.load(server, now),
                        mix(prefix.0 ^ key_of(name.as_str())),
                        name.clone(),
                    )
                })
                .collect();
            targets.sort();
            targets.truncate(wanted);
            if targets.is_empty() || !self.servers[holder].knows_kv {
                continue;
            }
            let targets: Vec<ServerName> = targets.into_iter().map(|(_, _, name)| name).collect();
            let count = self.count(prefix, now, rules.btb.window);
            let (holder, epoch) = (holder.clone(), self.rules.epoch);
            if let Some(active) = self.active.get_mut(&prefix) {
                for target in &targets {
                    let copy = Copy {
                        ordered: now,
                        state: CopyState::Ordered,
                    };
                    active.copies.insert(target.clone(), copy);
                }
            }
            self.decisions.push(Decision::Warm {
                prefix,
                holder,
                targets,
                count,
                epoch,
            });
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

    pub(super) fn on_copy_fate(
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

    /// What is overdue at a server now is to be expected of what goes there next.
    fn update_overdue(&mut self, now: MonotonicInstant) {
        for server in self.servers.values_mut() {
            server.overdue = 0;
        }
        for hand in self
            .requests
            .values()
            .filter(|hand| hand.first.is_none() && hand.footprint.is_told)
        {
            let overdue = now.since(hand.placed).0.saturating_sub(hand.expected.0);
            if let Some(server) = self.servers.get_mut(&hand.server) {
                server.overdue = server.overdue.max(overdue);
            }
        }
    }

    fn cool(&mut self, now: MonotonicInstant) {
        let span = self.scheduler_rules.deactivate_after;
        for (prefix, active) in &mut self.active {
            if self.told.count(*prefix).is_some() {
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
