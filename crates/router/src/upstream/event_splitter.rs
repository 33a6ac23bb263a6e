use bytes::{Bytes, BytesMut};

/// One event of a stream, with its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number, if it has one.
    pub id: Option<u64>,
    /// As the server sent it.
    pub bytes: Bytes,
}

/// Cuts a server's event stream into whole events, so that no client ever has a part of one when a
/// stream breaks.
///
/// Invariant: bytes come out in the order they went in, none twice; what is `pending` holds no whole
/// event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    /// Up to here no end of an event was found.
    seen: usize,
}

/// An event that is longer is passed on in parts.
const EVENT_MOST: usize = 1 << 20;

impl EventSplitter {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }
    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let from = self.seen.saturating_sub(3);
        let found = end_of_event(&self.pending[from..]).map(|end| from + end);
        let end = match found {
            Some(end) => end,
            None if self.pending.len() > EVENT_MOST => self.pending.len(),
            None => {
                self.seen = self.pending.len();
                return None;
            }
        };
        self.seen = 0;
        let bytes = self.pending.split_to(end).freeze();
        Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        })
    }
    /// What is left once the stream has ended.
    pub fn rest(&mut self) -> Bytes {
        self.seen = 0;
        self.pending.split().freeze()
    }
}

/// Where the first event ends: behind an empty line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
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

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let last = ids.next_back()?;
    std::str::from_utf8(last).ok()?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
