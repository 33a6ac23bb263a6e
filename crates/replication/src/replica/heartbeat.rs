//! Heartbeats: how replicas know who is reachable and how far each is, and what
//! is done at each tick.
//!
//! Chain replication's paper assumes that failures are detected for certain. Here a replica that is
//! silent for [`Timing::suspect_timeout`](crate::Timing) is merely suspected: dropping it from the
//! chain is safe though it may still run, since a view must be decided and the
//! tail's lease run out first.

use crate::messages::ReplicationMessage;
use crate::replica::{Output, Replica};
use crate::state_machine::StateMachine;
use crate::view::Voter;
use std::collections::BTreeSet;
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// What a replica knows of another one by its last heartbeat.
#[derive(Debug, Clone)]
pub(super) struct PeerState {
    /// When it came.
    pub(super) last_seen: MonotonicInstant,
    /// The disk that it votes with.
    pub(super) disk: DiskId,
    /// The view that the peer knows.
    pub(super) view: ViewNumber,
    /// The last change on its disk.
    pub(super) last: SequenceNumber,
    /// The view in which that change was appended: with its number, it names one change.
    pub(super) origin_view: ViewNumber,
    /// Whether the peer holds every change that was ever committed.
    pub(super) is_caught_up: bool,
    /// Whether its disk takes writes and it reaches most of the voters.
    pub(super) is_healthy: bool,
    /// What the tail knows of the fleet's members, see [`Replica::set_has_member_majority`].
    pub(super) has_member_majority: bool,
}

impl<C: StateMachine> Replica<C> {
    /// Time has passed: heartbeats, time-outs and retries.
    pub(super) fn on_tick(&mut self) {
        self.forgive_own_sleep();
        self.last_tick = self.now;
        self.observe_majority();
        if self.now >= self.next_heartbeat {
            self.next_heartbeat = self.now + self.timing.heartbeat_interval;
            self.broadcast_heartbeat();
            if self.is_healthy {
                self.request_lease();
                self.request_catch_up();
                self.resend_to_successor();
            }
        }
        if self.is_healthy {
            self.drive_founding();
            self.propose_view();
            self.drive_proposal();
            self.start_proposal();
            self.compact_log();
        }
    }

    /// If this machine slept, nobody is to be suspected before there was time for a heartbeat.
    fn forgive_own_sleep(&mut self) {
        let limit = Milliseconds(self.timing.suspect_timeout.0 / 2);
        if self.now.since(self.last_tick) <= limit {
            return;
        }
        let now = self.now;
        self.peers
            .values_mut()
            .for_each(|peer| peer.last_seen = now);
        self.writes
            .pending_writes
            .iter_mut()
            .for_each(|(_, at)| *at = now);
        self.forwarding.successor_progress.1 = now;
        self.view_change.next_attempt_at = now + self.timing.suspect_timeout;
        self.listening_since = now;
        self.majority_since = None;
    }

    /// Keeps since when a majority of the voters has been reachable without a break.
    fn observe_majority(&mut self) {
        let since = self.majority_since.unwrap_or(self.now);
        self.majority_since = self.is_majority_reachable(self.now).then_some(since);
    }

    /// Sends a heartbeat to all others.
    pub(super) fn broadcast_heartbeat(&mut self) {
        let message = ReplicationMessage::Heartbeat {
            disk: self.me.disk,
            view: self.view.epoch,
            last: self.synced.0,
            origin_view: self.synced.1,
            commit_index: self.commit_index,
            is_caught_up: self.is_caught_up,
            is_healthy: self.is_healthy && !self.is_stalled() && !self.is_isolated(),
            has_member_majority: self.has_member_majority,
        };
        for address in self.known_peers() {
            self.outputs.push(Output::Send {
                to: address,
                message: message.clone(),
            });
        }
        self.broadcast_draining();
    }

