//! The decisions on which the safe reuse of connections rests, in one place.
//!
//! They are a trait so that tests can replace each one by a fault and see that the fault is detected.

use super::bounds::SEND_CHECK_VALIDITY;
use crate::socket::Peeked;
use types::MonotonicInstant;

/// The decisions of a pool that must hold so that no response is taken for another request's, and no
/// request that may have run is reported as not sent. The default methods are the correct decisions.
pub(super) trait ReuseSafety: Send + Sync {
    /// Whether a connection on which this was seen right before a request may carry the request: bytes
    /// or an end before the request belong to no response of it.
    fn is_clean(&self, peeked: Peeked) -> bool {
        peeked == Peeked::Nothing
    }

    /// Until when the first byte of a request may be written after a check made at `checked_at`; `None`
    /// for no bound.
    fn write_deadline(&self, checked_at: MonotonicInstant) -> Option<MonotonicInstant> {
        Some(checked_at + SEND_CHECK_VALIDITY)
    }

    /// Whether a failed request counts as sent.
    fn counts_as_sent(&self, has_sent_bytes: bool, _is_reused: bool) -> bool {
        has_sent_bytes
    }

    /// Whether a body that ended together with its connection is complete.
    fn is_complete_end(&self, is_delimited: bool) -> bool {
        is_delimited
    }

    /// Whether a request was written completely, given whether some bytes of it still wait for space in
    /// the socket's send buffer.
    fn is_completely_written(&self, has_pending_bytes: bool) -> bool {
        !has_pending_bytes
    }
}

/// The correct decisions.
pub(super) struct SafeReuse;

impl ReuseSafety for SafeReuse {}
