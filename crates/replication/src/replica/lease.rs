//! The tail's lease: when the tail may answer without asking anybody, and how a tail that was
//! replaced is fenced off.
//!
//! Published chain replication lets a perfect master tell the tail that it was replaced. There is
//! none here: a tail that is cut off may not know that a newer view has another tail, and would
//! answer with an old state. So the tail is a *lease holder*:
//!
//! - The tail asks all voters for a lease ([`ReplicationMessage::LeaseRequest`]) and may answer
//!   once a majority has granted it, for [`Timing::holder_lease_duration`](crate::Timing) from when
//!   it *asked*. Counting from the grants would let it outlive them.
//! - *Fencing*: a voter that granted a lease accepts no view with another tail for
//!   [`Timing::lease_duration`](crate::Timing), which is longer, for clocks that run apart
//!   ([`Replica::is_fenced`]). Any majority for the new view shares a voter with the majority that
//!   granted the lease, so no new tail can commit while the old one may still answer.
//! - A voter that has just started may have granted a lease before, which it doesn't keep on disk:
//!   it behaves as if it had granted one at its start.
//! - A voter that holds a new view back grants no further lease meanwhile, or
//!   the old tail could renew forever.
//! - A voter that has accepted a view with another tail grants none either: that view may be
//!   decided at any moment.
//! - A tail that itself proposes another tail gives its lease up first, for good in that view, so
//!   nobody need wait for it.

use super::Replica;
use crate::messages::ReplicationMessage;
use crate::state_machine::StateMachine;
use crate::view::{View, Voter};
use std::collections::BTreeSet;
use types::{Address, DiskId, Milliseconds, MonotonicInstant, ViewNumber};

/// The lease of the tail: what this replica granted as a voter, and what it holds as the tail.
#[derive(Debug, Clone)]
pub(super) struct TailLease {
    /// As a voter: until when the lease runs that it granted to the tail of the present view.
    pub(super) granted_until: MonotonicInstant,
    /// As a voter: until when a lease may run that it granted before it was restarted.
    pub(super) earlier_grant_until: MonotonicInstant,
    /// As a voter: until when it grants no lease, since a view with another tail waits for the last
    /// one to run out.
    pub(super) grants_paused_until: MonotonicInstant,
    /// As the tail: whether it has given its lease up by proposing another tail.
    pub(super) has_released_lease: bool,
    /// As the tail: the number of its newest request. It starts from the instant of the start, in
    /// milliseconds, so that a grant to an earlier incarnation isn't taken for one to this.
    pub(super) request_number: u64,
    /// As the tail: when it sent its newest request.
    pub(super) requested_at: MonotonicInstant,
    /// As the tail: the disks whose voters granted the newest request.
    pub(super) grants: BTreeSet<DiskId>,
    /// As the tail: until when it holds the lease.
    pub(super) lease_deadline: MonotonicInstant,
}

impl TailLease {
    /// At the start of an incarnation: nothing is held, and what may have been granted before runs
    /// until `silent_until`.
    pub(super) fn new(now: MonotonicInstant, earlier_grant_until: MonotonicInstant) -> TailLease {
        TailLease {
            granted_until: MonotonicInstant(0),
            earlier_grant_until,
            grants_paused_until: now,
            has_released_lease: false,
            request_number: now.0,
            requested_at: MonotonicInstant(0),
            grants: BTreeSet::new(),
            lease_deadline: MonotonicInstant(0),
        }
    }
}

impl<C: StateMachine> Replica<C> {
    /// Whether this replica may answer for the chain at `now`: it's the tail, has caught up, holds
    /// nothing that isn't committed, and holds the lease. To be asked right before each answer.
    /// Without this check, a tail that was replaced could answer with an old state, and one whose
    /// view may not commit with a change that a later view doesn't have.
    pub fn may_respond(&self, now: MonotonicInstant) -> bool {
        let is_state_committed = self.commit_index >= self.synced.0;
        self.is_healthy
            && self.is_tail()
            && self.is_caught_up
            && is_state_committed
            && now < self.lease.lease_deadline
    }

