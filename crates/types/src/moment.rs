use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on this machine's monotonic clock, in milliseconds; suspended time counts.
///
/// Invariant: only compared with moments of the same machine since the same boot. Wall clock
/// time is never turned into one, so a jump of the wall clock decides nothing.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct MonotonicInstant(pub u64);

/// A length of time in milliseconds.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Milliseconds(pub u64);

/// Reads the clock that moments are on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// Now, from `CLOCK_BOOTTIME`: it goes on while the machine is suspended.
    pub fn now() -> MonotonicInstant {
        let reading = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        MonotonicInstant(reading.tv_sec as u64 * 1000 + reading.tv_nsec as u64 / 1_000_000)
    }
}

impl MonotonicInstant {
    /// How long ago `earlier` was; zero if it's still to come.
    pub fn since(self, earlier: MonotonicInstant) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }
    /// How long until `deadline`; zero if it has passed.
    pub fn until(self, deadline: MonotonicInstant) -> Milliseconds {
        deadline.since(self)
    }
}

impl Milliseconds {
    /// As the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
    /// This many seconds.
    pub const fn seconds(count: u64) -> Milliseconds {
        Milliseconds(count * 1000)
    }
}

impl Add<Milliseconds> for MonotonicInstant {
    type Output = MonotonicInstant;
    fn add(self, span: Milliseconds) -> MonotonicInstant {
        MonotonicInstant(self.0.saturating_add(span.0))
    }
}

impl Sub<Milliseconds> for MonotonicInstant {
    type Output = MonotonicInstant;
    fn sub(self, span: Milliseconds) -> MonotonicInstant {
        MonotonicInstant(self.0.saturating_sub(span.0))
    }
}
