//! The state of one server in the endpoint table: load, health, slow start, warm-up and learned speeds.

use crate::event::ServerEntry;
use crate::prefix_residency::PrefixResidency;
use crate::rendezvous::key_of;
use crate::rules::SchedulerRules;
use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant, ZoneName};

/// The load that peers have at a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests in flight.
    pub count: u32,
    /// Prompt tokens of them that it has yet to prefill.
    pub pending_prefill_tokens: u64,
    /// Tokens that they take of its memory.
    pub tokens: u64,
}

/// One server, as this node sees it.
///
/// Invariants: `own` counts this node's requests there that have not ended. Residency belongs to one
/// incarnation; another one starts empty. A server that was ejected goes through slow start again.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// The zone that it is in.
    pub zone: ZoneName,
    /// The pool that it belongs to, such as `model`.
    pub pool: String,
    /// Whether the newest server list lists it.
    pub is_listed: bool,
    /// Whether it gets no new work.
    pub is_draining: bool,
    /// Its incarnation, if it reported one.
    pub incarnation: Option<u64>,
    /// The weights that it runs, if it reported them.
    pub weights: Option<String>,
    /// Whether it has refused KV orders as unknown.
    pub knows_kv: bool,
    /// When its slow start began.
    pub slow_start_from: MonotonicInstant,
    /// Requests that it runs at once, if known.
    pub slots: Option<u32>,
    /// Its last report: running and waiting, and when it came.
    pub reported: Option<(u32, MonotonicInstant)>,
    /// This node's requests in flight there.
    pub own: u32,
    /// The requests of those peers there whose sketches count.
    pub peer_load: Load,
    /// Consecutive failures.
    pub consecutive_failures: u32,
    /// How much later than expected its first tokens came, in ms, as a moving average.
    pub lag: u64,
    /// A first piece may come this much later than expected, besides what is usual.
    pub lag_slack: Milliseconds,
    /// Consecutive first tokens that came far too late.
    pub consecutive_late: u32,
    /// Ejected until then.
    pub ejected_until: Option<MonotonicInstant>,
    /// What it is believed to have cached.
    pub residency: PrefixResidency,
    /// Prefill time of a block, in microseconds.
    pub block_micros: u64,
    /// How long a request occupies a slot, in ms.
    pub service_time: Milliseconds,
    /// A number for its name, the same everywhere.
    pub key: u64,
    /// This node's place in the server's own order of the members.
    pub rank: u32,
    /// When it was first listed, or its newest incarnation was first seen, in this node's incarnation.
    pub listed_from: MonotonicInstant,
    /// Until when it warms up by the endpoint list; `None` where the list has never said.
    pub warming_up_until: Option<MonotonicInstant>,
    /// When this node sent it requests within the last second.
    pub sent_while_warming_up: VecDeque<MonotonicInstant>,
    /// Prompt tokens of this node's requests that it has still to read.
    pub pending_prefill_tokens: u64,
    /// Tokens that this node's requests take of its memory.
    pub tokens: u64,
    /// Tokens that this node's requests made it read in this node's incarnation.
    pub prefilled_tokens: u64,
    /// What of them the last sketch reported.
    pub reported_prefilled_tokens: u64,
    /// How long this node's most overdue first token there is overdue, in ms.
    pub overdue: u64,
}

