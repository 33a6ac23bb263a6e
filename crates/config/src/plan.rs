//! Plans: what operators configure. The schema, parsing, validation, and what a plan means to placement.

mod error;
mod parsing;
mod placement_rules;
mod schema;
mod validation;

pub use error::{MergeInput, PlanError, PlanErrorReason};
pub use parsing::{merge_change, parse_plan};
pub use schema::{
    BoundsPlan, BtbPlan, Plan, RouteKind, RoutePlan, ServiceKind, ServicePlan, SharePlan,
};

#[cfg(test)]
mod tests;
