use crate::amount::Amount;
use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant};

/// What was spent within the last window, by slots of time.
#[derive(Debug, Clone)]
pub(super) struct SpentWindow {
    slot: Milliseconds,
    /// The amounts by the number of the slot, the oldest slot first.
    slots: VecDeque<(u64, Amount)>,
}

/// The number of slots of a window.
const SLOTS: u64 = 128;

impl SpentWindow {
    pub(super) fn new(window: Milliseconds) -> Self {
        SpentWindow {
            slot: Milliseconds((window.0 / SLOTS).max(1)),
            slots: VecDeque::new(),
        }
    }

    fn slot_number(&self, at: MonotonicInstant) -> u64 {
        at.0 / self.slot.0
    }

    /// Records what was spent at a time, which may be earlier than that of other records.
    pub(super) fn record(&mut self, at: MonotonicInstant, amount: Amount) {
        let number = self.slot_number(at);
        let index = self.slots.partition_point(|(known, _)| *known < number);
        match self.slots.get_mut(index) {
            Some((known, sum)) if *known == number => *sum = sum.plus(amount),
            _ => self.slots.insert(index, (number, amount)),
        }
    }

    /// Drops the slots that are older than a window as a whole.
    pub(super) fn drop_old_slots(&mut self, now: MonotonicInstant) {
        let newest = self.slot_number(now);
        while self
            .slots
            .front()
            .is_some_and(|(number, _)| number + SLOTS < newest)
        {
            self.slots.pop_front();
        }
    }

    /// What was spent within the window that ends now.
    pub(super) fn sum(&self, now: MonotonicInstant) -> Amount {
        let oldest = self.slot_number(now).saturating_sub(SLOTS - 1);
        self.slots
            .iter()
            .filter(|(number, _)| *number >= oldest)
            .fold(Amount::NONE, |sum, (_, spent)| sum.plus(*spent))
    }

    /// How much less was spent than `at_once` and `rate` allow, in thousandths of a unit: the minimum over all spans
    /// that end now. Negative if more was spent.
    pub(super) fn headroom(&self, now: MonotonicInstant, at_once: Amount, rate: Amount) -> i128 {
        let mut spent = Amount::NONE;
        let mut headroom = i128::from(at_once.thousandths);
        for (number, amount) in self.slots.iter().rev() {
            spent = spent.plus(*amount);
            // What was spent in a slot may have been spent at its end.
            let span = now.since(MonotonicInstant((number + 1) * self.slot.0));
            let allowed = at_once.plus(rate.over(span));
            let left = i128::from(allowed.thousandths) - i128::from(spent.thousandths);
            headroom = headroom.min(left);
        }
        headroom
    }
}
