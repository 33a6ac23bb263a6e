//! Where each request on a connection begins and ends, decided before the HTTP library sees a byte of it.
//!
//! A request whose extent two parsers could read differently is rejected: that's how one request is smuggled
//! inside another. What passes is released one request at a time; the next one waits for the response.

mod error;
mod head;

pub(super) use self::error::{MalformedRequest, RequestError};

use self::head::{BodyLength, parse_body_length, parse_field};
use std::ops::Range;

/// Bounds on the size of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a head, request line and last line end included; a longer one gets status 431.
    pub header_bytes: usize,
    /// Bytes of a body, without the framing of chunks; a longer one gets status 413.
    pub body_bytes: usize,
}

/// How much of the current request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestProgress {
    /// No byte.
    Idle,
    /// Some of its head.
    Head,
    /// Its head, and not all of its body.
    Body,
    /// All of it.
    Complete,
    /// Enough to reject it.
    Rejected(RequestError),
}

/// The part of a request that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FramingState {
    Head,
    /// Bytes of a body of known length that are to come.
    KnownLength(u64),
    ChunkSize,
    /// Bytes of a chunk that are to come.
    ChunkData(u64),
    /// The line end behind a chunk's bytes.
    ChunkEnd,
    Trailer,
    Complete,
    Rejected(RequestError),
}

impl FramingState {
    fn malformed(reason: MalformedRequest) -> Self {
        FramingState::Rejected(RequestError::Malformed(reason))
    }
}

/// Bytes of the longest line with a chunk's size, its extensions included, and of the longest trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 256;
const MAX_TRAILER_LINES: u32 = 32;
/// Empty lines that may stand before a request line, by RFC 9112, section 2.2.
const MAX_EMPTY_LINES: u32 = 2;
/// Hexadecimal digits of a chunk's size: as many as surely fit into 64 bits.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// Once this many bytes at the buffer's front were released, they are dropped from it.
const MAX_RELEASED_BUFFERED_BYTES: usize = 64 << 10;
/// Room that the buffer keeps between requests.
const MAX_IDLE_BUFFER_BYTES: usize = 16 << 10;
const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Follows the bytes of one connection.
///
/// Invariants: `released <= checked <= buffer.len()`; only bytes before `checked` are released, a head only
/// as a whole; none of a later request before `next_request`, and none at or behind an error, ever.
#[derive(Debug)]
pub(super) struct RequestFramer {
    buffer: Vec<u8>,
    /// Bytes at the front that were released.
    released: usize,
    /// Bytes at the front that are known to belong to the current request.
    checked: usize,
    /// From here on the end of the head is searched for.
    scanned: usize,
    state: FramingState,
    /// Bytes of the chunked body so far, without its framing.
    body_bytes: u64,
    empty_lines: u32,
    trailer_lines: u32,
}

impl RequestFramer {
    pub(super) fn new() -> Self {
        RequestFramer {
            buffer: Vec::new(),
            released: 0,
            checked: 0,
            scanned: 0,
            state: FramingState::Head,
            body_bytes: 0,
            empty_lines: 0,
            trailer_lines: 0,
        }
    }

    pub(super) fn progress(&self) -> RequestProgress {
        match self.state {
            FramingState::Head if self.buffer.len() == self.checked => RequestProgress::Idle,
            FramingState::Head => RequestProgress::Head,
            FramingState::Complete => RequestProgress::Complete,
            FramingState::Rejected(error) => RequestProgress::Rejected(error),
            FramingState::KnownLength(_)
            | FramingState::ChunkSize
            | FramingState::ChunkData(_)
            | FramingState::ChunkEnd
            | FramingState::Trailer => RequestProgress::Body,
        }
    }

    /// Takes in bytes that came on the connection.
    pub(super) fn push(&mut self, bytes: &[u8], limits: &RequestLimits) {
        self.buffer.extend_from_slice(bytes);
        self.advance(limits);
    }

    /// Bytes that are kept here, with the room for more of them.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Rejects the current request, unless all of it has come.
    pub(super) fn reject(&mut self, error: RequestError) {
        if self.state != FramingState::Complete {
            self.state = FramingState::Rejected(error);
        }
    }

