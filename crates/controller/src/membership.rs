//! Membership of routers: their leases, the configuration updates that they are sent, and who joins and leaves.

mod leases;
