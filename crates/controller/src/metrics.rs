//! What a controller counts.

use std::sync::atomic::AtomicU64;

/// What is counted for the metrics.
#[derive(Default)]
pub(crate) struct Metrics {
    pub requests: AtomicU64,
    pub writes: AtomicU64,
    pub faults: AtomicU64,
    pub polls: AtomicU64,
    pub view: AtomicU64,
    pub epoch: AtomicU64,
    pub chain: AtomicU64,
    pub members: AtomicU64,
}
