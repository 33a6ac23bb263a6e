//! Servers that restart in place: what was meant for a former life of theirs is refused unrun.

use router::{LIFE_HEADER, RunRequest};
use simulator::ScheduleRules;
use testbed::StandIn;
use transport::{HttpRequest, read_all};
use types::{Address, Milliseconds, RunId, ServiceName};
use yare::parameterized;

#[parameterized(
    of_this_life = { Some(7), 200 },
    of_a_former_one = { Some(6), 409 },
    of_whichever_there_is = { None, 200 },
)]
fn a_run_or_a_page_meant_for_another_life_is_refused_unrun(
    incarnation: Option<u64>,
    expected: u16,
) {
    let rules = ScheduleRules::default();
    let server = StandIn::start(Address::loopback(0), rules, 7, Milliseconds::seconds(60))
        .expect("it starts");
    let (run, service) = (RunId::from("r1"), ServiceName::from("drafts"));
    let request = RunRequest {
        run: run.clone(),
        service,
        prompt: "a".into(),
        max_pieces: 1,
        keep: false,
        incarnation,
    };
    let body = serde_json::to_vec(&request).expect("a run request is JSON");
    let told = HttpRequest::post(body)
        .send(&format!("http://{}/runs", server.address))
        .expect("an answer");
    assert_eq!(told.status(), expected);
    if expected == 409 {
        let told: serde_json::Value =
            serde_json::from_slice(&read_all(told, 1 << 10).expect("whole")).expect("JSON");
        assert_eq!(told, serde_json::json!({"ran": false, "incarnation": 7}));
    }
    assert_eq!(server.has_run(&run), expected == 200);
    let page = incarnation
        .into_iter()
        .fold(HttpRequest::get(), |ask, incarnation| {
            ask.header(LIFE_HEADER, incarnation.to_string())
        });
    let told = page
        .send(&format!("http://{}/pages/a", server.address))
        .expect("an answer");
    assert_eq!(
        (told.status(), server.pages().len()),
        (expected, usize::from(expected == 200))
    );
}
