//! Which view should come next, as this replica sees it: who is dropped from the chain, who joins
//! it, whose vote moves.
//!
//! Nothing here decides: a planned view becomes real by Paxos, see [`super::view_change`], and each
//! voter checks [`View::may_be_followed_by`] for itself before it accepts. What must hold for
//! safety is there; the rules here are for availability: a failed replica must not block the chain,
//! one that is draining must not be its last caught-up member, and one that holds everything takes
//! the place of a chain whose caught-up members are gone.

use super::Replica;
use crate::state_machine::StateMachine;
use crate::view::{ChainPosition, View, Voter};
use types::{SequenceNumber, ViewNumber};

/// A follower at most this many changes behind the tail is admitted to the chain.
const ADMISSION_LAG: u64 = 16;

impl<C: StateMachine> Replica<C> {
    /// The view that should follow the present one, by what this replica sees of the others.
    fn planned_view(&self) -> View {
        let mut chain = self.healthy_chain();
        let mut voters = self.view.voters.clone();
        if self.keeps_caught_up_member(&chain) {
            if self.is_tail() && self.is_caught_up {
                self.admit_followers(&mut chain, &mut voters);
            }
            self.leave_chain(&mut chain);
        } else if let Some(substitute) = self.substitute_from_reserve(&mut voters) {
            chain = vec![substitute];
        }
        let mut next = View {
            epoch: self.view.epoch.next(),
            chain,
            voters,
            reserve: vec![],
        };
        next.reserve = self.planned_reserve(&next);
        next
    }

    /// Whether a member is left that the present view calls caught up.
    fn keeps_caught_up_member(&self, chain: &[ChainPosition]) -> bool {
        let was_caught_up = |voter: &Voter| {
            let position = self.view.position(voter);
            position.is_some_and(|position| position.is_caught_up)
        };
        chain.iter().any(|position| was_caught_up(&position.voter))
    }

    /// The position of the reachable member of the reserve whose log is the newest, which is to
    /// take the place of a chain whose caught-up members are gone.
    fn substitute_from_reserve(&self, voters: &mut Vec<Voter>) -> Option<ChainPosition> {
        let reachable = self.view.reserve.iter().filter(|v| self.is_reachable(v));
        let voter = *reachable.max_by_key(|voter| self.last_change_of(voter))?;
        self.give_vote(&voter, voters, &[])
            .then_some(ChainPosition {
                voter,
                is_caught_up: true,
            })
    }

    /// The view and the number of the last change on the disk of this replica or of a peer.
    fn last_change_of(&self, voter: &Voter) -> Option<(ViewNumber, SequenceNumber)> {
        if *voter == self.me {
            return Some((self.synced.1, self.synced.0));
        }
        let peer = self.peers.get(&voter.address)?;
        Some((peer.origin_view, peer.last))
    }

    /// Who goes on holding every committed change outside the caught-up part of the next chain. A
    /// disk whose address votes with another one by then is gone.
    fn planned_reserve(&self, next: &View) -> Vec<Voter> {
        if next.may_commit(self.timing.min_chain_length) {
            return vec![];
        }
        let caught_up = self.view.chain.iter().filter(|p| p.is_caught_up);
        let holders = caught_up.map(|p| p.voter).chain(self.view.reserve.clone());
        let is_outside = |voter: &Voter| !next.position(voter).is_some_and(|p| p.is_caught_up);
        let has_its_disk = |voter: &Voter| {
            let mut votes = next.voters.iter();
            !votes.any(|v| v.address == voter.address && v.disk != voter.disk)
        };
        holders
            .filter(|voter| is_outside(voter) && has_its_disk(voter))
            .collect()
    }

    /// The present chain without the members that failed or don't make progress.
    fn healthy_chain(&self) -> Vec<ChainPosition> {
        let is_kept = |position: &&ChainPosition| {
            self.is_reachable(&position.voter) && !self.makes_no_progress(&position.voter)
        };
        let refreshed = |position: &ChainPosition| ChainPosition {
            voter: position.voter,
            is_caught_up: position.is_caught_up || self.reports_caught_up(&position.voter),
        };
        let chain = self.view.chain.iter();
        chain.filter(is_kept).map(refreshed).collect()
    }

