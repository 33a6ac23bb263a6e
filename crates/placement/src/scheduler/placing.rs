//! Choosing a server for a request.

use super::*;
use crate::event::{Candidate, Decision, PlacementReason, RequestCost};
use crate::rendezvous::{key_of, mix, rank, share_at};
use crate::retry_budget::RetryBudget;
use crate::retry_window::RetryWindow;
use crate::rules::{SchedulerRules, ServiceRules};
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant, RequestId, ResultCode, ServerName, ServiceName};

/// A request that wants a server.
pub(super) struct PlacementRequest<'a> {
    pub(super) request: &'a RequestId,
    pub(super) rules: &'a ServiceRules,
    pub(super) hashes: &'a [PrefixHash],
    /// The place of the counted prefix's last hash.
    pub(super) counted: Option<usize>,
    pub(super) tried: &'a [ServerName],
    pub(super) request_cost: &'a RequestCost,
    pub(super) is_active: bool,
    pub(super) now: MonotonicInstant,
}

impl PlacementRequest<'_> {
    /// The counted prefix.
    pub(super) fn prefix(&self) -> Option<PrefixHash> {
        self.counted.map(|place| self.hashes[place])
    }
}

/// Where it goes.
pub(super) struct Placement {
    pub(super) chosen: Candidate,
    pub(super) reason: PlacementReason,
    pub(super) was_idle: bool,
    pub(super) footprint: Footprint,
    pub(super) candidates: Vec<Candidate>,
}

/// Why it goes nowhere, and when to come back.
pub(super) struct Rejection {
    pub(super) code: ResultCode,
    pub(super) why: String,
    pub(super) wait: Milliseconds,
}

/// A fresh server's cap has grown a little by then.
const FRESH_WAIT: Milliseconds = Milliseconds(500);
/// Nobody is told to come back sooner.
pub(super) const WAIT_LEAST: Milliseconds = Milliseconds(50);

pub(super) fn late_words(expected: Milliseconds, deadline: Milliseconds) -> String {
    format!(
        "the first piece is expected after {} ms, {} ms are allowed",
        expected.0, deadline.0
    )
}

/// A candidate with what the choice needs besides.
struct WeighedServer {
    candidate: Candidate,
    slots: u32,
    tie: u64,
}

impl Scheduler {
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_prompt(
        &mut self,
        request: RequestId,
        service: ServiceName,
        hashes: Vec<PrefixHash>,
        round: u32,
        tried: &[ServerName],
        request_cost: &RequestCost,
        begun: MonotonicInstant,
        now: MonotonicInstant,
    ) {
        let Some(rules) = self.services.get(&service).cloned() else {
            let why = "no accepted plan allows this service".to_owned();
            return self.refuse(
                request,
                service,
                ResultCode::UnknownService,
                why,
                Milliseconds(0),
                round,
            );
        };
        if let Err(wait) = self.may_repeat(&service, round, begun, now) {
            let why = "the service's repeats are used up".to_owned();
            return self.refuse(request, service, ResultCode::NoServer, why, wait, round);
        }
        let counted = self.counted_place(&rules, &hashes, request_cost);
        let prefix = counted.map(|place| hashes[place]);
        if let (Some(prefix), 0) = (prefix, round) {
            self.window.arrive(prefix, now, rules.btb.window);
        }
        let count = prefix.map_or(0, |prefix| self.count(prefix, now, rules.btb.window));
        if let Some(prefix) = prefix {
            self.activate_burst(prefix, &rules, &service, &hashes, count, now);
        }
        let is_active = prefix.is_some_and(|prefix| self.active.contains_key(&prefix));
        let placement_request = PlacementRequest {
            request: &request,
            rules: &rules,
            hashes: &hashes,
            counted,
            tried,
            request_cost,
            is_active,
            now,
        };
        let choice = if request_cost.is_told() {
            self.choose_by_time(&placement_request)
        } else {
            self.choose_by_load(&placement_request)
        };
        let Placement {
            chosen,
            reason,
            was_idle,
            footprint,
            candidates,
        } = match choice {
            Ok(choice) => choice,
            Err(Rejection { code, why, wait }) => {
                return self.refuse(request, service, code, why, wait, round);
            }
        };
        // Only what goes to a server counts, as a repeat or as traffic.
        self.record_placed(&service, round, now);
        if let Some(server) = self.servers.get_mut(&chosen.server) {
            server.own += 1;
            server.pending_prefill_tokens += footprint.uncached;
            server.tokens += footprint.memory;
            if rules.memory_tokens > 0 {
                server.prefilled_tokens += footprint.uncached;
                server.residency.set_memory(rules.memory_tokens);
                server.residency.record_prefill(footprint.uncached);
            }
            if rules.warm_up_per_second > 0 {
                server.record_sent(now);
            }
            server.residency.record_sent(&hashes, now);
            let hand = InFlightRequest {
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
                footprint,
            };
            self.requests.insert(request.clone(), hand);
        }
        let (server, epoch) = (chosen.server, self.rules.epoch);
        self.decisions.push(Decision::Placed {
            request,
            service,
            server,
            reason,
            round,
            count,
            candidates,
            epoch,
        });
    }

