//! Zones that operators have put back into service, until the endpoint list tells which of their servers are warm.
//!
//! The servers of a zone that was withdrawn may have become cold shortly before it is restored, and the list lags. So a
//! restored zone's servers count as warming up until a list is known that is newer than the restoration.

use placement::ServerEntry;
use std::collections::BTreeMap;
use types::{Milliseconds, MonotonicInstant, ZoneName};

/// How long servers of a restored zone count as warming up if no newer list comes.
const MAX_UNVERIFIED: Milliseconds = Milliseconds::seconds(60);
/// What another node says of its reading may have been on its way for this long.
const MAX_TRANSIT: Milliseconds = Milliseconds(250);

/// The restored zones of which no newer list is known.
#[derive(Debug, Clone, Default)]
pub(super) struct RestoredZones {
    /// How far the endpoint list lags behind.
    list_lag: Milliseconds,
    /// When this node learned of each restoration, which came before.
    restored_at: BTreeMap<ZoneName, MonotonicInstant>,
}

impl RestoredZones {
    /// Where the endpoint list lags by at most `list_lag`.
    pub(super) fn new(list_lag: Milliseconds) -> RestoredZones {
        RestoredZones {
            list_lag,
            restored_at: BTreeMap::new(),
        }
    }

    /// The withdrawn zones were replaced. Returns whether a zone was restored.
    pub(super) fn update(
        &mut self,
        before: &[ZoneName],
        withdrawn: &[ZoneName],
        now: MonotonicInstant,
    ) -> bool {
        self.restored_at.retain(|zone, _| !withdrawn.contains(zone));
        let restored: Vec<&ZoneName> = before
            .iter()
            .filter(|zone| !withdrawn.contains(zone))
            .collect();
        for zone in &restored {
            self.restored_at.insert((*zone).clone(), now);
        }
        !restored.is_empty()
    }

    /// The list that is held was read from `read_at` on. Returns whether a zone is verified by it.
    pub(super) fn verify(&mut self, read_at: MonotonicInstant) -> bool {
        let unverified = self.restored_at.len();
        let list_lag = self.list_lag;
        self.restored_at
            .retain(|_, restored_at| read_at < *restored_at + list_lag + MAX_TRANSIT);
        self.restored_at.len() < unverified
    }

    /// Lets the servers of unverified zones warm up, where the list tells how long servers do.
    pub(super) fn apply(&self, entries: &mut [ServerEntry]) {
        let unverified = entries
            .iter_mut()
            .filter(|entry| self.restored_at.contains_key(&entry.zone));
        for entry in unverified {
            entry.warm_up_left = entry.warm_up_left.map(|left| left.max(MAX_UNVERIFIED));
        }
    }
}

#[cfg(test)]
mod tests;
