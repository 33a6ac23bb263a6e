//! Operators' interface: their commands, the HTTP interface that serves them, and the command line.

pub(crate) mod command_line;
pub(crate) mod control_client;
pub(crate) mod http;
mod pending_requests;
mod queries;
pub(crate) mod task;
