//! The router's own interface: clients, probes and operators in the product's own dialect.

use crate::admin::decision_log::DecisionLog;
use crate::control::event::ControlEvent;
use crate::control::node::NodeInput;
use crate::downstream::client_api::{fetch, resume, run_request};
use crate::shared::Shared;
use std::sync::Arc;
use std::time::Duration;
use transport::{BodyChunk, BodySource, Request, ResourceBudget, Response};
use types::{ApiKey, ResultCode};

/// What is made of a body takes so many times its bytes while it's read.
const PARSED_COPIES: usize = 3;
/// Bytes of it that each request holds anyway.
const FREE_PARSED_BYTES: usize = 16 << 10;

/// What the threads of the own interface share.
pub(super) struct OwnInterface {
    pub(super) shared: Arc<Shared>,
    pub(super) decisions: DecisionLog,
    pub(super) events: DecisionLog,
    pub(super) head: String,
    pub(super) budget: ResourceBudget,
}

impl OwnInterface {
    /// Answers a request.
    pub(super) fn respond(self: Arc<Self>, request: &Request) -> Response {
        let parsed_bytes = request.body.len() * PARSED_COPIES;
        if parsed_bytes > FREE_PARSED_BYTES
            && let Err(no_room) = request.client.reserve(parsed_bytes as u64)
        {
            return Response::result(ResultCode::Busy, no_room.to_string());
        }
        let api_key = request
            .header("authorization")
            .and_then(ApiKey::from_bearer);
        let api_key = api_key.as_ref();
        match (request.method.as_str(), request.path_segments().as_slice()) {
            ("POST", ["v1", "requests"]) => run_request(&self.shared, &request.body, api_key),
            ("POST", ["v1", "resume"]) => resume(&self.shared, &request.body, api_key),
            ("GET", ["v1", "pages", service, rest @ ..]) => fetch(
                &self.shared,
                service,
                &rest.join("/"),
                request.header("x-request-id"),
                api_key,
            ),
            ("GET", ["ready"]) => self.shared.readiness(),
            ("GET", ["metrics"]) => {
                self.shared.metrics.set_budget(&self.budget.usage());
                Response::complete(200, "text/plain; version=0.0.4", self.shared.metrics.text())
            }
            ("GET", ["v1", "believes"]) => {
                let (response, inbox) = flume::bounded(1);
                let _ = self.shared.control.send(ControlEvent::Believes(response));
                match inbox.recv_timeout(Duration::from_secs(5)) {
                    Ok(value) => Response::json(200, &value),
                    Err(_) => {
                        Response::result(ResultCode::NotReady, "the control thread gave no answer")
                    }
                }
            }
            ("GET", ["v1", "decisions"]) => self.tail(request, DecisionLogKind::Decisions),
            ("GET", ["v1", "events"]) => self.tail(request, DecisionLogKind::Events),
            ("POST", ["v1", "events"]) => self.push(&request.body),
            _ => Response::result(
                ResultCode::NotFound,
                format!("{} {} is not known here", request.method, request.path),
            ),
        }
    }

    fn tail(self: Arc<Self>, request: &Request, kind: DecisionLogKind) -> Response {
        let cursor = match request.query_parameter("after").map(str::parse) {
            Some(Ok(cursor)) => cursor,
            Some(Err(_)) => {
                return Response::result(ResultCode::BadRequest, "after is not a number");
            }
            None => 0,
        };
        let does_follow = request.query_parameter("follow") == Some("true");
        let head =
            (cursor == 0 && kind == DecisionLogKind::Events).then(|| format!("{}\n", self.head));
        let source = DecisionLogSource {
            interface: self,
            kind,
            cursor,
            does_follow,
            head,
        };
        Response::stream("application/x-ndjson", Box::new(source))
    }

    /// Takes events that operators push in. Those that would get round the accepted configuration, the
    /// platform's list or the members are turned away; all lines are read before any is taken.
    fn push(&self, body: &[u8]) -> Response {
        let Ok(text) = std::str::from_utf8(body) else {
            return Response::result(ResultCode::BadRequest, "the body is not UTF-8");
        };
        let mut events = vec![];
        for (place, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
        {
            use placement::Event as E;
            match serde_json::from_str::<E>(line) {
                Ok(
                    E::Rules { .. }
                    | E::Members { .. }
                    | E::ServerList { .. }
                    | E::PeerSketch { .. },
                ) => {
                    let why = format!(
                        "line {}: rules, members, the server list and peer sketches come from the fleet alone",
                        place + 1
                    );
                    return Response::result(ResultCode::BadRequest, why);
                }
                Ok(event) => events.push(event),
                Err(fault) => {
                    return Response::result(
                        ResultCode::BadRequest,
                        format!("line {}: {fault}", place + 1),
                    );
                }
            }
        }
        let count = events.len();
        for event in events {
            let _ = self
                .shared
                .control
                .send(ControlEvent::Input(NodeInput::Event(event)));
        }
        Response::json(200, &serde_json::json!({"taken": count}))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum DecisionLogKind {
    Decisions,
    Events,
}

struct DecisionLogSource {
    interface: Arc<OwnInterface>,
    kind: DecisionLogKind,
    cursor: u64,
    does_follow: bool,
    head: Option<String>,
}

impl BodySource for DecisionLogSource {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(head) = self.head.take() {
            return BodyChunk::Data(head.into_bytes().into());
        }
        let journal = match self.kind {
            DecisionLogKind::Decisions => &self.interface.decisions,
            DecisionLogKind::Events => &self.interface.events,
        };
        let timeout = if self.does_follow {
            timeout
        } else {
            Duration::ZERO
        };
        let (lines, cursor) = journal.after(self.cursor, 256, timeout);
        self.cursor = cursor;
        if !lines.is_empty() {
            return BodyChunk::Data((lines.join("\n") + "\n").into_bytes().into());
        }
        if self.does_follow {
            BodyChunk::Pending
        } else {
            BodyChunk::End
        }
    }
}
