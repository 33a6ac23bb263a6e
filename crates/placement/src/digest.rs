//! Sketches in the compact form that nodes send to each other, and their sums.
//!
//! Source: own (docs/dissemination.md); the paper (BTB) has one router.

use crate::rendezvous::{key_of, mix};
use crate::sketch::{CachedPrefix, HotPrefix, InFlight, PrefixHash, Sketch};
use std::collections::{BTreeMap, BTreeSet};
use types::{Address, ServerName, messages};

/// What a digest counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DigestKey {
    /// Arrivals of a prefix within the window.
    HotPrefix(PrefixHash),
    /// Requests in flight at a server, by [`server_key`] of its name.
    Load(u32),
    /// Prompt tokens of them that are yet to be prefilled, in units of 128.
    PendingPrefill(u32),
    /// Tokens that they take of its memory, in units of 1,024.
    Memory(u32),
    /// Nodes that believe a server to hold a prefix, by [`incarnation_key`].
    Cached(PrefixHash, u32),
    /// Nodes that know a server to be draining, by [`server_key`].
    Draining(u32),
}

/// A sketch, or the sum of many, in the compact form that nodes send to each other.
///
/// Invariants: no count is zero. All counts add up, so a sum less one of its parts is the sum of the
/// rest.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Digest {
    counts: BTreeMap<DigestKey, u16>,
    /// Members whose reports should be in it and are not.
    pub missing: BTreeSet<Address>,
}

messages! {
    /// What makes a digest of the one before: the new counts of what changed, zero for what is gone.
    #[derive(Eq, Default)]
    pub struct DigestChange {
        /// Hot prefixes.
        pub hot: Vec<u64>,
        /// Arrivals of each within the window.
        pub hot_counts: Vec<u16>,
        /// Servers with requests in flight.
        pub loads: Vec<u32>,
        /// Requests in flight at each.
        pub load_counts: Vec<u16>,
        /// Servers with prompts yet to be prefilled.
        pub pending_prefill_tokens: Vec<u32>,
        /// Units of tokens at each.
        pub pending_prefill_counts: Vec<u16>,
        /// Servers whose memory is taken.
        pub memory: Vec<u32>,
        /// Units of tokens at each.
        pub memory_counts: Vec<u16>,
        /// Prefixes that are cached.
        pub cached: Vec<u64>,
        /// Where: incarnations of servers, by [`incarnation_key`].
        pub cached_by: Vec<u32>,
        /// As so many nodes believe.
        pub cached_counts: Vec<u16>,
        /// Servers that are draining.
        pub draining: Vec<u32>,
        /// As so many nodes know.
        pub draining_counts: Vec<u16>,
        /// Members that are not in it: always all of them.
        pub missing: Vec<Address>,
    }
}

/// Hot prefixes of one node, and of a sum.
const MAX_HOT: [usize; 2] = [64, 192];
/// Beliefs about holders of one node, and of a sum.
const MAX_CACHED: [usize; 2] = [96, 256];
/// Servers of any digest.
const MAX_LOADS: usize = 2048;
const MAX_DRAINING: usize = 256;

/// Tokens of a unit in which unread prompts are told.
pub(crate) const PREFILL_UNIT: u64 = 128;
/// Tokens of a unit in which memory is told.
pub(crate) const MEMORY_UNIT: u64 = 1024;

/// A server's name as a number. Two that meet, one pair in some millions, are counted together.
pub fn server_key(server: &ServerName) -> u32 {
    (key_of(server.as_str()) >> 32) as u32
}

/// A server's incarnation as a number, with whether a first token has shown what is believed.
pub fn incarnation_key(server: &ServerName, incarnation: u64, is_shown: bool) -> u32 {
    (mix(key_of(server.as_str()) ^ incarnation) >> 32) as u32 & !1 | u32::from(is_shown)
}

impl Digest {
    /// Makes the digest of one node's sketch.
    pub fn of(sketch: &Sketch) -> Digest {
        let mut digest = Digest::default();
        let capped = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        sketch
            .hot
            .iter()
            .for_each(|hot| digest.more(DigestKey::HotPrefix(hot.prefix), capped(hot.count)));
        for busy in &sketch.in_flight {
            let server = server_key(&busy.server);
            let units =
                |tokens: u64, unit: u64| tokens.div_ceil(unit).min(u64::from(u16::MAX)) as u16;
            digest.more(DigestKey::Load(server), capped(busy.count));
            digest.more(
                DigestKey::PendingPrefill(server),
                units(busy.pending_prefill_tokens, PREFILL_UNIT),
            );
            digest.more(DigestKey::Memory(server), units(busy.tokens, MEMORY_UNIT));
        }
        for cached in sketch.holdings.iter().take(MAX_CACHED[0]) {
            digest.more(
                DigestKey::Cached(
                    cached.prefix,
                    incarnation_key(&cached.server, cached.incarnation, cached.is_shown),
                ),
                1,
            );
        }
        sketch
            .draining
            .iter()
            .for_each(|server| digest.more(DigestKey::Draining(server_key(server)), 1));
        digest.bound(MAX_HOT[0], MAX_CACHED[0]);
        digest
    }

