//! Quotas of tenants, kept over the whole fleet: an authority grants credit from one token bucket per tenant,
//! nodes spend it. Pure state machines: inputs and the time in; what to send and whom to admit out.
//!
//! docs/quotas.md has the bound and its proof.

mod authority;
mod holder;
mod limit;
mod messages;
#[cfg(test)]
mod tests;

pub use authority::{QuotaAuthority, TenantUse};
pub use holder::{Admission, QuotaClient, QuotaRejection, ReservedCredit, Settlement};
pub use limit::{Amount, QuotaBounds, QuotaLimit};
pub use messages::{CreditAsk, CreditGrant, CreditRequest, TenantGrant};

/// A deliberate fault, by which the tests show that they see it.
#[cfg(test)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// A new authority begins with full buckets, as if nothing were out.
    ForgetOutstanding,
    /// A node spends credit that has expired.
    SpendExpired,
    /// A node takes a grant that comes late or twice.
    TakeTwice,
    /// Credit that is out is not counted against the bucket's ceiling.
    IgnoreOutstanding,
}
