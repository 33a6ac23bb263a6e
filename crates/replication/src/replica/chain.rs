//! Chain replication: changes enter at the head, are forwarded down the chain,
//! and commit at the tail.
//!
//! The steps, with the names of van Renesse and Schneider's paper:
//!
//! 1. The *head* takes a proposed change, gives it the next sequence number, and appends it to its
//!    log ([`Replica::on_propose`]).
//! 2. Each member *forwards* a change to its successor once it is synced on its own disk
//!    ([`Replica::on_change_synced`]). So a member holds each change that its successor holds;
//!    without the sync first, a restart could take a change from the head that the rest already
//!    has, and another would get its number.
//! 3. At the *tail* a change is on all disks of the chain: it's *committed*. The tail's last change
//!    is the commit index, which heartbeats carry back up the chain.
//!
//! Departures from the published form:
//!
//! - A change is committed only in a view with [`Timing::min_chain_length`](crate::Timing) caught-up
//!   members. Published chain replication goes on with one; here a lone disk that is lost would take
//!   acknowledged changes with it. That the view says who is caught up, and not a member by itself,
//!   lets a later view tell from the views alone who holds everything.
//! - The head bounds the changes in flight and their rate, and rejects what exceeds that.
//! - A rejection by the state machine is confirmed by the tail ([`Replica::on_confirm_rejection`]):
//!   the head's state isn't committed yet, and what it says may never have been true.
//! - There is no separate acknowledgement: a successor's heartbeat tells how far it is, and what it
//!   lacks is sent again. A successor that reports another change under the same number
//!   ([`Replica::has_diverged`]) is left out.

use super::PeerState;
use super::durability::AfterSync;
use super::rate_limit::ChangeRateLimiter;
use crate::messages::{Change, ChangeRequestId, Record, ReplicationMessage};
use crate::replica::{Output, Replica, Timing};
use crate::state_machine::{Preview, StateMachine};
use crate::view::Voter;
use std::collections::BTreeMap;
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// The least rate that a link and the next disk are taken for, in bytes a millisecond: 4 MB/s.
const TRANSFER_BYTES_PER_MS: u64 = 4000;

/// Changes on their way down the chain.
#[derive(Debug, Clone)]
pub(super) struct Forwarding {
    /// Changes from the predecessor that came before one that precedes them.
    pub(super) arrived_early: BTreeMap<SequenceNumber, Change>,
    /// At the head: bounds the rate of changes.
    pub(super) rate_limiter: ChangeRateLimiter,
    /// The last change forwarded to the successor, and when it is taken for lost.
    pub(super) last_forwarded: (SequenceNumber, MonotonicInstant),
    /// The last change that the successor reported, and when it last made progress.
    pub(super) successor_progress: (SequenceNumber, MonotonicInstant),
}

impl Forwarding {
    /// At the start of an incarnation: nothing is under way.
    pub(super) fn new(timing: &Timing, now: MonotonicInstant) -> Forwarding {
        Forwarding {
            arrived_early: BTreeMap::new(),
            rate_limiter: ChangeRateLimiter::full(timing, now),
            last_forwarded: (SequenceNumber(0), MonotonicInstant(0)),
            successor_progress: (SequenceNumber(0), now),
        }
    }
}

impl<C: StateMachine> Replica<C> {
    /// A proposal of this process: sent to the head, or rejected at once where there is none.
    pub(super) fn on_local_proposal(&mut self, number: u64, body: Vec<u8>) {
        let request_id = ChangeRequestId {
            origin: self.me.address,
            number,
        };
        match self.view.head() {
            Some(head) if self.is_healthy => self.send(
                head.address,
                ReplicationMessage::Propose { request_id, body },
            ),
            _ => self.outputs.push(Output::Response {
                number,
                is_final: false,
                body: vec![],
            }),
        }
    }