    /// Every replica that this one knows of, without itself.
    pub(super) fn known_peers(&self) -> BTreeSet<Address> {
        let mut all: BTreeSet<Address> = self
            .founders
            .iter()
            .chain(&self.contacts)
            .copied()
            .collect();
        all.extend(self.view.voters.iter().map(|v| v.address));
        all.extend(self.view.chain.iter().map(|s| s.voter.address));
        let is_recent = |peer: &PeerState| {
            self.now.since(peer.last_seen) < Milliseconds(self.timing.suspect_timeout.0 * 4)
        };
        all.extend(
            self.peers
                .iter()
                .filter(|(_, peer)| is_recent(peer))
                .map(|(a, _)| *a),
        );
        all.remove(&self.me.address);
        all
    }

    /// A heartbeat came: remembers it, tells a replica of an older view of the present one, and
    /// takes up what it says of the chain.
    pub(super) fn on_heartbeat(&mut self, from: Address, message: ReplicationMessage) {
        let ReplicationMessage::Heartbeat {
            disk,
            view,
            last,
            origin_view,
            commit_index,
            is_caught_up,
            is_healthy,
            has_member_majority,
        } = message
        else {
            unreachable!("not a heartbeat: {message:?}")
        };
        let peer = PeerState {
            last_seen: self.now,
            disk,
            view,
            last,
            origin_view,
            is_caught_up,
            is_healthy,
            has_member_majority,
        };
        self.peers.insert(from, peer);
        self.observe_majority();
        if view < self.view.epoch {
            let message = ReplicationMessage::Decided {
                view: self.view.clone(),
            };
            self.send(from, message);
        }
        self.on_member_heartbeat(from, disk, view, last, commit_index, is_caught_up);
    }

    /// Whether too few voters are reachable for anything to be agreed on here. Its heartbeats say
    /// so: those whom they reach would wait for it as long as its link is cut one way.
    pub(super) fn is_isolated(&self) -> bool {
        !self.view.voters.is_empty() && !self.has_reachable_majority(self.now)
    }

    /// Whether this voter was reachable lately with the disk that it votes with, and takes writes.
    pub(super) fn is_reachable(&self, voter: &Voter) -> bool {
        if *voter == self.me {
            return self.is_healthy && !self.is_stalled();
        }
        self.peers.get(&voter.address).is_some_and(|peer| {
            peer.disk == voter.disk
                && (peer.is_healthy || self.is_outdated(peer, self.majority_since))
                && self.now.since(peer.last_seen) < self.timing.suspect_timeout
        })
    }

    /// Whether a peer's last heartbeat may have been sent before it heard from a majority that has been
    /// there since `majority_since`, so that its word that it's isolated says nothing: whoever completes
    /// a majority reaches the peer within one heartbeat interval, and the peer says so within another.
    /// Without this rule, a member that was there all the time is dropped from the chain at the moment
    /// when the others come back.
    pub(super) fn is_outdated(
        &self,
        peer: &PeerState,
        majority_since: Option<MonotonicInstant>,
    ) -> bool {
        let delay = Milliseconds(self.timing.heartbeat_interval.0 * 2);
        majority_since.is_none_or(|since| peer.last_seen < since + delay)
    }

    /// Whether a majority of the view's voters, this replica included, was reachable within
    /// [`Timing::suspect_timeout`](crate::Timing). A replica without one is cut off, and can
    /// neither read nor propose; one that has just started had no time to hear from anybody and
    /// counts as reachable.
    pub fn has_reachable_majority(&self, now: MonotonicInstant) -> bool {
        now < self.listening_since + self.timing.suspect_timeout || self.is_majority_reachable(now)
    }

    fn is_majority_reachable(&self, now: MonotonicInstant) -> bool {
        let is_voter_reachable = |voter: &Voter| {
            let peer = self.peers.get(&voter.address);
            *voter == self.me
                || peer.is_some_and(|peer| now.since(peer.last_seen) < self.timing.suspect_timeout)
        };
        let count = self
            .view
            .voters
            .iter()
            .filter(|voter| is_voter_reachable(voter))
            .count();
        count >= self.view.majority()
    }

    /// Whether this replica is in the chain, has a disk that takes writes, and reaches a majority:
    /// operators are well served here, even where the answer comes from the tail.
    pub fn is_serving(&self, now: MonotonicInstant) -> bool {
        self.is_healthy && self.view.contains(&self.me) && self.has_reachable_majority(now)
    }
}
