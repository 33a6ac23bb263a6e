//! Choosing a server where clients tell what they ask: by the expected time to the first piece, and by what
//! the request costs those that wait beside it.

use super::peer_totals::ReportedPrefix;
use super::placing::{Placement, PlacementRequest, Rejection, SpanExt, WAIT_LEAST, late_words};
use super::*;
use crate::event::{Candidate, PlacementReason, RequestCost};
use crate::rendezvous::{key_of, mix, share_at};
use crate::rules::{BtbRules, ServiceRules};
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant, ResultCode, ServerName};

/// How many of the weighed servers a decision shows.
const SHOWN: usize = 4;
/// A server that is told of as little as this part of full, in percent, turns nobody away.
const HALF_EMPTY: u32 = 50;
/// What is still worth serving is expected within this part of the client's deadline, in percent.
const LATE_PERCENT: u64 = 60;

/// A server that may take the request.
struct ScoredServer<'a> {
    name: &'a ServerName,
    slots: u32,
    load: u32,
    matched: u32,
    /// Leading parts that it holds if it's the one that the other nodes send them to, too.
    likely: u32,
    footprint: Footprint,
    expected: u64,
    /// Expected time and what else it costs, in ms.
    cost: u64,
    /// Its place in the prefix's own order: higher first.
    affinity: u64,
    /// `Some(true)`: believed to hold the counted prefix; `Some(false)`: it was sent there.
    holding: Option<bool>,
}

impl ScoredServer<'_> {
    fn is_warm(&self) -> bool {
        self.holding == Some(true)
    }
    fn candidate(&self) -> Candidate {
        Candidate {
            server: self.name.clone(),
            load: self.load,
            matched: self.matched,
            expected: Milliseconds(self.expected),
            is_warm: self.is_warm(),
        }
    }
}

/// What else was seen of the servers that may serve a request.
#[derive(Default)]
struct Survey {
    /// When the first of those that can't take it now can, about.
    wait: Option<Milliseconds>,
    /// How many hold the counted prefix, or are reading it.
    holders: u32,
    /// Of them, how many are reading it.
    under_way: u32,
    /// Whether one of them has room.
    is_any_free: bool,
}

impl Survey {
    fn note(&mut self, wait: Milliseconds) {
        self.wait = Some(self.wait.map_or(wait, |least| least.min(wait)));
    }
    fn note_holding(&mut self, holding: Option<bool>, is_free: bool) {
        let Some(is_shown) = holding else { return };
        self.holders += 1;
        self.under_way += u32::from(!is_shown);
        self.is_any_free |= is_free;
    }
    /// Whether fewer servers than are due hold an active prefix or are reading it.
    fn wants_more(&self, btb: &BtbRules) -> bool {
        let more = u32::from(!self.is_any_free && self.under_way == 0);
        self.holders
            < btb
                .copies
                .max(self.holders + more)
                .min(btb.most_copies.max(btb.copies))
    }
}

