//! Founding: how the first view (number 1) is decided, before there are voters.
//!
//! Published Paxos takes the set of acceptors as given. Here the acceptors of the first view are
//! the founders that the settings name, so a few rules are added:
//!
//! - Only a replica whose disk was empty when the settings named it, or whose disk says that it was
//!   named then, is a founder ([`Replica::is_founder`]). Without this rule, wiped disks could found
//!   a second, empty chain beside the first one.
//! - The founder writes a promise of the lowest proposal number before anything else, which marks
//!   its disk for good.
//! - A majority of the founders suffices. The place of a founder that didn't promise is kept for
//!   its address with disk id 0: a vote that nobody can cast, until a replica
//!   at that address takes it over.

use super::view_change::ProposalAttempt;
use super::{PeerState, Replica};
use crate::messages::{ProposalNumber, Record, ViewProposal};
use crate::state_machine::StateMachine;
use crate::view::{ChainPosition, View, Voter};
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

impl<C: StateMachine> Replica<C> {
    /// Whether this replica votes on the first view: the settings named it when its disk was empty,
    /// and the disk has not been used for anything else since.
    pub(super) fn is_founder(&self) -> bool {
        let is_untouched = self.has_unused_disk || self.promised.0 == ViewNumber(1);
        let is_named = self.founders.contains(&self.me.address);
        self.view.epoch == ViewNumber(0)
            && is_named
            && is_untouched
            && self.last.0 == SequenceNumber(0)
    }

    /// Starts or continues the proposal of the first view: the founder with the lowest address
    /// proposes at once when all founders are reachable; otherwise a majority is enough, and the
    /// founders take turns.
    pub(super) fn drive_founding(&mut self) {
        if !self.is_founder() {
            return;
        }
        if self.promised.0 == ViewNumber(0) {
            self.mark_as_founder();
        }
        if self.view_change.attempt.is_some() {
            return self.propose_first_view();
        }
        if !self.may_start_founding() {
            return;
        }
        self.view_change.highest_count += 1;
        let proposal_number = ProposalNumber {
            count: self.view_change.highest_count,
            proposer: self.me.disk.0,
        };
        let deadline = self.now + Milliseconds(self.timing.proposal_retry_interval.0 * 8);
        self.view_change.attempt = Some(ProposalAttempt::new(proposal_number, deadline));
    }

    /// Writes the lowest promise, which tells after a restart that this replica is a founder,
    /// whatever its settings say by then.
    fn mark_as_founder(&mut self) {
        self.promised = (ViewNumber(1), ProposalNumber::default());
        self.write(
            Record::Promised {
                instance: ViewNumber(1),
                proposal_number: ProposalNumber::default(),
            },
            None,
        );
    }

    fn may_start_founding(&self) -> bool {
        let is_reachable = |address: &Address| {
            let is_recent = |peer: &PeerState| {
                peer.view == ViewNumber(0)
                    && self.now.since(peer.last_seen) < self.timing.suspect_timeout
            };
            *address == self.me.address || self.peers.get(address).is_some_and(is_recent)
        };
        let founders = self.founders.iter();
        let reachable = founders.clone().filter(|a| is_reachable(a)).count();
        let proposer_rank = founders.take_while(|a| **a != self.me.address).count() as u64;
        let wait = Milliseconds(self.timing.proposal_retry_interval.0 * 2 * proposer_rank);
        let is_turn = self.now >= self.view_change.next_attempt_at + wait;
        let are_all_here = proposer_rank == 0
            && reachable == self.founders.len()
            && self.view_change.highest_count == 0;
        are_all_here || (is_turn && reachable >= self.founders_majority())
    }

    /// How many founders are more than half of them.
    pub(super) fn founders_majority(&self) -> usize {
        self.founders.len() / 2 + 1
    }

    /// Proposes the first view once a majority of the founders has promised and the others had time
    /// to: each founder votes with the disk that it promised with.
    pub(super) fn propose_first_view(&mut self) {
        let majority = self.founders_majority();
        let Some(attempt) = &mut self.view_change.attempt else {
            return;
        };
        let remaining = Milliseconds(self.timing.proposal_retry_interval.0 * 7);
        let is_over = self.now + remaining >= attempt.deadline;
        let promised = attempt.founders.len();
        let is_complete = promised == self.founders.len();
        if attempt.proposal.is_some() || promised < majority || (!is_complete && !is_over) {
            return;
        }
        let newest = attempt
            .newest_accepted()
            .map(|accepted| accepted.view.clone());
        let view = newest.unwrap_or_else(|| first_view(&self.founders, attempt));
        attempt.proposal = Some(ViewProposal {
            proposal_number: attempt.proposal_number,
            view,
        });
        attempt.sent = MonotonicInstant(0);
        self.drive_proposal();
    }

    /// Whether this replica may accept this first view: exactly the founders vote in it.
    pub(super) fn may_accept_first_view(&self, view: &View) -> bool {
        self.is_founder()
            && view
                .voters
                .iter()
                .map(|v| v.address)
                .eq(self.founders.iter().copied())
    }
}

/// The first view: all founders vote, and those that promised form the chain, each of them caught
/// up, as there is nothing to catch up with.
fn first_view(founders: &[Address], attempt: &ProposalAttempt) -> View {
    let voter = |address: &Address| Voter {
        address: *address,
        disk: attempt.founders.get(address).copied().unwrap_or(DiskId(0)),
    };
    let voters: Vec<Voter> = founders.iter().map(voter).collect();
    let present = voters.iter().filter(|voter| voter.disk != DiskId(0));
    let chain = present
        .map(|voter| ChainPosition {
            voter: *voter,
            is_caught_up: true,
        })
        .collect();
    View {
        epoch: ViewNumber(1),
        chain,
        voters,
        reserve: vec![],
    }
}
