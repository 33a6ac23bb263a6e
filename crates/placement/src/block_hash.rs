//! Hashes of a prompt's leading blocks.
//!
//! Source: the prefix block hashes of the paper (BTB, docs/provenance.md).

use crate::rendezvous::mix;
use crate::sketch::PrefixHash;

/// Cuts a prompt into blocks and hashes each with all before it, so equal hashes mean equal
/// prefixes. A last block that is not full has none: its KV is not shared.
pub fn block_hashes(prompt: &[u8], block_bytes: usize, most: usize) -> Vec<PrefixHash> {
    let mut so_far = 0xcbf2_9ce4_8422_2325u64;
    let blocks = prompt.chunks_exact(block_bytes.max(1)).take(most);
    blocks
        .map(|block| {
            for byte in block {
                so_far = (so_far ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
            }
            PrefixHash(mix(so_far))
        })
        .collect()
}

#[cfg(test)]
mod tests;
