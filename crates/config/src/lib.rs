//! The operators' configuration: plans, commands, and the replicated state machine of what was accepted.
//!
//! A plan is parsed and validated where it arrives ([`parse_plan`], or another [`PlanDialect`]) and proposed as a
//! [`Command`]. The controllers' chain replicates the proposals and applies them to the [`ConfigStateMachine`], which keeps
//! the configuration in force, the membership, and a bounded [`History`]. Data-plane nodes use the same plans
//! through a [`RouteTable`] and a [`TenantTable`]. The package does no I/O other than reading settings files.

mod archive;
mod command;
mod dialect;
mod history;
mod outcome;
mod plan;
mod routes;
mod schema_errors;
mod settings;
mod state_machine;
mod tenants;

pub use command::{Command, Proposal, Revisions};
pub use dialect::{OwnPlans, PlanDialect};
pub use history::{
    CommandStatus, CompactionPoint, Entry, History, HistoryError, MAX_HISTORY_BYTES,
    MAX_HISTORY_ENTRIES, OriginalChange, OriginalCommand, RecordedCommand, ReverseDelta,
};
pub use outcome::CommandOutcome;
pub use plan::{
    BoundsPlan, BtbPlan, MergeInput, Plan, PlanError, PlanErrorReason, RouteKind, RoutePlan,
    ServiceKind, ServicePlan, SharePlan, merge_change, parse_plan,
};
pub use routes::RouteTable;
pub use schema_errors::InvalidField;
pub use settings::{
    SettingsError, parse_addresses, read_settings, validate_address, validate_addresses,
    validate_name, validate_range,
};
pub use state_machine::ConfigStateMachine;
pub use tenants::{KeyDigest, KeyHasher, QuotaUnit, TenantPlan, TenantTable};
