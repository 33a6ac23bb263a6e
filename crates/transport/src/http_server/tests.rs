//! Random mixes of good and bad requests on one connection, and limits that change under open connections.

use super::connection::MAX_HEADER_BYTES;
use super::framing::RequestFramer;
use super::safety::RequestSafety;
use super::*;
use http::HeaderMap;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use std::io::{Read, Write};
use std::net::Shutdown;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;
use types::{Address, Milliseconds};

/// The bound on waits that only a failure reaches.
const GUARD: Duration = Duration::from_secs(20);
/// A mutant that hangs is detected after this.
const MUTANT_GUARD: Duration = Duration::from_secs(2);
/// The seed of the mixes.
const SEED: [u8; 32] = [18; 32];

pub(super) fn bounds() -> HttpServerBounds {
    HttpServerBounds {
        keep_alive: true,
        ..HttpServerBounds::default()
    }
}

/// A deliberate fault, by which the tests show that they detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// After a request that can't be read to its end, what follows is read as the next.
    ResumeAfterRejection,
    /// Limits are not obeyed.
    IgnoreLimits,
    /// Limits bind only the connections that are opened after they came into force.
    IgnoreChanges,
}

impl RequestSafety for Mutant {
    fn effective_limits(
        &self,
        in_force: HttpServerLimits,
        before: RequestLimits,
    ) -> HttpServerLimits {
        match self {
            Mutant::IgnoreLimits => HttpServerLimits {
                request: RequestLimits {
                    header_bytes: MAX_HEADER_BYTES,
                    body_bytes: usize::MAX,
                },
                head_timeout: Milliseconds::seconds(3600),
                idle_timeout: Milliseconds::seconds(3600),
            },
            Mutant::IgnoreChanges => HttpServerLimits {
                request: before,
                ..in_force
            },
            Mutant::ResumeAfterRejection => in_force,
        }
    }

    fn resume_after_rejection(&self, framer: &mut RequestFramer, limits: &RequestLimits) -> bool {
        let is_faulty = *self == Mutant::ResumeAfterRejection;
        if is_faulty {
            framer.resume_behind_rejected(limits);
        }
        is_faulty
    }
}

fn guard(mutant: Option<Mutant>) -> Duration {
    if mutant.is_some() {
        MUTANT_GUARD
    } else {
        GUARD
    }
}

/// A server with a deliberate fault or none.
fn serve(
    bounds: HttpServerBounds,
    mutant: Option<Mutant>,
    handler: impl Fn(Request) -> Response + Send + Sync + Clone + 'static,
) -> (Address, HttpServerLimiter) {
    let mut server = HttpServer::open(Address::loopback(0).0, bounds).expect("a port");
    if let Some(mutant) = mutant {
        let state = Arc::get_mut(&mut server.state).expect("nobody else has it");
        state.safety = Box::new(mutant);
    }
    let (address, limiter) = (server.address(), server.limiter());
    std::thread::spawn(move || server.serve(handler));
    (address, limiter)
}

// ---- Mixes.