    /// Lets go of all bytes, once nothing of them is to be served.
    pub(super) fn clear(&mut self) {
        *self = RequestFramer {
            state: self.state,
            ..RequestFramer::new()
        };
    }

    /// Begins the request behind the one that is complete.
    pub(super) fn next_request(&mut self, limits: &RequestLimits) {
        if self.state != FramingState::Complete {
            return;
        }
        self.buffer.drain(..self.checked);
        self.buffer.shrink_to(MAX_IDLE_BUFFER_BYTES);
        self.released = 0;
        self.checked = 0;
        self.scanned = 0;
        self.body_bytes = 0;
        self.empty_lines = 0;
        self.trailer_lines = 0;
        self.state = FramingState::Head;
        self.advance(limits);
    }

    /// Whether there are bytes to release.
    pub(super) fn has_releasable(&self) -> bool {
        self.released < self.checked && !matches!(self.state, FramingState::Rejected(_))
    }

    /// Releases bytes of the current request, at most `max_bytes`.
    pub(super) fn release(&mut self, max_bytes: usize) -> &[u8] {
        if !self.has_releasable() {
            return &[];
        }
        if self.released >= MAX_RELEASED_BUFFERED_BYTES {
            self.buffer.drain(..self.released);
            self.checked -= self.released;
            self.released = 0;
        }
        let start = self.released;
        self.released = self.checked.min(start + max_bytes);
        &self.buffer[start..self.released]
    }

    /// Follows what has come, as far as it's certain what it is.
    fn advance(&mut self, limits: &RequestLimits) {
        while let Some(state) = self.next_state(limits) {
            self.state = state;
        }
    }

    /// The state behind the bytes that have come; `None` if more are needed.
    fn next_state(&mut self, limits: &RequestLimits) -> Option<FramingState> {
        match self.state {
            FramingState::Head => self.check_head(limits),
            FramingState::KnownLength(remaining) => match self.skip_body_bytes(remaining)? {
                0 => Some(FramingState::Complete),
                remaining => Some(FramingState::KnownLength(remaining)),
            },
            FramingState::ChunkSize => self.check_chunk_size(limits),
            FramingState::ChunkData(remaining) => match self.skip_body_bytes(remaining)? {
                0 => Some(FramingState::ChunkEnd),
                remaining => Some(FramingState::ChunkData(remaining)),
            },
            FramingState::ChunkEnd => self.check_chunk_end(),
            FramingState::Trailer => self.check_trailer(),
            FramingState::Complete | FramingState::Rejected(_) => None,
        }
    }

    /// Passes over bytes of a body; returns how many are still to come, or `None` if none have come.
    fn skip_body_bytes(&mut self, remaining: u64) -> Option<u64> {
        let available = (self.buffer.len() - self.checked) as u64;
        let skipped = available.min(remaining);
        self.checked += skipped as usize;
        (skipped > 0 || remaining == 0).then_some(remaining - skipped)
    }

    fn check_head(&mut self, limits: &RequestLimits) -> Option<FramingState> {
        if let Some(rejected) = self.skip_empty_lines() {
            return Some(rejected);
        }
        let head_start = self.checked;
        let Some(head_end) = self.find_head_end() else {
            let is_too_large = self.buffer.len() - head_start > limits.header_bytes;
            return is_too_large.then_some(FramingState::Rejected(RequestError::HeadTooLarge));
        };
        if head_end - head_start > limits.header_bytes {
            return Some(FramingState::Rejected(RequestError::HeadTooLarge));
        }
        let head = &self.buffer[head_start..head_end - LINE_END.len()];
        let state = match parse_body_length(head) {
            Err(reason) => return Some(FramingState::malformed(reason)),
            Ok(BodyLength::Known(length)) if length > limits.body_bytes as u64 => {
                return Some(FramingState::Rejected(RequestError::BodyTooLarge));
            }
            Ok(BodyLength::Known(length)) => FramingState::KnownLength(length),
            Ok(BodyLength::Chunked) => FramingState::ChunkSize,
        };
        self.checked = head_end;
        Some(state)
    }

