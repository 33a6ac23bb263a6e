//! The replicated state of the explored cores: a list of commands, each built on the one before.

use replication::{Preview, StateMachine};

/// First byte of an answer: the command was taken.
pub(crate) const CONFIRMED: u8 = 1;
/// First byte of an answer: another command was taken on that base.
pub(crate) const REFUSED: u8 = 2;

/// Which command, and how many it builds on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Command {
    /// How many commands came before it.
    pub base: u8,
    /// Its identity.
    pub id: u8,
}

impl Command {
    /// As bytes for the chain.
    pub(crate) fn encode(self) -> Vec<u8> {
        vec![self.base, self.id]
    }
    /// Of such bytes.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Command> {
        let [base, id] = bytes.try_into().ok()?;
        Some(Command { base, id })
    }
}

/// The commands taken, by identity, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Register {
    /// Their identities.
    pub taken: Vec<u8>,
}

impl Register {
    fn fits(&self, command: Command) -> bool {
        usize::from(command.base) == self.taken.len()
    }
}

impl StateMachine for Register {
    fn preview(&self, body: &[u8]) -> Preview {
        match Command::decode(body) {
            Some(command) if self.taken.contains(&command.id) || self.fits(command) => {
                Preview::Admit
            }
            _ => Preview::Reject(vec![REFUSED]),
        }
    }
    fn apply(&mut self, body: &[u8]) -> Vec<u8> {
        let Some(command) = Command::decode(body) else {
            return vec![REFUSED];
        };
        if !self.taken.contains(&command.id) {
            if !self.fits(command) {
                return vec![REFUSED];
            }
            self.taken.push(command.id);
        }
        vec![CONFIRMED]
    }
    fn snapshot(&self) -> Vec<u8> {
        self.taken.clone()
    }
    fn restore(snapshot: &[u8]) -> Option<Self> {
        Some(Register {
            taken: snapshot.to_vec(),
        })
    }
}