    fn reports_caught_up(&self, voter: &Voter) -> bool {
        if *voter == self.me {
            return self.is_caught_up;
        }
        let peer = self.peers.get(&voter.address);
        peer.is_some_and(|peer| peer.view == self.view.epoch && peer.is_caught_up)
    }

    /// Adds followers that are nearly caught up at the end of the chain, each with a vote of its
    /// own or one that it takes over. Only the tail does this, since it feeds them.
    fn admit_followers(&self, chain: &mut Vec<ChainPosition>, voters: &mut Vec<Voter>) {
        for (voter, follower) in &self.catch_up.followers {
            let is_near = follower.last.0 + ADMISSION_LAG >= self.synced.0.0;
            let is_reachable = self.now.since(follower.last_seen) < self.timing.suspect_timeout;
            let is_staying = self.is_reachable(voter) && !self.is_draining(voter);
            if !is_near || !is_reachable || !is_staying || self.view.contains(voter) {
                continue;
            }
            if !self.give_vote(voter, voters, chain) {
                continue;
            }
            chain.push(ChainPosition {
                voter: *voter,
                is_caught_up: false,
            });
        }
        chain.retain(|position| voters.contains(&position.voter));
    }

    /// Has this replica vote, by a vote of its own or one that it takes over; whether it does now.
    fn give_vote(&self, voter: &Voter, voters: &mut Vec<Voter>, chain: &[ChainPosition]) -> bool {
        if voters.contains(voter) {
            return true;
        }
        match self.replaceable_vote(voters, chain, voter) {
            Some(index) => voters[index] = *voter,
            None if voters.len() < self.timing.target_voters => voters.push(*voter),
            None => return false,
        }
        true
    }

    /// The index of the vote that a follower with another disk may take over: that of its own
    /// address, of a voter that is draining, or of one unreachable for
    /// [`Timing::voter_replacement_timeout`](crate::Timing).
    pub(super) fn replaceable_vote(
        &self,
        voters: &[Voter],
        chain: &[ChainPosition],
        follower: &Voter,
    ) -> Option<usize> {
        let is_gone = |voter: &Voter| {
            *voter != self.me
                && self.now >= self.listening_since + self.timing.voter_replacement_timeout
                && self.peers.get(&voter.address).is_none_or(|peer| {
                    peer.disk != voter.disk
                        || self.now.since(peer.last_seen) >= self.timing.voter_replacement_timeout
                })
        };
        let same = voters
            .iter()
            .position(|v| v.address == follower.address && v.disk != follower.disk);
        let draining = || {
            voters
                .iter()
                .position(|v| self.is_draining(v) && self.is_dispensable(v, chain))
        };
        same.or_else(draining).or_else(|| {
            voters
                .iter()
                .position(|v| v.address != follower.address && is_gone(v))
        })
    }

    /// The view that should follow, if there is a reason for a proposal.
    pub(super) fn needed_view(&self) -> Option<View> {
        let planned_view = self.planned_view();
        // A proposal that was accepted here and never decided keeps the tail from its lease: a new one
        // decides it or supersedes it.
        let has_open_proposal = self
            .accepted
            .as_ref()
            .is_some_and(|proposal| proposal.view.epoch == self.view.epoch.next());
        let is_change = self.lease.has_released_lease
            || has_open_proposal
            || planned_view.chain != self.view.chain
            || planned_view.voters != self.view.voters;
        (is_change
            && self
                .view
                .may_be_followed_by(&planned_view, self.timing.min_chain_length)
            && self.keeps_lasting_member(&planned_view))
        .then_some(planned_view)
    }

    /// Whether a view drops no caught-up member, or still has a
    /// caught-up member that isn't draining.
    pub(super) fn keeps_lasting_member(&self, next: &View) -> bool {
        let drops_caught_up = self
            .view
            .chain
            .iter()
            .any(|position| position.is_caught_up && !next.contains(&position.voter));
        !drops_caught_up
            || next
                .chain
                .iter()
                .any(|position| position.is_caught_up && !self.is_draining(&position.voter))
    }

    /// Whether a chain without this voter still has a caught-up member that isn't draining.
    pub(super) fn is_dispensable(&self, voter: &Voter, chain: &[ChainPosition]) -> bool {
        chain.iter().any(|position| {
            position.voter != *voter && position.is_caught_up && !self.is_draining(&position.voter)
        })
    }
}
