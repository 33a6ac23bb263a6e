use crate::plan::{Fault, Plan, merge_change, parse_plan};

/// How operators write plans and changes to them.
///
/// Invariants: a plan that `parse` gives has no [`Plan::faults`]; what `merge` gives is a document that
/// `parse` reads or finds faults in.
pub trait PlanDialect: Send + Sync {
    /// Reads a document; gives every fault that was found.
    fn parse(&self, bytes: &[u8]) -> Result<Plan, Vec<Fault>>;
    /// The document that a change makes of another.
    fn merge(&self, plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<Fault>>;
}

/// The product's own: JSON as [`Plan`] describes it, changed by JSON merge patches.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnPlans;

impl PlanDialect for OwnPlans {
    fn parse(&self, bytes: &[u8]) -> Result<Plan, Vec<Fault>> {
        parse_plan(bytes)
    }
    fn merge(&self, plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<Fault>> {
        merge_change(plan, change)
    }
}
