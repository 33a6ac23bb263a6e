//! What is kept of accepted changes: a bounded span, the newest ones.

use crate::state_machine::{Command, Proposal};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Delta, ZoneName, messages, revert};

/// Operators' changes of which the id, and so the fate, is known: the newest so many. The users' days
/// have some hundreds, their years about 1,200 a day. [`replication::Timing::max_changes_per_second`]
/// bounds how fast they can be used up.
pub const REMEMBERED_CHANGES: usize = 4096;

/// Bytes that may be read back as they were sent, of all remembered changes together.
pub const REMEMBERED_BYTES: usize = 4 << 20;

messages! {
    /// What is kept of an accepted change: enough to tell a repeat from another change under its id. The
    /// bytes of plans and changes are in [`History`], as long as there is room.
    #[derive(Eq)]
    pub enum KeptCommand {
        /// A whole plan.
        Plan {
            /// Of its bytes.
            hash: [u8; 32],
        },
        /// A change.
        Change {
            /// Of its bytes.
            hash: [u8; 32],
        },
        /// A zone gets no new work.
        Withdraw {
            /// The zone.
            zone: ZoneName,
        },
        /// A zone gets work again.
        Restore {
            /// The zone.
            zone: ZoneName,
        },
        /// Members that are lost.
        Forget {
            /// Who.
            members: Vec<Address>,
        },
    }

    /// A command of an operator that was accepted.
    #[derive(Eq)]
    pub struct Entry {
        /// As this epoch.
        pub epoch: ConfigEpoch,
        /// The operator's id for it.
        pub id: String,
        /// What it built on.
        pub builds_on: Option<ConfigEpoch>,
        /// By the operators' own count, the number that it built on, if it is a plan or a change.
        pub base_revision: Option<u64>,
        /// What.
        pub command: KeptCommand,
    }

    /// What leads from a plan back to the one before.
    #[derive(Eq)]
    pub struct Undo {
        /// From the plan of this epoch.
        pub epoch: ConfigEpoch,
        /// By this.
        pub delta: Delta,
    }

    /// A change as it was sent.
    #[derive(Eq)]
    pub struct SentChange {
        /// Accepted as this epoch.
        pub epoch: ConfigEpoch,
        /// Its bytes.
        pub bytes: Vec<u8>,
    }

    /// What was forgotten, as far as it must still be known.
    #[derive(Default, Copy, Eq)]
    pub struct Forgotten {
        /// The epoch of the newest entry that was.
        pub epoch: ConfigEpoch,
        /// The newest number of the operators' own that a forgotten plan or change built on.
        pub base_revision: Option<u64>,
    }

    /// The newest accepted changes of operators.
    ///
    /// Invariants: `entries` are in order of epochs, at most `span`, and whatever was
    /// accepted after `forgotten.epoch` is among them; ids are unique in them, and `ids` names each.
    /// `undos` lead from the plan in force back, one for each plan and change, without a gap; `changes`
    /// are in order of epochs. Both are the newest ones, and hold at most [`REMEMBERED_BYTES`] together.
    /// What is forgotten depends only on what was taken in, in which order: all who applied the same
    /// changes remember the same ones. No clock decides.
    #[derive(Eq)]
    pub struct History {
        /// How many entries are remembered; the same for all who hold the state, as it's part of it.
        span: u32,
        /// What operators had accepted.
        pub entries: VecDeque<Entry>,
        /// Their epochs by their ids. Made of the entries, not archived.
        #[rkyv(with = rkyv::with::Skip)]
        ids: BTreeMap<String, ConfigEpoch>,
        /// From the plan in force back.
        undos: VecDeque<Undo>,
        /// As they were sent.
        changes: VecDeque<SentChange>,
        /// What is no longer here.
        pub forgotten: Forgotten,
    }
}

/// An accepted command as its operator sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AsSent {
    /// A plan or a change, byte for byte.
    Body(Vec<u8>),
    /// A zone gets no new work.
    Withdraw(ZoneName),
    /// A zone gets work again.
    Restore(ZoneName),
    /// Members that are lost.
    Forget(Vec<Address>),
}

/// Why an epoch can't be given as it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NotKept {
    /// No operator's change was accepted as this epoch.
    #[error("no operator's change was accepted as this epoch")]
    Never,
    /// It's older than what is kept, or its bytes had no room any more.
    #[error("it is no longer kept")]
    NoLonger,
}

/// What became of a change, as far as the history tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It was accepted as this epoch.
    Accepted(ConfigEpoch),
    /// It was not accepted so far: nothing has been forgotten yet.
    NotAccepted,
    /// It's not among those that are remembered. Whether it was accepted before them isn't known.
    TooOldToKnow,
}

