//! When a process that was told to stop takes less.

use super::*;
use crate::settings::Settings;
use config::read_settings;
use types::MonotonicInstant;

fn schedule(linger_ms: u64, drain_ms: u64, has_calls: bool) -> DrainSchedule {
    let defaults = read_settings::<Settings>(None).expect("defaults");
    DrainSchedule::new(
        MonotonicInstant(100_000),
        &Settings {
            linger_ms,
            drain_ms,
            ..defaults
        },
        has_calls,
    )
}

#[test]
fn a_process_told_to_stop_takes_less_and_less() {
    let found = schedule(1000, 6000, true);
    assert_eq!(
        (found.short_from, found.none_from, found.end),
        (
            MonotonicInstant(101_000),
            MonotonicInstant(105_000),
            MonotonicInstant(107_000)
        )
    );
    assert_eq!(found.quiet_from, MonotonicInstant(102_500));
}

/// Nobody knows how long a request of the product's own interface lasts.
#[test]
fn without_deadlines_nothing_is_taken_after_the_lingering() {
    let found = schedule(1500, 60_000, false);
    assert_eq!(
        (found.short_from, found.none_from, found.end),
        (
            MonotonicInstant(101_500),
            MonotonicInstant(101_500),
            MonotonicInstant(161_500)
        )
    );
}
