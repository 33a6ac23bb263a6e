//! How long a request may have waited unread because this process was suspended.
//!
//! A process that is stopped for seconds finds requests in its sockets whose clients have given up meanwhile, and
//! nothing tells when they came. The control thread shows by its events that the process runs; a long gap between two
//! of them is a suspension, and what is read right after it may have come at any time within it.

use std::sync::atomic::{AtomicU64, Ordering};
use types::{Clock, Milliseconds, MonotonicInstant};

/// A gap of at least this length between two events of the control thread means that the process was suspended.
const MIN_SUSPENSION: Milliseconds = Milliseconds(1000);
/// Requests that came during a suspension are read within this after it.
const BACKLOG_SPAN: Milliseconds = Milliseconds(500);

/// The last suspension of this process. The control thread writes it, and the threads that read requests read it.
#[derive(Debug)]
pub(crate) struct SuspensionMonitor {
    /// The last event of the control thread.
    last_running: AtomicU64,
    suspended_at: AtomicU64,
    resumed_at: AtomicU64,
}

impl SuspensionMonitor {
    /// A monitor of a process whose control thread runs now.
    pub(crate) fn new() -> Self {
        SuspensionMonitor::last_running_at(Clock::now())
    }

    /// A monitor of a process without a control thread, which always counts as running.
    pub(crate) fn without_control_thread() -> Self {
        SuspensionMonitor::last_running_at(MonotonicInstant(u64::MAX))
    }

    fn last_running_at(last_running: MonotonicInstant) -> Self {
        SuspensionMonitor {
            last_running: AtomicU64::new(last_running.0),
            suspended_at: AtomicU64::new(0),
            resumed_at: AtomicU64::new(0),
        }
    }

    /// The control thread handles an event.
    pub(crate) fn record_running(&self, now: MonotonicInstant) {
        let last_running = MonotonicInstant(self.last_running.load(Ordering::SeqCst));
        if now.since(last_running) >= MIN_SUSPENSION {
            self.record_suspension(last_running, now);
        }
        // Last: whoever sees it sees the suspension before it, too.
        self.last_running.store(now.0, Ordering::SeqCst);
    }

    /// Requests that came from `suspended_at` on were not read until `resumed_at`.
    pub(crate) fn record_suspension(
        &self,
        suspended_at: MonotonicInstant,
        resumed_at: MonotonicInstant,
    ) {
        self.suspended_at.store(suspended_at.0, Ordering::SeqCst);
        self.resumed_at.store(resumed_at.0, Ordering::SeqCst);
    }

    /// The earliest instant at which a request can have come that is read now.
    pub(crate) fn earliest_arrival(&self, now: MonotonicInstant) -> MonotonicInstant {
        let last_running = MonotonicInstant(self.last_running.load(Ordering::SeqCst));
        if now.since(last_running) >= MIN_SUSPENSION {
            // The control thread has not found out yet.
            return last_running;
        }
        let resumed_at = MonotonicInstant(self.resumed_at.load(Ordering::SeqCst));
        if resumed_at > MonotonicInstant(0) && now.since(resumed_at) < BACKLOG_SPAN {
            return MonotonicInstant(self.suspended_at.load(Ordering::SeqCst)).min(now);
        }
        now
    }
}

#[cfg(test)]
mod tests;
