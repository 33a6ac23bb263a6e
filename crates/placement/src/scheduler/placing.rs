//! Placement: a prompt is counted, a server is chosen by one of two policies, and the request is tracked.
//!
//! Source: "Later requests with the same prefix can then route to the least-loaded warm replica"
//! (BTB, docs/provenance.md).

use crate::event::{Candidate, Decision, Outcome, PlacementReason, RequestCost};
use crate::rendezvous::key_of;
use crate::rules::ServiceRules;
use crate::scheduler::Scheduler;
use crate::scheduler::requests::{Footprint, InFlightRequest};
use crate::sketch::PrefixHash;
use std::sync::Arc;
use types::{Milliseconds, MonotonicInstant, RequestId, ResultCode, ServerName, ServiceName};

/// A prompt that wants a server.
#[derive(Debug)]
pub(super) struct Prompt {
    pub(super) request: RequestId,
    pub(super) service: ServiceName,
    /// Cumulative block hashes, empty for a plain fetch.
    pub(super) hashes: Vec<PrefixHash>,
    /// Zero at first, more for a retry.
    pub(super) round: u32,
    /// Servers that are not to be tried again.
    pub(super) tried: Vec<ServerName>,
    pub(super) request_cost: RequestCost,
}

/// A placement with what was counted for it.
struct Placed {
    rules: Arc<ServiceRules>,
    /// Arrivals of the counted prefix within the window.
    count: u32,
    placement: Placement,
}

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

    /// Within how many ms the first token is to come: the client's target, or the service's.
    pub(super) fn target(&self) -> Milliseconds {
        if self.request_cost.target.0 > 0 {
            self.request_cost.target
        } else {
            self.rules.first_token
        }
    }

    /// The index of the last block that other prompts may share.
    pub(super) fn shared_blocks(&self) -> usize {
        self.hashes.len().saturating_sub(2)
    }

    /// Prompts that begin alike have the same key and prefer the same servers; others are spread.
    pub(super) fn affinity_key(&self) -> u64 {
        self.hashes
            .get(self.shared_blocks())
            .map_or_else(|| key_of(self.request.as_str()), |hash| hash.0)
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

impl Rejection {
    /// Every server that may serve the request has as much in flight as it may.
    pub(super) fn at_cap(wait: Milliseconds) -> Self {
        Rejection {
            code: ResultCode::Crowded,
            why: "every server that may serve it is at its cap".to_owned(),
            wait,
        }
    }

    /// No listed server may serve the request.
    pub(super) fn no_server(wait: Milliseconds) -> Self {
        Rejection {
            code: ResultCode::NoServer,
            why: "no server that may serve it is known and well".to_owned(),
            wait,
        }
    }

    /// The first token would come too late.
    pub(super) fn too_late(
        expected: Milliseconds,
        deadline: Milliseconds,
        wait: Milliseconds,
    ) -> Self {
        Rejection {
            code: ResultCode::Crowded,
            why: format!(
                "the first piece is expected after {} ms, {} ms are allowed",
                expected.0, deadline.0
            ),
            wait,
        }
    }
}

/// Nobody is told to come back sooner.
pub(super) const MIN_RETRY_AFTER: Milliseconds = Milliseconds(50);

pub(super) trait SpanExt {
    fn max_with(self, other: Milliseconds) -> Milliseconds;
}

impl SpanExt for Milliseconds {
    fn max_with(self, other: Milliseconds) -> Milliseconds {
        Milliseconds(self.0.max(other.0))
    }
}

impl Scheduler {
    /// Places a prompt, or rejects it, and records the decision.
    pub(super) fn on_prompt(
        &mut self,
        prompt: Prompt,
        begun: MonotonicInstant,
        now: MonotonicInstant,
    ) {
        let Prompt { service, round, .. } = &prompt;
        let placed_at = match self.place(&prompt, begun, now) {
            Ok(placed_at) => placed_at,
            Err(rejection) => return self.reject(prompt, rejection),
        };
        // A request that another server takes over from one that has stalled; where it's refused, it goes on there.
        self.on_ended(&prompt.request, Outcome::Failed, now);
        // Only what goes to a server counts, as a retry or as traffic.
        self.record_placed(service, *round, now);
        let Placed {
            rules,
            count,
            placement,
        } = placed_at;
        let decision = Decision::Placed {
            request: prompt.request.clone(),
            service: prompt.service.clone(),
            server: placement.chosen.server.clone(),
            reason: placement.reason,
            round: prompt.round,
            count,
            candidates: placement.candidates,
            epoch: self.rules.epoch,
        };
        let tracked = InFlightRequest {
            service: prompt.service,
            is_retry: prompt.round > 0,
            expected: placement.chosen.expected,
            is_lag_recorded: false,
            server: placement.chosen.server,
            incarnation: None,
            hashes: prompt.hashes,
            placed_at: now,
            was_idle: placement.was_idle,
            matched: placement.chosen.matched,
            first_token_at: None,
            footprint: placement.footprint,
        };
        self.track(prompt.request, tracked, &rules, now);
        self.decisions.push(decision);
    }

    /// Counts the prompt's prefix and chooses a server.
    fn place(
        &mut self,
        prompt: &Prompt,
        begun: MonotonicInstant,
        now: MonotonicInstant,
    ) -> Result<Placed, Rejection> {
        let Some(rules) = self.services.get(&prompt.service).cloned() else {
            return Err(Rejection {
                code: ResultCode::UnknownService,
                why: "no accepted plan allows this service".to_owned(),
                wait: Milliseconds(0),
            });
        };
        self.check_retry_budget(&prompt.service, prompt.round, begun, now)
            .map_err(|wait| Rejection {
                code: ResultCode::NoServer,
                why: "the service's repeats are used up".to_owned(),
                wait,
            })?;
        let counted = self.counted_place(&rules, &prompt.hashes, &prompt.request_cost);
        let prefix = counted.map(|place| prompt.hashes[place]);
        let count = prefix.map_or(0, |prefix| self.count_arrival(prefix, prompt, &rules, now));
        let placement_request = PlacementRequest {
            request: &prompt.request,
            rules: &rules,
            hashes: &prompt.hashes,
            counted,
            tried: &prompt.tried,
            request_cost: &prompt.request_cost,
            is_active: prefix.is_some_and(|prefix| self.active.contains_key(&prefix)),
            now,
        };
        let placement = if prompt.request_cost.is_declared() {
            self.choose_by_time(&placement_request)?
        } else {
            self.choose_by_load(&placement_request)?
        };
        Ok(Placed {
            rules,
            count,
            placement,
        })
    }

    /// Counts an arrival of a prefix, unless it is a retry, activates the prefix if that makes a burst, and
    /// returns the arrivals within the window.
    fn count_arrival(
        &mut self,
        prefix: PrefixHash,
        prompt: &Prompt,
        rules: &ServiceRules,
        now: MonotonicInstant,
    ) -> u32 {
        if prompt.round == 0 {
            self.window.arrive(prefix, now, rules.btb.window);
        }
        let count = self.count(prefix, now, rules.btb.window);
        self.activate_burst(prefix, rules, &prompt.service, &prompt.hashes, count, now);
        count
    }

    /// Adds a placed request to its server's load and to the requests in flight.
    fn track(
        &mut self,
        request: RequestId,
        mut tracked: InFlightRequest,
        rules: &ServiceRules,
        now: MonotonicInstant,
    ) {
        let Some(server) = self.servers.get_mut(&tracked.server) else {
            return;
        };
        let footprint = &tracked.footprint;
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
        server.residency.record_sent(&tracked.hashes, now);
        tracked.incarnation = server.incarnation;
        self.requests.insert(request, tracked);
    }

    fn reject(&mut self, prompt: Prompt, rejection: Rejection) {
        self.decisions.push(Decision::Refused {
            request: prompt.request,
            service: prompt.service,
            code: rejection.code.number(),
            why: rejection.why,
            retry_after: rejection.wait,
            round: prompt.round,
            epoch: self.rules.epoch,
        });
    }

    /// Where in a prompt the prefix ends that is counted: at the first part by which Y blocks are full, if it's
    /// that long and BTB is on. What a client alone brings, the last part of a told prompt, is never counted.
    fn counted_place(
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
}
