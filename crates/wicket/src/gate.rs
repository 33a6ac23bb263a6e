use crate::reply::Reply;
use crate::wire::{Alarm, Caller, Duct, Wire, Woken, await_wire};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use parlance::prelude::*;
use std::cell::Cell;
use std::convert::Infallible;
use std::fs::File;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::pin::pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::task::{Context, Poll, Waker};

/// One order over HTTP, read whole.
pub struct Order {
    /// `GET`, `POST` and so on.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The query, if any.
    pub query: String,
    /// Path and query exactly as sent.
    pub target: String,
    /// The body, within the bound.
    pub body: Bytes,
    /// Who sent it.
    pub caller: Caller,
    verb: http::Method,
    headers: http::HeaderMap,
}

impl Order {
    fn new(head: http::request::Parts, body: Bytes, caller: Caller) -> Self {
        Order {
            method: head.method.as_str().to_owned(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            target: head.uri.path_and_query().map_or_else(|| head.uri.to_string(), |both| both.as_str().to_owned()),
            body,
            caller,
            verb: head.method,
            headers: head.headers,
        }
    }
    /// All headers.
    pub fn headers(&self) -> &http::HeaderMap {
        &self.headers
    }
    /// Method, target, headers and body, to be passed on.
    pub fn into_parts(self) -> (http::Method, String, http::HeaderMap, Bytes) {
        (self.verb, self.target, self.headers, self.body)
    }
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
    /// A word of the query, such as `from` in `?from=3`. Plain values only, nothing is unescaped.
    pub fn query_word(&self, name: &str) -> Option<&str> {
        let words = self.query.split('&').filter_map(|word| word.split_once('='));
        words.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }
    /// The parts of the path.
    pub fn parts(&self) -> Vec<&str> {
        self.path.split('/').filter(|part| !part.is_empty()).collect()
    }
}

/// What a gate takes at most.
#[derive(Debug, Clone, Copy)]
pub struct GateBounds {
    /// Connections at once; each has a thread. More are closed unread.
    pub connections: usize,
    /// Bytes of a body.
    pub body_bytes: usize,
    /// For head and body together; with `keep_alive` from the first byte of each request.
    pub read_span: Span,
    /// Whether a connection takes one request after the other.
    pub keep_alive: bool,
    /// With `keep_alive`, how long a connection may stay without a request.
    pub idle_span: Span,
    /// Bytes of a head.
    pub header_bytes: usize,
    /// Stack of each connection's thread, handlers included.
    pub stack_bytes: usize,
}

impl Default for GateBounds {
    fn default() -> Self {
        GateBounds {
            connections: 512,
            body_bytes: 4 << 20,
            read_span: Span::seconds(10),
            keep_alive: false,
            idle_span: Span::seconds(15),
            header_bytes: 64 << 10,
            stack_bytes: 512 << 10,
        }
    }
}

/// A listening HTTP door.
pub struct Gate {
    listener: TcpListener,
    bounds: GateBounds,
    is_closed: Arc<AtomicBool>,
    leaving: Arc<Leaving>,
    open_count: Arc<AtomicUsize>,
}

impl Gate {
    /// Listens there.
    pub fn open(address: SocketAddr, bounds: GateBounds) -> io::Result<Self> {
        Ok(Gate {
            listener: TcpListener::bind(address)?,
            leaving: Arc::new(Leaving::new()?),
            bounds,
            is_closed: Arc::default(),
            open_count: Arc::default(),
        })
    }
    /// Where it listens.
    pub fn address(&self) -> Address {
        Address(self.listener.local_addr().expect("a bound listener has an address"))
    }
    /// What closes it again.
    pub fn closer(&self) -> GateCloser {
        GateCloser { is_closed: self.is_closed.clone(), leaving: self.leaving.clone(), address: self.address() }
    }
    /// How many connections are open.
    pub fn open_count(&self) -> Arc<AtomicUsize> {
        self.open_count.clone()
    }
    /// Takes orders for ever, each connection on a thread of its own.
    pub fn serve<H>(self, handler: H)
    where
        H: Fn(Order) -> Reply + Send + Sync + Clone + 'static,
    {
        loop {
            let stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                // Closing: all that had come is taken.
                Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => return,
                Err(fault) => {
                    tracing::warn!("gate: accept failed: {fault}.");
                    std::thread::sleep(std::time::Duration::from_millis(20));
                    continue;
                }
            };
            if self.is_closed.load(Ordering::SeqCst) && self.listener.set_nonblocking(true).is_err() {
                return;
            }
            if self.open_count.fetch_add(1, Ordering::Relaxed) >= self.bounds.connections {
                self.open_count.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (bounds, handler, leaving) = (self.bounds, handler.clone(), self.leaving.clone());
            let seat = Seat(self.open_count.clone());
            let builder = std::thread::Builder::new().name("gate".into()).stack_size(bounds.stack_bytes);
            let spawned = builder.spawn(move || {
                let _seat = seat;
                serve_connection(stream, bounds, &leaving, handler);
            });
            if let Err(fault) = spawned {
                tracing::warn!("gate: no thread for a connection: {fault}.");
            }
        }
    }
}

/// Closes a gate: it stops listening; connections that are open go on.
#[derive(Debug, Clone)]
pub struct GateCloser {
    is_closed: Arc<AtomicBool>,
    leaving: Arc<Leaving>,
    address: Address,
}

impl GateCloser {
    /// From now on every answer says `Connection: close`, and kept connections without a request are
    /// closed shortly after: what was on the wire is still taken. New connections are served too.
    pub fn leave(&self) {
        self.leaving.start();
    }
    /// Stops listening.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        // Wakes the thread that waits for the next connection.
        let _ = TcpStream::connect_timeout(&self.address.0, std::time::Duration::from_millis(500));
    }
}

