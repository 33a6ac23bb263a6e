//! One connection of a server, from its first byte to its end.
//!
//! The event loop polls the HTTP library, lets [`ConnectionDriver`] decide on the next [`Step`], and waits
//! for the socket in between.

use super::arrival::ArrivalTracker;
use super::body_buffer::BodyBuffer;
use super::closing::{Ending, refusal};
use super::framing::{RequestError, RequestProgress};
use super::request_reader::{Exchange, RequestReader, begin_request};
use super::response::{Response, ResponseBody};
use super::state::{ServerSettings, ServerState};
use super::{HttpServerBounds, Request};
use crate::resource_budget::{ConnectionSlot, NoRoom};
use crate::socket::{
    ClientConnection, Readiness, Socket, SocketStream, WakeFlag, wait_for_readiness,
};
use ::resource_budget::Phase;
use bytes::Bytes;
use http::HeaderValue;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::future::Future;
use std::net::TcpStream;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker};
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// Once the server drains, requests that were on the wire have this long to come in.
const DRAIN_LINGER: Milliseconds = Milliseconds(500);
/// The HTTP library's own bound on a head; limits beyond it act as this.
pub(super) const MAX_HEADER_BYTES: usize = 384 << 10;

/// What the event loop does next.
enum Step {
    /// Polls the library again at once.
    Poll,
    /// Waits for the socket, for changed settings or for a time-out.
    Wait,
    /// Ends the connection.
    Close(Ending),
}

/// What the connection waits for, and since when.
#[derive(Clone, Copy)]
struct Awaited {
    progress: RequestProgress,
    since: MonotonicInstant,
}

impl Awaited {
    fn from_now(progress: RequestProgress) -> Self {
        Awaited {
            progress,
            since: Clock::now(),
        }
    }
}

/// When a wait ends, and how the connection ends then.
#[derive(Debug, PartialEq, Eq)]
struct WaitDeadline {
    at: MonotonicInstant,
    /// Whether no byte of a request has come: then the connection is closed without a response.
    is_idle: bool,
}

/// Decides what happens on one connection.
struct ConnectionDriver<'a> {
    socket: &'a Socket,
    exchange: &'a Exchange,
    bounds: &'a HttpServerBounds,
    state: &'a ServerState,
    settings: ServerSettings,
    awaited: Awaited,
    arrivals: ArrivalTracker,
    /// Bytes written when the library was last polled.
    sent_before: u64,
}

/// Serves a connection until either side ends it. `arrivals` knows when the connection can't have come yet.
pub(super) fn serve_connection<H: Fn(Request) -> Response + Clone>(
    stream: TcpStream,
    slot: ConnectionSlot,
    arrivals: ArrivalTracker,
    bounds: HttpServerBounds,
    state: &ServerState,
    handler: H,
) {
    let socket = Socket::accepted(stream, slot);
    let exchange = Rc::new(Exchange::new(
        state.settings().limits.request,
        arrivals.last_empty(),
    ));
    let service = service_fn(|request: hyper::Request<Incoming>| {
        respond(request, handler.clone(), &socket, exchange.clone(), state)
    });
    let reader = RequestReader {
        stream: SocketStream {
            socket: socket.clone(),
            write_timeout: Some(SocketStream::CLIENT_WRITE_TIMEOUT),
        },
        exchange: exchange.clone(),
    };
    let ending = {
        // All that the library holds is let go before the connection's end is awaited.
        let library = pin!(
            http1::Builder::new()
                .keep_alive(bounds.keep_alive)
                .auto_date_header(false)
                .max_header_size(MAX_HEADER_BYTES)
                .serve_connection(reader, service)
        );
        ConnectionDriver::new(&socket, &exchange, arrivals, &bounds, state).run(library)
    };
    ending.close(&socket, &exchange);
}

impl<'a> ConnectionDriver<'a> {
    fn new(
        socket: &'a Socket,
        exchange: &'a Exchange,
        arrivals: ArrivalTracker,
        bounds: &'a HttpServerBounds,
        state: &'a ServerState,
    ) -> Self {
        let awaited = Awaited::from_now(exchange.progress());
        ConnectionDriver {
            socket,
            exchange,
            bounds,
            state,
            settings: adopt_settings(state, exchange),
            awaited,
            arrivals,
            sent_before: 0,
        }
    }

