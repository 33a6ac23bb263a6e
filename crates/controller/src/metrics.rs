//! Counters and gauges of a controller, and their text for `GET /metrics`.
//!
//! The text is the Prometheus exposition format, version 0.0.4, and is rendered here: client libraries add help and
//! end-of-file lines, which operators' scrapers of this interface have never been sent.

use std::sync::atomic::{AtomicU64, Ordering};
use transport::BudgetUsage;

/// The content type of [`Metrics::render`].
pub(crate) const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Metrics of a controller. The control thread sets the gauges after each step; connection threads count requests.
#[derive(Default)]
pub(crate) struct Metrics {
    /// HTTP requests on the operators' interface since the process started.
    pub http_requests: AtomicU64,
    /// Writes handed to the disk thread since the process started.
    pub disk_writes: AtomicU64,
    /// Faults that the disk thread reported since the process started.
    pub disk_faults: AtomicU64,
    /// Lease requests of routers in this incarnation of the controller.
    pub polls: AtomicU64,
    /// The view's number.
    pub view_epoch: AtomicU64,
    /// The configuration's epoch as this replica has applied it.
    pub config_epoch: AtomicU64,
    /// Replicas in the chain.
    pub chain_length: AtomicU64,
    /// Routers that are members.
    pub members: AtomicU64,
    /// Open connections at all listeners.
    pub connections: AtomicU64,
    /// Bytes held for requests, answers and messages.
    pub content_bytes: AtomicU64,
    /// Connections closed unread since the process started, as there was no place for them.
    pub refused_connections: AtomicU64,
    /// Connections closed since the process started to make room for others.
    pub evicted_connections: AtomicU64,
    /// Requests and messages since the process started for which there was no memory.
    pub refused_memory: AtomicU64,
}

impl Metrics {
    /// Counts one event.
    pub(crate) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets a gauge, or a counter that is kept elsewhere.
    pub(crate) fn set(gauge: &AtomicU64, value: u64) {
        gauge.store(value, Ordering::Relaxed);
    }

    /// Takes over what the budget of the process counts.
    pub(crate) fn set_budget(&self, usage: &BudgetUsage) {
        Self::set(&self.connections, usage.connections);
        Self::set(&self.content_bytes, usage.content_bytes);
        Self::set(&self.refused_connections, usage.refused_connections);
        Self::set(&self.evicted_connections, usage.evicted_connections);
        Self::set(&self.refused_memory, usage.refused_memory);
    }

    /// The metrics in the exposition format, in a fixed order.
    pub(crate) fn render(&self) -> String {
        let rows = [
            (
                "controller_http_requests_total",
                "counter",
                &self.http_requests,
            ),
            ("controller_disk_writes_total", "counter", &self.disk_writes),
            ("controller_disk_faults_total", "counter", &self.disk_faults),
            ("controller_polls_total", "counter", &self.polls),
            ("controller_view_epoch", "gauge", &self.view_epoch),
            ("controller_config_epoch", "gauge", &self.config_epoch),
            ("controller_chain_length", "gauge", &self.chain_length),
            ("controller_members", "gauge", &self.members),
            ("controller_connections", "gauge", &self.connections),
            ("controller_content_bytes", "gauge", &self.content_bytes),
            (
                "controller_refused_connections_total",
                "counter",
                &self.refused_connections,
            ),
            (
                "controller_evicted_connections_total",
                "counter",
                &self.evicted_connections,
            ),
            (
                "controller_refused_memory_total",
                "counter",
                &self.refused_memory,
            ),
        ];
        let render_row = |(name, kind, value): (&str, &str, &AtomicU64)| {
            let value = value.load(Ordering::Relaxed);
            format!("# TYPE {name} {kind}\n{name} {value}\n")
        };
        rows.into_iter().map(render_row).collect()
    }
}
