use crate::prelude::*;
use std::collections::VecDeque;

/// One node's repeats of one service, bounded in each sliding window.
///
/// Invariant: in no window does this life make more repeats than four fifths of (`percent` of the orders
/// that it placed for the first time in that window, and its part of the fleet's extra). A life has no part
/// of the extra until a window has passed: what a former life spent is then out of sight.
#[derive(Debug, Clone)]
pub struct RepeatWindow {
    begun: Moment,
    /// With whether it was a repeat.
    arrivals: VecDeque<(Moment, bool)>,
    repeats: u32,
}

impl RepeatWindow {
    /// At the start of a life.
    pub fn new(now: Moment) -> Self {
        RepeatWindow { begun: now, arrivals: VecDeque::new(), repeats: 0 }
    }
    /// An order went to a server.
    pub fn place(&mut self, is_repeat: bool, now: Moment, window: Span) {
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
    pub fn check(&mut self, percent: u32, part: u32, now: Moment, window: Span) -> Result<(), Span> {
        self.expire(now, window);
        let firsts = self.arrivals.len() as u64 - u64::from(self.repeats);
        let extra = if now.since(self.begun) >= window { u64::from(part) } else { 0 };
        // In hundredths of a repeat.
        let most = (firsts * u64::from(percent) + extra * 100) * 4 / 5;
        if (u64::from(self.repeats) + 1) * 100 <= most {
            return Ok(());
        }
        let oldest = self.arrivals.iter().find(|(_, is_repeat)| *is_repeat);
        Err(oldest.map_or(window, |(at, _)| now.until(*at + window)))
    }

    fn expire(&mut self, now: Moment, window: Span) {
        while let Some((at, is_repeat)) = self.arrivals.front().copied()
            && now.since(at) >= window
        {
            self.arrivals.pop_front();
            self.repeats -= u32::from(is_repeat);
        }
    }
}
