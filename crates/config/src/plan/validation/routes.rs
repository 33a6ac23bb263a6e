use crate::plan::error::{PlanError, PlanErrorReason};
use crate::plan::schema::{Plan, RoutePlan, ServicePlan};
use crate::routes::normalized_host;
use std::collections::{BTreeMap, HashMap};

/// The errors of a plan's routes, in the order of the routes.
pub(super) fn validate_routes(plan: &Plan) -> Vec<PlanError> {
    let mut errors = vec![];
    let mut names: HashMap<(String, &str), &str> = HashMap::with_capacity(plan.routes.len());
    for (index, route) in plan.routes.iter().enumerate() {
        let path = format!("routes[{index}]");
        errors.extend(validate_path_prefix(&path, route));
        errors.extend(validate_deadline(&path, route));
        errors.extend(validate_split(&path, route, &plan.services));
        let host_and_prefix = (normalized_host(&route.host), route.path_prefix.as_str());
        if let Some(other) = names.insert(host_and_prefix, &route.name) {
            let reason = PlanErrorReason::DuplicateRoute {
                route: route.name.clone(),
                other: other.to_owned(),
            };
            errors.push(PlanError::new(path, reason));
        }
    }
    errors
}

fn validate_path_prefix(path: &str, route: &RoutePlan) -> Option<PlanError> {
    let prefix = &route.path_prefix;
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return None;
    }
    let reason = PlanErrorReason::PathPrefixWithoutSlashes(prefix.clone());
    Some(PlanError::new(format!("{path}.path_prefix"), reason))
}

fn validate_deadline(path: &str, route: &RoutePlan) -> Option<PlanError> {
    (route.deadline_ms == 0)
        .then(|| PlanError::new(format!("{path}.deadline_ms"), PlanErrorReason::ZeroDeadline))
}

fn validate_split(
    path: &str,
    route: &RoutePlan,
    services: &BTreeMap<String, ServicePlan>,
) -> Vec<PlanError> {
    let mut reasons = vec![];
    if route.split.is_empty() {
        reasons.push(PlanErrorReason::EmptySplit);
    } else if route.split.iter().all(|share| share.weight == 0) {
        reasons.push(PlanErrorReason::ZeroWeights);
    }
    let unknown_services = route
        .split
        .iter()
        .map(|share| &share.service)
        .filter(|service| !services.contains_key(*service));
    reasons.extend(
        unknown_services
            .cloned()
            .map(PlanErrorReason::UnknownService),
    );
    reasons
        .into_iter()
        .map(|reason| PlanError::new(format!("{path}.split"), reason))
        .collect()
}
