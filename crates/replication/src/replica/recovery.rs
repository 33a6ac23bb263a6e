//! Recovery: a replica from what its disk holds.
//!
//! Records are replayed in the order in which they were written. The log may reach back behind the
//! snapshot, or the snapshot behind the log's end, depending on when the machine stopped; what may
//! not be is a gap, which means that the disk lost a change that was acknowledged. A replica with
//! such a disk must not serve: it would answer without that change.

use super::catch_up::CatchUp;
use super::chain::Forwarding;
use super::drain::DrainState;
use super::durability::WriteQueue;
use super::lease::TailLease;
use super::view_change::ViewChange;
use super::{Replica, UNKNOWN_VIEW};
use crate::messages::{Change, Record};
use crate::replica::Timing;
use crate::state_machine::StateMachine;
use crate::view::{View, Voter};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, MonotonicInstant, SequenceNumber, ViewNumber};

/// What a disk gave back: records in the order in which they were written.
#[derive(Debug, Clone, Default)]
pub struct RecoveredRecords {
    /// All records since the last write that replaced everything before it; empty for a new disk.
    pub records: Vec<Record>,
}

/// Why what a disk gave back can't be used. Nothing of it is served: the folder must be restored or
/// emptied, and the replica catches up as a new one.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum RecoveryError {
    /// The state machine can't read the snapshot that ends with this change.
    #[error("the snapshot up to change {0} can't be read")]
    Snapshot(SequenceNumber),
    /// One or more changes are missing before this one.
    #[error("changes are missing before change {0}")]
    Gap(SequenceNumber),
}

impl<C: StateMachine> Replica<C> {
    /// A replica at the start of an incarnation, from what its disk holds; `empty` is the state
    /// machine's first state, and `now` the present instant of the monotonic clock. It takes part
    /// in a founding if it is one of `founders` and its disk is empty, or if its disk says that it
    /// was when that was so.
    ///
    /// # Errors
    ///
    /// [`RecoveryError`] if the records have a gap or a snapshot that can't be read.
    pub fn new(
        me: Voter,
        founders: Vec<Address>,
        timing: Timing,
        recovered: RecoveredRecords,
        empty: C,
        now: MonotonicInstant,
    ) -> Result<Self, RecoveryError> {
        let is_new = recovered.records.is_empty();
        let mut replica = Replica::blank(me, timing, is_new, empty, now);
        replica.founders = founders;
        for record in recovered.records {
            replica.replay(record)?;
        }
        replica.drop_log_before_snapshot();
        replica.restore_founders();
        replica.view_change.highest_count = replica.promised.1.count;
        replica.lease.has_released_lease = replica.promised.0 == replica.view.epoch.next()
            && replica.promised.1.proposer == me.disk.0;
        replica.synced = replica.last;
        replica.is_caught_up = replica.view.position(&me).is_some_and(|p| p.is_caught_up);
        replica.commit_if_tail();
        Ok(replica)
    }

    /// A replica that knows nothing yet. A voter that isn't new may have granted a lease just
    /// before it stopped.
    fn blank(me: Voter, timing: Timing, is_new: bool, empty: C, now: MonotonicInstant) -> Self {
        let earlier_grant_until = if is_new {
            now
        } else {
            now + timing.lease_duration
        };
        Replica {
            me,
            founders: vec![],
            contacts: vec![],
            timing,
            now,
            view: View::none(),
            promised: Default::default(),
            accepted: None,
            log_start: Default::default(),
            log: VecDeque::new(),
            state_machine: empty,
            last: Default::default(),
            synced: Default::default(),
            commit_index: SequenceNumber(0),
            is_caught_up: false,
            is_healthy: true,
            has_unused_disk: is_new,
            writes: WriteQueue::default(),
            peers: BTreeMap::new(),
            has_member_majority: false,
            last_tick: now,
            next_heartbeat: now,
            listening_since: now,
            majority_since: None,
            lease: TailLease::new(now, earlier_grant_until),
            view_change: ViewChange::new(now + timing.suspect_timeout),
            forwarding: Forwarding::new(&timing, now),
            catch_up: CatchUp::default(),
            drain: DrainState::default(),
            outputs: vec![],
            loopback: VecDeque::new(),
        }
    }

    /// A log that ends before the snapshot has nothing that follows on it.
    fn drop_log_before_snapshot(&mut self) {
        let newest = self.log.back();
        if newest.is_some_and(|newest| newest.seq < self.last.0) {
            self.log.clear();
            self.writes.log_bytes = 0;
            self.log_start = self.last;
        }
    }

    /// A disk that bears a founder's promise makes its replica a founder,
    /// whatever the settings say now.
    fn restore_founders(&mut self) {
        if self.view.epoch == ViewNumber(0) && self.promised.0 == ViewNumber(1) {
            self.founders.push(self.me.address);
        }
        self.founders.sort();
        self.founders.dedup();
    }

    /// Takes in one record.
    fn replay(&mut self, record: Record) -> Result<(), RecoveryError> {
        match record {
            Record::Promised {
                instance,
                proposal_number,
            } => self.promised = (instance, proposal_number),
            Record::Accepted { proposal } => {
                self.promised = (proposal.view.epoch, proposal.proposal_number);
                self.accepted = Some(proposal);
            }
            Record::View { view } => self.set_view(view),
            Record::Change { change } => self.replay_change(change)?,
            Record::Snapshot {
                last,
                origin_view,
                body,
            } => {
                self.state_machine = C::restore(&body).ok_or(RecoveryError::Snapshot(last))?;
                self.log.clear();
                self.writes.log_bytes = 0;
                self.writes.snapshot_bytes = body.len();
                self.log_start = (last, origin_view);
                self.last = (last, origin_view);
            }
        }
        Ok(())
    }

    /// Takes in one change of the log. Changes that the snapshot holds already are kept, for
    /// others, and not applied again.
    fn replay_change(&mut self, change: Change) -> Result<(), RecoveryError> {
        let newest = self.log.back().map(|newest| newest.seq);
        if newest.is_some_and(|newest| newest.next() != change.seq)
            || change.seq > self.last.0.next()
        {
            return Err(RecoveryError::Gap(change.seq));
        }
        if newest.is_none() && change.seq <= self.log_start.0 {
            // The log reaches back behind the snapshot; the view of the change before it isn't known here.
            self.log_start = (SequenceNumber(change.seq.0 - 1), UNKNOWN_VIEW);
        }
        if change.seq > self.last.0 {
            self.state_machine.apply(&change.body);
            self.last = (change.seq, change.origin_view);
        }
        self.writes.log_bytes += change.body.len();
        self.log.push_back(change);
        Ok(())
    }
}
