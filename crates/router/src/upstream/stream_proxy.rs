//! Carries one request from its client to a server and the answer back.

use crate::admin::metrics::Metrics;
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, resume_id};
use crate::interface::{ClientRequest, LIFE_HEADER, ResumeRequest, RunRequest};
use crate::request::attempts::AttemptOutput;
use crate::request::resume_token::Token;
use crate::request::state_machine::Failure;
use crate::shared::{Place, Shared, silence};
use crate::upstream::chunk_reader::{ChunkReader, Passed};
use crate::upstream::dispatch::{Gone, NotTaken, Trip, Wanted};
use config::ServiceKind;
use placement::{Event, Outcome, block_hashes};
use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use transport::{
    BodyChunk, BodySource, HttpClientError, HttpRequest, HttpResponse, Response, http_delete,
    read_all, read_typed_body,
};
use types::{ApiKey, Milliseconds, RequestId, ResultCode, RunId, ServerName, ServiceName};

const CONNECT: Milliseconds = Milliseconds(400);
/// A server that has a run begins to give it within this.
const RESUME_HEAD: Milliseconds = Milliseconds(2000);
const LINE: u64 = 1 << 20;

/// What asking servers came to.
enum Asked<T> {
    RecoveredStorage(Placement, T),
    Told(Response),
}

/// What became of asking one server: what it gave, or how that failed and why.
fn opened(
    placing: &Placement,
    outcome: Result<HttpResponse, HttpClientError>,
) -> Result<HttpResponse, NotTaken> {
    let why = |reason: String| format!("server {}: {reason}", placing.server);
    match outcome {
        Ok(response) if response.status() == 200 => Ok(response),
        Ok(response) => {
            let reason = why(format!("replied {}", response.status()));
            Err(match refusal_of(response) {
                Refusal::OtherLife => NotTaken::Elsewhere(reason),
                Refusal::NotRun => NotTaken::Failed(Failure::Refused, reason),
                Refusal::Unclear => NotTaken::Failed(Failure::Unknown, reason),
            })
        }
        Err(HttpClientError::Withheld) => Err(NotTaken::Withheld),
        Err(HttpClientError::NotSent(reason)) => {
            Err(NotTaken::Failed(Failure::Unsent, why(reason)))
        }
        Err(HttpClientError::OutcomeUnknown(reason)) => {
            Err(NotTaken::Failed(Failure::Unknown, why(reason)))
        }
    }
}

/// Finds a server that takes the request, going on to others as far as the errand allows.
fn ask_servers<T>(
    trip: &mut Trip,
    first: AttemptOutput,
    ask: impl Fn(&Placement) -> Result<T, NotTaken>,
) -> Asked<T> {
    match trip.go(first, |placing, _| ask(placing)) {
        Gone::RecoveredStorage(placing, heard) => Asked::RecoveredStorage(placing, heard),
        Gone::Told(rejection) => Asked::Told(trip.shared.refusal(
            rejection.code,
            rejection.why,
            rejection.retry_after,
        )),
        // Only a stream that was carried is ever cut.
        Gone::Cut(why) => Asked::Told(trip.shared.refusal(
            ResultCode::Unknown,
            why,
            Milliseconds(0),
        )),
    }
}

/// What a server's refusal says.
enum Refusal {
    /// Nothing ran: the request was meant for another life of the server.
    OtherLife,
    /// Nothing ran.
    NotRun,
    /// It may have run.
    Unclear,
}

fn refusal_of(response: HttpResponse) -> Refusal {
    let body = read_all(response, 64 << 10).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    match (value["ran"].as_bool(), value["incarnation"].is_u64()) {
        (Some(false), true) => Refusal::OtherLife,
        (Some(false), false) => Refusal::NotRun,
        _ => Refusal::Unclear,
    }
}

