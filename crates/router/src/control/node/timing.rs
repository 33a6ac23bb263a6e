//! The intervals and time-outs of a node's control state.

use crate::dissemination::DigestTiming;
use types::Milliseconds;

/// Intervals and time-outs of a node's state machine, all in milliseconds of its own monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct NodeTiming {
    /// Interval between two lease requests that are answered.
    pub lease_request_interval: Milliseconds,
    /// Peers are checked once less than this is left of the lease.
    pub peer_check_before_expiry: Milliseconds,
    /// Interval between two peer checks.
    pub peer_check_interval: Milliseconds,
    /// Upper bound of the interval to which peer checks back off while no peer answers.
    pub peer_check_interval_alone: Milliseconds,
    /// How long a peer's answer to a check counts.
    pub peer_check_validity: Milliseconds,
    /// Interval between two ticks of the scheduler.
    pub tick_interval: Milliseconds,
    /// A lease request without a response is given up after this, and another controller is asked.
    pub lease_request_timeout: Milliseconds,
    /// A gap between two clock events of at least this length means that the machine was suspended.
    pub sleep_threshold: Milliseconds,
    /// Timing of the exchange of load digests.
    pub digest: DigestTiming,
}

impl Default for NodeTiming {
    fn default() -> Self {
        NodeTiming {
            lease_request_interval: Milliseconds(1000),
            peer_check_before_expiry: Milliseconds(600),
            peer_check_interval: Milliseconds(400),
            peer_check_interval_alone: Milliseconds(1600),
            peer_check_validity: Milliseconds(1000),
            tick_interval: Milliseconds(250),
            lease_request_timeout: Milliseconds(400),
            sleep_threshold: Milliseconds(1000),
            digest: DigestTiming::default(),
        }
    }
}
