//! Graceful shutdown of a controller, as a state machine.
//!
//! A replica that is asked to stop first hands its position in the chain over, so that the core does not have to
//! detect its failure. The hand-over is bounded by [`HAND_OVER_TIMEOUT`]: a core without a majority can't complete it.

use types::{Milliseconds, MonotonicInstant};

/// The longest that a controller waits, after the signal to stop, until other replicas have taken over.
pub(crate) const HAND_OVER_TIMEOUT: Milliseconds = Milliseconds(4000);

/// The state of a controller's shutdown.
///
/// It moves from `Running` to `HandingOver` to `Complete` and never back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// No signal to stop was received.
    Running,
    /// The replica asks the others to take over.
    HandingOver {
        /// When the hand-over started.
        since: MonotonicInstant,
    },
    /// The process may exit.
    Complete,
}

impl Shutdown {
    /// Starts the hand-over, unless it has started before.
    pub(crate) fn request(&mut self, now: MonotonicInstant) {
        if *self == Shutdown::Running {
            *self = Shutdown::HandingOver { since: now };
        }
    }

    /// Takes in whether the replica has handed its position over; the shutdown completes then, or when the time is up.
    pub(crate) fn on_progress(&mut self, now: MonotonicInstant, has_handed_over: bool) {
        if let Shutdown::HandingOver { since } = *self
            && (has_handed_over || now.since(since) >= HAND_OVER_TIMEOUT)
        {
            *self = Shutdown::Complete;
        }
    }

    /// Whether the process may exit.
    pub(crate) fn is_complete(self) -> bool {
        self == Shutdown::Complete
    }
}

#[cfg(test)]
mod tests;