    /// At the head: takes a proposed change into the chain, or rejects it unchanged, to be proposed
    /// again, while the chain can't take it.
    pub(super) fn on_propose(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        let is_below_in_flight_limit =
            self.last.0.0 < self.commit_index.0 + self.timing.max_in_flight_changes;
        let may_enter =
            self.is_head() && self.is_caught_up && self.may_commit() && is_below_in_flight_limit;
        let lacks_members = || {
            self.state_machine.requires_member_majority(&body) && !self.tail_has_member_majority()
        };
        if !may_enter || lacks_members() {
            return self.reject_unchanged(request_id);
        }
        match self.state_machine.preview(&body) {
            Preview::Reject(_) => self.confirm_rejection_at_tail(request_id, body),
            // Not taken, so that it's tried again.
            Preview::Admit if !self.forwarding.rate_limiter.take(&self.timing, self.now) => {
                self.reject_unchanged(request_id);
            }
            Preview::Admit => {
                let change = Change {
                    seq: self.last.0.next(),
                    origin_view: self.view.epoch,
                    request_id,
                    body,
                };
                self.append(change);
            }
        }
    }

    /// Whether the tail, by its own knowledge or its last heartbeat, sees more than half of the
    /// fleet's members, and of the members before the last change of the membership, with leases.
    fn tail_has_member_majority(&self) -> bool {
        let is_current = |tail: &Voter, peer: &PeerState| {
            peer.disk == tail.disk
                && peer.has_member_majority
                && self.now.since(peer.last_seen) < self.timing.suspect_timeout
        };
        match self.view.tail() {
            Some(tail) if tail == self.me => self.has_member_majority,
            Some(tail) => {
                let peer = self.peers.get(&tail.address);
                peer.is_some_and(|peer| is_current(&tail, peer))
            }
            None => false,
        }
    }

    /// Has the tail confirm a rejection: the head's own state may never be committed.
    pub(super) fn confirm_rejection_at_tail(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        let Some(tail) = self.view.tail() else {
            return self.reject_unchanged(request_id);
        };
        let message = ReplicationMessage::ConfirmRejection {
            view: self.view.epoch,
            request_id,
            last: self.synced.0,
            body,
        };
        self.send(tail.address, message);
    }

    /// At the tail: confirms that a proposal can't be taken. The answer is given as one to a
    /// committed change is: by the tail of the present view, under its lease. A tail that is not as
    /// far as the head was, or finds that the change can be taken, has it proposed again.
    pub(super) fn on_confirm_rejection(
        &mut self,
        from: Address,
        view: ViewNumber,
        request_id: ChangeRequestId,
        last: SequenceNumber,
        body: Vec<u8>,
    ) {
        let is_from_head =
            view == self.view.epoch && self.view.head().is_some_and(|head| head.address == from);
        let may_confirm = is_from_head
            && self.is_tail()
            && self.is_caught_up
            && self.may_commit()
            && self.synced.0 >= last;
        if !may_confirm {
            return self.reject_unchanged(request_id);
        }
        match self.state_machine.preview(&body) {
            Preview::Reject(answer) => self.outputs.push(Output::ChangeRejected {
                request_id,
                body: answer,
            }),
            Preview::Admit => self.reject_unchanged(request_id),
        }
    }

    /// Whether the view has [`Timing::min_chain_length`](crate::Timing) caught-up members, so that
    /// what passed down the chain is on as many disks and may count as committed.
    pub fn may_commit(&self) -> bool {
        self.view.may_commit(self.timing.min_chain_length)
    }

    /// At a caught-up tail: all that it holds is on each disk of the chain, and so committed if the
    /// view may commit.
    pub(super) fn commit_if_tail(&mut self) {
        if self.is_tail() && self.is_caught_up && self.may_commit() {
            self.commit_index = self.synced.0;
        }
    }

    /// Rejects a proposal without any change of the state; it may be proposed again.
    pub(super) fn reject_unchanged(&mut self, request_id: ChangeRequestId) {
        let message = ReplicationMessage::Response {
            number: request_id.number,
            is_final: false,
            body: vec![],
        };
        self.send(request_id.origin, message);
    }

