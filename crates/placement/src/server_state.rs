use crate::event::ServerEntry;
use crate::residency::Residency;
use crate::rules::SchedulerRules;
use crate::share::key_of;
use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant, ZoneName};

/// What others have in hand at a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Requests.
    pub count: u32,
    /// Prompt tokens of them that it has still to read.
    pub unread: u64,
    /// Tokens that they take of its memory.
    pub tokens: u64,
}

/// One server, as this node sees it.
///
/// Invariants: `own` counts this node's requests there that have not ended. Residency belongs to one
/// incarnation; another one starts empty. A server that was suspected ramps up anew.
#[derive(Debug, Clone)]
pub struct ServerState {
    /// Its zone.
    pub zone: ZoneName,
    /// Its pool.
    pub pool: String,
    /// Whether the newest server list lists it.
    pub is_listed: bool,
    /// Whether it gets no new work.
    pub is_draining: bool,
    /// Its life, if it told one.
    pub incarnation: Option<u64>,
    /// What it runs, if it told.
    pub weights: Option<String>,
    /// Whether it has refused KV orders as unknown.
    pub knows_kv: bool,
    /// From when its ramp counts.
    pub ramp_from: MonotonicInstant,
    /// Slots, if it told.
    pub slots: Option<u32>,
    /// Its last report: running and waiting, and when it came.
    pub reported: Option<(u32, MonotonicInstant)>,
    /// This node's requests there.
    pub own: u32,
    /// The requests of those peers there whose sketches count.
    pub theirs: Load,
    /// Failures one after another.
    pub faults: u32,
    /// How much later than expected its first pieces came lately, in ms, smoothed.
    pub lag: u64,
    /// A first piece may come this much later than expected, besides what is usual.
    pub lag_slack: Milliseconds,
    /// First pieces that came far too late, one after another.
    pub late: u32,
    /// No work until then.
    pub suspect_until: Option<MonotonicInstant>,
    /// What it holds.
    pub residency: Residency,
    /// Prefill of a block in microseconds.
    pub block_micros: u64,
    /// How long a request holds a slot.
    pub hold: Milliseconds,
    /// A number for its name, the same everywhere.
    pub key: u64,
    /// This node's place in the server's own order of the members.
    pub rank: u32,
    /// When it was first listed, or a new life of it was first heard of, in this node's life.
    pub listed_from: MonotonicInstant,
    /// Until when the list says that it is cold; `None` where the list has never told.
    pub cold_until: Option<MonotonicInstant>,
    /// What this node sent it lately while it was cold.
    pub cold_sent: VecDeque<MonotonicInstant>,
    /// Prompt tokens of this node's requests that it has still to read.
    pub unread: u64,
    /// Tokens that this node's requests take of its memory.
    pub tokens: u64,
    /// Tokens that this node's requests made it read in this node's life.
    pub read: u64,
    /// What of them the last sketch told.
    pub read_told: u64,
    /// How long this node's most overdue first piece there is overdue, in ms.
    pub overdue: u64,
}

