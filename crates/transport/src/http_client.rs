//! Single HTTP requests to a server, each on a connection of its own, with a JSON body or none.
//!
//! Redirects and the environment's proxies are not followed, and each wait is bounded.

use attohttpc::body::{Body, BodyKind};
use attohttpc::{ProxySettings, RequestBuilder, Response};
use std::io::{self, Read, Write};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::Milliseconds;

/// How long a connection or a part of a response is waited for by default.
const DEFAULT_TIMEOUT: Milliseconds = Milliseconds(1000);
/// The content type of a response that names none.
const DEFAULT_CONTENT_TYPE: &str = "application/octet-stream";

/// Why a request got no head of a response.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// The connection was never made, so no byte of the request was sent; it may be retried elsewhere.
    #[error("no connection: {0}")]
    NotSent(String),
    /// [`HttpRequest::only_if`] no longer allowed the request; nothing that a server could run was sent.
    #[error("withheld at the last moment")]
    Withheld,
    /// Something may have reached the server, and the request may have run.
    #[error("no answer: {0}")]
    OutcomeUnknown(String),
}

impl HttpClientError {
    fn not_sent(error: &dyn std::fmt::Display) -> Self {
        HttpClientError::NotSent(error.to_string())
    }
}

/// The settings that all requests share.
pub trait HttpRequestExt: Sized {
    /// Sets the time-outs, and turns redirects and the environment's proxies off.
    fn with_plain_settings(self, connect_timeout: Milliseconds, read_timeout: Milliseconds)
    -> Self;
}

impl<B> HttpRequestExt for RequestBuilder<B> {
    fn with_plain_settings(
        self,
        connect_timeout: Milliseconds,
        read_timeout: Milliseconds,
    ) -> Self {
        self.follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(connect_timeout.duration())
            .read_timeout(read_timeout.duration())
    }
}

/// How far a request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SendState {
    /// The library has not asked for the body, so nothing was sent.
    NotStarted,
    Withheld,
    Sent,
}

/// Where a [`CheckedBody`] records the state, shared with the request that waits for the outcome.
#[derive(Clone)]
struct SharedSendState(Arc<Mutex<SendState>>);

impl SharedSendState {
    fn new() -> Self {
        SharedSendState(Arc::new(Mutex::new(SendState::NotStarted)))
    }

    fn lock(&self) -> MutexGuard<'_, SendState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, state: SendState) {
        *self.lock() = state;
    }

    fn get(&self) -> SendState {
        *self.lock()
    }
}

/// A body that records when the library asks for it, which is after the connection was made and before any
/// byte is sent: head and body are sent from one buffer.
///
/// Invariant: a body that may no longer be sent never is. The library then sends the head alone (its buffer
/// is flushed as it's dropped), which announces a body that doesn't come: no server can run that. A head that
/// announces no body is not so protected; a GET has only the check before the connection.
struct CheckedBody {
    bytes: Vec<u8>,
    may_send: Box<dyn Fn() -> bool + Send>,
    state: SharedSendState,
}

impl Body for CheckedBody {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }

    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        if !self.bytes.is_empty() && !(self.may_send)() {
            self.state.set(SendState::Withheld);
            return Err(io::Error::other("withheld"));
        }
        self.state.set(SendState::Sent);
        writer.write_all(&self.bytes)
    }

    fn content_type(&mut self) -> io::Result<Option<String>> {
        Ok(Some("application/json".into()))
    }
}

/// A server's response: its head, and its body to be read.
///
/// Invariant: reading ends without an error only if all of the announced body came. The library reports a
/// truncated chunked body, but not one that is shorter than its `content-length`; this does, by
/// [`io::ErrorKind::UnexpectedEof`].
#[derive(Debug)]
pub struct HttpResponse {
    response: Response,
    /// Bytes of an announced body that are still to come.
    remaining: Option<u64>,
}

impl HttpResponse {
    fn new(response: Response) -> Self {
        let remaining = response
            .headers()
            .get("content-length")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        HttpResponse {
            response,
            remaining,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }

    /// Returns a header's first value; `None` if there is none or it's not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }
}

impl Read for HttpResponse {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.response.read(buffer)?;
        if let Some(remaining) = &mut self.remaining {
            if count == 0 && *remaining > 0 && !buffer.is_empty() {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    format!("{remaining} bytes of the body are missing"),
                ));
            }
            *remaining = remaining.saturating_sub(count as u64);
        }
        Ok(count)
    }
}

/// One request: what to send, how long to wait, and whether it may still be sent.
pub struct HttpRequest {
    method: http::Method,
    json: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    connect_timeout: Milliseconds,
    read_timeout: Milliseconds,
    may_send: Box<dyn Fn() -> bool + Send>,
}

impl HttpRequest {
    fn new(method: http::Method, json: Vec<u8>) -> Self {
        HttpRequest {
            method,
            json,
            headers: vec![],
            connect_timeout: DEFAULT_TIMEOUT,
            read_timeout: DEFAULT_TIMEOUT,
            may_send: Box::new(|| true),
        }
    }

