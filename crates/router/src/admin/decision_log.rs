use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Lines that can be read from a cursor on, the newest some thousand of them.
///
/// Invariant: each line has a number, from 1 without gaps; what is no more kept is told as a gap,
/// never left out silently.
pub struct DecisionLog {
    lines: Mutex<ConnectionPool>,
    update: Condvar,
    capacity: usize,
}

struct ConnectionPool {
    first: u64,
    retained: VecDeque<String>,
}

impl DecisionLog {
    /// Keeps this many lines.
    pub fn new(capacity: usize) -> Self {
        DecisionLog {
            lines: Mutex::new(ConnectionPool {
                first: 1,
                retained: VecDeque::new(),
            }),
            update: Condvar::new(),
            capacity,
        }
    }
    /// Adds a line; `write` is given its number.
    pub fn add(&self, write: impl FnOnce(u64) -> String) {
        let mut lines = self.lines.lock().expect("no thread panics with it");
        let number = lines.first + lines.retained.len() as u64;
        lines.retained.push_back(write(number));
        if lines.retained.len() > self.capacity {
            lines.retained.pop_front();
            lines.first += 1;
        }
        self.update.notify_all();
    }
    /// Lines after this number, after waiting at most `patience` for one, and the new cursor.
    pub fn after(&self, cursor: u64, max_lines: usize, timeout: Duration) -> (Vec<String>, u64) {
        let deadline = Instant::now() + timeout;
        let mut lines = self.lines.lock().expect("no thread panics with it");
        loop {
            let next = lines.first + lines.retained.len() as u64;
            // A cursor from before a restart may be ahead; what it saw is not what is here.
            let is_ahead = cursor >= next;
            let left = deadline.saturating_duration_since(Instant::now());
            if cursor + 1 < next || is_ahead || left.is_zero() {
                break;
            }
            lines = self
                .update
                .wait_timeout(lines, left)
                .expect("no thread panics with it")
                .0;
        }
        let next = lines.first + lines.retained.len() as u64;
        let mut found = vec![];
        let mut start = cursor + 1;
        if start < lines.first || start > next {
            let gap = serde_json::json!({"gap": {"after": cursor, "next": lines.first}});
            found.push(gap.to_string());
            start = lines.first;
        }
        let skipped = (start - lines.first) as usize;
        found.extend(lines.retained.iter().skip(skipped).take(max_lines).cloned());
        let taken = lines.retained.len().saturating_sub(skipped).min(max_lines) as u64;
        (found, start + taken - 1)
    }
}

#[cfg(test)]
mod tests;
