//! Repair: one that is behind takes a snapshot, then follows changes; the log is folded into snapshots.

use super::*;
use crate::messages::{Change, Record, ReplicationMessage};
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use crate::view::Voter;
use types::{Address, DiskId, Milliseconds, SequenceNumber, ViewNumber};

/// A piece or a feed that brings no word is sent again after a while that doubles up to so many times
/// [`Timing::suspect_timeout`]: a slow line isn't filled with copies.
const MOST_PATIENCE: u64 = 8;

/// While a snapshot is fetched, the log may grow to so many times what else has it folded, so that the one
/// who fetches finds all changes since. Beyond that the snapshot is given up for a newer one.
const FETCH_ROOM: usize = 4;

/// A follower unheard for this long is fed anew.
const FORGET_FEED: Milliseconds = Milliseconds(2000);

/// A snapshot that was not asked for in so many times [`Timing::suspect_timeout`] is not being fetched.
const FETCH_RESTS: u64 = 2 * MOST_PATIENCE;

impl<C: StateMachine> Replica<C> {
    /// One without a seat asks the tail for what it lacks.
    pub(super) fn follow(&mut self) {
        let Some(tail) = self.view.tail() else { return };
        if self.view.contains(&self.me)
            || self.draining_since.is_some()
            || self.snapshot_write.is_some()
        {
            return;
        }
        if let Some(fetching) = &mut self.fetching {
            if self.now.since(fetching.asked) < fetching.patience {
                return;
            }
            // What is here already is kept: the piece that is missing is asked for again, each time later.
            fetching.asked = self.now;
            fetching.is_silent = true;
            fetching.patience = Milliseconds(
                (fetching.patience.0 * 2).min(self.timing.suspect_timeout.0 * MOST_PATIENCE),
            );
            let message = ReplicationMessage::SnapshotRequest {
                last: fetching.last,
                offset: fetching.bytes.len() as u64,
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

    /// The stamp of the change at this place, if it's still known.
    pub(super) fn stamp_at(&self, seq: SequenceNumber) -> Option<ViewNumber> {
        if seq == self.base.0 && self.base.1 != UNKNOWN_STAMP {
            return Some(self.base.1);
        }
        self.log
            .iter()
            .find(|change| change.seq == seq)
            .map(|change| change.origin_view)
    }

    pub(super) fn on_follow(
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
        let is_known = last <= self.synced.0 && self.stamp_at(last) == Some(origin_view);
        let first_kept = self
            .log
            .front()
            .map_or(self.synced.0.next(), |change| change.seq);
        if is_known && last.next() >= first_kept {
            return self.feed(voter, last);
        }
        let is_stale = self
            .snapshot
            .as_ref()
            .is_none_or(|offered| offered.last.next() < first_kept);
        if is_stale {
            let (last, origin_view) = self.synced;
            self.snapshot = Some(Offered {
                last,
                origin_view,
                bytes: self.state_machine.snapshot(),
                asked: self.now,
            });
        }
        if let Some(offered) = &mut self.snapshot {
            offered.asked = self.now;
            let (last, origin_view, length) = (
                offered.last,
                offered.origin_view,
                offered.bytes.len() as u64,
            );
            self.send(
                from,
                ReplicationMessage::SnapshotOffer {
                    last,
                    origin_view,
                    length,
                },
            );
        }
    }

    /// Sends a follower what comes after `last`, but nothing again that is still on its way.
    fn feed(&mut self, voter: Voter, last: SequenceNumber) {
        let before = self.followers.get(&voter).cloned();
        let mut follower = Follower {
            last,
            heard: self.now,
            fed: last,
            fed_deadline: self.now,
            patience: Milliseconds(0),
        };
        if let Some(before) = before.filter(|before| self.now.since(before.heard) < FORGET_FEED) {
            let is_waited_for = last < before.fed;
            if is_waited_for && self.now < before.fed_deadline {
                self.followers.insert(
                    voter,
                    Follower {
                        last,
                        heard: self.now,
                        ..before
                    },
                );
                return;
            }
            let patience = before.patience.0;
            follower.patience = Milliseconds(if is_waited_for {
                patience * 2
            } else {
                patience * 3 / 4
            });
        }
        let changes = self.changes_after(last, self.timing.snapshot_chunk_bytes);
        if let Some(newest) = changes.last() {
            let bytes = changes.iter().map(|change| change.body.len()).sum();
            let most = Milliseconds(self.timing.suspect_timeout.0 * MOST_PATIENCE);
            follower.patience = follower.patience.max(self.way(bytes)).min(most);
            (follower.fed, follower.fed_deadline) = (newest.seq, self.now + follower.patience);
            self.send(voter.address, ReplicationMessage::CatchUpBatch { changes });
        }
        self.followers.insert(voter, follower);
    }

    /// Whether someone fetches the snapshot that is kept for it.
    fn is_fetched(&self) -> bool {
        let rests = Milliseconds(self.timing.suspect_timeout.0 * FETCH_RESTS);
        self.snapshot
            .as_ref()
            .is_some_and(|offered| self.now.since(offered.asked) < rests)
    }

    fn is_from_tail(&self, from: Address) -> bool {
        self.view.tail().is_some_and(|tail| tail.address == from)
    }

    pub(super) fn on_feed(&mut self, from: Address, changes: Vec<Change>) {
        let is_fetching = self
            .fetching
            .as_ref()
            .is_some_and(|fetching| !fetching.is_silent);
        if self.view.contains(&self.me) || !self.is_from_tail(from) || is_fetching {
            return;
        }
        self.fetching = None;
        let before = self.last.0;
        for change in changes {
            if change.seq == self.last.0.next() {
                self.append(change);
            }
        }
        if self.last.0 > before {
            // The next ones are asked for at once.
            self.follow();
        }
    }

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
        // One that is under way goes on, unless its giver has gone silent and offers another.
        let is_same = |fetching: &Fetching| {
            (fetching.last, fetching.origin_view, fetching.length) == (last, origin_view, length)
        };
        if self
            .fetching
            .as_ref()
            .is_some_and(|fetching| !fetching.is_silent || is_same(fetching))
        {
            return;
        }
        let (asked, patience) = (self.now, self.timing.suspect_timeout);
        self.fetching = Some(Fetching {
            last,
            origin_view,
            bytes: vec![],
            length,
            asked,
            is_silent: false,
            patience,
        });
        self.send(
            from,
            ReplicationMessage::SnapshotRequest { last, offset: 0 },
        );
    }

    pub(super) fn on_snapshot_ask(&mut self, from: Address, last: SequenceNumber, offset: u64) {
        let Some(offered) = &mut self.snapshot else {
            return;
        };
        if offered.last != last || offset > offered.bytes.len() as u64 {
            return;
        }
        offered.asked = self.now;
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

    pub(super) fn on_snapshot_piece(
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
        let Some(fetching) = &mut self.fetching else {
            return;
        };
        let fits = fetching.last == last
            && fetching.origin_view == origin_view
            && fetching.length == length;
        if !fits || offset != fetching.bytes.len() as u64 {
            return;
        }
        fetching.bytes.extend_from_slice(&bytes);
        fetching.asked = self.now;
        fetching.is_silent = false;
        fetching.patience =
            Milliseconds(fetching.patience.0 * 3 / 4).max(self.timing.suspect_timeout);
        let have = fetching.bytes.len() as u64;
        if have < length && !bytes.is_empty() {
            return self.send(
                from,
                ReplicationMessage::SnapshotRequest { last, offset: have },
            );
        }
        let Some(fetching) = self.fetching.take() else {
            return;
        };
        if have != length {
            return;
        }
        if let Some(state_machine) = C::restore(&fetching.bytes) {
            self.state_machine = state_machine;
            self.incarnation += 1;
            self.is_fresh = false;
            self.base = (last, origin_view);
            self.last = self.base;
            self.synced = self.base;
            self.commit_index = SequenceNumber(0);
            self.log.clear();
            self.write_whole(fetching.bytes);
            self.snapshot_write = Some(self.next_write);
            self.next_heartbeat = self.now;
        }
    }

    /// Writes all that is to be kept, in place of all that was written before.
    fn write_whole(&mut self, snapshot: Vec<u8>) {
        self.log_bytes = self.log.iter().map(|change| change.body.len()).sum();
        self.snapshot_bytes = snapshot.len();
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

    /// Folds the log into a snapshot when it has grown long. What a successor may still need is kept.
    pub(super) fn fold(&mut self) {
        let room = if self.is_fetched() { FETCH_ROOM } else { 1 };
        let bound = self
            .timing
            .compaction_threshold_bytes
            .max(self.snapshot_bytes * 2)
            * room;
        let is_long = self.log_bytes > bound || self.log.len() > 20_000 * room;
        if !is_long || self.last != self.synced || self.fetching.is_some() {
            return;
        }
        let mut kept_bytes = 0;
        let keep_bound = self.timing.catch_up_batch_bytes;
        let mut first = self.log.len();
        while first > 0 {
            kept_bytes += self.log[first - 1].body.len();
            if self.log[first - 1].seq <= self.commit_index
                && (kept_bytes > keep_bound || self.log.len() - first > 1000)
            {
                break;
            }
            first -= 1;
        }
        if first == 0 {
            return;
        }
        if let Some(newest) = self.log.drain(..first).next_back() {
            self.base = (newest.seq, newest.origin_view);
        }
        let snapshot = self.state_machine.snapshot();
        self.write_whole(snapshot);
        self.snapshot = None;
    }
}
