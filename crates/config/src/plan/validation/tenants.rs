use crate::plan::error::{PlanError, PlanErrorReason};
use crate::tenants::{MAX_QUOTA_UNITS, TenantPlan};
use std::collections::HashMap;
use types::{ApiKey, TenantName};

/// The errors of a plan's tenants, in the order of the tenants. No error shows an API key.
pub(super) fn validate_tenants(tenants: &[TenantPlan]) -> Vec<PlanError> {
    let mut errors = vec![];
    let mut names: HashMap<&str, usize> = HashMap::new();
    let mut owners: HashMap<&ApiKey, usize> = HashMap::new();
    for (index, tenant) in tenants.iter().enumerate() {
        let path = format!("tenants[{index}]");
        errors.extend(validate_name(&path, tenant));
        if let Some(other) = names.insert(&tenant.name, index) {
            let reason = PlanErrorReason::DuplicateTenantName { other };
            errors.push(PlanError::new(format!("{path}.name"), reason));
        }
        for (number, key) in tenant.api_keys.0.iter().enumerate() {
            let key_path = format!("{path}.api_keys[{number}]");
            if key.is_empty() {
                errors.push(PlanError::new(&*key_path, PlanErrorReason::EmptyApiKey));
            }
            let other = owners.insert(key, index).filter(|other| *other != index);
            if let Some(other) = other {
                let reason = PlanErrorReason::DuplicateApiKey { other };
                errors.push(PlanError::new(key_path, reason));
            }
        }
        errors.extend(validate_quota(&path, tenant));
    }
    errors
}

fn validate_name(path: &str, tenant: &TenantPlan) -> Option<PlanError> {
    if TenantName::from(tenant.name.as_str()).is_valid() {
        return None;
    }
    let reason = PlanErrorReason::InvalidTenantName;
    Some(PlanError::new(format!("{path}.name"), reason))
}

fn validate_quota<'a>(
    path: &'a str,
    tenant: &TenantPlan,
) -> impl Iterator<Item = PlanError> + use<'a> {
    let quota = [("rate_per_s", tenant.rate_per_s), ("burst", tenant.burst)];
    quota
        .into_iter()
        .filter(|(_, units)| !(0.0..=MAX_QUOTA_UNITS).contains(units))
        .map(move |(field, _)| {
            PlanError::new(format!("{path}.{field}"), PlanErrorReason::QuotaOutOfRange)
        })
}
