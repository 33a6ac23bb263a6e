//! Choosing a server for an order.

use super::*;

/// A candidate with what the choice needs besides.
struct Weighed {
    candidate: Candidate,
    slots: u32,
    tie: u64,
}

impl Desk {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_prompt(
        &mut self,
        order: OrderId,
        service: ServiceName,
        hashes: Vec<PrefixHash>,
        round: u32,
        tried: &[ServerName],
        _demand: &Demand,
        now: Moment,
    ) {
        let Some(rules) = self.rules.services.get(&service).cloned() else {
            let why = "no accepted plan allows this service".to_owned();
            return self.refuse(order, service, ResultCode::UnknownService, why, Span(0), round);
        };
        let part = repeat_part(&self.desk_rules, &service, &self.own, &self.members);
        let allowance = self.repeats.entry(service.clone()).or_insert_with(|| Allowance::new(now));
        allowance.drip(part, now);
        if round > 0 && !allowance.has_one() {
            let why = "the service's repeats are used up".to_owned();
            return self.refuse(order, service, ResultCode::NoServer, why, Span(1000), round);
        }
        let counted = self.counted_prefix(&rules, &hashes);
        if let (Some(prefix), 0) = (counted, round) {
            self.window.arrive(prefix, now, rules.btb.window);
        }
        let count = counted.map_or(0, |prefix| self.count(prefix, now, rules.btb.window));
        if let Some(prefix) = counted {
            self.note_burst(prefix, &rules, &service, &hashes, count, now);
        }
        let is_active = counted.is_some_and(|prefix| self.active.contains_key(&prefix));
        let (weighed, full_until) = self.weigh(&order, &rules, &hashes, counted, tried, now);
        let Some((place, reason)) = choose(&weighed, is_active, rules.first_token, &self.desk_rules) else {
            let (code, why) = if full_until.0 > 0 {
                (ResultCode::Crowded, "every server that may serve it is at its cap")
            } else {
                (ResultCode::NoServer, "no server that may serve it is known and well")
            };
            return self.refuse(order, service, code, why.to_owned(), full_until.max_with(Span(1000)), round);
        };
        let chosen = &weighed[place].candidate;
        if self.desk_rules.does_admit && chosen.expected > rules.first_token {
            let late = Span(chosen.expected.0 - rules.first_token.0);
            let why = format!(
                "the first piece is expected after {} ms, the plan allows {} ms",
                chosen.expected.0, rules.first_token.0
            );
            return self.refuse(order, service, ResultCode::Crowded, why, late.max_with(Span(1000)), round);
        }
        // Only what goes to a server counts, as a repeat or as traffic.
        if let Some(allowance) = self.repeats.get_mut(&service) {
            if round > 0 {
                allowance.spend();
            } else {
                allowance.earn(self.desk_rules.repeat_percent, part);
            }
        }
        let chosen = chosen.clone();
        let was_idle = chosen.burden < weighed[place].slots;
        if let Some(server) = self.servers.get_mut(&chosen.server) {
            server.own += 1;
            server.residency.send(&hashes, now);
            let hand = InHand {
                service: service.clone(),
                is_repeat: round > 0,
                expected: chosen.expected,
                is_noted: false,
                server: chosen.server.clone(),
                incarnation: server.incarnation,
                hashes,
                placed: now,
                was_idle,
                matched: chosen.matched,
                first: None,
            };
            self.orders.insert(order.clone(), hand);
        }
        let candidates = weighed.into_iter().map(|w| w.candidate).collect();
        let (server, epoch) = (chosen.server, self.rules.epoch);
        self.decisions.push(Decision::Placed { order, service, server, reason, round, count, candidates, epoch });
    }

    fn refuse(
        &mut self,
        order: OrderId,
        service: ServiceName,
        code: ResultCode,
        why: String,
        retry_after: Span,
        round: u32,
    ) {
        let (code, epoch) = (code.number(), self.rules.epoch);
        self.decisions.push(Decision::Refused { order, service, code, why, retry_after, round, epoch });
    }

    /// The Y-block prefix of a prompt, if it's that long and BTB is on.
    pub(super) fn counted_prefix(&self, rules: &ServiceRules, hashes: &[PrefixHash]) -> Option<PrefixHash> {
        let place = (rules.btb.blocks as usize).checked_sub(1)?;
        hashes.get(place).copied().filter(|_| rules.btb.is_on)
    }

