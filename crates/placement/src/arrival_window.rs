//! Sliding-window counts of prefix arrivals.
//!
//! Source: "the same Y-block-length prefix arrives X times within Z seconds" (BTB, docs/provenance.md).

use crate::sketch::{HotPrefix, PrefixHash};
use std::collections::{BTreeMap, VecDeque};
use types::{Milliseconds, MonotonicInstant};

/// Counts arrivals of prefixes within a sliding window.
///
/// Invariant: each queue holds moments in order, none older than the window when last looked at.
#[derive(Debug, Clone, Default)]
pub struct ArrivalWindow {
    arrivals: BTreeMap<PrefixHash, VecDeque<MonotonicInstant>>,
}

impl ArrivalWindow {
    /// Records an arrival of a prefix; `span` is the window in ms.
    pub fn arrive(&mut self, prefix: PrefixHash, now: MonotonicInstant, span: Milliseconds) {
        let queue = self.arrivals.entry(prefix).or_default();
        queue.push_back(now);
        expire(queue, now, span);
        // More would not change any decision, and a crowd must not cost memory.
        if queue.len() > 1024 {
            queue.pop_front();
        }
    }
    /// Returns the arrivals of a prefix within the window of `span` ms.
    pub fn count(&self, prefix: PrefixHash, now: MonotonicInstant, span: Milliseconds) -> u32 {
        let queue = self.arrivals.get(&prefix);
        queue.map_or(0, |queue| {
            queue.iter().filter(|at| now.since(**at) < span).count() as u32
        })
    }
    /// Returns the prefixes with the most arrivals within the window, most first.
    pub fn hottest(
        &mut self,
        now: MonotonicInstant,
        span: Milliseconds,
        most: usize,
    ) -> Vec<HotPrefix> {
        self.arrivals.retain(|_, queue| {
            expire(queue, now, span);
            !queue.is_empty()
        });
        let mut hot: Vec<HotPrefix> = self
            .arrivals
            .iter()
            .map(|(prefix, queue)| HotPrefix {
                prefix: *prefix,
                count: queue.len() as u32,
            })
            .collect();
        hot.sort_by(|a, b| b.count.cmp(&a.count).then(a.prefix.cmp(&b.prefix)));
        hot.truncate(most);
        hot
    }
}

fn expire(queue: &mut VecDeque<MonotonicInstant>, now: MonotonicInstant, span: Milliseconds) {
    while queue.front().is_some_and(|at| now.since(*at) >= span) {
        queue.pop_front();
    }
}

#[cfg(test)]
mod tests;
