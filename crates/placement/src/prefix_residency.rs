use crate::rendezvous::mix;
use crate::sketch::PrefixHash;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use types::{Milliseconds, MonotonicInstant};

/// What one server is believed to hold, part by part. What was sent there is expected to be held
/// soon; a first token makes it known. Forgotten when first-token times, a failure or a restart speak
/// against it, or when the server has since read so many other tokens that its memory must have made
/// room (it drops what was not used for longest).
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

const BOUND: usize = 16_384;
const LIFE: Milliseconds = Milliseconds::seconds(120);
/// What was sent and has shown no first token after this is expected no more.
const SENT_LIFE: Milliseconds = Milliseconds::seconds(10);

impl PrefixResidency {
    /// How many tokens the server's memory holds; zero: not told.
    pub fn set_memory(&mut self, tokens: u64) {
        self.memory = tokens;
    }
    /// The server has read so many tokens more, whoever sent them.
    pub fn record_prefill(&mut self, tokens: u64) {
        self.prefilled_tokens += tokens;
    }
    /// A prompt is on its way there.
    pub fn record_sent(&mut self, hashes: &[PrefixHash], now: MonotonicInstant) {
        if self.sent.len() > BOUND {
            self.sent.retain(|_, used| now.since(used.at) < SENT_LIFE);
        }
        let used = Used {
            at: now,
            prefilled_tokens: self.prefilled_tokens,
        };
        self.sent.extend(hashes.iter().map(|hash| (*hash, used)));
    }
    /// It came to nothing.
    pub fn forget_sent(&mut self, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.sent.remove(hash);
        }
    }
    /// The server has worked through this prompt, or was given a copy.
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
        if self.parts.len() > BOUND {
            let mut moments: Vec<MonotonicInstant> =
                self.parts.values().map(|used| used.at).collect();
            moments.sort_unstable();
            let oldest_kept = moments[BOUND / 4];
            self.parts.retain(|_, used| used.at > oldest_kept);
        }
    }
    /// It does not hold these after all.
    pub fn evict(&mut self, hashes: &[PrefixHash]) {
        for hash in hashes {
            self.parts.remove(hash);
            self.sent.remove(hash);
        }
    }
    /// Whether it's believed to hold this very prefix.
    pub fn holds(&self, prefix: PrefixHash, now: MonotonicInstant) -> bool {
        self.parts
            .get(&prefix)
            .is_some_and(|used| now.since(used.at) < LIFE && self.has_room_for(used))
    }
    /// Whether it's believed to hold it, or to do so soon.
    pub fn expects(&self, prefix: PrefixHash, now: MonotonicInstant) -> bool {
        self.holds(prefix, now)
            || self
                .sent
                .get(&prefix)
                .is_some_and(|used| now.since(used.at) < SENT_LIFE)
    }
    /// How many leading parts it's believed to hold, or to hold soon.
    pub fn matched(&self, hashes: &[PrefixHash], now: MonotonicInstant) -> u32 {
        hashes
            .iter()
            .take_while(|hash| self.expects(**hash, now))
            .count() as u32
    }
    /// Forgets all.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.sent.clear();
    }

    /// Whether what was read since then leaves it in memory.
    fn has_room_for(&self, used: &Used) -> bool {
        self.memory == 0 || self.prefilled_tokens - used.prefilled_tokens < self.memory
    }
}

#[cfg(test)]
mod tests;
