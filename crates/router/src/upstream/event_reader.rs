//! Reads the events of one server's stream, and finds what is no event of it.
//!
//! An event is what the protocol of streams allows: lines of fields in UTF-8 with one id, a number above those before
//! it, and with data, up to the blank line that ends them. A server in trouble may send anything else, and once it has,
//! nothing behind it can be told from it; it may also break off in the middle of an event.

use crate::upstream::event_splitter::{BlockTooLong, EventSplitter, MAX_BLOCK_BYTES};
use bytes::{Bytes, BytesMut};

/// One event of a stream, with its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number.
    pub id: u64,
    /// As the server sent it, with the comments and blank lines before it.
    pub bytes: Bytes,
}

/// What is wrong with a block of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// It is too long.
    #[error(transparent)]
    TooLong(BlockTooLong),
    /// It is not text.
    #[error("it is not UTF-8")]
    NotText,
    /// It has a line that is no field.
    #[error("it has a line that is no field")]
    NoField,
    /// It has no id, or more than one.
    #[error("it has {0} ids")]
    IdCount(usize),
    /// Its id is no number.
    #[error("its id is no number")]
    IdNoNumber,
    /// Its number is not above the one before it.
    #[error("its number {id} does not follow {last}")]
    NotRising {
        /// Its number.
        id: u64,
        /// The number of the event before it.
        last: u64,
    },
    /// It has no data.
    #[error("it has no data")]
    NoData,
    /// The body has ended before a blank line ended it.
    #[error("the body ended in its middle")]
    Unterminated,
}

/// Bytes of a stream that are no event of it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("its stream has what is no event: {error}")]
pub struct MalformedEvent {
    /// What is wrong with them.
    pub error: EventError,
    /// As the server sent them.
    pub bytes: Bytes,
}

/// Reads the events of one server's stream.
///
/// Invariants: what comes out are events alone, each as it was sent, with rising numbers above the one that the client has
/// already. Behind what is no event nothing comes out.
#[derive(Debug, Default)]
pub struct EventReader {
    splitter: EventSplitter,
    /// The client has the events up to this one.
    received: Option<u64>,
    /// The number of the last event of this server.
    last: Option<u64>,
    /// Comments and blank lines, which go on with the event behind them.
    preamble: BytesMut,
}

impl EventReader {
    /// Reads a stream for a client that has the events up to `received`.
    pub fn new(received: Option<u64>) -> Self {
        EventReader {
            received,
            ..EventReader::default()
        }
    }

