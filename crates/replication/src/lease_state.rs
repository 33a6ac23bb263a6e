//! A router's lease, and what it may do without one.
//!
//! A member of the fleet that holds a lease from the chain's tail may take new work. When the chain
//! is out of reach and the lease has run out, it may still act while half of the members that it
//! last knew answer its checks and none of them knows a newer configuration: a change of the
//! configuration needs more than half of them, so none can have been accepted behind their backs.
//! Without the rule about the newer configuration, a partitioned group could go on
//! by one that was replaced.

use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant};

/// Whether a member may take new work, and why.
///
/// Invariants: `epoch` never falls. Without a lease in this incarnation nothing was ever received,
/// so a restarted member may not act on what it knew before. A lease is counted
/// from when it was asked for.
#[derive(Debug, Clone)]
pub struct LeaseState {
    own: Address,
    lease_deadline: Option<MonotonicInstant>,
    epoch: ConfigEpoch,
    members: Vec<Address>,
    peers: BTreeMap<Address, Peer>,
    peer_check_duration: Milliseconds,
    /// The newest epoch that the chain announced, and until when the announcement counts.
    announced: (ConfigEpoch, MonotonicInstant),
}

#[derive(Debug, Clone)]
struct Peer {
    last_seen: MonotonicInstant,
    epoch: ConfigEpoch,
}

/// Why a member may act or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// The member holds a lease.
    Leased,
    /// The chain is out of reach, but half of the members answer checks and
    /// none knows a newer configuration.
    PeerQuorum,
    /// The member has not held a lease in this incarnation.
    NeverLeased,
    /// Fewer than half of the members answer checks.
    Isolated,
    /// There is a newer configuration, which has not come yet.
    Outdated,
}

impl LeaseStatus {
    /// Whether the member may take new work.
    pub fn may_act(self) -> bool {
        matches!(self, LeaseStatus::Leased | LeaseStatus::PeerQuorum)
    }

    /// The status as it stands in logs and in answers to operators. These words must not change.
    pub fn word(self) -> &'static str {
        match self {
            LeaseStatus::Leased => "leased",
            LeaseStatus::PeerQuorum => "together",
            LeaseStatus::NeverLeased => "unheard",
            LeaseStatus::Isolated => "alone",
            LeaseStatus::Outdated => "behind",
        }
    }
}

