//! A controller without a disk: it keeps nothing and votes on nothing, but may be all that a process is told of. It
//! tells nodes that ask it where the core is, and knows where operators are served.

use crate::discovery::peer_discovery::PeerDiscovery;
use types::{Address, MonotonicInstant};
use wire::Message;

/// What a relay is told.
#[derive(Debug, Clone)]
pub enum DisklessControllerInput {
    /// A letter came.
    Message {
        /// From there.
        from: Address,
        /// It.
        message: Message,
    },
    /// The settings name these seeds now.
    Seeds(Vec<Address>),
    /// Time has passed.
    ClockEvent,
}

/// The state of a controller without a disk.
#[derive(Debug, Clone)]
pub struct DisklessController {
    contacts: PeerDiscovery,
}

impl DisklessController {
    /// At the start of a process that is reached at `own`.
    pub fn new(own: Address, seeds: Vec<Address>, now: MonotonicInstant) -> Self {
        DisklessController {
            contacts: PeerDiscovery::new(own, None, seeds, now),
        }
    }

    /// Takes an input in; gives the letters that are to be sent.
    pub fn step(
        &mut self,
        now: MonotonicInstant,
        input: DisklessControllerInput,
    ) -> Vec<(Address, Message)> {
        match input {
            DisklessControllerInput::Message { from, message } => {
                self.on_message(now, from, message).into_iter().collect()
            }
            DisklessControllerInput::Seeds(seeds) => {
                self.contacts.set_seeds(now, seeds);
                self.contacts.on_clock(now)
            }
            DisklessControllerInput::ClockEvent => self.contacts.on_clock(now),
        }
    }

    fn on_message(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        message: Message,
    ) -> Option<(Address, Message)> {
        let answer = match message {
            Message::CoreLocation {
                location,
                is_answer,
            } => self.contacts.on_location(now, from, &location, is_answer),
            Message::LeaseRequest { poll } => {
                let response = self.contacts.elsewhere();
                response.map(|it| Message::LeaseResponse {
                    round: poll.round,
                    response: Box::new(it),
                })
            }
            _ => None,
        };
        answer.map(|message| (from, message))
    }

    /// Where operators reach controllers with a disk, as far as known.
    pub fn admin_addresses(&self, now: MonotonicInstant) -> Vec<Address> {
        self.contacts.admin_addresses(now)
    }

    /// When the next clock event is due.
    pub fn next_timer(&self) -> MonotonicInstant {
        self.contacts.next_timer()
    }
}

#[cfg(test)]
mod tests;