    /// Whether the rules and the server's state let it take work of this service at all.
    pub(super) fn may_serve(&self, rules: &ServiceRules, name: &ServerName, server: &ServerState, now: Moment) -> bool {
        server.is_listed
            && !server.is_leaving
            && !server.is_suspect(now)
            && server.pool == rules.pool
            && !self.is_withdrawn(&server.hall)
            && (rules.halls.is_empty() || rules.halls.contains(&server.hall))
            && (rules.servers.is_empty() || rules.servers.contains(name))
    }

    /// All servers that may take the order now, and, if some are only full, until when about.
    fn weigh(
        &self,
        order: &OrderId,
        rules: &ServiceRules,
        hashes: &[PrefixHash],
        counted: Option<PrefixHash>,
        tried: &[ServerName],
        now: Moment,
    ) -> (Vec<Weighed>, Span) {
        let mut weighed = vec![];
        let mut full_until = Span(0);
        let heard = self.heard(now);
        let knows_all = self.members.iter().all(|member| heard.contains(member));
        let order_key = key_of(order.as_str());
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) || tried.contains(name) {
                continue;
            }
            let key = key_of(name.as_str());
            let cap = server.cap(rules.slots, now, &self.desk_rules);
            let part = share(cap, key, &self.own, &self.members);
            let burden = self.burden(name, server, now);
            // Beyond the own part, room that others leave may be used, if all others are heard and
            // the server is past its ramp.
            let may_borrow = knows_all && !server.is_fresh(now, &self.desk_rules) && burden < cap;
            if server.own >= part && !may_borrow {
                let wait = if server.is_fresh(now, &self.desk_rules) { Span(500) } else { server.hold };
                full_until = if full_until.0 == 0 { wait } else { Span(full_until.0.min(wait.0)) };
                continue;
            }
            let is_warm = counted.is_some_and(|prefix| self.is_warm(prefix, name, server, now));
            let held = server.residency.matched(hashes, now);
            let is_expected = counted.is_some_and(|prefix| self.told(prefix, name, server, now).is_some());
            let matched = if is_warm || is_expected { held.max(rules.btb.blocks) } else { held };
            let slots = server.slots.unwrap_or(rules.slots).max(1);
            let queue = u64::from((burden + 1).saturating_sub(slots)) * server.hold.0 / u64::from(slots);
            let prefill = (hashes.len() as u64).saturating_sub(u64::from(matched)) * server.block_micros / 1000;
            let expected = Span(self.desk_rules.base_first_token.0 + queue + prefill);
            let candidate = Candidate { server: name.clone(), burden, matched, expected, is_warm };
            weighed.push(Weighed { candidate, slots, tie: mix(key ^ order_key) });
        }
        (weighed, full_until)
    }
}

trait SpanExt {
    fn max_with(self, other: Span) -> Span;
}

impl SpanExt for Span {
    fn max_with(self, other: Span) -> Span {
        Span(self.0.max(other.0))
    }
}

/// Which of the weighed servers, and why.
fn choose(weighed: &[Weighed], is_active: bool, due: Span, rules: &DeskRules) -> Option<(usize, PlaceReason)> {
    let least = |may: &dyn Fn(&Weighed) -> bool| {
        let those = weighed.iter().enumerate().filter(|(_, w)| may(w));
        those.min_by_key(|(_, w)| (w.candidate.burden, w.tie)).map(|(place, _)| place)
    };
    let first = if let Some(warm) = least(&|w| is_active && w.candidate.is_warm) {
        (warm, PlaceReason::Warm)
    } else {
        let idlest = least(&|_| true)?;
        let matching = weighed.iter().enumerate().filter(|(_, w)| w.candidate.matched > 0);
        let best = matching.max_by_key(|(_, w)| (w.candidate.matched, u32::MAX - w.candidate.burden, w.tie));
        match best {
            Some((place, w)) if w.candidate.burden <= weighed[idlest].candidate.burden + rules.imbalance => {
                (place, PlaceReason::CacheMatch)
            }
            Some(_) => (idlest, PlaceReason::Imbalance),
            None => (idlest, PlaceReason::LeastLoaded),
        }
    };
    if rules.does_admit && weighed[first.0].candidate.expected > due {
        let soonest = weighed.iter().enumerate().min_by_key(|(_, w)| (w.candidate.expected, w.tie));
        return soonest.map(|(place, _)| (place, PlaceReason::Soonest));
    }
    Some(first)
}
