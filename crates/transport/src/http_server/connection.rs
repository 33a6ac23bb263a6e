//! One connection of a gate, from its first byte to its end.

use super::framing::{RequestFault, RequestProgress};
use super::request_reader::{Exchange, Intake};
use super::response::{Response, ResponseBody};
use super::state::{GateRules, GateState};
use super::{HttpServerBounds, Request};
use crate::socket::{Alarm, Client, Duct, Peeked, Wire, Woken, await_wire};
use http::HeaderValue;
use http::header::CONNECTION;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::future::Future;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// After leaving, requests that were on the wire have this long to come in.
const LEAVE_LINGER: Milliseconds = Milliseconds(500);
/// The library's own bound on a head; limits beyond it act as this.
const HEAD_MOST: usize = 384 << 10;
/// A refusal is written within this.
const REFUSAL_WRITE: Duration = Duration::from_secs(1);
/// For so long, and so many bytes, what a client still sends is read and dropped once this side has ended.
const CLOSE_LINGER: Milliseconds = Milliseconds::seconds(1);
const CLOSE_DRAIN: usize = 16 << 20;

/// Since when the connection has been waiting for what it waits for now.
struct Wait {
    progress: RequestProgress,
    since: MonotonicInstant,
}

/// What a wait came to.
enum Waited {
    /// There is something to do.
    Go,
    /// The connection has been without a request for too long.
    Idle,
    /// The rest of a request didn't come in time.
    Late,
}

/// Serves a connection until either side ends it.
pub(super) fn serve_connection<H: Fn(Request) -> Response + Clone>(
    stream: TcpStream,
    bounds: HttpServerBounds,
    state: &GateState,
    handler: H,
) {
    let socket = Arc::new(Wire::new(stream));
    let exchange = Rc::new(Exchange::new(state.rules().limits.request));
    let service = service_fn(|request: hyper::Request<Incoming>| {
        answer(
            request,
            handler.clone(),
            Client::new(&socket),
            exchange.clone(),
            state,
        )
    });
    let duct = Duct {
        socket: socket.clone(),
        write_patience: Some(Duct::WRITE_PATIENCE),
    };
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .keep_alive(bounds.keep_alive)
            .auto_date_header(false)
            .max_header_size(HEAD_MOST)
            .serve_connection(
                Intake {
                    duct,
                    exchange: exchange.clone()
                },
                service
            )
    );
    let alarm = Arc::new(Alarm::default());
    let waker = Waker::from(alarm.clone());
    let mut context = Context::from_waker(&waker);
    let mut wait = Wait {
        progress: exchange.progress(),
        since: Clock::now(),
    };
    let mut sent_before = 0;
    let mut rules = heed(state, &exchange);
    loop {
        if state.has_changed(&rules) {
            rules = heed(state, &exchange);
        }
        match connection.as_mut().poll(&mut context) {
            Poll::Ready(outcome) => return end(&socket, &exchange, outcome),
            Poll::Pending if alarm.take() => {
                // A round that sent nothing: the source has nothing yet, so its client is looked after.
                let sent = socket.sent_count.load(Ordering::Relaxed);
                let is_still = std::mem::replace(&mut sent_before, sent) == sent;
                if exchange.is_responding.get() && is_still && socket.is_gone() {
                    return;
                }
                continue;
            }
            Poll::Pending => {}
        }
        // Handlers and sources wait by themselves, so nothing pending means that the response has been given.
        if exchange.is_responding.replace(false) {
            if exchange.progress() != RequestProgress::Whole {
                // It was answered before it was read whole: what follows belongs to nothing.
                return close_gracefully(&socket);
            }
            exchange.next_request();
            wait = Wait {
                progress: exchange.progress(),
                since: Clock::now(),
            };
            if exchange.framer.borrow().has_ready() {
                continue;
            }
        }
        let progress = exchange.progress();
        match progress {
            RequestProgress::Refused(fault) => {
                #[cfg(test)]
                if state.is_mutant(super::state::GateMutant::KeepDoubtful) {
                    exchange
                        .framer
                        .borrow_mut()
                        .forget_fault(&exchange.limits.get());
                    continue;
                }
                return refuse(&socket, fault);
            }
            // hyper has had all of it and has handed nothing on: it reads another end.
            RequestProgress::Whole => return close_gracefully(&socket),
            _ => {}
        }
        if progress != wait.progress {
            wait = Wait {
                progress,
                since: Clock::now(),
            };
        }
        match wait_on(&socket, &bounds, &rules, &wait) {
            Waited::Go => {}
            Waited::Idle => return close_gracefully(&socket),
            Waited::Late => return refuse_late(&socket, progress),
        }
    }
}

/// Takes up the limits in force.
fn heed(state: &GateState, exchange: &Exchange) -> GateRules {
    #[cfg_attr(not(test), expect(unused_mut, reason = "only mutants change it"))]
    let mut rules = state.rules();
    #[cfg(test)]
    {
        use super::state::GateMutant;
        if state.is_mutant(GateMutant::IgnoreLimits) {
            rules.limits.request.header_bytes = HEAD_MOST;
            rules.limits.request.body_bytes = usize::MAX;
            rules.limits.head_span = Milliseconds::seconds(3600);
            rules.limits.idle_span = Milliseconds::seconds(3600);
        }
        if state.is_mutant(GateMutant::IgnoreChanges) {
            rules.limits.request = exchange.limits.get();
        }
    }
    exchange.limits.set(rules.limits.request);
    rules
}