impl ServerState {
    /// When first seen.
    pub fn new(entry: &ServerEntry, now: MonotonicInstant, rules: &SchedulerRules) -> Self {
        ServerState {
            zone: entry.zone.clone(),
            pool: entry.pool.clone(),
            is_listed: true,
            is_draining: entry.is_draining,
            incarnation: None,
            weights: None,
            knows_kv: true,
            ramp_from: now,
            slots: entry.slots,
            reported: None,
            own: 0,
            theirs: Load::default(),
            faults: 0,
            lag: 0,
            lag_slack: rules.lag_slack,
            late: 0,
            suspect_until: None,
            residency: Residency::default(),
            block_micros: rules.block_micros,
            hold: rules.hold,
            key: key_of(entry.server.as_str()),
            rank: 0,
            listed_from: now,
            cold_until: entry.cold_left.map(|left| now + left),
            cold_sent: VecDeque::new(),
            unread: 0,
            tokens: 0,
            read: 0,
            read_told: 0,
            overdue: 0,
        }
    }
    /// Takes over what the list says of it.
    pub fn note_entry(&mut self, entry: ServerEntry, now: MonotonicInstant) {
        self.is_listed = true;
        self.is_draining = entry.is_draining;
        self.zone = entry.zone;
        self.pool = entry.pool;
        self.slots = entry.slots.or(self.slots);
        if let Some(left) = entry.cold_left {
            self.cold_until = Some(now + left);
        }
    }
    /// Whether it is cold. Where the list has not told, it is for as long as the plan says, from when this
    /// node first heard of it.
    pub fn is_cold(&self, span: Milliseconds, now: MonotonicInstant) -> bool {
        match self.cold_until {
            Some(deadline) => now < deadline,
            None => now.since(self.listed_from) < span,
        }
    }
    /// Whether this node may send it one more while it is cold; else when.
    ///
    /// Invariant: no more than `part` go there in any second.
    pub fn check_cold(&self, part: u32, now: MonotonicInstant) -> Result<(), Milliseconds> {
        if part == 0 {
            return Err(COLD_WINDOW);
        }
        let lately = self
            .cold_sent
            .iter()
            .filter(|at| now.since(**at) < COLD_WINDOW);
        let Some(oldest) = lately.rev().nth(part as usize - 1) else {
            return Ok(());
        };
        Err(now.until(*oldest + COLD_WINDOW))
    }
    /// It was sent one. Also noted of warm ones: they may turn cold at any moment.
    pub fn note_sent(&mut self, now: MonotonicInstant) {
        while self
            .cold_sent
            .front()
            .is_some_and(|at| now.since(*at) >= COLD_WINDOW)
        {
            self.cold_sent.pop_front();
        }
        self.cold_sent.push_back(now);
    }
    /// What the whole fleet may have in hand there now.
    pub fn cap(&self, full: u32, now: MonotonicInstant, rules: &SchedulerRules) -> u32 {
        let age = now.since(self.ramp_from);
        if age >= rules.ramp {
            return full;
        }
        let grown = u64::from(full) * age.0 / rules.ramp.0.max(1);
        full.min(rules.ramp_start.max(grown as u32))
    }
    /// Whether it's still ramping up.
    pub fn is_fresh(&self, now: MonotonicInstant, rules: &SchedulerRules) -> bool {
        now.since(self.ramp_from) < rules.ramp
    }
    /// Whether it's kept from work after faults.
    pub fn is_suspect(&self, now: MonotonicInstant) -> bool {
        self.suspect_until.is_some_and(|deadline| now < deadline)
    }
    /// A request failed there. Gives how long it is kept from work, if it is.
    pub fn fault(&mut self, now: MonotonicInstant, is_certain: bool) -> Option<Milliseconds> {
        self.faults += 1;
        let needed = if is_certain { 1 } else { 2 };
        if self.faults < needed || self.is_suspect(now) {
            return None;
        }
        let span = Milliseconds((500u64 << self.faults.min(5)).min(8000));
        self.suspect_until = Some(now + span);
        self.ramp_from = now + span;
        Some(span)
    }
    /// A first piece came after it had read so many tokens, in so many microseconds besides the base time.
    pub fn learn_prefill(&mut self, took: u64, tokens: u64, rules: &SchedulerRules) {
        if tokens < LEARN_LEAST {
            return;
        }
        let sample = took * u64::from(rules.block_tokens) / tokens;
        let bound = ((rules.block_micros / 32).max(1), rules.block_micros * 8);
        self.block_micros = (self.block_micros * 7 + sample.clamp(bound.0, bound.1)) / 8;
    }
    /// A first piece came this much later than expected, while its kin are `usual` late. Says whether it's
    /// far too slow: a server that answers, but slowly, is as bad as one that doesn't.
    pub fn note_lag(&mut self, lag: u64, usual: u64) -> bool {
        self.lag = (self.lag * 3 + lag) / 4;
        self.late = if lag > self.lag_slack.0 + usual * 4 {
            self.late + 1
        } else {
            0
        };
        self.late >= LATE_MOST
    }
    /// A request went well there.
    pub fn well(&mut self) {
        self.faults = 0;
    }
}

/// From a prompt with less to read, the reading speed can't be told.
const LEARN_LEAST: u64 = 2048;
/// What a cold server bears is told by the second.
const COLD_WINDOW: Milliseconds = Milliseconds::seconds(1);
/// So many late ones in a row are no chance.
const LATE_MOST: u32 = 2;

#[cfg(test)]
mod tests;
