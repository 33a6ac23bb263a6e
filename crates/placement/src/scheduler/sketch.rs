//! What this node reports to its peers: hot prefixes, cached prefixes, requests in flight, draining servers.

use crate::rules::BtbRules;
use crate::scheduler::Scheduler;
use crate::server_state::ServerState;
use crate::sketch::{CachedPrefix, HotPrefix, InFlight, Sketch};
use types::{Milliseconds, MonotonicInstant};

/// Hot prefixes of one sketch.
const MAX_HOT_PREFIXES: usize = 64;

/// Servers times prefixes that one sketch looks up.
const MAX_RESIDENCY_LOOKUPS: usize = 16_384;

/// Cached prefixes of one sketch.
const MAX_CACHED_PREFIXES: usize = 512;

impl Scheduler {
    /// Returns what this node reports to its peers at `now`, and numbers it.
    pub fn sketch(&mut self, now: MonotonicInstant) -> Sketch {
        self.sketch_number += 1;
        let span = self.widest_window();
        let hot = self.window.hottest(now, span, MAX_HOT_PREFIXES);
        let holdings = self.cached_prefixes(&hot, now);
        let draining = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_listed && server.is_draining);
        let sketch = Sketch {
            incarnation: self.incarnation,
            number: self.sketch_number,
            hot,
            holdings,
            in_flight: self.in_flight_by_server(),
            draining: draining.map(|(name, _)| name.clone()).collect(),
            missing: None,
        };
        for server in self.servers.values_mut() {
            server.reported_prefilled_tokens = server.prefilled_tokens;
        }
        sketch
    }

    /// The servers expected to hold the hottest and the active prefixes. Hottest first, and only so many
    /// prefixes that looking them up at every server stays cheap.
    fn cached_prefixes(&self, hot: &[HotPrefix], now: MonotonicInstant) -> Vec<CachedPrefix> {
        let max_prefixes = (MAX_RESIDENCY_LOOKUPS / self.servers.len().max(1)).max(8);
        let active = self
            .active
            .keys()
            .copied()
            .filter(|prefix| !hot.iter().any(|hot| hot.prefix == *prefix));
        let prefixes = hot.iter().map(|hot| hot.prefix).chain(active);
        let mut cached = vec![];
        for prefix in prefixes.take(max_prefixes) {
            for (name, server) in &self.servers {
                if server.residency.expects(prefix, now) {
                    cached.push(CachedPrefix {
                        prefix,
                        server: name.clone(),
                        incarnation: server.incarnation.unwrap_or(0),
                        is_shown: server.residency.holds(prefix, now),
                    });
                }
            }
        }
        cached.truncate(MAX_CACHED_PREFIXES);
        cached
    }

    /// What this node has in flight at each server, and what it made each prefill since the last sketch.
    fn in_flight_by_server(&self) -> Vec<InFlight> {
        let is_busy = |server: &ServerState| {
            server.own > 0 || server.prefilled_tokens > server.reported_prefilled_tokens
        };
        self.servers
            .iter()
            .filter(|(_, server)| is_busy(server))
            .map(|(name, server)| InFlight {
                server: name.clone(),
                count: server.own,
                pending_prefill_tokens: server.pending_prefill_tokens,
                tokens: server.tokens,
                prefilled_tokens: server.prefilled_tokens,
            })
            .collect()
    }

    fn widest_window(&self) -> Milliseconds {
        let windows = self
            .rules
            .services
            .values()
            .map(|service| service.btb.window);
        windows.max().unwrap_or(BtbRules::default().window)
    }
}
