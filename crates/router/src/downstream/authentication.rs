//! Which tenant a request is of: by its API key, under the plan in force.

use crate::control::node::Rejection;
use config::{KeyDigest, QuotaUnit, TenantPlan, TenantTable};
use placement::RequestCost;
use quota::{Amount, QuotaLimit};
use types::{ApiKey, Milliseconds, ResultCode};

/// What of a tenant is needed to let a request in.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Credentials {
    /// What stands for the key, from here on.
    pub key: KeyDigest,
    /// The tenant's own priority, if it has one.
    pub priority: Option<u64>,
}

/// The credentials that a request bears; `None` where it needs none.
pub(crate) fn authenticate(
    tenants: &TenantTable,
    is_public: bool,
    key: Option<&ApiKey>,
) -> Result<Option<Credentials>, Rejection> {
    if tenants.is_empty() || is_public {
        return Ok(None);
    }
    let key = key.map(|key| tenants.digest(key));
    let known = key.and_then(|key| {
        Some(Credentials {
            key,
            priority: tenants.tenant(&key)?.priority,
        })
    });
    known.map(Some).ok_or_else(unauthorized)
}

/// The final answer to a request whose key the plan in force doesn't know.
pub(crate) fn unauthorized() -> Rejection {
    let why = "no tenant of the plan in force has this API key".to_owned();
    Rejection {
        code: ResultCode::Unauthorized,
        why,
        retry_after: Milliseconds(0),
    }
}

/// A tenant's quota; `None`: it has no limit.
pub(crate) fn quota_limit(tenant: &TenantPlan) -> Option<QuotaLimit> {
    let (rate, burst) = (
        Amount::fraction(tenant.rate_per_s),
        Amount::fraction(tenant.burst),
    );
    tenant.is_limited().then_some(QuotaLimit { rate, burst })
}

/// What a request takes of its tenant's quota.
pub(crate) fn quota_amount(tenant: &TenantPlan, request_cost: &RequestCost) -> Amount {
    let told = u64::from(request_cost.prompt_tokens) + u64::from(request_cost.output_tokens);
    match tenant.quota_unit {
        QuotaUnit::Request => Amount::units(1),
        QuotaUnit::Token if told == 0 => Amount::units(tenant.untold_tokens),
        QuotaUnit::Token => Amount::units(told),
    }
}
