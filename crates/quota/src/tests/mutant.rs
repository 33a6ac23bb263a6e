use crate::amount::Amount;
use crate::client::PendingRequest;
use crate::fault_injection::FaultInjection;
use types::{Address, Milliseconds, MonotonicInstant};

/// A deliberate fault, by which the tests show that they see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Mutant {
    /// A new authority begins with full buckets, as if nothing were outstanding.
    ForgetOutstanding,
    /// A client spends credit that has expired.
    SpendExpired,
    /// A client accepts a grant that arrives late or twice.
    AcceptTwice,
    /// Outstanding credit is not counted against the bucket's ceiling.
    IgnoreOutstanding,
}

impl FaultInjection for Mutant {
    fn recovery_period(&self, period: Milliseconds) -> Milliseconds {
        match self {
            Mutant::ForgetOutstanding => Milliseconds(0),
            _ => period,
        }
    }

    fn assumed_spent(&self, amount: Amount) -> Amount {
        match self {
            Mutant::ForgetOutstanding => Amount::NONE,
            _ => amount,
        }
    }

    fn outstanding(&self, amount: Amount) -> Amount {
        match self {
            Mutant::IgnoreOutstanding => Amount::NONE,
            _ => amount,
        }
    }

    fn credit_expiry(&self, expires: MonotonicInstant) -> MonotonicInstant {
        match self {
            Mutant::SpendExpired => MonotonicInstant(u64::MAX),
            _ => expires,
        }
    }

    fn granted_request(
        &self,
        request: Option<PendingRequest>,
        authority: Address,
        now: MonotonicInstant,
    ) -> Option<PendingRequest> {
        match self {
            Mutant::AcceptTwice => request.or(Some(PendingRequest {
                authority,
                sent: now,
            })),
            _ => request,
        }
    }
}
