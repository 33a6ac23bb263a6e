//! Changes that need more than half of the fleet's members, and of the members before the last
//! change of the membership.

use super::*;
use crate::leases::{LeaseTable, Membership};
use crate::messages::{ChangeRequestId, Record, ReplicationMessage};
use crate::replica::{Input, Output, RecoveredRecords, Replica, Timing};
use crate::state_machine::{Preview, StateMachine};
use types::{Address, ConfigEpoch, MonotonicInstant, ViewNumber};
use yare::parameterized;

/// Counts changes, each of which needs the majority of the members.
#[derive(Debug, Clone, PartialEq)]
struct Guarded(Counter);

impl StateMachine for Guarded {
    fn preview(&self, body: &[u8]) -> Preview {
        self.0.preview(body)
    }
    fn requires_member_majority(&self, _: &[u8]) -> bool {
        true
    }
    fn apply(&mut self, body: &[u8]) -> Vec<u8> {
        self.0.apply(body)
    }
    fn snapshot(&self) -> Vec<u8> {
        self.0.snapshot()
    }
    fn restore(snapshot: &[u8]) -> Option<Self> {
        Counter::restore(snapshot).map(Guarded)
    }
}

/// The head of a chain with these members.
fn head_of(chain: &[(u16, bool)]) -> Replica<Guarded> {
    let mut view = view(1, chain);
    view.voters = chain.iter().map(|(n, _)| voter(*n)).collect();
    let timing = Timing {
        min_chain_length: chain.len(),
        ..Timing::default()
    };
    let recovered = RecoveredRecords {
        records: vec![Record::View { view }],
    };
    let (empty, start) = (Guarded(Counter(0)), MonotonicInstant(10_000));
    Replica::new(voter(1), vec![], timing, recovered, empty, start).unwrap()
}

/// Proposes a change at the head of a chain of one, with all its writes synced; gives whether the
/// answer was final.
fn propose(replica: &mut Replica<Guarded>, at: u64, number: u64) -> Option<bool> {
    let now = MonotonicInstant(at);
    let mut outputs = replica.step(now, Input::Tick);
    let body = vec![1];
    outputs.extend(replica.step(now, Input::Propose { number, body }));
    let mut answer = None;
    while !outputs.is_empty() {
        let mut next = vec![];
        for output in outputs {
            match output {
                Output::Write { id, .. } => next.extend(replica.step(now, Input::Written { id })),
                Output::Committed { request_id, body } => {
                    next.extend(replica.respond(now, request_id, body));
                }
                Output::Response { is_final, .. } => answer = Some(is_final),
                _ => {}
            }
        }
        outputs = next;
    }
    answer
}

#[test]
fn a_change_waits_for_the_previous_members_majority_until_the_membership_is_settled() {
    let address = |ports: &[u16]| ports.iter().copied().map(Address::loopback).collect();
    let membership = Membership {
        members: address(&[11, 12, 13]),
        previous: address(&[21, 22, 23]),
        since: ConfigEpoch(5),
    };
    let (mut replica, mut table) = (head_of(&[(1, true)]), LeaseTable::default());
    let mut propose_with = |table: &LeaseTable, at: u64, number: u64| {
        replica.set_has_member_majority(table.has_majority(&membership, MonotonicInstant(at)));
        let answer = propose(&mut replica, at, number);
        (answer, replica.state_machine().0.0)
    };
    let lease_deadline = MonotonicInstant(20_000);
    for port in [11, 12, 13, 21] {
        table.renew(Address::loopback(port), ConfigEpoch(5), lease_deadline);
    }
    assert!(!table.is_membership_settled(&membership));
    assert_eq!(
        propose_with(&table, 10_100, 1),
        (Some(false), 0),
        "all present members hold leases, but only one of three previous ones"
    );
    table.renew(Address::loopback(22), ConfigEpoch(5), lease_deadline);
    assert!(table.is_membership_settled(&membership));
    assert_eq!(propose_with(&table, 10_300, 2), (Some(true), 1));
    assert_eq!(
        propose_with(&table, 20_000, 3),
        (Some(false), 1),
        "all leases have run out"
    );
}

/// What the head, with a tail at another machine, goes by: the tail's own
/// heartbeat, and a recent one.
#[parameterized(
    tail_sees_a_majority = { 2, 2, true, 10_200, true },
    tail_sees_none = { 2, 2, false, 10_200, false },
    tail_is_silent = { 2, 2, true, 11_000, false },
    tail_with_another_disk = { 2, 9, true, 10_200, false },
    another_replica_says_so = { 3, 3, true, 10_200, false },
)]
fn the_head_goes_by_a_recent_heartbeat_of_the_tail(
    from: u16,
    disk: u16,
    has_majority: bool,
    at: u64,
    is_taken: bool,
) {
    let mut head = head_of(&[(1, true), (2, true)]);
    let message = ReplicationMessage::Heartbeat {
        disk: voter(disk).disk,
        view: ViewNumber(1),
        last: SequenceNumber(0),
        origin_view: ViewNumber(0),
        commit_index: SequenceNumber(0),
        is_caught_up: true,
        is_healthy: true,
        has_member_majority: has_majority,
    };
    let from = Address::loopback(from);
    head.step(MonotonicInstant(10_200), Input::Message { from, message });
    let request_id = ChangeRequestId {
        origin: Address::loopback(4),
        number: 1,
    };
    let message = ReplicationMessage::Propose {
        request_id,
        body: vec![1],
    };
    let outputs = head.step(MonotonicInstant(at), Input::Message { from, message });
    let is_rejected = |output: &Output| {
        matches!(
            output,
            Output::Send {
                message: ReplicationMessage::Response {
                    is_final: false,
                    ..
                },
                ..
            }
        )
    };
    let is_append = |output: &Output| matches!(output, Output::Write { .. });
    assert_eq!(outputs.iter().any(is_append), is_taken, "{outputs:?}");
    assert_eq!(outputs.iter().any(is_rejected), !is_taken, "{outputs:?}");
}
