//! What operators see of a router: its decisions and events, their replay, and its metrics.

pub(crate) mod decision_log;
pub(crate) mod metrics;
pub(crate) mod replay;