impl KeptCommand {
    /// What is kept of an operator's command; `None` of one that is not an operator's.
    pub(crate) fn of(command: &Command) -> Option<KeptCommand> {
        Some(match command {
            Command::Plan { bytes, .. } => KeptCommand::Plan {
                hash: *blake3::hash(bytes).as_bytes(),
            },
            Command::Change { bytes, .. } => KeptCommand::Change {
                hash: *blake3::hash(bytes).as_bytes(),
            },
            Command::Withdraw { zone } => KeptCommand::Withdraw { zone: zone.clone() },
            Command::Restore { zone } => KeptCommand::Restore { zone: zone.clone() },
            Command::Forget { members } => KeptCommand::Forget {
                members: members.clone(),
            },
            Command::Join { .. }
            | Command::Retire { .. }
            | Command::Settle { .. }
            | Command::Key { .. } => {
                return None;
            }
        })
    }
}

impl Entry {
    /// Whether a proposal says the same. A change merged anew may come to another whole.
    pub(crate) fn is_repeated_by(&self, other: &Proposal) -> bool {
        let is_same_command =
            KeptCommand::of(&other.command).is_some_and(|command| command == self.command);
        is_same_command && self.id == other.id && self.builds_on == other.builds_on
    }
}

/// By the operators' own count, the number that a command builds on.
fn base_revision(command: &Command) -> Option<u64> {
    match command {
        Command::Plan { revisions, .. } | Command::Change { revisions, .. } => {
            (revisions.own > 0).then_some(revisions.base)
        }
        _ => None,
    }
}

impl Default for History {
    fn default() -> Self {
        History::of_span(REMEMBERED_CHANGES)
    }
}

impl History {
    /// An empty one that remembers so many entries.
    pub fn of_span(span: usize) -> History {
        History {
            span: span.try_into().unwrap_or(u32::MAX),
            entries: VecDeque::new(),
            ids: BTreeMap::new(),
            undos: VecDeque::new(),
            changes: VecDeque::new(),
            forgotten: Forgotten::default(),
        }
    }

    /// The accepted change with this id, if it's remembered.
    pub fn entry_by_id(&self, id: &str) -> Option<&Entry> {
        self.entry(*self.ids.get(id)?)
    }

    /// What was accepted as this epoch, if it's remembered.
    pub fn entry(&self, epoch: ConfigEpoch) -> Option<&Entry> {
        let place = self
            .entries
            .binary_search_by_key(&epoch, |entry| entry.epoch)
            .ok()?;
        self.entries.get(place)
    }

    /// What became of the change with this id.
    pub fn fate(&self, id: &str) -> Fate {
        match self.entry_by_id(id) {
            Some(entry) => Fate::Accepted(entry.epoch),
            None if self.forgotten.epoch == ConfigEpoch(0) => Fate::NotAccepted,
            None => Fate::TooOldToKnow,
        }
    }

    /// Whether a proposal that isn't remembered may be one that was accepted and forgotten.
    ///
    /// An accepted one builds on what came before it: its `builds_on` is below its own epoch, and the number
    /// that it builds on is that of the plan before it. So one that builds on the newest forgotten epoch or a
    /// later one, or on a newer number than any forgotten one, was never accepted before. One that names
    /// neither can't be told from a new one.
    pub(crate) fn may_have_forgotten(&self, proposal: &Proposal) -> bool {
        if self.forgotten.epoch == ConfigEpoch(0) {
            return false;
        }
        match (base_revision(&proposal.command), proposal.builds_on) {
            (Some(base), _) => self
                .forgotten
                .base_revision
                .is_some_and(|forgotten| base <= forgotten),
            (None, Some(builds_on)) => builds_on < self.forgotten.epoch,
            (None, None) => false,
        }
    }

    /// What was accepted as this epoch, as it was sent; `plan` is the one in force.
    pub(crate) fn as_sent(&self, epoch: ConfigEpoch, plan: &[u8]) -> Result<AsSent, NotKept> {
        let Some(entry) = self.entry(epoch) else {
            let is_forgotten = epoch > ConfigEpoch(0) && epoch <= self.forgotten.epoch;
            return Err(if is_forgotten {
                NotKept::NoLonger
            } else {
                NotKept::Never
            });
        };
        match &entry.command {
            KeptCommand::Plan { hash } => self.plan_as_sent(epoch, plan, hash),
            KeptCommand::Change { .. } => self.change_as_sent(epoch),
            KeptCommand::Withdraw { zone } => Ok(AsSent::Withdraw(zone.clone())),
            KeptCommand::Restore { zone } => Ok(AsSent::Restore(zone.clone())),
            KeptCommand::Forget { members } => Ok(AsSent::Forget(members.clone())),
        }
    }

