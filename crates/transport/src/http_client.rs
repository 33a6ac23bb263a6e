use attohttpc::body::{Body, BodyKind};
use attohttpc::{ProxySettings, RequestBuilder, Response};
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use types::Milliseconds;

/// Why an asked server gave no head.
#[derive(Debug, thiserror::Error)]
pub enum HttpClientError {
    /// The connection was never made, so no byte of the request left.
    #[error("no connection: {0}")]
    Unsent(String),
    /// It may not leave any more; nothing that a server could run was sent.
    #[error("withheld at the last moment")]
    Withheld,
    /// Something may have reached the server.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// How we ask: no redirects, no proxies from the environment, bounded waits.
pub trait HttpRequestExt: Sized {
    /// Sets those.
    fn plainly(self, connect: Milliseconds, read: Milliseconds) -> Self;
}

impl<B> HttpRequestExt for RequestBuilder<B> {
    fn plainly(self, connect: Milliseconds, read: Milliseconds) -> Self {
        self.follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build())
            .connect_timeout(connect.duration())
            .read_timeout(read.duration())
    }
}

/// A body that notes when it's first asked for, which is after the connection was made and before
/// any byte is sent: head and body leave in one buffer.
///
/// Invariant: a body that must not leave any more never does. The library then sends the head alone
/// (its buffer is flushed as it's dropped), which announces a body that doesn't come: no server can run
/// that. A head that announces no body is not so protected; a fetch has only the question before the
/// connection.
struct Marked {
    bytes: Vec<u8>,
    may_leave: Box<dyn Fn() -> bool + Send>,
    state: Arc<AtomicU8>,
}

impl Marked {
    const UNASKED: u8 = 0;
    const WITHHELD: u8 = 1;
    const SENT: u8 = 2;
}

impl Body for Marked {
    fn kind(&mut self) -> io::Result<BodyKind> {
        Ok(BodyKind::KnownLength(self.bytes.len() as u64))
    }
    fn write<W: Write>(&mut self, mut writer: W) -> io::Result<()> {
        if !self.bytes.is_empty() && !(self.may_leave)() {
            self.state.store(Self::WITHHELD, Ordering::SeqCst);
            return Err(io::Error::other("withheld"));
        }
        self.state.store(Self::SENT, Ordering::SeqCst);
        writer.write_all(&self.bytes)
    }
    fn content_type(&mut self) -> io::Result<Option<String>> {
        Ok(Some("application/json".into()))
    }
}

/// What a server said: its head, and its body to be read on.
///
/// Invariant: reading ends well only if all of the announced body came. The library flags a cut
/// chunked body, but not one that is shorter than its `content-length`; this does.
#[derive(Debug)]
pub struct Heard {
    response: Response,
    missing: Option<u64>,
}

impl Heard {
    fn new(response: Response) -> Self {
        let length = response
            .headers()
            .get("content-length")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        Heard {
            response,
            missing: length,
        }
    }
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.response.status().as_u16()
    }
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers().get(name)?.to_str().ok()
    }
}

impl Read for Heard {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.response.read(buffer)?;
        if let Some(missing) = &mut self.missing {
            if count == 0 && *missing > 0 && !buffer.is_empty() {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    format!("{missing} bytes of the body are missing"),
                ));
            }
            *missing = missing.saturating_sub(count as u64);
        }
        Ok(count)
    }
}

/// One request to a server: what, how long to wait, and whether it may still leave.
pub struct Ask {
    method: http::Method,
    json: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    connect: Milliseconds,
    read: Milliseconds,
    may_leave: Box<dyn Fn() -> bool + Send>,
}

