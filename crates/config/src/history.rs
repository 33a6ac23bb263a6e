//! The history: the newest accepted commands of operators, within fixed bounds.

mod compaction;
mod entry;

use crate::command::{Command, Proposal};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Delta, ZoneName, messages, revert};

pub use entry::{CompactionPoint, Entry, OriginalChange, RecordedCommand, ReverseDelta};

/// The number of accepted commands whose ids, and so whose status, are known. Operators send some hundreds a
/// day, and about 1,200 a day over years. [`replication::Timing::max_changes_per_second`] limits how fast the entries
/// can be used up.
pub const MAX_HISTORY_ENTRIES: usize = 4096;

/// The size limit of all plans and changes together that can be read back as they were sent, in bytes.
pub const MAX_HISTORY_BYTES: usize = 4 << 20;

messages! {
    /// The newest accepted commands of operators.
    ///
    /// Invariants: `entries` are in the order of their epochs, at most `span`, and every command of operators
    /// accepted after `compacted.epoch` is among them. Their ids are unique, and `ids` has each of them.
    /// `reverse_deltas` lead back from the plan in force, one for each plan and change, without a gap; `changes`
    /// are in the order of their epochs. Both are the newest ones and hold at most [`MAX_HISTORY_BYTES`] together.
    /// What is compacted depends only on the commands and their order, not on a clock: all replicas that applied
    /// the same commands have the same history.
    #[derive(Eq)]
    pub struct History {
        /// The largest number of entries. As a part of the state, it is the same at all replicas.
        span: u32,
        /// The accepted commands.
        pub entries: VecDeque<Entry>,
        /// The epochs of the entries by their ids. Not archived, but rebuilt from the entries.
        #[rkyv(with = rkyv::with::Skip)]
        ids: BTreeMap<String, ConfigEpoch>,
        /// The deltas that lead back from the plan in force.
        reverse_deltas: VecDeque<ReverseDelta>,
        /// The changes as they were sent.
        changes: VecDeque<OriginalChange>,
        /// Where the history begins.
        pub compacted: CompactionPoint,
    }
}

/// An accepted command as its operator sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OriginalCommand {
    /// The bytes of a plan or of a change.
    Body(Vec<u8>),
    /// The withdrawal of a zone.
    Withdraw(ZoneName),
    /// The restoration of a zone.
    Restore(ZoneName),
    /// The removal of lost members.
    ForceRemove(Vec<Address>),
}

/// Why an accepted command cannot be read back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum HistoryError {
    /// No command of operators was accepted as this epoch.
    #[error("no operator's change was accepted as this epoch")]
    NotAccepted,
    /// The command is older than the history, or there was no room for its bytes any more.
    #[error("it is no longer kept")]
    Compacted,
}

/// The status of a command, as far as the history shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandStatus {
    /// The command was accepted as this epoch.
    Accepted(ConfigEpoch),
    /// The command was not accepted so far. The history is complete.
    NotAccepted,
    /// The command is not in the history. Whether it was accepted before the oldest entry is unknown.
    TooOldToKnow,
}

impl Default for History {
    fn default() -> Self {
        History::with_max_entries(MAX_HISTORY_ENTRIES)
    }
}

impl History {
    /// An empty history of at most `max_entries` entries.
    pub fn with_max_entries(max_entries: usize) -> History {
        History {
            span: max_entries.try_into().unwrap_or(u32::MAX),
            entries: VecDeque::new(),
            ids: BTreeMap::new(),
            reverse_deltas: VecDeque::new(),
            changes: VecDeque::new(),
            compacted: CompactionPoint::default(),
        }
    }

    /// The accepted command with this id, if it is in the history.
    pub fn entry_by_id(&self, id: &str) -> Option<&Entry> {
        self.entry(*self.ids.get(id)?)
    }

    /// The command that was accepted as this epoch, if it is in the history.
    pub fn entry(&self, epoch: ConfigEpoch) -> Option<&Entry> {
        let index = self
            .entries
            .binary_search_by_key(&epoch, |entry| entry.epoch)
            .ok()?;
        self.entries.get(index)
    }

    /// The status of the command with this id.
    pub fn command_status(&self, id: &str) -> CommandStatus {
        match self.entry_by_id(id) {
            Some(entry) => CommandStatus::Accepted(entry.epoch),
            None if self.compacted.epoch == ConfigEpoch(0) => CommandStatus::NotAccepted,
            None => CommandStatus::TooOldToKnow,
        }
    }

