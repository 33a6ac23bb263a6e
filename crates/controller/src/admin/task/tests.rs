use super::*;
use crate::admin::control_client::{Attempt, ControlClient};
use crate::admin::task::{AdminAnswer, AdminCall};
use crate::controller::ControllerInput;
use config::OwnPlans;
use std::sync::Arc;
use types::{Clock, Milliseconds, ResultCode};

/// A core that answers each question from the words given, in turn.
fn core(words: Vec<(u16, Vec<u8>)>) -> ControlClient {
    let responses = crate::admin::control_client::PendingResponses::default();
    let words = Arc::new(std::sync::Mutex::new(std::collections::VecDeque::from(
        words,
    )));
    let giver = responses.clone();
    ControlClient::new(responses, move |input| {
        let ControllerInput::Operator { number, .. } = input else {
            return;
        };
        if let Some((status, body)) = words.lock().unwrap().pop_front() {
            giver.complete(number, status, body);
        }
    })
}

fn said(code: ResultCode) -> (u16, Vec<u8>) {
    let body =
        serde_json::json!({"code": code.number(), "result": code.word(), "why": code.meaning()});
    (code.http_status(), body.to_string().into_bytes())
}

fn base(revision: u64) -> (u16, Vec<u8>) {
    let mut body = 3u64.to_be_bytes().to_vec();
    body.extend(format!(r#"{{"revision":{revision},"services":{{"a":{{}}}}}}"#).into_bytes());
    (200, body)
}

/// It takes all services away, which is a fault.
fn change() -> AdminCall {
    AdminCall::Change {
        bytes: br#"{"revision":7,"services":null}"#.to_vec(),
        base: 5,
    }
}

fn code_of(core: &ControlClient, call: AdminCall) -> ResultCode {
    match core.execute(
        call,
        &OwnPlans,
        &[],
        true,
        &Attempt::new(Clock::now(), OPERATOR_PATIENCE, None),
    ) {
        AdminAnswer::Refused { code, .. } => code,
        AdminAnswer::Done | AdminAnswer::Plan(_) => ResultCode::Accepted,
    }
}

#[test]
fn a_change_with_faults_is_refused_only_once_it_can_never_have_been_taken() {
    let code_after = |fate: ResultCode| code_of(&core(vec![base(7), said(fate)]), change());
    assert_eq!(code_after(ResultCode::Accepted), ResultCode::Accepted);
    assert_eq!(
        code_after(ResultCode::CoreNotReady),
        ResultCode::CoreNotReady,
        "it may be in the chain"
    );
    assert_eq!(code_after(ResultCode::FateUnknown), ResultCode::FateUnknown);
    assert_eq!(
        code_after(ResultCode::UnknownChange),
        ResultCode::BadPlan,
        "it builds on what is past"
    );
}

#[test]
fn a_change_that_builds_on_what_is_not_accepted_so_far_is_not_refused_for_its_faults() {
    assert_eq!(
        code_of(&core(vec![base(3)]), change()),
        ResultCode::CoreNotReady
    );
}

#[test]
fn a_complete_plan_with_faults_is_refused_only_once_it_is_known_not_to_have_been_taken() {
    let plan = || AdminCall::Plan {
        bytes: br#"{"revision":7,"services":3}"#.to_vec(),
        base: 5,
    };
    let code_after = |fate: ResultCode| code_of(&core(vec![said(fate)]), plan());
    assert_eq!(code_after(ResultCode::Accepted), ResultCode::Accepted);
    assert_eq!(
        code_after(ResultCode::CoreNotReady),
        ResultCode::CoreNotReady
    );
    assert_eq!(code_after(ResultCode::UnknownChange), ResultCode::BadPlan);
}

#[test]
fn what_an_attempt_leaves_unfinished_is_given_up() {
    let inputs = Arc::new(std::sync::Mutex::new(vec![]));
    let received = inputs.clone();
    let unresponsive = ControlClient::new(
        crate::admin::control_client::PendingResponses::default(),
        move |input| received.lock().unwrap().push(input),
    );
    let call = AdminCall::Withdraw {
        zone: "east".into(),
    };
    let answer = unresponsive.execute(
        call.clone(),
        &OwnPlans,
        &[],
        true,
        &Attempt::new(Clock::now(), Milliseconds(0), None),
    );
    assert!(
        matches!(
            answer,
            AdminAnswer::Refused {
                code: ResultCode::FateUnknown,
                ..
            }
        ),
        "{answer:?}"
    );
    assert!(
        inputs.lock().unwrap().is_empty(),
        "nobody waits for it, so nothing was begun"
    );
    let late = Clock::now() - OPERATOR_PATIENCE;
    unresponsive.execute(
        call.clone(),
        &OwnPlans,
        &[],
        true,
        &Attempt::new(late, OPERATOR_PATIENCE, None),
    );
    assert!(
        inputs.lock().unwrap().is_empty(),
        "it was read when its operator had given up"
    );
    unresponsive.execute(
        call,
        &OwnPlans,
        &[],
        true,
        &Attempt::new(Clock::now(), Milliseconds(20), None),
    );
    let inputs = inputs.lock().unwrap();
    let [
        ControllerInput::Operator { number, .. },
        ControllerInput::Abandoned { number: given_up },
    ] = inputs.as_slice()
    else {
        panic!("{inputs:?}")
    };
    assert_eq!(number, given_up);
}
