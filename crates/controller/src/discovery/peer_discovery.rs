//! Discovery of the core by a process that knows only its seeds.
//!
//! Seeds may be machines without a disk, which know no more at first than the processes that query them. So every
//! controller, with a disk or without, exchanges the core's location with its seeds: controllers of the core announce it
//! to the seeds, and all others learn it from them.

use std::collections::BTreeMap;
use types::{Address, Milliseconds, MonotonicInstant, ViewNumber};
use wire::{ControllerContact, CoreLocation, LeaseResponse, Message};

/// Periods and time-outs of the exchange.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryTiming {
    /// The period in which a controller with a disk exchanges locations with its seeds.
    pub exchange: Milliseconds,
    /// The same period of a controller without a disk, which has nothing of its own to announce.
    pub relay_exchange: Milliseconds,
    /// The same period until a seed has responded, after the start and after a change of the seeds.
    pub first_exchange: Milliseconds,
    /// Operators are redirected to controllers that were seen within this time, if there are any.
    pub recent: Milliseconds,
    /// A controller that was not seen for this long is removed from the contacts.
    pub expire_after: Milliseconds,
}

impl Default for DiscoveryTiming {
    fn default() -> Self {
        DiscoveryTiming {
            exchange: Milliseconds(2000),
            relay_exchange: Milliseconds(4000),
            first_exchange: Milliseconds(250),
            recent: Milliseconds::seconds(7),
            expire_after: Milliseconds::seconds(30),
        }
    }
}

/// Controllers that one message names at most. With the voters of the largest core it still fits a datagram.
const MAX_CONTACTS: usize = 6;

/// A controller with a disk, and when it was last seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contact {
    admin: Address,
    last_seen: MonotonicInstant,
}

/// The location of the core, as far as this controller knows it.
///
/// Invariant: `voters` are those of `view`, which never decreases. The location is a hint about which processes to
/// query; no decision of the core depends on it.
#[derive(Debug, Clone)]
pub struct PeerDiscovery {
    own: Address,
    /// Where operators reach this controller, if it has a disk.
    own_admin: Option<Address>,
    seeds: Vec<Address>,
    timing: DiscoveryTiming,
    view: ViewNumber,
    voters: Vec<Address>,
    controllers: BTreeMap<Address, Contact>,
    next_exchange: MonotonicInstant,
    is_answered: bool,
}

impl PeerDiscovery {
    /// The state at the start of a process. `own_admin` is where operators reach it, if it has a disk.
    pub fn new(
        own: Address,
        own_admin: Option<Address>,
        seeds: Vec<Address>,
        now: MonotonicInstant,
    ) -> Self {
        PeerDiscovery {
            own,
            own_admin,
            seeds,
            timing: DiscoveryTiming::default(),
            view: ViewNumber(0),
            voters: vec![],
            controllers: BTreeMap::new(),
            next_exchange: now,
            is_answered: false,
        }
    }

    /// Sets the seeds. If they have changed, the next exchange is due at once.
    pub fn set_seeds(&mut self, now: MonotonicInstant, seeds: Vec<Address>) {
        if seeds != self.seeds {
            self.seeds = seeds;
            self.next_exchange = now;
            self.is_answered = false;
        }
    }

    /// Learns a view and its voters, if it is newer than the known one.
    pub fn learn(&mut self, view: ViewNumber, voters: impl IntoIterator<Item = Address>) {
        if view > self.view {
            self.view = view;
            self.voters = voters.into_iter().collect();
        }
    }

    /// The newest view known, and its voters.
    pub fn core(&self) -> (ViewNumber, &[Address]) {
        (self.view, &self.voters)
    }

    /// Returns the messages to the seeds that are due now, and removes contacts that were not seen for long.
    pub fn on_clock(&mut self, now: MonotonicInstant) -> Vec<(Address, Message)> {
        if now < self.next_exchange {
            return vec![];
        }
        let pause = match (self.is_answered, self.own_admin) {
            (false, _) => self.timing.first_exchange,
            (true, Some(_)) => self.timing.exchange,
            (true, None) => self.timing.relay_exchange,
        };
        self.next_exchange = now + pause;
        let expire_after = self.timing.expire_after;
        self.controllers
            .retain(|_, contact| now.since(contact.last_seen) < expire_after);
        let others = self.seeds.iter().filter(|seed| **seed != self.own);
        let message = Message::CoreLocation {
            location: Box::new(self.own_location(now)),
            is_response: false,
        };
        others.map(|seed| (*seed, message.clone())).collect()
    }

