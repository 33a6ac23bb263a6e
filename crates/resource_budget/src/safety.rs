//! The decisions on which the accounting's invariants rest, in one place.
//!
//! They are a trait so that tests can replace each one by a fault and see that the fault is detected.

use crate::accounting::Phase;
use crate::policy::BudgetLimits;
use std::fmt::Debug;

/// The decisions that must hold so that limits bind and nobody gives way who must not. The default methods are the correct
/// decisions.
pub(crate) trait AccountingSafety: Debug + Send {
    /// Whether a connection in this phase gives way; `is_old` tells whether it is in it for longer than the grace.
    fn may_evict(&self, phase: Phase, is_old: bool) -> bool {
        match phase {
            Phase::Idle | Phase::Closing => true,
            Phase::Reading | Phase::Stalled => is_old,
            Phase::Serving => false,
        }
    }

    /// How much of what is reserved for other listeners counts as used.
    fn reserved_for_others(&self, reserved: u64) -> u64 {
        reserved
    }

    /// How many connections may be evicted and not be closed yet.
    fn max_departing(&self, limits: &BudgetLimits) -> usize {
        limits.max_departing()
    }

    /// The bytes of large requests that a growth adds.
    fn large_growth(&self, before: u64, after: u64) -> u64 {
        after - before
    }
}

/// The correct decisions.
#[derive(Debug)]
pub(crate) struct SafeAccounting;

impl AccountingSafety for SafeAccounting {}