impl LeaseState {
    /// The state at the start of an incarnation, without a lease. A peer's answer to a check counts
    /// for `peer_check_duration` from when the check was sent.
    pub fn new(own: Address, peer_check_duration: Milliseconds) -> Self {
        let (peers, announced) = (BTreeMap::new(), (ConfigEpoch(0), MonotonicInstant(0)));
        LeaseState {
            own,
            lease_deadline: None,
            epoch: ConfigEpoch(0),
            members: vec![],
            peers,
            peer_check_duration,
            announced,
        }
    }
    /// The chain granted a lease until `deadline`, with the members of configuration `epoch`. One
    /// of an older epoch than the known one changes nothing.
    pub fn renew_lease(
        &mut self,
        deadline: MonotonicInstant,
        epoch: ConfigEpoch,
        members: Vec<Address>,
    ) {
        if epoch < self.epoch {
            return;
        }
        self.lease_deadline = Some(
            self.lease_deadline
                .map_or(deadline, |old| old.max(deadline)),
        );
        self.update_members(epoch, members);
    }
    /// Members of a configuration came by way of a peer. Those of an older epoch
    /// than the known one change nothing.
    pub fn update_members(&mut self, epoch: ConfigEpoch, members: Vec<Address>) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.members = members;
        }
    }
    /// The chain announced a newer epoch. Until that configuration is here, nothing is done without
    /// a lease; this ends at `deadline` if the chain isn't heard from again, so that a chain that
    /// is gone stops nobody for good.
    pub fn announce_epoch(&mut self, epoch: ConfigEpoch, deadline: MonotonicInstant) {
        if epoch > self.epoch {
            self.announced = (self.announced.0.max(epoch), self.announced.1.max(deadline));
        }
    }
    /// A peer said, unasked, that it knows this epoch. That is no answer to a check, but it shows
    /// whether there is a newer one.
    pub fn observe_peer_epoch(&mut self, peer: Address, epoch: ConfigEpoch) {
        let peer_state = self.peers.entry(peer).or_insert(Peer {
            last_seen: MonotonicInstant(0),
            epoch,
        });
        peer_state.epoch = peer_state.epoch.max(epoch);
    }
    /// A peer that may act itself, or might with this member, answered a check, knowing this epoch.
    /// The answer counts from `sent`, when the check was sent: counted from the answer, it could
    /// outlive what the peer promised.
    pub fn record_peer_check(&mut self, peer: Address, epoch: ConfigEpoch, sent: MonotonicInstant) {
        let peer_state = self.peers.entry(peer).or_insert(Peer {
            last_seen: sent,
            epoch,
        });
        peer_state.last_seen = peer_state.last_seen.max(sent);
        peer_state.epoch = peer_state.epoch.max(epoch);
    }
    /// The epoch of the newest configuration known.
    pub fn epoch(&self) -> ConfigEpoch {
        self.epoch
    }
    /// The members by the newest configuration known.
    pub fn members(&self) -> &[Address] {
        &self.members
    }
    /// Until when the last lease runs or ran; `None` without one in this incarnation.
    pub fn lease_deadline(&self) -> Option<MonotonicInstant> {
        self.lease_deadline
    }
    /// Whether a lease runs at `now`.
    pub fn is_leased(&self, now: MonotonicInstant) -> bool {
        self.lease_deadline.is_some_and(|deadline| now < deadline)
    }
    /// Whether new work may be taken at `now`, and why. To be asked right before each act that
    /// can't be undone.
    pub fn status(&self, now: MonotonicInstant) -> LeaseStatus {
        if self.lease_deadline.is_none() {
            return LeaseStatus::NeverLeased;
        }
        if self.is_leased(now) {
            return LeaseStatus::Leased;
        }
        if self.is_outdated(now) {
            return LeaseStatus::Outdated;
        }
        match self.peer_quorum_until() {
            Some(deadline) if now < deadline => LeaseStatus::PeerQuorum,
            _ => LeaseStatus::Isolated,
        }
    }

    /// Until when the member may act if nothing more is received; `None` if it may not at `now`.
    /// Checks that were answered before a lease runs out count from then on at once.
    pub fn may_act_until(&self, now: MonotonicInstant) -> Option<MonotonicInstant> {
        match self.status(now) {
            LeaseStatus::Leased if self.is_outdated(now) => self.lease_deadline,
            LeaseStatus::Leased => self.lease_deadline.max(self.peer_quorum_until()),
            LeaseStatus::PeerQuorum => self.peer_quorum_until(),
            _ => None,
        }
    }

    /// Whether somebody knows a newer configuration: a member, a node that became
    /// one since, or the chain.
    fn is_outdated(&self, now: MonotonicInstant) -> bool {
        let (announced, deadline) = self.announced;
        self.peers.values().any(|peer| peer.epoch > self.epoch)
            || (announced > self.epoch && now < deadline)
    }

    /// Until when half of the members, this one among them, count as having answered checks and
    /// know the same configuration.
    fn peer_quorum_until(&self) -> Option<MonotonicInstant> {
        if !self.members.contains(&self.own) {
            return None;
        }
        let deadline_of = |member: &Address| match self.peers.get(member) {
            _ if *member == self.own => Some(MonotonicInstant(u64::MAX)),
            Some(peer) if peer.epoch == self.epoch => {
                Some(peer.last_seen + self.peer_check_duration)
            }
            _ => None,
        };
        let mut deadlines: Vec<MonotonicInstant> =
            self.members.iter().filter_map(deadline_of).collect();
        deadlines.sort_unstable_by(|a, b| b.cmp(a));
        deadlines.get(self.members.len().div_ceil(2) - 1).copied()
    }
}

#[cfg(test)]
mod tests;
