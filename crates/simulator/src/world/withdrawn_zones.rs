//! When every zone was withdrawn: while operators keep all servers out of service, no request can complete.

use std::collections::BTreeSet;
use types::ZoneName;

/// An operator's command about a zone, as it took effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ZoneChange {
    /// Its place in the order of all accepted commands.
    pub epoch: u64,
    pub zone: ZoneName,
    pub is_withdrawn: bool,
    /// When it came to a controller, in milliseconds: it has no effect before.
    pub proposed_at: u64,
    /// By when an operator had been told that it, or a later command, was accepted.
    pub known_at: Option<u64>,
}

/// A time from one moment until another, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Period {
    from: u64,
    until: u64,
}

/// Periods in which every zone was certainly withdrawn.
#[derive(Debug, Default, PartialEq, Eq)]
pub(super) struct OutOfService(Vec<Period>);

impl OutOfService {
    /// Of a fleet with these zones. A withdrawal counts from when it was certainly in force, a restoration from when
    /// it may have been.
    pub(super) fn new(zones: &BTreeSet<ZoneName>, mut changes: Vec<ZoneChange>) -> OutOfService {
        changes.sort_by_key(|change| change.epoch);
        let mut withdrawn = BTreeSet::new();
        let mut periods = vec![];
        let mut since = None;
        for change in changes {
            if change.is_withdrawn {
                withdrawn.insert(change.zone);
            } else {
                withdrawn.remove(&change.zone);
            }
            let is_out_of_service = zones.is_subset(&withdrawn);
            if !is_out_of_service && let Some(from) = since.take() {
                let until = change.proposed_at;
                periods.push(Period { from, until });
            }
            if is_out_of_service && since.is_none() {
                since = change.known_at;
            }
        }
        periods.extend(since.map(|from| Period {
            from,
            until: u64::MAX,
        }));
        OutOfService(periods)
    }

    /// How much of the time from one moment until another some zone may have been in service, in milliseconds.
    pub(super) fn time_in_service(&self, from: u64, until: u64) -> u64 {
        let overlap = |period: &Period| {
            let start = period.from.max(from);
            period.until.min(until).saturating_sub(start)
        };
        let out_of_service: u64 = self.0.iter().map(overlap).sum();
        until.saturating_sub(from).saturating_sub(out_of_service)
    }
}

#[cfg(test)]
mod tests;
