//! Choosing a server where callers tell what they ask: by the expected time to the first piece, and by what
//! the order costs those that wait beside it.

use super::placing::{Ask, Choice, No, SpanExt, WAIT_LEAST, late_words};
use super::*;

/// How many of the weighed servers a decision shows.
const SHOWN: usize = 4;
/// A server that is told of as little as this part of full, in percent, turns nobody away.
const HALF_EMPTY: u32 = 50;
/// What is still worth serving is expected within this part of the caller's deadline, in percent.
const LATE_PERCENT: u64 = 60;

/// A server that may take the order.
struct Rated<'a> {
    name: &'a ServerName,
    slots: u32,
    burden: u32,
    matched: u32,
    weight: Weight,
    expected: u64,
    /// Expected time and what else it costs, in ms.
    cost: u64,
    /// Its place in the prefix's own order: higher first.
    favor: u64,
    /// `Some(true)`: believed to hold the counted prefix; `Some(false)`: it was sent there.
    holding: Option<bool>,
}

impl Rated<'_> {
    fn is_warm(&self) -> bool {
        self.holding == Some(true)
    }
    fn candidate(&self) -> Candidate {
        Candidate {
            server: self.name.clone(),
            burden: self.burden,
            matched: self.matched,
            expected: Span(self.expected),
            is_warm: self.is_warm(),
        }
    }
}

/// Why servers that may serve an order can't take it now.
#[derive(Default)]
struct Passed {
    /// When the first of them can, about.
    wait: Option<Span>,
}

impl Passed {
    fn note(&mut self, wait: Span) {
        self.wait = Some(self.wait.map_or(wait, |least| least.min(wait)));
    }
}

impl Desk {
    pub(super) fn choose_by_time(&self, ask: &Ask, begun: Moment) -> Result<Choice, No> {
        let (rated, passed) = self.rate(ask, begun);
        let Some(best) = best_of(&rated, self.desk_rules.stick, |_| true) else {
            return Err(match passed.wait {
                Some(wait) => {
                    let why = "every server that may serve it is at its cap".to_owned();
                    No { code: ResultCode::Crowded, why, wait: wait.max_with(WAIT_LEAST) }
                }
                None => {
                    let why = "no server that may serve it is known and well".to_owned();
                    No { code: ResultCode::NoServer, why, wait: Span(1000) }
                }
            });
        };
        let due = if ask.demand.target.0 > 0 { ask.demand.target } else { ask.rules.first_token };
        let (mut chosen, mut reason) = self.choose_among(ask, &rated, best, due);
        // A late answer is worth something still; one after the deadline is worth nothing.
        let latest = due.max_with(Span(ask.demand.deadline.0 * LATE_PERCENT / 100));
        if chosen.expected > due.0 {
            let soonest = rated.iter().min_by_key(|r| (r.expected, r.cost, r.favor));
            if let Some(soonest) = soonest.filter(|soonest| soonest.expected < chosen.expected) {
                (chosen, reason) = (soonest, PlaceReason::Soonest);
            }
        }
        let has_room = rated.iter().any(|r| r.burden * 100 < r.slots * HALF_EMPTY);
        if self.desk_rules.does_admit && chosen.expected > latest.0 && !has_room {
            let wait = Span(chosen.expected - latest.0).max_with(WAIT_LEAST);
            return Err(No { code: ResultCode::Crowded, why: late_words(Span(chosen.expected), latest), wait });
        }
        let mut others: Vec<&Rated> = rated.iter().collect();
        others.sort_unstable_by_key(|r| (r.cost, u64::MAX - r.favor));
        Ok(Choice {
            chosen: chosen.candidate(),
            reason,
            was_idle: chosen.burden < chosen.slots,
            weight: chosen.weight,
            candidates: others.into_iter().take(SHOWN).map(Rated::candidate).collect(),
        })
    }

