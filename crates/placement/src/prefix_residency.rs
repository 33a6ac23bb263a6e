//! What one server is believed to have in its prefix cache.
//!
//! Source: the "resident copy" of the paper (BTB, docs/provenance.md), inferred here from first-token times.

use crate::rendezvous::mix;
use crate::sketch::PrefixHash;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use types::{Milliseconds, MonotonicInstant};

/// What one server is believed to have cached, block by block. What was sent there is expected to be cached
/// soon; a first token confirms it. Evicted when first-token times, a failure or a restart disprove it, or when
/// the server has since prefilled so many other tokens that its cache must have evicted it (least recently used).
///
/// Invariant: a part counts as matched only if every part before it does.
#[derive(Debug, Clone, Default)]
pub struct PrefixResidency {
    parts: Parts,
    sent: Parts,
    /// Tokens that the server has read so far, as far as known.
    prefilled_tokens: u64,
    /// Tokens that its memory holds; zero: not told.
    memory: u64,
}

type Parts = HashMap<PrefixHash, Used, BuildHasherDefault<AsIs>>;

/// When a part was last used there.
#[derive(Debug, Clone, Copy)]
struct Used {
    at: MonotonicInstant,
    /// What the server had read by then.
    prefilled_tokens: u64,
}

/// Prefix hashes are spread well already. A hasher without a seed: the same events, the same order.
#[derive(Debug, Clone, Copy, Default)]
struct AsIs(u64);

impl Hasher for AsIs {
    fn finish(&self) -> u64 {
        self.0
    }
    fn write(&mut self, bytes: &[u8]) {
        self.0 = bytes
            .iter()
            .fold(self.0, |sum, byte| mix(sum ^ u64::from(*byte)));
    }
    fn write_u64(&mut self, number: u64) {
        self.0 = mix(number);
    }
}

const MAX_BLOCKS: usize = 16_384;
const RESIDENCY_LIFETIME: Milliseconds = Milliseconds::seconds(120);
/// What was sent and has shown no first token after this is expected no more.
const SENT_LIFETIME: Milliseconds = Milliseconds::seconds(10);

impl PrefixResidency {
    /// Sets how many tokens the server's cache has room for; zero means unknown.
    pub fn set_memory(&mut self, tokens: u64) {
        self.memory = tokens;
    }
    /// Records tokens that the server has prefilled, from whichever node.
    pub fn record_prefill(&mut self, tokens: u64) {
        self.prefilled_tokens += tokens;
    }
    /// Records a prompt that was sent there.
    pub fn record_sent(&mut self, hashes: &[PrefixHash], now: MonotonicInstant) {
        if self.sent.len() > MAX_BLOCKS {
            self.sent
                .retain(|_, used| now.since(used.at) < SENT_LIFETIME);
        }
        let used = Used {
            at: now,
            prefilled_tokens: self.prefilled_tokens,
        };
        self.sent.extend(hashes.iter().map(|hash| (*hash, used)));
    }
    /// Forgets a prompt that was sent there and never prefilled.
    pub fn forget_sent(&mut self, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.sent.remove(hash);
        }
    }
    /// Records that the server has prefilled these blocks, or was given a copy of them.
    pub fn record_cached(&mut self, hashes: &[PrefixHash], now: MonotonicInstant) {
        for hash in hashes {
            self.parts.insert(
                *hash,
                Used {
                    at: now,
                    prefilled_tokens: self.prefilled_tokens,
                },
            );
            self.sent.remove(hash);
        }
        if self.parts.len() > MAX_BLOCKS {
            let mut moments: Vec<MonotonicInstant> =
                self.parts.values().map(|used| used.at).collect();
            moments.sort_unstable();
            let oldest_retained = moments[MAX_BLOCKS / 4];
            self.parts.retain(|_, used| used.at > oldest_retained);
        }
    }
    /// Evicts blocks that the server does not have.
    pub fn evict(&mut self, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.parts.remove(hash);
            self.sent.remove(hash);
        }
    }
    /// Whether the server is believed to have this prefix cached.
    pub fn holds(&self, prefix: PrefixHash, now: MonotonicInstant) -> bool {
        self.parts.get(&prefix).is_some_and(|used| {
            now.since(used.at) < RESIDENCY_LIFETIME && self.fits_in_memory(used)
        })
    }
    /// Whether the server is believed to have this prefix cached, or to have it soon.
    pub fn expects(&self, prefix: PrefixHash, now: MonotonicInstant) -> bool {
        self.holds(prefix, now)
            || self
                .sent
                .get(&prefix)
                .is_some_and(|used| now.since(used.at) < SENT_LIFETIME)
    }
    /// Returns how many leading blocks are believed to be cached, or to be so soon.
    pub fn matched(&self, hashes: &[PrefixHash], now: MonotonicInstant) -> u32 {
        hashes
            .iter()
            .take_while(|hash| self.expects(**hash, now))
            .count() as u32
    }
    /// Forgets all blocks, as after a restart.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.sent.clear();
    }

    /// Whether what was read since then leaves it in memory.
    fn fits_in_memory(&self, used: &Used) -> bool {
        self.memory == 0 || self.prefilled_tokens - used.prefilled_tokens < self.memory
    }
}

#[cfg(test)]
mod tests;
