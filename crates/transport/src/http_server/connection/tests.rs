use super::*;
use crate::http_server::HttpServerLimits;
use types::{Milliseconds, MonotonicInstant};

const IDLE: Milliseconds = Milliseconds(15_000);

fn settings(limits_since: MonotonicInstant) -> ServerSettings {
    let bounds = HttpServerBounds {
        idle_timeout: IDLE,
        read_timeout: Milliseconds(3000),
        ..HttpServerBounds::default()
    };
    let state = ServerState::new(bounds.limits()).expect("descriptors");
    ServerSettings {
        limits_since,
        ..state.settings()
    }
}

fn deadline(
    settings: &ServerSettings,
    progress: RequestProgress,
    since: MonotonicInstant,
) -> WaitDeadline {
    let bounds = HttpServerBounds {
        keep_alive: true,
        read_timeout: Milliseconds(10_000),
        ..HttpServerBounds::default()
    };
    wait_deadline(&bounds, settings, Awaited { progress, since })
}

fn idle_until(at: MonotonicInstant) -> WaitDeadline {
    WaitDeadline { at, is_idle: true }
}

fn request_until(at: MonotonicInstant) -> WaitDeadline {
    WaitDeadline { at, is_idle: false }
}

#[test]
fn a_client_that_returns_after_four_fifths_of_the_idle_timeout_is_in_time() {
    let began = MonotonicInstant(100_000);
    let wait = deadline(&settings(MonotonicInstant(0)), RequestProgress::Idle, began);
    // The answer's last byte was written by then, so a client counts from later still.
    assert_eq!(wait, idle_until(began + IDLE));
    assert!(wait.at > began + Milliseconds(IDLE.0 * 4 / 5));
}

#[test]
fn a_new_idle_timeout_binds_an_idle_connection_from_when_it_is_in_force() {
    let (began, changed) = (MonotonicInstant(100_000), MonotonicInstant(112_000));
    let mut settings = settings(changed);
    settings.limits = HttpServerLimits {
        idle_timeout: Milliseconds(2000),
        ..settings.limits
    };
    assert_eq!(
        deadline(&settings, RequestProgress::Idle, began).at,
        changed + Milliseconds(2000)
    );
    assert_eq!(
        deadline(&settings, RequestProgress::Idle, MonotonicInstant(113_000)).at,
        MonotonicInstant(115_000)
    );
}

#[test]
fn a_head_has_the_head_timeout_and_a_body_the_read_timeout() {
    let began = MonotonicInstant(100_000);
    assert_eq!(
        deadline(&settings(MonotonicInstant(0)), RequestProgress::Head, began),
        request_until(began + Milliseconds(3000))
    );
    assert_eq!(
        deadline(&settings(MonotonicInstant(0)), RequestProgress::Body, began),
        request_until(began + Milliseconds(10_000))
    );
}

#[test]
fn a_draining_server_lingers_for_what_was_on_the_wire() {
    let (began, draining_since) = (MonotonicInstant(100_000), MonotonicInstant(101_000));
    let settings = ServerSettings {
        draining_since: Some(draining_since),
        ..settings(MonotonicInstant(0))
    };
    assert_eq!(
        deadline(&settings, RequestProgress::Idle, began),
        idle_until(draining_since + DRAIN_LINGER)
    );
    assert_eq!(
        deadline(&settings, RequestProgress::Head, began),
        request_until(began + Milliseconds(3000))
    );
}
