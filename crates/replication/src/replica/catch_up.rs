//! Catch-up: a replica outside the chain, a follower, gets what it lacks from the tail, by changes
//! from the log or by a snapshot.
//!
//! The follower asks with each heartbeat, naming its last change by number and view. If that is a
//! change of the tail's log, the tail sends those after it; otherwise it offers a snapshot, see
//! [`super::snapshot`]. A follower is admitted to the chain by a view once it is near. Published
//! chain replication leaves this state transfer open.
//!
//! The view number beside the sequence number matters, as the term does in Raft's consistency
//! check: a follower may hold a change that was never committed under a number that another change
//! has here. Without the check, the two would differ forever.

use super::snapshot::{OfferedSnapshot, SnapshotDownload};
use crate::messages::{Change, ReplicationMessage};
use crate::replica::{Replica, UNKNOWN_VIEW};
use crate::state_machine::StateMachine;
use crate::view::Voter;
use std::collections::BTreeMap;
use types::{Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// A batch or chunk that isn't answered is sent again after a time-out that doubles up to so many
/// times [`Timing::suspect_timeout`](crate::Timing): a slow link isn't filled with copies.
pub(super) const MAX_TIMEOUT_FACTOR: u64 = 8;

/// A follower silent for this long is sent batches as if it were new.
const FOLLOWER_FORGET_AFTER: Milliseconds = Milliseconds(2000);

/// The state transfers of this replica, to others and from the tail.
#[derive(Debug, Clone, Default)]
pub(super) struct CatchUp {
    /// At the tail: those that asked for changes.
    pub(super) followers: BTreeMap<Voter, Follower>,
    /// At the tail: the snapshot that followers fetch.
    pub(super) offered_snapshot: Option<OfferedSnapshot>,
    /// At a follower: the snapshot that it fetches.
    pub(super) download: Option<SnapshotDownload>,
    /// The write of a fetched snapshot that isn't synced yet. Until it is, a restart gives back
    /// what was there before.
    pub(super) snapshot_write: Option<u64>,
}

/// A replica outside the chain that asked the tail for changes.
#[derive(Debug, Clone)]
pub(super) struct Follower {
    /// The last change that it reported.
    pub(super) last: SequenceNumber,
    /// When it last asked.
    pub(super) last_seen: MonotonicInstant,
    /// The last change that was sent to it.
    pub(super) sent_up_to: SequenceNumber,
    /// Until when that is taken to be on its way.
    pub(super) resend_at: MonotonicInstant,
    /// How long a batch is waited for; doubles when one is lost.
    pub(super) resend_timeout: Milliseconds,
}

impl<C: StateMachine> Replica<C> {
    /// At a follower: asks the tail for what it lacks, and again for the chunk
    /// of a snapshot that is overdue.
    pub(super) fn request_catch_up(&mut self) {
        let Some(tail) = self.view.tail() else { return };
        if self.view.contains(&self.me)
            || self.drain.draining_since.is_some()
            || self.catch_up.snapshot_write.is_some()
        {
            return;
        }
        if let Some(download) = &mut self.catch_up.download {
            if self.now.since(download.last_requested) < download.resend_timeout {
                return;
            }
            // What is here already is kept: the chunk that is missing is asked for again, each time later.
            download.last_requested = self.now;
            download.is_overdue = true;
            download.resend_timeout = Milliseconds(
                (download.resend_timeout.0 * 2)
                    .min(self.timing.suspect_timeout.0 * MAX_TIMEOUT_FACTOR),
            );
            let message = ReplicationMessage::SnapshotRequest {
                last: download.last,
                offset: download.bytes.len() as u64,
            };
            self.send(tail.address, message);
        }
        let message = ReplicationMessage::CatchUpRequest {
            disk: self.me.disk,
            last: self.last.0,
            origin_view: self.last.1,
        };
        self.send(tail.address, message);
    }

    /// The view in which the change of this number was appended, if that is still known.
    pub(super) fn origin_view_of(&self, seq: SequenceNumber) -> Option<ViewNumber> {
        if seq == self.log_start.0 && self.log_start.1 != UNKNOWN_VIEW {
            return Some(self.log_start.1);
        }
        self.log
            .iter()
            .find(|change| change.seq == seq)
            .map(|change| change.origin_view)
    }

    /// At the tail: sends a follower the changes that it lacks, or offers a snapshot if the log
    /// doesn't reach back to its last change.
    pub(super) fn on_catch_up_request(
        &mut self,
        from: Address,
        disk: DiskId,
        last: SequenceNumber,
        origin_view: ViewNumber,
    ) {
        let voter = Voter {
            address: from,
            disk,
        };
        if !self.is_tail() || !self.is_caught_up || self.view.contains(&voter) {
            return;
        }
        let is_known = last <= self.synced.0 && self.origin_view_of(last) == Some(origin_view);
        let front = self.log.front();
        let first_in_log = front.map_or(self.synced.0.next(), |change| change.seq);
        if is_known && last.next() >= first_in_log {
            self.send_batch(voter, last);
        } else {
            self.offer_snapshot(from, first_in_log);
        }
    }

    /// Sends a follower what comes after `last`, but nothing again that may still be on its way.
    fn send_batch(&mut self, voter: Voter, last: SequenceNumber) {
        let before = self.catch_up.followers.get(&voter).cloned();
        let mut follower = Follower {
            last,
            last_seen: self.now,
            sent_up_to: last,
            resend_at: self.now,
            resend_timeout: Milliseconds(0),
        };
        if let Some(before) =
            before.filter(|before| self.now.since(before.last_seen) < FOLLOWER_FORGET_AFTER)
        {
            let is_awaited = last < before.sent_up_to;
            if is_awaited && self.now < before.resend_at {
                let waiting = Follower {
                    last,
                    last_seen: self.now,
                    ..before
                };
                self.catch_up.followers.insert(voter, waiting);
                return;
            }
            follower.resend_timeout = adapted_timeout(before.resend_timeout, is_awaited);
        }
        let changes = self.changes_after(last, self.timing.snapshot_chunk_bytes);
        if let Some(newest) = changes.last() {
            let bytes = changes.iter().map(|change| change.body.len()).sum();
            let most = Milliseconds(self.timing.suspect_timeout.0 * MAX_TIMEOUT_FACTOR);
            follower.resend_timeout = follower
                .resend_timeout
                .max(self.transfer_time(bytes))
                .min(most);
            (follower.sent_up_to, follower.resend_at) =
                (newest.seq, self.now + follower.resend_timeout);
            self.send(voter.address, ReplicationMessage::CatchUpBatch { changes });
        }
        self.catch_up.followers.insert(voter, follower);
    }

    /// Whether this is the tail's address.
    pub(super) fn is_from_tail(&self, from: Address) -> bool {
        self.view.tail().is_some_and(|tail| tail.address == from)
    }

    /// At a follower: appends a batch of changes that continues its log, and asks
    /// for the next one at once.
    pub(super) fn on_catch_up_batch(&mut self, from: Address, changes: Vec<Change>) {
        let is_fetching = self
            .catch_up
            .download
            .as_ref()
            .is_some_and(|download| !download.is_overdue);
        if self.view.contains(&self.me) || !self.is_from_tail(from) || is_fetching {
            return;
        }
        self.catch_up.download = None;
        let before = self.last.0;
        for change in changes {
            if change.seq == self.last.0.next() {
                self.append(change);
            }
        }
        if self.last.0 > before {
            // The next ones are asked for at once.
            self.request_catch_up();
        }
    }
}

/// The time-out of the next batch: doubled after a loss, otherwise a quarter shorter.
fn adapted_timeout(before: Milliseconds, is_lost: bool) -> Milliseconds {
    Milliseconds(if is_lost {
        before.0 * 2
    } else {
        before.0 * 3 / 4
    })
}
