//! How a simulated router reads a stream: as pieces of the product's own protocol, or as the events that servers of a
//! dialect send. Both are the router's own readers.

use router::{ChunkReader, EventReader, RelayedLine, RunRecord};
use types::{ResultCode, RunId};

/// What a server sends next in a stream.
#[derive(Debug, Clone)]
pub(super) enum ServerLine {
    /// A piece, or the end.
    Record(RunRecord),
    /// What is neither.
    Malformed(&'static str),
    /// A part of an event, with the end of the body right behind it.
    Unterminated(String),
}

/// What a server gone wrong may send in place of an event.
pub(super) const MALFORMED: [&str; 6] = [
    "certainly not\r\n\r\n",
    "data: {}\n\n",
    "id:\ndata: {}\n\n",
    "id: 1000000\nid: 1000001\ndata: {}\n\n",
    "id: 1000000\n\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n",
];

/// Reads a stream at a router.
pub(super) enum StreamReader {
    Chunks(ChunkReader),
    Events(EventReader),
}

impl StreamReader {
    /// Reads this run from this piece on. Every other run is an event stream.
    pub(super) fn new(run: &RunId, from: u64) -> Self {
        if is_event_stream(run) {
            // Events are numbered from 1.
            StreamReader::Events(EventReader::new((from > 0).then_some(from)))
        } else {
            StreamReader::Chunks(ChunkReader::new(run.clone(), from))
        }
    }

    pub(super) fn take(&mut self, line: &ServerLine) -> RelayedLine {
        match (self, line) {
            (StreamReader::Chunks(reader), line) => reader.take(chunk_line(line).as_bytes()),
            (StreamReader::Events(reader), ServerLine::Record(RunRecord::End { pieces, .. })) => {
                finish(reader, *pieces)
            }
            (StreamReader::Events(reader), ServerLine::Unterminated(text)) => {
                reader.push(text.as_bytes());
                match reader.next_event() {
                    Ok(None) => finish(reader, 0),
                    _ => abort("an event without its blank line"),
                }
            }
            (StreamReader::Events(reader), line) => {
                reader.push(event_text(line).as_bytes());
                match reader.next_event() {
                    Ok(Some(event)) => RelayedLine::Chunk(data_of(&event.bytes)),
                    Ok(None) => abort("no event came of it"),
                    Err(malformed) => abort(&malformed.to_string()),
                }
            }
        }
    }
}

pub(super) fn is_event_stream(run: &RunId) -> bool {
    run.0.as_bytes().last().is_some_and(|byte| byte % 2 == 0)
}

/// A line as a server of the product's own protocol sends it.
pub(super) fn chunk_line(line: &ServerLine) -> String {
    match line {
        ServerLine::Record(record) => {
            serde_json::to_string(record).expect("a record is JSON") + "\n"
        }
        ServerLine::Malformed(text) => (*text).to_owned(),
        ServerLine::Unterminated(text) => text.clone(),
    }
}

/// The event that a line is, without its last bytes: at least its blank line is missing, at most all but one byte.
pub(super) fn unterminated(line: &ServerLine, drawn: usize) -> ServerLine {
    let text = event_text(line);
    let length = text.len().saturating_sub(1).max(1);
    ServerLine::Unterminated(text[..1 + drawn % (length - 1).max(1)].to_owned())
}

fn event_text(line: &ServerLine) -> String {
    match line {
        ServerLine::Record(RunRecord::Chunk { n, text, .. }) => {
            let data = serde_json::json!({"n": n, "text": text});
            format!("id: {}\ndata: {data}\n\n", n + 1)
        }
        ServerLine::Record(RunRecord::End { .. }) => String::new(),
        ServerLine::Malformed(text) => (*text).to_owned(),
        ServerLine::Unterminated(text) => text.clone(),
    }
}

fn data_of(event: &[u8]) -> String {
    let text = String::from_utf8_lossy(event);
    let mut lines = text.lines();
    lines
        .find_map(|line| line.strip_prefix("data: "))
        .unwrap_or_default()
        .to_owned()
}

/// The body has ended in order, behind so many pieces.
fn finish(reader: &mut EventReader, pieces: u64) -> RelayedLine {
    match reader.finish() {
        Ok(None) => {
            RelayedLine::End(serde_json::json!({"end": true, "pieces": pieces}).to_string())
        }
        Ok(Some(_)) => abort("an event without its end"),
        Err(malformed) => abort(&malformed.to_string()),
    }
}

fn abort(why: &str) -> RelayedLine {
    RelayedLine::Abort(ResultCode::StreamFault, why.to_owned())
}