impl ServerState {
    /// Creates the state of a server that is listed for the first time.
    pub fn new(entry: &ServerEntry, now: MonotonicInstant, rules: &SchedulerRules) -> Self {
        ServerState {
            zone: entry.zone.clone(),
            pool: entry.pool.clone(),
            is_listed: true,
            is_draining: entry.is_draining,
            incarnation: None,
            weights: None,
            knows_kv: true,
            slow_start_from: now,
            slots: entry.slots.map(believable_slots),
            reported: None,
            own: 0,
            peer_load: Load::default(),
            consecutive_failures: 0,
            lag: 0,
            lag_slack: rules.lag_slack,
            consecutive_late: 0,
            ejected_until: None,
            residency: PrefixResidency::default(),
            block_micros: rules.block_micros,
            service_time: rules.service_time,
            key: key_of(entry.server.as_str()),
            rank: 0,
            listed_from: now,
            warming_up_until: entry.warm_up_left.map(|left| now + left),
            sent_while_warming_up: VecDeque::new(),
            pending_prefill_tokens: 0,
            tokens: 0,
            prefilled_tokens: 0,
            reported_prefilled_tokens: 0,
            overdue: 0,
        }
    }
    /// Applies its entry in the endpoint list.
    pub fn update_from_list(&mut self, entry: ServerEntry, now: MonotonicInstant) {
        self.is_listed = true;
        self.is_draining = entry.is_draining;
        self.zone = entry.zone;
        self.pool = entry.pool;
        self.slots = entry.slots.map(believable_slots).or(self.slots);
        if let Some(left) = entry.warm_up_left {
            self.warming_up_until = Some(now + left);
        }
    }
    /// Whether it warms up. Where the list does not say, it does so for `span` ms from when this node first saw
    /// it.
    pub fn is_warming_up(&self, span: Milliseconds, now: MonotonicInstant) -> bool {
        match self.warming_up_until {
            Some(deadline) => now < deadline,
            None => now.since(self.listed_from) < span,
        }
    }
    /// Checks that this node may send it one more request while it warms up; `part` is this node's share a second.
    ///
    /// # Errors
    ///
    /// The time, in ms, after which it may.
    ///
    /// Invariant: no more than `part` go there in any second.
    pub fn check_warm_up_rate(&self, part: u32, now: MonotonicInstant) -> Result<(), Milliseconds> {
        if part == 0 {
            return Err(WARM_UP_RATE_WINDOW);
        }
        let lately = self
            .sent_while_warming_up
            .iter()
            .filter(|at| now.since(**at) < WARM_UP_RATE_WINDOW);
        let Some(oldest) = lately.rev().nth(part as usize - 1) else {
            return Ok(());
        };
        Err(now.until(*oldest + WARM_UP_RATE_WINDOW))
    }
    /// Records a request sent there, also after warm-up: a new incarnation may begin at any moment.
    pub fn record_sent(&mut self, now: MonotonicInstant) {
        while self
            .sent_while_warming_up
            .front()
            .is_some_and(|at| now.since(*at) >= WARM_UP_RATE_WINDOW)
        {
            self.sent_while_warming_up.pop_front();
        }
        self.sent_while_warming_up.push_back(now);
    }
    /// Returns how many requests the fleet may have in flight there now, out of `full`.
    pub fn cap(&self, full: u32, now: MonotonicInstant, rules: &SchedulerRules) -> u32 {
        let age = now.since(self.slow_start_from);
        if age >= rules.slow_start_duration {
            return full;
        }
        let grown = u64::from(full) * age.0 / rules.slow_start_duration.0.max(1);
        full.min(rules.slow_start_initial_cap.max(grown as u32))
    }
    /// Whether it is in slow start.
    pub fn is_in_slow_start(&self, now: MonotonicInstant, rules: &SchedulerRules) -> bool {
        now.since(self.slow_start_from) < rules.slow_start_duration
    }
    /// Whether it is ejected after failures.
    pub fn is_ejected(&self, now: MonotonicInstant) -> bool {
        self.ejected_until.is_some_and(|deadline| now < deadline)
    }
    /// Records a failure. Returns for how many ms it is ejected, if it now is.
    pub fn record_failure(
        &mut self,
        now: MonotonicInstant,
        is_certain: bool,
    ) -> Option<Milliseconds> {
        self.consecutive_failures += 1;
        let needed = if is_certain { 1 } else { 2 };
        if self.consecutive_failures < needed || self.is_ejected(now) {
            return None;
        }
        let span = Milliseconds((500u64 << self.consecutive_failures.min(5)).min(8000));
        self.ejected_until = Some(now + span);
        self.slow_start_from = now + span;
        Some(span)
    }
    /// Learns the prefill time of a block from a first token that took `took` microseconds, besides the base time,
    /// to prefill `tokens`.
    pub fn learn_prefill(&mut self, took: u64, tokens: u64, rules: &SchedulerRules) {
        if tokens < MIN_LEARNING_TOKENS {
            return;
        }
        let sample = took * u64::from(rules.block_tokens) / tokens;
        let bound = ((rules.block_micros / 32).max(1), rules.block_micros * 8);
        self.block_micros = (self.block_micros * 7 + sample.clamp(bound.0, bound.1)) / 8;
    }
    /// Records that a first token came `lag` ms later than expected, where `usual` is the median of its pool.
    /// Returns whether it is an outlier: a server that answers slowly is as bad as one that does not.
    pub fn record_lag(&mut self, lag: u64, usual: u64) -> bool {
        self.lag = (self.lag * 3 + lag) / 4;
        self.consecutive_late = if lag > self.lag_slack.0 + usual * 4 {
            self.consecutive_late + 1
        } else {
            0
        };
        self.consecutive_late >= MAX_CONSECUTIVE_LATE
    }
    /// Records a success, which ends a row of failures.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }
}

/// No server has more requests or slots, whatever it or the list says.
pub(crate) const MAX_SERVER_REQUESTS: u32 = 1 << 20;

/// The nearest number of slots that a server may have.
pub(crate) fn believable_slots(slots: u32) -> u32 {
    slots.clamp(1, MAX_SERVER_REQUESTS)
}

/// From a prompt with less to read, the reading speed can't be told.
const MIN_LEARNING_TOKENS: u64 = 2048;
/// What a cold server bears is told by the second.
const WARM_UP_RATE_WINDOW: Milliseconds = Milliseconds::seconds(1);
/// So many late ones in a row are no chance.
const MAX_CONSECUTIVE_LATE: u32 = 2;

#[cfg(test)]
mod tests;
