use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant};

/// Whether a member may take new work, and why.
///
/// Invariants: `epoch` never falls. Without a lease in this life nothing was ever heard, so a
/// restarted member may not act on what it knew before. A lease is reckoned from when it was asked
/// for.
#[derive(Debug, Clone)]
pub struct LeaseState {
    own: Address,
    lease_deadline: Option<MonotonicInstant>,
    epoch: ConfigEpoch,
    members: Vec<Address>,
    peers: BTreeMap<Address, Peer>,
    peer_check_span: Milliseconds,
    /// The newest epoch that the core told of, and until when it counts.
    told: (ConfigEpoch, MonotonicInstant),
}

#[derive(Debug, Clone)]
struct Peer {
    heard: MonotonicInstant,
    epoch: ConfigEpoch,
}

/// Why a member may act or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseStatus {
    /// It holds a lease.
    Leased,
    /// The core is out of reach, but half of the members answer its checks and none knows more.
    PeerQuorum,
    /// It never held a lease in this life.
    NeverLeased,
    /// Fewer than half of the members answer its checks.
    Isolated,
    /// Someone knows newer news, which has not come yet.
    Outdated,
}

impl LeaseStatus {
    /// Whether it may take new work.
    pub fn may_act(self) -> bool {
        matches!(self, LeaseStatus::Leased | LeaseStatus::PeerQuorum)
    }
    /// As a word for logs and answers.
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
    /// At the start of a life. Peers count as checked for `peer_check_span` after they were heard.
    pub fn new(own: Address, peer_check_span: Milliseconds) -> Self {
        let (peers, told) = (BTreeMap::new(), (ConfigEpoch(0), MonotonicInstant(0)));
        LeaseState {
            own,
            lease_deadline: None,
            epoch: ConfigEpoch(0),
            members: vec![],
            peers,
            peer_check_span,
            told,
        }
    }
    /// The core gave a lease and this news. Older news than ours changes nothing.
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
    /// News came by way of a peer.
    pub fn update_members(&mut self, epoch: ConfigEpoch, members: Vec<Address>) {
        if epoch >= self.epoch {
            self.epoch = epoch;
            self.members = members;
        }
    }
    /// The core told of this epoch. If it's newer, and until it is here, nothing is done without a lease; if
    /// the core isn't heard again, this ends at `deadline`, so that a core that is gone stops nobody for good.
    pub fn announce_epoch(&mut self, epoch: ConfigEpoch, deadline: MonotonicInstant) {
        if epoch > self.epoch {
            self.told = (self.told.0.max(epoch), self.told.1.max(deadline));
        }
    }
    /// A peer said, unasked, that it knows this epoch: no answer to a check, but it may know more.
    pub fn observe_peer_epoch(&mut self, peer: Address, epoch: ConfigEpoch) {
        let slot = self.peers.entry(peer).or_insert(Peer {
            heard: MonotonicInstant(0),
            epoch,
        });
        slot.epoch = slot.epoch.max(epoch);
    }
    /// A peer that may act itself, or might with us, answered our check, knowing this epoch. The deadline is
    /// reckoned from `heard`: when our own letter that it answers was sent.
    pub fn record_peer_check(
        &mut self,
        peer: Address,
        epoch: ConfigEpoch,
        heard: MonotonicInstant,
    ) {
        let slot = self.peers.entry(peer).or_insert(Peer { heard, epoch });
        slot.heard = slot.heard.max(heard);
        slot.epoch = slot.epoch.max(epoch);
    }
    /// What is known.
    pub fn epoch(&self) -> ConfigEpoch {
        self.epoch
    }
    /// Who were members when news last came.
    pub fn members(&self) -> &[Address] {
        &self.members
    }
    /// Until when the lease runs, if there ever was one.
    pub fn lease_deadline(&self) -> Option<MonotonicInstant> {
        self.lease_deadline
    }
    /// Whether a lease is live.
    pub fn is_leased(&self, now: MonotonicInstant) -> bool {
        self.lease_deadline.is_some_and(|deadline| now < deadline)
    }
    /// Whether new work may be taken now. To be asked right before each act that can't be undone.
    pub fn status(&self, now: MonotonicInstant) -> LeaseStatus {
        if self.lease_deadline.is_none() {
            return LeaseStatus::NeverLeased;
        }
        if self.is_leased(now) {
            return LeaseStatus::Leased;
        }
        if self.is_behind(now) {
            return LeaseStatus::Outdated;
        }
        match self.together_until() {
            Some(deadline) if now < deadline => LeaseStatus::PeerQuorum,
            _ => LeaseStatus::Isolated,
        }
    }

    /// Until when it may act if nothing more is heard; `None` if it may not now. Checks that were answered
    /// before a lease lapses count from then on at once.
    pub fn may_act_until(&self, now: MonotonicInstant) -> Option<MonotonicInstant> {
        match self.status(now) {
            LeaseStatus::Leased if self.is_behind(now) => self.lease_deadline,
            LeaseStatus::Leased => self.lease_deadline.max(self.together_until()),
            LeaseStatus::PeerQuorum => self.together_until(),
            _ => None,
        }
    }

    /// Whether someone is known to know more: a member, a node that became one since, or the core.
    fn is_behind(&self, now: MonotonicInstant) -> bool {
        let (told, deadline) = self.told;
        self.peers.values().any(|peer| peer.epoch > self.epoch)
            || (told > self.epoch && now < deadline)
    }

    /// Until when half of the members, itself among them, answer its checks and know the same.
    fn together_until(&self) -> Option<MonotonicInstant> {
        if !self.members.contains(&self.own) {
            return None;
        }
        let deadline_of = |member: &Address| match self.peers.get(member) {
            _ if *member == self.own => Some(MonotonicInstant(u64::MAX)),
            Some(peer) if peer.epoch == self.epoch => Some(peer.heard + self.peer_check_span),
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
