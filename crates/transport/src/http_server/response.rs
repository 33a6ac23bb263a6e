use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING, UPGRADE,
};
use hyper::body::{Body, Frame};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use types::{Milliseconds, ResultCode};

/// What a stream gives when asked for its next piece.
pub enum Pull {
    /// Bytes to send now.
    Piece(Bytes),
    /// Nothing yet; the gate looks whether the client is still there, then asks again.
    Nothing,
    /// All has been given.
    End,
    /// The stream broke: the connection is cut, without an HTTP end.
    Cut,
}

/// Where a streamed answer comes from. Dropped early when the client has gone.
pub trait PieceSource: Send {
    /// Waits for the next piece at most this long.
    fn pull(&mut self, patience: Duration) -> Pull;
    /// How long a pull may wait. One that watches the client by itself may wait longer: else the gate
    /// looks after it between two pulls.
    fn patience(&self) -> Duration {
        Duration::from_millis(100)
    }
}

/// An answer towards HTTP.
pub struct Response {
    status: u16,
    /// Boxed, so that a response stays small where it is the fault of a result.
    headers: Box<HeaderMap>,
    body: ResponseBody,
}

pub(crate) enum ResponseBody {
    Whole(Option<Bytes>),
    Streamed {
        source: Box<dyn PieceSource>,
        has_given: bool,
        /// Bytes still to come of the length that was told.
        left: Option<u64>,
    },
}

impl Response {
    /// A whole body of this type.
    pub fn whole(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let response = Self::passed(status, HeaderMap::new(), body.into());
        response.with_header(CONTENT_TYPE.as_str(), content_type)
    }
    /// A server's answer, passed on whole with these headers. Those that concern a connection only are
    /// not taken out here; the length is the body's own.
    pub fn passed(status: u16, headers: HeaderMap, body: impl Into<Bytes>) -> Self {
        Response {
            status,
            headers: Box::new(headers),
            body: ResponseBody::Whole(Some(body.into())),
        }
    }
    /// A server's answer, passed on as its pieces come. With a `content-length` among the headers that
    /// many bytes are to come, else it goes in chunks.
    pub fn passed_stream(status: u16, headers: HeaderMap, source: Box<dyn PieceSource>) -> Self {
        Response {
            status,
            headers: Box::new(headers),
            body: ResponseBody::Streamed {
                source,
                has_given: false,
                left: None,
            },
        }
    }
    /// A JSON value.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("values of ours are JSON");
        Self::whole(status, "application/json", text)
    }
    /// A numbered result with a sentence of its own, and when to come back if that helps.
    pub fn result(code: ResultCode, why: impl Into<String>) -> Self {
        Self::result_after(code, why, Milliseconds(0))
    }
    /// The same, to come back not before this.
    pub fn result_after(code: ResultCode, why: impl Into<String>, earliest: Milliseconds) -> Self {
        let ran = if code.is_refusal() {
            serde_json::json!(false)
        } else {
            serde_json::json!("unknown")
        };
        let mut value = serde_json::json!({
            "code": code.number(), "result": code.word(), "why": why.into(),
        });
        if code.number() < 300 {
            value["ran"] = ran;
        }
        Self::json(code.http_status(), &value).to_come_back(code, earliest)
    }
    /// Says when to come back, where the code says that it helps.
    #[must_use]
    pub fn to_come_back(self, code: ResultCode, earliest: Milliseconds) -> Self {
        match code.comes_back() {
            Some(span) => self.with_header(
                "retry-after",
                span.max(earliest).0.div_ceil(1000).to_string(),
            ),
            None => self,
        }
    }
    /// Pieces as they come.
    pub fn streamed(content_type: &str, source: Box<dyn PieceSource>) -> Self {
        Self::passed_stream(200, HeaderMap::new(), source)
            .with_header(CONTENT_TYPE.as_str(), content_type)
    }
    /// The same with one more header. One that HTTP doesn't allow is left out.
    #[must_use]
    pub fn with_header(mut self, name: impl AsRef<str>, value: impl AsRef<str>) -> Self {
        let name = HeaderName::from_bytes(name.as_ref().as_bytes());
        match (name, HeaderValue::from_str(value.as_ref())) {
            (Ok(name), Ok(value)) => drop(self.headers.append(name, value)),
            _ => tracing::warn!("response: a header that HTTP doesn't allow was left out."),
        }
        self
    }
    /// With another status.
    #[must_use]
    pub fn with_status(mut self, status: u16) -> Self {
        self.status = status;
        self
    }
    /// Says when to come back, in seconds with their fraction, such as `0.25`.
    #[must_use]
    pub fn retry_after(mut self, span: Milliseconds) -> Self {
        let text = format!("{}.{:03}", span.0 / 1000, span.0 % 1000);
        let text = text.trim_end_matches('0').trim_end_matches('.');
        self.headers.insert(
            RETRY_AFTER,
            HeaderValue::from_str(text).expect("digits and a dot"),
        );
        self
    }
    /// Its HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }
    /// A header that it has.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
    /// As hyper takes it. The length is hyper's to tell, but where there is no body that has one; whether
    /// the connection is kept, and how long, is the gate's.
    pub(crate) fn into_hyper(mut self, is_head: bool) -> hyper::Response<ResponseBody> {
        for name in [
            TRANSFER_ENCODING,
            CONNECTION,
            UPGRADE,
            HeaderName::from_static("keep-alive"),
        ] {
            self.headers.remove(name);
        }
        let told = self
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse().ok());
        match &mut self.body {
            ResponseBody::Whole(_) if !is_head => drop(self.headers.remove(CONTENT_LENGTH)),
            ResponseBody::Whole(_) => {}
            ResponseBody::Streamed { left, .. } => *left = told,
        }
        let mut response = hyper::Response::new(self.body);
        *response.status_mut() = final_status(self.status);
        *response.headers_mut() = *self.headers;
        response
    }
    /// The bytes of a whole response that is the last one on its connection, for where hyper can't give it.
    pub(crate) fn into_last_bytes(self) -> Vec<u8> {
        let status = final_status(self.status);
        let body = match self.body {
            ResponseBody::Whole(body) => body.unwrap_or_default(),
            ResponseBody::Streamed { .. } => Bytes::new(),
        };
        let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
        for (name, value) in self
            .headers
            .iter()
            .filter(|(name, _)| **name != CONTENT_LENGTH)
        {
            for part in [name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"] {
                bytes.extend_from_slice(part);
            }
        }
        bytes.extend_from_slice(
            format!(
                "connection: close\r\ncontent-length: {}\r\n\r\n",
                body.len()
            )
            .as_bytes(),
        );
        bytes.extend_from_slice(&body);
        bytes
    }
}

