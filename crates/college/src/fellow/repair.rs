//! Repair: one that is behind takes a snapshot, then follows changes; the log is folded into snapshots.

use super::*;

impl<C: Charge> Fellow<C> {
    /// One without a seat asks the tail for what it lacks.
    pub(super) fn follow(&mut self) {
        let Some(tail) = self.view.tail() else { return };
        if self.view.seats(&self.me) || self.leaving_since.is_some() {
            return;
        }
        if let Some(fetching) = &self.fetching {
            if self.now.since(fetching.asked) < Span(self.timing.suspect.0 * 2) {
                return;
            }
            self.fetching = None;
        }
        let note = Note::Follow { disk: self.me.disk, last: self.last.0, stamp: self.last.1 };
        self.send(tail.address, note);
    }

    /// The stamp of the change at this place, if it's still known.
    fn stamp_at(&self, seq: Seq) -> Option<ViewEpoch> {
        if seq == self.base.0 {
            return Some(self.base.1);
        }
        self.log.iter().find(|change| change.seq == seq).map(|change| change.stamp)
    }

    pub(super) fn on_follow(&mut self, from: Address, disk: DiskId, last: Seq, stamp: ViewEpoch) {
        let voter = Voter { address: from, disk };
        if !self.is_tail() || !self.is_level || self.view.seats(&voter) {
            return;
        }
        let is_known = last <= self.synced.0 && self.stamp_at(last) == Some(stamp);
        let first_kept = self.log.front().map_or(self.synced.0.next(), |change| change.seq);
        if is_known && last.next() >= first_kept {
            self.followers.insert(voter, Follower { last, heard: self.now });
            let changes = self.changes_after(last);
            if !changes.is_empty() {
                self.send(from, Note::Feed { changes });
            }
            return;
        }
        let is_stale = self.snapshot.as_ref().is_none_or(|(at, ..)| at.next() < first_kept);
        if is_stale {
            self.snapshot = Some((self.synced.0, self.synced.1, self.charge.snapshot()));
        }
        if let Some((last, stamp, bytes)) = &self.snapshot {
            let note = Note::SnapshotOffer { last: *last, stamp: *stamp, length: bytes.len() as u64 };
            self.send(from, note);
        }
    }

    fn is_from_tail(&self, from: Address) -> bool {
        self.view.tail().is_some_and(|tail| tail.address == from)
    }

    pub(super) fn on_feed(&mut self, from: Address, changes: Vec<Change>) {
        if self.view.seats(&self.me) || !self.is_from_tail(from) || self.fetching.is_some() {
            return;
        }
        for change in changes {
            if change.seq == self.last.0.next() {
                self.append(change);
            }
        }
    }

    pub(super) fn on_snapshot_offer(&mut self, from: Address, last: Seq, stamp: ViewEpoch, length: u64) {
        if self.view.seats(&self.me) || !self.is_from_tail(from) || self.fetching.is_some() {
            return;
        }
        self.fetching = Some(Fetching { last, stamp, bytes: vec![], length, asked: self.now });
        self.send(from, Note::SnapshotAsk { last, offset: 0 });
    }

    pub(super) fn on_snapshot_ask(&mut self, from: Address, last: Seq, offset: u64) {
        let Some((at, stamp, bytes)) = &self.snapshot else { return };
        if *at != last || offset > bytes.len() as u64 {
            return;
        }
        let start = offset as usize;
        let end = bytes.len().min(start + self.timing.piece_bytes);
        let note = Note::SnapshotPiece {
            last,
            stamp: *stamp,
            offset,
            length: bytes.len() as u64,
            bytes: bytes[start..end].to_vec(),
        };
        self.send(from, note);
    }

    pub(super) fn on_snapshot_piece(
        &mut self,
        from: Address,
        last: Seq,
        stamp: ViewEpoch,
        offset: u64,
        length: u64,
        bytes: Vec<u8>,
    ) {
        if !self.is_from_tail(from) || self.view.seats(&self.me) {
            return;
        }
        let Some(fetching) = &mut self.fetching else { return };
        let fits = fetching.last == last && fetching.stamp == stamp && fetching.length == length;
        if !fits || offset != fetching.bytes.len() as u64 {
            return;
        }
        fetching.bytes.extend_from_slice(&bytes);
        fetching.asked = self.now;
        let have = fetching.bytes.len() as u64;
        if have < length && !bytes.is_empty() {
            return self.send(from, Note::SnapshotAsk { last, offset: have });
        }
        let Some(fetching) = self.fetching.take() else { return };
        if have != length {
            return;
        }
        if let Some(charge) = C::restore(&fetching.bytes) {
            self.charge = charge;
            self.life += 1;
            self.is_fresh = false;
            self.base = (last, stamp);
            self.last = self.base;
            self.synced = self.base;
            self.replied = Seq(0);
            self.log.clear();
            self.write_whole(fetching.bytes);
            self.next_beat = self.now;
        }
    }

    /// Writes all that is to be kept, in place of all that was written before.
    fn write_whole(&mut self, snapshot: Vec<u8>) {
        self.log_bytes = self.log.iter().map(|change| change.body.len()).sum();
        self.snapshot_bytes = snapshot.len();
        let mut records = vec![Record::View { view: self.view.clone() }];
        records.push(Record::Promised { instance: self.promised.0, round: self.promised.1 });
        if let Some(ballot) = self.accepted.clone() {
            records.push(Record::Accepted { ballot });
            records.push(Record::Promised { instance: self.promised.0, round: self.promised.1 });
        }
        records.push(Record::Snapshot { last: self.synced.0, stamp: self.synced.1, body: snapshot });
        records.extend(self.log.iter().map(|change| Record::Change { change: change.clone() }));
        self.write_all(records, true, None);
    }

    /// Folds the log into a snapshot when it has grown long. What a successor may still need is kept.
    pub(super) fn fold(&mut self) {
        let is_long = self.log_bytes > self.timing.fold_bytes.max(self.snapshot_bytes * 2) || self.log.len() > 20_000;
        if !is_long || self.last != self.synced || self.fetching.is_some() {
            return;
        }
        let mut kept_bytes = 0;
        let keep_bound = self.timing.feed_bytes;
        let mut first = self.log.len();
        while first > 0 {
            kept_bytes += self.log[first - 1].body.len();
            if self.log[first - 1].seq <= self.replied && (kept_bytes > keep_bound || self.log.len() - first > 1000) {
                break;
            }
            first -= 1;
        }
        if first == 0 {
            return;
        }
        if let Some(newest) = self.log.drain(..first).next_back() {
            self.base = (newest.seq, newest.stamp);
        }
        let snapshot = self.charge.snapshot();
        self.write_whole(snapshot);
        self.snapshot = None;
    }
}
