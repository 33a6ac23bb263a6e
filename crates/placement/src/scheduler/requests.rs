//! Requests in flight: what each was expected to cost, and what its first token and its end teach.
//!
//! Source: own; the paper (BTB, docs/provenance.md) presumes that residency is known, here first-token times
//! confirm or disprove it.

use crate::event::{Decision, Outcome};
use crate::rules::SchedulerRules;
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant, RequestId, ServerName, ServiceName};

#[derive(Debug, Clone)]
pub(super) struct InFlightRequest {
    pub(super) service: ServiceName,
    pub(super) is_retry: bool,
    /// When the first piece was expected.
    pub(super) expected: Milliseconds,
    /// Whether its lag was taken into account.
    pub(super) is_lag_recorded: bool,
    pub(super) server: ServerName,
    pub(super) incarnation: Option<u64>,
    pub(super) hashes: Vec<PrefixHash>,
    pub(super) placed_at: MonotonicInstant,
    pub(super) was_idle: bool,
    pub(super) matched: u32,
    pub(super) first_token_at: Option<MonotonicInstant>,
    /// What its client told of it.
    pub(super) footprint: Footprint,
}

impl InFlightRequest {
    /// How much later than expected a first token at `now` is, in ms.
    pub(super) fn lag(&self, now: MonotonicInstant) -> u64 {
        now.since(self.placed_at).0.saturating_sub(self.expected.0)
    }
}

/// What a request costs a server, in tokens. All zero: its client told nothing.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Footprint {
    /// Whether the client told what it asks.
    pub(super) is_declared: bool,
    /// Of its prompt, those that the server reads.
    pub(super) uncached: u64,
    /// Those that were to be read there before.
    pub(super) ahead: u64,
    /// All of its prompt, held or not.
    pub(super) prompt: u64,
    /// What it takes of the memory.
    pub(super) memory: u64,
    /// How long it was expected to wait for a slot, in ms.
    pub(super) queue: u64,
}

/// Learns the prefill speed where the client told its tokens. Returns whether the first token came as late as
/// without any cached block, so that what was believed to be cached was not.
fn learn_by_tokens(
    tracked: &InFlightRequest,
    server: &mut ServerState,
    prefill_micros: u64,
    rules: &SchedulerRules,
) -> bool {
    let footprint = &tracked.footprint;
    if tracked.was_idle {
        let prefilled = footprint.ahead + footprint.uncached;
        server.learn_prefill(prefill_micros, prefilled, rules);
    }
    let full_prefill =
        footprint.prompt * server.block_micros / u64::from(rules.block_tokens.max(1));
    let cached = footprint.prompt - footprint.uncached;
    footprint.ahead == 0
        && tracked.was_idle
        && cached >= 1024
        && prefill_micros * 10 > full_prefill * 9
}

/// The same where the client told nothing: by blocks.
fn learn_by_blocks(
    tracked: &InFlightRequest,
    server: &mut ServerState,
    prefill_micros: u64,
) -> bool {
    let blocks = tracked.hashes.len() as u64;
    let uncached = blocks - u64::from(tracked.matched);
    if tracked.was_idle && uncached >= 16 {
        let sample = (prefill_micros / uncached).clamp(50, 100_000);
        server.block_micros = (server.block_micros * 3 + sample) / 4;
    }
    let full_prefill = blocks * server.block_micros;
    tracked.was_idle && tracked.matched >= 32 && prefill_micros * 10 > full_prefill * 7
}

impl ServerState {
    /// Takes an ended request off this node's load there.
    fn release(&mut self, tracked: &InFlightRequest) {
        self.own = self.own.saturating_sub(1);
        self.tokens = self.tokens.saturating_sub(tracked.footprint.memory);
        if tracked.first_token_at.is_none() {
            self.pending_prefill_tokens = self
                .pending_prefill_tokens
                .saturating_sub(tracked.footprint.uncached);
        }
    }