    /// Runs the event loop until the connection is to be ended.
    fn run(
        mut self,
        mut library: Pin<&mut impl Future<Output = Result<(), hyper::Error>>>,
    ) -> Ending {
        let wake_flag = Arc::new(WakeFlag::default());
        let waker = Waker::from(wake_flag.clone());
        let mut context = Context::from_waker(&waker);
        loop {
            if self.state.has_changed(&self.settings) {
                self.settings = adopt_settings(self.state, self.exchange);
            }
            let polled = library.as_mut().poll(&mut context);
            if self.socket.is_evicted() && !self.exchange.is_responding.get() {
                return Ending::Evicted(self.exchange.progress());
            }
            let step = match polled {
                Poll::Ready(outcome) => Step::Close(Ending::Finished(outcome)),
                Poll::Pending if wake_flag.take() => self.on_wake(),
                Poll::Pending => self.on_pending(),
            };
            let step = match step {
                Step::Wait => self.wait(),
                other => other,
            };
            if let Step::Close(ending) = step {
                return ending;
            }
        }
    }

    /// The library wants to be polled again. If the round wrote nothing, the body's source has nothing
    /// yet: then the client is looked after.
    fn on_wake(&mut self) -> Step {
        let sent_count = self.socket.sent_count.load(Ordering::Relaxed);
        let has_sent_nothing = std::mem::replace(&mut self.sent_before, sent_count) == sent_count;
        let is_abandoned =
            self.exchange.is_responding.get() && has_sent_nothing && self.socket.is_disconnected();
        if is_abandoned {
            Step::Close(Ending::ClientDisconnected)
        } else {
            Step::Poll
        }
    }

    /// The library waits for bytes. Handlers and body sources wait by themselves, so a response that had
    /// begun is complete.
    fn on_pending(&mut self) -> Step {
        if self.exchange.is_responding.replace(false) {
            if self.exchange.progress() != RequestProgress::Complete {
                // The response came before all of the request: what follows belongs to no request.
                return Step::Close(Ending::Graceful);
            }
            self.exchange.next_request();
            if let Err(no_room) = self.enter_next_request() {
                return Step::Close(Ending::Rejected(RequestError::NoRoom(no_room)));
            }
            self.awaited = Awaited::from_now(self.exchange.progress());
            if self.exchange.framer.borrow().has_releasable() {
                return Step::Poll;
            }
        }
        let progress = self.exchange.progress();
        match progress {
            RequestProgress::Rejected(error) => {
                let mut framer = self.exchange.framer.borrow_mut();
                let limits = self.exchange.limits.get();
                if self
                    .state
                    .safety
                    .resume_after_rejection(&mut framer, &limits)
                {
                    return Step::Poll;
                }
                return Step::Close(Ending::Rejected(error));
            }
            // The library has read all of it and has handed nothing on: it sees another end.
            RequestProgress::Complete => return Step::Close(Ending::Graceful),
            RequestProgress::Idle | RequestProgress::Head | RequestProgress::Body => {}
        }
        if progress != self.awaited.progress {
            self.awaited = Awaited::from_now(progress);
        }
        Step::Wait
    }

    /// Lets go of what was held for the request before, and holds what the next one takes if some of it is there.
    fn enter_next_request(&self) -> Result<(), NoRoom> {
        self.socket.release_content();
        self.socket.enter(Phase::Idle);
        if self.exchange.progress() == RequestProgress::Idle {
            return Ok(());
        }
        begin_request(self.socket)
    }

    /// Waits until there is something to do or the time for what is awaited is over.
    fn wait(&mut self) -> Step {
        let deadline = wait_deadline(self.bounds, &self.settings, self.awaited);
        let notifier = Some(&*self.settings.change_notifier);
        let readiness = self.arrivals.wait(deadline.at, |step_end| {
            wait_for_readiness(self.socket, None, notifier, step_end)
        });
        self.exchange.arrived_after.set(self.arrivals.last_empty());
        match readiness {
            Readiness::Ready | Readiness::Notified => Step::Poll,
            Readiness::TimedOut | Readiness::ClientDisconnected if deadline.is_idle => {
                Step::Close(Ending::Graceful)
            }
            Readiness::TimedOut | Readiness::ClientDisconnected => {
                Step::Close(Ending::RequestTimedOut(self.awaited.progress))
            }
        }
    }
}

