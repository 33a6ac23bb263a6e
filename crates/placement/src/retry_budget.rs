//! The retry budget by the minute: a token bucket that traffic and time fill.
//!
//! Source: own, after the retry budgets of common proxies.

use types::{Milliseconds, MonotonicInstant};

/// What one node may spend on retries of one service.
///
/// Invariant: over any time in an incarnation, no more is spent than the requests placed in it earned, this node's
/// share of the fleet's retries for that time, and what was saved up before, which is bounded. A new
/// incarnation has nothing, so that restarts bring nothing. Counted in thousandths of a retry.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    saved: u64,
    accrued_at: MonotonicInstant,
}

const RETRY: u64 = 1000;
/// Milliseconds in which a share of one retry a minute gives a thousandth.
const MILLIS_PER_THOUSANDTH: u64 = 60_000 / RETRY;

impl RetryBudget {
    /// Creates an empty budget at the start of an incarnation.
    pub fn new(now: MonotonicInstant) -> Self {
        RetryBudget {
            saved: 0,
            accrued_at: now,
        }
    }
    /// Earns `percent` of a retry for a request placed for the first time, up to the bound of `part`.
    pub fn earn(&mut self, percent: u32, part: u32) {
        self.add(u64::from(percent) * RETRY / 100, part);
    }
    /// Earns what the time since the last call gives; `part` is this node's share of the retries a minute.
    pub fn accrue(&mut self, part: u32, now: MonotonicInstant) {
        let deadline = now.since(self.accrued_at).0 * u64::from(part) / MILLIS_PER_THOUSANDTH;
        if part == 0 || deadline > 0 {
            // What is less than a thousandth waits for the next time.
            self.accrued_at = if part == 0 {
                now
            } else {
                self.accrued_at + Milliseconds(deadline * MILLIS_PER_THOUSANDTH / u64::from(part))
            };
            self.add(deadline, part);
        }
    }
    /// Whether a retry may be made.
    pub fn has_one(&self) -> bool {
        self.saved >= RETRY
    }
    /// Spends one retry.
    pub fn spend(&mut self) {
        self.saved = self.saved.saturating_sub(RETRY);
    }
    /// Refunds a retry that reached no server, up to the bound of `part`.
    pub fn refund(&mut self, part: u32) {
        self.add(RETRY, part);
    }
    /// Takes back what a request earned that reached no server.
    pub fn undo_earn(&mut self, percent: u32) {
        self.saved = self.saved.saturating_sub(u64::from(percent) * RETRY / 100);
    }

    fn add(&mut self, thousandths: u64, part: u32) {
        self.saved = (self.saved + thousandths).min(RETRY + u64::from(part) * RETRY);
    }
}

#[cfg(test)]
mod tests;