/// What is sent as a request, or in the place of one.
#[derive(Debug, Clone)]
enum Sent {
    Good(String, Encoding),
    /// One that could be read in two ways, with this behind it.
    Bad(&'static str, String),
}

#[derive(Debug, Clone)]
enum Encoding {
    NoBody,
    Length,
    /// In chunks of this size.
    Chunks(usize),
}

/// Nobody ever sends this as a request of its own.
const SMUGGLED: &str = "GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n";

/// Heads, and bodies begun, whose end is in doubt.
const BAD: [&str; 14] = [
    "POST /bad HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 4\r\n\r\n0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\ncontent-length: 38\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: xchunked\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding:\r\n chunked\r\n\r\n0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding : chunked\r\n\r\n0\r\n\r\n",
    "POST /bad HTTP/1.1\nhost: a\ncontent-length: 0\n\n\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\nx: 1\ncontent-length: 38\r\n\r\n",
    "GET /bad HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
    "GET http://b/bad HTTP/1.1\r\nhost: a\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0x0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n-0\r\n\r\n",
    "POST /bad HTTP/1.1\r\nhost: a\r\ncontent-length: +0\r\n\r\n",
];

fn some_body() -> impl Strategy<Value = String> {
    let some_text = || {
        vec(
            proptest::sample::select(vec!["a", "0\r\n\r\n", "\r\n", "5\r\n", "x: y\r\n"]),
            0..12,
        )
    };
    prop_oneof![
        Just(SMUGGLED.to_owned()),
        Just(format!("0\r\n\r\n{SMUGGLED}")),
        some_text().prop_map(|texts| texts.concat())
    ]
}

fn some_sent() -> impl Strategy<Value = Sent> {
    let encoding = prop_oneof![
        1 => Just(Encoding::NoBody),
        2 => Just(Encoding::Length),
        2 => (1..50usize).prop_map(Encoding::Chunks)
    ];
    let bad = (proptest::sample::select(BAD.to_vec()), some_body());
    prop_oneof![
        6 => (some_body(), encoding).prop_map(|(body, encoding)| Sent::Good(body, encoding)),
        1 => bad.prop_map(|(head, rest)| Sent::Bad(head, format!("{rest}{SMUGGLED}")))
    ]
}

/// What is sent, how much of it, and where it's split.
fn some_mix() -> impl Strategy<Value = (Vec<Sent>, Option<usize>, Vec<usize>)> {
    (
        vec(some_sent(), 1..8),
        proptest::option::weighted(0.2, 0..400usize),
        vec(1..200usize, 0..20),
    )
}

impl Sent {
    fn body(&self) -> &str {
        match self {
            Sent::Good(body, Encoding::Length | Encoding::Chunks(_)) => body,
            _ => "",
        }
    }
    fn bytes(&self, index: usize) -> String {
        let body = self.body();
        match self {
            Sent::Good(_, Encoding::NoBody) => format!("GET /{index} HTTP/1.1\r\nhost: a\r\n\r\n"),
            Sent::Good(_, Encoding::Length) => {
                format!(
                    "POST /{index} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Sent::Good(_, Encoding::Chunks(size)) => {
                let chunk = |bytes: &[u8]| {
                    format!(
                        "{:x}\r\n{}\r\n",
                        bytes.len(),
                        String::from_utf8_lossy(bytes)
                    )
                };
                let chunks: String = body.as_bytes().chunks(*size).map(chunk).collect();
                format!(
                    "POST /{index} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                )
            }
            Sent::Bad(head, rest) => format!("{head}{rest}"),
        }
    }
}

/// Path and body of each request that the handler got.
type HandledRequests = Arc<Mutex<Vec<(String, String)>>>;

/// Sends a mix on one connection; checks what was handled and what came back.
fn play(
    address: Address,
    handled: &HandledRequests,
    (sent, most, splits): &(Vec<Sent>, Option<usize>, Vec<usize>),
    guard: Duration,
) -> Result<(), TestCaseError> {
    handled
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
    let mut bytes = String::new();
    let mut expected = vec![];
    let mut is_bad = false;
    let most = most.unwrap_or(usize::MAX);
    for (index, one) in sent.iter().enumerate() {
        bytes += &one.bytes(index);
        is_bad |= matches!(one, Sent::Bad(..));
        if !is_bad && bytes.len() <= most {
            expected.push((format!("/{index}"), one.body().to_owned()));
        }
    }
    bytes.truncate(most);
    let received = exchange(address, bytes.as_bytes(), splits, guard)?;
    let (answers, end) = read_answers(&received);
    let handled = handled
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    prop_assert_eq!(&handled, &expected, "handled");
    let echoes = expected
        .iter()
        .map(|(path, body)| (200, format!("{path} {body}")));
    prop_assert_eq!(
        &answers[..expected.len().min(answers.len())],
        &echoes.collect::<Vec<_>>(),
        "answers"
    );
    let rejections = &answers[expected.len()..];
    prop_assert!(
        rejections.len() <= 1
            && rejections
                .iter()
                .all(|(status, _)| matches!(status, 400 | 408)),
        "{:?}",
        rejections
    );
    prop_assert!(
        most < usize::MAX || rejections.len() == usize::from(is_bad),
        "{:?}",
        rejections
    );
    prop_assert_eq!(end, "", "behind the answers");
    Ok(())
}

/// Sends bytes in pieces, and gives all that comes back until the connection ends.
fn exchange(
    address: Address,
    bytes: &[u8],
    splits: &[usize],
    guard: Duration,
) -> Result<String, TestCaseError> {
    let mut stream = TcpStream::connect(address.0)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(guard))?;
    let mut rest = bytes;
    for size in splits.iter().copied().chain([usize::MAX]) {
        let (chunk, others) = rest.split_at(size.min(rest.len()));
        // A server that has closed has said why.
        if stream.write_all(chunk).is_err() {
            break;
        }
        rest = others;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let mut received = String::new();
    stream.read_to_string(&mut received)?;
    Ok(received)
}

/// Statuses and bodies of whole answers, and what is behind them.
fn read_answers(mut received: &str) -> (Vec<(u16, String)>, &str) {
    let mut answers = vec![];
    while let Some((head, rest)) = received.split_once("\r\n\r\n") {
        let status = head
            .strip_prefix("HTTP/1.1 ")
            .and_then(|rest| rest.get(..3)?.parse().ok());
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        let (Some(status), Some(body)) = (status, rest.get(..length.unwrap_or(0))) else {
            break;
        };
        answers.push((status, body.to_owned()));
        received = &rest[body.len()..];
    }
    (answers, received)
}

/// Plays so many mixes at one server.
fn run_mixes(cases: u32, mutant: Option<Mutant>) -> Result<(), String> {
    let handled = HandledRequests::default();
    let recorded = handled.clone();
    let (address, _) = serve(bounds(), mutant, move |request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        recorded
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((request.path.clone(), body.clone()));
        Response::forwarded(200, HeaderMap::new(), format!("{} {body}", request.path))
    });
    let config = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let guard = guard(mutant);
    runner
        .run(&some_mix(), |mix| play(address, &handled, &mix, guard))
        .map_err(|fault| fault.to_string())
}

#[test]
fn of_any_mix_exactly_the_sent_requests_are_handled_and_answered_in_order() {
    run_mixes(1000, None).unwrap_or_else(|why| panic!("{why}"));
}

#[test]
fn reading_on_after_a_rejected_request_is_detected() {
    let outcome = run_mixes(200, Some(Mutant::ResumeAfterRejection));
    assert!(outcome.is_err_and(|why| why.contains("handled")));
}

// ---- Limits.

/// A client's side of one connection.
struct Client(TcpStream);

impl Client {
    fn connect(address: Address, guard: Duration) -> Client {
        let stream = TcpStream::connect(address.0).expect("connected");
        stream.set_read_timeout(Some(guard)).expect("set");
        Client(stream)
    }
    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("written");
    }
    fn post(&mut self, header_bytes: usize, body_bytes: usize) {
        let padding = "x".repeat(header_bytes);
        self.send(&format!(
            "POST / HTTP/1.1\r\nhost: a\r\nx: {padding}\r\ncontent-length: {body_bytes}\r\n\r\n"
        ));
        self.send(&"y".repeat(body_bytes));
    }
    /// The status of an answer without a body; `None`: none came.
    fn status(&mut self) -> Option<u16> {
        let mut head = vec![];
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            self.0.read_exact(&mut byte).ok()?;
            head.push(byte[0]);
        }
        String::from_utf8_lossy(&head).get(9..12)?.parse().ok()
    }
    /// Whether the server ends the connection.
    fn ends(&mut self) -> bool {
        self.0.read_to_end(&mut vec![]).is_ok()
    }
}