    /// The end of the head in the buffer, if it has come.
    fn find_head_end(&mut self) -> Option<usize> {
        let search_start = self.scanned.max(self.checked);
        let found = find(&self.buffer[search_start..], HEAD_END);
        if found.is_none() {
            // An end may have begun in the last three bytes.
            let searched = self.buffer.len().saturating_sub(HEAD_END.len() - 1);
            self.scanned = searched.max(self.checked);
        }
        found.map(|offset| search_start + offset + HEAD_END.len())
    }

    /// Drops empty lines before a request line; a state if there are too many.
    fn skip_empty_lines(&mut self) -> Option<FramingState> {
        while self.buffer[self.checked..].starts_with(LINE_END) {
            self.empty_lines += 1;
            if self.empty_lines > MAX_EMPTY_LINES {
                return Some(FramingState::malformed(MalformedRequest::TooManyEmptyLines));
            }
            let line_end = self.checked + LINE_END.len();
            self.buffer.drain(self.checked..line_end);
            self.scanned = self.checked;
        }
        None
    }

    /// The line that begins at `checked`, without its end, once it has come.
    fn current_line(&self) -> Result<Option<Range<usize>>, MalformedRequest> {
        let rest = &self.buffer[self.checked..];
        match find(rest, LINE_END) {
            Some(length) if length <= MAX_CHUNK_LINE_BYTES => {
                Ok(Some(self.checked..self.checked + length))
            }
            None if rest.len() <= MAX_CHUNK_LINE_BYTES => Ok(None),
            _ => Err(MalformedRequest::ChunkLineTooLong),
        }
    }

    fn check_chunk_size(&mut self, limits: &RequestLimits) -> Option<FramingState> {
        let line = match self.current_line() {
            Ok(line) => line?,
            Err(reason) => return Some(FramingState::malformed(reason)),
        };
        let Some(size) = parse_chunk_size(&self.buffer[line.clone()]) else {
            return Some(FramingState::malformed(MalformedRequest::ChunkSize));
        };
        self.body_bytes = self.body_bytes.saturating_add(size);
        if self.body_bytes > limits.body_bytes as u64 {
            return Some(FramingState::Rejected(RequestError::BodyTooLarge));
        }
        self.checked = line.end + LINE_END.len();
        Some(match size {
            0 => FramingState::Trailer,
            size => FramingState::ChunkData(size),
        })
    }

    fn check_chunk_end(&mut self) -> Option<FramingState> {
        let rest = &self.buffer[self.checked..];
        if rest.starts_with(LINE_END) {
            self.checked += LINE_END.len();
            return Some(FramingState::ChunkSize);
        }
        if LINE_END.starts_with(rest) {
            return None;
        }
        Some(FramingState::malformed(MalformedRequest::ChunkOverrun))
    }

    fn check_trailer(&mut self) -> Option<FramingState> {
        let line = match self.current_line() {
            Ok(line) => line?,
            Err(reason) => return Some(FramingState::malformed(reason)),
        };
        self.trailer_lines += 1;
        let is_valid = line.is_empty() || parse_field(&self.buffer[line.clone()]).is_ok();
        if !is_valid || self.trailer_lines > MAX_TRAILER_LINES {
            return Some(FramingState::malformed(MalformedRequest::Trailer));
        }
        self.checked = line.end + LINE_END.len();
        Some(if line.is_empty() {
            FramingState::Complete
        } else {
            FramingState::Trailer
        })
    }
}

/// A chunk's size; extensions may follow it.
fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let length = line
        .iter()
        .position(|byte| *byte == b';')
        .unwrap_or(line.len());
    let (digits, extensions) = line.split_at(length);
    let is_plain = !digits.is_empty()
        && digits.len() <= MAX_CHUNK_SIZE_DIGITS
        && digits.iter().all(u8::is_ascii_hexdigit);
    let has_control_byte = extensions
        .iter()
        .any(|byte| !matches!(byte, b'\t' | b' '..=b'~'));
    if !is_plain || has_control_byte {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()
}

/// The offset of the first occurrence of a pattern, which is not empty.
fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    let first = pattern[0];
    let mut start = 0;
    while let Some(offset) = bytes[start..].iter().position(|byte| *byte == first) {
        if bytes[start + offset..].starts_with(pattern) {
            return Some(start + offset);
        }
        start += offset + 1;
    }
    None
}

#[cfg(test)]
mod tests;
