//! A controller without a disk. It stores nothing and has no vote, but may be the only seed that a process knows: it
//! responds with the core's location, and knows where operators are served.

use crate::discovery::peer_discovery::PeerDiscovery;
use types::{Address, MonotonicInstant};
use wire::Message;

/// An input of a controller without a disk.
#[derive(Debug, Clone)]
pub enum DisklessControllerInput {
    /// A message was received.
    Message {
        /// The address of the sender.
        from: Address,
        /// The message as it was received.
        message: Message,
    },
    /// The seeds in the settings have changed to these.
    Seeds(Vec<Address>),
    /// A timer is due, or some time has passed.
    ClockEvent,
}

/// The state of a controller without a disk.
#[derive(Debug, Clone)]
pub struct DisklessController {
    contacts: PeerDiscovery,
}

impl DisklessController {
    /// The state at the start of a process that is reached at `own`.
    pub fn new(own: Address, seeds: Vec<Address>, now: MonotonicInstant) -> Self {
        DisklessController {
            contacts: PeerDiscovery::new(own, None, seeds, now),
        }
    }

    /// Takes an input and returns the messages to send, each with its receiver.
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
                is_response,
            } => self.contacts.on_location(now, from, &location, is_response),
            Message::LeaseRequest { request } => {
                let response = self.contacts.elsewhere();
                response.map(|it| Message::LeaseResponse {
                    round: request.round,
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
