use crate::schedule::{Progress, Schedule, ScheduleRules};
use router::RunRequest;
use types::{Moment, RunId, Span};

fn request(run: &str, prompt: &str) -> RunRequest {
    RunRequest {
        run: run.into(),
        service: "drafts".into(),
        prompt: prompt.into(),
        max_pieces: 3,
        keep: false,
        life: None,
    }
}

#[test]
fn prefill_is_paid_once_for_a_prefix_and_slots_are_waited_for() {
    let rules = ScheduleRules {
        slots: 1,
        block_micros: 10_000,
        base: Span(0),
        ..ScheduleRules::default()
    };
    let mut schedule = Schedule::new(rules);
    let prompt = "x".repeat(640);
    let first_of = |schedule: &Schedule, run: &str| schedule.runs[&RunId::from(run)].first;
    assert!(schedule.take(&request("a", &prompt), Moment(0)));
    assert_eq!(first_of(&schedule, "a"), Moment(100));
    assert!(schedule.take(&request("b", &prompt), Moment(0)));
    assert_eq!(
        first_of(&schedule, "b"),
        Moment(116),
        "after the slot is free, without prefill"
    );
    assert!(
        !schedule.take(&request("a", &prompt), Moment(0)),
        "a run's id is taken once"
    );
    assert_eq!(
        schedule.progress(&"a".into(), Moment(108)),
        Some(Progress::Pieces(2, Moment(116)))
    );
    assert_eq!(
        schedule.progress(&"a".into(), Moment(116)),
        Some(Progress::All(3))
    );
}
