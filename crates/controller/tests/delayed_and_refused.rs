//! What an operator was told stays true: delayed requests, and refusals that are final.

mod control;

use config::{Command, OwnPlans, Proposal};
use control::{Carriage, Core};
use controller::{ControllerInput, OperatorRequest, RequestAge};
use types::{ConfigEpoch, Milliseconds, MonotonicInstant};

/// No operator of these tests gives up.
const OPERATOR_TIMEOUT: Milliseconds = Milliseconds::seconds(60);

const HEAD: usize = 0;
const MIDDLE: usize = 1;
const TAIL: usize = 2;

fn proposal(id: &str, command: Command) -> OperatorRequest {
    OperatorRequest::Propose(Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    })
}

fn plan(id: &str, base: u64, revision: u64) -> OperatorRequest {
    let bytes =
        format!(r#"{{"revision":{revision},"services":{{"a":{{"slots":4}}}}}}"#).into_bytes();
    let command = Command::plan_in(&OwnPlans, bytes, Some(base)).expect("a good plan");
    proposal(id, command.with_zones(&["east".into()]))
}

fn withdraw(id: &str) -> OperatorRequest {
    proposal(
        id,
        Command::Withdraw {
            zone: "east".into(),
        },
    )
}

fn restore(id: &str) -> OperatorRequest {
    proposal(
        id,
        Command::Restore {
            zone: "east".into(),
        },
    )
}

fn send(core: &mut Core, machine: usize, number: u64, request: OperatorRequest) {
    let age = RequestAge::new(MonotonicInstant(core.now), OPERATOR_TIMEOUT);
    core.step(
        machine,
        ControllerInput::Operator {
            number,
            request,
            age,
        },
    );
}

fn status(core: &mut Core, machine: usize, number: u64, what: OperatorRequest) -> Option<u16> {
    send(core, machine, number, what);
    core.await_answer(number, 4000).map(|(status, _)| status)
}

/// A machine is just cut off as it takes a call; the operator turns elsewhere and then changes its mind.
fn after_a_delayed_call(
    first: fn(&str) -> OperatorRequest,
    second: fn(&str) -> OperatorRequest,
) -> Core {
    let mut core = Core::new(1, None);
    assert_eq!(status(&mut core, HEAD, 1, plan("p", 0, 5)), Some(200));
    assert_eq!(status(&mut core, HEAD, 2, second("before")), Some(200));
    core.set_lines_of(MIDDLE, Carriage::Held);
    send(&mut core, MIDDLE, 3, first("delayed"));
    core.run(1000);
    assert_eq!(status(&mut core, TAIL, 4, first("again")), Some(200));
    assert_eq!(status(&mut core, TAIL, 5, second("back")), Some(200));
    core.set_lines_of(MIDDLE, Carriage::Open);
    core.run(12_000);
    core
}

#[test]
fn a_delayed_evacuation_is_not_carried_out_after_it_was_taken_back() {
    let core = after_a_delayed_call(withdraw, restore);
    assert!(
        core.accepted().expect("a tail").withdrawn.is_empty(),
        "the first call came in after the last"
    );
}

#[test]
fn a_delayed_withdrawal_of_an_evacuation_does_not_open_the_zone_again() {
    let core = after_a_delayed_call(restore, withdraw);
    assert_eq!(
        core.accepted().expect("a tail").withdrawn.len(),
        1,
        "the first call came in after the last"
    );
}

/// What one disk holds may vanish with it: nothing is refused on the strength of it.
#[test]
fn nothing_is_refused_for_what_was_never_accepted() {
    let mut core = Core::new(1, None);
    assert_eq!(status(&mut core, HEAD, 1, plan("p", 0, 5)), Some(200));
    core.set_line(HEAD, MIDDLE, Carriage::Held);
    send(&mut core, HEAD, 2, plan("on-one-disk", 5, 7));
    core.run(100);
    assert_eq!(
        core.config_state(HEAD)
            .map(|config_state| config_state.revision),
        Some(7)
    );
    send(&mut core, TAIL, 3, plan("other", 5, 9));
    core.run(300);
    assert_eq!(
        core.answers.get(&3).map(|answer| answer.0),
        None,
        "revision 7 is on one disk only"
    );
    core.wipe(HEAD);
    let status_of_other = core.await_answer(3, 10_000).map(|(status, _)| status);
    assert!(
        status_of_other != Some(409),
        "revision 7 is gone, and nothing else was ever taken"
    );
    assert_eq!(status(&mut core, TAIL, 4, plan("other", 5, 9)), Some(200));
}
