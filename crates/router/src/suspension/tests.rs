use super::*;

const START: MonotonicInstant = MonotonicInstant(50_000);

#[test]
fn a_request_that_a_running_process_reads_has_just_come() {
    let monitor = SuspensionMonitor::last_running_at(START);
    for step in 0..40 {
        let now = START + Milliseconds(step * 250);
        assert_eq!(monitor.earliest_arrival(now), now);
        monitor.record_running(now);
    }
}

#[test]
fn a_request_that_is_read_after_a_suspension_may_have_come_at_its_beginning() {
    let monitor = SuspensionMonitor::last_running_at(START);
    let resumed_at = START + Milliseconds(5000);
    assert_eq!(
        monitor.earliest_arrival(resumed_at),
        START,
        "also before the control thread has run"
    );
    monitor.record_running(resumed_at);
    assert_eq!(monitor.earliest_arrival(resumed_at), START);
    let later = resumed_at + Milliseconds(499);
    monitor.record_running(resumed_at + Milliseconds(250));
    monitor.record_running(later);
    assert_eq!(
        monitor.earliest_arrival(later),
        START,
        "the backlog is read"
    );
    let after = resumed_at + BACKLOG_SPAN;
    monitor.record_running(after);
    assert_eq!(monitor.earliest_arrival(after), after);
}

#[test]
fn without_a_control_thread_every_request_has_just_come() {
    let monitor = SuspensionMonitor::without_control_thread();
    let now = Clock::now() + Milliseconds::seconds(60);
    assert_eq!(monitor.earliest_arrival(now), now);
}