/// A status that ends an exchange: one below 200 announces another answer, which won't come.
fn final_status(status: u16) -> hyper::StatusCode {
    let known = hyper::StatusCode::from_u16(status)
        .ok()
        .filter(|known| !known.is_informational());
    known.unwrap_or_else(|| {
        tracing::warn!("response: {status} is no status of an answer.");
        hyper::StatusCode::BAD_GATEWAY
    })
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    /// Gives a piece, then is pending once, so that hyper flushes it and looks at the connection
    /// before the next one is waited for.
    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut *self {
            ResponseBody::Whole(body) => Poll::Ready(
                body.take()
                    .filter(|b| !b.is_empty())
                    .map(|b| Ok(Frame::data(b))),
            ),
            ResponseBody::Streamed {
                source,
                has_given,
                left,
            } => {
                if std::mem::take(has_given) {
                    context.waker().wake_by_ref();
                    return Poll::Pending;
                }
                match source.pull(source.patience()) {
                    Pull::Piece(bytes) => {
                        if let Some(left) = left {
                            // More than was told is no part of this answer, and of no other.
                            let Some(rest) = left.checked_sub(bytes.len() as u64) else {
                                return Poll::Ready(Some(Err(io::Error::other(
                                    "more bytes than were told",
                                ))));
                            };
                            *left = rest;
                        }
                        *has_given = true;
                        Poll::Ready(Some(Ok(Frame::data(bytes))))
                    }
                    Pull::Nothing => {
                        context.waker().wake_by_ref();
                        Poll::Pending
                    }
                    Pull::End => Poll::Ready(None),
                    Pull::Cut => Poll::Ready(Some(Err(io::Error::other("the stream broke")))),
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            ResponseBody::Whole(Some(body)) => hyper::body::SizeHint::with_exact(body.len() as u64),
            ResponseBody::Whole(None) => hyper::body::SizeHint::with_exact(0),
            ResponseBody::Streamed { .. } => hyper::body::SizeHint::default(),
        }
    }
}

#[cfg(test)]
mod tests;
