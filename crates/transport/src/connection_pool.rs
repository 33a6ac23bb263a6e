use crate::socket::{Alarm, Client, Duct, Peeked, Wire, Woken, await_wire};
use bytes::{Bytes, BytesMut};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::{Pin, pin};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use types::{Clock, Milliseconds, MonotonicInstant};

/// Kept-alive connections to servers, shared by all threads.
///
/// Invariant: a connection serves one request at a time, and the next one only if the request before
/// was written whole, its answer ended whole by a length or a last chunk, nothing has come since, and
/// its time is not over. Once a byte of a request was written, no fault is told as `Unsent`.
#[derive(Clone)]
pub struct ConnectionPool {
    pool: Arc<Mutex<Pool>>,
}

/// What the connections to servers are held to.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionPoolBounds {
    /// Open at once to one address, those in use included; 0 for no bound.
    pub per_address: usize,
    /// Kept for reuse to one address.
    pub idle_per_address: usize,
    /// How long one is kept if its server tells nothing.
    pub idle_span: Milliseconds,
}

struct Pool {
    bounds: ConnectionPoolBounds,
    addresses: HashMap<SocketAddr, Held>,
    #[cfg(test)]
    mutant: Option<Mutant>,
}

/// A deliberate fault, by which the tests show that they see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// A connection is given back while a part of its request waits to be written.
    KeepUnwritten,
    /// A body whose end only a close tells is taken as whole.
    TrustClose,
    /// Nobody looks at a connection before it's used again.
    SkipLook,
    /// A check is good however old it has grown.
    TrustOldCheck,
    /// Each failure of a used connection counts as though nothing had left.
    ForgetSent,
}

/// What is held to one address.
#[derive(Default)]
struct Held {
    most: Option<usize>,
    open_count: usize,
    /// Oldest first.
    idle: VecDeque<Idle>,
}

struct Idle {
    link: Box<Link>,
    deadline: MonotonicInstant,
}

/// What allows a request to leave is checked no longer than this before its first byte is written, by the
/// clock as it's read right before that write.
pub const CHECK_LIFE: Milliseconds = Milliseconds(5);

/// What the check right before the first byte found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Departure {
    /// The request may leave.
    Clear,
    /// It may not leave any more.
    Withheld,
    /// Bytes or an end came on the connection before anything was asked there.
    Unclean,
}

/// What a request waits for.
pub struct Waits<'a> {
    /// For the connection, within the head's deadline.
    pub connect: Milliseconds,
    /// By when the head must have come.
    pub head_deadline: MonotonicInstant,
    /// Asked before connecting, and again at most [`CHECK_LIFE`] before the first byte leaves.
    pub may_leave: &'a dyn Fn() -> bool,
    /// Watched while the head is awaited.
    pub client: Option<&'a Client>,
}

/// Why a request got no head, or its body didn't end whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionError {
    /// No byte of the request left.
    #[error("not sent: {0}")]
    Unsent(String),
    /// It may not leave any more; no byte of it did.
    #[error("withheld at the last moment")]
    Withheld,
    /// As many connections to the address are open as may be.
    #[error("no connection is free")]
    Full,
    /// It was sent, and its deadline passed; it may have run.
    #[error("late: {0}")]
    Late(String),
    /// The client went away; it may have run.
    #[error("the client has gone")]
    ClientGone,
    /// Some of it was sent; it may have run.
    #[error("unknown: {0}")]
    Unknown(String),
}

/// What a wait for the next bytes of a body gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LinePull {
    /// The next bytes.
    Data(Bytes),
    /// None within the patience.
    Nothing,
    /// The body has ended whole.
    End,
    /// It broke off.
    Torn(String),
    /// The client went away.
    ClientGone,
}

/// One answer on its connection: the head, and the body to be read on. Dropped, it closes the connection.
pub struct Line {
    head: http::response::Parts,
    body: Incoming,
    link: Box<Link>,
    is_reused: bool,
    /// Whether the head came while a part of the request waited to be written.
    is_early: bool,
    /// Whether the head tells, in one way alone, where the body ends.
    is_delimited: bool,
    is_ended: bool,
    is_torn: bool,
}

/// A connection as hyper's client holds it.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    connection: Connection<Duct, Full<Bytes>>,
    /// Whether hyper is done with the connection, and why if it failed.
    ended: Option<Result<(), String>>,
    socket: Arc<Wire>,
    alarm: Arc<Alarm>,
    waker: Waker,
    /// Why a request that was given to hyper doesn't leave.
    held_back: Option<Departure>,
    _seat: ChainPosition,
}