const NARROW: HttpServerLimits = HttpServerLimits {
    request: RequestLimits {
        header_bytes: 1000,
        body_bytes: 2000,
    },
    head_timeout: Milliseconds(200),
    idle_timeout: Milliseconds(200),
};

/// Sets limits while connections are open; the error is the first of them that is not obeyed.
fn try_limits(mutant: Option<Mutant>) -> Result<(), &'static str> {
    let (address, limiter) = serve(bounds(), mutant, |_| {
        Response::forwarded(200, HeaderMap::new(), "")
    });
    let open = || {
        let mut client = Client::connect(address, guard(mutant));
        client.post(1500, 3000);
        (client.status() == Some(200))
            .then_some(client)
            .ok_or("the wide limits")
    };
    let (mut large_head, mut large_body, mut slow, mut idle) = (open()?, open()?, open()?, open()?);
    limiter.set(HttpServerLimits {
        idle_timeout: Milliseconds::seconds(3600),
        head_timeout: Milliseconds::seconds(3600),
        ..NARROW
    });
    large_head.post(1500, 0);
    if large_head.status() != Some(431) || !large_head.ends() {
        return Err("a large head on an open connection");
    }
    large_body.post(10, 3000);
    if large_body.status() != Some(413) || !large_body.ends() {
        return Err("a large body on an open connection");
    }
    slow.send("GET / HT");
    limiter.set(NARROW);
    if slow.status() != Some(408) || !slow.ends() {
        return Err("a slow head on an open connection");
    }
    if !idle.ends() {
        return Err("an open connection that is idle");
    }
    let mut within = Client::connect(address, guard(mutant));
    within.post(500, 2000);
    if within.status() != Some(200) {
        Err("a request within the limits")
    } else {
        Ok(())
    }
}

#[test]
fn limits_hold_from_when_they_are_set_also_on_open_connections() {
    assert_eq!(try_limits(None), Ok(()));
}

#[test]
fn limits_that_are_not_obeyed_are_detected() {
    assert_eq!(
        try_limits(Some(Mutant::IgnoreLimits)),
        Err("a large head on an open connection")
    );
    assert_eq!(
        try_limits(Some(Mutant::IgnoreChanges)),
        Err("a large head on an open connection")
    );
}

#[test]
fn a_limit_that_is_withdrawn_binds_no_more() {
    let (address, limiter) = serve(bounds(), None, |_| {
        Response::forwarded(200, HeaderMap::new(), "")
    });
    let wide = limiter.limits();
    limiter.set(HttpServerLimits {
        idle_timeout: Milliseconds::seconds(3600),
        head_timeout: Milliseconds::seconds(3600),
        ..NARROW
    });
    limiter.set(wide);
    assert_eq!(limiter.limits(), wide);
    let mut client = Client::connect(address, GUARD);
    client.post(1500, 3000);
    assert_eq!(client.status(), Some(200));
}
