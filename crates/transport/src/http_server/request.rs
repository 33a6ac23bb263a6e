//! A request as its handler gets it.

use crate::socket::ClientConnection;
use bytes::Bytes;
use types::MonotonicInstant;

/// One HTTP request with its complete body.
pub struct Request {
    /// The method in upper case, such as `GET`.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query without its question mark; empty if there is none.
    pub query: String,
    /// Path and query exactly as sent.
    pub target: String,
    /// The body, within the server's bound.
    pub body: Bytes,
    /// The connection that the request came on.
    pub client: ClientConnection,
    /// The last bytes of the request arrived after this instant: at it the socket, or before the connection's first
    /// bytes the listener, was empty. A process that was stopped meanwhile may read the request much later. Without
    /// [`HttpServerBounds::arrival_check_period`](super::HttpServerBounds::arrival_check_period) it's when the server
    /// was opened.
    pub arrived_after: MonotonicInstant,
    parsed_method: http::Method,
    headers: http::HeaderMap,
}

impl Request {
    pub(super) fn new(
        head: http::request::Parts,
        body: Bytes,
        client: ClientConnection,
        arrived_after: MonotonicInstant,
    ) -> Self {
        Request {
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            target: head
                .uri
                .path_and_query()
                .map_or_else(|| head.uri.to_string(), |target| target.as_str().to_owned()),
            body,
            client,
            arrived_after,
            parsed_method: head.method,
            headers: head.headers,
        }
    }

    /// Returns all headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.headers
    }

    /// Returns method, target, headers and body, for the request to be forwarded.
    pub fn into_parts(self) -> (http::Method, String, http::HeaderMap, Bytes) {
        (self.parsed_method, self.target, self.headers, self.body)
    }

    /// Returns a header's first value; `None` if there is none or it's not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the first value of a query parameter, such as `3` for `from` in `?from=3`. The value is
    /// not unescaped.
    pub fn query_parameter(&self, name: &str) -> Option<&str> {
        self.query
            .split('&')
            .filter_map(|parameter| parameter.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the segments of the path, without empty ones.
    pub fn path_segments(&self) -> Vec<&str> {
        self.path
            .split('/')
            .filter(|segment| !segment.is_empty())
            .collect()
    }
}
