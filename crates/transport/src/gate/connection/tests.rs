use super::*;
use crate::gate::GateLimits;
use types::{Moment, Span};

const IDLE: Span = Span(15_000);

fn rules(limits_since: Moment) -> GateRules {
    let bounds = GateBounds {
        idle_span: IDLE,
        read_span: Span(3000),
        ..GateBounds::default()
    };
    let state = GateState::new(bounds.limits()).expect("descriptors");
    GateRules {
        limits_since,
        ..state.rules()
    }
}

fn deadline(rules: &GateRules, progress: RequestProgress, since: Moment) -> (Moment, bool) {
    let bounds = GateBounds {
        keep_alive: true,
        read_span: Span(10_000),
        ..GateBounds::default()
    };
    wait_deadline(&bounds, rules, &Wait { progress, since })
}

#[test]
fn a_client_that_returns_after_four_fifths_of_the_idle_time_is_in_time() {
    let begun = Moment(100_000);
    let (until, is_idle) = deadline(&rules(Moment(0)), RequestProgress::Nothing, begun);
    // The answer's last byte was written by then, so a client counts from later still.
    assert!(is_idle && until == begun + IDLE && until > begun + Span(IDLE.0 * 4 / 5));
}

#[test]
fn a_new_idle_time_binds_a_connection_at_rest_from_its_coming_on() {
    let (begun, changed) = (Moment(100_000), Moment(112_000));
    let mut rules = rules(changed);
    rules.limits = GateLimits {
        idle_span: Span(2000),
        ..rules.limits
    };
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, begun).0,
        changed + Span(2000)
    );
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, Moment(113_000)).0,
        Moment(115_000)
    );
}

#[test]
fn a_head_has_the_limits_time_and_a_body_the_gates() {
    let begun = Moment(100_000);
    assert_eq!(
        deadline(&rules(Moment(0)), RequestProgress::Head, begun),
        (begun + Span(3000), false)
    );
    assert_eq!(
        deadline(&rules(Moment(0)), RequestProgress::Body, begun),
        (begun + Span(10_000), false)
    );
}

#[test]
fn a_gate_that_leaves_waits_a_moment_for_what_was_on_the_wire() {
    let (begun, left) = (Moment(100_000), Moment(101_000));
    let rules = GateRules {
        left: Some(left),
        ..rules(Moment(0))
    };
    assert_eq!(
        deadline(&rules, RequestProgress::Nothing, begun),
        (left + LEAVE_LINGER, true)
    );
    assert_eq!(
        deadline(&rules, RequestProgress::Head, begun),
        (begun + Span(3000), false)
    );
}
