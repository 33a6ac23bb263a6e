//! Snapshots: the state machine's complete state, sent to followers in chunks, and written in place
//! of the log (compaction).
//!
//! - A follower installs a snapshot only when it's complete, and writes it with everything else
//!   that must survive a restart: its view, its promise, what it accepted. A snapshot that replaced
//!   the promise would free the voter to break it.
//! - A follower asks for a chain position only once the snapshot is synced
//!   ([`CatchUp::snapshot_write`]); before that, a restart gives back its old log, which may hold a
//!   change that was never committed.
//! - Compaction keeps changes that aren't committed, and some before them, for the successor. While
//!   a follower fetches a snapshot, the log may grow longer, so that the
//!   follower finds all changes since.
//!
//! [`CatchUp::snapshot_write`]: super::catch_up::CatchUp

use super::catch_up::MAX_TIMEOUT_FACTOR;
use crate::messages::{Record, ReplicationMessage};
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use types::{Address, Milliseconds, MonotonicInstant, SequenceNumber, ViewNumber};

/// While a snapshot is fetched, the log may grow to so many times the length
/// at which it is compacted otherwise.
const FETCH_LOG_FACTOR: usize = 4;

/// A snapshot that was not asked for in so many times [`Timing::suspect_timeout`](crate::Timing) is
/// not being fetched.
const FETCH_IDLE_FACTOR: u64 = 2 * MAX_TIMEOUT_FACTOR;

/// The log is compacted when it has more changes than this, however short they are.
const MAX_LOG_CHANGES: usize = 20_000;

/// Compaction keeps at most this many committed changes.
const MAX_RETAINED_CHANGES: usize = 1000;

/// A snapshot that followers fetch in chunks. It stays as it is while changes go on.
#[derive(Debug, Clone)]
pub(super) struct OfferedSnapshot {
    /// The last change in it.
    pub(super) last: SequenceNumber,
    /// The view in which that change was appended.
    pub(super) origin_view: ViewNumber,
    pub(super) bytes: Vec<u8>,
    /// When it was last offered or a chunk of it asked for.
    pub(super) last_requested: MonotonicInstant,
}

/// A snapshot that this follower fetches.
#[derive(Debug, Clone)]
pub(super) struct SnapshotDownload {
    /// The last change in it.
    pub(super) last: SequenceNumber,
    /// The view in which that change was appended.
    pub(super) origin_view: ViewNumber,
    /// What has come so far.
    pub(super) bytes: Vec<u8>,
    /// The length of the complete snapshot in bytes.
    pub(super) length: u64,
    /// When a chunk was last asked for or came.
    pub(super) last_requested: MonotonicInstant,
    /// Whether it was asked for again since its last chunk.
    pub(super) is_overdue: bool,
    /// Without a chunk for this long, it is asked for again.
    pub(super) resend_timeout: Milliseconds,
}

impl<C: StateMachine> Replica<C> {
    /// At the tail: offers a follower a snapshot, a new one if the last one
    /// ends before the log begins.
    pub(super) fn offer_snapshot(&mut self, to: Address, first_in_log: SequenceNumber) {
        let offered = self.catch_up.offered_snapshot.as_ref();
        if offered.is_none_or(|offered| offered.last.next() < first_in_log) {
            let (last, origin_view) = self.synced;
            self.catch_up.offered_snapshot = Some(OfferedSnapshot {
                last,
                origin_view,
                bytes: self.state_machine.snapshot(),
                last_requested: self.now,
            });
        }
        let Some(offered) = &mut self.catch_up.offered_snapshot else {
            return;
        };
        offered.last_requested = self.now;
        let message = ReplicationMessage::SnapshotOffer {
            last: offered.last,
            origin_view: offered.origin_view,
            length: offered.bytes.len() as u64,
        };
        self.send(to, message);
    }

    /// At the tail: whether somebody is fetching the snapshot that it offers.
    pub(super) fn is_snapshot_in_use(&self) -> bool {
        let idle_timeout = Milliseconds(self.timing.suspect_timeout.0 * FETCH_IDLE_FACTOR);
        self.catch_up
            .offered_snapshot
            .as_ref()
            .is_some_and(|offered| self.now.since(offered.last_requested) < idle_timeout)
    }

    /// At a follower: begins to fetch an offered snapshot, unless one is under way.
    pub(super) fn on_snapshot_offer(
        &mut self,
        from: Address,
        last: SequenceNumber,
        origin_view: ViewNumber,
        length: u64,
    ) {
        if self.view.contains(&self.me) || !self.is_from_tail(from) {
            return;
        }
        // One that is under way goes on, unless its sender stopped answering and offers another.
        let is_same = |download: &SnapshotDownload| {
            (download.last, download.origin_view, download.length) == (last, origin_view, length)
        };
        if self
            .catch_up
            .download
            .as_ref()
            .is_some_and(|download| !download.is_overdue || is_same(download))
        {
            return;
        }
        let (last_requested, resend_timeout) = (self.now, self.timing.suspect_timeout);
        self.catch_up.download = Some(SnapshotDownload {
            last,
            origin_view,
            bytes: vec![],
            length,
            last_requested,
            is_overdue: false,
            resend_timeout,
        });
        self.send(
            from,
            ReplicationMessage::SnapshotRequest { last, offset: 0 },
        );
    }

