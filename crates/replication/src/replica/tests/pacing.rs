use super::*;
use crate::replica::Timing;

/// What the state machine remembers must not be used up within a few of the users' waits for an answer.
#[test]
fn a_head_lets_in_no_more_changes_than_its_rate_however_many_are_proposed() {
    let mut core = Core::new(3, 3, 3);
    core.play(4000, None);
    core.timing = Timing {
        max_changes_per_second: 10,
        max_change_burst: 5,
        ..core.timing
    };
    (1..=3).for_each(|n| core.stop(n));
    core.play(2000, None);
    (1..=3).for_each(|n| core.start(n));
    core.play(4000, None);
    let answers: Vec<Option<bool>> = (1..=400)
        .map(|number| core.play(25, Some((1, number))))
        .collect();
    let taken = answers
        .iter()
        .filter(|answer| **answer == Some(true))
        .count() as u64;
    let (.., held) = core.core().expect("it responds");
    assert!((95..=105).contains(&held), "{held} changes in 10 s");
    assert_eq!(held, taken, "a change that is turned away is not taken");
    assert!(
        answers.contains(&Some(false)),
        "those that are turned away are told so, to come again"
    );
}

#[test]
fn the_default_rate_leaves_ten_waits_for_an_answer_before_4096_changes_are_used_up() {
    let timing = Timing::default();
    const ACK_MS: u64 = 4000;
    const REMEMBERED: u64 = 4096;
    let ms = (REMEMBERED - timing.max_change_burst) * 1000 / timing.max_changes_per_second;
    assert!(ms >= 9 * ACK_MS, "{ms} ms");
}
