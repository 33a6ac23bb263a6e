//! Members that leave, votes that move, leases over a change of voters.

use super::*;
use crate::messages::{Record, ReplicationMessage};
use crate::replica::{Input, Replica};
use types::{MonotonicInstant, ViewNumber};

/// The next view is decided by its own voters: most of them may never have given the tail their word.
#[test]
fn a_lease_given_by_other_voters_is_not_counted() {
    let mut tail = replica(
        3,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    assert!(grant_all(&mut tail, 11_000));
    let mut next = view(2, &[(2, true), (3, true)]);
    tell(
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
    tell(
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

impl Core {
    fn leave(&mut self, n: u16) {
        let replica = self.replicas[usize::from(n) - 1].as_mut().expect("it runs");
        replica.step(MonotonicInstant(self.at), Input::Drain);
    }
    fn has_handed_over(&self, n: u16) -> bool {
        self.replicas[usize::from(n) - 1]
            .as_ref()
            .is_some_and(Replica::has_handed_over)
    }
}

fn core_of_three(all: u16) -> Core {
    let mut core = Core::new(3, 3, all);
    core.timing.min_chain_length = 2;
    core.replicas.clear();
    core.replicas.resize_with(usize::from(all), || None);
    (1..=all).for_each(|n| core.start(n));
    core.play(4000, None);
    assert_eq!(core.play(1000, Some((1, 1))), Some(true));
    core
}

#[test]
fn a_leaving_member_gives_its_vote_to_one_that_holds_everything() {
    for leaver in 1..=3 {
        let mut core = core_of_three(4);
        core.leave(leaver);
        core.play(500, None);
        assert!(core.has_handed_over(leaver), "{leaver}");
        core.stop(leaver);
        let (voters, chain, held) = core.core().expect("it responds at once");
        let rest: Vec<u16> = (1..=4).filter(|n| *n != leaver).collect();
        assert_eq!((&voters, &chain, held), (&rest, &rest, 1), "{leaver}");
        assert_eq!(core.play(200, Some((4, 2))), Some(true), "{leaver}");
    }
}

#[test]
fn a_leaving_member_without_a_successor_gives_up_its_seat_and_keeps_its_vote() {
    for leaver in 1..=3 {
        let mut core = core_of_three(3);
        core.leave(leaver);
        core.play(500, None);
        assert!(core.has_handed_over(leaver), "{leaver}");
        core.stop(leaver);
        let (voters, chain, _) = core.core().expect("it responds at once");
        let rest: Vec<u16> = (1..=3).filter(|n| *n != leaver).collect();
        assert_eq!((&voters, &chain), (&vec![1, 2, 3], &rest), "{leaver}");
        assert_eq!(core.play(200, Some((rest[0], 2))), Some(true), "{leaver}");
        core.start(leaver);
        core.play(2000, None);
        assert_eq!(
            core.core().map(|(_, chain, _)| chain),
            Some(vec![1, 2, 3]),
            "{leaver} is back"
        );
    }
}

/// The last one that is agreed to hold everything doesn't go while others can still be made level.
#[test]
fn the_last_level_member_stays_until_another_is_level() {
    let mut core = core_of_three(4);
    core.stop(1);
    core.stop(4);
    core.play(3000, None);
    core.leave(2);
    core.leave(3);
    core.play(1000, None);
    assert!(!core.has_handed_over(2) && !core.has_handed_over(3));
    core.start(1);
    core.start(4);
    core.play(2000, None);
    assert!(core.has_handed_over(2) && core.has_handed_over(3));
    core.stop(2);
    core.stop(3);
    core.play(3000, None);
    let (_, chain, held) = core.core().expect("it responds");
    assert_eq!((chain, held), (vec![1, 4], 1));
}

#[test]
fn a_vote_moves_within_three_seconds_where_a_successor_is_there() {
    let mut core = core_of_three(4);
    core.stop(2);
    core.play(3000, None);
    assert_eq!(core.core().map(|(voters, ..)| voters), Some(vec![1, 3, 4]));
}

/// A tail that hears nobody can't renew its lease; while its beats still come, nobody would miss it.
#[test]
fn one_that_hears_nobody_says_so_and_is_left_out() {
    let mut core = core_of_three(3);
    core.deaf = Some(3);
    core.play(2500, None);
    assert_eq!(core.core().map(|(_, chain, _)| chain), Some(vec![1, 2]));
    core.deaf = None;
    core.play(1500, None);
    assert_eq!(core.core().map(|(_, chain, _)| chain), Some(vec![1, 2, 3]));
}
