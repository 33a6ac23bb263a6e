use super::{HAND_OVER_TIMEOUT, Shutdown};
use types::{Milliseconds, MonotonicInstant};

const START: MonotonicInstant = MonotonicInstant(10_000);

fn handing_over() -> Shutdown {
    let mut shutdown = Shutdown::Running;
    shutdown.request(START);
    shutdown
}

#[test]
fn progress_means_nothing_before_the_signal() {
    let mut shutdown = Shutdown::Running;
    shutdown.on_progress(START, true);
    assert_eq!(shutdown, Shutdown::Running);
}

#[test]
fn a_completed_hand_over_ends_the_process_at_once() {
    let mut shutdown = handing_over();
    shutdown.on_progress(START, false);
    assert!(!shutdown.is_complete());
    shutdown.on_progress(START, true);
    assert!(shutdown.is_complete());
}

#[test]
fn the_hand_over_times_out_from_the_first_signal_on() {
    let mut shutdown = handing_over();
    let deadline = START + HAND_OVER_TIMEOUT;
    shutdown.request(deadline - Milliseconds(1));
    shutdown.on_progress(deadline - Milliseconds(1), false);
    assert!(!shutdown.is_complete());
    shutdown.on_progress(deadline, false);
    assert!(shutdown.is_complete());
    shutdown.request(deadline);
    assert!(shutdown.is_complete(), "a second signal restarts nothing");
}