/// Takes a prompt request.
pub(crate) fn take_request(
    shared: &Arc<Shared>,
    body: &[u8],
    api_key: Option<&ApiKey>,
) -> Response {
    Metrics::more(&shared.metrics.received);
    let request: ClientRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(fault) => {
            return shared.refusal(ResultCode::BadRequest, fault.to_string(), Milliseconds(0));
        }
    };
    if !request.id.is_valid() || !request.service.is_valid() || request.max_pieces == 0 {
        let why =
            "id and service are 1 to 64 letters, digits or any of -_.:, max_pieces is at least 1";
        return shared.refusal(ResultCode::BadRequest, why.into(), Milliseconds(0));
    }
    let key = match shared.authorize(api_key) {
        Ok(key) => key,
        Err(rejection) => {
            return shared.refusal(rejection.code, rejection.why, rejection.retry_after);
        }
    };
    let Some(place) = shared.take_place(request.id.clone(), shared.next_number()) else {
        return shared.refusal(
            ResultCode::Busy,
            "this node is at its bound of requests".into(),
            Milliseconds(1000),
        );
    };
    let hashes = block_hashes(request.prompt.as_bytes(), shared.block_bytes, 256);
    let wanted = Wanted::of_service(request.service.clone(), ServiceKind::Stream, key, hashes);
    let (mut trip, first) = Trip::new(place, wanted, None);
    let (stall, prompt) = (shared.stall, request.prompt);
    let ask = |placing: &Placement| {
        let run = RunRequest {
            run: placing.run.clone(),
            service: request.service.clone(),
            prompt: prompt.clone(),
            max_pieces: request.max_pieces,
            keep: placing.token.is_some(),
            incarnation: placing.incarnation,
        };
        let body = serde_json::to_vec(&run).expect("a run request is JSON");
        let patience = Milliseconds(stall.0.min(placing.first_token.0 * 2 + 1000));
        let (sharing, epoch) = (shared.clone(), placing.epoch);
        let asked = HttpRequest::post(body)
            .connect_timeout(CONNECT)
            .read_timeout(patience)
            .only_if(move || sharing.may_leave(epoch));
        opened(
            placing,
            asked.send(&format!("http://{}/runs", placing.server)),
        )
    };
    match ask_servers(&mut trip, first, ask) {
        Asked::Told(answer) => answer,
        Asked::RecoveredStorage(placing, response) => {
            let mut head = serde_json::json!({"request": request.id, "run": placing.run});
            let is_resumable = placing.token.is_some();
            if let Some(token) = placing.token {
                head["token"] = token.into();
            }
            let (server, run) = (placing.server, placing.run);
            let reading = Query {
                request: request.id,
                server,
                run,
                from: 0,
                is_resumable,
                is_first_read: true,
            };
            stream(shared, trip.place, reading, head, response)
        }
    }
}

/// Reads a stream on from where the client has it. It's read, never run again.
pub(crate) fn resume(shared: &Arc<Shared>, body: &[u8], api_key: Option<&ApiKey>) -> Response {
    let request: ResumeRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(fault) => {
            return shared.refusal(ResultCode::BadRequest, fault.to_string(), Milliseconds(0));
        }
    };
    if let Err(rejection) = shared.authorize(api_key) {
        return shared.refusal(rejection.code, rejection.why, rejection.retry_after);
    }
    let number = shared.next_number();
    let Some(place) = shared.take_place(resume_id(number), number) else {
        return shared.refusal(
            ResultCode::Busy,
            "this node is at its bound of requests".into(),
            Milliseconds(1000),
        );
    };
    let input = NodeInput::Resume {
        number,
        token: request.token.clone(),
    };
    let token = match shared
        .ask_control(input, ControlEvent::Resume)
        .unwrap_or_else(|| Err(silence()))
    {
        Ok(token) => token,
        Err(rejection) => {
            return shared.refusal(rejection.code, rejection.why, rejection.retry_after);
        }
    };
    let url = format!(
        "http://{}/runs/{}?from={}",
        token.server, token.run, request.from
    );
    let out_of_reach = |why: String| shared.refusal(ResultCode::OutOfReach, why, Milliseconds(0));
    // A server that has the run begins at once; only its pieces may be long in coming.
    let (heard, inbox) = flume::bounded(1);
    let stall = shared.stall;
    let asking = move || {
        drop(
            heard.send(
                HttpRequest::get()
                    .connect_timeout(CONNECT)
                    .read_timeout(stall)
                    .send(&url),
            ),
        )
    };
    if let Err(fault) = std::thread::Builder::new()
        .name("resume".into())
        .spawn(asking)
    {
        return out_of_reach(format!("no thread to ask server {}: {fault}", token.server));
    }
    let Ok(asked) = inbox.recv_timeout(RESUME_HEAD.duration()) else {
        return out_of_reach(format!("server {} gave no answer", token.server));
    };
    match asked {
        Ok(response) if response.status() == 200 => {
            Metrics::more(&shared.metrics.resumed);
            let head = serde_json::json!({"request": token.request, "run": token.run, "from": request.from, "token": request.token});
            let Token {
                request: id,
                server,
                run,
                ..
            } = token;
            let from = request.from;
            let reading = Query {
                request: id,
                server,
                run,
                from,
                is_resumable: true,
                is_first_read: false,
            };
            stream(shared, place, reading, head, response)
        }
        Ok(response) if matches!(response.status(), 404 | 410) => {
            let why = format!(
                "server {} no longer has that run from there ({})",
                token.server,
                response.status()
            );
            shared.refusal(ResultCode::ResumeFailed, why, Milliseconds(0))
        }
        Ok(response) => out_of_reach(format!(
            "server {} replied {}",
            token.server,
            response.status()
        )),
        Err(fault) => out_of_reach(format!("server {}: {fault}", token.server)),
    }
}

