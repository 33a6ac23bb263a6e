//! The placement policy where clients tell what their requests need: by expected time to the first token, and
//! by what a request costs those that wait beside it.
//!
//! Source: the paper's warm routing and fallback (BTB, docs/provenance.md), with load measured as time and
//! with real requests as the means of warming.

use crate::event::{Candidate, PlacementReason, RequestCost};
use crate::rendezvous::{mix, share_at};
use crate::rules::{BtbRules, ServiceRules};
use crate::scheduler::Scheduler;
use crate::scheduler::placing::{MIN_RETRY_AFTER, Placement, PlacementRequest, Rejection, SpanExt};
use crate::scheduler::requests::Footprint;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant, ServerName};

/// How many of the weighed servers a decision shows.
const MAX_SHOWN_CANDIDATES: usize = 4;

/// A server that is told of as little as this part of full, in percent, turns nobody away.
const HALF_EMPTY_PERCENT: u32 = 50;

/// What is still worth serving is expected within this part of the client's deadline, in percent.
const LATE_DEADLINE_PERCENT: u64 = 60;

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

/// What is needed of a server's load to score it.
#[derive(Clone, Copy)]
struct Usage {
    /// Requests in flight over the fleet.
    load: u32,
    /// Requests that it runs at once.
    slots: u32,
    /// Tokens of the prompt to be placed.
    prompt: u64,
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
    fn record_wait(&mut self, wait: Milliseconds) {
        self.wait = Some(self.wait.map_or(wait, |least| least.min(wait)));
    }
    fn record_holding(&mut self, holding: Option<bool>, is_free: bool) {
        let Some(is_shown) = holding else { return };
        self.holders += 1;
        self.under_way += u32::from(!is_shown);
        self.is_any_free |= is_free;
    }
    /// Whether fewer servers than are due hold an active prefix or are reading it.
    fn lacks_copies(&self, btb: &BtbRules) -> bool {
        let more = u32::from(!self.is_any_free && self.under_way == 0);
        self.holders
            < btb
                .copies
                .max(self.holders + more)
                .min(btb.most_copies.max(btb.copies))
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

/// The server whose first token is expected soonest.
fn soonest_of<'a, 'b>(scored: &'b [ScoredServer<'a>]) -> Option<&'b ScoredServer<'a>> {
    scored
        .iter()
        .min_by_key(|r| (r.expected, r.cost, r.affinity))
}

/// The soonest of those that meet a condition; of equals the least loaded, then the prefix's favorite.
fn soonest_where<'a, 'b>(
    scored: &'b [ScoredServer<'a>],
    condition: impl Fn(&ScoredServer) -> bool,
) -> Option<&'b ScoredServer<'a>> {
    scored
        .iter()
        .filter(|server| condition(server))
        .min_by_key(|r| (r.expected, r.load, u64::MAX - r.affinity))
}

/// The cheapest servers, as a decision shows them.
fn cheapest_candidates(scored: &[ScoredServer]) -> Vec<Candidate> {
    let mut servers: Vec<&ScoredServer> = scored.iter().collect();
    let by_cost = |r: &&ScoredServer| (r.cost, u64::MAX - r.affinity);
    if servers.len() > MAX_SHOWN_CANDIDATES {
        servers.select_nth_unstable_by_key(MAX_SHOWN_CANDIDATES, by_cost);
        servers.truncate(MAX_SHOWN_CANDIDATES);
    }
    servers.sort_unstable_by_key(by_cost);
    servers.into_iter().map(ScoredServer::candidate).collect()
}

impl Scheduler {
    /// Chooses a server where the client tells what its request needs: by expected time to the first token
    /// and by what the request costs those that wait beside it.
    pub(super) fn choose_by_time(
        &self,
        placement_request: &PlacementRequest,
    ) -> Result<Placement, Rejection> {
        let (mut scored, survey) = self.score(placement_request, false);
        if scored.is_empty() {
            // Rather one more at a server that has yet to show that it works again than a rejection.
            scored = self.score(placement_request, true).0;
        }
        // Prompts stay with what holds them; plain fetches have nothing to stay for.
        let hysteresis = if placement_request.hashes.is_empty() {
            Milliseconds(0)
        } else {
            self.scheduler_rules.hysteresis
        };
        let Some(best) = best_of(&scored, hysteresis, |_| true) else {
            return Err(self.none_available(placement_request, &survey));
        };
        let deadline = placement_request.target();
        let (mut chosen, mut reason) =
            self.choose_among(placement_request, &scored, best, &survey, deadline);
        if chosen.expected > deadline.0
            && let Some(soonest) = soonest_of(&scored)
            && soonest.expected < chosen.expected
        {
            (chosen, reason) = (soonest, PlacementReason::Soonest);
        }
        self.admit(placement_request, chosen, &scored, deadline)?;
        Ok(Placement {
            chosen: chosen.candidate(),
            reason,
            was_idle: chosen.load < chosen.slots,
            footprint: chosen.footprint,
            candidates: cheapest_candidates(&scored),
        })
    }

