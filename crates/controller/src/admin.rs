//! Operators: their commands, the HTTP interface and the dialects that carry them, and the command line.

pub(crate) mod command_line;
pub(crate) mod control_client;
pub(crate) mod handler;
pub(crate) mod http;
pub(crate) mod pending_requests;
mod queries;
pub(crate) mod task;
