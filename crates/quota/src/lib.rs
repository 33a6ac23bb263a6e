//! Quotas of tenants over the whole fleet.
//!
//! One [`QuotaAuthority`], at the tail of the controllers' chain, grants credit from a token bucket for each
//! tenant. A [`QuotaClient`] at each data-plane node spends the credit on requests. Both are pure state machines:
//! inputs and the time in, messages to send and requests to admit out. docs/quotas.md has the bound on what may be
//! admitted, and its proof.

mod amount;
mod authority;
mod client;
mod fault_injection;
mod limit;
mod messages;
#[cfg(test)]
mod tests;

pub use amount::Amount;
pub use authority::{QuotaAuthority, QuotaUsage};
pub use client::{Admission, AdmissionDecision, QuotaClient, QuotaClientStatus, QuotaRejection};
pub use limit::{QuotaBounds, QuotaLimit};
pub use messages::{CreditGrant, CreditRequest, TenantCreditGrant, TenantCreditRequest};
