use crate::command::Proposal;
use crate::history::{History, MAX_HISTORY_BYTES};
use types::ConfigEpoch;

impl History {
    /// Whether a proposal that is not in the history may have been accepted and compacted.
    ///
    /// An accepted proposal builds on what came before it: the epoch that it builds on is below its own, and the
    /// revision that it builds on is that of the plan before it. So a proposal that builds on the newest compacted
    /// epoch or a later one, or on a newer revision than any compacted one, was never accepted before. A proposal
    /// that names neither cannot be told from a new one.
    pub(crate) fn may_have_compacted(&self, proposal: &Proposal) -> bool {
        if self.compacted.epoch == ConfigEpoch(0) {
            return false;
        }
        match (proposal.command.base_revision(), proposal.builds_on) {
            (Some(base), _) => self
                .compacted
                .base_revision
                .is_some_and(|compacted| base <= compacted),
            (None, Some(builds_on)) => builds_on < self.compacted.epoch,
            (None, None) => false,
        }
    }

    /// The size of the plans and changes that can be read back, in bytes.
    pub fn byte_count(&self) -> usize {
        let deltas = self.reverse_deltas.iter();
        let delta_bytes: usize = deltas.map(|delta| delta.delta.inserted.len()).sum();
        let change_bytes: usize = self.changes.iter().map(|change| change.bytes.len()).sum();
        delta_bytes + change_bytes
    }

    /// Drops the oldest entries until their number is within the bound.
    pub(super) fn compact_entries(&mut self) {
        while self.entries.len() > self.span as usize {
            let Some(oldest) = self.entries.pop_front() else {
                break;
            };
            self.ids.remove(&oldest.id);
            self.compacted.epoch = oldest.epoch;
            self.compacted.base_revision = self.compacted.base_revision.max(oldest.base_revision);
        }
    }

    /// Drops the bytes of compacted entries, and the oldest ones until the rest is within the bound.
    pub(super) fn compact_bytes(&mut self) {
        let mut bytes = self.byte_count();
        while let Some(oldest) = self.oldest_bytes() {
            if bytes <= MAX_HISTORY_BYTES && oldest > self.compacted.epoch {
                break;
            }
            bytes -= self.drop_bytes(oldest);
        }
    }

    /// The oldest epoch of which a delta or a change is kept.
    fn oldest_bytes(&self) -> Option<ConfigEpoch> {
        let delta = self.reverse_deltas.front().map(|delta| delta.epoch);
        let change = self.changes.front().map(|change| change.epoch);
        delta.into_iter().chain(change).min()
    }

    /// Drops the delta and the change of the oldest epoch; returns their size in bytes.
    fn drop_bytes(&mut self, oldest: ConfigEpoch) -> usize {
        let delta = self
            .reverse_deltas
            .pop_front_if(|delta| delta.epoch == oldest);
        let change = self.changes.pop_front_if(|change| change.epoch == oldest);
        delta.map_or(0, |delta| delta.delta.inserted.len())
            + change.map_or(0, |change| change.bytes.len())
    }
}
