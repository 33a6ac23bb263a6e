//! Phase "send" of the router's own interface: what it asks of servers, and what their responses prove.

use crate::control::node::{Placement, Rejection};
use crate::interface::{ClientRequest, LIFE_HEADER, RunRequest};
use crate::request::resume_token::Token;
use crate::request::state_machine::Failure;
use crate::shared::Shared;
use crate::upstream::dispatch::AttemptError;
use std::sync::Arc;
use transport::{HttpClientError, HttpRequest, HttpResponse, read_all, read_typed_body};
use types::{Milliseconds, ResultCode};

/// A connection to a server is established within this.
pub(crate) const CONNECT_TIMEOUT: Milliseconds = Milliseconds(400);
/// A server that has a run begins to send it within this.
const RESUME_HEAD_TIMEOUT: Milliseconds = Milliseconds(2000);
/// A page has at most so many bytes.
const MAX_PAGE_BYTES: usize = 8 << 20;
/// The body of a refusal has at most so many bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Sends a run to the server where it was placed; right before its first byte the epoch fence is asked.
pub(crate) fn send_run(
    shared: &Arc<Shared>,
    request: &ClientRequest,
    placement: &Placement,
) -> Result<HttpResponse, AttemptError> {
    let run = RunRequest {
        run: placement.run.clone(),
        service: request.service.clone(),
        prompt: request.prompt.clone(),
        max_pieces: request.max_pieces,
        keep: placement.token.is_some(),
        incarnation: placement.incarnation,
    };
    let body = serde_json::to_vec(&run).expect("a run request is JSON");
    let url = format!("http://{}/runs", placement.server);
    let sent = fenced(shared, HttpRequest::post(body), placement).send(&url);
    accepted(placement, sent)
}

/// Fetches a page from the server where the request was placed: its content type and its whole body.
pub(crate) fn fetch_page(
    shared: &Arc<Shared>,
    path: &str,
    placement: &Placement,
) -> Result<(String, Vec<u8>), AttemptError> {
    let request = fenced(shared, HttpRequest::get(), placement);
    let request = placement
        .incarnation
        .into_iter()
        .fold(request, |request, incarnation| {
            request.header(LIFE_HEADER, incarnation.to_string())
        });
    let url = format!("http://{}/pages/{path}", placement.server);
    let response = accepted(placement, request.send(&url))?;
    read_typed_body(response, MAX_PAGE_BYTES)
        .map_err(|error| AttemptError::Failed(Failure::Unknown, error.to_string()))
}

/// Reads a run on from this chunk number. The run's server begins at once; only its chunks may be long in coming.
///
/// Errors: [`ResultCode::ResumeFailed`] when the server no longer has the run from there, [`ResultCode::OutOfReach`]
/// when it can't be asked.
pub(crate) fn read_run(
    token: &Token,
    from: u64,
    stall_timeout: Milliseconds,
) -> Result<HttpResponse, Rejection> {
    let server = &token.server;
    let url = format!("http://{server}/runs/{}?from={from}", token.run);
    let (sender, inbox) = flume::bounded(1);
    let ask = move || {
        let request = HttpRequest::get()
            .connect_timeout(CONNECT_TIMEOUT)
            .read_timeout(stall_timeout);
        let _ = sender.send(request.send(&url));
    };
    std::thread::Builder::new()
        .name("resume".into())
        .spawn(ask)
        .map_err(|error| out_of_reach(format!("no thread to ask server {server}: {error}")))?;
    let response = inbox
        .recv_timeout(RESUME_HEAD_TIMEOUT.duration())
        .map_err(|_| out_of_reach(format!("server {server} gave no answer")))?
        .map_err(|error| out_of_reach(format!("server {server}: {error}")))?;
    match response.status() {
        200 => Ok(response),
        status @ (404 | 410) => {
            let why = format!("server {server} no longer has that run from there ({status})");
            Err(Rejection::with_reason(
                ResultCode::ResumeFailed,
                why,
                Milliseconds(0),
            ))
        }
        status => Err(out_of_reach(format!("server {server} replied {status}"))),
    }
}

fn out_of_reach(why: String) -> Rejection {
    Rejection::with_reason(ResultCode::OutOfReach, why, Milliseconds(0))
}

/// A request with the time-outs of its placement, and with the epoch fence.
fn fenced(shared: &Arc<Shared>, request: HttpRequest, placement: &Placement) -> HttpRequest {
    let read_timeout = shared.stall.0.min(placement.first_token.0 * 2 + 1000);
    let (shared, epoch) = (shared.clone(), placement.epoch);
    request
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(Milliseconds(read_timeout))
        .only_if(move || shared.may_send(epoch))
}

/// The response of a server that accepted the request, or why it has not.
fn accepted(
    placement: &Placement,
    outcome: Result<HttpResponse, HttpClientError>,
) -> Result<HttpResponse, AttemptError> {
    let why = |reason: String| format!("server {}: {reason}", placement.server);
    match outcome {
        Ok(response) if response.status() == 200 => Ok(response),
        Ok(response) => {
            let reason = why(format!("replied {}", response.status()));
            Err(match refusal_of(response) {
                Refusal::OtherIncarnation => AttemptError::WrongServer(reason),
                Refusal::NotRun => AttemptError::Failed(Failure::Refused, reason),
                Refusal::Unclear => AttemptError::Failed(Failure::Unknown, reason),
            })
        }
        Err(HttpClientError::Withheld) => Err(AttemptError::Fenced),
        Err(HttpClientError::NotSent(reason)) => {
            Err(AttemptError::Failed(Failure::Unsent, why(reason)))
        }
        Err(HttpClientError::OutcomeUnknown(reason)) => {
            Err(AttemptError::Failed(Failure::Unknown, why(reason)))
        }
    }
}

/// What a server's refusal proves.
enum Refusal {
    /// Nothing ran: the request was meant for another incarnation of the server.
    OtherIncarnation,
    /// Nothing ran.
    NotRun,
    /// It may have run.
    Unclear,
}

fn refusal_of(response: HttpResponse) -> Refusal {
    let body = read_all(response, MAX_REFUSAL_BYTES).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    match (value["ran"].as_bool(), value["incarnation"].is_u64()) {
        (Some(false), true) => Refusal::OtherIncarnation,
        (Some(false), false) => Refusal::NotRun,
        _ => Refusal::Unclear,
    }
}
