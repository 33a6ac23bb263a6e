use super::*;
use crate::http_server::HttpServerLimits;
use types::{Milliseconds, MonotonicInstant};

const IDLE: Milliseconds = Milliseconds(15_000);

fn rules(limits_since: MonotonicInstant) -> GateRules {
    let bounds = HttpServerBounds {
        idle_span: IDLE,
        read_span: Milliseconds(3000),
        ..HttpServerBounds::default()
    };
    let state = GateState::new(bounds.limits()).expect("descriptors");
    GateRules {
        limits_since,
        ..state.rules()
    }
}

fn deadline(
    rules: &GateRules,
    progress: RequestProgress,
    since: MonotonicInstant,
) -> (MonotonicInstant, bool) {
    let bounds = HttpServerBounds {
        keep_alive: true,
        read_span: Milliseconds(10_000),
        ..HttpServerBounds::default()
    };
    wait_deadline(&bounds, rules, &Wait { progress, since })
}

#[test]
fn a_client_that_returns_after_four_fifths_of_the_idle_time_is_in_time() {
    let begun = MonotonicInstant(100_000);
    let (until, is_idle) = deadline(&rules(MonotonicInstant(0)), RequestProgress::Nothing, begun);
    // The answer's last byte was written by then, so a client counts from later still.
    assert!(is_idle && until == begun + IDLE && until > begun + Milliseconds(IDLE.0 * 4 / 5));
}

#[test]
fn a_new_idle_time_binds_a_connection_at_rest_from_its_coming_on() {
    let (begun, changed) = (MonotonicInstant(100_000), MonotonicInstant(112_000));
    let mut rules = rules(changed);
    rules.limits = HttpServerLimits {
        idle_span: Milliseconds(2000),
        ..rules.limits
    };
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, begun).0,
        changed + Milliseconds(2000)
    );
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, MonotonicInstant(113_000)).0,
        MonotonicInstant(115_000)
    );
}

#[test]
fn a_head_has_the_limits_time_and_a_body_the_gates() {
    let begun = MonotonicInstant(100_000);
    assert_eq!(
        deadline(&rules(MonotonicInstant(0)), RequestProgress::Head, begun),
        (begun + Milliseconds(3000), false)
    );
    assert_eq!(
        deadline(&rules(MonotonicInstant(0)), RequestProgress::Body, begun),
        (begun + Milliseconds(10_000), false)
    );
}

#[test]
fn a_gate_that_leaves_waits_a_moment_for_what_was_on_the_wire() {
    let (begun, left) = (MonotonicInstant(100_000), MonotonicInstant(101_000));
    let rules = GateRules {
        left: Some(left),
        ..rules(MonotonicInstant(0))
    };
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, begun),
        (left + LEAVE_LINGER, true)
    );
    assert_eq!(
        deadline(&rules, RequestProgress::Head, begun),
        (begun + Milliseconds(3000), false)
    );
}
