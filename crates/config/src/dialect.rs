use crate::plan::{Plan, PlanError, merge_change, parse_plan};

/// The format in which operators write plans and changes to them.
///
/// Invariants: a plan that `parse` returns has no [`Plan::validation_errors`]; a document that `merge` returns
/// is one that `parse` accepts or rejects with errors.
pub trait PlanDialect: Send + Sync {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// All errors that were found, each with the path of its field.
    fn parse(&self, bytes: &[u8]) -> Result<Plan, Vec<PlanError>>;

    /// Parses a document that was accepted, perhaps by an earlier version that checked less.
    ///
    /// # Errors
    ///
    /// The document can't be understood by this version.
    fn parse_accepted(&self, bytes: &[u8]) -> Result<Plan, Vec<PlanError>> {
        self.parse(bytes)
    }

    /// Applies a change to a plan and returns the changed document.
    ///
    /// # Errors
    ///
    /// The plan or the change is malformed.
    fn merge(&self, plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<PlanError>>;
}

/// The product's own dialect: JSON with the keys of [`Plan`], changed by JSON merge patches (RFC 7396).
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnPlans;

impl PlanDialect for OwnPlans {
    fn parse(&self, bytes: &[u8]) -> Result<Plan, Vec<PlanError>> {
        parse_plan(bytes)
    }

    fn merge(&self, plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<PlanError>> {
        merge_change(plan, change)
    }
}
