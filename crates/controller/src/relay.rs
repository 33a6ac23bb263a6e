//! A controller without a disk: it keeps nothing and votes on nothing, but may be all that a process is told of. It
//! tells nodes that ask it where the core is, and knows where operators are served.

use crate::contacts::Contacts;
use types::{Address, Moment};
use wire::Letter;

/// What a relay is told.
#[derive(Debug, Clone)]
pub enum RelayInput {
    /// A letter came.
    Letter {
        /// From there.
        from: Address,
        /// It.
        letter: Letter,
    },
    /// The settings name these seeds now.
    Seeds(Vec<Address>),
    /// Time has passed.
    ClockEvent,
}

/// The state of a controller without a disk.
#[derive(Debug, Clone)]
pub struct Relay {
    contacts: Contacts,
}

impl Relay {
    /// At the start of a process that is reached at `own`.
    pub fn new(own: Address, seeds: Vec<Address>, now: Moment) -> Self {
        Relay {
            contacts: Contacts::new(own, None, seeds, now),
        }
    }

    /// Takes an input in; gives the letters that are to be sent.
    pub fn step(&mut self, now: Moment, input: RelayInput) -> Vec<(Address, Letter)> {
        match input {
            RelayInput::Letter { from, letter } => {
                self.on_letter(now, from, letter).into_iter().collect()
            }
            RelayInput::Seeds(seeds) => {
                self.contacts.set_seeds(now, seeds);
                self.contacts.on_clock(now)
            }
            RelayInput::ClockEvent => self.contacts.on_clock(now),
        }
    }

    fn on_letter(
        &mut self,
        now: Moment,
        from: Address,
        letter: Letter,
    ) -> Option<(Address, Letter)> {
        let answer = match letter {
            Letter::CoreLocation {
                location,
                is_answer,
            } => self.contacts.on_location(now, from, &location, is_answer),
            Letter::Poll { poll } => {
                let response = self.contacts.elsewhere();
                response.map(|it| Letter::PollResponse {
                    round: poll.round,
                    response: Box::new(it),
                })
            }
            _ => None,
        };
        answer.map(|letter| (from, letter))
    }

    /// Where operators reach controllers with a disk, as far as known.
    pub fn admin_addresses(&self, now: Moment) -> Vec<Address> {
        self.contacts.admin_addresses(now)
    }

    /// When the next clock event is due.
    pub fn next_timer(&self) -> Moment {
        self.contacts.next_timer()
    }
}

#[cfg(test)]
mod tests;