    /// Asks the voters for a lease, a quarter of its duration after the last request, well before
    /// the lease runs out.
    pub(super) fn request_lease(&mut self) {
        if !self.is_tail()
            || self.lease.has_released_lease
            || self.is_stalled()
            || self.now
                < self.lease.requested_at + Milliseconds(self.timing.holder_lease_duration.0 / 4)
        {
            return;
        }
        self.lease.request_number += 1;
        self.lease.requested_at = self.now;
        self.lease.grants.clear();
        let message = ReplicationMessage::LeaseRequest {
            view: self.view.epoch,
            request_number: self.lease.request_number,
        };
        for voter in self.view.voters.clone() {
            self.send(voter.address, message.clone());
        }
    }

    /// At a voter: grants the tail of the present view a lease, unless it backs
    /// a view with another tail.
    pub(super) fn on_lease_request(
        &mut self,
        from: Address,
        view: ViewNumber,
        request_number: u64,
    ) {
        let is_from_tail = self.view.tail().is_some_and(|tail| tail.address == from);
        let tail = self.view.tail();
        let backs_another_tail = self
            .accepted
            .as_ref()
            .is_some_and(|p| p.view.epoch == view.next() && p.view.tail() != tail);
        let may_grant = view == self.view.epoch && is_from_tail && self.view.has_voter(&self.me);
        if !may_grant || backs_another_tail || self.now < self.lease.grants_paused_until {
            return;
        }
        self.lease.granted_until = self.now + self.timing.lease_duration;
        let message = ReplicationMessage::LeaseGrant {
            view,
            request_number,
            disk: self.me.disk,
        };
        self.send(from, message);
    }

    /// At the tail: counts a grant of the newest request; with a majority, the lease is held from
    /// when it was asked for.
    pub(super) fn on_lease_grant(&mut self, view: ViewNumber, request_number: u64, disk: DiskId) {
        let is_voter = self.is_voting_disk(disk);
        if view != self.view.epoch
            || request_number != self.lease.request_number
            || !is_voter
            || !self.is_tail()
        {
            return;
        }
        self.lease.grants.insert(disk);
        if self.lease.grants.len() >= self.view.majority() {
            self.lease.lease_deadline = self
                .lease
                .lease_deadline
                .max(self.lease.requested_at + self.timing.holder_lease_duration);
        }
    }

    /// Whether the lease that this voter granted keeps it from accepting a view with another tail.
    /// While such a view waits, no new lease is granted.
    pub(super) fn is_fenced(&mut self, from: Address, view: &View) -> bool {
        let is_tail_kept = view.tail() == self.view.tail();
        let is_released = self.view.tail().is_some_and(|tail| tail.address == from);
        let fenced_until = self.lease.granted_until.max(self.lease.earlier_grant_until);
        if is_tail_kept || is_released || self.now >= fenced_until {
            return false;
        }
        self.lease.grants_paused_until =
            self.now + self.timing.lease_duration + self.timing.lease_duration;
        true
    }

    /// A tail that proposes another tail gives its lease up, for good in this view: voters accept
    /// such a proposal from it whenever it reaches them. Its own promise, on its disk by now, says
    /// so after a restart.
    pub(super) fn release_lease_if_superseded(&mut self) {
        let proposal = self
            .view_change
            .attempt
            .as_ref()
            .and_then(|attempt| attempt.proposal.as_ref());
        let does_replace_me = proposal.is_some_and(|p| p.view.tail() != Some(self.me));
        if does_replace_me && self.is_tail() {
            self.lease.lease_deadline = MonotonicInstant(0);
            self.lease.has_released_lease = true;
        }
    }

    /// When a view is installed: a lease is kept only by the same tail with the same voters, since
    /// the next view is up to those voters, and most of them may not have granted it.
    pub(super) fn reset_lease(
        &mut self,
        old_tail: Option<Voter>,
        are_holder_and_voters_kept: bool,
    ) {
        let is_tail_kept = self.view.tail() == old_tail;
        if !is_tail_kept || !are_holder_and_voters_kept {
            self.lease.lease_deadline = MonotonicInstant(0);
            self.lease.requested_at = MonotonicInstant(0);
        }
        self.lease.grants.clear();
        self.lease.request_number += 1;
        self.lease.has_released_lease = false;
        if !is_tail_kept {
            // The lease was granted to another tail, which this view has waited out.
            self.lease.granted_until = MonotonicInstant(0);
        }
        self.lease.grants_paused_until = MonotonicInstant(0);
    }
}
