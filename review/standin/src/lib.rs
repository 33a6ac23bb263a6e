//! Stand-ins for the clients, the operator, the servers and the platform of the review's scripts.

pub mod config;
pub mod fleet;
pub mod net;
pub mod servers;
