use crate::request::state_machine::{
    Failure, RequestInput, RequestOutput, RequestState, RequestStateMachine,
};
use RequestInput::{
    Abort, Admit, Fail, Finish, Interrupt, LoseLease, Open, Reject, Relay, Supersede,
};
use placement::mix;
use types::ResultCode;
use yare::parameterized;

const ONCE: RequestInput = RequestInput::Place { may_repeat: false };
const AGAIN: RequestInput = RequestInput::Place { may_repeat: true };

#[parameterized(
    plain = { &[Admit, ONCE, Open, Relay, Relay, Finish], RequestState::Ended, RequestOutput::Finish(ResultCode::Complete) },
    not_allowed = { &[Admit, Reject(ResultCode::UnknownService)], RequestState::Refused, RequestOutput::Finish(ResultCode::UnknownService) },
    an_id_that_may_be_running_is_no_refusal = { &[Admit, Reject(ResultCode::RequestIdTaken)], RequestState::Broken, RequestOutput::Finish(ResultCode::RequestIdTaken) },
    cut_off_at_the_last_moment = { &[Admit, ONCE, LoseLease], RequestState::Refused, RequestOutput::Finish(ResultCode::NotReady) },
    placed_anew_under_a_newer_epoch = { &[Admit, ONCE, Supersede, ONCE, Open, Finish], RequestState::Ended, RequestOutput::Finish(ResultCode::Complete) },
    a_newer_epoch_allows_it_no_more = { &[Admit, ONCE, Supersede, Reject(ResultCode::UnknownService)], RequestState::Refused, RequestOutput::Finish(ResultCode::UnknownService) },
    silence_and_a_newer_epoch_without_a_server = { &[Admit, AGAIN, Fail(Failure::Unknown), AGAIN, Supersede, Reject(ResultCode::NoServer)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    silence_and_a_newer_epoch_without_repeats = { &[Admit, AGAIN, Fail(Failure::Unknown), AGAIN, Supersede, ONCE], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    unsent_goes_elsewhere = { &[Admit, ONCE, Fail(Failure::Unsent), ONCE, Open, Finish], RequestState::Ended, RequestOutput::Finish(ResultCode::Complete) },
    unsent_and_no_other = { &[Admit, ONCE, Fail(Failure::Unsent), Reject(ResultCode::NoServer)], RequestState::Refused, RequestOutput::Finish(ResultCode::Unsent) },
    silence_is_unknown = { &[Admit, ONCE, Fail(Failure::Unknown)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    silence_where_a_repeat_does_no_harm = { &[Admit, AGAIN, Fail(Failure::Unknown)], RequestState::Admitted, RequestOutput::Place },
    silence_and_the_plan_changed_meanwhile = { &[Admit, AGAIN, Fail(Failure::Unknown), ONCE], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    silence_under_the_stricter_of_two_plans = { &[Admit, ONCE, Fail(Failure::Unsent), AGAIN, Fail(Failure::Unknown)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    silence_then_no_other_is_unknown_still = { &[Admit, AGAIN, Fail(Failure::Unknown), Reject(ResultCode::NoServer)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    silence_then_refusal_is_unknown_still = { &[Admit, AGAIN, Fail(Failure::Unknown), AGAIN, Fail(Failure::Refused), AGAIN, Fail(Failure::Refused)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    refused_by_three = { &[Admit, ONCE, Fail(Failure::Refused), ONCE, Fail(Failure::Refused), ONCE, Fail(Failure::Refused)], RequestState::Refused, RequestOutput::Finish(ResultCode::ServerRefused) },
    broken_is_not_run_again = { &[Admit, AGAIN, Open, Relay, Abort, AGAIN, Open], RequestState::Broken, RequestOutput::Idle },
    a_torn_stream_goes_on_elsewhere = { &[Admit, AGAIN, Open, Relay, Interrupt, AGAIN, Open, Relay, Finish], RequestState::Ended, RequestOutput::Finish(ResultCode::Complete) },
    a_torn_stream_that_may_not_run_again_is_cut = { &[Admit, ONCE, Open, Relay, Interrupt], RequestState::Broken, RequestOutput::Abort },
    a_torn_stream_goes_on_only_as_often_as_it_may = { &[Admit, AGAIN, Open, Interrupt, AGAIN, Open, Interrupt, AGAIN, Open, Interrupt], RequestState::Broken, RequestOutput::Abort },
    a_torn_stream_that_no_other_takes_is_unknown = { &[Admit, AGAIN, Open, Interrupt, Reject(ResultCode::NoServer)], RequestState::Broken, RequestOutput::Finish(ResultCode::Unknown) },
    the_unreachable_are_not_tried_for_ever = { &[Admit, ONCE, Fail(Failure::Unsent), ONCE, Fail(Failure::Unsent), ONCE, Fail(Failure::Unsent)], RequestState::Refused, RequestOutput::Finish(ResultCode::Unsent) },
    nothing_after_the_end = { &[Admit, AGAIN, Open, Finish, Relay], RequestState::Ended, RequestOutput::Idle },
)]
fn traces(inputs: &[RequestInput], state: RequestState, last: RequestOutput) {
    let mut request_state = RequestStateMachine::default();
    let outputs: Vec<RequestOutput> = inputs
        .iter()
        .map(|input| request_state.step(*input))
        .collect();
    assert_eq!(
        (request_state.state(), outputs.last()),
        (state, Some(&last))
    );
}

#[test]
fn whatever_comes_refused_is_never_said_of_what_may_have_run() {
    let inputs = [
        Admit,
        ONCE,
        AGAIN,
        Open,
        Relay,
        Finish,
        Abort,
        Interrupt,
        LoseLease,
        Supersede,
        Reject(ResultCode::NoServer),
        Fail(Failure::Unsent),
        Fail(Failure::Refused),
        Fail(Failure::Unknown),
    ];
    for number in 0..200_000u64 {
        let mut request_state = RequestStateMachine::default();
        let mut may_have_run = false;
        let mut is_once = false;
        let mut state = number;
        for _ in 0..10 {
            state = mix(state);
            let input = inputs[(state % inputs.len() as u64) as usize];
            let before = request_state.state();
            let output = request_state.step(input);
            is_once |= before == RequestState::Admitted && input == ONCE;
            let is_asked = before == RequestState::Placed;
            may_have_run |= is_asked && matches!(input, Open | Fail(Failure::Unknown));
            let is_repeat = may_have_run && output == RequestOutput::Send;
            assert!(
                !(is_repeat && is_once),
                "seed {number}: a once-only request was repeated"
            );
            if let RequestOutput::Finish(code) = output {
                assert!(
                    !(code.is_refusal() && may_have_run),
                    "seed {number}: {code} after it may have run"
                );
            }
        }
    }
}
