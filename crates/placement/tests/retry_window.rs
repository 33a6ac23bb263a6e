//! One node's repeats in each sliding window.

use placement::RetryWindow;
use types::{Milliseconds, MonotonicInstant};

#[test]
fn no_window_has_more_than_its_bound_and_a_new_life_begins_without_the_extra() {
    let window = Milliseconds::seconds(10);
    let mut node = RetryWindow::new(MonotonicInstant(0));
    let mut made = vec![];
    for at in (0..60_000).step_by(50) {
        let now = MonotonicInstant(at);
        if at % 200 == 0 {
            node.place(false, now, window);
        }
        if node.check(20, 6, now, window).is_ok() {
            node.place(true, now, window);
            made.push(at);
        }
    }
    for end in (0..70_000).step_by(50) {
        let within = made
            .iter()
            .filter(|at| **at <= end && end - **at < 10_000)
            .count();
        let bound = if end < 10_000 { 8 } else { 12 };
        assert!(
            within <= bound,
            "{within} repeats within the window up to {end}"
        );
    }
    assert!(made.len() >= 50, "{} repeats in a minute", made.len());
}

#[test]
fn a_part_that_grows_counts_after_a_window_and_one_that_shrinks_at_once() {
    let window = Milliseconds::seconds(10);
    let mut node = RetryWindow::new(MonotonicInstant(0));
    assert!(node.check(20, 10, MonotonicInstant(9999), window).is_err());
    assert!(node.check(20, 10, MonotonicInstant(10_000), window).is_ok());
    (0..8).for_each(|_| node.place(true, MonotonicInstant(10_000), window));
    for (at, part, may) in [
        (10_001, 10, false),
        (10_002, 20, false),
        (19_999, 20, false),
        (20_002, 20, true),
        (20_003, 0, false),
    ] {
        assert_eq!(
            node.check(20, part, MonotonicInstant(at), window).is_ok(),
            may,
            "at {at}"
        );
    }
}
