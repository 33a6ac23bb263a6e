//! The retry budget by sliding window.
//!
//! Source: own, after the retry budgets of common proxies.

use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant};

/// One node's retries of one service, bounded in each sliding window.
///
/// Invariant: whenever a retry is made, the window that ends with it holds no more retries of this incarnation than
/// four fifths of (`percent` of the requests that it placed for the first time in that window, and its part of
/// the fleet's extra). A part that grows, also from nothing at the start of an incarnation, counts only after a window:
/// until then, what a former incarnation or a member that is gone spent of it is still in sight.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    part: u32,
    /// Since when the part is to grow.
    grows_from: Option<MonotonicInstant>,
    /// Each with whether it was a retry.
    arrivals: VecDeque<(MonotonicInstant, bool)>,
    retry_budgets: u32,
}

impl RetryWindow {
    /// Creates an empty window at the start of an incarnation.
    pub fn new(now: MonotonicInstant) -> Self {
        RetryWindow {
            part: 0,
            grows_from: Some(now),
            arrivals: VecDeque::new(),
            retry_budgets: 0,
        }
    }
    /// Records a request that went to a server; `window` is in ms.
    pub fn place(&mut self, is_retry: bool, now: MonotonicInstant, window: Milliseconds) {
        self.expire(now, window);
        self.arrivals.push_back((now, is_retry));
        self.retry_budgets += u32::from(is_retry);
    }
    /// Takes back the newest request of this kind: it reached no server.
    pub fn unplace(&mut self, is_retry: bool) {
        if let Some(place) = self.arrivals.iter().rposition(|(_, was)| *was == is_retry) {
            self.arrivals.remove(place);
            self.retry_budgets -= u32::from(is_retry);
        }
    }
    /// Checks that a retry may be made, by `percent` of first requests and `part`, this node's share of the extra.
    ///
    /// # Errors
    ///
    /// The time, in ms, after which one may be made if nothing more comes.
    pub fn check(
        &mut self,
        percent: u32,
        part: u32,
        now: MonotonicInstant,
        window: Milliseconds,
    ) -> Result<(), Milliseconds> {
        self.expire(now, window);
        let firsts = self.arrivals.len() as u64 - u64::from(self.retry_budgets);
        let extra = u64::from(self.effective_share(part, now, window));
        // In hundredths of a retry.
        let most = (firsts * u64::from(percent) + extra * 100) * 4 / 5;
        if (u64::from(self.retry_budgets) + 1) * 100 <= most {
            return Ok(());
        }
        let oldest = self.arrivals.iter().find(|(_, is_retry)| *is_retry);
        Err(oldest.map_or(window, |(at, _)| now.until(*at + window)))
    }

    /// The part that counts now where the fleet's members make it this.
    fn effective_share(&mut self, part: u32, now: MonotonicInstant, window: Milliseconds) -> u32 {
        if part <= self.part || now.since(*self.grows_from.get_or_insert(now)) >= window {
            (self.part, self.grows_from) = (part, None);
        }
        self.part
    }

    fn expire(&mut self, now: MonotonicInstant, window: Milliseconds) {
        while let Some((at, is_retry)) = self.arrivals.front().copied()
            && now.since(at) >= window
        {
            self.arrivals.pop_front();
            self.retry_budgets -= u32::from(is_retry);
        }
    }
}
