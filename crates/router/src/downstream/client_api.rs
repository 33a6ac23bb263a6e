//! The router's own interface for clients: runs, resumed streams and pages.

use crate::admin::metrics::Metrics;
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection, resume_id};
use crate::interface::{ClientRequest, ResumeRequest};
use crate::request::in_flight::InFlightGuard;
use crate::request::resume_token::Token;
use crate::shared::Shared;
use crate::upstream::dispatch::Dispatcher;
use crate::upstream::server_client::{fetch_page, read_run, send_run};
use crate::upstream::stream_proxy::{RunStream, relay};
use config::ServiceKind;
use placement::{Outcome, block_hashes};
use std::sync::Arc;
use transport::{HttpResponse, Response};
use types::{ApiKey, Milliseconds, RequestId, ResultCode, ServiceName};

/// When a client may come back that met a node at its bound of requests.
const BUSY_RETRY_AFTER: Milliseconds = Milliseconds(1000);
/// A prompt has at most so many hashed blocks.
const MAX_BLOCKS: usize = 256;
/// The path of a page has at most so many bytes.
const MAX_PATH_BYTES: usize = 1024;

/// Runs a prompt and relays the stream.
pub(crate) fn run_request(shared: &Arc<Shared>, body: &[u8], key: Option<&ApiKey>) -> Response {
    Metrics::more(&shared.metrics.received);
    try_run(shared, body, key).unwrap_or_else(|rejection| shared.reject(rejection))
}

/// Resumes a stream where the client lost it. The run is read, never run again.
pub(crate) fn resume(shared: &Arc<Shared>, body: &[u8], key: Option<&ApiKey>) -> Response {
    try_resume(shared, body, key).unwrap_or_else(|rejection| shared.reject(rejection))
}

/// Fetches a page; the whole response is read before any of it is relayed.
pub(crate) fn fetch(
    shared: &Arc<Shared>,
    service: &str,
    path: &str,
    id: Option<&str>,
    key: Option<&ApiKey>,
) -> Response {
    Metrics::more(&shared.metrics.received);
    try_fetch(shared, service, path, id, key).unwrap_or_else(|rejection| shared.reject(rejection))
}

fn try_run(shared: &Arc<Shared>, body: &[u8], key: Option<&ApiKey>) -> Result<Response, Rejection> {
    let request = parse_run(body)?;
    let key = shared.authenticate(key)?;
    let number = shared.next_number();
    let guard = InFlightGuard::admit(shared, request.id.clone(), number, BUSY_RETRY_AFTER)?;
    let service = request.service.clone();
    let placement_request = PlacementRequest {
        key,
        hashes: block_hashes(request.prompt.as_bytes(), shared.block_bytes, MAX_BLOCKS),
        ..PlacementRequest::for_service(&guard, service, ServiceKind::Stream)
    };
    let (mut dispatcher, first) = Dispatcher::new(guard, placement_request, None);
    let (placement, response) = dispatcher
        .dispatch(first, |placement, _| send_run(shared, &request, placement))
        .accepted()?;
    Ok(relay_run(
        shared,
        dispatcher.guard,
        request.id,
        placement,
        response,
    ))
}

fn parse_run(body: &[u8]) -> Result<ClientRequest, Rejection> {
    let request: ClientRequest = serde_json::from_slice(body).map_err(unreadable)?;
    if !request.id.is_valid() || !request.service.is_valid() || request.max_pieces == 0 {
        let why =
            "id and service are 1 to 64 letters, digits or any of -_.:, max_pieces is at least 1";
        return Err(bad_request(why));
    }
    Ok(request)
}

fn relay_run(
    shared: &Arc<Shared>,
    guard: InFlightGuard,
    request: RequestId,
    placement: Placement,
    response: HttpResponse,
) -> Response {
    let mut head = serde_json::json!({"request": request, "run": placement.run});
    let is_resumable = placement.token.is_some();
    if let Some(token) = placement.token {
        head["token"] = token.into();
    }
    let stream = RunStream {
        request,
        server: placement.server,
        run: placement.run,
        from: 0,
        is_resumable,
        is_first_read: true,
    };
    relay(shared, guard, stream, head, response)
}

fn try_resume(
    shared: &Arc<Shared>,
    body: &[u8],
    key: Option<&ApiKey>,
) -> Result<Response, Rejection> {
    let request: ResumeRequest = serde_json::from_slice(body).map_err(unreadable)?;
    shared.authenticate(key)?;
    let number = shared.next_number();
    let guard = InFlightGuard::admit(shared, resume_id(number), number, BUSY_RETRY_AFTER)?;
    let input = NodeInput::Resume {
        number,
        token: request.token.clone(),
    };
    let token = shared.call_control(input, ControlEvent::Resume)?;
    let response = read_run(&token, request.from, shared.stall)?;
    Metrics::more(&shared.metrics.resumed);
    let head = serde_json::json!({"request": token.request, "run": token.run, "from": request.from, "token": request.token});
    let Token {
        request: id,
        server,
        run,
        ..
    } = token;
    let stream = RunStream {
        request: id,
        server,
        run,
        from: request.from,
        is_resumable: true,
        is_first_read: false,
    };
    Ok(relay(shared, guard, stream, head, response))
}

fn try_fetch(
    shared: &Arc<Shared>,
    service: &str,
    path: &str,
    id: Option<&str>,
    key: Option<&ApiKey>,
) -> Result<Response, Rejection> {
    let number = shared.next_number();
    let request = id.map(RequestId::from);
    let service = ServiceName::from(service);
    check_page(request.as_ref(), &service, path)?;
    let key = shared.authenticate(key)?;
    // No client's id has a slash.
    let request = request.unwrap_or_else(|| RequestId(format!("page/{number}")));
    let guard = InFlightGuard::admit(shared, request.clone(), number, BUSY_RETRY_AFTER)?;
    let placement_request = PlacementRequest {
        key,
        ..PlacementRequest::for_service(&guard, service, ServiceKind::Fetch)
    };
    let (mut dispatcher, first) = Dispatcher::new(guard, placement_request, None);
    let (_, (content_type, body)) = dispatcher
        .dispatch(first, |placement, _| fetch_page(shared, path, placement))
        .accepted()?;
    shared.report_outcome(&request, Outcome::Complete);
    Metrics::more(&shared.metrics.complete);
    Ok(Response::complete(200, &content_type, body))
}

fn check_page(
    request: Option<&RequestId>,
    service: &ServiceName,
    path: &str,
) -> Result<(), Rejection> {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./".contains(c);
    let is_valid = request.is_none_or(RequestId::is_valid) && service.is_valid();
    if is_valid && path.len() <= MAX_PATH_BYTES && path.chars().all(is_plain) {
        return Ok(());
    }
    Err(bad_request(
        "id, service and path are made of letters, digits and -_.:, a path also of / and at most 1024 long",
    ))
}

fn unreadable(error: serde_json::Error) -> Rejection {
    bad_request(&error.to_string())
}

fn bad_request(why: &str) -> Rejection {
    Rejection::with_reason(ResultCode::BadRequest, why, Milliseconds(0))
}
