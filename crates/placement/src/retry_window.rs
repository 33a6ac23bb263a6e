use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant};

/// One node's repeats of one service, bounded in each sliding window.
///
/// Invariant: whenever a repeat is made, the window that ends with it holds no more repeats of this life than
/// four fifths of (`percent` of the requests that it placed for the first time in that window, and its part of
/// the fleet's extra). A part that grows, also from nothing at the start of a life, counts only after a window:
/// until then, what a former life or a member that is gone spent of it is still in sight.
#[derive(Debug, Clone)]
pub struct RetryWindow {
    part: u32,
    /// Since when the part is to grow.
    grows_from: Option<MonotonicInstant>,
    /// With whether it was a repeat.
    arrivals: VecDeque<(MonotonicInstant, bool)>,
    repeats: u32,
}

impl RetryWindow {
    /// At the start of a life.
    pub fn new(now: MonotonicInstant) -> Self {
        RetryWindow {
            part: 0,
            grows_from: Some(now),
            arrivals: VecDeque::new(),
            repeats: 0,
        }
    }
    /// A request went to a server.
    pub fn place(&mut self, is_repeat: bool, now: MonotonicInstant, window: Milliseconds) {
        self.expire(now, window);
        self.arrivals.push_back((now, is_repeat));
        self.repeats += u32::from(is_repeat);
    }
    /// It reached none.
    pub fn unplace(&mut self, is_repeat: bool) {
        if let Some(place) = self.arrivals.iter().rposition(|(_, was)| *was == is_repeat) {
            self.arrivals.remove(place);
            self.repeats -= u32::from(is_repeat);
        }
    }
    /// Whether a repeat may be made; else when one may be, if nothing more comes.
    pub fn check(
        &mut self,
        percent: u32,
        part: u32,
        now: MonotonicInstant,
        window: Milliseconds,
    ) -> Result<(), Milliseconds> {
        self.expire(now, window);
        let firsts = self.arrivals.len() as u64 - u64::from(self.repeats);
        let extra = u64::from(self.settle_part(part, now, window));
        // In hundredths of a repeat.
        let most = (firsts * u64::from(percent) + extra * 100) * 4 / 5;
        if (u64::from(self.repeats) + 1) * 100 <= most {
            return Ok(());
        }
        let oldest = self.arrivals.iter().find(|(_, is_repeat)| *is_repeat);
        Err(oldest.map_or(window, |(at, _)| now.until(*at + window)))
    }

    /// The part that counts now where the fleet's members make it this.
    fn settle_part(&mut self, part: u32, now: MonotonicInstant, window: Milliseconds) -> u32 {
        if part <= self.part || now.since(*self.grows_from.get_or_insert(now)) >= window {
            (self.part, self.grows_from) = (part, None);
        }
        self.part
    }

    fn expire(&mut self, now: MonotonicInstant, window: Milliseconds) {
        while let Some((at, is_repeat)) = self.arrivals.front().copied()
            && now.since(at) >= window
        {
            self.arrivals.pop_front();
            self.repeats -= u32::from(is_repeat);
        }
    }
}