/// Whether a gate leaves, and what wakes its idle connections then: the bell's other end is closed.
#[derive(Debug)]
struct Leaving {
    bell: File,
    rope: Mutex<Option<OwnedFd>>,
    since: OnceLock<Moment>,
}

impl Leaving {
    fn new() -> io::Result<Self> {
        let (bell, rope) = rustix::pipe::pipe_with(rustix::pipe::PipeFlags::CLOEXEC)?;
        Ok(Leaving { bell: File::from(bell), rope: Mutex::new(Some(rope)), since: OnceLock::new() })
    }
    fn start(&self) {
        self.since.get_or_init(Clock::now);
        drop(self.rope.lock().unwrap_or_else(PoisonError::into_inner).take());
    }
    fn since(&self) -> Option<Moment> {
        self.since.get().copied()
    }
    fn is_leaving(&self) -> bool {
        self.since().is_some()
    }
}

/// Gives its place back when the thread ends, however it ends.
struct Seat(Arc<AtomicUsize>);

impl Drop for Seat {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Where a connection is between two waits.
enum Stage {
    /// Nothing of the next request has come: until then it may be closed quietly.
    Idle { since: u64, due: Moment },
    /// A request is being read.
    Reading { due: Moment },
}

/// After leaving, requests that were on the wire have this long to come in.
const LEAVE_LINGER: Span = Span(500);

fn serve_connection<H: Fn(Order) -> Reply + Clone>(
    stream: TcpStream,
    bounds: GateBounds,
    leaving: &Leaving,
    handler: H,
) {
    let wire = Arc::new(Wire::new(stream));
    // What has been read by the handler and not been replied yet; what is to be reset at a cut.
    let is_replying = Rc::new(Cell::new(false));
    let is_close_delimited = Rc::new(Cell::new(false));
    let service = service_fn(|request: hyper::Request<Incoming>| {
        let (handler, is_replying, caller) = (handler.clone(), is_replying.clone(), Caller::new(&wire));
        is_close_delimited.set(request.version() < hyper::Version::HTTP_11);
        async move {
            let (head, body) = request.into_parts();
            let is_head = head.method == http::Method::HEAD;
            let answer = match Limited::new(body, bounds.body_bytes).collect().await {
                Ok(body) => {
                    is_replying.set(true);
                    handler(Order::new(head, body.to_bytes(), caller))
                }
                Err(fault) if fault.is::<LengthLimitError>() => {
                    Reply::result(ResultCode::TooLarge, format!("the bound is {} bytes", bounds.body_bytes))
                }
                Err(_) => Reply::result(ResultCode::SlowBody, "the body was torn or late"),
            };
            is_replying.set(true);
            let mut response = answer.into_hyper(is_head);
            if leaving.is_leaving() {
                response.headers_mut().insert(http::header::CONNECTION, http::HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let duct = Duct { wire: wire.clone(), write_patience: Some(Duct::WRITE_PATIENCE) };
    let mut connection = pin!(
        hyper::server::conn::http1::Builder::new()
            .keep_alive(bounds.keep_alive)
            .auto_date_header(false)
            .max_header_size(bounds.header_bytes)
            .serve_connection(duct, service)
    );
    let alarm = Arc::new(Alarm::default());
    let waker = Waker::from(alarm.clone());
    let mut context = Context::from_waker(&waker);
    let idle = || Stage::Idle { since: wire.read_count.load(Ordering::Relaxed), due: Clock::now() + bounds.idle_span };
    let mut stage = if bounds.keep_alive { idle() } else { Stage::Reading { due: Clock::now() + bounds.read_span } };
    let mut sent_before = 0;
    loop {
        match connection.as_mut().poll(&mut context) {
            Poll::Ready(Ok(())) => return,
            Poll::Ready(Err(fault)) => {
                tracing::debug!("gate: a connection ended early: {fault}.");
                // Where only the close tells the end of a body, it must not look like one.
                if is_replying.get() && is_close_delimited.get() {
                    let _ = rustix::net::sockopt::set_socket_linger(&wire.stream, Some(std::time::Duration::ZERO));
                }
                return;
            }
            Poll::Pending if alarm.take() => {
                // A round that sent nothing: the source has nothing yet, so its caller is looked after.
                let sent = wire.sent_count.load(Ordering::Relaxed);
                if is_replying.get() && std::mem::replace(&mut sent_before, sent) == sent && wire.is_gone() {
                    return;
                }
                continue;
            }
            Poll::Pending => {}
        }
        // Handlers and sources wait by themselves, so nothing pending means that the reply has been given.
        if is_replying.replace(false) {
            stage = idle();
        }
        if let Stage::Idle { since, .. } = stage
            && wire.read_count.load(Ordering::Relaxed) > since
        {
            stage = Stage::Reading { due: Clock::now() + bounds.read_span };
        }
        match stage {
            Stage::Reading { due } => {
                if await_wire(&wire, None, None, due) == Woken::Late {
                    wire.is_late.store(true, Ordering::Relaxed);
                }
            }
            Stage::Idle { since, due } => {
                let (bell, due) = match leaving.since() {
                    Some(left) => (None, due.min(left + LEAVE_LINGER)),
                    None => (Some(&leaving.bell), due),
                };
                match await_wire(&wire, None, bell, due) {
                    Woken::Ready => {}
                    Woken::Bell => stage = Stage::Idle { since, due },
                    Woken::Late | Woken::CallerGone => return,
                }
            }
        }
    }
}
