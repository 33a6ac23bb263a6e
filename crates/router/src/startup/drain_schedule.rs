//! What a process that was told to stop still takes, and until when.

use crate::settings::Settings;
use types::{Milliseconds, MonotonicInstant};

/// Told to stop, a node lingers at least this long, since clients are handed out by what was true before.
const QUIET_FROM: Milliseconds = Milliseconds(2500);

/// What a process that was told to stop takes when.
pub(super) struct DrainSchedule {
    /// From then on only what will have ended before `end`.
    pub(super) short_from: MonotonicInstant,
    /// From then on nothing, if no request came for a while.
    pub(super) quiet_from: MonotonicInstant,
    /// From then on nothing.
    pub(super) none_from: MonotonicInstant,
    /// The process ends, whatever is in hand.
    pub(super) end: MonotonicInstant,
}

impl DrainSchedule {
    /// For a process that was told to stop now. How long a request may last is known of calls alone: where there are
    /// others, nothing is taken that might not end in time.
    pub(super) fn new(now: MonotonicInstant, settings: &Settings, has_calls: bool) -> Self {
        let short_from = now + Milliseconds(settings.linger_ms);
        let short_for = if has_calls {
            Milliseconds(settings.drain_ms * 2 / 3)
        } else {
            Milliseconds(0)
        };
        DrainSchedule {
            short_from,
            quiet_from: now + QUIET_FROM,
            none_from: short_from + short_for,
            end: short_from + Milliseconds(settings.drain_ms),
        }
    }
}

#[cfg(test)]
mod tests;
