//! Connections between our processes: what a cut does to the letters on them.
//!
//! A connection that has unacknowledged bytes when its path is cut sends them again after pauses that double, so
//! that it may stand still for as long again once the cut has healed. It is given up when they stay
//! unacknowledged for too long, and a new one, which works at once, is made for the next letter.

use crate::world::event::Event;
use crate::world::{Mutant, World};
use std::collections::BTreeMap;
use types::Address;
use wire::Message;
use wire::Query;

/// As in the daemons' own lines (`SWIFT_DEAD_AFTER`, `BULK_DEAD_AFTER`).
const LINE_DEAD_AFTER: u64 = 1500;
const BULK_LINE_DEAD_AFTER: u64 = 4000;
/// For the mutant: as long as a kernel goes on by itself.
const PATIENT_DEAD_AFTER: u64 = 900_000;
/// The first pause before bytes are sent again.
const FIRST_PAUSE: u64 = 200;
/// Letters that wait on one connection at most.
const MOST_QUEUED: usize = 256;

/// Which connection: from where to where, and whether it's for large pieces.
pub(super) type LineKey = (Address, Address, bool);

/// All connections, by who has opened them.
#[derive(Default)]
pub(super) struct Connections {
    lines: BTreeMap<LineKey, Line>,
    next_stall: u64,
}

struct Line {
    /// The process at the other end.
    peer_incarnation: u64,
    stall: Option<Stall>,
}

/// Bytes are unacknowledged, and the path is cut or was.
struct Stall {
    number: u64,
    since: u64,
    pause: u64,
    /// What the other side has not got yet.
    queue: Vec<Message>,
}

impl Connections {
    /// A process ends, and with it what it opened.
    pub(super) fn close_from(&mut self, address: Address) {
        self.lines.retain(|(from, _, _), _| *from != address);
    }
}

impl World {
    /// Sends a letter over the network as it is now.
    pub(super) fn post(&mut self, from: Address, to: Address, is_bulk: bool, message: Message) {
        self.note_question(&message);
        if self.rules.mutant == Some(Mutant::LonelySeeds)
            && matches!(message, Message::CoreLocation { .. })
        {
            return;
        }
        let now = self.now;
        self.routers
            .iter_mut()
            .filter(|m| m.address == from)
            .for_each(|m| m.contact.on_sent(now, &message));
        if message.is_datagram() {
            if !self.cut.contains(&(from, to)) {
                self.carry(from, to, message);
            }
            return;
        }
        let key = (from, to, is_bulk);
        self.close_dead(key);
        let is_open = !self.cut.contains(&(from, to)) && !self.cut.contains(&(to, from));
        let peer_incarnation = self.life_of(to);
        match self.connections.lines.get_mut(&key) {
            Some(line) if line.peer_incarnation != peer_incarnation && is_open => {
                // What it wrote to is gone: the answer to the first bytes is a reset.
                self.connections.lines.remove(&key);
            }
            Some(Line {
                stall: Some(stall), ..
            }) if stall.queue.len() < MOST_QUEUED => stall.queue.push(message),
            // A full outbox loses what comes.
            Some(Line { stall: Some(_), .. }) => {}
            Some(_) if is_open => self.carry(from, to, message),
            Some(_) => self.stall(key, message),
            None if is_open => {
                self.connections.lines.insert(
                    key,
                    Line {
                        peer_incarnation,
                        stall: None,
                    },
                );
                self.carry(from, to, message);
            }
            // No connection can be made.
            None => {}
        }
    }

    /// The first bytes that nobody acknowledges. Where only the way back is cut, they arrive.
    fn stall(&mut self, key: LineKey, message: Message) {
        let (from, to, _) = key;
        let arrives = !self.cut.contains(&(from, to));
        let queue = if arrives {
            vec![]
        } else {
            vec![message.clone()]
        };
        self.connections.next_stall += 1;
        let number = self.connections.next_stall;
        let stall = Stall {
            number,
            since: self.now,
            pause: FIRST_PAUSE,
            queue,
        };
        if let Some(line) = self.connections.lines.get_mut(&key) {
            line.stall = Some(stall);
        }
        if arrives {
            self.carry(from, to, message);
        }
        self.put(FIRST_PAUSE, Event::SendBytesAgain { key, stall: number });
    }

