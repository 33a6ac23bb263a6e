//! When the bytes read from a socket arrived at the earliest.
//!
//! A process that is stopped for seconds finds requests in its sockets that their senders gave up meanwhile, and no
//! clock tells when they came. What is known is when the socket was last seen empty: whatever is read later arrived
//! after that. [`ArrivalTracker`] waits in short steps, so that this instant is never long before the arrival unless
//! the process was stopped.

use crate::socket::Readiness;
use types::{Clock, Milliseconds, MonotonicInstant};

/// Waits for a socket, and records when nothing was there to be read or accepted.
#[derive(Debug, Clone, Copy)]
pub(super) struct ArrivalTracker {
    /// The length of a step; `None` waits in one step and records nothing.
    check_period: Option<Milliseconds>,
    last_empty: MonotonicInstant,
}

impl ArrivalTracker {
    /// A tracker of a socket that was empty at `last_empty`.
    pub(super) fn new(check_period: Option<Milliseconds>, last_empty: MonotonicInstant) -> Self {
        ArrivalTracker {
            check_period,
            last_empty,
        }
    }

    /// The last instant at which the socket was empty for certain.
    pub(super) fn last_empty(&self) -> MonotonicInstant {
        self.last_empty
    }

    /// Waits until `deadline`, by calls of `wait_until` with earlier deadlines. Such a call returns
    /// [`Readiness::TimedOut`] only if the socket was empty at that deadline or later.
    pub(super) fn wait(
        &mut self,
        deadline: MonotonicInstant,
        mut wait_until: impl FnMut(MonotonicInstant) -> Readiness,
    ) -> Readiness {
        let Some(check_period) = self.check_period else {
            return wait_until(deadline);
        };
        // The first step doesn't wait: the socket may have been empty for long.
        let mut step_end = Clock::now().min(deadline);
        loop {
            let readiness = wait_until(step_end);
            if readiness != Readiness::TimedOut {
                return readiness;
            }
            self.last_empty = self.last_empty.max(step_end);
            if step_end >= deadline {
                return Readiness::TimedOut;
            }
            step_end = (Clock::now() + check_period).min(deadline);
        }
    }
}

#[cfg(test)]
mod tests;
