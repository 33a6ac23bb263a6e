use super::*;
use crate::messages::{Record, ReplicationMessage};
use crate::replica::{Input, Output, RecoveredRecords, RecoveryError, Replica, Timing};
use types::{Address, MonotonicInstant, SequenceNumber, ViewNumber};
use yare::parameterized;

fn snapshot(last: u64) -> Record {
    Record::Snapshot {
        last: SequenceNumber(last),
        origin_view: ViewNumber(1),
        body: last.to_be_bytes().to_vec(),
    }
}

fn changes(from: u64, to: u64) -> Vec<Record> {
    (from..=to)
        .map(|seq| Record::Change {
            change: change(seq, 1),
        })
        .collect()
}

/// What a disk may hold after a fold: a snapshot with changes from before it, after it, or both.
/// The state is that of the newest change, each applied once.
#[parameterized(
    old_snapshot_newer_log = { 10, 11, 40 },
    newer_snapshot_older_log = { 40, 21, 40 },
    snapshot_within_the_log = { 30, 21, 40 },
    log_that_begins_with_the_first = { 30, 1, 40 },
    snapshot_alone = { 40, 41, 40 },
)]
fn each_change_is_applied_once_whatever_is_older(at: u64, from: u64, to: u64) {
    let mut records = vec![
        Record::View {
            view: view(1, &[(1, true), (2, true)]),
        },
        snapshot(at),
    ];
    records.extend(changes(from, to));
    let replica = replica(2, records);
    assert_eq!(
        (replica.state_machine(), replica.state().last),
        (&Counter(40), SequenceNumber(40))
    );
}

/// A log that doesn't reach the snapshot lacks changes: nothing of it is served.
#[parameterized(after_a_gap = { 10, 12, 40 }, from_nothing = { 0, 2, 3 })]
fn a_log_that_lacks_changes_after_the_snapshot_is_an_error(at: u64, from: u64, to: u64) {
    let mut records = if at == 0 { vec![] } else { vec![snapshot(at)] };
    records.extend(changes(from, to));
    let made = Replica::new(
        voter(1),
        vec![],
        Timing::default(),
        RecoveredRecords { records },
        Counter(0),
        MonotonicInstant(0),
    );
    assert_eq!(made.err(), Some(RecoveryError::Gap(SequenceNumber(from))));
}

/// A log older than its snapshot ends before it: what comes next follows the snapshot, not the log.
#[test]
fn a_log_that_ends_before_its_snapshot_does_not_take_the_state_back() {
    let mut records = vec![
        Record::View {
            view: view(1, &[(1, true), (2, true)]),
        },
        snapshot(40),
    ];
    records.extend(changes(11, 20));
    let replica = replica(2, records);
    assert_eq!(
        (replica.state_machine(), replica.state().last),
        (&Counter(40), SequenceNumber(40))
    );
    assert!(
        replica
            .log
            .back()
            .is_none_or(|newest| newest.seq == SequenceNumber(40)),
        "its log ends at {:?}",
        replica.log.back()
    );
}

/// Seed 76001237 of `pahana`: a replica was restarted before a fetched snapshot had reached its
/// disk, had a seat by what it had held in memory, and went on from a change that was never
/// accepted. An acknowledged change was lost.
#[test]
fn a_follower_requests_catch_up_only_once_its_snapshot_is_synced() {
    let chain = [(1, true), (2, true)];
    let mut behind = replica(
        3,
        vec![Record::View {
            view: view(1, &chain),
        }],
    );
    let from_tail = |behind: &mut Replica<Counter>, message: ReplicationMessage| {
        behind.step(
            MonotonicInstant(10_000),
            Input::Message {
                from: Address::loopback(2),
                message,
            },
        )
    };
    let (last, origin_view) = (SequenceNumber(40), ViewNumber(1));
    from_tail(
        &mut behind,
        ReplicationMessage::SnapshotOffer {
            last,
            origin_view,
            length: 8,
        },
    );
    let bytes = 40u64.to_be_bytes().to_vec();
    let outputs = from_tail(
        &mut behind,
        ReplicationMessage::SnapshotChunk {
            last,
            origin_view,
            offset: 0,
            length: 8,
            bytes,
        },
    );
    let written = outputs.iter().find_map(|output| match output {
        Output::Write {
            id,
            replaces_all: true,
            ..
        } => Some(*id),
        _ => None,
    });
    let requests = |outputs: Vec<Output>| {
        outputs.iter().any(|output| {
            matches!(
                output,
                Output::Send {
                    message: ReplicationMessage::CatchUpRequest { .. },
                    ..
                }
            )
        })
    };
    assert!(
        !requests(behind.step(MonotonicInstant(10_100), Input::Tick)),
        "the snapshot isn't synced"
    );
    behind.step(
        MonotonicInstant(10_150),
        Input::Written {
            id: written.expect("it writes the snapshot"),
        },
    );
    assert!(requests(behind.step(MonotonicInstant(10_300), Input::Tick)));
}

/// The same: its predecessor took the number of its last change for the change.
#[parameterized(same_change = { 2, true }, another_change_of_that_number = { 1, false })]
fn a_successor_is_caught_up_only_on_the_same_history(origin_view: u64, is_caught_up: bool) {
    let mut records = vec![Record::View {
        view: view(2, &[(1, true), (2, false)]),
    }];
    records.extend((1..=3).map(|seq| Record::Change {
        change: change(seq, 2),
    }));
    let mut head = replica(1, records);
    let heartbeat = ReplicationMessage::Heartbeat {
        disk: voter(2).disk,
        view: ViewNumber(2),
        last: SequenceNumber(3),
        origin_view: ViewNumber(origin_view),
        commit_index: SequenceNumber(0),
        is_caught_up: false,
        is_healthy: true,
        has_member_majority: true,
    };
    let sent = deliver(&mut head, 10_050, 2, heartbeat);
    assert_eq!(
        sent.iter()
            .any(|(_, message)| matches!(message, ReplicationMessage::CatchUpTarget { .. })),
        is_caught_up
    );
    assert_eq!(head.has_diverged(&voter(2)), !is_caught_up);
}
