//! The leases of the fleet's members, as the tail keeps them, and the
//! membership as the chain replicates it.
//!
//! A membership changes in one step, unlike Raft's joint consensus; what joint consensus does is
//! done by `previous`: until more than half of the members before the last change know the present
//! ones, whatever needs a majority needs one of both. Without that, two groups, each a majority of
//! its own membership, could act on different configurations.

use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, MonotonicInstant, messages};

messages! {
    /// The members of the fleet, as the chain replicates them.
    ///
    /// Invariant: `previous` are the members before the last change of the membership. A membership
    /// changes again only once more than half of the previous members know the present one.
    #[derive(Default)]
    pub struct Membership {
        /// The present members.
        pub members: Vec<Address>,
        /// The members before the last change.
        pub previous: Vec<Address>,
        /// The epoch of the configuration by which the membership last changed.
        pub since: ConfigEpoch,
    }
}

/// The leases that the tail has granted. They are kept in memory: a new tail
/// learns them from the next requests.
///
/// Invariant: here a lease runs from when the request came, and at its holder from when it was
/// sent, so the holder's never ends later than the one here.
#[derive(Debug, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Address, Lease>,
}

#[derive(Debug, Clone)]
struct Lease {
    deadline: MonotonicInstant,
    known: ConfigEpoch,
}

impl LeaseTable {
    /// Grants a member that asked, knowing this epoch, a lease until `deadline`.
    pub fn renew(&mut self, member: Address, known: ConfigEpoch, deadline: MonotonicInstant) {
        self.leases.insert(member, Lease { deadline, known });
    }
    /// Forgets all leases, when this replica stops being the tail.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
    /// Whether more than half of the members, and of the previous members, hold leases at `now`.
    pub fn has_majority(&self, membership: &Membership, now: MonotonicInstant) -> bool {
        let is_live = |member: &Address| self.leases.get(member).is_some_and(|p| p.deadline > now);
        holds_for_majority(&membership.members, is_live)
            && holds_for_majority(&membership.previous, is_live)
    }
    /// Whether more than half of the members, and of the previous members, are known to know
    /// `epoch`.
    pub fn is_known_to_most(&self, membership: &Membership, epoch: ConfigEpoch) -> bool {
        let is_notified =
            |member: &Address| self.leases.get(member).is_some_and(|p| p.known >= epoch);
        holds_for_majority(&membership.members, is_notified)
            && holds_for_majority(&membership.previous, is_notified)
    }
    /// Whether each holder of a lease at `now` is known to know `epoch`, also one
    /// that is no member any more.
    pub fn is_known_to_holders(&self, epoch: ConfigEpoch, now: MonotonicInstant) -> bool {
        self.leases
            .values()
            .all(|lease| lease.deadline <= now || lease.known >= epoch)
    }
    /// Whether each of the members is known to know `epoch`.
    pub fn is_known_to_all(&self, membership: &Membership, epoch: ConfigEpoch) -> bool {
        membership
            .members
            .iter()
            .all(|member| self.leases.get(member).is_some_and(|p| p.known >= epoch))
    }
    /// Whether the last change of the membership is settled: more than half of the previous members
    /// know the present ones.
    pub fn is_membership_settled(&self, membership: &Membership) -> bool {
        let is_notified = |member: &Address| {
            self.leases
                .get(member)
                .is_some_and(|p| p.known >= membership.since)
        };
        holds_for_majority(&membership.previous, is_notified)
    }
    /// The holders of leases at `now`, and the epoch that each knows.
    pub fn live(&self, now: MonotonicInstant) -> Vec<(Address, ConfigEpoch)> {
        let leases = self.leases.iter().filter(|(_, p)| p.deadline > now);
        leases.map(|(member, p)| (*member, p.known)).collect()
    }
}

/// Whether it holds for more than half of the members; always for none at all.
fn holds_for_majority(members: &[Address], holds: impl Fn(&Address) -> bool) -> bool {
    members.is_empty() || members.iter().filter(|m| holds(m)).count() * 2 > members.len()
}

#[cfg(test)]
mod tests;
