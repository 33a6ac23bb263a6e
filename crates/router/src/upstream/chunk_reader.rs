use crate::interface::RunPiece;
use types::{ResultCode, RunId};

/// What a line of a server's stream comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Passed {
    /// A line for the client.
    Piece(String),
    /// The client's final record.
    End(String),
    /// The stream is cut here: nothing of this line is given.
    Cut(ResultCode, String),
}

/// Reads one run's stream, line by line.
///
/// Invariant: what is given to the client is pieces of this run alone, from the first that was asked for
/// on, each once and in order; the final record only after all that it counts.
#[derive(Debug, Clone)]
pub struct ChunkReader {
    run: RunId,
    next: u64,
}

impl ChunkReader {
    /// For this run, from this piece on.
    pub fn new(run: RunId, from: u64) -> Self {
        ChunkReader { run, next: from }
    }
    /// Takes a line; one without its end is torn.
    pub fn take(&mut self, line: &[u8]) -> Passed {
        if !line.ends_with(b"\n") {
            return Passed::Cut(
                ResultCode::Broken,
                "the stream ended without its final record".into(),
            );
        }
        match serde_json::from_slice::<RunPiece>(line) {
            Ok(RunPiece::Piece { run, n, text }) if run == self.run && n == self.next => {
                self.next += 1;
                Passed::Piece(format!("{}\n", serde_json::json!({"n": n, "text": text})))
            }
            Ok(RunPiece::End {
                run,
                end: true,
                pieces,
            }) if run == self.run && pieces == self.next => {
                let word = ResultCode::Complete.word();
                Passed::End(format!(
                    "{}\n",
                    serde_json::json!({"end": true, "pieces": pieces, "result": word})
                ))
            }
            Ok(_) => Passed::Cut(
                ResultCode::StreamFault,
                "the server's pieces were out of order".into(),
            ),
            Err(fault) => Passed::Cut(ResultCode::StreamFault, fault.to_string()),
        }
    }
}

#[cfg(test)]
mod tests;
