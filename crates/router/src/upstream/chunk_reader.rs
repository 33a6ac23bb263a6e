//! Reads the chunks of one run from a server, in order, and makes the client's lines of them.

use crate::interface::RunRecord;
use types::{ResultCode, RunId};

/// What one line of a server's stream becomes on the client's side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayedLine {
    /// A line for the client.
    Chunk(String),
    /// The client's final record.
    End(String),
    /// The stream is aborted here, for this reason; nothing of this line is relayed.
    Abort(ResultCode, String),
}

/// Reads one run's stream, line by line.
///
/// Invariant: what is relayed to the client is chunks of this run alone, from the first that was asked for
/// on, each once and in order; the final record only after all that it counts.
#[derive(Debug, Clone)]
pub struct ChunkReader {
    run: RunId,
    next: u64,
}

impl ChunkReader {
    /// Reads this run, from this chunk number on.
    pub fn new(run: RunId, from: u64) -> Self {
        ChunkReader { run, next: from }
    }
    /// Takes one line of the stream; a line without its newline is truncated and aborts the stream.
    pub fn take(&mut self, line: &[u8]) -> RelayedLine {
        if !line.ends_with(b"\n") {
            return RelayedLine::Abort(
                ResultCode::Broken,
                "the stream ended without its final record".into(),
            );
        }
        match serde_json::from_slice::<RunRecord>(line) {
            Ok(RunRecord::Chunk { run, n, text }) if run == self.run && n == self.next => {
                self.next += 1;
                RelayedLine::Chunk(format!("{}\n", serde_json::json!({"n": n, "text": text})))
            }
            Ok(RunRecord::End {
                run,
                end: true,
                pieces,
            }) if run == self.run && pieces == self.next => {
                let word = ResultCode::Complete.word();
                RelayedLine::End(format!(
                    "{}\n",
                    serde_json::json!({"end": true, "pieces": pieces, "result": word})
                ))
            }
            Ok(_) => RelayedLine::Abort(
                ResultCode::StreamFault,
                "the server's pieces were out of order".into(),
            ),
            Err(fault) => RelayedLine::Abort(ResultCode::StreamFault, fault.to_string()),
        }
    }
}

#[cfg(test)]
mod tests;