impl Ask {
    fn new(method: http::Method, json: Vec<u8>) -> Self {
        Ask {
            method,
            json,
            headers: vec![],
            connect: Milliseconds(1000),
            read: Milliseconds(1000),
            may_leave: Box::new(|| true),
        }
    }
    /// Gets something.
    pub fn get() -> Self {
        Self::new(http::Method::GET, vec![])
    }
    /// Posts JSON.
    pub fn post(json: Vec<u8>) -> Self {
        Self::new(http::Method::POST, json)
    }
    /// Sends this header, too.
    pub fn header(mut self, name: &'static str, value: String) -> Self {
        self.headers.push((name, value));
        self
    }
    /// Waits for the connection this long.
    pub fn connect(mut self, span: Milliseconds) -> Self {
        self.connect = span;
        self
    }
    /// Waits for the head, and for each part of the body, this long.
    pub fn read(mut self, span: Milliseconds) -> Self {
        self.read = span;
        self
    }
    /// Asked before the connection is made and once more when it is, right before the body leaves.
    pub fn only_if(mut self, may_leave: impl Fn() -> bool + Send + 'static) -> Self {
        self.may_leave = Box::new(may_leave);
        self
    }
    /// Sends it; gives the head as soon as it comes, the body to be read on.
    pub fn send(self, url: &str) -> Result<Heard, HttpClientError> {
        if !(self.may_leave)() {
            return Err(HttpClientError::Withheld);
        }
        let state = Arc::new(AtomicU8::new(Marked::UNASKED));
        let unsent = |fault: attohttpc::Error| HttpClientError::Unsent(fault.to_string());
        let mut builder = attohttpc::RequestBuilder::try_new(self.method, url).map_err(unsent)?;
        for (name, value) in self.headers {
            builder = builder.try_header(name, value).map_err(unsent)?;
        }
        let marked = Marked {
            bytes: self.json,
            may_leave: self.may_leave,
            state: state.clone(),
        };
        let outcome = builder.body(marked).plainly(self.connect, self.read).send();
        outcome
            .map(Heard::new)
            .map_err(|fault| match state.load(Ordering::SeqCst) {
                Marked::UNASKED => HttpClientError::Unsent(fault.to_string()),
                Marked::WITHHELD => HttpClientError::Withheld,
                _ => HttpClientError::Unknown(fault.to_string()),
            })
    }
}

/// Posts JSON.
pub fn http_post(
    url: &str,
    json: Vec<u8>,
    connect: Milliseconds,
    read: Milliseconds,
) -> Result<Heard, HttpClientError> {
    Ask::post(json).connect(connect).read(read).send(url)
}

/// Asks with any method and a JSON body.
pub fn http_request(
    method: &str,
    url: &str,
    json: Vec<u8>,
    connect: Milliseconds,
    read: Milliseconds,
) -> Result<Heard, HttpClientError> {
    let method = http::Method::from_bytes(method.as_bytes())
        .map_err(|fault| HttpClientError::Unsent(fault.to_string()))?;
    Ask::new(method, json).connect(connect).read(read).send(url)
}

/// Gets a page.
pub fn http_get(
    url: &str,
    connect: Milliseconds,
    read: Milliseconds,
) -> Result<Heard, HttpClientError> {
    Ask::get().connect(connect).read(read).send(url)
}

/// Asks to delete something, such as a run.
pub fn http_delete(
    url: &str,
    connect: Milliseconds,
    read: Milliseconds,
) -> Result<Heard, HttpClientError> {
    http_request("DELETE", url, vec![], connect, read)
}

/// Reads a whole body up to a bound; a body that ends early is a fault.
pub fn read_all(heard: Heard, bound: usize) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    heard.take(bound as u64 + 1).read_to_end(&mut bytes)?;
    if bytes.len() > bound {
        return Err(io::Error::other(format!("the body is over {bound} bytes")));
    }
    Ok(bytes)
}

/// Reads a whole page with its type, up to a bound; a page that ends early is a fault.
pub fn read_page(heard: Heard, bound: usize) -> io::Result<(String, Vec<u8>)> {
    let content_type = heard
        .header("content-type")
        .unwrap_or("application/octet-stream")
        .to_owned();
    read_all(heard, bound).map(|body| (content_type, body))
}
