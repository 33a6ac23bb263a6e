//! Writes to the disk, and what must wait for them.
//!
//! Rule: nothing is promised, accepted, forwarded or committed before it is synced here. Paxos and
//! chain replication both assume that a replica that comes back remembers what it said; without the
//! wait, a loss of power would make it forget.

use crate::messages::{Change, Record, ReplicationMessage};
use crate::replica::{Output, Replica};
use crate::state_machine::StateMachine;
use std::collections::VecDeque;
use types::{Address, MonotonicInstant};

/// Writes that aren't synced yet, and what waits for them.
#[derive(Debug, Clone, Default)]
pub(super) struct WriteQueue {
    /// The id of the newest write; ids grow by one.
    pub(super) last_write_id: u64,
    /// Writes that aren't synced, and when each was given out.
    pub(super) pending_writes: VecDeque<(u64, MonotonicInstant)>,
    /// What is done once the write of this id is synced.
    pub(super) after_sync: VecDeque<(u64, AfterSync)>,
    /// Grows when a snapshot is installed, which makes void the changes that were being written.
    pub(super) incarnation: u64,
    /// The bodies of the changes in the log, in bytes.
    pub(super) log_bytes: usize,
    /// The last snapshot written, in bytes.
    pub(super) snapshot_bytes: usize,
}

/// What is done once a write is synced.
#[derive(Debug, Clone, Hash)]
pub(super) enum AfterSync {
    /// Send a message.
    Send(Address, ReplicationMessage),
    /// Apply a change, if no snapshot was installed since the incarnation that it was written in.
    Apply(u64, Change),
}

impl<C: StateMachine> Replica<C> {
    /// Writes one record.
    pub(super) fn write(&mut self, record: Record, then: Option<AfterSync>) {
        self.write_all(vec![record], false, then);
    }

    /// Writes records, in place of all that was written before if `replaces_all`.
    pub(super) fn write_all(
        &mut self,
        records: Vec<Record>,
        replaces_all: bool,
        then: Option<AfterSync>,
    ) {
        self.writes.last_write_id += 1;
        let id = self.writes.last_write_id;
        self.outputs.push(Output::Write {
            id,
            records,
            replaces_all,
        });
        self.writes.pending_writes.push_back((id, self.now));
        if let Some(then) = then {
            self.writes.after_sync.push_back((id, then));
        }
    }

    /// All writes up to this one are synced: does what waited for them, in order.
    pub(super) fn on_written(&mut self, id: u64) {
        while self
            .writes
            .pending_writes
            .front()
            .is_some_and(|(waiting, _)| *waiting <= id)
        {
            self.writes.pending_writes.pop_front();
        }
        self.catch_up.snapshot_write = self.catch_up.snapshot_write.filter(|waiting| *waiting > id);
        while self
            .writes
            .after_sync
            .front()
            .is_some_and(|(waiting, _)| *waiting <= id)
        {
            match self.writes.after_sync.pop_front() {
                Some((_, AfterSync::Send(to, message))) => self.send(to, message),
                Some((_, AfterSync::Apply(incarnation, change)))
                    if incarnation == self.writes.incarnation =>
                {
                    self.on_change_synced(change);
                }
                _ => {}
            }
        }
    }

    /// The disk failed a write: this replica steps out, and says so.
    pub(super) fn on_disk_failed(&mut self) {
        self.is_healthy = false;
        self.lease.lease_deadline = MonotonicInstant(0);
        self.writes.after_sync.clear();
        self.writes.pending_writes.clear();
        self.view_change.attempt = None;
        self.broadcast_heartbeat();
    }

    /// Whether the disk has left a write unsynced for
    /// [`Timing::disk_stall_timeout`](crate::Timing).
    pub(super) fn is_stalled(&self) -> bool {
        self.writes
            .pending_writes
            .front()
            .is_some_and(|(_, at)| self.now.since(*at) >= self.timing.disk_stall_timeout)
    }
}
