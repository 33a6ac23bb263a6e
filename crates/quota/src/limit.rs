use crate::amount::Amount;
use types::{Milliseconds, messages};

messages! {
    /// The limit of a tenant's requests or tokens.
    #[derive(Copy, Default, Eq)]
    pub struct QuotaLimit {
        /// The rate per second.
        pub rate: Amount,
        /// What is allowed at once beyond the rate.
        pub burst: Amount,
    }
}

/// How far a limit may be exceeded over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaBounds {
    /// The length of the window: the bound holds in any span of this length.
    pub window: Milliseconds,
    /// The excess allowed, in percent of what the limit allows in a window.
    pub excess_percent: u64,
    /// The units allowed beyond that.
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
    /// What the limit alone allows in a window.
    pub fn allowed(&self, limit: &QuotaLimit) -> Amount {
        limit.rate.over(self.window).plus(limit.burst)
    }

    /// The excess over the limit that is allowed in a window.
    pub fn slack(&self, limit: &QuotaLimit) -> Amount {
        self.allowed(limit)
            .part(self.excess_percent, 100)
            .plus(Amount::units(self.tolerance))
    }

    /// How long after the request for it credit may be spent. Shorter than a window, so that credit under a former
    /// limit has expired before a lower limit binds.
    pub fn credit_lifetime(&self) -> Milliseconds {
        Milliseconds(self.window.0 / 2)
    }
}