/// Gives the place of a connection back when it closes.
struct ChainPosition {
    pool: Arc<Mutex<Pool>>,
    address: SocketAddr,
}

impl Drop for ChainPosition {
    fn drop(&mut self) {
        let mut pool = lock(&self.pool);
        if let Some(held) = pool.addresses.get_mut(&self.address) {
            held.open_count -= 1;
            if held.open_count == 0 && held.most.is_none() {
                pool.addresses.remove(&self.address);
            }
        }
    }
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
fn is_mutant(pool: &Mutex<Pool>, mutant: Mutant) -> bool {
    lock(pool).mutant == Some(mutant)
}
#[cfg(not(test))]
const fn is_mutant(_: &Mutex<Pool>, _: Mutant) -> bool {
    false
}

impl ConnectionPool {
    /// With no connection yet.
    pub fn new(bounds: ConnectionPoolBounds) -> Self {
        let pool = Pool {
            bounds,
            addresses: HashMap::new(),
            #[cfg(test)]
            mutant: None,
        };
        ConnectionPool {
            pool: Arc::new(Mutex::new(pool)),
        }
    }
    /// Sets a bound of its own for an address; 0 for none.
    pub fn set_per_address(&self, address: SocketAddr, most: usize) {
        lock(&self.pool).addresses.entry(address).or_default().most = Some(most);
    }
    /// How many connections wait for reuse.
    pub fn idle_count(&self, address: SocketAddr) -> usize {
        lock(&self.pool)
            .addresses
            .get(&address)
            .map_or(0, |held| held.idle.len())
    }
    /// How many connections are open, in use or not.
    pub fn open_count(&self, address: SocketAddr) -> usize {
        lock(&self.pool)
            .addresses
            .get(&address)
            .map_or(0, |held| held.open_count)
    }
    /// Closes the idle connections to an address, and forgets its own bound, e.g. as its server is gone.
    pub fn drop_idle(&self, address: SocketAddr) {
        let idle = {
            let mut pool = lock(&self.pool);
            let Some(held) = pool.addresses.get_mut(&address) else {
                return;
            };
            held.most = None;
            let idle = std::mem::take(&mut held.idle);
            if held.open_count == 0 {
                pool.addresses.remove(&address);
            }
            idle
        };
        drop(idle);
    }
    /// Closes the idle connections whose time is over or whose server has closed them: one look each. To
    /// be called now and then, since nothing else touches an address that is no longer asked.
    pub fn drop_stale(&self) {
        let now = Clock::now();
        let mut stale = Vec::new();
        for held in lock(&self.pool).addresses.values_mut() {
            for one in std::mem::take(&mut held.idle) {
                if one.deadline > now && one.link.socket.peek() == Peeked::Nothing {
                    held.idle.push_back(one);
                } else {
                    stale.push(one);
                }
            }
        }
    }
    /// Sends a request; gives the head as soon as it comes.
    ///
    /// The target and the headers leave as they are, but for the body's length, which is told anew; a
    /// `Host` is to be among them.
    pub fn ask(
        &self,
        to: SocketAddr,
        request: http::Request<Bytes>,
        waits: &Waits<'_>,
    ) -> Result<Line, ConnectionError> {
        let mut request = request;
        request.headers_mut().remove(http::header::CONTENT_LENGTH);
        request
            .headers_mut()
            .remove(http::header::TRANSFER_ENCODING);
        if !(waits.may_leave)() {
            return Err(ConnectionError::Withheld);
        }
        loop {
            let idle = self.take_idle(to);
            let is_reused = idle.is_some();
            let idle = match idle {
                Some(idle) => idle,
                None => Idle {
                    link: Box::new(self.connect(to, waits)?),
                    deadline: MonotonicInstant(0),
                },
            };
            match idle.link.check_departure(waits) {
                Departure::Clear => {}
                Departure::Unclean if is_reused => continue,
                Departure::Unclean => {
                    return Err(ConnectionError::Unsent(
                        "the server spoke or closed unasked".into(),
                    ));
                }
                Departure::Withheld => {
                    if is_reused {
                        self.put_idle(to, idle);
                    }
                    return Err(ConnectionError::Withheld);
                }
            }
            match idle.link.send(request.clone(), waits, is_reused) {
                // It was closed between the look at it and the first byte: another one is taken.
                Err(ConnectionError::Unsent(_))
                    if is_reused && Clock::now() < waits.head_deadline => {}
                outcome => return outcome,
            }
        }
    }
    /// The newest idle connection whose time is not over.
    fn take_idle(&self, to: SocketAddr) -> Option<Idle> {
        loop {
            let newest = lock(&self.pool).addresses.get_mut(&to)?.idle.pop_back()?;
            if Clock::now() < newest.deadline {
                return Some(newest);
            }
        }
    }
    fn put_idle(&self, to: SocketAddr, idle: Idle) {
        let mut surplus = None;
        let mut pool = lock(&self.pool);
        let most = pool.bounds.idle_per_address;
        // It is open itself, so its address is held.
        if let Some(held) = pool.addresses.get_mut(&to) {
            held.idle.push_back(idle);
            // One over the bound, which has become smaller, is not kept either.
            if held.idle.len() > most
                || held
                    .most
                    .is_some_and(|most| most > 0 && held.open_count > most)
            {
                surplus = held.idle.pop_front();
            }
        }
        drop(pool);
        drop(surplus);
    }
    fn connect(&self, to: SocketAddr, waits: &Waits<'_>) -> Result<Link, ConnectionError> {
        let position = {
            let mut pool = lock(&self.pool);
            let general = pool.bounds.per_address;
            let held = pool.addresses.entry(to).or_default();
            let most = held.most.unwrap_or(general);
            if most > 0 && held.open_count >= most {
                return Err(ConnectionError::Full);
            }
            held.open_count += 1;
            ChainPosition {
                pool: self.pool.clone(),
                address: to,
            }
        };
        let patience = waits.connect.min(Clock::now().until(waits.head_deadline));
        if patience.0 == 0 {
            return Err(ConnectionError::Unsent("no time to connect".into()));
        }
        let unsent = |fault: &dyn std::fmt::Display| ConnectionError::Unsent(fault.to_string());
        let stream =
            TcpStream::connect_timeout(&to, patience.duration()).map_err(|fault| unsent(&fault))?;
        let socket = Arc::new(Wire::new(stream));
        // Nothing is to be read before something was sent.
        socket.may_read.store(false, Ordering::Relaxed);
        let alarm = Arc::new(Alarm::default());
        let waker = Waker::from(alarm.clone());
        let duct = Duct {
            socket: socket.clone(),
            write_patience: None,
        };
        let handshake = pin!(Builder::new().handshake(duct));
        match handshake.poll(&mut Context::from_waker(&waker)) {
            Poll::Ready(Ok((sender, connection))) => Ok(Link {
                sender,
                connection,
                ended: None,
                socket,
                alarm,
                waker,
                held_back: None,
                _seat: position,
            }),
            Poll::Ready(Err(fault)) => Err(unsent(&fault)),
            Poll::Pending => Err(ConnectionError::Unsent("no handshake".into())),
        }
    }
}

impl Link {
    /// Looks whether a request may leave, and whether the connection is clean, right before the first byte.
    fn check_departure(&self, waits: &Waits<'_>) -> Departure {
        let checked = Clock::now();
        if !(waits.may_leave)() {
            return Departure::Withheld;
        }
        if self.socket.peek() != Peeked::Nothing && !is_mutant(&self._seat.pool, Mutant::SkipLook) {
            return Departure::Unclean;
        }
        let write_by = (checked + CHECK_LIFE).0;
        let write_by = if is_mutant(&self._seat.pool, Mutant::TrustOldCheck) {
            Wire::UNBOUND
        } else {
            write_by
        };
        self.socket.write_by.store(write_by, Ordering::Relaxed);
        Departure::Clear
    }
    /// Lets hyper do what it can without waiting.
    fn drive(&mut self) {
        if self.ended.is_none() {
            let mut context = Context::from_waker(&self.waker);
            if let Poll::Ready(outcome) = Pin::new(&mut self.connection).poll(&mut context) {
                self.ended = Some(outcome.map_err(|fault| detail(&fault)));
            }
        }
    }
    /// Polls the connection and then what hangs on it, until that is ready or the wait for it ends. A first
    /// byte whose check has grown old is checked anew.
    fn wait<T>(
        &mut self,
        deadline: MonotonicInstant,
        client: Option<&Client>,
        departure: Option<&Waits<'_>>,
        mut poll_it: impl FnMut(&mut Context<'_>) -> Poll<T>,
    ) -> Result<T, Woken> {
        let waker = self.waker.clone();
        let mut context = Context::from_waker(&waker);
        loop {
            self.drive();
            if let Some(waits) =
                departure.filter(|_| self.socket.is_check_old.swap(false, Ordering::Relaxed))
            {
                match self.check_departure(waits) {
                    Departure::Clear if Clock::now() < deadline => continue,
                    Departure::Clear => return Err(Woken::Late),
                    refused => {
                        self.held_back = Some(refused);
                        return Err(Woken::Bell);
                    }
                }
            }
            if let Poll::Ready(outcome) = poll_it(&mut context) {
                return Ok(outcome);
            }
            if self.alarm.take() {
                continue;
            }
            if self.ended.is_some() {
                // hyper has dropped its end, so whatever hangs on it is ready; not expected.
                return Err(Woken::Bell);
            }
            match await_wire(&self.socket, client, None, deadline) {
                Woken::Ready => {}
                ended => return Err(ended),
            }
        }
    }
    fn send(
        mut self: Box<Self>,
        request: http::Request<Bytes>,
        waits: &Waits<'_>,
        is_reused: bool,
    ) -> Result<Line, ConnectionError> {
        let sent_before = self.socket.sent_count.load(Ordering::Relaxed);
        let is_head = request.method() == http::Method::HEAD;
        let mut answer = pin!(self.sender.send_request(request.map(Full::new)));
        let outcome = self.wait(waits.head_deadline, waits.client, Some(waits), |context| {
            answer.as_mut().poll(context)
        });
        let has_left = self.socket.sent_count.load(Ordering::Relaxed) > sent_before
            && !(is_reused && is_mutant(&self._seat.pool, Mutant::ForgetSent));
        let (what, why): (fn(String) -> ConnectionError, String) = match outcome {
            Ok(Ok(response)) => {
                let (head, body) = response.into_parts();
                let is_early = self.socket.wants_room.load(Ordering::Relaxed);
                let is_delimited = is_head || tells_end(&head);
                let (is_ended, is_torn) = (false, false);
                return Ok(Line {
                    head,
                    body,
                    link: self,
                    is_reused,
                    is_early,
                    is_delimited,
                    is_ended,
                    is_torn,
                });
            }
            Ok(Err(fault)) => (ConnectionError::Unknown, detail(&fault)),
            Err(Woken::Late) => (ConnectionError::Late, "no head by its deadline".into()),
            Err(_) if self.held_back == Some(Departure::Withheld) && !has_left => {
                return Err(ConnectionError::Withheld);
            }
            Err(Woken::ClientGone) if has_left => return Err(ConnectionError::ClientGone),
            Err(Woken::ClientGone) => (ConnectionError::Unknown, "the client has gone".into()),
            Err(_) => (ConnectionError::Unknown, "the connection ended".into()),
        };
        Err(if has_left {
            what(why)
        } else {
            ConnectionError::Unsent(why)
        })
    }
}

/// A fault with what lies under it.
fn detail(fault: &hyper::Error) -> String {
    match std::error::Error::source(fault) {
        Some(source) => format!("{fault}: {source}"),
        None => fault.to_string(),
    }
}

impl Line {
    /// Status and headers.
    pub fn head(&self) -> &http::response::Parts {
        &self.head
    }
    /// Whether its connection had served a request before.
    pub fn was_reused(&self) -> bool {
        self.is_reused
    }
    /// Whether no other request was ever written on its connection, and this one whole before the head
    /// came: then no answer to anything else can stand here.
    pub fn is_sole_answer(&self) -> bool {
        !self.is_reused && !self.is_early
    }
    /// Waits for the next bytes of the body at most this long; also watches the client.
    pub fn pull(&mut self, patience: Duration, client: Option<&Client>) -> LinePull {
        let span = Milliseconds(u64::try_from(patience.as_millis()).unwrap_or(u64::MAX / 2));
        self.pull_until(Clock::now() + span, client)
    }
    fn pull_until(&mut self, deadline: MonotonicInstant, client: Option<&Client>) -> LinePull {
        if self.is_ended {
            return LinePull::End;
        }
        if self.is_torn {
            return LinePull::Torn("the body broke off before".into());
        }
        let body = &mut self.body;
        loop {
            let outcome = self.link.wait(deadline, client, None, |context| {
                Pin::new(&mut *body).poll_frame(context)
            });
            match outcome {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if data.is_empty() => {}
                    Ok(data) => return LinePull::Data(data),
                    // Trailers; nothing of ours has any.
                    Err(_) => {}
                },
                Ok(None)
                    if !self.is_delimited
                        && !is_mutant(&self.link._seat.pool, Mutant::TrustClose) =>
                {
                    self.is_torn = true;
                    return LinePull::Torn("an end that only a close tells is no sure end".into());
                }
                Ok(None) => {
                    self.is_ended = true;
                    return LinePull::End;
                }
                Ok(Some(Err(fault))) => {
                    self.is_torn = true;
                    return LinePull::Torn(detail(&fault));
                }
                Err(Woken::Late) => return LinePull::Nothing,
                Err(Woken::ClientGone) => return LinePull::ClientGone,
                Err(_) => return LinePull::Torn("the connection ended".into()),
            }
        }
    }
    /// Reads the rest of the body up to a bound. A body that breaks off is `Unknown`, as is one over the
    /// bound; one that has not ended by the deadline is `Late`.
    pub fn read_all(
        &mut self,
        deadline: MonotonicInstant,
        bound: usize,
        client: Option<&Client>,
    ) -> Result<Bytes, ConnectionError> {
        let mut first = Bytes::new();
        let mut rest = BytesMut::new();
        loop {
            match self.pull_until(deadline, client) {
                LinePull::Data(data) if first.len() + rest.len() + data.len() > bound => {
                    return Err(ConnectionError::Unknown(format!(
                        "the body is over {bound} bytes"
                    )));
                }
                LinePull::Data(data) if first.is_empty() => first = data,
                LinePull::Data(data) => rest.extend_from_slice(&data),
                LinePull::Nothing => {
                    return Err(ConnectionError::Late(
                        "the body has not ended by its deadline".into(),
                    ));
                }
                LinePull::End if rest.is_empty() => return Ok(first),
                LinePull::End => {
                    let mut whole = BytesMut::with_capacity(first.len() + rest.len());
                    whole.extend_from_slice(&first);
                    whole.extend_from_slice(&rest);
                    return Ok(whole.freeze());
                }
                LinePull::Torn(why) => return Err(ConnectionError::Unknown(why)),
                LinePull::ClientGone => return Err(ConnectionError::ClientGone),
            }
        }
    }
    /// Gives the connection back for reuse. It's closed instead unless the body has ended whole, both
    /// sides keep the connection and nothing more has come on it.
    pub fn keep(self) {
        let Line {
            head,
            mut body,
            mut link,
            is_ended,
            is_torn,
            is_delimited,
            ..
        } = self;
        if is_torn || !is_delimited {
            return;
        }
        // A body without bytes, or whose last ones were pulled, may have ended without being asked.
        let is_whole = is_ended || {
            link.drive();
            let mut context = Context::from_waker(Waker::noop());
            matches!(
                Pin::new(&mut body).poll_frame(&mut context),
                Poll::Ready(None)
            )
        };
        link.drive();
        while link.alarm.take() {
            link.drive();
        }
        // hyper counts a request as written once it holds all of it; some may still wait for room.
        let is_request_whole = !link.socket.wants_room.load(Ordering::Relaxed)
            || is_mutant(&link._seat.pool, Mutant::KeepUnwritten);
        if !is_whole || !is_request_whole || link.ended.is_some() || !link.sender.is_ready() {
            return;
        }
        let lines = ConnectionPool {
            pool: link._seat.pool.clone(),
        };
        let span = kept_span(&head.headers).unwrap_or_else(|| lock(&lines.pool).bounds.idle_span);
        if span.0 > 0 {
            let address = link._seat.address;
            lines.put_idle(
                address,
                Idle {
                    link,
                    deadline: Clock::now() + span,
                },
            );
        }
    }
}

/// Whether a head tells where its body ends: by a length or by chunks, not by both, not by a further coding
/// and not by a close.
fn tells_end(head: &http::response::Parts) -> bool {
    if matches!(head.status.as_u16(), 204 | 304) {
        return true;
    }
    let has_length = head.headers.contains_key(http::header::CONTENT_LENGTH);
    let mut codings = head.headers.get_all(http::header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => has_length,
        (Some(coding), None) => coding.as_bytes().eq_ignore_ascii_case(b"chunked") && !has_length,
        (Some(_), Some(_)) => false,
    }
}

/// How long a server keeps the connection by its own `Keep-Alive: timeout=N`, less a margin for the way.
fn kept_span(headers: &http::HeaderMap) -> Option<Milliseconds> {
    let words = headers
        .get_all("keep-alive")
        .iter()
        .filter_map(|value| value.to_str().ok());
    let mut words = words
        .flat_map(|text| text.split(','))
        .filter_map(|word| word.split_once('='));
    let (_, seconds) = words.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    match seconds.trim().trim_matches('"').parse::<u32>().ok()? {
        0 => Some(Milliseconds(0)),
        1 => Some(Milliseconds(500)),
        seconds => Some(Milliseconds::seconds(u64::from(seconds) - 1)),
    }
}

#[cfg(test)]
mod tests;
