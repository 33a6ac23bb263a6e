use std::collections::VecDeque;
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

/// Lines that can be read from a cursor on, the newest some thousand of them.
///
/// Invariant: each line has a number, from 1 without gaps; what is no more kept is told as a gap,
/// never left out silently.
pub struct Journal {
    lines: Mutex<ConnectionPool>,
    update: Condvar,
    bound: usize,
}

struct ConnectionPool {
    first: u64,
    kept: VecDeque<String>,
}

impl Journal {
    /// Keeps this many lines.
    pub fn new(bound: usize) -> Self {
        Journal {
            lines: Mutex::new(ConnectionPool {
                first: 1,
                kept: VecDeque::new(),
            }),
            update: Condvar::new(),
            bound,
        }
    }
    /// Adds a line; `write` is given its number.
    pub fn add(&self, write: impl FnOnce(u64) -> String) {
        let mut lines = self.lines.lock().expect("no thread panics with it");
        let number = lines.first + lines.kept.len() as u64;
        lines.kept.push_back(write(number));
        if lines.kept.len() > self.bound {
            lines.kept.pop_front();
            lines.first += 1;
        }
        self.update.notify_all();
    }
    /// Lines after this number, after waiting at most `patience` for one, and the new cursor.
    pub fn after(&self, cursor: u64, most: usize, patience: Duration) -> (Vec<String>, u64) {
        let deadline = Instant::now() + patience;
        let mut lines = self.lines.lock().expect("no thread panics with it");
        loop {
            let next = lines.first + lines.kept.len() as u64;
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
        let next = lines.first + lines.kept.len() as u64;
        let mut found = vec![];
        let mut start = cursor + 1;
        if start < lines.first || start > next {
            let gap = serde_json::json!({"gap": {"after": cursor, "next": lines.first}});
            found.push(gap.to_string());
            start = lines.first;
        }
        let skipped = (start - lines.first) as usize;
        found.extend(lines.kept.iter().skip(skipped).take(most).cloned());
        let taken = lines.kept.len().saturating_sub(skipped).min(most) as u64;
        (found, start + taken - 1)
    }
}

#[cfg(test)]
mod tests;
