use super::*;
use yare::parameterized;

fn snapshot(last: u64) -> Record {
    Record::Snapshot { last: Seq(last), stamp: ViewEpoch(1), body: last.to_be_bytes().to_vec() }
}

fn changes(from: u64, to: u64) -> Vec<Record> {
    (from..=to).map(|seq| Record::Change { change: change(seq, 1) }).collect()
}

/// What a disk may hold after a fold: a snapshot with changes from before it, after it, or both. The state is
/// that of the newest change, each applied once.
#[parameterized(
    old_snapshot_newer_log = { 10, 11, 40 },
    newer_snapshot_older_log = { 40, 21, 40 },
    snapshot_within_the_log = { 30, 21, 40 },
    log_that_begins_with_the_first = { 30, 1, 40 },
    snapshot_alone = { 40, 41, 40 },
)]
fn each_change_is_applied_once_whatever_is_older(at: u64, from: u64, to: u64) {
    let mut records = vec![Record::View { view: view(1, &[(1, true), (2, true)]) }, snapshot(at)];
    records.extend(changes(from, to));
    let replica = replica(2, records);
    assert_eq!((replica.state_machine(), replica.state().last), (&Tally(40), Seq(40)));
}

/// A log that doesn't reach the snapshot lacks changes: nothing of it is served.
#[parameterized(after_a_gap = { 10, 12, 40 }, from_nothing = { 0, 2, 3 })]
fn a_log_that_lacks_changes_after_the_snapshot_is_a_fault(at: u64, from: u64, to: u64) {
    let mut records = if at == 0 { vec![] } else { vec![snapshot(at)] };
    records.extend(changes(from, to));
    let made = Replica::new(voter(1), vec![], Timing::default(), Kept { records }, Tally(0), Moment(0));
    assert_eq!(made.err(), Some(KeptFault::Gap(Seq(from))));
}

/// A log older than its snapshot ends before it: what comes next follows the snapshot, not the log.
#[test]
fn a_log_that_ends_before_its_snapshot_does_not_take_the_state_back() {
    let mut records = vec![Record::View { view: view(1, &[(1, true), (2, true)]) }, snapshot(40)];
    records.extend(changes(11, 20));
    let replica = replica(2, records);
    assert_eq!((replica.state_machine(), replica.state().last), (&Tally(40), Seq(40)));
    assert!(replica.log.back().is_none_or(|newest| newest.seq == Seq(40)), "its log ends at {:?}", replica.log.back());
}
