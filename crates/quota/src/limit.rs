use types::{Milliseconds, messages};

messages! {
    /// Requests or tokens, in thousandths.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, serde::Serialize)]
    pub struct Amount {
        /// How many thousandths.
        pub thousandths: u64,
    }

    /// What a tenant may send.
    #[derive(Copy, Default, Eq)]
    pub struct QuotaLimit {
        /// A second.
        pub rate: Amount,
        /// Above that, at once.
        pub burst: Amount,
    }
}

impl Amount {
    /// Nothing.
    pub const NONE: Amount = Amount { thousandths: 0 };

    /// So many whole units.
    pub fn units(units: u64) -> Amount {
        Amount {
            thousandths: units.saturating_mul(1000),
        }
    }
    /// So many units, rounded to thousandths; what is below nothing is nothing.
    pub fn fraction(units: f64) -> Amount {
        Amount {
            thousandths: (units.max(0.0) * 1000.0) as u64,
        }
    }
    /// Whether it is nothing.
    pub fn is_none(self) -> bool {
        self == Amount::NONE
    }
    /// Both.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            thousandths: self.thousandths.saturating_add(other.thousandths),
        }
    }
    /// What is left of it.
    pub fn less(self, other: Amount) -> Amount {
        Amount {
            thousandths: self.thousandths.saturating_sub(other.thousandths),
        }
    }
    /// A part of it.
    pub fn part(self, numerator: u64, denominator: u64) -> Amount {
        let part =
            u128::from(self.thousandths) * u128::from(numerator) / u128::from(denominator.max(1));
        Amount {
            thousandths: u64::try_from(part).unwrap_or(u64::MAX),
        }
    }
    /// What comes in so long, if this comes in a second.
    pub fn over(self, span: Milliseconds) -> Amount {
        self.part(span.0, 1000)
    }
    /// How long this takes at so much a second.
    pub fn time_at(self, rate: Amount) -> Milliseconds {
        let milliseconds =
            u128::from(self.thousandths) * 1000 / u128::from(rate.thousandths.max(1));
        Milliseconds(u64::try_from(milliseconds).unwrap_or(u64::MAX))
    }
}

/// By how much quotas may be exceeded, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaBounds {
    /// Any span of this length counts.
    pub window: Milliseconds,
    /// In percent of what a window may hold.
    pub excess_percent: u64,
    /// Units beyond that.
    pub tolerance: u64,
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds {
            window: Milliseconds::seconds(8),
            excess_percent: 10,
            tolerance: 1,
        }
    }
}

impl QuotaBounds {
    /// What a window may hold by the limit alone.
    pub fn allowed(&self, limit: &QuotaLimit) -> Amount {
        limit.rate.over(self.window).plus(limit.burst)
    }
    /// What it may hold beyond that.
    pub fn slack(&self, limit: &QuotaLimit) -> Amount {
        self.allowed(limit)
            .part(self.excess_percent, 100)
            .plus(Amount::units(self.tolerance))
    }
    /// Credit is spent within this after it was asked for, or never. Shorter than a window, so that credit under
    /// a former limit is gone before a lower one binds.
    pub fn credit_life(&self) -> Milliseconds {
        Milliseconds(self.window.0 / 2)
    }
}
