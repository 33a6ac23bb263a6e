//! The placement policy where clients tell nothing of their requests: by load and by cached blocks.
//!
//! Source: the paper's cache-aware default, which falls back to load balancing on imbalance, and its
//! "least-loaded warm replica" for active prefixes (BTB, docs/provenance.md).

use crate::event::{Candidate, PlacementReason};
use crate::rendezvous::{key_of, mix, share_at};
use crate::rules::SchedulerRules;
use crate::scheduler::Scheduler;
use crate::scheduler::placing::{Placement, PlacementRequest, Rejection, SpanExt};
use crate::scheduler::requests::Footprint;
use crate::server_state::ServerState;
use types::{Milliseconds, MonotonicInstant, ServerName};

/// A fresh server's cap has grown a little by then.
const SLOW_START_WAIT: Milliseconds = Milliseconds(500);

/// A candidate with what the choice needs besides.
struct WeighedServer {
    candidate: Candidate,
    slots: u32,
    tie: u64,
}

/// Which of the weighed servers, and why.
fn choose(
    weighed: &[WeighedServer],
    is_active: bool,
    deadline: Milliseconds,
    rules: &SchedulerRules,
) -> Option<(usize, PlacementReason)> {
    let least = |may: &dyn Fn(&WeighedServer) -> bool| {
        let those = weighed.iter().enumerate().filter(|(_, w)| may(w));
        those
            .min_by_key(|(_, w)| (w.candidate.load, w.tie))
            .map(|(place, _)| place)
    };
    let first_token_at = if let Some(warm) = least(&|w| is_active && w.candidate.is_warm) {
        (warm, PlacementReason::Warm)
    } else {
        let idlest = least(&|_| true)?;
        let matching = weighed
            .iter()
            .enumerate()
            .filter(|(_, w)| w.candidate.matched > 0);
        let best =
            matching.max_by_key(|(_, w)| (w.candidate.matched, u32::MAX - w.candidate.load, w.tie));
        match best {
            Some((place, w))
                if w.candidate.load
                    <= weighed[idlest].candidate.load + rules.max_load_imbalance =>
            {
                (place, PlacementReason::CacheMatch)
            }
            Some(_) => (idlest, PlacementReason::Imbalance),
            None => (idlest, PlacementReason::LeastLoaded),
        }
    };
    if rules.enforces_deadlines && weighed[first_token_at.0].candidate.expected > deadline {
        let soonest = weighed
            .iter()
            .enumerate()
            .min_by_key(|(_, w)| (w.candidate.expected, w.tie));
        return soonest.map(|(place, _)| (place, PlacementReason::Soonest));
    }
    Some(first_token_at)
}

impl Scheduler {
    /// Chooses a server where the client tells nothing of its request: by requests in flight and by cached
    /// blocks.
    pub(super) fn choose_by_load(
        &self,
        placement_request: &PlacementRequest,
    ) -> Result<Placement, Rejection> {
        let (weighed, full_until) = self.weigh(placement_request);
        let deadline = placement_request.rules.first_token;
        let is_active = placement_request.is_active;
        let Some((place, reason)) = choose(&weighed, is_active, deadline, &self.scheduler_rules)
        else {
            return Err(if full_until.0 > 0 {
                Rejection::at_cap(full_until.max_with(Milliseconds(1000)))
            } else {
                Rejection::no_server(full_until.max_with(Milliseconds(1000)))
            });
        };
        let chosen = weighed[place].candidate.clone();
        if self.scheduler_rules.enforces_deadlines && chosen.expected > deadline {
            let wait = Milliseconds(chosen.expected.0 - deadline.0).max_with(Milliseconds(1000));
            return Err(Rejection::too_late(chosen.expected, deadline, wait));
        }
        let was_idle = chosen.load < weighed[place].slots;
        let candidates = weighed.into_iter().map(|w| w.candidate).collect();
        Ok(Placement {
            chosen,
            reason,
            was_idle,
            footprint: Footprint::default(),
            candidates,
        })
    }

    /// Whether a server that may have this much in tracked from the whole fleet can take one more from this node now;
    /// else when, about.
    fn check_capacity_share(
        &self,
        server: &ServerState,
        cap: u32,
        load: u32,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        if server.is_in_slow_start(now, &self.scheduler_rules) {
            let part = self.claimed_share(cap, server, now)?;
            // What a former life of a node left there shows only in what others and the server itself tell.
            return if server.own < part && load < cap {
                Ok(())
            } else {
                Err(SLOW_START_WAIT)
            };
        }
        let part = share_at(cap, server.rank, self.members.len() as u32);
        // Beyond the own part, room that others leave may be used, if all others are heard.
        let may_borrow = self.reaches_all_members && load < cap;
        if server.own < part || may_borrow {
            Ok(())
        } else {
            Err(server.service_time)
        }
    }

    /// Weighs all servers that may take the request now, and returns with them the shortest wait, in ms, for
    /// one that is only full; zero if none is.
    fn weigh(&self, placement_request: &PlacementRequest) -> (Vec<WeighedServer>, Milliseconds) {
        let PlacementRequest {
            rules, tried, now, ..
        } = *placement_request;
        let mut weighed = vec![];
        let mut full_until = Milliseconds(0);
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) || tried.contains(name) {
                continue;
            }
            let cap = server.cap(rules.slots, now, &self.scheduler_rules);
            let load = self.load(server, now);
            match self.check_capacity_share(server, cap, load, now) {
                Ok(()) => weighed.push(self.weigh_server(placement_request, name, server, load)),
                Err(wait) if full_until.0 == 0 => full_until = wait,
                Err(wait) => full_until = Milliseconds(full_until.0.min(wait.0)),
            }
        }
        (weighed, full_until)
    }

    /// Estimates one server's time to the first token from its queue and from the blocks it lacks.
    fn weigh_server(
        &self,
        placement_request: &PlacementRequest,
        name: &ServerName,
        server: &ServerState,
        load: u32,
    ) -> WeighedServer {
        let PlacementRequest {
            request,
            rules,
            hashes,
            now,
            ..
        } = *placement_request;
        let counted = placement_request.prefix();
        let is_warm = counted.is_some_and(|prefix| self.is_warm(prefix, name, server, now));
        let cached = server.residency.matched(hashes, now);
        let is_expected =
            counted.is_some_and(|prefix| self.reported_residency(prefix, name, server).is_some());
        let matched = if is_warm || is_expected {
            cached.max(rules.btb.blocks)
        } else {
            cached
        };
        let slots = server.slots.unwrap_or(rules.slots).max(1);
        let queue = server.queueing_time(load, slots);
        let uncached = (hashes.len() as u64).saturating_sub(u64::from(matched));
        let prefill = uncached * server.block_micros / 1000;
        let base = self.scheduler_rules.base_first_token.0;
        let candidate = Candidate {
            server: name.clone(),
            load,
            matched,
            expected: Milliseconds(base + queue + prefill),
            is_warm,
        };
        WeighedServer {
            candidate,
            slots,
            tie: mix(server.key ^ key_of(request.as_str())),
        }
    }
}
