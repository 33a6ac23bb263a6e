//! The side of the clients: connections, authentication and the limits that bind them.

pub(crate) mod authentication;
pub(crate) mod budget;
pub(crate) mod client_api;
pub(crate) mod ingress;
pub(crate) mod limits;