    /// The command that was accepted as this epoch, as its operator sent it; `plan` is the one in force.
    pub(crate) fn original_command(
        &self,
        epoch: ConfigEpoch,
        plan: &[u8],
    ) -> Result<OriginalCommand, HistoryError> {
        let Some(entry) = self.entry(epoch) else {
            let is_compacted = epoch > ConfigEpoch(0) && epoch <= self.compacted.epoch;
            return Err(if is_compacted {
                HistoryError::Compacted
            } else {
                HistoryError::NotAccepted
            });
        };
        match &entry.command {
            RecordedCommand::Plan { hash } => self.original_plan(epoch, plan, hash),
            RecordedCommand::Change { .. } => self.original_change(epoch),
            RecordedCommand::Withdraw { zone } => Ok(OriginalCommand::Withdraw(zone.clone())),
            RecordedCommand::Restore { zone } => Ok(OriginalCommand::Restore(zone.clone())),
            RecordedCommand::ForceRemove { members } => {
                Ok(OriginalCommand::ForceRemove(members.clone()))
            }
        }
    }

    /// Reverts the plan in force to that of an epoch, by the deltas of the later ones.
    fn original_plan(
        &self,
        epoch: ConfigEpoch,
        plan: &[u8],
        hash: &[u8; 32],
    ) -> Result<OriginalCommand, HistoryError> {
        let later = self
            .reverse_deltas
            .iter()
            .rev()
            .take_while(|delta| delta.epoch > epoch);
        let bytes = revert(plan, later.map(|delta| &delta.delta)).ok_or(HistoryError::Compacted)?;
        if blake3::hash(&bytes) == *hash {
            Ok(OriginalCommand::Body(bytes))
        } else {
            Err(HistoryError::Compacted)
        }
    }

    fn original_change(&self, epoch: ConfigEpoch) -> Result<OriginalCommand, HistoryError> {
        let index = self
            .changes
            .binary_search_by_key(&epoch, |change| change.epoch)
            .map_err(|_| HistoryError::Compacted)?;
        Ok(OriginalCommand::Body(self.changes[index].bytes.clone()))
    }

    /// Records the delta from a new plan back to the previous one.
    pub(crate) fn record_reverse_delta(&mut self, epoch: ConfigEpoch, delta: Delta) {
        self.reverse_deltas.push_back(ReverseDelta { epoch, delta });
    }

    /// Records an accepted proposal, and compacts what exceeds the bounds.
    pub(crate) fn record(&mut self, epoch: ConfigEpoch, proposal: Proposal) {
        if let Some(command) = RecordedCommand::new(&proposal.command) {
            self.ids.insert(proposal.id.clone(), epoch);
            self.entries.push_back(Entry {
                epoch,
                id: proposal.id,
                builds_on: proposal.builds_on,
                base_revision: proposal.command.base_revision(),
                command,
            });
        }
        if let Command::Change { bytes, .. } = proposal.command {
            self.changes.push_back(OriginalChange { epoch, bytes });
        }
        self.compact_entries();
        self.compact_bytes();
    }

    /// Completes a history that was read from an archive: builds the index. `None` if the invariants do not hold;
    /// `newest` is the newest epoch.
    pub(crate) fn indexed(mut self, newest: ConfigEpoch) -> Option<History> {
        let ids = self
            .entries
            .iter()
            .map(|entry| (entry.id.clone(), entry.epoch));
        self.ids = ids.collect();
        let is_valid = self.are_epochs_rising(newest) && self.is_within_bounds();
        let are_ids_unique = self.ids.len() == self.entries.len();
        (is_valid && are_ids_unique).then_some(self)
    }

    /// Whether entries, deltas and changes are in the order of their epochs, up to `newest`, and all entries
    /// after the compaction point.
    fn are_epochs_rising(&self, newest: ConfigEpoch) -> bool {
        let entries: Vec<ConfigEpoch> = self.entries.iter().map(|entry| entry.epoch).collect();
        let deltas: Vec<ConfigEpoch> = self
            .reverse_deltas
            .iter()
            .map(|delta| delta.epoch)
            .collect();
        let changes: Vec<ConfigEpoch> = self.changes.iter().map(|change| change.epoch).collect();
        let is_rising = |epochs: &[ConfigEpoch]| {
            epochs.is_sorted_by(|one, next| one < next)
                && epochs.last().is_none_or(|last| *last <= newest)
        };
        let is_after_compaction = entries
            .first()
            .is_none_or(|first| *first > self.compacted.epoch);
        is_rising(&entries) && is_rising(&deltas) && is_rising(&changes) && is_after_compaction
    }

    fn is_within_bounds(&self) -> bool {
        self.entries.len() <= self.span as usize && self.byte_count() <= MAX_HISTORY_BYTES
    }
}
