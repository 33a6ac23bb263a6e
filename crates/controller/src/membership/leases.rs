//! Leases of routers: the tail grants one in answer to each lease request of a member.

use crate::controller::{Controller, Subscriber};
use types::Address;
use wire::{LeaseRequest, LeaseResponse, Message};

impl Controller {
    pub(crate) fn on_poll(&mut self, from: Address, poll: LeaseRequest) {
        self.poll_count += 1;
        if !self.may_respond() {
            let voters = self.voters();
            let tail = self.replica.view().tail().map(|tail| tail.address);
            let response = LeaseResponse::Elsewhere {
                view: self.replica.view().epoch,
                tail,
                voters,
            };
            return self.send(
                from,
                Message::LeaseResponse {
                    round: poll.round,
                    response: Box::new(response),
                },
            );
        }
        self.seen.insert(from, self.now);
        self.reported_reachable
            .extend(poll.reachable_peers.iter().map(|peer| (*peer, self.now)));
        let is_member = self
            .replica
            .state_machine()
            .membership
            .members
            .contains(&from);
        if is_member {
            self.give_lease(from, &poll);
        } else {
            self.joining.insert(from, poll);
        }
    }

    /// Answers a member's poll with a lease, which it keeps, and with what it lacks.
    pub(crate) fn give_lease(&mut self, to: Address, poll: &LeaseRequest) {
        let newest = self.replica.state_machine().epoch;
        let deadline = self.now + self.timing.lease;
        self.leases.renew(to, poll.epoch.min(newest), deadline);
        self.subscribers.insert(
            to,
            Subscriber {
                sent_epoch: poll.epoch.max(newest),
                deadline,
            },
        );
        let config_state = self.replica.state_machine();
        let view = self.replica.view().epoch;
        let response = LeaseResponse::Lease {
            span: self.timing.lease,
            epoch: config_state.epoch,
            update: (poll.epoch < config_state.epoch).then(|| self.update(poll.epoch)),
            view,
            voters: if poll.view == view {
                vec![]
            } else {
                self.voters()
            },
            key: config_state.key.filter(|_| !poll.has_key),
        };
        self.send(
            to,
            Message::LeaseResponse {
                round: poll.round,
                response: Box::new(response),
            },
        );
    }
}