    /// At the tail: sends a chunk of the offered snapshot.
    pub(super) fn on_snapshot_request(&mut self, from: Address, last: SequenceNumber, offset: u64) {
        let Some(offered) = &mut self.catch_up.offered_snapshot else {
            return;
        };
        if offered.last != last || offset > offered.bytes.len() as u64 {
            return;
        }
        offered.last_requested = self.now;
        let (origin_view, bytes) = (offered.origin_view, &offered.bytes);
        let start = offset as usize;
        let end = bytes.len().min(start + self.timing.snapshot_chunk_bytes);
        let message = ReplicationMessage::SnapshotChunk {
            last,
            origin_view,
            offset,
            length: bytes.len() as u64,
            bytes: bytes[start..end].to_vec(),
        };
        self.send(from, message);
    }

    /// At a follower: takes the next chunk, and asks for the one after it
    /// or installs the complete snapshot.
    pub(super) fn on_snapshot_chunk(
        &mut self,
        from: Address,
        last: SequenceNumber,
        origin_view: ViewNumber,
        offset: u64,
        length: u64,
        bytes: Vec<u8>,
    ) {
        if !self.is_from_tail(from) || self.view.contains(&self.me) {
            return;
        }
        let Some(download) = &mut self.catch_up.download else {
            return;
        };
        let is_same =
            (download.last, download.origin_view, download.length) == (last, origin_view, length);
        if !is_same || offset != download.bytes.len() as u64 {
            return;
        }
        download.bytes.extend_from_slice(&bytes);
        download.last_requested = self.now;
        download.is_overdue = false;
        let shorter = Milliseconds(download.resend_timeout.0 * 3 / 4);
        download.resend_timeout = shorter.max(self.timing.suspect_timeout);
        let have = download.bytes.len() as u64;
        if have < length && !bytes.is_empty() {
            let next = ReplicationMessage::SnapshotRequest { last, offset: have };
            return self.send(from, next);
        }
        if let Some(download) = self.catch_up.download.take().filter(|_| have == length) {
            self.install_snapshot(download);
        }
    }

    /// Takes a fetched snapshot as the state, and writes it in place of the log. A snapshot that
    /// the state machine can't read is dropped; the follower will ask again.
    fn install_snapshot(&mut self, fetched: SnapshotDownload) {
        let Some(state_machine) = C::restore(&fetched.bytes) else {
            return;
        };
        self.state_machine = state_machine;
        self.writes.incarnation += 1;
        self.has_unused_disk = false;
        self.log_start = (fetched.last, fetched.origin_view);
        self.last = self.log_start;
        self.synced = self.log_start;
        self.commit_index = SequenceNumber(0);
        self.log.clear();
        self.write_snapshot(fetched.bytes);
        self.catch_up.snapshot_write = Some(self.writes.last_write_id);
        self.next_heartbeat = self.now;
    }

    /// Writes everything that must survive a restart in place of all that was written before.
    pub(super) fn write_snapshot(&mut self, snapshot: Vec<u8>) {
        self.writes.log_bytes = self.log.iter().map(|change| change.body.len()).sum();
        self.writes.snapshot_bytes = snapshot.len();
        let mut records = vec![Record::View {
            view: self.view.clone(),
        }];
        records.push(Record::Promised {
            instance: self.promised.0,
            proposal_number: self.promised.1,
        });
        if let Some(proposal) = self.accepted.clone() {
            records.push(Record::Accepted { proposal });
            records.push(Record::Promised {
                instance: self.promised.0,
                proposal_number: self.promised.1,
            });
        }
        records.push(Record::Snapshot {
            last: self.synced.0,
            origin_view: self.synced.1,
            body: snapshot,
        });
        records.extend(self.log.iter().map(|change| Record::Change {
            change: change.clone(),
        }));
        self.write_all(records, true, None);
    }

    /// Compacts the log into a snapshot when it has grown long.
    pub(super) fn compact_log(&mut self) {
        let growth_factor = if self.is_snapshot_in_use() {
            FETCH_LOG_FACTOR
        } else {
            1
        };
        let threshold = self.timing.compaction_threshold_bytes;
        let bound = threshold.max(self.writes.snapshot_bytes * 2) * growth_factor;
        let is_long =
            self.writes.log_bytes > bound || self.log.len() > MAX_LOG_CHANGES * growth_factor;
        if !is_long || self.last != self.synced || self.catch_up.download.is_some() {
            return;
        }
        let first = self.first_retained_change();
        if first == 0 {
            return;
        }
        if let Some(newest) = self.log.drain(..first).next_back() {
            self.log_start = (newest.seq, newest.origin_view);
        }
        let snapshot = self.state_machine.snapshot();
        self.write_snapshot(snapshot);
        self.catch_up.offered_snapshot = None;
    }

    /// The index in the log of the first change that compaction keeps: those that aren't committed,
    /// and some before them, which a successor may still need.
    fn first_retained_change(&self) -> usize {
        let mut retained_bytes = 0;
        let mut first = self.log.len();
        while first > 0 {
            let change = &self.log[first - 1];
            retained_bytes += change.body.len();
            let is_enough = retained_bytes > self.timing.catch_up_batch_bytes
                || self.log.len() - first > MAX_RETAINED_CHANGES;
            if change.seq <= self.commit_index && is_enough {
                break;
            }
            first -= 1;
        }
        first
    }
}
