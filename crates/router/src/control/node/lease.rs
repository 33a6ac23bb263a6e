//! Asking the core for a lease, and the members whether they are there.

use crate::control::node::Node;
use crate::control::node::{ANNOUNCEMENT_VALIDITY, LAST_SEEN_VALIDITY};
use placement::Event;
use replication::LeaseStatus;
use types::{Address, ConfigEpoch, Milliseconds};
use wire::{CoreLocation, LeaseRequest, LeaseResponse, Member, Message};

/// A piece of a plan that has not come by then is given up.
const FETCH_DEADLINE: Milliseconds = Milliseconds(700);

impl Node {
    /// Those whom news may be asked of: the tail first, then voters, then seeds.
    pub(super) fn sources(&self) -> Vec<Address> {
        let mut sources = self.voters.clone();
        sources.extend(self.seeds.iter().filter(|seed| !self.voters.contains(seed)));
        sources
    }

    pub(super) fn request_lease(&mut self) {
        if let Some(sent) = self.lease_request_sent_at {
            if self.now < sent + self.timing.lease_request_timeout {
                return;
            }
            self.lease_request_sent_at = None;
            self.tail = None;
            self.source_index += 1;
            self.next_lease_request_at = self.now;
        }
        if let Some(pending_update) = &self.pending_update
            && self.now >= pending_update.requested_at + FETCH_DEADLINE
            && !pending_update.is_complete
        {
            self.pending_update = None;
        }
        if self.now < self.next_lease_request_at {
            return;
        }
        let sources = self.sources();
        if sources.is_empty() {
            return;
        }
        let to = self
            .tail
            .unwrap_or(sources[self.source_index % sources.len()]);
        self.next_lease_request_at = self.now + self.timing.lease_request_interval;
        self.lease_request_round += 1;
        self.lease_request_sent_at = Some(self.now);
        let (now, member) = (
            self.now,
            Member {
                address: self.own,
                zone: self.zone.clone(),
            },
        );
        self.last_seen
            .retain(|_, at| now.since(*at) < LAST_SEEN_VALIDITY);
        let has_key = self.key.is_some();
        let reachable_peers = self
            .last_seen
            .keys()
            .copied()
            .filter(|one| self.lease_state.members().contains(one))
            .collect();
        let lease_request = LeaseRequest {
            member,
            round: self.lease_request_round,
            epoch: self.lease_state.epoch(),
            view: self.view,
            has_key,
            reachable_peers,
        };
        self.send(
            to,
            Message::LeaseRequest {
                request: Box::new(lease_request),
            },
        );
    }

    /// The core's tail calls: it knows this node as a member without a lease.
    pub(super) fn on_core_location(&mut self, from: Address, location: CoreLocation) {
        let is_leased = self.lease_state.status(self.now) == LeaseStatus::Leased;
        if is_leased || location.view < self.view || location.voters.is_empty() {
            return;
        }
        (self.view, self.voters) = (location.view, location.voters);
        (
            self.tail,
            self.lease_request_sent_at,
            self.next_lease_request_at,
        ) = (Some(from), None, self.now);
        self.request_lease();
    }

    pub(super) fn on_lease_response(&mut self, from: Address, round: u64, response: LeaseResponse) {
        let Some(sent) = self
            .lease_request_sent_at
            .filter(|_| round == self.lease_request_round)
        else {
            // It grants nothing, since it may be old, but there is a configuration of its epoch.
            if let LeaseResponse::Lease { epoch, .. } = response {
                self.lease_state
                    .announce_epoch(epoch, self.now + ANNOUNCEMENT_VALIDITY);
            }
            return;
        };
        self.lease_request_sent_at = None;
        match response {
            LeaseResponse::Elsewhere { view, tail, voters } => {
                // One that was away may name machines that are all gone: what is known here is newer.
                if view >= self.view && !voters.is_empty() {
                    (self.view, self.voters) = (view, voters);
                    self.tail = tail.filter(|tail| *tail != from);
                }
                self.source_index += 1;
                self.next_lease_request_at = self.now + Milliseconds(60);
            }
            LeaseResponse::Lease {
                span,
                epoch,
                update,
                view,
                voters,
                key,
            } => {
                self.key = self.key.or(key);
                self.tail = Some(from);
                if !voters.is_empty() {
                    (self.view, self.voters) = (view, voters);
                }
                let lease_deadline = Some(sent + span);
                self.lease_span = self.lease_span.max(span);
                self.lease_state
                    .announce_epoch(epoch, self.now + ANNOUNCEMENT_VALIDITY);
                match update {
                    Some(update) => self.on_config_update(from, update, lease_deadline),
                    // Nothing is newer there than what is here, whole.
                    None if epoch == self.lease_state.epoch() && epoch > ConfigEpoch(0) => {
                        self.lease_state.renew_lease(
                            sent + span,
                            epoch,
                            self.lease_state.members().to_vec(),
                        );
                        self.notify_scheduler(Event::Lease {
                            until: sent + span,
                            span: self.lease_span,
                        });
                    }
                    None => {}
                }
            }
        }
    }

    /// While its lease is about to lapse, or has, the node asks all members whether they are there.
    pub(super) fn check_peers(&mut self) {
        let Some(deadline) = self.lease_state.lease_deadline() else {
            return;
        };
        if self.now + self.timing.peer_check_before_expiry < deadline {
            self.peer_check_backoff = self.timing.peer_check_interval;
            return;
        }
        if self.now < self.next_peer_check {
            return;
        }
        let is_alone = self.lease_state.status(self.now) == LeaseStatus::Isolated;
        self.peer_check_backoff = match is_alone {
            true => Milliseconds(
                (self.peer_check_backoff.0 * 2).min(self.timing.peer_check_interval_alone.0),
            ),
            false => self.timing.peer_check_interval,
        };
        self.next_peer_check = self.now + self.peer_check_backoff;
        self.peer_check_round += 1;
        self.peer_checks
            .push_back((self.peer_check_round, self.now));
        if self.peer_checks.len() > 16 {
            self.peer_checks.pop_front();
        }
        let peers: Vec<Address> = self
            .lease_state
            .members()
            .iter()
            .copied()
            .filter(|m| *m != self.own)
            .collect();
        let (round, epoch) = (self.peer_check_round, self.lease_state.epoch());
        peers
            .into_iter()
            .for_each(|peer| self.send(peer, Message::PeerCheckRequest { round, epoch }));
    }
}