    /// Why no server can take the request, and when one may.
    fn none_available(&self, placement_request: &PlacementRequest, survey: &Survey) -> Rejection {
        match survey.wait {
            Some(wait) => Rejection::at_cap(wait.max_with(MIN_RETRY_AFTER)),
            None => {
                let wait = self.earliest_recovery(placement_request);
                Rejection::no_server(wait.max_with(MIN_RETRY_AFTER))
            }
        }
    }

    /// Rejects what is expected too late to be worth serving while no server is half empty. A late response
    /// is worth something still; one after the client's deadline is worth nothing.
    fn admit(
        &self,
        placement_request: &PlacementRequest,
        chosen: &ScoredServer,
        scored: &[ScoredServer],
        target: Milliseconds,
    ) -> Result<(), Rejection> {
        let deadline = placement_request.request_cost.deadline;
        let latest = target.max_with(Milliseconds(deadline.0 * LATE_DEADLINE_PERCENT / 100));
        let has_capacity = scored
            .iter()
            .any(|r| r.load * 100 < r.slots * HALF_EMPTY_PERCENT);
        let is_late = chosen.expected > latest.0;
        if !self.scheduler_rules.enforces_deadlines || !is_late || has_capacity {
            return Ok(());
        }
        let wait = Milliseconds(chosen.expected - latest.0).max_with(MIN_RETRY_AFTER);
        Err(Rejection::too_late(
            Milliseconds(chosen.expected),
            latest,
            wait,
        ))
    }

