//! Time: instants of the monotonic clock and durations, both in whole milliseconds, in forms that
//! can be stored and sent.

use std::ops::{Add, Sub};
use std::time::Duration;

/// An instant of this machine's monotonic clock, in milliseconds since boot; time in which the
/// machine is suspended counts.
///
/// Invariant: only compared with instants of the same machine since the same boot. Wall clock time
/// is never turned into one, so a jump of the wall clock decides nothing.
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

/// A duration in whole milliseconds.
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

/// The clock that [`MonotonicInstant`] belongs to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock;

impl Clock {
    /// The present instant, from `CLOCK_BOOTTIME`, which goes on while the machine is suspended.
    pub fn now() -> MonotonicInstant {
        let reading = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        MonotonicInstant(reading.tv_sec as u64 * 1000 + reading.tv_nsec as u64 / 1_000_000)
    }
}

impl MonotonicInstant {
    /// The time since `earlier`; zero if that is still to come.
    pub fn since(self, earlier: MonotonicInstant) -> Milliseconds {
        Milliseconds(self.0.saturating_sub(earlier.0))
    }
    /// The time until `deadline`; zero if that has passed.
    pub fn until(self, deadline: MonotonicInstant) -> Milliseconds {
        deadline.since(self)
    }
}

impl Milliseconds {
    /// The same duration as the standard library's type.
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
    /// A duration of so many seconds.
    pub const fn seconds(count: u64) -> Milliseconds {
        Milliseconds(count * 1000)
    }
}

impl Add<Milliseconds> for MonotonicInstant {
    type Output = MonotonicInstant;
    fn add(self, duration: Milliseconds) -> MonotonicInstant {
        MonotonicInstant(self.0.saturating_add(duration.0))
    }
}

impl Sub<Milliseconds> for MonotonicInstant {
    type Output = MonotonicInstant;
    fn sub(self, duration: Milliseconds) -> MonotonicInstant {
        MonotonicInstant(self.0.saturating_sub(duration.0))
    }
}
