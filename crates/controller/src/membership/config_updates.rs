//! Configuration updates to members, and responses to changes that wait for the members' acknowledgements.

use crate::controller::{Controller, INTERNAL_REQUESTS, Subscriber};
use types::{Address, ConfigEpoch, ZoneName};
use wire::{ConfigUpdate, Member, Message};

impl Controller {
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

    /// Sends the configuration updates and the responses that are due.
    pub(crate) fn release(&mut self) {
        self.send_config_updates();
        self.answer_committed();
    }

    /// Sends the newest configuration to members that polled lately and lack it.
    fn send_config_updates(&mut self) {
        let (epoch, now) = (self.replica.state_machine().epoch, self.now);
        let is_behind =
            |subscriber: &Subscriber| subscriber.sent_epoch < epoch && now < subscriber.deadline;
        if !self.subscribers.values().any(is_behind) || !self.may_respond() {
            return;
        }
        let (full_update, delta_update) = (self.update(ConfigEpoch(0)), self.update(epoch));
        let since = full_update.members_since;
        let behind: Vec<(Address, bool)> = self
            .subscribers
            .iter()
            .filter(|(_, subscriber)| is_behind(subscriber))
            .map(|(member, subscriber)| (*member, subscriber.sent_epoch < since))
            .collect();
        for (member, wants_membership) in behind {
            let update = if wants_membership {
                &full_update
            } else {
                &delta_update
            };
            self.subscribers
                .entry(member)
                .and_modify(|subscriber| subscriber.sent_epoch = epoch);
            let update = Box::new(update.clone());
            self.send(member, Message::ConfigUpdate { update });
        }
    }

    /// Answers committed changes, in order, that enough members have acknowledged. After its deadline an operator's
    /// change is dropped without an answer.
    fn answer_committed(&mut self) {
        while let Some(committed) = self.committed.front() {
            let is_known = self.is_known(committed.epoch);
            if !is_known && self.now < committed.deadline {
                break;
            }
            let Some(committed) = self.committed.pop_front() else {
                break;
            };
            if !is_known && committed.request_id.number < INTERNAL_REQUESTS {
                continue;
            }
            self.answer(committed.request_id, committed.body);
        }
    }
}