    /// Applies BTB to an active prefix: the soonest holder, or one more target to warm. Everything else goes
    /// to the cheapest server.
    fn choose_among<'a, 'b>(
        &self,
        placement_request: &PlacementRequest,
        scored: &'b [ScoredServer<'a>],
        best: &'b ScoredServer<'a>,
        survey: &Survey,
        deadline: Milliseconds,
    ) -> (&'b ScoredServer<'a>, PlacementReason) {
        let by_cache = if best.matched > 0 {
            (best, PlacementReason::CacheMatch)
        } else {
            (best, PlacementReason::LeastLoaded)
        };
        if !placement_request.is_active {
            return by_cache;
        }
        let warm = soonest_where(scored, |server| server.is_warm());
        // Its own prefill warms the next target; a target prefills the prefix once, and the rest go where it
        // is cached.
        let holder = warm.or_else(|| soonest_where(scored, |server| server.holding.is_some()));
        let lacks_copies = !self.scheduler_rules.orders_kv_copies
            && survey.lacks_copies(&placement_request.rules.btb);
        let threshold = self.scheduler_rules.warming_threshold.0;
        let is_needed = holder.is_none_or(|holder| holder.expected > threshold);
        let hysteresis = self.scheduler_rules.hysteresis;
        if lacks_copies
            && is_needed
            && let Some(target) = best_of(scored, hysteresis, |r| r.holding.is_none())
            && (target.expected <= deadline.0 || warm.is_none_or(|warm| warm.expected > deadline.0))
        {
            return (target, PlacementReason::Warming);
        }
        holder.map_or(by_cache, |holder| (holder, PlacementReason::Warm))
    }

    /// When the first server that is kept from work for its faults may have some again.
    fn earliest_recovery(&self, placement_request: &PlacementRequest) -> Milliseconds {
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

    /// Scores all servers that can take the request now, and surveys those that can't.
    fn score<'a>(
        &'a self,
        placement_request: &PlacementRequest,
        admits_unproven: bool,
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
        let reported = prefix.map_or(&[][..], |prefix| self.peer_totals.holdings(prefix));
        let prompt = self.prompt_tokens(hashes, request_cost);
        let affinity_key = placement_request.affinity_key();
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) {
                continue;
            }
            let load = self.load(server, now);
            let slots = server.slots.unwrap_or(rules.slots).max(1);
            let holding =
                prefix.and_then(|prefix| Scheduler::holding(reported, prefix, name, server, now));
            survey.record_holding(holding, load < slots && server.overdue == 0);
            if tried.contains(name) {
                continue;
            }
            if let Err(wait) = self.check_capacity(rules, server, slots, load, admits_unproven, now)
            {
                survey.record_wait(wait);
                continue;
            }
            let usage = Usage {
                load,
                slots,
                prompt,
            };
            let mut server = self.score_server(placement_request, name, server, usage, holding);
            server.affinity = mix(server.affinity ^ affinity_key);
            scored.push(server);
        }
        self.credit_first_choice(
            &mut scored,
            hashes,
            request_cost,
            placement_request.shared_blocks(),
        );
        (scored, survey)
    }

    /// Scores one server. Its affinity is left as the server's own key.
    fn score_server<'a>(
        &self,
        placement_request: &PlacementRequest,
        name: &'a ServerName,
        server: &ServerState,
        usage: Usage,
        holding: Option<bool>,
    ) -> ScoredServer<'a> {
        let rules = placement_request.rules;
        let matched = self.matched_blocks(placement_request, server, holding);
        let footprint = self.footprint(placement_request, server, usage, matched);
        let memory = server.tokens + server.peer_load.tokens;
        let Usage { load, slots, .. } = usage;
        let expected = self.expect(rules, server, &footprint, load, memory);
        let prefill = self.prefill(server, footprint.uncached);
        let mut cost = expected + prefill * u64::from(self.scheduler_rules.prefill_percent) / 100;
        cost += u64::from(load) * self.scheduler_rules.load_penalty.0 / u64::from(slots);
        if self.zone.as_ref().is_some_and(|zone| *zone != server.zone) {
            cost += self.scheduler_rules.zone_penalty.0;
        }
        ScoredServer {
            name,
            slots,
            load,
            matched,
            likely: matched,
            footprint,
            expected,
            cost,
            affinity: server.key,
            holding,
        }
    }

    /// How many leading blocks a server is expected to hold: at least the counted prefix where it is
    /// reported to hold that.
    fn matched_blocks(
        &self,
        placement_request: &PlacementRequest,
        server: &ServerState,
        holding: Option<bool>,
    ) -> u32 {
        let matched = server
            .residency
            .matched(placement_request.hashes, placement_request.now);
        match (holding, placement_request.counted) {
            (Some(_), Some(place)) => matched.max(place as u32 + 1),
            _ => matched,
        }
    }

    /// What the request would cost a server that holds so many of its leading blocks.
    fn footprint(
        &self,
        placement_request: &PlacementRequest,
        server: &ServerState,
        usage: Usage,
        matched: u32,
    ) -> Footprint {
        let PlacementRequest {
            rules,
            hashes,
            request_cost,
            ..
        } = *placement_request;
        let prompt = usage.prompt;
        let cached = self
            .tokens_of(&hashes[..matched as usize], request_cost)
            .min(prompt);
        let memory = if rules.memory_tokens > 0 {
            prompt + u64::from(request_cost.output_tokens)
        } else {
            0
        };
        Footprint {
            is_declared: true,
            uncached: prompt - cached,
            ahead: server.pending_prefill_tokens + server.peer_load.pending_prefill_tokens,
            prompt,
            memory,
            queue: server.queueing_time(usage.load, usage.slots),
        }
    }

    /// Shared parts that nobody is known to hold are looked for at the server that comes first in the prefix's
    /// own order: the other nodes send them there, too. If they aren't there, they have to be read wherever the
    /// request goes, so that it costs nothing to have looked.
    fn credit_first_choice(
        &self,
        scored: &mut [ScoredServer],
        hashes: &[PrefixHash],
        request_cost: &RequestCost,
        shared: usize,
    ) {
        if hashes.len() < 2 || scored.iter().any(|s| s.matched as usize > shared) {
            return;
        }
        let Some(first_token_at) = scored.iter_mut().max_by_key(|s| s.affinity) else {
            return;
        };
        let kept = first_token_at.footprint.prompt - first_token_at.footprint.uncached;
        let saved = self
            .tokens_of(&hashes[..=shared], request_cost)
            .saturating_sub(kept);
        let reading = self
            .servers
            .get(first_token_at.name)
            .map_or(0, |server| self.prefill(server, saved));
        first_token_at.likely = shared as u32 + 1;
        first_token_at.cost = first_token_at.cost.saturating_sub(
            reading + reading * u64::from(self.scheduler_rules.prefill_percent) / 100,
        );
    }

    /// Whether a server can take one more from this node now; else when, about.
    #[allow(clippy::too_many_arguments)]
    fn check_capacity(
        &self,
        rules: &ServiceRules,
        server: &ServerState,
        slots: u32,
        load: u32,
        admits_unproven: bool,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        if rules.warm_up_per_second > 0 && server.is_warming_up(rules.warm_up_duration, now) {
            let part = self.claimed_share(rules.warm_up_per_second, server, now)?;
            server.check_warm_up_rate(part, now)?;
        }
        let place_wait = Milliseconds(server.service_time.0 / u64::from(slots));
        // One that was kept from work shows first that it works again.
        if !admits_unproven
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
        let unheard = if self.reaches_all_members {
            0
        } else {
            members.saturating_sub(1 + self.reachable_peer_count)
        };
        let reserved = unheard * (cap / members.max(1)) / 2;
        if load + reserved < cap || (is_own_part && load < cap * 2) {
            Ok(())
        } else {
            Err(place_wait)
        }
    }
}
