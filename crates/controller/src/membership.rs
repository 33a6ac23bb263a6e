//! Membership of routers: their leases, the configuration updates that they are sent and acknowledge, and who joins and
//! leaves.

mod acknowledgements;
mod changes;
mod config_updates;
mod leases;
mod plan_transfer;