/// Fetches a page; the whole answer is read before any of it is given.
pub(crate) fn fetch(
    shared: &Arc<Shared>,
    service: &str,
    path: &str,
    id: Option<&str>,
    api_key: Option<&ApiKey>,
) -> Response {
    Metrics::more(&shared.metrics.received);
    let number = shared.next_number();
    let request = id.map(RequestId::from);
    let service = ServiceName::from(service);
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let is_valid = request.as_ref().is_none_or(RequestId::is_valid) && service.is_valid();
    if !is_valid || path.len() > 1024 || !path.chars().all(is_plain) {
        let why = "id, service and path are made of letters, digits and -_.:, a path also of / and at most 1024 long";
        return shared.refusal(ResultCode::BadRequest, why.into(), Milliseconds(0));
    }
    let key = match shared.authorize(api_key) {
        Ok(key) => key,
        Err(rejection) => {
            return shared.refusal(rejection.code, rejection.why, rejection.retry_after);
        }
    };
    // No client's id has a slash.
    let request = request.unwrap_or_else(|| RequestId(format!("page/{number}")));
    let Some(place) = shared.take_place(request.clone(), number) else {
        return shared.refusal(
            ResultCode::Busy,
            "this node is at its bound of requests".into(),
            Milliseconds(1000),
        );
    };
    let (mut trip, first) = Trip::new(
        place,
        Wanted::of_service(service, ServiceKind::Fetch, key, vec![]),
        None,
    );
    let ask = |placing: &Placement| {
        let patience = Milliseconds(shared.stall.0.min(placing.first_token.0 * 2 + 1000));
        let (sharing, epoch) = (shared.clone(), placing.epoch);
        let asked = HttpRequest::get()
            .connect_timeout(CONNECT)
            .read_timeout(patience)
            .only_if(move || sharing.may_leave(epoch));
        let asked = placing
            .incarnation
            .into_iter()
            .fold(asked, |asked, incarnation| {
                asked.header(LIFE_HEADER, incarnation.to_string())
            });
        let response = opened(
            placing,
            asked.send(&format!("http://{}/pages/{path}", placing.server)),
        )?;
        read_typed_body(response, 8 << 20)
            .map_err(|fault| NotTaken::Failed(Failure::Unknown, fault.to_string()))
    };
    match ask_servers(&mut trip, first, ask) {
        Asked::Told(answer) => answer,
        Asked::RecoveredStorage(_, (content_type, body)) => {
            shared.tell_ended(&request, Outcome::Complete);
            Metrics::more(&shared.metrics.complete);
            Response::complete(200, &content_type, body)
        }
    }
}

/// What is being read, and from where.
struct Query {
    request: RequestId,
    server: ServerName,
    run: RunId,
    from: u64,
    is_resumable: bool,
    is_first_read: bool,
}

enum Carried {
    Line(String),
    End(String),
    Cut,
}

/// The client's side of a stream.
struct Stream {
    inbox: flume::Receiver<Carried>,
    head: Option<String>,
    shared: Arc<Shared>,
    server: ServerName,
    run: RunId,
    does_cancel: bool,
    is_over: bool,
    is_cut: bool,
    has_gone: Arc<AtomicBool>,
    _place: Place,
}