impl Scheduler {
    pub(super) fn choose_by_time(
        &self,
        placement_request: &PlacementRequest,
    ) -> Result<Placement, Rejection> {
        let (mut scored, survey) = self.score(placement_request, false);
        if scored.is_empty() {
            // Rather one more at a server that has yet to show that it works again than a refusal.
            scored = self.score(placement_request, true).0;
        }
        // Prompts stay with what holds them; plain fetches have nothing to stay for.
        let hysteresis = if placement_request.hashes.is_empty() {
            Milliseconds(0)
        } else {
            self.scheduler_rules.hysteresis
        };
        let Some(best) = best_of(&scored, hysteresis, |_| true) else {
            return Err(match survey.wait {
                Some(wait) => {
                    let why = "every server that may serve it is at its cap".to_owned();
                    Rejection {
                        code: ResultCode::Crowded,
                        why,
                        wait: wait.max_with(WAIT_LEAST),
                    }
                }
                None => {
                    let why = "no server that may serve it is known and well".to_owned();
                    Rejection {
                        code: ResultCode::NoServer,
                        why,
                        wait: self.well_again(placement_request).max_with(WAIT_LEAST),
                    }
                }
            });
        };
        let deadline = if placement_request.request_cost.target.0 > 0 {
            placement_request.request_cost.target
        } else {
            placement_request.rules.first_token
        };
        let (mut chosen, mut reason) =
            self.choose_among(placement_request, &scored, best, &survey, deadline);
        // A late answer is worth something still; one after the deadline is worth nothing.
        let latest = deadline.max_with(Milliseconds(
            placement_request.request_cost.deadline.0 * LATE_PERCENT / 100,
        ));
        if chosen.expected > deadline.0 {
            let soonest = scored
                .iter()
                .min_by_key(|r| (r.expected, r.cost, r.affinity));
            if let Some(soonest) = soonest.filter(|soonest| soonest.expected < chosen.expected) {
                (chosen, reason) = (soonest, PlacementReason::Soonest);
            }
        }
        let has_room = scored.iter().any(|r| r.load * 100 < r.slots * HALF_EMPTY);
        if self.scheduler_rules.enforces_deadlines && chosen.expected > latest.0 && !has_room {
            let wait = Milliseconds(chosen.expected - latest.0).max_with(WAIT_LEAST);
            return Err(Rejection {
                code: ResultCode::Crowded,
                why: late_words(Milliseconds(chosen.expected), latest),
                wait,
            });
        }
        let mut others: Vec<&ScoredServer> = scored.iter().collect();
        let by_cost = |r: &&ScoredServer| (r.cost, u64::MAX - r.affinity);
        if others.len() > SHOWN {
            others.select_nth_unstable_by_key(SHOWN, by_cost);
            others.truncate(SHOWN);
        }
        others.sort_unstable_by_key(by_cost);
        Ok(Placement {
            chosen: chosen.candidate(),
            reason,
            was_idle: chosen.load < chosen.slots,
            footprint: chosen.footprint,
            candidates: others.into_iter().map(ScoredServer::candidate).collect(),
        })
    }

