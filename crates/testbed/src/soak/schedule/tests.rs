//! Schedules that are drawn, written and read.

use super::*;
use simulator::Deployment;

fn drawn(seed: u64) -> Schedule {
    Schedule::draw(seed, Milliseconds::seconds(30), &Deployment::Pahana.shape())
}

#[test]
fn a_seed_draws_the_same_troubles_and_they_can_be_written_and_read() {
    let schedule = drawn(7);
    assert_eq!(schedule, drawn(7));
    assert_ne!(schedule, drawn(8));
    let text = serde_json::to_string(&schedule).expect("JSON");
    let read: Schedule = serde_json::from_str(&text).expect("a schedule");
    assert_eq!(read, schedule);
    assert!(schedule.check(&Deployment::Pahana.shape()).is_ok());
}

#[test]
fn all_kinds_occur_and_some_overlap() {
    let schedules: Vec<Schedule> = (0..20).map(drawn).collect();
    let kinds: BTreeSet<TroubleKind> = schedules
        .iter()
        .flat_map(|schedule| schedule.counts().into_keys())
        .collect();
    assert_eq!(kinds.len(), 7);
    let overlap = |schedule: &Schedule| {
        schedule.troubles.windows(2).any(|pair| {
            pair[1].at_ms < pair[0].at_ms + pair[0].for_ms && pair[0].kind != pair[1].kind
        })
    };
    assert!(schedules.iter().any(overlap));
}

#[test]
fn a_trouble_of_what_is_not_there_is_an_error() {
    let trouble = Trouble {
        at_ms: 5,
        kind: TroubleKind::Kill,
        targets: vec!["router-900".into()],
        for_ms: 1,
    };
    let schedule = Schedule {
        troubles: vec![trouble],
    };
    let error = schedule.check(&Deployment::Pahana.shape());
    assert!(error.is_err_and(|error| error.to_string().contains("router-900")));
}
