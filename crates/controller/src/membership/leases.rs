//! The members: their leases, the news that they are told, who joins and who is let go.

use crate::controller::{Controller, INNER, Quorum, Subscriber};
use config::Command;
use std::collections::BTreeSet;
use types::{Address, ConfigEpoch, Milliseconds, ZoneName};
use wire::{ConfigUpdate, CoreLocation, LeaseRequest, LeaseResponse, Member, Message};

/// Between calls of members without a lease,
const CALL_PERIOD: Milliseconds = Milliseconds(1000);
/// and how many are called at once: 5 KB a second at most.
const CALLED_AT_ONCE: usize = 16;

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
        self.told_of
            .extend(poll.reachable_peers.iter().map(|heard| (*heard, self.now)));
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
                told: poll.epoch.max(newest),
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

    /// For one that has this epoch.
    pub(crate) fn update(&self, has: ConfigEpoch) -> ConfigUpdate {
        let config_state = self.replica.state_machine();
        let members_since = config_state.membership.since;
        let member = |(address, zone): &(Address, ZoneName)| Member {
            address: *address,
            zone: zone.clone(),
        };
        ConfigUpdate {
            epoch: config_state.epoch,
            plan_epoch: config_state.plan_epoch,
            withdrawn: config_state.withdrawn.clone(),
            members: (has < members_since)
                .then(|| config_state.member_zones.iter().map(member).collect()),
            members_since,
        }
    }

    /// Tells news to members that polled lately, and answers settled changes that most members know.
    pub(crate) fn release(&mut self) {
        let (epoch, now) = (self.replica.state_machine().epoch, self.now);
        let is_behind =
            |subscriber: &Subscriber| subscriber.told < epoch && now < subscriber.deadline;
        if self.subscribers.values().any(is_behind) && self.may_respond() {
            let (whole, brief) = (self.update(ConfigEpoch(0)), self.update(epoch));
            let since = whole.members_since;
            let behind: Vec<(Address, bool)> = self
                .subscribers
                .iter()
                .filter(|(_, subscriber)| is_behind(subscriber))
                .map(|(member, subscriber)| (*member, subscriber.told < since))
                .collect();
            for (member, wants_membership) in behind {
                let update = if wants_membership { &whole } else { &brief };
                self.subscribers
                    .entry(member)
                    .and_modify(|subscriber| subscriber.told = epoch);
                self.send(
                    member,
                    Message::ConfigUpdate {
                        update: Box::new(update.clone()),
                    },
                );
            }
        }
        while let Some(settled) = self.settled.front() {
            let is_known = self.is_known(settled.epoch);
            if !is_known && self.now < settled.deadline {
                break;
            }
            let Some(settled) = self.settled.pop_front() else {
                break;
            };
            if !is_known && settled.request_id.number < INNER {
                continue;
            }
            self.answer(settled.request_id, settled.body);
        }
    }

    /// Whether enough of those before the last change of the membership know the membership now.
    pub(crate) fn is_membership_settled(&self) -> bool {
        let membership = &self.replica.state_machine().membership;
        match self.timing.quorum {
            Quorum::Majority => self.leases.is_membership_settled(membership),
            Quorum::Holders => self.is_known(membership.since),
        }
    }

    /// Tells members without a lease where the core is: those whose seeds are all gone can't ask. Some at a time, by
    /// turns, and only once all that know it had time to ask.
    pub(crate) fn call_members(&mut self) {
        let has_listened = self
            .responses_since
            .is_some_and(|since| self.now.since(since) >= self.timing.lease);
        if !has_listened || self.now < self.next_call {
            return;
        }
        self.next_call = self.now + CALL_PERIOD;
        let leased: BTreeSet<Address> = self
            .leases
            .live(self.now)
            .into_iter()
            .map(|(member, _)| member)
            .collect();
        let members = &self.replica.state_machine().membership.members;
        let mut unleased: Vec<Address> = members
            .iter()
            .filter(|member| !leased.contains(member))
            .copied()
            .collect();
        unleased.sort();
        let behind_last = unleased
            .iter()
            .take_while(|member| Some(**member) <= self.last_called)
            .count();
        unleased.rotate_left(behind_last);
        unleased.truncate(CALLED_AT_ONCE);
        let location = CoreLocation {
            view: self.replica.view().epoch,
            voters: self.voters(),
            controllers: vec![],
        };
        for member in unleased {
            self.last_called = Some(member);
            let location = Box::new(location.clone());
            self.send(
                member,
                Message::CoreLocation {
                    location,
                    is_answer: true,
                },
            );
        }
    }

    /// Lets those in that asked, a change of the membership at a time.
    pub(crate) fn admit(&mut self) {
        let membership = &self.replica.state_machine().membership;
        let members = &membership.members;
        let joined: Vec<Address> = self
            .joining
            .keys()
            .filter(|one| members.contains(one))
            .copied()
            .collect();
        for address in joined {
            if let Some(poll) = self.joining.remove(&address) {
                self.give_lease(address, &poll);
            }
        }
        if self.joining.is_empty() || self.now < self.join_deadline || !self.is_membership_settled()
        {
            return;
        }
        self.join_deadline = self.now + self.timing.join;
        let members = self
            .joining
            .iter()
            .map(|(address, poll)| (*address, poll.member.zone.clone()))
            .collect();
        self.propose_inner(Command::Join { members });
    }

    /// Once more than half of the previous members know the membership, they are needed for no majority any more.
    pub(crate) fn settle(&mut self) {
        let membership = &self.replica.state_machine().membership;
        if membership.previous == membership.members
            || self.now < self.settle_deadline
            || !self.is_membership_settled()
        {
            return;
        }
        let since = membership.since;
        self.settle_deadline = self.now + Milliseconds(400);
        self.propose_inner(Command::FinalizeMembership { since });
    }

    /// Takes members out that have held no lease for long.
    pub(crate) fn retire(&mut self) {
        if self.now < self.retire_deadline || !self.is_membership_settled() {
            return;
        }
        self.retire_deadline = self.now + Milliseconds::seconds(1);
        let is_gone = |member: &&Address| {
            self.seen
                .get(*member)
                .is_none_or(|seen| self.now.since(*seen) >= self.timing.retire_after)
        };
        let gone: Vec<Address> = self
            .replica
            .state_machine()
            .membership
            .members
            .iter()
            .filter(is_gone)
            .copied()
            .collect();
        if !gone.is_empty() {
            self.propose_inner(Command::Retire { members: gone });
        }
    }
}
