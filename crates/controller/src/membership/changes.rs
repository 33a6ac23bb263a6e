//! Changes of the membership: routers join, the change is finalized, and routers without a lease are retired.

use crate::controller::{Controller, Quorum};
use config::Command;
use types::{Address, Milliseconds};

impl Controller {
    /// Whether enough of those before the last change of the membership know the membership now.
    pub(crate) fn is_membership_settled(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        match self.timing.quorum {
            Quorum::Majority => self.leases.is_membership_settled(membership),
            Quorum::Holders => self.is_known(membership.since),
        }
    }

    /// Grants leases to routers that have joined, and proposes the join of those that wait, one change at a time.
    pub(crate) fn admit(&mut self) {
        let membership = &self.replica.state_machine().membership;
        let members = &membership.members;
        let joined: Vec<Address> = self
            .joining
            .keys()
            .filter(|one| members.contains(one))
            .copied()
            .collect();
        for address in joined {
            if let Some(poll) = self.joining.remove(&address) {
                self.give_lease(address, &poll);
            }
        }
        if self.joining.is_empty() || self.now < self.join_deadline || !self.is_membership_settled()
        {
            return;
        }
        self.join_deadline = self.now + self.timing.join;
        let members = self
            .joining
            .iter()
            .map(|(address, poll)| (*address, poll.member.zone.clone()))
            .collect();
        self.propose_inner(Command::Join { members });
    }

    /// Once more than half of the previous members know the membership, they are needed for no majority any more.
    pub(crate) fn settle(&mut self) {
        let membership = &self.replica.state_machine().membership;
        if membership.previous == membership.members
            || self.now < self.settle_deadline
            || !self.is_membership_settled()
        {
            return;
        }
        let since = membership.since;
        self.settle_deadline = self.now + Milliseconds(400);
        self.propose_inner(Command::FinalizeMembership { since });
    }

    /// Takes members out that have held no lease for long.
    pub(crate) fn retire(&mut self) {
        if self.now < self.retire_deadline || !self.is_membership_settled() {
            return;
        }
        self.retire_deadline = self.now + Milliseconds::seconds(1);
        let is_gone = |member: &&Address| {
            self.seen
                .get(*member)
                .is_none_or(|seen| self.now.since(*seen) >= self.timing.retire_after)
        };
        let gone: Vec<Address> = self
            .replica
            .state_machine()
            .membership
            .members
            .iter()
            .filter(is_gone)
            .copied()
            .collect();
        if !gone.is_empty() {
            self.propose_inner(Command::Retire { members: gone });
        }
    }
}
