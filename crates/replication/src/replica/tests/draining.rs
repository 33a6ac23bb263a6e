//! Members that leave, votes that move, leases over a change of voters.

use super::*;
use crate::messages::{Record, ReplicationMessage};
use crate::replica::{Input, Replica};
use types::{MonotonicInstant, ViewNumber};

/// The next view is decided by its own voters: most of them may never have
/// given the tail their word.
#[test]
fn a_lease_granted_by_other_voters_is_not_counted() {
    let mut tail = replica(
        3,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    assert!(grant_all(&mut tail, 11_000));
    let mut next = view(2, &[(2, true), (3, true)]);
    deliver(
        &mut tail,
        11_050,
        2,
        ReplicationMessage::Decided { view: next.clone() },
    );
    assert!(
        tail.may_respond(MonotonicInstant(11_060)),
        "the same voters"
    );
    next.epoch = ViewNumber(3);
    next.voters = vec![voter(4), voter(2), voter(3)];
    deliver(
        &mut tail,
        11_070,
        2,
        ReplicationMessage::Decided { view: next },
    );
    assert!(
        !tail.may_respond(MonotonicInstant(11_080)),
        "of the voters 2, 3 and 4, only 3 is known to keep its word"
    );
    assert!(grant_all(&mut tail, 11_100));
}

impl Cluster {
    fn drain(&mut self, n: u16) {
        let replica = self.replicas[usize::from(n) - 1].as_mut().expect("it runs");
        replica.step(MonotonicInstant(self.at), Input::Drain);
    }
    fn has_handed_over(&self, n: u16) -> bool {
        self.replicas[usize::from(n) - 1]
            .as_ref()
            .is_some_and(Replica::has_handed_over)
    }
}

fn cluster_of_three(all: u16) -> Cluster {
    let mut cluster = Cluster::new(3, 3, all);
    cluster.timing.min_chain_length = 2;
    cluster.replicas.clear();
    cluster.replicas.resize_with(usize::from(all), || None);
    (1..=all).for_each(|n| cluster.start(n));
    cluster.play(4000, None);
    assert_eq!(cluster.play(1000, Some((1, 1))), Some(true));
    cluster
}

#[test]
fn a_draining_member_hands_its_vote_to_a_caught_up_follower() {
    for drained in 1..=3 {
        let mut cluster = cluster_of_three(4);
        cluster.drain(drained);
        cluster.play(500, None);
        assert!(cluster.has_handed_over(drained), "{drained}");
        cluster.stop(drained);
        let (voters, chain, change_count) = cluster.cluster().expect("it responds at once");
        let rest: Vec<u16> = (1..=4).filter(|n| *n != drained).collect();
        assert_eq!(
            (&voters, &chain, change_count),
            (&rest, &rest, 1),
            "{drained}"
        );
        assert_eq!(cluster.play(200, Some((4, 2))), Some(true), "{drained}");
    }
}

#[test]
fn a_draining_member_without_a_replacement_keeps_its_vote() {
    for drained in 1..=3 {
        let mut cluster = cluster_of_three(3);
        cluster.drain(drained);
        cluster.play(500, None);
        assert!(cluster.has_handed_over(drained), "{drained}");
        cluster.stop(drained);
        let (voters, chain, _) = cluster.cluster().expect("it responds at once");
        let rest: Vec<u16> = (1..=3).filter(|n| *n != drained).collect();
        assert_eq!((&voters, &chain), (&vec![1, 2, 3], &rest), "{drained}");
        assert_eq!(
            cluster.play(200, Some((rest[0], 2))),
            Some(true),
            "{drained}"
        );
        cluster.start(drained);
        cluster.play(2000, None);
        assert_eq!(
            cluster.cluster().map(|(_, chain, _)| chain),
            Some(vec![1, 2, 3]),
            "{drained} is back"
        );
    }
}

/// The last one that is agreed to hold everything doesn't go while others can still be made level.
#[test]
fn the_last_caught_up_member_stays_until_another_has_caught_up() {
    let mut cluster = cluster_of_three(4);
    cluster.stop(1);
    cluster.stop(4);
    cluster.play(3000, None);
    cluster.drain(2);
    cluster.drain(3);
    cluster.play(1000, None);
    assert!(!cluster.has_handed_over(2) && !cluster.has_handed_over(3));
    cluster.start(1);
    cluster.start(4);
    cluster.play(2000, None);
    assert!(cluster.has_handed_over(2) && cluster.has_handed_over(3));
    cluster.stop(2);
    cluster.stop(3);
    cluster.play(3000, None);
    let (_, chain, change_count) = cluster.cluster().expect("it responds");
    assert_eq!((chain, change_count), (vec![1, 4], 1));
}

#[test]
fn a_vote_moves_within_three_seconds_to_a_follower() {
    let mut cluster = cluster_of_three(4);
    cluster.stop(2);
    cluster.play(3000, None);
    assert_eq!(
        cluster.cluster().map(|(voters, ..)| voters),
        Some(vec![1, 3, 4])
    );
}

/// A tail that hears nobody can't renew its lease; while its beats still
/// come, nobody would miss it.
#[test]
fn an_isolated_member_says_so_and_is_dropped() {
    let mut cluster = cluster_of_three(3);
    cluster.unreachable = Some(3);
    cluster.play(2500, None);
    assert_eq!(
        cluster.cluster().map(|(_, chain, _)| chain),
        Some(vec![1, 2])
    );
    cluster.unreachable = None;
    cluster.play(1500, None);
    assert_eq!(
        cluster.cluster().map(|(_, chain, _)| chain),
        Some(vec![1, 2, 3])
    );
}
