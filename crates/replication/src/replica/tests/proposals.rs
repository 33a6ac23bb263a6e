//! What a ballot proposes: what the view should be once most have promised, not what it should have been before.

use super::*;
use crate::notes::{Ballot, Note, Record, Round};
use crate::replica::{Input, Replica};
use types::{DiskId, ViewNumber};

fn promise(n: u16, round: Round) -> Note {
    Note::Promise {
        instance: ViewNumber(2),
        round,
        disk: DiskId(u128::from(n)),
        accepted: None,
    }
}

/// The chains that it asks others to accept.
fn proposed(sent: &[(u16, Note)]) -> Vec<Vec<u16>> {
    let chain = |ballot: &Ballot| {
        ballot
            .view
            .chain
            .iter()
            .map(|position| position.voter.address.0.port())
            .collect()
    };
    let accepts = sent.iter().filter_map(|(to, note)| match note {
        Note::Accept { ballot } if *to == 2 => Some(chain(ballot)),
        _ => None,
    });
    accepts.collect()
}

/// Replica 1 of three after a restart of all, at the moment when it has begun a ballot since it heard nobody.
fn alone_with_a_ballot() -> (Replica<Tally>, Round, u64) {
    let mut replica = replica(
        1,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    for at in (10_000..12_000).step_by(50) {
        let sent = settle(&mut replica, at, Input::ClockEvent);
        let round = sent.iter().find_map(|(_, note)| match note {
            Note::Prepare { round, .. } => Some(*round),
            _ => None,
        });
        if let Some(round) = round {
            return (replica, round, at);
        }
    }
    panic!("it bids for no view");
}

#[test]
fn one_that_came_back_while_a_ballot_was_under_way_keeps_its_seat() {
    let (mut replica, round, at) = alone_with_a_ballot();
    tell(&mut replica, at + 40, 2, beat(2));
    let sent = tell(&mut replica, at + 45, 2, promise(2, round));
    assert_eq!(
        proposed(&sent),
        [[1, 2]],
        "a view of one alone would rest on one disk while two are there"
    );
}

#[test]
fn one_that_promised_is_waited_for_until_it_tells_how_far_it_is() {
    let (mut replica, round, at) = alone_with_a_ballot();
    let sent = tell(&mut replica, at + 40, 2, promise(2, round));
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
    tell(&mut replica, at + 60, 2, beat(2));
    let sent = settle(&mut replica, at + 75, Input::ClockEvent);
    assert_eq!(proposed(&sent), [[1, 2]]);
}

#[test]
fn nothing_is_proposed_once_all_are_back() {
    let (mut replica, round, at) = alone_with_a_ballot();
    [2, 3]
        .into_iter()
        .for_each(|n| drop(tell(&mut replica, at + 40, n, beat(n))));
    let sent = tell(&mut replica, at + 45, 2, promise(2, round));
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
    let sent = settle(&mut replica, at + 100, Input::ClockEvent);
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
}

#[test]
fn what_was_accepted_before_is_proposed_whatever_should_be_now() {
    let (mut replica, round, at) = alone_with_a_ballot();
    [2, 3]
        .into_iter()
        .for_each(|n| drop(tell(&mut replica, at + 40, n, beat(n))));
    let before = Ballot {
        round: Round {
            count: 0,
            proposer: 9,
        },
        view: view(2, &[(2, true), (3, true)]),
    };
    let accepted = Some(before);
    let note = Note::Promise {
        instance: ViewNumber(2),
        round,
        disk: DiskId(2),
        accepted,
    };
    let sent = tell(&mut replica, at + 45, 2, note);
    assert_eq!(proposed(&sent), [[2, 3]]);
}
