use crate::amount::Amount;
use crate::client::PendingRequest;
use types::{Address, Milliseconds, MonotonicInstant};

/// The points at which tests inject faults, to show that their checks see them. Each point is given the correct
/// value and returns the value to use; by default, the same one.
pub(crate) trait FaultInjection: std::fmt::Debug + Sync {
    /// How long a new authority grants nothing, unless all members report their credit earlier.
    fn recovery_period(&self, period: Milliseconds) -> Milliseconds {
        period
    }

    /// What an authority assumes to have been spent of its predecessor's grants.
    fn assumed_spent(&self, amount: Amount) -> Amount {
        amount
    }

    /// The credit that is granted and not spent, when more is granted.
    fn outstanding(&self, amount: Amount) -> Amount {
        amount
    }

    /// When the credit of a client expires.
    fn credit_expiry(&self, expires: MonotonicInstant) -> MonotonicInstant {
        expires
    }

    /// The pending request of a client that a grant from this authority belongs to, if any.
    fn granted_request(
        &self,
        request: Option<PendingRequest>,
        _authority: Address,
        _now: MonotonicInstant,
    ) -> Option<PendingRequest> {
        request
    }
}

/// Injects no faults.
#[derive(Debug)]
pub(crate) struct NoFaults;

impl FaultInjection for NoFaults {}