    /// When the next exchange is due.
    pub fn next_timer(&self) -> MonotonicInstant {
        self.next_exchange
    }

    /// Learns from another controller's message. Returns the response, unless the message is one itself.
    pub fn on_location(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        location: &CoreLocation,
        is_response: bool,
    ) -> Option<Message> {
        self.is_answered |= is_response;
        self.learn(location.view, location.voters.iter().copied());
        let own = self.own;
        let others = location
            .controllers
            .iter()
            .filter(|contact| contact.inner != own);
        others.for_each(|contact| self.take_contact(now, contact));
        let response_to = || Message::CoreLocation {
            location: Box::new(self.response_to(now, from, location)),
            is_response: true,
        };
        (!is_response).then(response_to)
    }

    fn take_contact(&mut self, now: MonotonicInstant, contact: &ControllerContact) {
        let last_seen = now - contact.age;
        let known = self.controllers.entry(contact.inner).or_insert(Contact {
            admin: contact.admin,
            last_seen,
        });
        if last_seen >= known.last_seen {
            *known = Contact {
                admin: contact.admin,
                last_seen,
            };
        }
    }

    /// The response to a router's lease request that this process can't serve itself, if the core is known.
    pub fn elsewhere(&self) -> Option<LeaseResponse> {
        let (view, voters) = (self.view, self.voters.clone());
        (view > ViewNumber(0)).then_some(LeaseResponse::Elsewhere {
            view,
            tail: None,
            voters,
        })
    }

    /// Where operators reach controllers with a disk: those that were seen recently or, if there are none, all that are
    /// known.
    pub fn admin_addresses(&self, now: MonotonicInstant) -> Vec<Address> {
        let known = self.latest(now);
        let recent = known
            .iter()
            .take_while(|contact| contact.age < self.timing.recent)
            .count();
        let count = if recent > 0 { recent } else { known.len() };
        known[..count].iter().map(|contact| contact.admin).collect()
    }

    /// The location as it is sent to the seeds. A controller with a disk names only itself, as each other one does.
    fn own_location(&self, now: MonotonicInstant) -> CoreLocation {
        let controllers = self
            .own_contact()
            .map_or_else(|| self.known_controllers(now), |own| vec![own]);
        CoreLocation {
            view: self.view,
            voters: self.voters.clone(),
            controllers,
        }
    }

    /// What the requester lacks: the voters if its view is older, and the controllers that operators may be redirected to
    /// if it has no disk.
    fn response_to(
        &self,
        now: MonotonicInstant,
        requester: Address,
        request: &CoreLocation,
    ) -> CoreLocation {
        let has_disk = request
            .controllers
            .iter()
            .any(|contact| contact.inner == requester);
        let voters = if request.view < self.view {
            self.voters.clone()
        } else {
            vec![]
        };
        let controllers = if has_disk {
            vec![]
        } else {
            self.known_controllers(now)
        };
        CoreLocation {
            view: self.view,
            voters,
            controllers,
        }
    }

    fn own_contact(&self) -> Option<ControllerContact> {
        self.own_admin.map(|admin| ControllerContact {
            inner: self.own,
            admin,
            age: Milliseconds(0),
        })
    }

    fn known_controllers(&self, now: MonotonicInstant) -> Vec<ControllerContact> {
        self.own_contact()
            .into_iter()
            .chain(self.latest(now))
            .take(MAX_CONTACTS)
            .collect()
    }

    fn latest(&self, now: MonotonicInstant) -> Vec<ControllerContact> {
        let contact = |(inner, contact): (&Address, &Contact)| {
            let (admin, age) = (contact.admin, now.since(contact.last_seen));
            ControllerContact {
                inner: *inner,
                admin,
                age,
            }
        };
        let mut found: Vec<ControllerContact> = self.controllers.iter().map(contact).collect();
        found.retain(|contact| contact.age < self.timing.expire_after);
        found.sort_by_key(|contact| (contact.age, contact.inner));
        found
    }
}

#[cfg(test)]
mod tests;