    /// Appends a change to the log; it counts once it is synced.
    pub(super) fn append(&mut self, change: Change) {
        self.last = (change.seq, change.origin_view);
        self.writes.log_bytes += change.body.len();
        self.log.push_back(change.clone());
        self.has_unused_disk = false;
        let then = AfterSync::Apply(self.writes.incarnation, change.clone());
        self.write(Record::Change { change }, Some(then));
    }

    /// A change is on this disk: applies it, and forwards it, or commits it at the tail.
    pub(super) fn on_change_synced(&mut self, change: Change) {
        let answer = self.state_machine.apply(&change.body);
        self.synced = (change.seq, change.origin_view);
        let request_id = change.request_id;
        match self.view.successor(&self.me) {
            Some(successor) => {
                let size = change.body.len();
                let deadline = (self.now + self.transfer_time(size)).max(
                    self.forwarding.last_forwarded.1
                        + Milliseconds(size as u64 / TRANSFER_BYTES_PER_MS),
                );
                self.forwarding.last_forwarded = (change.seq, deadline);
                let message = ReplicationMessage::Forward {
                    view: self.view.epoch,
                    change,
                };
                self.send(successor.address, message);
            }
            // A chain that has shrunk since it took the change has it on too few disks to say so.
            None if self.is_tail() && self.is_caught_up && self.may_commit() => {
                self.commit_index = self.synced.0;
                self.outputs.push(Output::Committed {
                    request_id,
                    body: answer,
                });
                self.next_heartbeat = self.now;
            }
            None => {}
        }
    }

    /// A change from the predecessor: appended in order; what came too early
    /// waits for those before it.
    pub(super) fn on_forward(&mut self, from: Address, view: ViewNumber, change: Change) {
        let is_from_predecessor = self
            .view
            .predecessor(&self.me)
            .is_some_and(|p| p.address == from);
        let is_in_window = (self.last.0.next()
            ..=SequenceNumber(self.last.0.0 + self.timing.max_in_flight_changes))
            .contains(&change.seq);
        if view != self.view.epoch || !is_from_predecessor || !is_in_window {
            return;
        }
        self.forwarding.arrived_early.insert(change.seq, change);
        while let Some(next) = self.forwarding.arrived_early.remove(&self.last.0.next()) {
            self.append(next);
        }
    }

    /// A heartbeat of a chain member: the tail's carries the commit index, the successor's tells
    /// how far it is.
    pub(super) fn on_member_heartbeat(
        &mut self,
        from: Address,
        disk: DiskId,
        view: ViewNumber,
        last: SequenceNumber,
        commit_index: SequenceNumber,
        is_caught_up: bool,
    ) {
        if view != self.view.epoch {
            return;
        }
        let voter = Voter {
            address: from,
            disk,
        };
        if self.view.tail() == Some(voter) {
            self.commit_index = self.commit_index.max(commit_index.min(self.synced.0));
        }
        if self.view.successor(&self.me) == Some(voter) {
            if last > self.forwarding.successor_progress.0 || last >= self.synced.0 {
                self.forwarding.successor_progress = (last, self.now);
            }
            if !is_caught_up && self.is_caught_up && self.shares_history_with(&voter) {
                let message = ReplicationMessage::CatchUpTarget {
                    view,
                    last: self.last.0,
                };
                self.send(from, message);
            }
        }
    }

    /// From the predecessor: this member has caught up once it holds the change that was the
    /// predecessor's last at that heartbeat. From then on it may answer as the tail.
    pub(super) fn on_catch_up_target(
        &mut self,
        from: Address,
        view: ViewNumber,
        last: SequenceNumber,
    ) {
        let is_from_predecessor = self
            .view
            .predecessor(&self.me)
            .is_some_and(|p| p.address == from);
        let has_all = self.synced.0 >= last && self.catch_up.snapshot_write.is_none();
        if view == self.view.epoch && is_from_predecessor && has_all && !self.is_caught_up {
            self.is_caught_up = true;
            self.next_heartbeat = self.now;
            self.commit_if_tail();
        }
    }

