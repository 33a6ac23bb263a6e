//! The operators' configuration: how plans are read and checked, and the ledger of all that was
//! accepted, which the chain of controllers replicates.

mod dialect;
mod history;
mod plan;
mod routing;
mod settings;
mod state_machine;
mod tenants;

pub use dialect::{OwnPlans, PlanDialect};
pub use history::{
    AsSent, Entry, Fate, Forgotten, History, KeptCommand, NotKept, REMEMBERED_BYTES,
    REMEMBERED_CHANGES, SentChange, Undo,
};
pub use plan::{
    BoundsPlan, BtbPlan, Fault, Plan, RouteKind, RoutePlan, ServiceKind, ServicePlan, SharePlan,
    merge_change, parse_plan,
};
pub use routing::RouteTable;
pub use settings::{
    SettingsError, a_name, addresses, an_address, parse_addresses, read_settings, within,
};
pub use state_machine::{Command, CommandOutcome, ConfigStateMachine, Proposal, Revisions};
pub use tenants::{KeyDigest, KeyHasher, QuotaUnit, TenantPlan, TenantTable};