/// Reads a request whole and has it answered.
async fn answer<H: Fn(Request) -> Response>(
    request: hyper::Request<Incoming>,
    handler: H,
    client: Client,
    exchange: Rc<Exchange>,
    state: &GateState,
) -> Result<hyper::Response<ResponseBody>, Infallible> {
    exchange
        .is_close_delimited
        .set(request.version() < hyper::Version::HTTP_11);
    let (head, body) = request.into_parts();
    let is_head = head.method == http::Method::HEAD;
    let is_second = exchange.is_taken.replace(true);
    let body = body.collect().await;
    let is_whole = exchange.progress() == RequestProgress::Whole && !is_second;
    let response = match body {
        Ok(body) if is_whole => {
            exchange.is_responding.set(true);
            handler(Request::new(head, body.to_bytes(), client))
        }
        // The library and the framer disagree on where the request ends.
        Ok(_) => Response::result(ResultCode::BadRequest, "its end is in doubt"),
        Err(_) => Response::result(ResultCode::SlowBody, "the body was torn"),
    };
    exchange.is_responding.set(true);
    let mut response = response.into_hyper(is_head);
    if state.is_draining() || !is_whole {
        response
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Until when what is awaited may come, and whether that is a request's first byte.
fn wait_deadline(
    bounds: &HttpServerBounds,
    rules: &GateRules,
    wait: &Wait,
) -> (MonotonicInstant, bool) {
    match wait.progress {
        RequestProgress::Nothing if bounds.keep_alive => {
            // A limit binds a connection that rested when it came into force from then on.
            let resting = wait.since.max(rules.limits_since) + rules.limits.idle_span;
            (
                rules
                    .left
                    .map_or(resting, |left| resting.min(left + LEAVE_LINGER)),
                true,
            )
        }
        RequestProgress::Nothing => (wait.since + rules.limits.head_span, true),
        RequestProgress::Head => (wait.since + rules.limits.head_span, false),
        _ => (wait.since + bounds.read_span, false),
    }
}

/// Waits until there is something to do, as long as may be.
fn wait_on(socket: &Wire, bounds: &HttpServerBounds, rules: &GateRules, wait: &Wait) -> Waited {
    let (deadline, is_idle) = wait_deadline(bounds, rules, wait);
    match await_wire(socket, None, Some(&rules.bell), deadline) {
        Woken::Ready | Woken::Bell => Waited::Go,
        Woken::Late | Woken::ClientGone if is_idle => Waited::Idle,
        Woken::Late | Woken::ClientGone => Waited::Late,
    }
}

/// hyper is done with the connection.
fn end(socket: &Wire, exchange: &Exchange, outcome: Result<(), hyper::Error>) {
    let Err(fault) = outcome else {
        // A client that has ended its side sends nothing more: the connection can close at once.
        if socket.peek() != Peeked::Gone {
            close_gracefully(socket);
        }
        return;
    };
    tracing::debug!("gate: a connection ended early: {fault}.");
    // Where only the close tells the end of a body, it must not look like one.
    if exchange.is_responding.get() && exchange.is_close_delimited.get() {
        let _ = rustix::net::sockopt::set_socket_linger(&socket.stream, Some(Duration::ZERO));
    }
}

/// Tells a client that its request can't be taken. Nothing of an answer is on the wire: the request was
/// not handed on, and the answer before it had ended.
fn refuse(socket: &Wire, fault: RequestFault) {
    let response = match fault {
        RequestFault::Malformed(why) => Response::result(ResultCode::BadRequest, why),
        RequestFault::LargeHead => {
            Response::result(ResultCode::TooLarge, "the head is over the bound").with_status(431)
        }
        RequestFault::LargeBody => {
            Response::result(ResultCode::TooLarge, "the body is over the bound")
        }
    };
    tell_and_close(socket, response);
}

/// Tells a client that the rest of its request didn't come in time.
fn refuse_late(socket: &Wire, progress: RequestProgress) {
    let what = if progress == RequestProgress::Head {
        "the head"
    } else {
        "the body"
    };
    tell_and_close(
        socket,
        Response::result(ResultCode::SlowBody, format!("{what} did not come in time")),
    );
}

fn tell_and_close(socket: &Wire, response: Response) {
    let _ = socket.stream.set_write_timeout(Some(REFUSAL_WRITE));
    if (&socket.stream)
        .write_all(&response.into_last_bytes())
        .is_ok()
    {
        close_gracefully(socket);
    }
}

/// Ends the connection such that the client can read all that was written, whatever it still sends meanwhile: a
/// close with unread bytes, or bytes that come after a close, reset the connection.
fn close_gracefully(socket: &Wire) {
    let deadline = Clock::now() + CLOSE_LINGER;
    if socket.stream.shutdown(Shutdown::Write).is_err() {
        return;
    }
    let (mut buffer, mut drained) = (vec![0; 4 << 10], 0);
    while drained < CLOSE_DRAIN {
        let left = Clock::now().until(deadline);
        if left.0 == 0
            || socket
                .stream
                .set_read_timeout(Some(left.duration()))
                .is_err()
        {
            return;
        }
        match (&socket.stream).read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(count) => drained += count,
        }
    }
}

#[cfg(test)]
mod tests;