    /// How long so many bytes may be under way and to the next disk: three heartbeats, and 4 MB/s.
    pub(super) fn transfer_time(&self, bytes: usize) -> Milliseconds {
        Milliseconds(self.timing.heartbeat_interval.0 * 3 + bytes as u64 / TRANSFER_BYTES_PER_MS)
    }

    /// Forwards again what the successor lacks, but nothing that may still be on its way.
    pub(super) fn resend_to_successor(&mut self) {
        let Some(successor) = self.view.successor(&self.me) else {
            return;
        };
        let Some(peer) = self.peers.get(&successor.address) else {
            return;
        };
        let has_all = peer.view != self.view.epoch
            || peer.disk != successor.disk
            || peer.last >= self.synced.0;
        let is_under_way = self.now < self.forwarding.last_forwarded.1;
        if has_all || is_under_way || !self.shares_history_with(&successor) {
            return;
        }
        let (from, view) = (peer.last, self.view.epoch);
        let missing = self.changes_after(from, self.timing.catch_up_batch_bytes);
        if let Some(newest) = missing.last() {
            let bytes = missing.iter().map(|change| change.body.len()).sum();
            self.forwarding.last_forwarded = (newest.seq, self.now + self.transfer_time(bytes));
        }
        for change in missing {
            self.send(
                successor.address,
                ReplicationMessage::Forward { view, change },
            );
        }
    }

    /// Synced changes after this number in order, up to `byte_budget` bytes, and at least one if
    /// there is any.
    pub(super) fn changes_after(&self, seq: SequenceNumber, mut byte_budget: usize) -> Vec<Change> {
        let mut changes: Vec<Change> = vec![];
        for change in self
            .log
            .iter()
            .filter(|c| c.seq > seq && c.seq <= self.synced.0)
        {
            if !changes.is_empty() && change.body.len() > byte_budget {
                break;
            }
            byte_budget = byte_budget.saturating_sub(change.body.len());
            changes.push(change.clone());
        }
        changes
    }

    /// Whether this is the successor, and makes no progress although its heartbeats come: a link
    /// that is cut one way, or a disk that hangs.
    pub(super) fn makes_no_progress(&self, voter: &Voter) -> bool {
        if self.has_diverged(voter) {
            return true;
        }
        let is_behind = self
            .peers
            .get(&voter.address)
            .is_some_and(|peer| peer.last < self.synced.0);
        self.view.successor(&self.me) == Some(*voter)
            && is_behind
            && self.now.since(self.forwarding.successor_progress.1)
                > Milliseconds(self.timing.suspect_timeout.0 * 4)
            && self.now >= self.forwarding.last_forwarded.1
    }

    /// Whether the last change that the successor reports is one of this log. One that was
    /// restarted before its snapshot was on its disk holds what it had before, which may be a
    /// change that was never committed.
    pub(super) fn shares_history_with(&self, successor: &Voter) -> bool {
        let Some(peer) = self
            .peers
            .get(&successor.address)
            .filter(|peer| peer.disk == successor.disk)
        else {
            return false;
        };
        self.origin_view_of(peer.last) == Some(peer.origin_view)
    }

    /// Whether the successor's last change is known to be another one than that of the same number
    /// here. It gets a snapshot once it has no position in the chain any more.
    pub(super) fn has_diverged(&self, voter: &Voter) -> bool {
        let Some(peer) = self
            .peers
            .get(&voter.address)
            .filter(|peer| peer.disk == voter.disk)
        else {
            return false;
        };
        let is_successor =
            self.view.successor(&self.me) == Some(*voter) && peer.view == self.view.epoch;
        is_successor
            && self
                .origin_view_of(peer.last)
                .is_some_and(|origin_view| origin_view != peer.origin_view)
    }
}
