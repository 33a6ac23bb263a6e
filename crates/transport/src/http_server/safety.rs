//! The decisions on which the safe reading of requests rests, in one place.
//!
//! They are a trait so that tests can replace each one by a fault and see that the fault is detected.

use super::framing::{RequestFramer, RequestLimits};
use super::limits::HttpServerLimits;
use std::fmt::Debug;

/// The decisions of a server that must hold so that limits bind and no bytes of a rejected request are read
/// as another one. The default methods are the correct decisions.
pub(super) trait RequestSafety: Debug + Send + Sync {
    /// The limits that a connection obeys, given those in force and those it obeyed before.
    fn effective_limits(
        &self,
        in_force: HttpServerLimits,
        _before: RequestLimits,
    ) -> HttpServerLimits {
        in_force
    }

    /// Whether the connection of a rejected request is read on, after `framer` was set to where.
    fn resume_after_rejection(&self, _framer: &mut RequestFramer, _limits: &RequestLimits) -> bool {
        false
    }
}

/// The correct decisions.
#[derive(Debug)]
pub(super) struct SafeRequests;

impl RequestSafety for SafeRequests {}
