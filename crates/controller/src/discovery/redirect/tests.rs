use super::*;
use std::sync::atomic::AtomicBool;
use types::{Address, Clock, Milliseconds};
use yare::parameterized;

fn nodes(ports: &[u16]) -> Vec<Address> {
    ports.iter().copied().map(Address::loopback).collect()
}

/// The day `pahana-cut-off-then-read-back`: two of an operator's three readings were sent on to the one node
/// that was cut off from the core.
#[parameterized(
    all_serve_by_turns = { [Readiness::Serves, Readiness::Serves, Readiness::Serves], [Some(1), Some(2), Some(3)] },
    one_is_cut_off = { [Readiness::Serves, Readiness::Waits, Readiness::Serves], [Some(1), Some(3), Some(3)] },
    one_is_dark = { [Readiness::Unreachable, Readiness::Serves, Readiness::Unreachable], [Some(2), Some(2), Some(2)] },
    none_serves_yet = { [Readiness::Unreachable, Readiness::Waits, Readiness::Waits], [Some(2), Some(2), Some(3)] },
    none_answers = { [Readiness::Unreachable, Readiness::Unreachable, Readiness::Unreachable], [None, None, None] },
)]
fn operators_are_sent_where_they_are_served(says: [Readiness; 3], picks: [Option<u16>; 3]) {
    let redirector = Redirector::new(Arc::new(|| nodes(&[1, 2, 3])));
    for wanted in picks {
        let picked = redirector.pick(|other| says[usize::from(other.0.port()) - 1]);
        assert_eq!(picked, wanted.map(Address::loopback));
    }
}

#[test]
fn a_node_that_knows_no_other_sends_nobody_on() {
    assert_eq!(
        Redirector::new(Arc::new(Vec::new)).pick(|_| Readiness::Serves),
        None
    );
}

/// Guards against sending an order on that lay in a suspended process's socket until its operator had given up: whoever
/// follows the redirect sends it as a new one (docs/incidents/request-read-late.md).
#[test]
fn a_request_whose_operator_may_have_given_up_is_not_redirected() {
    let redirector = Redirector::new(Arc::new(|| nodes(&[1, 2, 3])));
    let timeout = Milliseconds(950);
    let target = |arrived_after| {
        let attempt = Attempt::new(arrived_after, timeout, None);
        redirector.target(&attempt, |_| Readiness::Serves)
    };
    assert_eq!(
        target(Clock::now() - timeout),
        Err("nobody waits for it any more")
    );
    assert!(target(Clock::now() + timeout).is_ok());
}

/// All three that the settings named at the start may have been replaced by machines at other addresses.
#[test]
fn settings_that_change_are_heeded_at_once() {
    let replaced = Arc::new(AtomicBool::new(false));
    let is_replaced = replaced.clone();
    let redirector = Redirector::new(Arc::new(move || {
        nodes(if is_replaced.load(Ordering::Relaxed) {
            &[4]
        } else {
            &[1, 2, 3]
        })
    }));
    assert_eq!(
        redirector.pick(|_| Readiness::Serves),
        Some(Address::loopback(1))
    );
    replaced.store(true, Ordering::Relaxed);
    assert_eq!(
        redirector.pick(|_| Readiness::Serves),
        Some(Address::loopback(4))
    );
}
