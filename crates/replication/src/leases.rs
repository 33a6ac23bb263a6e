use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, MonotonicInstant, messages};

messages! {
    /// The members of the fleet, as the chain keeps them.
    ///
    /// Invariant: `previous` are the members before the last change of the membership. A membership changes again only
    /// once more than half of the previous members know the present one.
    #[derive(Default)]
    pub struct Membership {
        /// The members now.
        pub members: Vec<Address>,
        /// The members before the last change.
        pub previous: Vec<Address>,
        /// The epoch at which it last changed.
        pub since: ConfigEpoch,
    }
}

/// Leases that the tail has given. Kept in memory: a new tail learns them from the next polls.
///
/// Invariant: a lease runs from when its holder asked, so the holder's own reckoning never ends
/// later than the one here.
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
    /// A member asked, knowing this epoch; its lease runs until `deadline`.
    pub fn renew(&mut self, member: Address, known: ConfigEpoch, deadline: MonotonicInstant) {
        self.leases.insert(member, Lease { deadline, known });
    }
    /// Forgets all, when this replica stops being the tail.
    pub fn clear(&mut self) {
        self.leases.clear();
    }
    /// Whether more than half of the members, and of the previous members, hold leases.
    pub fn has_majority(&self, membership: &Membership, now: MonotonicInstant) -> bool {
        let is_live = |member: &Address| self.leases.get(member).is_some_and(|p| p.deadline > now);
        is_most(&membership.members, is_live) && is_most(&membership.previous, is_live)
    }
    /// Whether more than half of the members, and of the previous members, are known to know `epoch`.
    pub fn is_known_to_most(&self, membership: &Membership, epoch: ConfigEpoch) -> bool {
        let is_told = |member: &Address| self.leases.get(member).is_some_and(|p| p.known >= epoch);
        is_most(&membership.members, is_told) && is_most(&membership.previous, is_told)
    }
    /// Whether each that holds a lease is known to know `epoch`; one that is no member any more still does.
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
    /// Whether more than half of those before the last change of the membership know the membership now.
    pub fn is_membership_settled(&self, membership: &Membership) -> bool {
        let is_told = |member: &Address| {
            self.leases
                .get(member)
                .is_some_and(|p| p.known >= membership.since)
        };
        is_most(&membership.previous, is_told)
    }
    /// Who holds a lease now, and what they know.
    pub fn live(&self, now: MonotonicInstant) -> Vec<(Address, ConfigEpoch)> {
        let leases = self.leases.iter().filter(|(_, p)| p.deadline > now);
        leases.map(|(member, p)| (*member, p.known)).collect()
    }
}

/// Whether it holds for more than half; of nobody it holds always.
fn is_most(members: &[Address], is_so: impl Fn(&Address) -> bool) -> bool {
    members.is_empty() || members.iter().filter(|m| is_so(m)).count() * 2 > members.len()
}

#[cfg(test)]
mod tests;
