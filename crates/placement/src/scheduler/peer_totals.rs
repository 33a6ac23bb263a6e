//! What peers told, summed up once for each sketch.

use crate::server_state::Load;
use crate::sketch::{PrefixHash, Sketch};
use std::collections::BTreeMap;
use types::ServerName;

/// The sum of all sketches that count.
///
/// Invariant: each counted sketch was added once, and is taken off as it was added.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerTotals {
    hot: BTreeMap<PrefixHash, u32>,
    holdings: BTreeMap<PrefixHash, Vec<ReportedPrefix>>,
    loads: BTreeMap<ServerName, Load>,
}

/// How many peers say that a server in one life holds a prefix, or was sent it.
#[derive(Debug, Clone)]
pub(super) struct ReportedPrefix {
    server: ServerName,
    incarnation: u64,
    shown: u32,
    sent: u32,
}

impl ReportedPrefix {
    pub(super) fn is_of(&self, server: &ServerName, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.server == *server
    }
    /// Whether a first token has shown it to one of them.
    pub(super) fn is_shown(&self) -> bool {
        self.shown > 0
    }
}

impl PeerTotals {
    /// Counts a sketch.
    pub(super) fn add(&mut self, sketch: &Sketch) {
        for hot in &sketch.hot {
            *self.hot.entry(hot.prefix).or_default() += hot.count;
        }
        for holding in &sketch.holdings {
            let those = self.holdings.entry(holding.prefix).or_default();
            let is_it = |t: &&mut ReportedPrefix| {
                t.server == holding.server && t.incarnation == holding.incarnation
            };
            let place = match those.iter_mut().find(is_it) {
                Some(place) => place,
                None => {
                    let (server, incarnation) = (holding.server.clone(), holding.incarnation);
                    those.push(ReportedPrefix {
                        server,
                        incarnation,
                        shown: 0,
                        sent: 0,
                    });
                    let last = those.len() - 1;
                    &mut those[last]
                }
            };
            *(if holding.is_shown {
                &mut place.shown
            } else {
                &mut place.sent
            }) += 1;
        }
        for reported in &sketch.in_flight {
            let load = self.loads.entry(reported.server.clone()).or_default();
            load.count += reported.count;
            load.pending_prefill_tokens += reported.pending_prefill_tokens;
            load.tokens += reported.tokens;
        }
    }
    /// Counts a sketch no more.
    pub(super) fn remove(&mut self, sketch: &Sketch) {
        for hot in &sketch.hot {
            if let Some(count) = self.hot.get_mut(&hot.prefix) {
                *count = count.saturating_sub(hot.count);
                if *count == 0 {
                    self.hot.remove(&hot.prefix);
                }
            }
        }
        for holding in &sketch.holdings {
            let Some(those) = self.holdings.get_mut(&holding.prefix) else {
                continue;
            };
            for reported in those.iter_mut() {
                if reported.server == holding.server && reported.incarnation == holding.incarnation
                {
                    let count = if holding.is_shown {
                        &mut reported.shown
                    } else {
                        &mut reported.sent
                    };
                    *count = count.saturating_sub(1);
                }
            }
            those.retain(|reported| reported.shown + reported.sent > 0);
            if those.is_empty() {
                self.holdings.remove(&holding.prefix);
            }
        }
        for reported in &sketch.in_flight {
            let Some(load) = self.loads.get_mut(&reported.server) else {
                continue;
            };
            load.count = load.count.saturating_sub(reported.count);
            load.pending_prefill_tokens = load
                .pending_prefill_tokens
                .saturating_sub(reported.pending_prefill_tokens);
            load.tokens = load.tokens.saturating_sub(reported.tokens);
            if load.count == 0 && load.pending_prefill_tokens == 0 && load.tokens == 0 {
                self.loads.remove(&reported.server);
            }
        }
    }
    /// Arrivals of a prefix at peers; `None` if none has seen it.
    pub(super) fn count(&self, prefix: PrefixHash) -> Option<u32> {
        self.hot.get(&prefix).copied()
    }
    /// What peers have at a server.
    pub(super) fn load(&self, server: &ServerName) -> Load {
        self.loads.get(server).copied().unwrap_or_default()
    }
    /// What peers say of who holds a prefix.
    pub(super) fn holdings(&self, prefix: PrefixHash) -> &[ReportedPrefix] {
        self.holdings.get(&prefix).map_or(&[], Vec::as_slice)
    }
}
