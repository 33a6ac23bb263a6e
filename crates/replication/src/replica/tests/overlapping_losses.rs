//! Disks that are lost while other members are away with theirs: whatever was committed and is on a
//! disk that comes back is there again, and the chain takes changes again.

use super::*;
use crate::messages::{Record, ReplicationMessage};
use yare::parameterized;

/// Between two moments at which a disk is lost, in milliseconds.
const MOMENT_STEP: u64 = 50;
/// The last such moment after the return of the others: by then the chain is complete again.
const LAST_MOMENT: u64 = 3000;
/// All are back for so long before the core must serve, in milliseconds.
const RECOVERY: u64 = 12_000;

impl Cluster {
    fn with_copies(members: u16, copies: usize, timing: Timing) -> Cluster {
        let mut cluster = Cluster::new(members, usize::from(members), members);
        cluster.timing = Timing {
            min_chain_length: copies,
            target_voters: usize::from(members),
            ..timing
        };
        (1..=members).for_each(|n| cluster.start(n));
        cluster.play(4000, None);
        cluster
    }
    fn commit(&mut self, via: u16, number: u64) {
        assert_eq!(self.play(500, Some((via, number))), Some(true), "{number}");
    }
    fn stop_all(&mut self, members: &[u16]) {
        members.iter().for_each(|n| self.stop(*n));
    }
    fn start_all(&mut self, members: &[u16]) {
        members.iter().for_each(|n| self.start(*n));
    }
    fn assert_recovered(&mut self, changes: u64, case: &str) {
        self.play(RECOVERY, None);
        let found = self.cluster().map(|(_, _, change_count)| change_count);
        assert_eq!(found, Some(changes), "{case}");
        assert_eq!(self.play(1000, Some((1, 99))), Some(true), "{case}");
    }
}

/// Catch-up by changes from the log.
fn small_changes() -> Timing {
    Timing::default()
}

/// Catch-up by snapshots of many chunks, as with large configurations.
fn long_catch_up() -> Timing {
    Timing {
        compaction_threshold_bytes: 0,
        catch_up_batch_bytes: 0,
        snapshot_chunk_bytes: 1,
        ..Timing::default()
    }
}

/// The core never answers again: one of three is away while changes are committed on the others; as it
/// is back and the second one is away, the third loses its disk.
#[parameterized(
    head_loses_its_disk = { [2, 3, 1] },
    head_loses_its_disk_after_the_tail_was_away = { [3, 2, 1] },
    middle_loses_its_disk = { [1, 3, 2] },
    middle_loses_its_disk_after_the_tail_was_away = { [3, 1, 2] },
    tail_loses_its_disk = { [1, 2, 3] },
    tail_loses_its_disk_after_the_middle_was_away = { [2, 1, 3] },
)]
fn one_of_three_disks_is_lost_while_the_others_come_back(members: [u16; 3]) {
    let [first, second, third] = members;
    for (name, timing) in [("log", small_changes()), ("snapshot", long_catch_up())] {
        for moment in (0..=LAST_MOMENT).step_by(MOMENT_STEP as usize) {
            let mut cluster = Cluster::with_copies(3, 2, timing);
            cluster.stop(first);
            cluster.play(3000, None);
            (1..=4).for_each(|number| cluster.commit(third, number));
            cluster.stop(second);
            cluster.play(300, None);
            cluster.start(first);
            cluster.play(moment, None);
            cluster.wipe(third);
            cluster.play(300, None);
            cluster.start_all(&[second, third]);
            cluster.assert_recovered(4, &format!("{name}, {moment} ms after the return"));
        }
    }
}

/// The same with five members and three copies, of which two lose their disks one after the other.
#[parameterized(
    ends_of_the_chain_hold_everything = { [2, 3], [1, 5], [4, 2] },
    newest_members_hold_everything = { [1, 2], [4, 5], [3, 1] },
    oldest_members_hold_everything = { [4, 5], [1, 2], [3, 4] },
    middle_members_hold_everything = { [1, 5], [3, 4], [2, 5] },
)]
fn two_of_five_disks_are_lost_while_the_others_come_back(
    first: [u16; 2],
    second: [u16; 2],
    lost: [u16; 2],
) {
    for pause in [0, 200, 1500] {
        for moment in (0..=LAST_MOMENT).step_by(2 * MOMENT_STEP as usize) {
            let mut cluster = Cluster::with_copies(5, 3, small_changes());
            cluster.stop_all(&first);
            cluster.play(3000, None);
            cluster.commit(lost[0], 1);
            cluster.stop_all(&second);
            cluster.play(300, None);
            cluster.start_all(&first);
            cluster.play(moment, None);
            cluster.wipe(lost[0]);
            cluster.play(pause, None);
            cluster.wipe(lost[1]);
            cluster.play(300, None);
            cluster.start_all(&second);
            cluster.start_all(&lost);
            cluster.assert_recovered(
                1,
                &format!("{moment} ms after the return, {pause} ms apart"),
            );
        }
    }
}

fn lone_view(reserve: &[u16]) -> View {
    View {
        reserve: reserve.iter().map(|n| voter(*n)).collect(),
        ..view(2, &[(1, true)])
    }
}

/// A reader would see a change that is on one disk only and may not come back.
#[parameterized(
    not_known_to_be_committed = { 0, false },
    known_to_be_committed = { 1, true },
)]
fn a_lone_tail_shows_only_what_is_committed(committed: u64, may_respond: bool) {
    let mut records = vec![Record::View {
        view: view(1, &[(1, true), (2, true), (3, true)]),
    }];
    records.push(Record::Change {
        change: change(1, 1),
    });
    let mut lone = replica(1, records);
    let mut of_tail = heartbeat(3);
    if let ReplicationMessage::Heartbeat { commit_index, .. } = &mut of_tail {
        *commit_index = SequenceNumber(committed);
    }
    deliver(&mut lone, 10_100, 3, of_tail);
    let view = lone_view(&[2, 3]);
    deliver(&mut lone, 11_200, 2, ReplicationMessage::Decided { view });
    assert_eq!(grant_all(&mut lone, 11_300), may_respond);
}

/// A folder that an earlier version wrote knows of no reserve: its one caught-up member goes on.
#[test]
fn a_view_of_an_earlier_version_goes_on_from_its_caught_up_member() {
    let mut cluster = Cluster::with_copies(3, 2, small_changes());
    cluster.commit(1, 1);
    cluster.stop_all(&[1, 2, 3]);
    for records in &mut cluster.records {
        let view = lone_view(&[]);
        records.push(Record::View { view });
    }
    cluster.start_all(&[1, 2, 3]);
    cluster.assert_recovered(1, "restarted in the middle of its recovery");
}
