//! Divides a server's event stream into the blocks that blank lines separate.

use bytes::{Bytes, BytesMut};

/// A block has at most so many bytes.
pub const MAX_BLOCK_BYTES: usize = 1 << 20;

/// A block without an end that exceeds [`MAX_BLOCK_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a block of over {MAX_BLOCK_BYTES} bytes has no end")]
pub struct BlockTooLong;

/// Divides a server's event stream into blocks, each with the blank line that ends it.
///
/// Invariant: bytes come out in the order they went in, none twice, in the same blocks however they arrive.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Up to here no end of a block was found.
    scanned: usize,
}

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next block, if its end has come.
    ///
    /// # Errors
    ///
    /// The block is too long.
    pub fn next_block(&mut self) -> Result<Option<Bytes>, BlockTooLong> {
        let from = self.scanned.saturating_sub(3);
        match end_of_block(&self.pending[from..]) {
            Some(end) => Ok(Some(self.take(from + end))),
            None if self.pending.len() > MAX_BLOCK_BYTES => Err(BlockTooLong),
            None => {
                self.scanned = self.pending.len();
                Ok(None)
            }
        }
    }

    /// Takes out what is left once the stream has ended.
    pub fn take_rest(&mut self) -> Bytes {
        self.take(self.pending.len())
    }

    fn take(&mut self, end: usize) -> Bytes {
        self.scanned = 0;
        self.pending.split_to(end).freeze()
    }
}

/// Where the first block ends: behind an empty line.
fn end_of_block(bytes: &[u8]) -> Option<usize> {
    let mut place = 0;
    while let Some(found) = bytes[place..].iter().position(|byte| *byte == b'\n') {
        let next = place + found + 1;
        match &bytes[next..] {
            [b'\n', ..] => return Some(next + 1),
            [b'\r', b'\n', ..] => return Some(next + 2),
            _ => place = next,
        }
    }
    None
}

#[cfg(test)]
mod tests;
