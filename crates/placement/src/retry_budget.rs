use types::{Milliseconds, MonotonicInstant};

/// What one node may spend on repeats of one service.
///
/// Invariant: over any time in a life, no more is spent than the requests placed in it earned, this node's
/// part of the fleet's allowance for that time, and what was saved up before, which is bounded. A new
/// life has nothing, so that restarts bring nothing. Counted in thousandths of a repeat.
#[derive(Debug, Clone, Copy)]
pub struct RetryBudget {
    saved: u64,
    dripped: MonotonicInstant,
}

const ONE: u64 = 1000;
/// Milliseconds in which a part of one repeat a minute gives a thousandth.
const EACH: u64 = 60_000 / ONE;

impl RetryBudget {
    /// At the start of a life.
    pub fn new(now: MonotonicInstant) -> Self {
        RetryBudget {
            saved: 0,
            dripped: now,
        }
    }
    /// A request was placed for the first time: it earns this many percent of a repeat.
    pub fn earn(&mut self, percent: u32, part: u32) {
        self.add(u64::from(percent) * ONE / 100, part);
    }
    /// Time goes by: `part` is this node's part of the fleet's allowance a minute.
    pub fn drip(&mut self, part: u32, now: MonotonicInstant) {
        let deadline = now.since(self.dripped).0 * u64::from(part) / EACH;
        if part == 0 || deadline > 0 {
            // What is less than a thousandth waits for the next time.
            self.dripped = if part == 0 {
                now
            } else {
                self.dripped + Milliseconds(deadline * EACH / u64::from(part))
            };
            self.add(deadline, part);
        }
    }
    /// Whether a repeat may be made.
    pub fn has_one(&self) -> bool {
        self.saved >= ONE
    }
    /// A repeat was made.
    pub fn spend(&mut self) {
        self.saved = self.saved.saturating_sub(ONE);
    }
    /// A repeat reached no server.
    pub fn give_back(&mut self, part: u32) {
        self.add(ONE, part);
    }
    /// A request that earned reached no server.
    pub fn unearn(&mut self, percent: u32) {
        self.saved = self.saved.saturating_sub(u64::from(percent) * ONE / 100);
    }

    fn add(&mut self, thousandths: u64, part: u32) {
        self.saved = (self.saved + thousandths).min(ONE + u64::from(part) * ONE);
    }
}

#[cfg(test)]
mod tests;