    fn choose_among<'a, 'b>(
        &self,
        ask: &Ask,
        rated: &'b [Rated<'a>],
        best: &'b Rated<'a>,
        due: Span,
    ) -> (&'b Rated<'a>, PlaceReason) {
        let by_cache = || {
            let reason = if best.matched > 0 { PlaceReason::CacheMatch } else { PlaceReason::LeastLoaded };
            (best, reason)
        };
        if !ask.is_active {
            return by_cache();
        }
        let least = |may: &dyn Fn(&Rated) -> bool| {
            let those = rated.iter().filter(|r| may(r));
            those.min_by_key(|r| (r.expected, r.burden, u64::MAX - r.favor))
        };
        let warm = least(&|r| r.is_warm());
        let wanted = match ask.prefix() {
            Some(prefix) if !self.desk_rules.does_order_copies => self.wants_more(ask, prefix),
            _ => false,
        };
        // Its own reading warms the next target; a target reads the prefix once, and the rest go where it is held.
        if wanted
            && let Some(target) = best_of(rated, self.desk_rules.stick, |r| r.holding.is_none())
            && (target.expected <= due.0 || warm.is_none_or(|warm| warm.expected > due.0))
        {
            return (target, PlaceReason::Warming);
        }
        match warm.or_else(|| least(&|r| r.holding.is_some())) {
            Some(warm) => (warm, PlaceReason::Warm),
            None => by_cache(),
        }
    }

    /// Whether fewer servers than are due hold an active prefix or are reading it.
    fn wants_more(&self, ask: &Ask, prefix: PrefixHash) -> bool {
        let btb = &ask.rules.btb;
        let (mut holders, mut is_any_free, mut under_way) = (0, false, 0);
        for (name, server) in &self.servers {
            if !self.may_serve(ask.rules, name, server, ask.now) {
                continue;
            }
            let Some(is_shown) = self.holding(prefix, name, server, ask.now) else { continue };
            holders += 1;
            under_way += u32::from(!is_shown);
            let load = self.told.load(name);
            let slots = server.slots.unwrap_or(ask.rules.slots);
            is_any_free |= self.burden_with(server, load, ask.now) < slots && server.overdue == 0;
        }
        let more = u32::from(!is_any_free && under_way == 0);
        let goal = btb.copies.max(holders + more).min(btb.most_copies.max(btb.copies));
        holders < goal
    }

    /// `Some(true)`: it's believed to hold a prefix; `Some(false)`: it was sent there.
    fn holding(&self, prefix: PrefixHash, name: &ServerName, server: &ServerState, now: Moment) -> Option<bool> {
        let told = self.is_told(prefix, name, server);
        if told == Some(true) || server.residency.holds(prefix, now) {
            return Some(true);
        }
        if told.is_some() || server.residency.expects(prefix, now) { Some(false) } else { None }
    }

    /// All servers that can take the order now, and what is with those that can't.
    fn rate<'a>(&'a self, ask: &Ask, begun: Moment) -> (Vec<Rated<'a>>, Passed) {
        let Ask { rules, hashes, tried, demand, now, .. } = *ask;
        let mut rated = Vec::with_capacity(self.servers.len());
        let mut passed = Passed::default();
        let prefix = ask.prefix();
        let prompt = self.prompt_tokens(hashes, demand);
        // Prompts that begin alike prefer the same servers; others are spread.
        let shared = hashes.len().saturating_sub(2);
        let favor_key = hashes.get(shared).map_or_else(|| key_of(ask.order.as_str()), |hash| hash.0);
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) || tried.contains(name) {
                continue;
            }
            let theirs = self.told.load(name);
            let burden = self.burden_with(server, theirs, now);
            let slots = server.slots.unwrap_or(rules.slots).max(1);
            if let Err(wait) = self.may_add(rules, server, slots, burden, begun, now) {
                passed.note(wait);
                continue;
            }
            let holding = prefix.and_then(|prefix| self.holding(prefix, name, server, now));
            let matched = server.residency.matched(hashes, now);
            let matched = match (holding, ask.counted) {
                (Some(_), Some(place)) => matched.max(place as u32 + 1),
                _ => matched,
            };
            let kept = self.tokens_of(&hashes[..matched as usize], demand).min(prompt);
            let memory = if rules.memory_tokens > 0 { prompt + u64::from(demand.output_tokens) } else { 0 };
            let queue = u64::from((burden + 1).saturating_sub(slots)) * server.hold.0 / u64::from(slots);
            let weight = Weight {
                is_told: true,
                uncached: prompt - kept,
                ahead: server.unread + theirs.unread,
                prompt,
                memory,
                queue,
            };
            let expected = self.expect(rules, server, &weight, burden, server.tokens + theirs.tokens);
            let reading = self.reading(server, weight.uncached);
            let mut cost = expected + reading * u64::from(self.desk_rules.reading_percent) / 100;
            cost += u64::from(burden) * self.desk_rules.load_bias.0 / u64::from(slots);
            if self.hall.as_ref().is_some_and(|hall| *hall != server.hall) {
                cost += self.desk_rules.zone_bias.0;
            }
            let favor = mix(server.key ^ favor_key);
            rated.push(Rated { name, slots, burden, matched, weight, expected, cost, favor, holding });
        }
        (rated, passed)
    }

    /// Whether a server can take one more from this node now; else when, about.
    fn may_add(
        &self,
        rules: &ServiceRules,
        server: &ServerState,
        slots: u32,
        burden: u32,
        begun: Moment,
        now: Moment,
    ) -> Result<(), Span> {
        if rules.cold_per_second > 0 && server.is_cold(rules.cold_span, now) {
            let known = self.members.len().max(self.desk_rules.members_least as usize);
            let part = share_at(rules.cold_per_second, server.place, known.max(self.counted_peers as usize + 1) as u32);
            server.check_cold(part, begun.max(self.shared_from), now)?;
        }
        let place_wait = Span(server.hold.0 / u64::from(slots));
        // One that was kept from work shows first that it works again.
        if server.suspect_until.is_some() && server.faults > 0 && server.own > 0 {
            return Err(place_wait);
        }
        let cap = slots + slots * self.desk_rules.queue_percent / 100;
        let members = self.members.len() as u32;
        let is_own_part = server.own < share_at(cap, server.place, members);
        // Beyond the own part, room that others leave is used; for those not heard, half of theirs stays free.
        let unheard = if self.knows_all { 0 } else { members.saturating_sub(1 + self.counted_peers) };
        let kept_free = unheard * (cap / members.max(1)) / 2;
        if burden + kept_free < cap || (is_own_part && burden < cap * 2) { Ok(()) } else { Err(place_wait) }
    }

    /// Expected time to the first piece, in ms.
    fn expect(&self, rules: &ServiceRules, server: &ServerState, weight: &Weight, burden: u32, tokens: u64) -> u64 {
        if weight.prompt == 0 {
            return server.hold.0 + weight.queue + server.overdue;
        }
        let step = (self.desk_rules.step_micros + u64::from(burden) * self.desk_rules.step_micros_each) / 1000;
        // What doesn't fit beside those that run waits until as much of them has ended.
        let over = (tokens + weight.memory).saturating_sub(rules.memory_tokens);
        let room = if rules.memory_tokens == 0 || tokens == 0 { 0 } else { server.hold.0 * over / tokens };
        let reading = self.reading(server, weight.ahead + weight.uncached);
        self.desk_rules.base_first_token.0 + reading + step + weight.queue.max(room) + server.overdue
    }

    /// How long a server reads so many tokens, in ms.
    fn reading(&self, server: &ServerState, tokens: u64) -> u64 {
        tokens * server.block_micros / u64::from(self.desk_rules.block_tokens.max(1)) / 1000
    }

    fn prompt_tokens(&self, hashes: &[PrefixHash], demand: &Demand) -> u64 {
        self.tokens_of(hashes, demand).max(u64::from(demand.prompt_tokens))
    }

    /// Tokens of the leading parts.
    fn tokens_of(&self, hashes: &[PrefixHash], demand: &Demand) -> u64 {
        if demand.hash_tokens.is_empty() {
            return hashes.len() as u64 * u64::from(self.desk_rules.block_tokens);
        }
        demand.hash_tokens.iter().take(hashes.len()).map(|tokens| u64::from(*tokens)).sum()
    }
}

/// The cheapest; of those that cost about the same, the one that holds most, then the prefix's own favorite.
fn best_of<'a, 'b>(rated: &'b [Rated<'a>], stick: Span, may: impl Fn(&Rated) -> bool) -> Option<&'b Rated<'a>> {
    let least = rated.iter().filter(|r| may(r)).map(|r| r.cost).min()?;
    let near = rated.iter().filter(|r| may(r) && r.cost <= least + stick.0);
    near.max_by_key(|r| (r.matched, r.favor))
}
