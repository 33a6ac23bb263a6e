//! Forwards a call by its route to a server that the scheduler chooses, and relays the response. An interrupted
//! stream that may be retried goes on at another server inside the same response.

mod attempt;
pub(crate) mod detached;
mod forwarded_request;
mod malformed_stream;
mod relay;
mod server_stream;

use crate::admin::metrics::Metrics;
use crate::control::node::{PlacementRequest, Rejection};
use crate::dialect::{Call, CallDialect};
use crate::downstream::authentication::authenticate;
use crate::request::attempts::AttemptOutput;
use crate::request::in_flight::InFlightGuard;
use crate::shared::{PlanInForce, Shared};
use crate::upstream::dispatch::Dispatcher;
use config::{RouteKind, RoutePlan, ServiceKind};
use forwarded_request::ForwardedRequest;
use placement::RequestCost;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use transport::{ClientConnection, ConnectionPool, Request, Response};
use types::{Clock, Milliseconds, MonotonicInstant, RequestId, ResultCode, ServiceName};

/// When a client may come back that met a node which may not act.
const NOT_READY_RETRY_AFTER: Milliseconds = Milliseconds(300);
/// When a client may come back that met a node at its bound of requests.
const BUSY_RETRY_AFTER: Milliseconds = Milliseconds(200);

/// Bytes of a body that the HTTP library copies at most before they are written.
const MAX_SEND_BUFFER_BYTES: usize = 448 << 10;
/// A copy of a body up to this size is part of what each request holds.
const FREE_COPY_BYTES: usize = 16 << 10;

/// What the threads that forward calls share.
pub(crate) struct Forwarder {
    pub shared: Arc<Shared>,
    pub dialect: Arc<dyn CallDialect>,
    pub pool: ConnectionPool,
    #[cfg(test)]
    pub mutant: Option<Mutant>,
}

/// A deliberate fault, by which the tests show that they see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mutant {
    /// What may have run goes to another server all the same.
    RepeatAnything,
    /// An answer to another call, or without the mark, is taken for one to this.
    PassForeign,
    /// A refusal without an id is believed wherever it stands.
    BelieveUnnamed,
    /// Whether a newer epoch is in force is not asked right before the send.
    ForgetEpoch,
    /// A stream that broke ends as if it were whole.
    EndTorn,
    /// A torn stream is taken up at its first event.
    ResumeFromStart,
    /// What is no event of a stream is passed on as one.
    PassMalformed,
    /// What a server broke off in is passed on as an event.
    PassUnterminated,
}

impl Forwarder {
    /// Serves a client's request through all of its phases.
    pub(crate) fn respond(self: &Arc<Self>, request: Request) -> Response {
        let read_at = Clock::now();
        let earliest_arrival = self.shared.suspension.earliest_arrival(read_at);
        let waited = read_at.since(earliest_arrival);
        let client = request.client.clone();
        let call = match self.accept(request, read_at) {
            Ok(call) => call,
            Err(rejection) => return self.reject(None, &rejection),
        };
        let id = call.id.clone();
        match self.prepare(call, client, read_at, waited) {
            Ok((request, first)) => request.respond(first),
            Err(rejection) => self.reject(Some(&id), &rejection),
        }
    }

    /// Phase "accept": counts and reads the request.
    fn accept(&self, request: Request, read_at: MonotonicInstant) -> Result<Call, Rejection> {
        self.shared.last_arrival.store(read_at.0, Ordering::Relaxed);
        Metrics::more(&self.shared.metrics.received);
        self.dialect.read(request)
    }