    /// A plan comes back from the one in force by what undoes those after it.
    fn plan_as_sent(
        &self,
        epoch: ConfigEpoch,
        plan: &[u8],
        hash: &[u8; 32],
    ) -> Result<AsSent, NotKept> {
        let later = self
            .undos
            .iter()
            .rev()
            .take_while(|undo| undo.epoch > epoch);
        let bytes = revert(plan, later.map(|undo| &undo.delta)).ok_or(NotKept::NoLonger)?;
        if blake3::hash(&bytes) == *hash {
            Ok(AsSent::Body(bytes))
        } else {
            Err(NotKept::NoLonger)
        }
    }

    fn change_as_sent(&self, epoch: ConfigEpoch) -> Result<AsSent, NotKept> {
        let place = self
            .changes
            .binary_search_by_key(&epoch, |change| change.epoch);
        let place = place.map_err(|_| NotKept::NoLonger)?;
        Ok(AsSent::Body(self.changes[place].bytes.clone()))
    }

    /// Takes in what leads from a new plan back to the one before.
    pub(crate) fn remember_undo(&mut self, epoch: ConfigEpoch, delta: Delta) {
        self.undos.push_back(Undo { epoch, delta });
    }

    /// Takes an accepted proposal in, and forgets what is beyond the bounds.
    pub(crate) fn remember(&mut self, epoch: ConfigEpoch, proposal: Proposal) {
        if let Some(command) = KeptCommand::of(&proposal.command) {
            let base_revision = base_revision(&proposal.command);
            self.ids.insert(proposal.id.clone(), epoch);
            let (id, builds_on) = (proposal.id, proposal.builds_on);
            self.entries.push_back(Entry {
                epoch,
                id,
                builds_on,
                base_revision,
                command,
            });
        }
        if let Command::Change { bytes, .. } = proposal.command {
            self.changes.push_back(SentChange { epoch, bytes });
        }
        self.forget_oldest_entries();
        self.forget_oldest_bytes();
    }

    fn forget_oldest_entries(&mut self) {
        while self.entries.len() > self.span as usize {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.ids.remove(&oldest.id);
            self.forgotten.epoch = oldest.epoch;
            self.forgotten.base_revision = self.forgotten.base_revision.max(oldest.base_revision);
        }
    }

    /// Drops the oldest bytes until the rest is within the bound, and those of forgotten entries.
    fn forget_oldest_bytes(&mut self) {
        let mut bytes = self.byte_count();
        loop {
            let oldest_undo = self.undos.front().map(|undo| undo.epoch);
            let oldest_change = self.changes.front().map(|change| change.epoch);
            let Some(oldest) = oldest_undo.into_iter().chain(oldest_change).min() else {
                break;
            };
            if bytes <= REMEMBERED_BYTES && oldest > self.forgotten.epoch {
                break;
            }
            if oldest_undo == Some(oldest) {
                bytes -= self
                    .undos
                    .pop_front()
                    .map_or(0, |undo| undo.delta.inserted.len());
            }
            if oldest_change == Some(oldest) {
                bytes -= self
                    .changes
                    .pop_front()
                    .map_or(0, |change| change.bytes.len());
            }
        }
    }

    /// Bytes kept so that changes can be read back.
    pub fn byte_count(&self) -> usize {
        let undos: usize = self
            .undos
            .iter()
            .map(|undo| undo.delta.inserted.len())
            .sum();
        let changes: usize = self.changes.iter().map(|change| change.bytes.len()).sum();
        undos + changes
    }

    /// After it was read: makes the index; `None` if the invariants don't hold.
    pub(crate) fn indexed(mut self, newest: ConfigEpoch) -> Option<History> {
        self.ids = self
            .entries
            .iter()
            .map(|entry| (entry.id.clone(), entry.epoch))
            .collect();
        let epochs: Vec<ConfigEpoch> = self.entries.iter().map(|entry| entry.epoch).collect();
        let undone: Vec<ConfigEpoch> = self.undos.iter().map(|undo| undo.epoch).collect();
        let sent: Vec<ConfigEpoch> = self.changes.iter().map(|change| change.epoch).collect();
        let is_rising = |epochs: &[ConfigEpoch]| {
            epochs.is_sorted_by(|one, next| one < next)
                && epochs.last().is_none_or(|last| *last <= newest)
        };
        let are_rising = is_rising(&epochs) && is_rising(&undone) && is_rising(&sent);
        let is_after_forgotten = epochs
            .first()
            .is_none_or(|first| *first > self.forgotten.epoch);
        let is_bounded =
            epochs.len() <= self.span as usize && self.byte_count() <= REMEMBERED_BYTES;
        let are_ids_unique = self.ids.len() == self.entries.len();
        (are_rising && is_after_forgotten && is_bounded && are_ids_unique).then_some(self)
    }
}
