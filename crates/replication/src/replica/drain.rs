//! Draining: a member that is to stop hands over before it goes.
//!
//! It says so with its heartbeats. The tail gives its vote to a follower that has caught up, where
//! there is one; without one, the draining member proposes a view without its own position and
//! keeps its vote, since it may come back with its disk. A tail that drains gives its lease up by
//! that proposal, so that the next tail needn't wait for the lease to run out.

use crate::messages::ReplicationMessage;
use crate::replica::{Output, Replica};
use crate::state_machine::StateMachine;
use crate::view::{ChainPosition, Voter};
use std::collections::BTreeMap;
use types::{Address, DiskId, Milliseconds, MonotonicInstant};

/// A draining member leaves the exchange of its vote to the tail for so long, if there is a
/// follower for it.
const VOTE_EXCHANGE_TIMEOUT: Milliseconds = Milliseconds(1000);

/// Who is about to stop.
#[derive(Debug, Clone, Default)]
pub(super) struct DrainState {
    /// Since when this replica drains.
    pub(super) draining_since: Option<MonotonicInstant>,
    /// Others that said that they drain, and when they last did.
    pub(super) draining_peers: BTreeMap<Voter, MonotonicInstant>,
}

impl<C: StateMachine> Replica<C> {
    /// This replica is to stop: from now on it tells the others.
    pub(super) fn on_drain(&mut self) {
        if self.drain.draining_since.is_none() {
            self.drain.draining_since = Some(self.now);
            self.next_heartbeat = self.now;
        }
    }

    /// Whether the others go on without this replica: it may stop and nothing waits for it. A
    /// member without others that could take its place never has handed over; whoever runs it
    /// bounds the wait.
    pub fn has_handed_over(&self) -> bool {
        let are_others_here = self
            .view
            .voters
            .iter()
            .all(|voter| *voter == self.me || self.is_reachable(voter));
        let may_vote_go =
            !self.view.has_voter(&self.me) || (are_others_here && !self.has_candidate());
        self.drain.draining_since.is_some() && !self.view.contains(&self.me) && may_vote_go
    }

    /// Tells all others, with each heartbeat.
    pub(super) fn broadcast_draining(&mut self) {
        if self.drain.draining_since.is_none() {
            return;
        }
        let message = ReplicationMessage::Draining { disk: self.me.disk };
        for to in self.known_peers() {
            self.outputs.push(Output::Send {
                to,
                message: message.clone(),
            });
        }
    }

    /// Another replica says that it drains; that holds for
    /// [`Timing::suspect_timeout`](crate::Timing).
    pub(super) fn on_peer_draining(&mut self, from: Address, disk: DiskId) {
        let (now, timeout) = (self.now, self.timing.suspect_timeout);
        self.drain
            .draining_peers
            .retain(|_, at| now.since(*at) < timeout);
        self.drain.draining_peers.insert(
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
            return self.drain.draining_since.is_some();
        }
        self.drain
            .draining_peers
            .get(voter)
            .is_some_and(|at| self.now.since(*at) < self.timing.suspect_timeout)
    }

    /// Whether there is a replica that could take over this one's vote.
    pub(super) fn has_candidate(&self) -> bool {
        self.peers.iter().any(|(address, peer)| {
            let voter = Voter {
                address: *address,
                disk: peer.disk,
            };
            !self.view.has_voter(&voter) && self.is_reachable(&voter) && !self.is_draining(&voter)
        })
    }

    /// Leaves its own position out of the chain where the rest holds each change on as many disks
    /// as it must be on, and nobody is there for its vote, or that takes long.
    pub(super) fn leave_chain(&self, chain: &mut Vec<ChainPosition>) {
        let Some(since) = self.drain.draining_since else {
            return;
        };
        let is_other = |position: &&ChainPosition| position.voter != self.me;
        let staying = chain
            .iter()
            .filter(is_other)
            .filter(|position| position.is_caught_up && !self.is_draining(&position.voter));
        let is_exchanging = self.has_candidate() && self.now.since(since) < VOTE_EXCHANGE_TIMEOUT;
        if staying.count() >= self.timing.min_chain_length && !is_exchanging {
            chain.retain(|position| position.voter != self.me);
        }
    }
}