    /// The phases between reading a call and its first attempt: route, authenticate, admit. The call was read at `read_at`
    /// and may have waited that long before.
    fn prepare(
        self: &Arc<Self>,
        call: Call,
        client: ClientConnection,
        read_at: MonotonicInstant,
        waited: Milliseconds,
    ) -> Result<(ForwardedRequest, AttemptOutput), Rejection> {
        let plan = self.plan()?;
        let route = Self::route(&plan, &call)?;
        let credentials = authenticate(&plan.tenants, route.public, call.api_key.as_ref())?;
        let service = choose_service(route, &call.id)?;
        let patience = call.left.0.min(route.deadline_ms);
        let time_left = Milliseconds(patience.saturating_sub(waited.0));
        let deadline = read_at + time_left;
        reserve_copy(&call, &client)?;
        let guard = self.admit(&call, time_left, deadline)?;
        let priority = credentials
            .and_then(|tenant| tenant.priority)
            .unwrap_or(route.priority);
        let request_cost = RequestCost {
            rank: priority as u8,
            target: Milliseconds(route.target_ms),
            deadline: time_left,
            ..call.request_cost.clone()
        };
        let urgency = request_cost.urgency();
        let is_stream = route.kind == RouteKind::Stream;
        let placement_request = PlacementRequest {
            route: Some(route.name.clone()),
            key: credentials.map(|tenant| tenant.key),
            hashes: call.hashes.clone(),
            request_cost,
            ..PlacementRequest::for_service(&guard, service, service_kind(is_stream))
        };
        let (dispatcher, first) =
            Dispatcher::new(guard, placement_request, Some(route.max_tries as u32));
        let request = ForwardedRequest {
            forwarder: self.clone(),
            is_stream,
            first_chunk_target: Milliseconds(route.target_ms),
            gap_target: Milliseconds(route.gap_target_ms),
            urgency,
            client,
            deadline,
            last_event: call.after,
            call,
            dispatcher,
            server_failure: None,
        };
        Ok((request, first))
    }

    fn plan(&self) -> Result<PlanInForce, Rejection> {
        self.shared
            .plan_in_force()
            .filter(|_| self.shared.may_act())
            .ok_or_else(|| {
                let why = "this node may not act";
                Rejection::with_reason(ResultCode::NotReady, why, NOT_READY_RETRY_AFTER)
            })
    }

    /// Phase "route": finds the route of a call by its host and path.
    fn route<'a>(plan: &'a PlanInForce, call: &Call) -> Result<&'a RoutePlan, Rejection> {
        plan.routes
            .route(&call.host, call.path())
            .ok_or_else(|| unknown_service("no accepted plan has a route for this"))
    }

    /// Phase "admit": a call that must end before `deadline` is admitted if its client can still be waiting, this process
    /// lives as long, and the node is below its bound of requests in flight.
    fn admit(
        &self,
        call: &Call,
        time_left: Milliseconds,
        deadline: MonotonicInstant,
    ) -> Result<InFlightGuard, Rejection> {
        if time_left.0 == 0 {
            Metrics::more(&self.shared.metrics.expired);
            let why = "its client may have given up before it was read";
            return Err(Rejection::with_reason(
                ResultCode::Unsent,
                why,
                Milliseconds(0),
            ));
        }
        if !self.shared.ends_in_time(deadline) {
            let why = "this node stops before that must have ended; another takes it";
            return Err(Rejection::with_reason(
                ResultCode::Draining,
                why,
                Milliseconds(0),
            ));
        }
        let number = self.shared.next_number();
        InFlightGuard::admit(&self.shared, call.id.clone(), number, BUSY_RETRY_AFTER)
    }

    #[cfg(test)]
    fn is_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }
    #[cfg(not(test))]
    const fn is_mutant(&self, _: Mutant) -> bool {
        false
    }

    fn reject(&self, id: Option<&RequestId>, rejection: &Rejection) -> Response {
        self.shared.metrics.refuse(rejection.code);
        self.dialect.refuse(id, rejection)
    }
}

/// Holds what the HTTP library copies of a call's body while it is sent to a server.
fn reserve_copy(call: &Call, client: &ClientConnection) -> Result<(), Rejection> {
    let copied = call.body.len().min(MAX_SEND_BUFFER_BYTES);
    if copied <= FREE_COPY_BYTES {
        return Ok(());
    }
    client.reserve(copied as u64).map_err(|no_room| {
        Rejection::with_reason(ResultCode::Busy, no_room.to_string(), BUSY_RETRY_AFTER)
    })
}

/// The service that a call goes to, by the weights of its route; the same for all requests of one id.
fn choose_service(route: &RoutePlan, id: &RequestId) -> Result<ServiceName, Rejection> {
    let key = u64::from_be_bytes(
        blake3::hash(id.as_str().as_bytes()).as_bytes()[..8]
            .try_into()
            .unwrap_or_default(),
    );
    route
        .service_for(key)
        .map(ServiceName::from)
        .ok_or_else(|| unknown_service("the route leads nowhere"))
}

fn unknown_service(why: &str) -> Rejection {
    Rejection::with_reason(ResultCode::UnknownService, why, Milliseconds(0))
}

const fn service_kind(is_stream: bool) -> ServiceKind {
    if is_stream {
        ServiceKind::Stream
    } else {
        ServiceKind::Fetch
    }
}

#[cfg(test)]
pub(crate) mod tests;