    /// A connection's pause is over.
    pub(super) fn on_send_bytes_again(&mut self, key: LineKey, number: u64) {
        self.close_dead(key);
        let (from, to, _) = key;
        let arrives = !self.cut.contains(&(from, to));
        let is_open = arrives && !self.cut.contains(&(to, from));
        let peer_incarnation = self.life_of(to);
        let Some(line) = self.connections.lines.get_mut(&key) else {
            return;
        };
        let is_reset = line.peer_incarnation != peer_incarnation;
        let Some(stall) = line.stall.as_mut().filter(|stall| stall.number == number) else {
            return;
        };
        if is_open && is_reset {
            self.connections.lines.remove(&key);
            return;
        }
        stall.pause *= 2;
        let pause = stall.pause;
        let queue = if arrives {
            std::mem::take(&mut stall.queue)
        } else {
            vec![]
        };
        if is_open {
            line.stall = None;
        } else {
            self.put(pause, Event::SendBytesAgain { key, stall: number });
        }
        queue
            .into_iter()
            .for_each(|message| self.carry(from, to, message));
    }

    /// Gives a connection up whose bytes have been unacknowledged for too long.
    fn close_dead(&mut self, key: LineKey) {
        let dead_after = match (self.rules.mutant, key.2) {
            (Some(Mutant::PatientLines), _) => PATIENT_DEAD_AFTER,
            (_, true) => BULK_LINE_DEAD_AFTER,
            (_, false) => LINE_DEAD_AFTER,
        };
        let now = self.now;
        let is_dead = |line: &Line| {
            line.stall
                .as_ref()
                .is_some_and(|stall| now >= stall.since + dead_after)
        };
        if self.connections.lines.get(&key).is_some_and(is_dead) {
            self.connections.lines.remove(&key);
        }
    }

    /// Resets all connections between these pairs, both ways: what waited on them is lost.
    pub(super) fn reset_between(&mut self, pairs: &[(Address, Address)]) {
        let is_between =
            |from: Address, to: Address| pairs.contains(&(from, to)) || pairs.contains(&(to, from));
        self.connections
            .lines
            .retain(|(from, to, _), _| !is_between(*from, *to));
    }

    fn life_of(&self, address: Address) -> u64 {
        let controller = self
            .controllers
            .iter()
            .find(|m| m.address == address)
            .map(|m| m.incarnation);
        let router = || {
            self.routers
                .iter()
                .find(|m| m.address == address)
                .map(|m| m.incarnation)
        };
        let relay = || {
            self.relays
                .iter()
                .find(|m| m.address == address)
                .map(|m| m.incarnation)
        };
        controller.or_else(router).or_else(relay).unwrap_or(0)
    }

    /// Takes a letter to its receiver, unless it's lost on the way.
    fn carry(&mut self, from: Address, to: Address, message: Message) {
        if self.chance(self.loss) {
            return;
        }
        let delay = 1 + self.below(4) + if self.loss > 0 { self.below(60) } else { 0 };
        if self.loss > 0 && self.chance(5) {
            let again = delay + self.below(300);
            self.put(
                again,
                Event::Message {
                    to,
                    from,
                    message: message.clone(),
                },
            );
        }
        if self.rules.mutant == Some(Mutant::AnswerTwice)
            && matches!(message, Message::QueryResponse { .. })
        {
            self.put(
                delay + 10,
                Event::Message {
                    to,
                    from,
                    message: message.clone(),
                },
            );
        }
        self.put(delay, Event::Message { to, from, message });
    }

    /// For the mutant that answers twice: which operator is behind a controller's question.
    fn note_question(&mut self, message: &Message) {
        if self.rules.mutant == Some(Mutant::AnswerTwice)
            && let Message::QueryRequest { number, query } = message
            && let Query::Reachability { id, .. } = query.as_ref()
            && let Some(operator) = id
                .strip_prefix("op-")
                .and_then(|operator| operator.parse().ok())
        {
            self.proposal_numbers
                .entry(*number)
                .or_insert((operator, false));
        }
    }
}

#[cfg(test)]
mod tests;
