//! A digest of a replica's logical state, for a model checker that explores its states.
//!
//! Two replicas with equal digests behave alike from here on, whatever comes: instants are taken
//! relative to now, and no further apart than any timer looks; numbers that only tell one write or
//! one request from another are left out or counted from the newest one.

use super::durability::AfterSync;
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use std::hash::{Hash, Hasher};
use types::{Milliseconds, MonotonicInstant};

impl<C: StateMachine> Replica<C> {
    /// Feeds the digest of the state at the instant `now` to `hasher`.
    pub fn fingerprint(&self, now: MonotonicInstant, hasher: &mut impl Hasher) {
        let clock = RelativeClock {
            now,
            horizon: self.horizon(),
        };
        self.fingerprint_disk(hasher);
        self.fingerprint_position(now, hasher);
        self.fingerprint_writes(&clock, hasher);
        self.fingerprint_peers(&clock, hasher);
        self.fingerprint_lease(&clock, hasher);
        self.fingerprint_proposals(&clock, hasher);
        self.fingerprint_transfers(&clock, hasher);
    }

    /// The number of the tail's newest request for its lease. A grant of any other request is void.
    pub fn lease_request_number(&self) -> u64 {
        self.lease.request_number
    }

    /// The longest span that any timer compares an age with.
    fn horizon(&self) -> Milliseconds {
        let longest = [
            self.timing.voter_replacement_timeout.0,
            self.timing.suspect_timeout.0 * 4,
            self.timing.lease_duration.0 * 2,
            self.timing.proposal_retry_interval.0 * 16,
            self.timing.disk_stall_timeout.0,
        ];
        Milliseconds(longest.into_iter().max().unwrap_or_default())
    }

    fn fingerprint_disk(&self, hasher: &mut impl Hasher) {
        self.me.hash(hasher);
        self.founders.hash(hasher);
        self.contacts.hash(hasher);
        self.view.hash(hasher);
        self.promised.hash(hasher);
        self.accepted.hash(hasher);
        self.log_start.hash(hasher);
        self.log.hash(hasher);
        self.state_machine.snapshot().hash(hasher);
    }

    fn fingerprint_position(&self, now: MonotonicInstant, hasher: &mut impl Hasher) {
        (self.last, self.synced, self.commit_index).hash(hasher);
        (
            self.is_caught_up,
            self.is_healthy,
            self.has_unused_disk,
            self.has_member_majority,
        )
            .hash(hasher);
        self.forwarding.arrived_early.hash(hasher);
        self.forwarding
            .rate_limiter
            .level(&self.timing, now)
            .hash(hasher);
    }

    fn fingerprint_writes(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        for (id, at) in &self.writes.pending_writes {
            (self.writes.last_write_id - id, clock.signed(*at)).hash(hasher);
        }
        for (id, then) in &self.writes.after_sync {
            (self.writes.last_write_id - id).hash(hasher);
            match then {
                AfterSync::Send(to, message) => (to, message).hash(hasher),
                AfterSync::Apply(incarnation, change) => {
                    (self.writes.incarnation - incarnation, change).hash(hasher);
                }
            }
        }
    }

    fn fingerprint_peers(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        for (address, peer) in &self.peers {
            (
                address,
                clock.signed(peer.last_seen),
                peer.disk,
                peer.view,
                peer.last,
                peer.origin_view,
            )
                .hash(hasher);
            (peer.is_caught_up, peer.is_healthy, peer.has_member_majority).hash(hasher);
        }
        (
            clock.signed(self.last_tick),
            clock.signed(self.next_heartbeat),
            clock.signed(self.listening_since),
            self.majority_since.map(|since| clock.signed(since)),
        )
            .hash(hasher);
    }

    fn fingerprint_lease(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        let ends = [
            self.lease.granted_until,
            self.lease.earlier_grant_until,
            self.lease.grants_paused_until,
            self.lease.lease_deadline,
        ];
        ends.map(|end| clock.ahead(end)).hash(hasher);
        (
            self.lease.has_released_lease,
            clock.signed(self.lease.requested_at),
        )
            .hash(hasher);
        self.lease.grants.hash(hasher);
    }

    fn fingerprint_proposals(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        (
            self.view_change.highest_count,
            clock.signed(self.view_change.next_attempt_at),
        )
            .hash(hasher);
        self.view_change
            .needed_since
            .map(|since| clock.signed(since))
            .hash(hasher);
        let Some(attempt) = &self.view_change.attempt else {
            return;
        };
        (
            attempt.proposal_number,
            &attempt.founders,
            &attempt.promises,
            &attempt.proposal,
            &attempt.accepts,
        )
            .hash(hasher);
        let majority_at = attempt.majority_at.map(|at| clock.signed(at));
        (
            clock.signed(attempt.sent),
            clock.signed(attempt.deadline),
            majority_at,
        )
            .hash(hasher);
    }

    fn fingerprint_transfers(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        (
            self.forwarding.last_forwarded.0,
            clock.ahead(self.forwarding.last_forwarded.1),
        )
            .hash(hasher);
        (
            self.forwarding.successor_progress.0,
            clock.signed(self.forwarding.successor_progress.1),
        )
            .hash(hasher);
        for (voter, follower) in &self.catch_up.followers {
            (voter, follower.last, clock.signed(follower.last_seen)).hash(hasher);
            (
                follower.sent_up_to,
                clock.ahead(follower.resend_at),
                follower.resend_timeout,
            )
                .hash(hasher);
        }
        self.fingerprint_snapshots(clock, hasher);
    }

    fn fingerprint_snapshots(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        if let Some(offered) = &self.catch_up.offered_snapshot {
            (
                offered.last,
                offered.origin_view,
                &offered.bytes,
                clock.signed(offered.last_requested),
            )
                .hash(hasher);
        }
        self.catch_up
            .snapshot_write
            .map(|id| self.writes.last_write_id - id)
            .hash(hasher);
        self.drain
            .draining_since
            .map(|since| clock.signed(since))
            .hash(hasher);
        for (voter, at) in &self.drain.draining_peers {
            (voter, clock.signed(*at)).hash(hasher);
        }
        let Some(download) = &self.catch_up.download else {
            return;
        };
        (
            download.last,
            download.origin_view,
            &download.bytes,
            download.length,
            clock.signed(download.last_requested),
        )
            .hash(hasher);
        (download.is_overdue, download.resend_timeout).hash(hasher);
    }
}

/// Gives instants relative to now, in milliseconds.
struct RelativeClock {
    now: MonotonicInstant,
    horizon: Milliseconds,
}

impl RelativeClock {
    /// The time until an instant to come; instants that have passed are all alike.
    fn ahead(&self, moment: MonotonicInstant) -> u64 {
        self.now.until(moment).0
    }
    /// The time until an instant, or since it if negative; ages beyond the horizon are all alike.
    fn signed(&self, moment: MonotonicInstant) -> i64 {
        let distance = moment.0 as i64 - self.now.0 as i64;
        distance.max(-(self.horizon.0 as i64))
    }
}
