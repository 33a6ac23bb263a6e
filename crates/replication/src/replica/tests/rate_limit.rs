use super::*;
use crate::replica::Timing;

/// What the state machine remembers must not be used up within a few of the
/// users' waits for an answer.
#[test]
fn the_head_takes_no_more_changes_than_its_rate_limit() {
    let mut cluster = Cluster::new(3, 3, 3);
    cluster.play(4000, None);
    cluster.timing = Timing {
        max_changes_per_second: 10,
        max_change_burst: 5,
        ..cluster.timing
    };
    (1..=3).for_each(|n| cluster.stop(n));
    cluster.play(2000, None);
    (1..=3).for_each(|n| cluster.start(n));
    cluster.play(4000, None);
    let answers: Vec<Option<bool>> = (1..=400)
        .map(|number| cluster.play(25, Some((1, number))))
        .collect();
    let taken = answers
        .iter()
        .filter(|answer| **answer == Some(true))
        .count() as u64;
    let (.., change_count) = cluster.cluster().expect("it responds");
    assert!(
        (95..=105).contains(&change_count),
        "{change_count} changes in 10 s"
    );
    assert_eq!(
        change_count, taken,
        "a change that is turned away is not taken"
    );
    assert!(
        answers.contains(&Some(false)),
        "those that are turned away are told so, to come again"
    );
}

#[test]
fn the_default_rate_leaves_ten_answer_timeouts_before_4096_changes_are_used_up() {
    let timing = Timing::default();
    const ACK_MS: u64 = 4000;
    const REMEMBERED: u64 = 4096;
    let ms = (REMEMBERED - timing.max_change_burst) * 1000 / timing.max_changes_per_second;
    assert!(ms >= 9 * ACK_MS, "{ms} ms");
}
