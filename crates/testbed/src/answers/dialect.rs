//! How the stand-ins of `answers` speak.

use bytes::Bytes;
use placement::ServerEntry;
use router::{AnswerIdentity, Call, CallDialect, ClaimedIdentity, Rejection, Sending, ServerLoad};
use transport::{Request, Response};
use types::{Milliseconds, RequestId, ResultCode};

/// The header that names a call.
pub(super) const ID: &str = "x-call";
/// The header that only servers set, on the answers that they ran a call for.
pub(super) const MARK: &str = "x-mark";
/// The header that says that a call did not run.
pub(super) const NOT_RUN: &str = "x-not-run";
/// The header that tells how long the client waits.
pub(super) const WAIT: &str = "x-wait";
/// The header that names the server that is meant.
pub(super) const SERVER: &str = "x-server";
/// The header behind whose piece a stream goes on.
pub(super) const AFTER: &str = "x-after";

/// The dialect.
pub(super) struct Dialect {
    /// The deliberate fault of believing refusals without an id.
    pub believes_unnamed: bool,
}

impl CallDialect for Dialect {
    fn read(&self, request: Request) -> Result<Call, Rejection> {
        let deny = || Rejection {
            code: ResultCode::BadRequest,
            why: "no id".into(),
            retry_after: Milliseconds(0),
        };
        let number = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        let id = RequestId::from(request.header(ID).ok_or_else(deny)?);
        let host = request.header("host").unwrap_or_default().to_owned();
        let (left, after) = (Milliseconds(number(WAIT).unwrap_or(20_000)), number(AFTER));
        let (method, target, mut headers, body) = request.into_parts();
        for name in [WAIT, AFTER, "connection", "content-length"] {
            headers.remove(name);
        }
        Ok(Call {
            id,
            method,
            host,
            target,
            api_key: None,
            headers,
            body,
            left,
            after,
            hashes: vec![],
            request_cost: Default::default(),
        })
    }
    fn refuse(&self, id: Option<&RequestId>, rejection: &Rejection) -> Response {
        let response = Response::forwarded(
            rejection.code.http_status(),
            http::HeaderMap::new(),
            rejection.code.word(),
        );
        response.with_header(ID, id.map_or("", RequestId::as_str))
    }
    fn request(&self, call: &Call, sending: &Sending<'_>) -> http::Request<Bytes> {
        let mut request = http::Request::new(call.body.clone());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.parse().unwrap_or_default();
        *request.headers_mut() = call.headers.clone();
        if let Ok(server) = sending.server.as_str().parse() {
            request.headers_mut().insert(SERVER, server);
        }
        if let Some(after) = sending.after {
            request.headers_mut().insert(AFTER, after.into());
        }
        request
    }
    fn identity(&self, call: &Call, head: &http::response::Parts) -> AnswerIdentity {
        let is_refusal = matches!(
            self.claim(head),
            ClaimedIdentity::NotRun | ClaimedIdentity::Elsewhere
        );
        let mut ids = head.headers.get_all(ID).iter();
        match (ids.next(), ids.next()) {
            (None, _) if self.believes_unnamed && is_refusal => AnswerIdentity::Own,
            (None, _) => AnswerIdentity::Missing,
            (Some(id), None) if id.as_bytes() == call.id.as_str().as_bytes() => AnswerIdentity::Own,
            _ => AnswerIdentity::Other,
        }
    }
    fn claim(&self, head: &http::response::Parts) -> ClaimedIdentity {
        match head.status.as_u16() {
            ..200 => ClaimedIdentity::Nothing,
            421 => ClaimedIdentity::Elsewhere,
            _ if head.headers.contains_key(NOT_RUN) => ClaimedIdentity::NotRun,
            200..300 if head.headers.contains_key(MARK) => ClaimedIdentity::Success,
            200..300 => ClaimedIdentity::Nothing,
            _ => ClaimedIdentity::Failure,
        }
    }
    fn load(&self, _: &http::response::Parts) -> Option<ServerLoad> {
        None
    }
    fn passed(&self, head: &http::response::Parts) -> http::HeaderMap {
        let mut headers = head.headers.clone();
        for name in [
            "connection",
            "keep-alive",
            "transfer-encoding",
            "content-length",
        ] {
            headers.remove(name);
        }
        headers
    }
    fn is_probe(&self, _: &Request) -> bool {
        false
    }
    fn list_request(&self, _: Option<&str>) -> http::Request<Bytes> {
        http::Request::new(Bytes::new())
    }
    fn read_list(&self, _: &[u8]) -> Result<(Vec<ServerEntry>, Option<String>), String> {
        Err("there is none".into())
    }
}
