//! How a process that knows nobody but its seeds finds the core.
//!
//! Seeds may be machines without a disk, which know no more than whoever asks them. So every controller, with a disk
//! or without, exchanges with its seeds where the core is: those of the core tell the seeds, all others are told.

use std::collections::BTreeMap;
use types::{Address, Moment, Span, ViewEpoch};
use wire::{ControllerContact, CoreLocation, Letter, PollResponse};

/// The spans and bounds that the exchange goes by.
#[derive(Debug, Clone, Copy)]
pub struct ContactTiming {
    /// Between exchanges of a controller with a disk with the seeds.
    pub exchange: Span,
    /// The same of one without, which has nothing of its own to tell.
    pub relay_exchange: Span,
    /// The same until a seed has answered since the start or since the seeds changed.
    pub first_exchange: Span,
    /// Operators are sent to controllers that were heard within this time, where there are any.
    pub recent: Span,
    /// A controller that nobody heard for this long is told of no more.
    pub life: Span,
}

impl Default for ContactTiming {
    fn default() -> Self {
        ContactTiming {
            exchange: Span(2000),
            relay_exchange: Span(4000),
            first_exchange: Span(250),
            recent: Span::seconds(7),
            life: Span::seconds(30),
        }
    }
}

/// Controllers that one letter tells of: with the voters of the largest core it fits a datagram.
const MOST_TOLD: usize = 6;

/// A controller with a disk, as it was last heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Contact {
    admin: Address,
    heard: Moment,
}

/// What a controller knows of where the core is.
///
/// Invariant: `voters` are those of `view`, which never falls. Nothing is decided by what stands here: it only says
/// whom to ask.
#[derive(Debug, Clone)]
pub struct Contacts {
    own: Address,
    /// Where operators reach this one, if it has a disk.
    own_admin: Option<Address>,
    seeds: Vec<Address>,
    timing: ContactTiming,
    view: ViewEpoch,
    voters: Vec<Address>,
    controllers: BTreeMap<Address, Contact>,
    next_exchange: Moment,
    has_answer: bool,
}

impl Contacts {
    /// At the start of a process; `own_admin` is where operators reach it, if it has a disk.
    pub fn new(own: Address, own_admin: Option<Address>, seeds: Vec<Address>, now: Moment) -> Self {
        Contacts {
            own,
            own_admin,
            seeds,
            timing: ContactTiming::default(),
            view: ViewEpoch(0),
            voters: vec![],
            controllers: BTreeMap::new(),
            next_exchange: now,
            has_answer: false,
        }
    }

    /// The settings name these seeds now.
    pub fn set_seeds(&mut self, now: Moment, seeds: Vec<Address>) {
        if seeds != self.seeds {
            self.seeds = seeds;
            self.next_exchange = now;
            self.has_answer = false;
        }
    }

    /// Takes up a view, if it is newer than the one known.
    pub fn learn(&mut self, view: ViewEpoch, voters: impl IntoIterator<Item = Address>) {
        if view > self.view {
            self.view = view;
            self.voters = voters.into_iter().collect();
        }
    }

    /// The newest view known, and its voters.
    pub fn core(&self) -> (ViewEpoch, &[Address]) {
        (self.view, &self.voters)
    }

    /// What is due now.
    pub fn on_clock(&mut self, now: Moment) -> Vec<(Address, Letter)> {
        if now < self.next_exchange {
            return vec![];
        }
        let pause = match (self.has_answer, self.own_admin) {
            (false, _) => self.timing.first_exchange,
            (true, Some(_)) => self.timing.exchange,
            (true, None) => self.timing.relay_exchange,
        };
        self.next_exchange = now + pause;
        let life = self.timing.life;
        self.controllers
            .retain(|_, contact| now.since(contact.heard) < life);
        let others = self.seeds.iter().filter(|seed| **seed != self.own);
        let letter = Letter::CoreLocation {
            location: Box::new(self.question(now)),
            is_answer: false,
        };
        others.map(|seed| (*seed, letter.clone())).collect()
    }

    /// When something is due next.
    pub fn next_timer(&self) -> Moment {
        self.next_exchange
    }

    /// Takes a letter from another controller; gives the answer, if it wants one.
    pub fn on_location(
        &mut self,
        now: Moment,
        from: Address,
        location: &CoreLocation,
        is_answer: bool,
    ) -> Option<Letter> {
        self.has_answer |= is_answer;
        self.learn(location.view, location.voters.iter().copied());
        let own = self.own;
        let others = location
            .controllers
            .iter()
            .filter(|contact| contact.inner != own);
        others.for_each(|contact| self.take_contact(now, contact));
        let answer = || Letter::CoreLocation {
            location: Box::new(self.answer(now, from, location)),
            is_answer: true,
        };
        (!is_answer).then(answer)
    }

    fn take_contact(&mut self, now: Moment, contact: &ControllerContact) {
        let heard = now - contact.age;
        let known = self.controllers.entry(contact.inner).or_insert(Contact {
            admin: contact.admin,
            heard,
        });
        if heard >= known.heard {
            *known = Contact {
                admin: contact.admin,
                heard,
            };
        }
    }

    /// The answer to a node that polls here, if the core is known.
    pub fn elsewhere(&self) -> Option<PollResponse> {
        let (view, voters) = (self.view, self.voters.clone());
        (view > ViewEpoch(0)).then_some(PollResponse::Elsewhere {
            view,
            tail: None,
            voters,
        })
    }

    /// Where operators reach controllers with a disk: those that were heard lately, or, if none was, all that are known.
    pub fn admin_addresses(&self, now: Moment) -> Vec<Address> {
        let known = self.latest(now);
        let recent = known
            .iter()
            .take_while(|contact| contact.age < self.timing.recent)
            .count();
        let count = if recent > 0 { recent } else { known.len() };
        known[..count].iter().map(|contact| contact.admin).collect()
    }

    /// What it tells its seeds. One with a disk tells of itself alone, as each other such one does.
    fn question(&self, now: Moment) -> CoreLocation {
        let controllers = self
            .own_contact()
            .map_or_else(|| self.told(now), |own| vec![own]);
        CoreLocation {
            view: self.view,
            voters: self.voters.clone(),
            controllers,
        }
    }

    /// What the asker lacks: the voters if its view is older, and whom operators may be sent to if it has no disk.
    fn answer(&self, now: Moment, asker: Address, asked: &CoreLocation) -> CoreLocation {
        let has_disk = asked
            .controllers
            .iter()
            .any(|contact| contact.inner == asker);
        let voters = if asked.view < self.view {
            self.voters.clone()
        } else {
            vec![]
        };
        let controllers = if has_disk { vec![] } else { self.told(now) };
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
            age: Span(0),
        })
    }

    fn told(&self, now: Moment) -> Vec<ControllerContact> {
        self.own_contact()
            .into_iter()
            .chain(self.latest(now))
            .take(MOST_TOLD)
            .collect()
    }

    fn latest(&self, now: Moment) -> Vec<ControllerContact> {
        let contact = |(inner, contact): (&Address, &Contact)| {
            let (admin, age) = (contact.admin, now.since(contact.heard));
            ControllerContact {
                inner: *inner,
                admin,
                age,
            }
        };
        let mut found: Vec<ControllerContact> = self.controllers.iter().map(contact).collect();
        found.retain(|contact| contact.age < self.timing.life);
        found.sort_by_key(|contact| (contact.age, contact.inner));
        found
    }
}

#[cfg(test)]
mod tests;
