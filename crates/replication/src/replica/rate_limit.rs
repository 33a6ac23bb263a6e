//! Rate limit of the head: a token bucket, so that the changes that the state machine remembers, by
//! which it knows a repeated change, can't be used up at once.

use crate::replica::Timing;
use types::MonotonicInstant;

/// A bucket that holds at most [`Timing::max_change_burst`] changes and fills by
/// [`Timing::max_changes_per_second`].
///
/// Invariant: from when a head begins, it takes at most `max_change_burst` changes and
/// `max_changes_per_second` for each second since. It's the head's own and counts by its clock; no
/// state that is replicated depends on it.
#[derive(Debug, Clone)]
pub(super) struct ChangeRateLimiter {
    /// Thousandths of a change.
    available: u64,
    at: MonotonicInstant,
}

/// Thousandths in a change.
const CHANGE: u64 = 1000;

impl ChangeRateLimiter {
    /// A full bucket.
    pub(super) fn full(timing: &Timing, now: MonotonicInstant) -> ChangeRateLimiter {
        ChangeRateLimiter {
            available: timing.max_change_burst * CHANGE,
            at: now,
        }
    }

    /// Whether one more may enter now; it's counted if so.
    pub(super) fn take(&mut self, timing: &Timing, now: MonotonicInstant) -> bool {
        self.available = self.level(timing, now);
        self.at = now;
        let may_enter = self.available >= CHANGE;
        if may_enter {
            self.available -= CHANGE;
        }
        may_enter
    }

    /// What it holds at this moment, in thousandths of a change.
    pub(super) fn level(&self, timing: &Timing, now: MonotonicInstant) -> u64 {
        // A second has as many milliseconds as a change has thousandths.
        let filled = self.available + now.since(self.at).0 * timing.max_changes_per_second;
        filled.min(timing.max_change_burst * CHANGE)
    }
}