    /// Learns from a complete request how long one occupies a slot.
    fn learn_service_time(&mut self, tracked: &InFlightRequest, now: MonotonicInstant) {
        // Without a prompt, a server works from the start to its first token.
        let is_plain = tracked.footprint.is_declared && tracked.hashes.is_empty();
        let since = tracked
            .first_token_at
            .filter(|_| !is_plain)
            .unwrap_or(tracked.placed_at);
        let queued = tracked.footprint.queue * u64::from(is_plain);
        let sample = now.since(since).0.saturating_sub(queued).clamp(5, 60_000);
        self.service_time = Milliseconds((self.service_time.0 * 7 + sample) / 8);
    }

    /// How long one more request waits for a slot, in ms, where `load` are in flight at so many slots.
    pub(super) fn queueing_time(&self, load: u32, slots: u32) -> u64 {
        u64::from((load + 1).saturating_sub(slots)) * self.service_time.0 / u64::from(slots)
    }
}

impl Scheduler {
    /// Applies a first token: the lag of the server, its prefill speed and its residency.
    pub(super) fn on_first_token(&mut self, request: RequestId, now: MonotonicInstant) {
        let Some(tracked) = self.requests.get_mut(&request) else {
            return;
        };
        if tracked.first_token_at.is_some() {
            return;
        }
        tracked.first_token_at = Some(now);
        let name = tracked.server.clone();
        let prefilled = tracked.footprint.uncached;
        let lag = tracked.lag(now);
        let was_recorded = std::mem::replace(&mut tracked.is_lag_recorded, true);
        if let Some(server) = self.servers.get_mut(&name) {
            server.pending_prefill_tokens = server.pending_prefill_tokens.saturating_sub(prefilled);
        }
        if !was_recorded {
            self.record_lag(&name, lag, now);
        }
        self.learn_from_first_token(request, now);
    }

    /// Updates what is believed of the server from the time that the first token took, unless the server
    /// has restarted since the request was placed.
    fn learn_from_first_token(&mut self, request: RequestId, now: MonotonicInstant) {
        let Some(tracked) = self.requests.get(&request) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&tracked.server) else {
            return;
        };
        if server.consecutive_late == 0 && !server.is_ejected(now) {
            server.record_success();
        }
        if server.incarnation != tracked.incarnation {
            return;
        }
        let base = self.scheduler_rules.base_first_token;
        let prefill_micros = now.since(tracked.placed_at).0.saturating_sub(base.0) * 1000;
        let is_disproved = if tracked.footprint.is_declared {
            learn_by_tokens(tracked, server, prefill_micros, &self.scheduler_rules)
        } else {
            learn_by_blocks(tracked, server, prefill_micros)
        };
        if is_disproved {
            self.decisions.push(Decision::Disproved {
                request,
                server: tracked.server.clone(),
            });
        }
        server.residency.record_cached(&tracked.hashes, now);
    }

    /// Applies the end of a request: its load goes, and the server's service time or health is updated.
    pub(super) fn on_ended(
        &mut self,
        request: &RequestId,
        outcome: Outcome,
        now: MonotonicInstant,
    ) {
        let Some(tracked) = self.requests.remove(request) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&tracked.server) else {
            return;
        };
        server.release(&tracked);
        if outcome != Outcome::Complete && tracked.first_token_at.is_none() {
            server.residency.forget_sent(&tracked.hashes);
        }
        match outcome {
            Outcome::Complete => {
                server.record_success();
                server.learn_service_time(&tracked, now);
            }
            Outcome::Cancelled | Outcome::Refused => {}
            Outcome::Unsent => {
                server.residency.clear();
                self.refund_retry(&tracked);
                self.record_failure(tracked.server, true, now);
            }
            Outcome::Failed => {
                if self.may_eject(&tracked.server, now) {
                    self.record_failure(tracked.server, false, now);
                }
            }
        }
    }

    /// Records a failure at a server, and decides to eject it if that is due.
    pub(super) fn record_failure(
        &mut self,
        name: ServerName,
        is_certain: bool,
        now: MonotonicInstant,
    ) {
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        if let Some(span) = server.record_failure(now, is_certain) {
            self.decisions
                .push(Decision::Suspected { server: name, span });
        }
    }
}
