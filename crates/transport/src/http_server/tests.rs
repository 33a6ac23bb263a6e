//! Random mixes of good and bad requests on one connection, and limits that change under open connections.

use super::state::GateMutant;
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

/// Nothing is judged by it but that something came at all.
const GUARD: Duration = Duration::from_secs(20);
/// A mutant that hangs is seen after this.
const MUTANT_GUARD: Duration = Duration::from_secs(2);
/// The seed of the mixes.
const SEED: [u8; 32] = [18; 32];

fn bounds() -> HttpServerBounds {
    HttpServerBounds {
        keep_alive: true,
        ..HttpServerBounds::default()
    }
}

fn guard(mutant: Option<GateMutant>) -> Duration {
    if mutant.is_some() {
        MUTANT_GUARD
    } else {
        GUARD
    }
}

/// A gate with a deliberate fault or none.
fn serve(
    bounds: HttpServerBounds,
    mutant: Option<GateMutant>,
    handler: impl Fn(Request) -> Response + Send + Sync + Clone + 'static,
) -> (Address, HttpServerLimiter) {
    let mut http_server = HttpServer::open(Address::loopback(0).0, bounds).expect("a port");
    Arc::get_mut(&mut http_server.state)
        .expect("nobody else has it")
        .mutant = mutant;
    let (address, limiter) = (http_server.address(), http_server.limiter());
    std::thread::spawn(move || http_server.serve(handler));
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
    fn bytes(&self, place: usize) -> String {
        let body = self.body();
        match self {
            Sent::Good(_, Encoding::NoBody) => format!("GET /{place} HTTP/1.1\r\nhost: a\r\n\r\n"),
            Sent::Good(_, Encoding::Length) => {
                format!(
                    "POST /{place} HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
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
                    "POST /{place} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n"
                )
            }
            Sent::Bad(head, rest) => format!("{head}{rest}"),
        }
    }
}

/// Path and body of each request that a gate handed on.
type HandedOn = Arc<Mutex<Vec<(String, String)>>>;

/// Sends a mix on one connection; checks what was handed on and what came back.
fn play(
    address: Address,
    handed_on: &HandedOn,
    (sent, most, splits): &(Vec<Sent>, Option<usize>, Vec<usize>),
    guard: Duration,
) -> Result<(), TestCaseError> {
    handed_on
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clear();
    let mut bytes = String::new();
    let mut expected = vec![];
    let mut is_bad = false;
    let most = most.unwrap_or(usize::MAX);
    for (place, one) in sent.iter().enumerate() {
        bytes += &one.bytes(place);
        is_bad |= matches!(one, Sent::Bad(..));
        if !is_bad && bytes.len() <= most {
            expected.push((format!("/{place}"), one.body().to_owned()));
        }
    }
    bytes.truncate(most);
    let heard = exchange(address, bytes.as_bytes(), splits, guard)?;
    let (answers, end) = read_answers(&heard);
    let handed_on = handed_on
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    prop_assert_eq!(&handed_on, &expected, "handed on");
    let echoes = expected
        .iter()
        .map(|(path, body)| (200, format!("{path} {body}")));
    prop_assert_eq!(
        &answers[..expected.len().min(answers.len())],
        &echoes.collect::<Vec<_>>(),
        "answers"
    );
    let refusals = &answers[expected.len()..];
    prop_assert!(
        refusals.len() <= 1
            && refusals
                .iter()
                .all(|(status, _)| matches!(status, 400 | 408)),
        "{:?}",
        refusals
    );
    prop_assert!(
        most < usize::MAX || refusals.len() == usize::from(is_bad),
        "{:?}",
        refusals
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
        let (piece, others) = rest.split_at(size.min(rest.len()));
        // A gate that has closed has said why.
        if stream.write_all(piece).is_err() {
            break;
        }
        rest = others;
    }
    let _ = stream.shutdown(Shutdown::Write);
    let mut heard = String::new();
    stream.read_to_string(&mut heard)?;
    Ok(heard)
}

/// Statuses and bodies of whole answers, and what is behind them.
fn read_answers(mut heard: &str) -> (Vec<(u16, String)>, &str) {
    let mut answers = vec![];
    while let Some((head, rest)) = heard.split_once("\r\n\r\n") {
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
        heard = &rest[body.len()..];
    }
    (answers, heard)
}

/// Plays so many mixes at one gate.
fn play_mixes(cases: u32, mutant: Option<GateMutant>) -> Result<(), String> {
    let handed_on = HandedOn::default();
    let note = handed_on.clone();
    let (address, _) = serve(bounds(), mutant, move |request| {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        note.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((request.path.clone(), body.clone()));
        Response::passed(200, HeaderMap::new(), format!("{} {body}", request.path))
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
        .run(&some_mix(), |mix| play(address, &handed_on, &mix, guard))
        .map_err(|fault| fault.to_string())
}

#[test]
fn of_any_mix_just_the_requests_that_were_sent_are_handed_on_and_answered_in_request() {
    play_mixes(1000, None).unwrap_or_else(|why| panic!("{why}"));
}

#[test]
fn going_on_behind_a_doubtful_end_is_seen() {
    let outcome = play_mixes(200, Some(GateMutant::KeepDoubtful));
    assert!(outcome.is_err_and(|why| why.contains("handed on")));
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
    fn say(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("written");
    }
    fn post(&mut self, header_bytes: usize, body_bytes: usize) {
        let padding = "x".repeat(header_bytes);
        self.say(&format!(
            "POST / HTTP/1.1\r\nhost: a\r\nx: {padding}\r\ncontent-length: {body_bytes}\r\n\r\n"
        ));
        self.say(&"y".repeat(body_bytes));
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
    /// Whether the gate ends the connection.
    fn ends(&mut self) -> bool {
        self.0.read_to_end(&mut vec![]).is_ok()
    }
}

const NARROW: HttpServerLimits = HttpServerLimits {
    request: RequestLimits {
        header_bytes: 1000,
        body_bytes: 2000,
    },
    head_span: Milliseconds(200),
    idle_span: Milliseconds(200),
};

/// What is seen of limits that are set while connections are open; the first thing that is wrong.
fn try_limits(mutant: Option<GateMutant>) -> Result<(), &'static str> {
    let (address, limiter) = serve(bounds(), mutant, |_| {
        Response::passed(200, HeaderMap::new(), "")
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
        idle_span: Milliseconds::seconds(3600),
        head_span: Milliseconds::seconds(3600),
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
    slow.say("GET / HT");
    limiter.set(NARROW);
    if slow.status() != Some(408) || !slow.ends() {
        return Err("a slow head on an open connection");
    }
    if !idle.ends() {
        return Err("an open connection that rests");
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
fn limits_that_are_not_heeded_are_seen() {
    assert_eq!(
        try_limits(Some(GateMutant::IgnoreLimits)),
        Err("a large head on an open connection")
    );
    assert_eq!(
        try_limits(Some(GateMutant::IgnoreChanges)),
        Err("a large head on an open connection")
    );
}

#[test]
fn a_limit_that_is_taken_back_binds_no_more() {
    let (address, limiter) = serve(bounds(), None, |_| {
        Response::passed(200, HeaderMap::new(), "")
    });
    let wide = limiter.limits();
    limiter.set(HttpServerLimits {
        idle_span: Milliseconds::seconds(3600),
        head_span: Milliseconds::seconds(3600),
        ..NARROW
    });
    limiter.set(wide);
    assert_eq!(limiter.limits(), wide);
    let mut client = Client::connect(address, GUARD);
    client.post(1500, 3000);
    assert_eq!(client.status(), Some(200));
}