    /// Returns a GET request.
    pub fn get() -> Self {
        Self::new(http::Method::GET, vec![])
    }

    /// Returns a POST request with a JSON body.
    pub fn post(json: Vec<u8>) -> Self {
        Self::new(http::Method::POST, json)
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets how long connecting may take; 1 s by default.
    pub fn connect_timeout(mut self, timeout: Milliseconds) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets how long the head, and then each part of the body, may take; 1 s by default.
    pub fn read_timeout(mut self, timeout: Milliseconds) -> Self {
        self.read_timeout = timeout;
        self
    }

    /// Sets a check that is made before connecting and, for a request with a body, again once connected,
    /// right before the body is sent.
    pub fn only_if(mut self, may_send: impl Fn() -> bool + Send + 'static) -> Self {
        self.may_send = Box::new(may_send);
        self
    }

    /// Sends the request to a URL and returns as soon as the response's head has come.
    ///
    /// # Errors
    ///
    /// See [`HttpClientError`]. A response with any status is no error.
    pub fn send(self, url: &str) -> Result<HttpResponse, HttpClientError> {
        if !(self.may_send)() {
            return Err(HttpClientError::Withheld);
        }
        let state = SharedSendState::new();
        let not_sent = |error: attohttpc::Error| HttpClientError::not_sent(&error);
        let mut builder = RequestBuilder::try_new(self.method, url).map_err(not_sent)?;
        for (name, value) in self.headers {
            builder = builder.try_header(name, value).map_err(not_sent)?;
        }
        let body = CheckedBody {
            bytes: self.json,
            may_send: self.may_send,
            state: state.clone(),
        };
        let outcome = builder
            .body(body)
            .with_plain_settings(self.connect_timeout, self.read_timeout)
            .send();
        outcome
            .map(HttpResponse::new)
            .map_err(|error| match state.get() {
                SendState::NotStarted => HttpClientError::not_sent(&error),
                SendState::Withheld => HttpClientError::Withheld,
                SendState::Sent => HttpClientError::OutcomeUnknown(error.to_string()),
            })
    }
}

/// Sends a POST request with a JSON body; errors as of [`HttpRequest::send`].
pub fn http_post(
    url: &str,
    json: Vec<u8>,
    connect_timeout: Milliseconds,
    read_timeout: Milliseconds,
) -> Result<HttpResponse, HttpClientError> {
    HttpRequest::post(json)
        .connect_timeout(connect_timeout)
        .read_timeout(read_timeout)
        .send(url)
}

/// Sends a request with any method and a JSON body; errors as of [`HttpRequest::send`], and
/// [`HttpClientError::NotSent`] for an invalid method.
pub fn http_request(
    method: &str,
    url: &str,
    json: Vec<u8>,
    connect_timeout: Milliseconds,
    read_timeout: Milliseconds,
) -> Result<HttpResponse, HttpClientError> {
    let method = http::Method::from_bytes(method.as_bytes())
        .map_err(|error| HttpClientError::not_sent(&error))?;
    HttpRequest::new(method, json)
        .connect_timeout(connect_timeout)
        .read_timeout(read_timeout)
        .send(url)
}

/// Sends a GET request; errors as of [`HttpRequest::send`].
pub fn http_get(
    url: &str,
    connect_timeout: Milliseconds,
    read_timeout: Milliseconds,
) -> Result<HttpResponse, HttpClientError> {
    HttpRequest::get()
        .connect_timeout(connect_timeout)
        .read_timeout(read_timeout)
        .send(url)
}

/// Sends a DELETE request; errors as of [`HttpRequest::send`].
pub fn http_delete(
    url: &str,
    connect_timeout: Milliseconds,
    read_timeout: Milliseconds,
) -> Result<HttpResponse, HttpClientError> {
    http_request("DELETE", url, vec![], connect_timeout, read_timeout)
}

/// Reads a complete body.
///
/// # Errors
///
/// If the body is longer than `max_bytes`, ends early, or a part of it does not come in time.
pub fn read_all(response: HttpResponse, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    response
        .take(max_bytes as u64 + 1)
        .read_to_end(&mut bytes)?;
    if bytes.len() > max_bytes {
        let reason = format!("the body is over {max_bytes} bytes");
        return Err(io::Error::other(reason));
    }
    Ok(bytes)
}

/// Reads a complete body with its content type, `application/octet-stream` if none is named; errors as of
/// [`read_all`].
pub fn read_typed_body(response: HttpResponse, max_bytes: usize) -> io::Result<(String, Vec<u8>)> {
    let content_type = response
        .header("content-type")
        .unwrap_or(DEFAULT_CONTENT_TYPE)
        .to_owned();
    read_all(response, max_bytes).map(|body| (content_type, body))
}
