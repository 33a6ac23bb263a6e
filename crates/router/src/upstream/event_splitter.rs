//! Divides a server's event stream into the blocks that blank lines separate.

use bytes::{Bytes, BytesMut};

/// A block has at most so many bytes, as many as any other response of a server.
pub const MAX_BLOCK_BYTES: usize = 8 << 20;

/// A block without an end that exceeds [`MAX_BLOCK_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("a block of over {MAX_BLOCK_BYTES} bytes has no end")]
pub struct BlockTooLong;

/// Divides a server's event stream into blocks, each with the blank line that ends it. Lines end as the format
/// allows: with LF, CR LF or CR.
///
/// Invariant: bytes come out in the order they went in, none twice, in the same blocks however they arrive; a block comes out
/// as soon as its end is there.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Up to here `pending` was scanned.
    scanned: usize,
    scan: LineScan,
    has_ended: bool,
}

/// What ended the line before the current one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum LineEnd {
    /// Nothing: the block begins here.
    #[default]
    Start,
    Lf,
    Cr,
    CrLf,
}

/// Where a scan stands within a block.
#[derive(Debug, Clone, Copy, Default)]
struct LineScan {
    /// Whether the block has a line that is not blank.
    has_content: bool,
    /// Whether the current line has bytes.
    is_in_line: bool,
    last_end: LineEnd,
}

/// What a byte means to the scan of a block.
enum Scanned {
    /// The block goes on.
    Within,
    /// The block ends with this byte.
    EndsHere,
    /// The block ends with this byte, or with the next one if that is a line feed.
    EndsWithLineFeed,
}

impl LineScan {
    fn step(&mut self, byte: u8) -> Scanned {
        let is_blank_line = self.has_content && !self.is_in_line;
        match byte {
            b'\n' if self.last_end == LineEnd::Cr && !self.is_in_line => {
                self.last_end = LineEnd::CrLf;
                Scanned::Within
            }
            b'\n' if is_blank_line => Scanned::EndsHere,
            // Where lines end with a bare CR, a line feed behind it would belong to nothing.
            b'\r' if is_blank_line && self.last_end == LineEnd::Cr => Scanned::EndsHere,
            b'\r' if is_blank_line => Scanned::EndsWithLineFeed,
            b'\n' | b'\r' => {
                self.is_in_line = false;
                self.last_end = if byte == b'\n' {
                    LineEnd::Lf
                } else {
                    LineEnd::Cr
                };
                Scanned::Within
            }
            _ => {
                self.is_in_line = true;
                self.has_content = true;
                Scanned::Within
            }
        }
    }
}

impl EventSplitter {
    /// Returns how many bytes were taken in and not given out.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// The stream has ended: a carriage return that ends a block is not awaited to go on with a line feed.
    pub fn end(&mut self) {
        self.has_ended = true;
    }

    /// Returns the next block, if its end has come. Blank lines before a block are part of it.
    ///
    /// # Errors
    ///
    /// The block is too long.
    pub fn next_block(&mut self) -> Result<Option<Bytes>, BlockTooLong> {
        let Some(end) = self.scan_to_end() else {
            return if self.pending.len() > MAX_BLOCK_BYTES {
                Err(BlockTooLong)
            } else {
                Ok(None)
            };
        };
        Ok(Some(self.take(end)))
    }

    /// Takes out what is left once the stream has ended: what no blank line has ended.
    pub fn take_rest(&mut self) -> Bytes {
        self.take(self.pending.len())
    }

    fn take(&mut self, end: usize) -> Bytes {
        self.scanned = 0;
        self.scan = LineScan::default();
        self.pending.split_to(end).freeze()
    }

    /// Goes on with the scan; where the block ends, if its end is there.
    fn scan_to_end(&mut self) -> Option<usize> {
        while let Some(byte) = self.pending.get(self.scanned) {
            match self.scan.step(*byte) {
                Scanned::Within => self.scanned += 1,
                Scanned::EndsHere => return Some(self.scanned + 1),
                Scanned::EndsWithLineFeed => {
                    let next = self.pending.get(self.scanned + 1);
                    return match next {
                        Some(next) => Some(self.scanned + 1 + usize::from(*next == b'\n')),
                        None => self.has_ended.then_some(self.scanned + 1),
                    };
                }
            }
        }
        None
    }
}

#[cfg(test)]
mod tests;
