//! A controller's exchange of the core's location with its seeds and with other controllers.

use crate::controller::Controller;
use std::collections::BTreeSet;
use types::{Address, Milliseconds};
use wire::{CoreLocation, Message};

/// The period in which members without a lease are notified.
const NOTIFICATION_PERIOD: Milliseconds = Milliseconds(1000);
/// Members that are notified at once at most, which bounds the traffic to 5 KB a second.
const NOTIFIED_AT_ONCE: usize = 16;

impl Controller {
    /// Learns the core's location from another controller, and responds if the message is a request.
    pub(crate) fn on_location(
        &mut self,
        from: Address,
        location: &CoreLocation,
        is_response: bool,
    ) {
        self.contacts
            .learn(self.replica.view().epoch, self.voters());
        let answer = self
            .contacts
            .on_location(self.now, from, location, is_response);
        let (view, voters) = self.contacts.core();
        self.replica.learn_contacts(view, voters);
        answer
            .into_iter()
            .for_each(|message| self.send(from, message));
    }

    /// Sends the core's location to the seeds when the next exchange is due.
    pub(crate) fn exchange_contacts(&mut self) {
        if self.now < self.contacts.next_timer() {
            return;
        }
        self.contacts
            .learn(self.replica.view().epoch, self.voters());
        let messages = self.contacts.on_clock(self.now);
        messages
            .into_iter()
            .for_each(|(seed, message)| self.send(seed, message));
    }

    /// Sends members without a lease the location of the core, since those whose seeds are all gone can't request it.
    /// They are notified some at a time, by turns, and only once all members that know the core had time to poll.
    pub(crate) fn notify_unleased(&mut self) {
        let has_listened = self
            .responses_since
            .is_some_and(|since| self.now.since(since) >= self.timing.lease);
        if !has_listened || self.now < self.next_notification {
            return;
        }
        self.next_notification = self.now + NOTIFICATION_PERIOD;
        let location = CoreLocation {
            view: self.replica.view().epoch,
            voters: self.voters(),
            controllers: vec![],
        };
        for member in self.next_unleased() {
            self.last_notified = Some(member);
            let message = Message::CoreLocation {
                location: Box::new(location.clone()),
                is_response: true,
            };
            self.send(member, message);
        }
    }

    /// The members without a lease whose turn to be notified it is, beginning after the one that was notified last.
    fn next_unleased(&self) -> Vec<Address> {
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
        let already_notified = unleased
            .iter()
            .take_while(|member| Some(**member) <= self.last_notified)
            .count();
        unleased.rotate_left(already_notified);
        unleased.truncate(NOTIFIED_AT_ONCE);
        unleased
    }
}
