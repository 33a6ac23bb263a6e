//! A digest of a replica's logical state, for programs that explore its states.
//!
//! Two replicas with equal digests behave alike from here on, whatever comes: moments are taken relative
//! to now, and no further apart than any timer looks; numbers that only tell one write or one request
//! from another are left out or counted from the newest one.

use super::*;
use crate::replica::Replica;
use crate::state_machine::StateMachine;
use std::hash::{Hash, Hasher};
use types::{Milliseconds, MonotonicInstant};

impl<C: StateMachine> Replica<C> {
    /// Feeds the digest of the state at this moment.
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
        self.fingerprint_ballots(&clock, hasher);
        self.fingerprint_transfers(&clock, hasher);
    }

    /// The number of the tail's newest request for its lease: an answer to any other is void.
    pub fn lease_request_number(&self) -> u64 {
        self.ask_round
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
        self.base.hash(hasher);
        self.log.hash(hasher);
        self.state_machine.snapshot().hash(hasher);
    }

    fn fingerprint_position(&self, now: MonotonicInstant, hasher: &mut impl Hasher) {
        (self.last, self.synced, self.commit_index).hash(hasher);
        (
            self.is_caught_up,
            self.is_healthy,
            self.is_fresh,
            self.has_member_majority,
        )
            .hash(hasher);
        self.early.hash(hasher);
        self.pace.level(&self.timing, now).hash(hasher);
    }

    fn fingerprint_writes(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        for (id, at) in &self.unsynced {
            (self.next_write - id, clock.signed(*at)).hash(hasher);
        }
        for (id, then) in &self.deferred {
            (self.next_write - id).hash(hasher);
            match then {
                Deferred::Send(to, message) => (to, message).hash(hasher),
                Deferred::Apply(incarnation, change) => {
                    (self.incarnation - incarnation, change).hash(hasher)
                }
            }
        }
    }

    fn fingerprint_peers(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        for (address, heard) in &self.heard {
            (
                address,
                clock.signed(heard.at),
                heard.disk,
                heard.view,
                heard.last,
                heard.origin_view,
            )
                .hash(hasher);
            (
                heard.is_caught_up,
                heard.is_healthy,
                heard.has_member_majority,
            )
                .hash(hasher);
        }
        (
            clock.signed(self.last_event),
            clock.signed(self.next_heartbeat),
            clock.signed(self.listens_since),
        )
            .hash(hasher);
    }

    fn fingerprint_lease(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        let ends = [
            self.granted_until,
            self.silent_until,
            self.paused_until,
            self.lease_deadline,
        ];
        ends.map(|end| clock.ahead(end)).hash(hasher);
        (self.has_released, clock.signed(self.asked_at)).hash(hasher);
        self.grants.hash(hasher);
    }

    fn fingerprint_ballots(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        (self.top_count, clock.signed(self.not_before)).hash(hasher);
        self.wanted_since
            .map(|since| clock.signed(since))
            .hash(hasher);
        let Some(bid) = &self.bid else { return };
        (
            bid.proposal_number,
            &bid.founders,
            &bid.promises,
            &bid.proposal,
            &bid.accepts,
        )
            .hash(hasher);
        (clock.signed(bid.sent), clock.signed(bid.deadline)).hash(hasher);
    }

    fn fingerprint_transfers(&self, clock: &RelativeClock, hasher: &mut impl Hasher) {
        (self.passed.0, clock.ahead(self.passed.1)).hash(hasher);
        (self.successor_moved.0, clock.signed(self.successor_moved.1)).hash(hasher);
        for (voter, follower) in &self.followers {
            (voter, follower.last, clock.signed(follower.heard)).hash(hasher);
            (
                follower.fed,
                clock.ahead(follower.fed_deadline),
                follower.patience,
            )
                .hash(hasher);
        }
        if let Some(offered) = &self.snapshot {
            (
                offered.last,
                offered.origin_view,
                &offered.bytes,
                clock.signed(offered.asked),
            )
                .hash(hasher);
        }
        self.snapshot_write
            .map(|id| self.next_write - id)
            .hash(hasher);
        self.draining_since
            .map(|since| clock.signed(since))
            .hash(hasher);
        for (voter, at) in &self.leaving {
            (voter, clock.signed(*at)).hash(hasher);
        }
        let Some(fetching) = &self.fetching else {
            return;
        };
        (
            fetching.last,
            fetching.origin_view,
            &fetching.bytes,
            fetching.length,
            clock.signed(fetching.asked),
        )
            .hash(hasher);
        (fetching.is_silent, fetching.patience).hash(hasher);
    }
}

/// Gives moments relative to now.
struct RelativeClock {
    now: MonotonicInstant,
    horizon: Milliseconds,
}

impl RelativeClock {
    /// Until a moment to come; what has passed is all alike.
    fn ahead(&self, moment: MonotonicInstant) -> u64 {
        self.now.until(moment).0
    }
    /// Until or since a moment; ages beyond the horizon are all alike.
    fn signed(&self, moment: MonotonicInstant) -> i64 {
        let distance = moment.0 as i64 - self.now.0 as i64;
        distance.max(-(self.horizon.0 as i64))
    }
}