    /// Returns what it says of `servers`, each with its incarnation, as a sketch. `number` must grow.
    pub fn sketch<'a>(
        &self,
        incarnation: u64,
        number: u64,
        servers: impl Iterator<Item = (&'a ServerName, u64)>,
    ) -> Sketch {
        let known = KnownServers::new(servers);
        let mut sketch = Sketch {
            incarnation,
            number,
            missing: Some(self.missing.iter().copied().collect()),
            ..Sketch::default()
        };
        for (key, count) in &self.counts {
            match *key {
                DigestKey::HotPrefix(prefix) => sketch.hot.push(HotPrefix {
                    prefix,
                    count: u32::from(*count),
                }),
                DigestKey::Load(server) => {
                    let load = |name| self.in_flight(name, server, *count);
                    sketch.in_flight.extend(known.name(server).map(load));
                }
                // Both are part of the server's load.
                DigestKey::PendingPrefill(_) | DigestKey::Memory(_) => {}
                DigestKey::Cached(prefix, key) => {
                    sketch.holdings.extend(known.cached_prefix(prefix, key));
                }
                DigestKey::Draining(server) => sketch.draining.extend(known.name(server).cloned()),
            }
        }
        // Where both are reported, a confirmed one counts: it must come last.
        sketch.holdings.sort_by_key(|cached| cached.is_shown);
        sketch
    }

    /// The load at one server.
    fn in_flight(&self, name: &ServerName, server: u32, count: u16) -> InFlight {
        let pending = u64::from(self.count(DigestKey::PendingPrefill(server)));
        let memory = u64::from(self.count(DigestKey::Memory(server)));
        InFlight {
            server: name.clone(),
            count: u32::from(count),
            pending_prefill_tokens: pending * PREFILL_UNIT,
            tokens: memory * MEMORY_UNIT,
            prefilled_tokens: 0,
        }
    }

    /// Whether it has no counts.
    pub fn is_empty(&self) -> bool {
        self.counts.is_empty()
    }
    /// Returns the number of its counts.
    pub fn len(&self) -> usize {
        self.counts.len()
    }
    /// Returns the count of a key, zero where there is none.
    pub fn count(&self, key: DigestKey) -> u16 {
        self.counts.get(&key).copied().unwrap_or(0)
    }
    /// Adds to the count of a key.
    pub fn more(&mut self, key: DigestKey, count: u16) {
        if count > 0 {
            let slot = self.counts.entry(key).or_default();
            *slot = slot.saturating_add(count);
        }
    }
    /// Adds the counts of another digest.
    pub fn add(&mut self, other: &Digest) {
        other
            .counts
            .iter()
            .for_each(|(key, count)| self.more(*key, *count));
    }
    /// Subtracts the counts of a part of it.
    pub fn subtract(&mut self, part: &Digest) {
        for (key, count) in &part.counts {
            if let Some(slot) = self.counts.get_mut(key) {
                *slot = slot.saturating_sub(*count);
            }
        }
        self.counts.retain(|_, count| *count > 0);
    }
    /// Keeps the highest counts of a sum, so that its size is bounded whatever the fleet's is.
    pub fn bound_sum(&mut self) {
        self.bound(MAX_HOT[1], MAX_CACHED[1]);
    }

    fn bound(&mut self, hot: usize, cached: usize) {
        type IsKind = fn(&DigestKey) -> bool;
        let kinds: [(usize, IsKind); 6] = [
            (hot, |key| matches!(key, DigestKey::HotPrefix(_))),
            (cached, |key| matches!(key, DigestKey::Cached(..))),
            (MAX_LOADS, |key| matches!(key, DigestKey::Load(_))),
            (MAX_LOADS, |key| matches!(key, DigestKey::PendingPrefill(_))),
            (MAX_LOADS, |key| matches!(key, DigestKey::Memory(_))),
            (MAX_DRAINING, |key| matches!(key, DigestKey::Draining(_))),
        ];
        for (most, is_kind) in kinds {
            let mut those: Vec<(u16, DigestKey)> = self
                .counts
                .iter()
                .filter(|(key, _)| is_kind(key))
                .map(|(key, count)| (*count, *key))
                .collect();
            if those.len() > most {
                those.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
                for (_, key) in &those[most..] {
                    self.counts.remove(key);
                }
            }
        }
    }