    /// Returns how many bytes wait for the end of their event.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.splitter.pending_bytes() + self.preamble.len()
    }

    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.splitter.push(bytes);
    }

    /// Returns the next event that is new to the client, if it has come.
    ///
    /// # Errors
    ///
    /// The next block is no event of the stream, which must not be read on.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, MalformedEvent> {
        loop {
            let block = match self.splitter.next_block() {
                Ok(Some(block)) => block,
                Ok(None) => return Ok(None),
                Err(error) => return Err(self.malformed(EventError::TooLong(error))),
            };
            if let Some(event) = self.read_block(block)? {
                return Ok(Some(event));
            }
        }
    }

    /// Returns the last event, if the end of the body shows that a carriage return ended it; called once the body has ended in
    /// order. Comments and blank lines may be left then.
    ///
    /// # Errors
    ///
    /// What is left is a part of an event, or no event of the stream.
    pub fn finish(&mut self) -> Result<Option<StreamEvent>, MalformedEvent> {
        self.splitter.end();
        if let Some(event) = self.next_event()? {
            return Ok(Some(event));
        }
        let rest = self.splitter.take_rest();
        match self.unterminated(&rest) {
            Some(error) => Err(MalformedEvent { error, bytes: rest }),
            None => {
                self.preamble.extend_from_slice(&rest);
                Ok(None)
            }
        }
    }

    /// What is wrong with the bytes behind the last blank line, unless they are comments and blank lines.
    fn unterminated(&self, rest: &[u8]) -> Option<EventError> {
        let Ok(text) = std::str::from_utf8(self.without_bom(rest)) else {
            return Some(EventError::NotText);
        };
        let mut lines = text.split(['\n', '\r']);
        let are_comments = lines.all(|line| line.is_empty() || line.starts_with(':'));
        (!are_comments).then_some(EventError::Unterminated)
    }

    /// Returns the comments and blank lines behind the last event.
    pub fn take_trailer(&mut self) -> Bytes {
        self.preamble.split().freeze()
    }

    /// Returns the number of the last event that came, or that the client has.
    pub(crate) fn last_id(&self) -> u64 {
        self.last.or(self.received).unwrap_or(0)
    }

    /// Returns the number of the last event that the client has, or gets next.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.last.max(self.received)
    }

    fn read_block(&mut self, block: Bytes) -> Result<Option<StreamEvent>, MalformedEvent> {
        let id = match self.number_of(&block) {
            Ok(id) => id,
            Err(error) => {
                return Err(MalformedEvent {
                    error,
                    bytes: block,
                });
            }
        };
        let Some(id) = id else {
            self.preamble.extend_from_slice(&block);
            return if self.preamble.len() > MAX_BLOCK_BYTES {
                Err(self.malformed(EventError::TooLong(BlockTooLong)))
            } else {
                Ok(None)
            };
        };
        self.last = Some(id);
        let bytes = self.with_preamble(block);
        let is_new = self.received.is_none_or(|received| id > received);
        Ok(is_new.then_some(StreamEvent { id, bytes }))
    }

    /// The number of the event that a block is; `None` where it is of comments and blank lines.
    fn number_of(&self, block: &[u8]) -> Result<Option<u64>, EventError> {
        let Some(id) = event_number(self.without_bom(block))? else {
            return Ok(None);
        };
        match self.last {
            Some(last) if id <= last => Err(EventError::NotRising { id, last }),
            _ => Ok(Some(id)),
        }
    }

    /// The block without the mark that may stand at the start of a stream.
    fn without_bom<'a>(&self, block: &'a [u8]) -> &'a [u8] {
        match self.last {
            None => block.strip_prefix(UTF8_BOM).unwrap_or(block),
            Some(_) => block,
        }
    }

    fn with_preamble(&mut self, block: Bytes) -> Bytes {
        if self.preamble.is_empty() {
            return block;
        }
        let mut bytes = self.preamble.split();
        bytes.extend_from_slice(&block);
        bytes.freeze()
    }

    fn malformed(&mut self, error: EventError) -> MalformedEvent {
        let bytes = self.splitter.take_rest();
        MalformedEvent { error, bytes }
    }
}

/// The byte order mark that a stream may begin with.
const UTF8_BOM: &[u8] = "\u{feff}".as_bytes();

/// One line of a block.
enum Line<'a> {
    /// Blank, a comment, or a field that says nothing of an event: `event` and `retry`.
    Neutral,
    Id(&'a str),
    Data,
    /// A field beyond those of the format.
    Extension,
}

/// The number of the event that a block is; `None` where nothing in it belongs to an event.
fn event_number(block: &[u8]) -> Result<Option<u64>, EventError> {
    let text = std::str::from_utf8(block).map_err(|_| EventError::NotText)?;
    let (mut id, mut id_count, mut has_data, mut has_extension) = ("", 0, false, false);
    for line in text.split(['\n', '\r']) {
        match read_line(line)? {
            Line::Neutral => {}
            Line::Id(value) => {
                id = value;
                id_count += 1;
            }
            Line::Data => has_data = true,
            Line::Extension => has_extension = true,
        }
    }
    match id_count {
        0 if !has_data && !has_extension => Ok(None),
        1 if has_data => read_number(id).map(Some),
        1 => Err(EventError::NoData),
        _ => Err(EventError::IdCount(id_count)),
    }
}

/// Reads a line without its end.
fn read_line(line: &str) -> Result<Line<'_>, EventError> {
    if line.is_empty() || line.starts_with(':') {
        return Ok(Line::Neutral);
    }
    let (name, value) = match line.split_once(':') {
        Some((name, value)) => (name, Some(value)),
        None => (line, None),
    };
    match name {
        "id" => Ok(Line::Id(value.unwrap_or_default())),
        "data" => Ok(Line::Data),
        "event" | "retry" => Ok(Line::Neutral),
        _ if value.is_some() && is_field_name(name) => Ok(Line::Extension),
        _ => Err(EventError::NoField),
    }
}

fn is_field_name(name: &str) -> bool {
    let is_part = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_');
    name.bytes().all(is_part)
}

fn read_number(id: &str) -> Result<u64, EventError> {
    let digits = id.trim_matches(' ');
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(EventError::IdNoNumber);
    }
    digits.parse().map_err(|_| EventError::IdNoNumber)
}

#[cfg(test)]
mod tests;
