//! Relays the stream of a run from its server to its client, line by line.

use crate::admin::metrics::Metrics;
use crate::control::node::NodeInput;
use crate::request::in_flight::InFlightGuard;
use crate::shared::Shared;
use crate::upstream::chunk_reader::{ChunkReader, RelayedLine};
use crate::upstream::server_client::CONNECT_TIMEOUT;
use placement::{Event, Outcome};
use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use transport::{BodyChunk, BodySource, HttpResponse, Response, http_delete};
use types::{Milliseconds, RequestId, ResultCode, RunId, ServerName};

/// A line of a server's stream has at most so many bytes.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Which run is relayed, and from which chunk on.
pub(crate) struct RunStream {
    pub request: RequestId,
    pub server: ServerName,
    pub run: RunId,
    /// The number of the first chunk.
    pub from: u64,
    /// Whether the client holds a token to resume it.
    pub is_resumable: bool,
    /// Whether this is the first reader of the run, whose outcome is the outcome of the request.
    pub is_first_read: bool,
}

/// One step of the stream, from the reader of the server to the client.
enum StreamStep {
    Line(String),
    End(String),
    Abort,
}

/// The client's side of a stream.
struct StreamBody {
    inbox: flume::Receiver<StreamStep>,
    head: Option<String>,
    shared: Arc<Shared>,
    server: ServerName,
    run: RunId,
    does_cancel: bool,
    is_over: bool,
    is_aborted: bool,
    has_disconnected: Arc<AtomicBool>,
    _guard: InFlightGuard,
}

impl BodySource for StreamBody {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(head) = self.head.take() {
            return BodyChunk::Data(head.into_bytes().into());
        }
        if self.is_over {
            return BodyChunk::End;
        }
        match self.inbox.recv_timeout(timeout) {
            Ok(StreamStep::Line(line)) => BodyChunk::Data(line.into_bytes().into()),
            Ok(StreamStep::End(line)) => {
                self.is_over = true;
                Metrics::more(&self.shared.metrics.complete);
                BodyChunk::Data(line.into_bytes().into())
            }
            Ok(StreamStep::Abort) | Err(flume::RecvTimeoutError::Disconnected) => {
                self.is_aborted = true;
                Metrics::more(&self.shared.metrics.broken);
                BodyChunk::Abort
            }
            Err(flume::RecvTimeoutError::Timeout) => BodyChunk::Pending,
        }
    }
}

impl Drop for StreamBody {
    fn drop(&mut self) {
        if self.is_over || self.is_aborted {
            return;
        }
        // The client has disconnected. A run that may be resumed goes on without it.
        self.has_disconnected.store(true, Ordering::SeqCst);
        Metrics::more(&self.shared.metrics.gone);
        if self.does_cancel {
            let url = format!("http://{}/runs/{}", self.server, self.run);
            if let Err(error) = http_delete(&url, CONNECT_TIMEOUT, Milliseconds(1000)) {
                tracing::debug!(run = %self.run, %error, "run not cancelled");
            }
        }
    }
}

/// Phase "relay": starts reading the server's stream and returns the client's side of it. `head` is the first line.
pub(crate) fn relay(
    shared: &Arc<Shared>,
    guard: InFlightGuard,
    stream: RunStream,
    head: serde_json::Value,
    response: HttpResponse,
) -> Response {
    let (outbox, inbox) = flume::bounded(16);
    let request = stream.request.clone();
    let has_disconnected = Arc::new(AtomicBool::new(false));
    let source = StreamBody {
        inbox,
        head: Some(format!("{head}\n")),
        shared: shared.clone(),
        server: stream.server.clone(),
        run: stream.run.clone(),
        does_cancel: !stream.is_resumable,
        is_over: false,
        is_aborted: false,
        has_disconnected: has_disconnected.clone(),
        _guard: guard,
    };
    let reader = shared.clone();
    let spawned = std::thread::Builder::new()
        .name("carrier".into())
        .spawn(move || read_run(&reader, &stream, response, &outbox, &has_disconnected));
    if let Err(error) = spawned {
        tracing::warn!(%error, "no thread to relay a stream");
        shared.report_outcome(&request, Outcome::Failed);
    }
    Response::stream("application/x-ndjson", Box::new(source))
}

/// Reads the server's stream, chunk by chunk in order, until its explicit end.
fn read_run(
    shared: &Shared,
    stream: &RunStream,
    response: HttpResponse,
    outbox: &flume::Sender<StreamStep>,
    has_disconnected: &AtomicBool,
) {
    let request = &stream.request;
    let mut reader = ChunkReader::new(stream.run.clone(), stream.from);
    let mut is_first = stream.is_first_read;
    let mut lines = BufReader::new(response);
    let outcome = loop {
        let mut line = Vec::new();
        let length = (&mut lines)
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut line);
        let relayed = match length {
            Ok(_) => reader.take(&line),
            Err(error) => RelayedLine::Abort(ResultCode::Broken, error.to_string()),
        };
        let step = match relayed {
            RelayedLine::Chunk(line) => StreamStep::Line(line),
            RelayedLine::End(line) => StreamStep::End(line),
            RelayedLine::Abort(code, why) => {
                if code == ResultCode::StreamFault {
                    tracing::warn!(%code, run = %stream.run, reason = why, "stream aborted");
                } else if !has_disconnected.load(Ordering::SeqCst) {
                    tracing::info!(%code, run = %stream.run, reason = why, "stream aborted");
                }
                StreamStep::Abort
            }
        };
        if is_first && matches!(step, StreamStep::Line(_) | StreamStep::End(_)) {
            is_first = false;
            shared.notify_control(NodeInput::Event(Event::FirstToken {
                request: request.clone(),
            }));
        }
        let is_end = matches!(step, StreamStep::End(_));
        let is_aborted = matches!(step, StreamStep::Abort);
        let was_taken = outbox.send(step).is_ok();
        if is_end {
            break Outcome::Complete;
        }
        if !was_taken || has_disconnected.load(Ordering::SeqCst) {
            break Outcome::Cancelled;
        }
        if is_aborted {
            break Outcome::Failed;
        }
    };
    if stream.is_first_read {
        shared.report_outcome(request, outcome);
    }
}
