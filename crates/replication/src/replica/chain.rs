//! The chain: changes enter at the head, pass down, and are replied at the tail.

use super::*;
use crate::messages::{Change, ChangeRequestId, Record, ReplicationMessage};
use crate::replica::{Output, Replica};
use crate::state_machine::{Preview, StateMachine};
use crate::view::Voter;
use types::{Address, DiskId, Milliseconds, SequenceNumber, ViewNumber};

impl<C: StateMachine> Replica<C> {
    pub(super) fn on_propose_here(&mut self, number: u64, body: Vec<u8>) {
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

    pub(super) fn on_propose(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        let tail_says = match self.view.tail() {
            Some(tail) if tail == self.me => self.has_member_majority,
            Some(tail) => self.heard.get(&tail.address).is_some_and(|h| {
                h.disk == tail.disk
                    && h.has_member_majority
                    && self.now.since(h.at) < self.timing.suspect_timeout
            }),
            None => false,
        };
        let has_room = self.last.0.0 < self.commit_index.0 + self.timing.max_in_flight_changes;
        let may_enter = self.is_head() && self.is_caught_up && self.has_copies() && has_room;
        if !may_enter || (self.state_machine.requires_member_majority(&body) && !tail_says) {
            return self.turn_away(request_id, false, vec![]);
        }
        match self.state_machine.preview(&body) {
            Preview::Reject(_) => self.ask_for_judgement(request_id, body),
            // Not taken, so that it's tried again.
            Preview::Admit if !self.pace.take(&self.timing, self.now) => {
                self.turn_away(request_id, false, vec![])
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

    /// Has the tail say that a proposal can't be taken: the head's own state may never be accepted.
    fn ask_for_judgement(&mut self, request_id: ChangeRequestId, body: Vec<u8>) {
        let Some(tail) = self.view.tail() else {
            return self.turn_away(request_id, false, vec![]);
        };
        let message = ReplicationMessage::ConfirmRejection {
            view: self.view.epoch,
            request_id,
            last: self.synced.0,
            body,
        };
        self.send(tail.address, message);
    }

    /// Judges a proposal that the head would not take. The answer is given like that to a change: by the tail
    /// of the view in force, under its lease, once its state is accepted. A tail that is not as far as the head
    /// was, or finds that it can be taken, has it proposed again.
    pub(super) fn on_judge(
        &mut self,
        from: Address,
        view: ViewNumber,
        request_id: ChangeRequestId,
        last: SequenceNumber,
        body: Vec<u8>,
    ) {
        let is_heads =
            view == self.view.epoch && self.view.head().is_some_and(|head| head.address == from);
        let may_judge = is_heads
            && self.is_tail()
            && self.is_caught_up
            && self.has_copies()
            && self.synced.0 >= last;
        if !may_judge {
            return self.turn_away(request_id, false, vec![]);
        }
        match self.state_machine.preview(&body) {
            Preview::Reject(answer) => self.outputs.push(Output::ChangeRejected {
                request_id,
                body: answer,
            }),
            Preview::Admit => self.turn_away(request_id, false, vec![]),
        }
    }

    /// Whether the chain is long enough that what passed down it is on as many disks as a change must be.
    pub fn has_copies(&self) -> bool {
        self.view.chain.len() >= self.timing.min_chain_length
    }

    fn turn_away(&mut self, request_id: ChangeRequestId, is_final: bool, body: Vec<u8>) {
        let message = ReplicationMessage::Response {
            number: request_id.number,
            is_final,
            body,
        };
        self.send(request_id.origin, message);
    }

    /// Takes a change onto the log; it counts once it's synced.
    pub(super) fn append(&mut self, change: Change) {
        self.last = (change.seq, change.origin_view);
        self.log_bytes += change.body.len();
        self.log.push_back(change.clone());
        self.is_fresh = false;
        let then = Deferred::Apply(self.incarnation, change.clone());
        self.write(Record::Change { change }, Some(then));
    }

    pub(super) fn on_change_synced(&mut self, change: Change) {
        let answer = self.state_machine.apply(&change.body);
        self.synced = (change.seq, change.origin_view);
        let request_id = change.request_id;
        match self.view.successor(&self.me) {
            Some(successor) => {
                let size = change.body.len();
                let deadline = (self.now + self.way(size))
                    .max(self.passed.1 + Milliseconds(size as u64 / 4000));
                self.passed = (change.seq, deadline);
                let message = ReplicationMessage::Forward {
                    view: self.view.epoch,
                    change,
                };
                self.send(successor.address, message);
            }
            None if self.is_tail() && self.is_caught_up => {
                self.commit_index = self.synced.0;
                // A chain that has shrunk since it took the change has it on too few disks to say so.
                if self.has_copies() {
                    self.outputs.push(Output::Committed {
                        request_id,
                        body: answer,
                    });
                }
                self.next_heartbeat = self.now;
            }
            None => {}
        }
    }

    pub(super) fn on_pass(&mut self, from: Address, view: ViewNumber, change: Change) {
        let is_from_predecessor = self
            .view
            .predecessor(&self.me)
            .is_some_and(|p| p.address == from);
        let is_wanted = (self.last.0.next()
            ..=SequenceNumber(self.last.0.0 + self.timing.max_in_flight_changes))
            .contains(&change.seq);
        if view != self.view.epoch || !is_from_predecessor || !is_wanted {
            return;
        }
        self.early.insert(change.seq, change);
        while let Some(next) = self.early.remove(&self.last.0.next()) {
            self.append(next);
        }
    }

    pub(super) fn on_chain_beat(
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
            if last > self.successor_moved.0 || last >= self.synced.0 {
                self.successor_moved = (last, self.now);
            }
            if !is_caught_up && self.is_caught_up && self.is_on_own_history(&voter) {
                let message = ReplicationMessage::CatchUpTarget {
                    view,
                    last: self.last.0,
                };
                self.send(from, message);
            }
        }
    }

    pub(super) fn on_level(&mut self, from: Address, view: ViewNumber, last: SequenceNumber) {
        let is_from_predecessor = self
            .view
            .predecessor(&self.me)
            .is_some_and(|p| p.address == from);
        let has_all = self.synced.0 >= last && self.snapshot_write.is_none();
        if view == self.view.epoch && is_from_predecessor && has_all && !self.is_caught_up {
            self.is_caught_up = true;
            self.next_heartbeat = self.now;
            if self.is_tail() {
                self.commit_index = self.synced.0;
            }
        }
    }

    /// How long so many bytes may be under way and to the disk: a few beats, and 4 MB/s.
    pub(super) fn way(&self, bytes: usize) -> Milliseconds {
        Milliseconds(self.timing.heartbeat_interval.0 * 3 + bytes as u64 / 4000)
    }

    /// Passes on again what the successor hasn't got, but nothing that is still on its way.
    pub(super) fn pass_again(&mut self) {
        let Some(successor) = self.view.successor(&self.me) else {
            return;
        };
        let Some(heard) = self.heard.get(&successor.address) else {
            return;
        };
        let has_all = heard.view != self.view.epoch
            || heard.disk != successor.disk
            || heard.last >= self.synced.0;
        let is_under_way = self.now < self.passed.1;
        if has_all || is_under_way || !self.is_on_own_history(&successor) {
            return;
        }
        let (from, view) = (heard.last, self.view.epoch);
        let missing = self.changes_after(from, self.timing.catch_up_batch_bytes);
        if let Some(newest) = missing.last() {
            let bytes = missing.iter().map(|change| change.body.len()).sum();
            self.passed = (newest.seq, self.now + self.way(bytes));
        }
        for change in missing {
            self.send(
                successor.address,
                ReplicationMessage::Forward { view, change },
            );
        }
    }

    /// Synced changes after this one, up to the bound, at least one.
    pub(super) fn changes_after(&self, seq: SequenceNumber, mut room: usize) -> Vec<Change> {
        let mut found: Vec<Change> = vec![];
        for change in self
            .log
            .iter()
            .filter(|c| c.seq > seq && c.seq <= self.synced.0)
        {
            if !found.is_empty() && change.body.len() > room {
                break;
            }
            room = room.saturating_sub(change.body.len());
            found.push(change.clone());
        }
        found
    }

    /// Whether this is the successor, and takes nothing although it beats: a line that is cut one
    /// way, or a disk that hangs.
    pub(super) fn is_stuck(&self, voter: &Voter) -> bool {
        if self.has_diverged(voter) {
            return true;
        }

        let is_behind = self
            .heard
            .get(&voter.address)
            .is_some_and(|h| h.last < self.synced.0);
        self.view.successor(&self.me) == Some(*voter)
            && is_behind
            && self.now.since(self.successor_moved.1)
                > Milliseconds(self.timing.suspect_timeout.0 * 4)
            && self.now >= self.passed.1
    }

    /// Whether the last change that the successor says it holds is one of this log. One that was restarted before its
    /// snapshot was on its disk holds what it had before, which may be a change that was never accepted.
    fn is_on_own_history(&self, successor: &Voter) -> bool {
        let Some(heard) = self
            .heard
            .get(&successor.address)
            .filter(|heard| heard.disk == successor.disk)
        else {
            return false;
        };
        self.stamp_at(heard.last) == Some(heard.origin_view)
    }

    /// Whether the successor's last change is known to be another one than that of the same number here. It gets a
    /// snapshot once it has no seat any more.
    pub(super) fn has_diverged(&self, voter: &Voter) -> bool {
        let Some(heard) = self
            .heard
            .get(&voter.address)
            .filter(|heard| heard.disk == voter.disk)
        else {
            return false;
        };
        let is_successor =
            self.view.successor(&self.me) == Some(*voter) && heard.view == self.view.epoch;
        is_successor
            && self
                .stamp_at(heard.last)
                .is_some_and(|origin_view| origin_view != heard.origin_view)
    }
}