    fn choose_among<'a, 'b>(
        &self,
        placement_request: &PlacementRequest,
        scored: &'b [ScoredServer<'a>],
        best: &'b ScoredServer<'a>,
        survey: &Survey,
        deadline: Milliseconds,
    ) -> (&'b ScoredServer<'a>, PlacementReason) {
        let by_cache = || {
            let reason = if best.matched > 0 {
                PlacementReason::CacheMatch
            } else {
                PlacementReason::LeastLoaded
            };
            (best, reason)
        };
        if !placement_request.is_active {
            return by_cache();
        }
        let least = |may: &dyn Fn(&ScoredServer) -> bool| {
            let those = scored.iter().filter(|r| may(r));
            those.min_by_key(|r| (r.expected, r.load, u64::MAX - r.affinity))
        };
        let warm = least(&|r| r.is_warm());
        let wanted = !self.scheduler_rules.orders_kv_copies
            && survey.wants_more(&placement_request.rules.btb);
        // Its own reading warms the next target; a target reads the prefix once, and the rest go where it is held.
        let holder = warm.or_else(|| least(&|r| r.holding.is_some()));
        let is_needed =
            holder.is_none_or(|holder| holder.expected > self.scheduler_rules.warming_threshold.0);
        if wanted
            && is_needed
            && let Some(target) = best_of(scored, self.scheduler_rules.hysteresis, |r| {
                r.holding.is_none()
            })
            && (target.expected <= deadline.0 || warm.is_none_or(|warm| warm.expected > deadline.0))
        {
            return (target, PlacementReason::Warming);
        }
        match holder {
            Some(warm) => (warm, PlacementReason::Warm),
            None => by_cache(),
        }
    }

    /// `Some(true)`: it's believed to hold a prefix; `Some(false)`: it was sent there.
    fn holding(
        told: &[ReportedPrefix],
        prefix: PrefixHash,
        name: &ServerName,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> Option<bool> {
        let told = told
            .iter()
            .find(|told| told.is_of(name, server.incarnation.unwrap_or(0)));
        if told.is_some_and(ReportedPrefix::is_shown) || server.residency.holds(prefix, now) {
            return Some(true);
        }
        if told.is_some() || server.residency.expects(prefix, now) {
            Some(false)
        } else {
            None
        }
    }

    /// When the first server that is kept from work for its faults may have some again.
    fn well_again(&self, placement_request: &PlacementRequest) -> Milliseconds {
        let is_in_pool = |server: &&ServerState| {
            server.is_listed && !server.is_draining && server.pool == placement_request.rules.pool
        };
        let waits = self
            .servers
            .values()
            .filter(is_in_pool)
            .filter_map(|server| server.ejected_until);
        waits
            .map(|deadline| placement_request.now.until(deadline))
            .filter(|wait| wait.0 > 0)
            .min()
            .unwrap_or(Milliseconds(1000))
    }

    /// All servers that can take the request now, and what is with those that can't.
    fn score<'a>(
        &'a self,
        placement_request: &PlacementRequest,
        does_trust: bool,
    ) -> (Vec<ScoredServer<'a>>, Survey) {
        let PlacementRequest {
            rules,
            hashes,
            tried,
            request_cost,
            now,
            ..
        } = *placement_request;
        let mut scored = Vec::with_capacity(self.servers.len());
        let mut survey = Survey::default();
        let prefix = placement_request.prefix();
        let told = prefix.map_or(&[][..], |prefix| self.told.holdings(prefix));
        let prompt = self.prompt_tokens(hashes, request_cost);
        // Prompts that begin alike prefer the same servers; others are spread.
        let shared = hashes.len().saturating_sub(2);
        let affinity_key = hashes
            .get(shared)
            .map_or_else(|| key_of(placement_request.request.as_str()), |hash| hash.0);
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) {
                continue;
            }
            let peer_load = server.peer_load;
            let load = self.load(server, now);
            let slots = server.slots.unwrap_or(rules.slots).max(1);
            let holding =
                prefix.and_then(|prefix| Scheduler::holding(told, prefix, name, server, now));
            survey.note_holding(holding, load < slots && server.overdue == 0);
            if tried.contains(name) {
                continue;
            }
            if let Err(wait) = self.may_add(rules, server, slots, load, does_trust, now) {
                survey.note(wait);
                continue;
            }
            let matched = server.residency.matched(hashes, now);
            let matched = match (holding, placement_request.counted) {
                (Some(_), Some(place)) => matched.max(place as u32 + 1),
                _ => matched,
            };
            let kept = self
                .tokens_of(&hashes[..matched as usize], request_cost)
                .min(prompt);
            let memory = if rules.memory_tokens > 0 {
                prompt + u64::from(request_cost.output_tokens)
            } else {
                0
            };
            let queue = u64::from((load + 1).saturating_sub(slots)) * server.service_time.0
                / u64::from(slots);
            let footprint = Footprint {
                is_told: true,
                uncached: prompt - kept,
                ahead: server.pending_prefill_tokens + peer_load.pending_prefill_tokens,
                prompt,
                memory,
                queue,
            };
            let expected = self.expect(
                rules,
                server,
                &footprint,
                load,
                server.tokens + peer_load.tokens,
            );
            let reading = self.prefill(server, footprint.uncached);
            let mut cost =
                expected + reading * u64::from(self.scheduler_rules.prefill_percent) / 100;
            cost += u64::from(load) * self.scheduler_rules.load_penalty.0 / u64::from(slots);
            if self.zone.as_ref().is_some_and(|zone| *zone != server.zone) {
                cost += self.scheduler_rules.zone_penalty.0;
            }
            let affinity = mix(server.key ^ affinity_key);
            let likely = matched;
            scored.push(ScoredServer {
                name,
                slots,
                load,
                matched,
                likely,
                footprint,
                expected,
                cost,
                affinity,
                holding,
            });
        }
        self.look_at_first_choice(&mut scored, hashes, request_cost, shared);
        (scored, survey)
    }

    /// Shared parts that nobody is known to hold are looked for at the server that comes first in the prefix's
    /// own order: the other nodes send them there, too. If they aren't there, they have to be read wherever the
    /// request goes, so that it costs nothing to have looked.
    fn look_at_first_choice(
        &self,
        scored: &mut [ScoredServer],
        hashes: &[PrefixHash],
        request_cost: &RequestCost,
        shared: usize,
    ) {
        if hashes.len() < 2 || scored.iter().any(|s| s.matched as usize > shared) {
            return;
        }
        let Some(first) = scored.iter_mut().max_by_key(|s| s.affinity) else {
            return;
        };
        let kept = first.footprint.prompt - first.footprint.uncached;
        let saved = self
            .tokens_of(&hashes[..=shared], request_cost)
            .saturating_sub(kept);
        let reading = self
            .servers
            .get(first.name)
            .map_or(0, |server| self.prefill(server, saved));
        first.likely = shared as u32 + 1;
        first.cost = first.cost.saturating_sub(
            reading + reading * u64::from(self.scheduler_rules.prefill_percent) / 100,
        );
    }

    /// Whether a server can take one more from this node now; else when, about.
    #[allow(clippy::too_many_arguments)]
    fn may_add(
        &self,
        rules: &ServiceRules,
        server: &ServerState,
        slots: u32,
        load: u32,
        does_trust: bool,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        if rules.warm_up_per_second > 0 && server.is_warming_up(rules.warm_up_duration, now) {
            let part = self.claimed(rules.warm_up_per_second, server, now)?;
            server.check_warm_up_rate(part, now)?;
        }
        let place_wait = Milliseconds(server.service_time.0 / u64::from(slots));
        // One that was kept from work shows first that it works again.
        if !does_trust
            && server.ejected_until.is_some()
            && server.consecutive_failures > 0
            && server.own > 0
        {
            return Err(place_wait);
        }
        let cap = slots + slots * self.scheduler_rules.queue_percent / 100;
        let members = self.members.len() as u32;
        let is_own_part = server.own < share_at(cap, server.rank, members);
        // Beyond the own part, room that others leave is used; for those not heard, half of theirs stays free.
        let unheard = if self.hears_all_members {
            0
        } else {
            members.saturating_sub(1 + self.counted_peers)
        };
        let kept_free = unheard * (cap / members.max(1)) / 2;
        if load + kept_free < cap || (is_own_part && load < cap * 2) {
            Ok(())
        } else {
            Err(place_wait)
        }
    }

    /// Expected time to the first piece, in ms.
    fn expect(
        &self,
        rules: &ServiceRules,
        server: &ServerState,
        footprint: &Footprint,
        load: u32,
        tokens: u64,
    ) -> u64 {
        if footprint.prompt == 0 {
            return server.service_time.0 + footprint.queue + server.overdue;
        }
        let step = (self.scheduler_rules.step_micros
            + u64::from(load) * self.scheduler_rules.step_micros_per_request)
            / 1000;
        // What doesn't fit beside those that run waits until as much of them has ended.
        let over = (tokens + footprint.memory).saturating_sub(rules.memory_tokens);
        let room = if rules.memory_tokens == 0 || tokens == 0 {
            0
        } else {
            server.service_time.0 * over / tokens
        };
        let reading = self.prefill(server, footprint.ahead + footprint.uncached);
        self.scheduler_rules.base_first_token.0
            + reading
            + step
            + footprint.queue.max(room)
            + server.overdue
    }

    /// How long a server reads so many tokens, in ms.
    fn prefill(&self, server: &ServerState, tokens: u64) -> u64 {
        tokens * server.block_micros / u64::from(self.scheduler_rules.block_tokens.max(1)) / 1000
    }

    fn prompt_tokens(&self, hashes: &[PrefixHash], request_cost: &RequestCost) -> u64 {
        self.tokens_of(hashes, request_cost)
            .max(u64::from(request_cost.prompt_tokens))
    }

    /// Tokens of the leading parts.
    fn tokens_of(&self, hashes: &[PrefixHash], request_cost: &RequestCost) -> u64 {
        if request_cost.hash_tokens.is_empty() {
            return hashes.len() as u64 * u64::from(self.scheduler_rules.block_tokens);
        }
        request_cost
            .hash_tokens
            .iter()
            .take(hashes.len())
            .map(|tokens| u64::from(*tokens))
            .sum()
    }
}

/// The cheapest; of those that cost about the same, the one that holds most, then the prefix's own favorite.
fn best_of<'a, 'b>(
    scored: &'b [ScoredServer<'a>],
    hysteresis: Milliseconds,
    may: impl Fn(&ScoredServer) -> bool,
) -> Option<&'b ScoredServer<'a>> {
    let least = scored.iter().filter(|r| may(r)).map(|r| r.cost).min()?;
    let near = scored
        .iter()
        .filter(|r| may(r) && r.cost <= least + hysteresis.0);
    near.max_by_key(|r| (r.likely, r.affinity))
}