/// Makes the connection obey the settings in force.
fn adopt_settings(state: &ServerState, exchange: &Exchange) -> ServerSettings {
    let mut settings = state.settings();
    settings.limits = state
        .safety
        .effective_limits(settings.limits, exchange.limits.get());
    exchange.limits.set(settings.limits.request);
    settings
}

/// Until when what is awaited may come.
fn wait_deadline(
    bounds: &HttpServerBounds,
    settings: &ServerSettings,
    awaited: Awaited,
) -> WaitDeadline {
    let limits = &settings.limits;
    match awaited.progress {
        RequestProgress::Idle if bounds.keep_alive => {
            // A limit binds a connection that was idle when it came into force from then on.
            let idle_since = awaited.since.max(settings.limits_since);
            let idle_until = idle_since + limits.idle_timeout;
            let drained_at = settings.draining_since.map(|since| since + DRAIN_LINGER);
            WaitDeadline {
                at: drained_at.map_or(idle_until, |drained_at| idle_until.min(drained_at)),
                is_idle: true,
            }
        }
        RequestProgress::Idle => WaitDeadline {
            at: awaited.since + limits.head_timeout,
            is_idle: true,
        },
        RequestProgress::Head => WaitDeadline {
            at: awaited.since + limits.head_timeout,
            is_idle: false,
        },
        RequestProgress::Body | RequestProgress::Complete | RequestProgress::Rejected(_) => {
            WaitDeadline {
                at: awaited.since + bounds.read_timeout,
                is_idle: false,
            }
        }
    }
}

/// Reads a request completely and has its handler respond.
async fn respond<H: Fn(Request) -> Response>(
    request: hyper::Request<Incoming>,
    handler: H,
    socket: &Arc<Socket>,
    exchange: Rc<Exchange>,
    state: &ServerState,
) -> Result<hyper::Response<ResponseBody>, Infallible> {
    exchange
        .is_close_delimited
        .set(request.version() < hyper::Version::HTTP_11);
    let (head, body) = request.into_parts();
    let is_head_request = head.method == http::Method::HEAD;
    let is_second = exchange.is_dispatched.replace(true);
    let max_bytes = exchange.limits.get().body_bytes;
    let body = collect_body(body, max_bytes, socket).await;
    let is_complete = exchange.progress() == RequestProgress::Complete && !is_second;
    let response = match body {
        Ok(body) if is_complete => match socket.begin_serving() {
            Ok(()) => {
                exchange.is_responding.set(true);
                let arrived_after = exchange.arrived_after.get();
                let client = ClientConnection::new(socket);
                handler(Request::new(head, body, client, arrived_after))
            }
            Err(no_room) => refusal(no_room),
        },
        // The library and the framer disagree on where the request ends.
        Ok(_) => Response::result(ResultCode::BadRequest, "its end is in doubt"),
        // Whoever gives way finds the end of what is read.
        Err(BodyError::Torn) if socket.is_evicted() => refusal(NoRoom::Evicted),
        Err(BodyError::Torn) => Response::result(ResultCode::SlowBody, "the body was torn"),
        Err(BodyError::NoRoom(no_room)) => refusal(no_room),
    };
    exchange.is_responding.set(true);
    let mut response = response.into_hyper(is_head_request);
    if state.is_draining() || !is_complete {
        let headers = response.headers_mut();
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Why a body did not come in.
enum BodyError {
    Torn,
    NoRoom(NoRoom),
}

/// Collects a body in one piece, each chunk of it once there is room for it.
async fn collect_body(
    mut body: Incoming,
    max_bytes: usize,
    socket: &Socket,
) -> Result<Bytes, BodyError> {
    let mut buffer = BodyBuffer::new(max_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Torn)?;
        // Trailers are dropped: nothing of ours uses them.
        if let Ok(data) = frame.into_data() {
            buffer.push(&data, socket).map_err(BodyError::NoRoom)?;
        }
    }
    Ok(buffer.into_bytes())
}

#[cfg(test)]
mod tests;
