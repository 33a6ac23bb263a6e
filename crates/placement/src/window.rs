use crate::sketch::{Hot, PrefixHash};
use std::collections::{BTreeMap, VecDeque};
use types::{Moment, Span};

/// Counts arrivals of prefixes within a sliding window.
///
/// Invariant: each queue holds moments in order, none older than the window when last looked at.
#[derive(Debug, Clone, Default)]
pub struct Window {
    arrivals: BTreeMap<PrefixHash, VecDeque<Moment>>,
}

impl Window {
    /// A prompt with this prefix came.
    pub fn arrive(&mut self, prefix: PrefixHash, now: Moment, span: Span) {
        let queue = self.arrivals.entry(prefix).or_default();
        queue.push_back(now);
        expire(queue, now, span);
        // More would not change any decision, and a crowd must not cost memory.
        if queue.len() > 1024 {
            queue.pop_front();
        }
    }
    /// How many came within the window.
    pub fn count(&self, prefix: PrefixHash, now: Moment, span: Span) -> u32 {
        let queue = self.arrivals.get(&prefix);
        queue.map_or(0, |queue| {
            queue.iter().filter(|at| now.since(**at) < span).count() as u32
        })
    }
    /// The hottest ones, most first.
    pub fn hottest(&mut self, now: Moment, span: Span, most: usize) -> Vec<Hot> {
        self.arrivals.retain(|_, queue| {
            expire(queue, now, span);
            !queue.is_empty()
        });
        let mut hot: Vec<Hot> = self
            .arrivals
            .iter()
            .map(|(prefix, queue)| Hot {
                prefix: *prefix,
                count: queue.len() as u32,
            })
            .collect();
        hot.sort_by(|a, b| b.count.cmp(&a.count).then(a.prefix.cmp(&b.prefix)));
        hot.truncate(most);
        hot
    }
}

fn expire(queue: &mut VecDeque<Moment>, now: Moment, span: Span) {
    while queue.front().is_some_and(|at| now.since(*at) >= span) {
        queue.pop_front();
    }
}

#[cfg(test)]
mod tests;