    /// Whether an order of this round may be placed; else when about.
    fn may_repeat(
        &mut self,
        service: &ServiceName,
        round: u32,
        begun: MonotonicInstant,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        let scheduler_rules = &self.scheduler_rules;
        if scheduler_rules.retry_window.0 > 0 {
            if round == 0 {
                return Ok(());
            }
            let own_rank = rank(key_of(service.as_str()), &self.own, &self.members) as u32;
            let part = share_at(
                scheduler_rules.retries_per_window,
                own_rank,
                self.fleet_size(),
            );
            let window = self
                .repeat_windows
                .entry(service.clone())
                .or_insert_with(|| RetryWindow::new(begun));
            let wait = window.check(
                scheduler_rules.retry_percent,
                part,
                now,
                scheduler_rules.retry_window,
            );
            return wait.map_err(|wait| wait.max_with(WAIT_LEAST));
        }
        let part = repeat_part(scheduler_rules, service, &self.own, &self.members);
        let allowance = self
            .repeats
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now));
        allowance.drip(part, now);
        if round > 0 && !allowance.has_one() {
            Err(Milliseconds(1000))
        } else {
            Ok(())
        }
    }

    fn record_placed(&mut self, service: &ServiceName, round: u32, now: MonotonicInstant) {
        let (span, begun) = (self.scheduler_rules.retry_window, self.begun.unwrap_or(now));
        if span.0 > 0 {
            let window = self
                .repeat_windows
                .entry(service.clone())
                .or_insert_with(|| RetryWindow::new(begun));
            return window.place(round > 0, now, span);
        }
        let part = repeat_part(&self.scheduler_rules, service, &self.own, &self.members);
        if let Some(allowance) = self.repeats.get_mut(service) {
            if round > 0 {
                allowance.spend();
            } else {
                allowance.earn(self.scheduler_rules.retry_percent, part);
            }
        }
    }

    /// The choice where clients tell nothing of their requests: by requests in hand, and by blocks held.
    fn choose_by_load(&self, placement_request: &PlacementRequest) -> Result<Placement, Rejection> {
        let (weighed, full_until) = self.weigh(placement_request);
        let deadline = placement_request.rules.first_token;
        let Some((place, reason)) = choose(
            &weighed,
            placement_request.is_active,
            deadline,
            &self.scheduler_rules,
        ) else {
            let (code, why) = if full_until.0 > 0 {
                (
                    ResultCode::Crowded,
                    "every server that may serve it is at its cap",
                )
            } else {
                (
                    ResultCode::NoServer,
                    "no server that may serve it is known and well",
                )
            };
            return Err(Rejection {
                code,
                why: why.to_owned(),
                wait: full_until.max_with(Milliseconds(1000)),
            });
        };
        let chosen = weighed[place].candidate.clone();
        if self.scheduler_rules.enforces_deadlines && chosen.expected > deadline {
            let why = late_words(chosen.expected, deadline);
            let wait = Milliseconds(chosen.expected.0 - deadline.0).max_with(Milliseconds(1000));
            return Err(Rejection {
                code: ResultCode::Crowded,
                why,
                wait,
            });
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

    fn refuse(
        &mut self,
        request: RequestId,
        service: ServiceName,
        code: ResultCode,
        why: String,
        retry_after: Milliseconds,
        round: u32,
    ) {
        let (code, epoch) = (code.number(), self.rules.epoch);
        self.decisions.push(Decision::Refused {
            request,
            service,
            code,
            why,
            retry_after,
            round,
            epoch,
        });
    }

    /// Where in a prompt the prefix ends that is counted: at the first part by which Y blocks are full, if it's
    /// that long and BTB is on. What a client alone brings, the last part of a told prompt, is never counted.
    pub(super) fn counted_place(
        &self,
        rules: &ServiceRules,
        hashes: &[PrefixHash],
        request_cost: &RequestCost,
    ) -> Option<usize> {
        if !rules.btb.is_on {
            return None;
        }
        if request_cost.hash_tokens.is_empty() {
            let place = (rules.btb.blocks as usize).checked_sub(1)?;
            return (place < hashes.len()).then_some(place);
        }
        let needed =
            u64::from(rules.btb.blocks.max(1)) * u64::from(self.scheduler_rules.block_tokens);
        let mut so_far = 0;
        let mut parts = request_cost.hash_tokens.iter().take(hashes.len());
        let place = parts.position(|tokens| {
            so_far += u64::from(*tokens);
            so_far >= needed
        })?;
        let is_own = place + 1 == hashes.len() && so_far >= u64::from(request_cost.prompt_tokens);
        (!is_own).then_some(place)
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

    /// Whether a server that may have this much in hand from the whole fleet can take one more from this node now;
    /// else when, about.
    fn may_add_to(
        &self,
        server: &ServerState,
        cap: u32,
        load: u32,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        if server.is_in_slow_start(now, &self.scheduler_rules) {
            let part = self.claimed(cap, server, now)?;
            // What a former life of a node left there shows only in what others and the server itself tell.
            return if server.own < part && load < cap {
                Ok(())
            } else {
                Err(FRESH_WAIT)
            };
        }
        let part = share_at(cap, server.rank, self.members.len() as u32);
        // Beyond the own part, room that others leave may be used, if all others are heard.
        let may_borrow = self.hears_all_members && load < cap;
        if server.own < part || may_borrow {
            Ok(())
        } else {
            Err(server.service_time)
        }
    }

    /// All servers that may take the request now, and, if some are only full, until when about.
    fn weigh(&self, placement_request: &PlacementRequest) -> (Vec<WeighedServer>, Milliseconds) {
        let PlacementRequest {
            request,
            rules,
            hashes,
            tried,
            now,
            ..
        } = *placement_request;
        let counted = placement_request.prefix();
        let mut weighed = vec![];
        let mut full_until = Milliseconds(0);
        let request_key = key_of(request.as_str());
        for (name, server) in &self.servers {
            if !self.may_serve(rules, name, server, now) || tried.contains(name) {
                continue;
            }
            let key = server.key;
            let cap = server.cap(rules.slots, now, &self.scheduler_rules);
            let load = self.load(server, now);
            if let Err(wait) = self.may_add_to(server, cap, load, now) {
                full_until = if full_until.0 == 0 {
                    wait
                } else {
                    Milliseconds(full_until.0.min(wait.0))
                };
                continue;
            }
            let is_warm = counted.is_some_and(|prefix| self.is_warm(prefix, name, server, now));
            let cached = server.residency.matched(hashes, now);
            let is_expected =
                counted.is_some_and(|prefix| self.is_told(prefix, name, server).is_some());
            let matched = if is_warm || is_expected {
                cached.max(rules.btb.blocks)
            } else {
                cached
            };
            let slots = server.slots.unwrap_or(rules.slots).max(1);
            let queue = u64::from((load + 1).saturating_sub(slots)) * server.service_time.0
                / u64::from(slots);
            let prefill = (hashes.len() as u64).saturating_sub(u64::from(matched))
                * server.block_micros
                / 1000;
            let expected = Milliseconds(self.scheduler_rules.base_first_token.0 + queue + prefill);
            let candidate = Candidate {
                server: name.clone(),
                load,
                matched,
                expected,
                is_warm,
            };
            weighed.push(WeighedServer {
                candidate,
                slots,
                tie: mix(key ^ request_key),
            });
        }
        (weighed, full_until)
    }
}

pub(super) trait SpanExt {
    fn max_with(self, other: Milliseconds) -> Milliseconds;
}

impl SpanExt for Milliseconds {
    fn max_with(self, other: Milliseconds) -> Milliseconds {
        Milliseconds(self.0.max(other.0))
    }
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
    let first = if let Some(warm) = least(&|w| is_active && w.candidate.is_warm) {
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
    if rules.enforces_deadlines && weighed[first.0].candidate.expected > deadline {
        let soonest = weighed
            .iter()
            .enumerate()
            .min_by_key(|(_, w)| (w.candidate.expected, w.tie));
        return soonest.map(|(place, _)| (place, PlacementReason::Soonest));
    }
    Some(first)
}
