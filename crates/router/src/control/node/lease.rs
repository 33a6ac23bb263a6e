//! Asking the core for a lease, and the members whether they are there.

use super::*;
use crate::control::node::Node;
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

    pub(super) fn poll(&mut self) {
        if let Some(sent) = self.polled {
            if self.now < sent + self.timing.poll_deadline {
                return;
            }
            self.polled = None;
            self.tail = None;
            self.target += 1;
            self.next_poll = self.now;
        }
        if let Some(fetching) = &self.fetching
            && self.now >= fetching.asked + FETCH_DEADLINE
            && !fetching.is_whole
        {
            self.fetching = None;
        }
        if self.now < self.next_poll {
            return;
        }
        let sources = self.sources();
        if sources.is_empty() {
            return;
        }
        let to = self.tail.unwrap_or(sources[self.target % sources.len()]);
        self.next_poll = self.now + self.timing.poll;
        self.poll_round += 1;
        self.polled = Some(self.now);
        let (now, member) = (
            self.now,
            Member {
                address: self.own,
                zone: self.zone.clone(),
            },
        );
        self.heard.retain(|_, at| now.since(*at) < HEARD_FOR);
        let has_key = self.key.is_some();
        let reachable_peers = self
            .heard
            .keys()
            .copied()
            .filter(|one| self.lease_state.members().contains(one))
            .collect();
        let poll = LeaseRequest {
            member,
            round: self.poll_round,
            epoch: self.lease_state.epoch(),
            view: self.view,
            has_key,
            reachable_peers,
        };
        self.send(
            to,
            Message::LeaseRequest {
                poll: Box::new(poll),
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
        (self.tail, self.polled, self.next_poll) = (Some(from), None, self.now);
        self.poll();
    }

    pub(super) fn on_poll_response(&mut self, from: Address, round: u64, response: LeaseResponse) {
        let Some(sent) = self.polled.filter(|_| round == self.poll_round) else {
            return;
        };
        self.polled = None;
        match response {
            LeaseResponse::Elsewhere { view, tail, voters } => {
                // One that was away may name machines that are all gone: what is known here is newer.
                if view >= self.view && !voters.is_empty() {
                    (self.view, self.voters) = (view, voters);
                    self.tail = tail.filter(|tail| *tail != from);
                }
                self.target += 1;
                self.next_poll = self.now + Milliseconds(60);
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
                self.lease_state.announce_epoch(epoch, self.now + TOLD_FOR);
                match update {
                    Some(update) => self.on_config_update(from, update, lease_deadline),
                    // Nothing is newer there than what is here, whole.
                    None if epoch == self.lease_state.epoch() && epoch > ConfigEpoch(0) => {
                        self.lease_state.renew_lease(
                            sent + span,
                            epoch,
                            self.lease_state.members().to_vec(),
                        );
                        self.tell_scheduler(Event::Lease {
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
        if self.now + self.timing.peer_check_from < deadline {
            self.peer_check_pause = self.timing.peer_check;
            return;
        }
        if self.now < self.next_peer_check {
            return;
        }
        let is_alone = self.lease_state.status(self.now) == LeaseStatus::Isolated;
        self.peer_check_pause = match is_alone {
            true => Milliseconds((self.peer_check_pause.0 * 2).min(self.timing.peer_check_alone.0)),
            false => self.timing.peer_check,
        };
        self.next_peer_check = self.now + self.peer_check_pause;
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