    /// Returns the change to send to a peer that has acknowledged `acknowledged`; `None` if nothing changed. Large
    /// counts are sent again only once they are off by more than an eighth.
    pub fn change_from(&self, acknowledged: &Digest) -> Option<DigestChange> {
        let mut change = DigestChange::default();
        let mut is_any = self.missing != acknowledged.missing;
        let gone = acknowledged
            .counts
            .keys()
            .filter(|key| !self.counts.contains_key(key))
            .map(|key| (*key, 0));
        let new = self.counts.iter().map(|(key, count)| (*key, *count));
        for (key, count) in gone.chain(new) {
            let old = acknowledged.count(key);
            let is_close =
                old > 0 && count > 0 && u32::from(old.abs_diff(count)) * 8 <= u32::from(old);
            if old == count || is_close {
                continue;
            }
            is_any = true;
            change.put(key, count);
        }
        change.missing = self.missing.iter().copied().collect();
        is_any.then_some(change)
    }

    /// Applies a change.
    pub fn apply(&mut self, change: &DigestChange) {
        for (key, count) in change.entries() {
            self.counts.remove(&key);
            self.more(key, count);
        }
        self.missing = change.missing.iter().copied().collect();
    }
}

/// The servers that are known here, by the numbers that digests have for them.
struct KnownServers<'a> {
    names: BTreeMap<u32, &'a ServerName>,
    incarnations: BTreeMap<u32, (&'a ServerName, u64)>,
}

impl<'a> KnownServers<'a> {
    fn new(servers: impl Iterator<Item = (&'a ServerName, u64)>) -> Self {
        let mut known = KnownServers {
            names: BTreeMap::new(),
            incarnations: BTreeMap::new(),
        };
        for (name, incarnation) in servers {
            let key = incarnation_key(name, incarnation, false);
            known.names.insert(server_key(name), name);
            known.incarnations.insert(key, (name, incarnation));
        }
        known
    }

    fn name(&self, server: u32) -> Option<&'a ServerName> {
        self.names.get(&server).copied()
    }

    /// The lowest bit of the key says whether a first token has confirmed that the prefix is cached.
    fn cached_prefix(&self, prefix: PrefixHash, key: u32) -> Option<CachedPrefix> {
        let (name, incarnation) = self.incarnations.get(&(key & !1))?;
        Some(CachedPrefix {
            prefix,
            server: (*name).clone(),
            incarnation: *incarnation,
            is_shown: key & 1 == 1,
        })
    }
}

impl DigestChange {
    fn put(&mut self, key: DigestKey, count: u16) {
        match key {
            DigestKey::HotPrefix(prefix) => {
                self.hot.push(prefix.0);
                self.hot_counts.push(count);
            }
            DigestKey::Load(server) => {
                self.loads.push(server);
                self.load_counts.push(count);
            }
            DigestKey::PendingPrefill(server) => {
                self.pending_prefill_tokens.push(server);
                self.pending_prefill_counts.push(count);
            }
            DigestKey::Memory(server) => {
                self.memory.push(server);
                self.memory_counts.push(count);
            }
            DigestKey::Cached(prefix, incarnation) => {
                self.cached.push(prefix.0);
                self.cached_by.push(incarnation);
                self.cached_counts.push(count);
            }
            DigestKey::Draining(server) => {
                self.draining.push(server);
                self.draining_counts.push(count);
            }
        }
    }

    fn entries(&self) -> impl Iterator<Item = (DigestKey, u16)> + '_ {
        let hot = self
            .hot
            .iter()
            .zip(&self.hot_counts)
            .map(|(prefix, n)| (DigestKey::HotPrefix(PrefixHash(*prefix)), *n));
        let loads = self
            .loads
            .iter()
            .zip(&self.load_counts)
            .map(|(server, n)| (DigestKey::Load(*server), *n));
        let cached = self
            .cached
            .iter()
            .zip(&self.cached_by)
            .zip(&self.cached_counts);
        let cached = cached.map(|((prefix, incarnation), n)| {
            (DigestKey::Cached(PrefixHash(*prefix), *incarnation), *n)
        });
        let draining = self
            .draining
            .iter()
            .zip(&self.draining_counts)
            .map(|(s, n)| (DigestKey::Draining(*s), *n));
        let pending_prefill_tokens = self
            .pending_prefill_tokens
            .iter()
            .zip(&self.pending_prefill_counts)
            .map(|(s, n)| (DigestKey::PendingPrefill(*s), *n));
        let memory = self
            .memory
            .iter()
            .zip(&self.memory_counts)
            .map(|(s, n)| (DigestKey::Memory(*s), *n));
        hot.chain(loads)
            .chain(pending_prefill_tokens)
            .chain(memory)
            .chain(cached)
            .chain(draining)
    }

    /// Returns about how many bytes it takes in a message.
    pub fn bytes(&self) -> u64 {
        let (hot, loads, cached) = (
            self.hot.len() * 10,
            self.loads.len() * 6,
            self.cached.len() * 14,
        );
        let tokens = (self.pending_prefill_tokens.len() + self.memory.len()) * 6;
        (hot + loads + tokens + cached + self.draining.len() * 6 + self.missing.len() * 8) as u64
    }
}

#[cfg(test)]
mod tests;
