//! Checks between the parts of a plan, which the schema of a single field cannot make.

mod routes;
mod tenants;

use crate::plan::error::PlanError;
use crate::plan::schema::Plan;
use routes::validate_routes;
use tenants::validate_tenants;

impl Plan {
    /// All errors between the parts of the plan: routes without a service, duplicate names, shared API keys.
    pub fn validation_errors(&self) -> Vec<PlanError> {
        let mut errors = validate_routes(self);
        errors.extend(validate_tenants(&self.tenants));
        errors
    }
}
