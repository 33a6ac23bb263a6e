//! What a ballot proposes: what the view should be once most have promised, not
//! what it should have been before.

use super::*;
use crate::messages::{ProposalNumber, Record, ReplicationMessage, ViewProposal};
use crate::replica::{Input, Replica};
use types::{DiskId, ViewNumber};

fn promise(n: u16, proposal_number: ProposalNumber) -> ReplicationMessage {
    ReplicationMessage::Promise {
        instance: ViewNumber(2),
        proposal_number,
        disk: DiskId(u128::from(n)),
        accepted: None,
    }
}

/// The chains that it asks others to accept.
fn proposed(sent: &[(u16, ReplicationMessage)]) -> Vec<Vec<u16>> {
    let chain = |proposal: &ViewProposal| {
        proposal
            .view
            .chain
            .iter()
            .map(|position| position.voter.address.0.port())
            .collect()
    };
    let accepts = sent.iter().filter_map(|(to, message)| match message {
        ReplicationMessage::Accept { proposal } if *to == 2 => Some(chain(proposal)),
        _ => None,
    });
    accepts.collect()
}

/// Replica 1 of three after a restart of all, at the moment when it has begun
/// a ballot since it heard nobody.
fn isolated_with_a_proposal() -> (Replica<Counter>, ProposalNumber, u64) {
    let mut replica = replica(
        1,
        vec![Record::View {
            view: view(1, &[(1, true), (2, true), (3, true)]),
        }],
    );
    for at in (10_000..12_000).step_by(50) {
        let sent = step_synced(&mut replica, at, Input::Tick);
        let proposal_number = sent.iter().find_map(|(_, message)| match message {
            ReplicationMessage::Prepare {
                proposal_number, ..
            } => Some(*proposal_number),
            _ => None,
        });
        if let Some(proposal_number) = proposal_number {
            return (replica, proposal_number, at);
        }
    }
    panic!("it bids for no view");
}

#[test]
fn a_member_that_returns_during_a_proposal_keeps_its_position() {
    let (mut replica, proposal_number, at) = isolated_with_a_proposal();
    deliver(&mut replica, at + 40, 2, heartbeat(2));
    let sent = deliver(&mut replica, at + 45, 2, promise(2, proposal_number));
    assert_eq!(
        proposed(&sent),
        [[1, 2]],
        "a view of one alone would rest on one disk while two are there"
    );
}

#[test]
fn the_proposer_awaits_the_heartbeat_of_a_promiser() {
    let (mut replica, proposal_number, at) = isolated_with_a_proposal();
    let sent = deliver(&mut replica, at + 40, 2, promise(2, proposal_number));
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
    deliver(&mut replica, at + 60, 2, heartbeat(2));
    let sent = step_synced(&mut replica, at + 75, Input::Tick);
    assert_eq!(proposed(&sent), [[1, 2]]);
}

#[test]
fn nothing_is_proposed_once_all_are_back() {
    let (mut replica, proposal_number, at) = isolated_with_a_proposal();
    [2, 3]
        .into_iter()
        .for_each(|n| drop(deliver(&mut replica, at + 40, n, heartbeat(n))));
    let sent = deliver(&mut replica, at + 45, 2, promise(2, proposal_number));
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
    let sent = step_synced(&mut replica, at + 100, Input::Tick);
    assert_eq!(proposed(&sent), Vec::<Vec<u16>>::new());
}

#[test]
fn an_accepted_proposal_is_proposed_again() {
    let (mut replica, proposal_number, at) = isolated_with_a_proposal();
    [2, 3]
        .into_iter()
        .for_each(|n| drop(deliver(&mut replica, at + 40, n, heartbeat(n))));
    let before = ViewProposal {
        proposal_number: ProposalNumber {
            count: 0,
            proposer: 9,
        },
        view: view(2, &[(2, true), (3, true)]),
    };
    let accepted = Some(before);
    let message = ReplicationMessage::Promise {
        instance: ViewNumber(2),
        proposal_number,
        disk: DiskId(2),
        accepted,
    };
    let sent = deliver(&mut replica, at + 45, 2, message);
    assert_eq!(proposed(&sent), [[2, 3]]);
}
