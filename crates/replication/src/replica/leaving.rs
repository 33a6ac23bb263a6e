//! Leaving: a member that is to stop hands over before it goes.
//!
//! It says so with its beats. The tail gives its vote to a follower that holds everything, where there is
//! one; without one, the leaving member proposes a view without its own seat and keeps its vote, since it
//! may come back with its disk. A tail that leaves gives its lease up by that proposal, so that the next
//! one needn't wait for the lease to run out.

use crate::messages::ReplicationMessage;
use crate::replica::{Output, Replica};
use crate::state_machine::StateMachine;
use crate::view::{ChainPosition, View, Voter};
use types::{Address, DiskId, Milliseconds};

/// A leaving member with a follower about leaves the exchange of votes to the tail for so long.
const EXCHANGE_SPAN: Milliseconds = Milliseconds(1000);

impl<C: StateMachine> Replica<C> {
    pub(super) fn on_leave(&mut self) {
        if self.draining_since.is_none() {
            self.draining_since = Some(self.now);
            self.next_heartbeat = self.now;
        }
    }

    /// Whether the others go on without it: it may stop and nothing is waited for. A member without others
    /// that could take its place never has; whoever runs it bounds the wait.
    pub fn has_handed_over(&self) -> bool {
        let are_others_here = self
            .view
            .voters
            .iter()
            .all(|voter| *voter == self.me || self.is_alive(voter));
        let may_vote_go =
            !self.view.has_voter(&self.me) || (are_others_here && !self.has_candidate());
        self.draining_since.is_some() && !self.view.contains(&self.me) && may_vote_go
    }

    /// Tells all others, with each beat.
    pub(super) fn tell_leaving(&mut self) {
        if self.draining_since.is_none() {
            return;
        }
        let message = ReplicationMessage::Draining { disk: self.me.disk };
        for to in self.others() {
            self.outputs.push(Output::Send {
                to,
                message: message.clone(),
            });
        }
    }

    pub(super) fn on_leaving(&mut self, from: Address, disk: DiskId) {
        let (now, suspect) = (self.now, self.timing.suspect_timeout);
        self.leaving.retain(|_, at| now.since(*at) < suspect);
        self.leaving.insert(
            Voter {
                address: from,
                disk,
            },
            now,
        );
    }

    /// Whether this voter is about to stop.
    pub(super) fn is_draining(&self, voter: &Voter) -> bool {
        if *voter == self.me {
            return self.draining_since.is_some();
        }
        self.leaving
            .get(voter)
            .is_some_and(|at| self.now.since(*at) < self.timing.suspect_timeout)
    }

    /// Whether anybody is there who could take this one's vote over.
    fn has_candidate(&self) -> bool {
        self.heard.iter().any(|(address, heard)| {
            let voter = Voter {
                address: *address,
                disk: heard.disk,
            };
            !self.view.has_voter(&voter) && self.is_alive(&voter) && !self.is_draining(&voter)
        })
    }

    /// Whether a view drops nobody who holds everything, or still has one such who stays: the last one must
    /// not be a member that is about to stop.
    pub(super) fn is_lasting(&self, next: &View) -> bool {
        let drops_level = self
            .view
            .chain
            .iter()
            .any(|position| position.is_caught_up && !next.contains(&position.voter));
        !drops_level
            || next
                .chain
                .iter()
                .any(|position| position.is_caught_up && !self.is_draining(&position.voter))
    }

    /// Whether a chain without this voter still has somebody, who stays, that holds everything.
    pub(super) fn can_be_spared(&self, voter: &Voter, chain: &[ChainPosition]) -> bool {
        chain.iter().any(|position| {
            position.voter != *voter && position.is_caught_up && !self.is_draining(&position.voter)
        })
    }

    /// Leaves its own seat out where the rest holds each change on as many disks as it must be on, and
    /// nobody is there for its vote, or that takes long.
    pub(super) fn drop_own_seat(&self, chain: &mut Vec<ChainPosition>) {
        let Some(since) = self.draining_since else {
            return;
        };
        let is_other = |position: &&ChainPosition| position.voter != self.me;
        let others = chain
            .iter()
            .filter(is_other)
            .filter(|position| position.is_caught_up && !self.is_draining(&position.voter));
        let is_exchanging = self.has_candidate() && self.now.since(since) < EXCHANGE_SPAN;
        if others.count() >= self.timing.min_chain_length && !is_exchanging {
            chain.retain(|position| position.voter != self.me);
        }
    }
}
