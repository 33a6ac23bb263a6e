use crate::event::ServerEntry;
use crate::rules::SchedulerRules;
use crate::server_state::ServerState;
use types::MonotonicInstant;

fn state() -> ServerState {
    let entry = ServerEntry {
        server: "s".into(),
        zone: "h".into(),
        pool: "model".into(),
        is_draining: false,
        ..ServerEntry::default()
    };
    ServerState::new(&entry, MonotonicInstant(0), &SchedulerRules::default())
}

#[test]
fn one_that_is_slow_while_its_kin_are_not_is_found_and_common_slowness_is_not() {
    let mut server = state();
    let found: Vec<bool> = [900, 900, 20, 900, 900, 900]
        .map(|lag| server.record_lag(lag, 10))
        .to_vec();
    assert_eq!(found, [false, true, false, false, true, true]);
    let mut server = state();
    assert!(
        !(0..20).any(|_| server.record_lag(900, 300)),
        "all are as slow: that's load"
    );
}

#[test]
fn a_fresh_server_ramps_and_a_faulty_one_starts_over() {
    let rules = SchedulerRules::default();
    let mut server = state();
    let caps: Vec<u32> = [0, 2000, 4000, 8000]
        .map(|at| server.cap(8, MonotonicInstant(at), &rules))
        .to_vec();
    assert_eq!(caps, [2, 2, 4, 8]);
    assert_eq!(
        server.record_failure(MonotonicInstant(9000), false),
        None,
        "one doubtful fault is no proof"
    );
    let span = server
        .record_failure(MonotonicInstant(9000), false)
        .expect("two are");
    assert!(server.is_ejected(MonotonicInstant(9000)));
    assert!(!server.is_ejected(MonotonicInstant(9000) + span));
    assert_eq!(server.cap(8, MonotonicInstant(9000) + span, &rules), 2);
}
