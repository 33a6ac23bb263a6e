//! A response as a handler gives it, complete or as a stream.

mod body;

pub(super) use self::body::ResponseBody;
pub use self::body::{BodyChunk, BodySource};

use bytes::Bytes;
use http::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
    TRANSFER_ENCODING, UPGRADE,
};
use types::{Milliseconds, ResultCode};

/// Milliseconds in a second.
const MS_PER_SECOND: u64 = 1000;

/// An HTTP response.
pub struct Response {
    status: u16,
    /// Boxed, so that a response stays small where it is the error of a `Result`.
    headers: Box<HeaderMap>,
    body: ResponseBody,
}

impl Response {
    /// Returns a response with a complete body of this content type.
    pub fn complete(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Self {
        let response = Self::forwarded(status, HeaderMap::new(), body.into());
        response.with_header(CONTENT_TYPE.as_str(), content_type)
    }

    /// Returns a server's response, forwarded completely with these headers. Hop-by-hop headers are removed
    /// as it's written; the length is the body's own.
    pub fn forwarded(status: u16, headers: HeaderMap, body: impl Into<Bytes>) -> Self {
        Response {
            status,
            headers: Box::new(headers),
            body: ResponseBody::complete(body.into()),
        }
    }

    /// Returns a server's response, forwarded as its body comes. With a `content-length` among the headers
    /// that many bytes are to come, else the body is sent in chunks.
    pub fn forwarded_stream(status: u16, headers: HeaderMap, source: Box<dyn BodySource>) -> Self {
        Response {
            status,
            headers: Box::new(headers),
            body: ResponseBody::stream(source),
        }
    }

    /// Returns a response with a JSON value.
    pub fn json(status: u16, value: &impl serde::Serialize) -> Self {
        let text = serde_json::to_vec(value).expect("values of ours are JSON");
        Self::complete(status, "application/json", text)
    }

    /// Returns a numbered result with a reason, and with `Retry-After` where a retry helps.
    pub fn result(code: ResultCode, reason: impl Into<String>) -> Self {
        Self::result_after(code, reason, Milliseconds(0))
    }

    /// Returns the same, where a retry helps no sooner than after `min_delay`.
    pub fn result_after(
        code: ResultCode,
        reason: impl Into<String>,
        min_delay: Milliseconds,
    ) -> Self {
        let ran = if code.is_refusal() {
            serde_json::json!(false)
        } else {
            serde_json::json!("unknown")
        };
        let mut value = serde_json::json!({
            "code": code.number(), "result": code.word(), "why": reason.into(),
        });
        if code.number() < 300 {
            value["ran"] = ran;
        }
        Self::json(code.http_status(), &value).with_retry_delay_of(code, min_delay)
    }

    /// Adds `Retry-After` in whole seconds, rounded up, if a retry helps after this result: the code's
    /// delay, at least `min_delay`.
    #[must_use]
    pub fn with_retry_delay_of(self, code: ResultCode, min_delay: Milliseconds) -> Self {
        match code.comes_back() {
            Some(delay) => {
                let seconds = delay.max(min_delay).0.div_ceil(MS_PER_SECOND);
                self.with_header("retry-after", seconds.to_string())
            }
            None => self,
        }
    }

    /// Returns a response with status 200 whose body is sent as it comes.
    pub fn stream(content_type: &str, source: Box<dyn BodySource>) -> Self {
        Self::forwarded_stream(200, HeaderMap::new(), source)
            .with_header(CONTENT_TYPE.as_str(), content_type)
    }

    /// Adds a header. One that HTTP doesn't allow is logged and left out.
    #[must_use]
    pub fn with_header(mut self, name: impl AsRef<str>, value: impl AsRef<str>) -> Self {
        let parsed_name = HeaderName::from_bytes(name.as_ref().as_bytes());
        match (parsed_name, HeaderValue::from_str(value.as_ref())) {
            (Ok(name), Ok(value)) => drop(self.headers.append(name, value)),
            _ => tracing::warn!(name = name.as_ref(), "invalid response header left out"),
        }
        self
    }

    /// Replaces the status.
    #[must_use]
    pub fn with_status(mut self, status: u16) -> Self {
        self.status = status;
        self
    }

    /// Sets `Retry-After` in seconds with their fraction, such as `0.25`.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Milliseconds) -> Self {
        let seconds = delay.0 / MS_PER_SECOND;
        let fraction_ms = delay.0 % MS_PER_SECOND;
        let text = format!("{seconds}.{fraction_ms:03}");
        let text = text.trim_end_matches('0').trim_end_matches('.');
        let value = HeaderValue::from_str(text).expect("digits and a dot");
        self.headers.insert(RETRY_AFTER, value);
        self
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Returns the bytes of a complete body; 0 for one that is streamed.
    pub fn complete_length(&self) -> usize {
        match &self.body {
            ResponseBody::Complete(body) => body.length(),
            ResponseBody::Stream(_) => 0,
        }
    }

    /// Returns a header's first value; `None` if there is none or it's not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// The response for the HTTP library. The length is set by the library, except where a HEAD request
    /// gets no body that has one; whether the connection is kept alive, and how long, by the server.
    pub(super) fn into_hyper(mut self, is_head_request: bool) -> hyper::Response<ResponseBody> {
        for name in [
            TRANSFER_ENCODING,
            CONNECTION,
            UPGRADE,
            HeaderName::from_static("keep-alive"),
        ] {
            self.headers.remove(name);
        }
        let announced_length = self
            .headers
            .get(CONTENT_LENGTH)
            .and_then(|length| length.to_str().ok()?.parse().ok());
        match &mut self.body {
            ResponseBody::Complete(_) if !is_head_request => {
                self.headers.remove(CONTENT_LENGTH);
            }
            ResponseBody::Complete(_) => {}
            ResponseBody::Stream(stream) => stream.announce_length(announced_length),
        }
        let mut response = hyper::Response::new(self.body);
        *response.status_mut() = final_status(self.status);
        *response.headers_mut() = *self.headers;
        response
    }

    /// The bytes of a complete response that is the last one on its connection, for where the HTTP library
    /// can't write it.
    pub(super) fn into_last_bytes(self) -> Vec<u8> {
        let status = final_status(self.status);
        let body = self.body.into_complete();
        let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
        for (name, value) in self.headers.iter() {
            if name == CONTENT_LENGTH {
                continue;
            }
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        let length = body.len();
        let framing = format!("connection: close\r\ncontent-length: {length}\r\n\r\n");
        bytes.extend_from_slice(framing.as_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }
}

/// A status that ends an exchange: one below 200 announces another response, which won't come.
fn final_status(status: u16) -> hyper::StatusCode {
    let known = hyper::StatusCode::from_u16(status)
        .ok()
        .filter(|known| !known.is_informational());
    known.unwrap_or_else(|| {
        tracing::warn!(status, "invalid response status replaced by 502");
        hyper::StatusCode::BAD_GATEWAY
    })
}

#[cfg(test)]
mod tests;
