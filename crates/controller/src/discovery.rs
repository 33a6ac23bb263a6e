//! Discovery of the core, and the controller process without a disk that does nothing else.

pub(crate) mod diskless_controller;
pub(crate) mod diskless_daemon;
mod exchange;
pub(crate) mod peer_discovery;
pub(crate) mod redirect;
