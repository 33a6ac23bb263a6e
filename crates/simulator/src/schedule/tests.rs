use crate::schedule::{Progress, Schedule, ScheduleRules};
use router::RunRequest;
use types::{Milliseconds, MonotonicInstant, RunId};

fn request(run: &str, prompt: &str) -> RunRequest {
    RunRequest {
        run: run.into(),
        service: "drafts".into(),
        prompt: prompt.into(),
        max_pieces: 3,
        keep: false,
        incarnation: None,
    }
}

#[test]
fn prefill_is_paid_once_for_a_prefix_and_slots_are_waited_for() {
    let rules = ScheduleRules {
        slots: 1,
        block_micros: 10_000,
        base: Milliseconds(0),
        ..ScheduleRules::default()
    };
    let mut schedule = Schedule::new(rules);
    let prompt = "x".repeat(640);
    let first_of = |schedule: &Schedule, run: &str| schedule.runs[&RunId::from(run)].first;
    assert!(schedule.take(&request("a", &prompt), MonotonicInstant(0)));
    assert_eq!(first_of(&schedule, "a"), MonotonicInstant(100));
    assert!(schedule.take(&request("b", &prompt), MonotonicInstant(0)));
    assert_eq!(
        first_of(&schedule, "b"),
        MonotonicInstant(116),
        "after the slot is free, without prefill"
    );
    assert!(
        !schedule.take(&request("a", &prompt), MonotonicInstant(0)),
        "a run's id is taken once"
    );
    assert_eq!(
        schedule.progress(&"a".into(), MonotonicInstant(108)),
        Some(Progress::Pieces(2, MonotonicInstant(116)))
    );
    assert_eq!(
        schedule.progress(&"a".into(), MonotonicInstant(116)),
        Some(Progress::All(3))
    );
}
