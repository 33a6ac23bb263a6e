//! Dispatch of an operator's HTTP request to the platform's dialect or to the product's own interface.

use crate::admin::control_client::ControlClient;
use crate::admin::http::HttpInterface;
use crate::admin::task::AdminAnswer;
use crate::event_loop::ControlEvent;
use crate::metrics::Metrics;
use crate::process::Dialects;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use transport::{NoRoom, Request, ResourceBudget, Response};
use types::{Clock, MonotonicInstant, ResultCode, ZoneName};

/// What the connection threads share.
pub(crate) struct RequestHandler {
    /// The way to the control thread for operators' requests.
    pub control: ControlClient,
    /// How operators speak to this controller.
    pub dialects: Dialects,
    /// Zones that may be withdrawn besides those that members and plans name.
    pub zones: Vec<ZoneName>,
    /// The way to the control thread for requests that the state machine has no part in.
    pub sender: flume::Sender<ControlEvent>,
    /// Whether this replica serves the core.
    pub is_ready: Arc<AtomicBool>,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
    /// What operators and peers make the process hold.
    pub budget: ResourceBudget,
    /// Bytes of the longest answer so far: an answer's length is known only once it's there.
    pub longest_answer: AtomicUsize,
}

/// What is made of a document takes so many times its bytes while it's checked and merged.
const PARSED_COPIES: usize = 6;
/// Bytes of it, and of an answer, that each request holds anyway.
const FREE_BYTES: usize = 16 << 10;

impl RequestHandler {
    /// Serves one request. A dialect comes before the product's own interface, of which it leaves GET requests alone.
    pub(crate) fn respond(&self, request: &Request) -> Response {
        let expected_answer = match request.method.as_str() {
            "GET" => self.longest_answer.load(Ordering::Relaxed),
            _ => 0,
        };
        let expected_bytes = request.body.len() * PARSED_COPIES + expected_answer;
        if let Err(response) = reserve(request, expected_bytes) {
            return response;
        }
        self.metrics.set_budget(&self.budget.usage());
        let response = self.respond_within(request);
        let length = response.complete_length();
        self.longest_answer.fetch_max(length, Ordering::Relaxed);
        response
    }

    /// Serves a request for which all is held that it takes.
    fn respond_within(&self, request: &Request) -> Response {
        let Some(admin) = &self.dialects.admin else {
            return self.respond_own(request);
        };
        let attempt = self.dialects.attempt(request);
        match admin.read(request) {
            Ok(Some(call)) => {
                let plans = self.dialects.plans.as_ref();
                let is_ready = self.is_ready.load(Ordering::Relaxed);
                let received_at = Clock::now();
                let answer = self
                    .control
                    .execute(call, plans, &self.zones, is_ready, &attempt);
                log_answer(request, &answer, received_at);
                admin.write(answer)
            }
            Ok(None) if request.method == "GET" => self.respond_own(request),
            Ok(None) => not_found(request),
            Err(response) => *response,
        }
    }

    fn respond_own(&self, request: &Request) -> Response {
        let interface = HttpInterface::new(
            request,
            &self.control,
            &self.sender,
            &self.is_ready,
            &self.metrics,
        );
        interface.respond()
    }
}

/// Holds what serving a request takes. Where there is no room, nothing was changed.
fn reserve(request: &Request, bytes: usize) -> Result<(), Response> {
    if bytes <= FREE_BYTES {
        return Ok(());
    }
    let refused = |no_room: NoRoom| match no_room {
        NoRoom::TooLarge => Response::result(ResultCode::TooLarge, no_room.to_string()),
        NoRoom::Busy | NoRoom::Evicted => {
            Response::result(ResultCode::CoreNotReady, no_room.to_string())
        }
    };
    request.client.reserve(bytes as u64).map_err(refused)
}

/// Logs the outcome of a request that changes something.
fn log_answer(request: &Request, answer: &AdminAnswer, received_at: MonotonicInstant) {
    if request.method == "GET" {
        return;
    }
    let outcome = match answer {
        AdminAnswer::Done | AdminAnswer::Plan(_) => ResultCode::Accepted,
        AdminAnswer::Refused { code, .. } => *code,
    };
    let took_ms = Clock::now().since(received_at).0;
    let (method, path) = (request.method.as_str(), request.path.as_str());
    tracing::info!(method, path, %outcome, took_ms, "admin: change answered");
}

/// The response to a method and path that nothing is served at.
pub(crate) fn not_found(request: &Request) -> Response {
    let reason = format!("{} {} is not known here", request.method, request.path);
    Response::result(ResultCode::NotFound, reason)
}
