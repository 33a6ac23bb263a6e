//! What a budget has refused: counted each time, and logged at most once a second.

use ::resource_budget::Accounting;
use types::{Milliseconds, MonotonicInstant};

/// Between two log lines about the same kind of refusal, at least. A flood must not make the process write without end.
const LOG_PERIOD: Milliseconds = Milliseconds::seconds(1);

/// What a budget holds and has refused since the process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct BudgetUsage {
    /// Open connections at all listeners.
    pub connections: u64,
    /// Bytes held for requests and answers.
    pub content_bytes: u64,
    /// Connections that were closed unread.
    pub refused_connections: u64,
    /// Connections that gave way to others.
    pub evicted_connections: u64,
    /// Requests, answers or messages for which no memory was free.
    pub refused_memory: u64,
}

/// What was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Refusal {
    /// A place for a connection.
    Connection,
    /// A place that was held until then.
    Evicted,
    /// Memory.
    Memory,
}

/// Refusals of one kind.
#[derive(Debug, Default)]
struct RefusalCount {
    total: u64,
    unlogged: u64,
    logged_at: Option<MonotonicInstant>,
}

impl RefusalCount {
    /// Counts; returns how many are to be logged now.
    fn record(&mut self, count: u64, now: MonotonicInstant) -> Option<u64> {
        self.total += count;
        self.unlogged += count;
        let may_log = self
            .logged_at
            .is_none_or(|logged_at| now.since(logged_at) >= LOG_PERIOD);
        if !may_log {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }
}

/// All refusals of a budget.
#[derive(Debug, Default)]
pub(super) struct RefusalLog {
    connections: RefusalCount,
    evicted: RefusalCount,
    memory: RefusalCount,
}

impl RefusalLog {
    /// Counts refusals at a listener, and logs them where it's time to.
    pub(super) fn record(
        &mut self,
        refusal: Refusal,
        listener: &'static str,
        count: usize,
        now: MonotonicInstant,
    ) {
        let counter = match refusal {
            Refusal::Connection => &mut self.connections,
            Refusal::Evicted => &mut self.evicted,
            Refusal::Memory => &mut self.memory,
        };
        let Some(count) = counter.record(count as u64, now) else {
            return;
        };
        match refusal {
            Refusal::Connection => {
                tracing::warn!(
                    listener,
                    count,
                    "budget: connections refused, no place is free"
                );
            }
            Refusal::Evicted => {
                tracing::warn!(listener, count, "budget: connections closed to make room");
            }
            Refusal::Memory => {
                tracing::warn!(listener, count, "budget: refused, no memory is free");
            }
        }
    }

    pub(super) fn usage(&self, accounting: &Accounting) -> BudgetUsage {
        BudgetUsage {
            connections: accounting.connections() as u64,
            content_bytes: accounting.bytes(),
            refused_connections: self.connections.total,
            evicted_connections: self.evicted.total,
            refused_memory: self.memory.total,
        }
    }
}
