use types::{Milliseconds, messages};

messages! {
    /// An amount of requests or tokens, in thousandths. All arithmetic saturates.
    #[derive(Copy, Default, Eq, PartialOrd, Ord, serde::Serialize)]
    pub struct Amount {
        /// The thousandths of a unit.
        pub thousandths: u64,
    }
}

impl Amount {
    /// The amount of 0.
    pub const NONE: Amount = Amount { thousandths: 0 };

    /// An amount of whole units.
    pub fn units(units: u64) -> Amount {
        Amount {
            thousandths: units.saturating_mul(1000),
        }
    }

    /// An amount of units, rounded down to thousandths; 0 if `units` is negative.
    pub fn fraction(units: f64) -> Amount {
        Amount {
            thousandths: (units.max(0.0) * 1000.0) as u64,
        }
    }

    /// Whether the amount is 0.
    pub fn is_none(self) -> bool {
        self == Amount::NONE
    }

    /// The sum of two amounts.
    pub fn plus(self, other: Amount) -> Amount {
        Amount {
            thousandths: self.thousandths.saturating_add(other.thousandths),
        }
    }

    /// The difference of two amounts; 0 if the other is larger.
    pub fn less(self, other: Amount) -> Amount {
        Amount {
            thousandths: self.thousandths.saturating_sub(other.thousandths),
        }
    }

    /// The amount times `numerator`, divided by `denominator` and rounded down. A denominator of 0 counts as 1.
    pub fn part(self, numerator: u64, denominator: u64) -> Amount {
        let part =
            u128::from(self.thousandths) * u128::from(numerator) / u128::from(denominator.max(1));
        Amount {
            thousandths: u64::try_from(part).unwrap_or(u64::MAX),
        }
    }

    /// What accrues in `span` if the amount is a rate per second.
    pub fn over(self, span: Milliseconds) -> Amount {
        self.part(span.0, 1000)
    }

    /// How long the amount takes to accrue at a rate per second, rounded down to milliseconds. A rate of 0 counts
    /// as a thousandth.
    pub fn time_at(self, rate: Amount) -> Milliseconds {
        let milliseconds =
            u128::from(self.thousandths) * 1000 / u128::from(rate.thousandths.max(1));
        Milliseconds(u64::try_from(milliseconds).unwrap_or(u64::MAX))
    }
}