impl BodySource for Stream {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(head) = self.head.take() {
            return BodyChunk::Data(head.into_bytes().into());
        }
        if self.is_over {
            return BodyChunk::End;
        }
        match self.inbox.recv_timeout(timeout) {
            Ok(Carried::Line(line)) => BodyChunk::Data(line.into_bytes().into()),
            Ok(Carried::End(line)) => {
                self.is_over = true;
                Metrics::more(&self.shared.metrics.complete);
                BodyChunk::Data(line.into_bytes().into())
            }
            Ok(Carried::Cut) | Err(flume::RecvTimeoutError::Disconnected) => {
                self.is_cut = true;
                Metrics::more(&self.shared.metrics.broken);
                BodyChunk::Abort
            }
            Err(flume::RecvTimeoutError::Timeout) => BodyChunk::Pending,
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.is_over || self.is_cut {
            return;
        }
        // The client has gone. A run that may be read on goes on without it.
        self.has_gone.store(true, Ordering::SeqCst);
        Metrics::more(&self.shared.metrics.gone);
        if self.does_cancel {
            let url = format!("http://{}/runs/{}", self.server, self.run);
            if let Err(fault) = http_delete(&url, CONNECT, Milliseconds(1000)) {
                tracing::debug!("carrier: run {} was not cancelled: {fault}.", self.run);
            }
        }
    }
}

/// Starts reading the server's stream and gives the client's side of it.
fn stream(
    shared: &Arc<Shared>,
    place: Place,
    reading: Query,
    head: serde_json::Value,
    response: HttpResponse,
) -> Response {
    let (outbox, inbox) = flume::bounded(16);
    let request = reading.request.clone();
    let has_gone = Arc::new(AtomicBool::new(false));
    let source = Stream {
        inbox,
        head: Some(format!("{head}\n")),
        shared: shared.clone(),
        server: reading.server.clone(),
        run: reading.run.clone(),
        does_cancel: !reading.is_resumable,
        is_over: false,
        is_cut: false,
        has_gone: has_gone.clone(),
        _place: place,
    };
    let reader = shared.clone();
    let spawned = std::thread::Builder::new()
        .name("carrier".into())
        .spawn(move || read(&reader, &reading, response, &outbox, &has_gone));
    if let Err(fault) = spawned {
        tracing::warn!("carrier: no thread for a stream: {fault}.");
        shared.tell_ended(&request, Outcome::Failed);
    }
    Response::stream("application/x-ndjson", Box::new(source))
}

/// Reads the server's stream, piece by piece in order, until its explicit end.
fn read(
    shared: &Shared,
    reading: &Query,
    response: HttpResponse,
    outbox: &flume::Sender<Carried>,
    has_gone: &AtomicBool,
) {
    let request = &reading.request;
    let mut reader = ChunkReader::new(reading.run.clone(), reading.from);
    let mut is_first = reading.is_first_read;
    let mut lines = BufReader::new(response);
    let outcome = loop {
        let mut line = Vec::new();
        let length = (&mut lines).take(LINE).read_until(b'\n', &mut line);
        let passed = match length {
            Ok(_) => reader.take(&line),
            Err(fault) => Passed::Cut(ResultCode::Broken, fault.to_string()),
        };
        let carried = match passed {
            Passed::Piece(line) => Carried::Line(line),
            Passed::End(line) => Carried::End(line),
            Passed::Cut(code, why) => {
                if code == ResultCode::StreamFault {
                    tracing::warn!("carrier: {code} run {}: {why}.", reading.run);
                } else if !has_gone.load(Ordering::SeqCst) {
                    tracing::info!("carrier: {code} run {}: {why}.", reading.run);
                }
                Carried::Cut
            }
        };
        if is_first && matches!(carried, Carried::Line(_) | Carried::End(_)) {
            is_first = false;
            shared.tell(NodeInput::Event(Event::FirstToken {
                request: request.clone(),
            }));
        }
        let is_end = matches!(carried, Carried::End(_));
        let is_cut = matches!(carried, Carried::Cut);
        let was_taken = outbox.send(carried).is_ok();
        if is_end {
            break Outcome::Complete;
        }
        if !was_taken || has_gone.load(Ordering::SeqCst) {
            break Outcome::Cancelled;
        }
        if is_cut {
            break Outcome::Failed;
        }
    };
    if reading.is_first_read {
        shared.tell_ended(request, outcome);
    }
}
