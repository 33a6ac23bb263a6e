//! A forwarder between real clients and stand-in servers over TCP, with a scripted control thread.

use super::{Forwarder, Mutant};
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection};
use crate::dialect::{Access, Call, CallDialect, Sending, ServerLoad};
use crate::request::resume_token::run_id;
use crate::shared::Shared;
use crate::upstream::response_validation::{AnswerIdentity, ClaimedIdentity};
use bytes::Bytes;
use config::parse_plan;
use placement::{Event, Outcome, RequestCost, ServerEntry};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use transport::{
    ConnectionPool, ConnectionPoolBounds, HttpServer, HttpServerBounds, Request, Response,
};
use types::{ApiKey, Clock, ConfigEpoch, Milliseconds, RequestId, ResultCode, ServerName};
use yare::parameterized;

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Duration = Duration::from_secs(30);

// ---- A dialect of the tests' own.

pub(crate) struct Plain;

impl CallDialect for Plain {
    fn read(&self, request: Request) -> Result<Call, Rejection> {
        let deny = |why: &str| Rejection {
            code: ResultCode::BadRequest,
            why: why.into(),
            retry_after: Milliseconds(0),
        };
        let number = |name: &str| request.header(name).and_then(|value| value.parse().ok());
        let id = RequestId::from(request.header("x-call").ok_or_else(|| deny("no id"))?);
        let host = request.header("host").unwrap_or_default().to_owned();
        let request_key = request
            .header("authorization")
            .and_then(ApiKey::from_bearer);
        let (left, after) = (
            Milliseconds(number("x-wait").unwrap_or(20_000)),
            number("x-after"),
        );
        let (method, target, mut headers, body) = request.into_parts();
        for name in ["x-wait", "x-after", "connection", "content-length"] {
            headers.remove(name);
        }
        let request_cost = RequestCost::default();
        let api_key = request_key;
        Ok(Call {
            id,
            method,
            host,
            target,
            api_key,
            headers,
            body,
            left,
            after,
            hashes: vec![],
            request_cost,
        })
    }
    fn refuse(&self, id: Option<&RequestId>, rejection: &Rejection) -> Response {
        let response = Response::forwarded(
            rejection.code.http_status(),
            http::HeaderMap::new(),
            rejection.code.word(),
        )
        .with_header("x-call", id.map_or("", RequestId::as_str));
        if rejection.code.comes_back().is_some() {
            response.with_retry_after(rejection.retry_after.max(Milliseconds(50)))
        } else {
            response
        }
    }
    fn request(&self, call: &Call, sending: &Sending<'_>) -> http::Request<Bytes> {
        let mut request = http::Request::new(call.body.clone());
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.target.parse().expect("a target");
        *request.headers_mut() = call.headers.clone();
        request
            .headers_mut()
            .insert("x-left", sending.left.0.into());
        request
            .headers_mut()
            .insert("x-server", sending.server.as_str().parse().expect("a name"));
        if let Some(after) = sending.after {
            request.headers_mut().insert("x-after", after.into());
        }
        request
    }
    fn identity(&self, call: &Call, head: &http::response::Parts) -> AnswerIdentity {
        let mut ids = head.headers.get_all("x-call").iter();
        match (ids.next(), ids.next()) {
            (None, _) => AnswerIdentity::Missing,
            (Some(id), None) if id.as_bytes() == call.id.as_str().as_bytes() => AnswerIdentity::Own,
            _ => AnswerIdentity::Other,
        }
    }
    fn claim(&self, head: &http::response::Parts) -> ClaimedIdentity {
        match head.status.as_u16() {
            ..200 => ClaimedIdentity::Nothing,
            421 => ClaimedIdentity::Elsewhere,
            _ if head.headers.contains_key("x-unrun") => ClaimedIdentity::NotRun,
            200..300 if head.headers.contains_key("x-mark") => ClaimedIdentity::Success,
            200..300 => ClaimedIdentity::Nothing,
            _ => ClaimedIdentity::Failure,
        }
    }
    fn load(&self, head: &http::response::Parts) -> Option<ServerLoad> {
        let running = head.headers.get("x-load")?.to_str().ok()?.parse().ok()?;
        Some(ServerLoad {
            running,
            waiting: 0,
            slots: 8,
        })
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
    fn is_probe(&self, request: &Request) -> bool {
        request.path == "/probe"
    }
    fn list_request(&self, page: Option<&str>) -> http::Request<Bytes> {
        let mut request = http::Request::new(Bytes::new());
        *request.uri_mut() = format!("/list/{}", page.unwrap_or("first"))
            .parse()
            .expect("a target");
        request
            .headers_mut()
            .insert("host", http::HeaderValue::from_static("list"));
        request
    }
    /// A name, and behind a blank the page that follows, if one does.
    fn read_list(&self, body: &[u8]) -> Result<(Vec<ServerEntry>, Option<String>), String> {
        let text = std::str::from_utf8(body).map_err(|fault| fault.to_string())?;
        let (name, next) = text
            .split_once(' ')
            .map_or((text, None), |(name, next)| (name, Some(next.to_owned())));
        Ok((
            vec![ServerEntry {
                server: name.into(),
                ..ServerEntry::default()
            }],
            next,
        ))
    }
}

// ---- Stand-in servers.

/// What a stand-in does with one request.
enum Do {
    Say(String),
    /// Goes on when the test says so.
    Await(flume::Receiver<()>),
    /// Waits until the other side has closed, and tells.
    AwaitEnd(flume::Sender<()>),
    Close,
}
use Do::{Await, AwaitEnd, Close, Say};

struct Server {
    name: &'static str,
    address: SocketAddr,
    /// Heads and bodies of the requests that came.
    heard: flume::Receiver<String>,
}

impl Server {
    /// One that does this with its requests, one after the other, and closes on any more.
    fn start(name: &'static str, mut script: Vec<Vec<Do>>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (hear, heard) = flume::unbounded();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                while let Some(request) = read_request(&stream) {
                    let _ = hear.send(request);
                    if script.is_empty() || !perform(&stream, script.remove(0)) {
                        break;
                    }
                }
            }
        });
        Server {
            name,
            address,
            heard,
        }
    }
    /// One that is not there.
    fn absent(name: &'static str) -> Server {
        let address = TcpListener::bind("127.0.0.1:0")
            .expect("a port")
            .local_addr()
            .expect("bound");
        Server {
            name,
            address,
            heard: flume::unbounded().1,
        }
    }
    fn placing(&self, may_repeat: bool) -> Placement {
        Placement {
            server: self.name.into(),
            address: self.address.to_string(),
            expected: Milliseconds(20_000),
            run: run_id([7; 16]),
            token: None,
            may_repeat,
            first_token: Milliseconds(2000),
            epoch: ConfigEpoch(1),
            incarnation: None,
            access: Access::Unrestricted,
        }
    }
    fn count(&self) -> usize {
        self.heard.len()
    }
    fn request(&self) -> String {
        self.heard.recv_timeout(GUARD).expect("a request came")
    }
}

fn read_request(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        head.push_str(&line);
        if line == "\r\n" {
            break;
        }
    }
    let length =
        header(&head, "content-length").map_or(0, |length| length.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(head + &String::from_utf8(body).expect("text"))
}

/// Whether the connection stays.
fn perform(mut stream: &TcpStream, script: Vec<Do>) -> bool {
    for step in script {
        match step {
            Say(text) => {
                if stream.write_all(text.as_bytes()).is_err() {
                    return false;
                }
            }
            Await(signal) => drop(signal.recv_timeout(GUARD)),
            AwaitEnd(tell) => {
                let _ = stream.read(&mut [0; 1]);
                let _ = tell.send(());
                return false;
            }
            Close => return false,
        }
    }
    true
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let lines = head.lines().take_while(|line| !line.is_empty());
    let mut fields = lines.filter_map(|line| line.split_once(": "));
    fields
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value)
}

const OURS: &str = "x-call: c1\r\nx-mark: m\r\n";

fn answer(status: u16, headers: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} Word\r\n{headers}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}
fn whole(body: &str) -> Do {
    Say(answer(200, OURS, body))
}
fn stream_head(mark: &str) -> Do {
    Say(format!(
        "HTTP/1.1 200 OK\r\nx-call: c1\r\nx-mark: {mark}\r\ntransfer-encoding: chunked\r\n\r\n"
    ))
}
fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}
fn chunk(text: &str) -> Do {
    Say(format!("{:x}\r\n{text}\r\n", text.len()))
}
fn events(ids: std::ops::RangeInclusive<u64>) -> Do {
    chunk(&ids.map(event).collect::<String>())
}
fn all_of(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(event).collect()
}
fn end() -> Do {
    Say("0\r\n\r\n".into())
}

// ---- The scripted control thread.

/// What the control thread was recorded.
#[derive(Debug, Clone, PartialEq)]
enum Recorded {
    PlacementRequested {
        round: u32,
        tried: Vec<ServerName>,
        may_have_run: bool,
        deadline: Milliseconds,
    },
    First,
    /// Nobody waited for the answer any longer.
    Unreceived,
    Ended(Outcome),
    Load(u32),
    Unreachable(ServerName),
    Closed {
        may_have_run: bool,
    },
}

/// One answer of the scheduler; it may change what is shared before.
type ScriptedOutcome = Box<dyn FnOnce(&Shared) -> Result<Placement, Rejection> + Send>;

fn goes_to(server: &Server, may_repeat: bool) -> ScriptedOutcome {
    let placing = server.placing(may_repeat);
    Box::new(move |_| Ok(placing))
}
fn denied(code: ResultCode, retry_after: u64) -> ScriptedOutcome {
    Box::new(move |_| {
        Err(Rejection {
            code,
            why: "scripted".into(),
            retry_after: Milliseconds(retry_after),
        })
    })
}

/// A control thread that is busy until the waiting thread has given up and sent something else.
fn goes_to_too_late(server: &Server) -> ScriptedOutcome {
    let placing = server.placing(true);
    Box::new(move |shared| {
        while shared.control.is_empty() {
            std::thread::yield_now();
        }
        Ok(placing)
    })
}

fn control(
    shared: &Arc<Shared>,
    events: flume::Receiver<ControlEvent>,
    outcomes: Vec<ScriptedOutcome>,
) -> flume::Receiver<Recorded> {
    let (recorder, recorded) = flume::unbounded();
    let (shared, mut outcomes) = (shared.clone(), outcomes.into_iter());
    std::thread::spawn(move || {
        for event in events {
            let one = match event {
                ControlEvent::Place(NodeInput::Place(ask), response) => {
                    let PlacementRequest {
                        round,
                        tried,
                        may_have_run,
                        request_cost,
                        ..
                    } = ask;
                    let _ = recorder.send(Recorded::PlacementRequested {
                        round,
                        tried,
                        may_have_run,
                        deadline: request_cost.deadline,
                    });
                    let outcome = outcomes
                        .next()
                        .unwrap_or_else(|| denied(ResultCode::NoServer, 700));
                    if !response.send(outcome(&shared)) {
                        let _ = recorder.send(Recorded::Unreceived);
                    }
                    continue;
                }
                ControlEvent::Input(NodeInput::Event(Event::FirstToken { .. })) => Recorded::First,
                ControlEvent::Input(NodeInput::Event(Event::Ended { outcome, .. })) => {
                    Recorded::Ended(outcome)
                }
                ControlEvent::Input(NodeInput::Event(Event::Load { running, .. })) => {
                    Recorded::Load(running)
                }
                ControlEvent::Input(NodeInput::Event(Event::Unreachable { server })) => {
                    Recorded::Unreachable(server)
                }
                ControlEvent::Input(NodeInput::Close { may_have_run, .. }) => {
                    Recorded::Closed { may_have_run }
                }
                _ => continue,
            };
            let _ = recorder.send(one);
        }
    });
    recorded
}

// ---- The node, and its clients.

/// What the threads of a node that may act share, without a plan, and what they tell its control thread.
pub(crate) fn shared() -> (Arc<Shared>, flume::Receiver<ControlEvent>) {
    let (sender, inbox) = flume::unbounded();
    let shared = Shared::detached(sender, 10);
    (Arc::new(shared), inbox)
}

/// What stands in for a node, with one route `/p/` of this kind at host `h`.
struct Stage {
    address: SocketAddr,
    recorded: flume::Receiver<Recorded>,
    shared: Arc<Shared>,
}

struct Route {
    kind: &'static str,
    max_tries: u64,
    deadline_ms: u64,
}

const IDEMPOTENT: Route = Route {
    kind: "idempotent",
    max_tries: 2,
    deadline_ms: 20_000,
};
const MUTATING: Route = Route {
    kind: "mutating",
    max_tries: 3,
    deadline_ms: 20_000,
};
const STREAM: Route = Route {
    kind: "stream",
    max_tries: 2,
    deadline_ms: 20_000,
};

impl Stage {
    fn set(route: &Route, outcomes: Vec<ScriptedOutcome>) -> Stage {
        Self::set_mutant(route, outcomes, None)
    }
    fn set_mutant(route: &Route, outcomes: Vec<ScriptedOutcome>, mutant: Option<Mutant>) -> Stage {
        let (shared, inbox) = shared();
        let plan = serde_json::json!({"services": {"s": {"kind": "stream"}}, "routes": [{
            "name": "r", "host": "h", "path_prefix": "/p/", "kind": route.kind, "max_tries": route.max_tries,
            "deadline_ms": route.deadline_ms, "split": [{"service": "s", "weight": 1}],
        }]});
        let plan = parse_plan(plan.to_string().as_bytes()).expect("a good plan");
        shared.install_detached_plan(&Arc::new(plan));
        let recorded = control(&shared, inbox, outcomes);
        let pool = ConnectionPool::new(ConnectionPoolBounds {
            max_per_address: 8,
            max_idle_per_address: 4,
            idle_timeout: Milliseconds::seconds(20),
        });
        let forwarder = Arc::new(Forwarder {
            shared: shared.clone(),
            dialect: Arc::new(Plain),
            pool,
            mutant,
        });
        let http_server = HttpServer::open(
            "127.0.0.1:0".parse().expect("an address"),
            HttpServerBounds::default(),
        )
        .expect("a gate");
        let address = http_server.address().0;
        std::thread::spawn(move || http_server.serve(move |request| forwarder.respond(request)));
        Stage {
            address,
            recorded,
            shared,
        }
    }
    fn send(&self, headers: &str) -> Client {
        let mut stream = TcpStream::connect(self.address).expect("connected");
        stream.set_read_timeout(Some(GUARD)).expect("set");
        let request = format!(
            "POST /p/x?q=a%20b HTTP/1.1\r\nhost: h\r\nx-call: c1\r\n{headers}content-length: 4\r\n\r\nbody"
        );
        stream.write_all(request.as_bytes()).expect("written");
        Client {
            stream,
            raw: String::new(),
        }
    }
    fn exchange(&self, headers: &str) -> Answer {
        self.send(headers).answer()
    }
    /// All that the control thread was recorded, up to the end of the request.
    fn recorded(&self) -> Vec<Recorded> {
        let mut all = vec![];
        while !matches!(all.last(), Some(Recorded::Closed { .. })) {
            all.push(self.recorded.recv_timeout(GUARD).expect("the request ends"));
        }
        all
    }
    fn outcomes(&self) -> Vec<Outcome> {
        let ended = |recorded: Recorded| {
            if let Recorded::Ended(outcome) = recorded {
                Some(outcome)
            } else {
                None
            }
        };
        self.recorded().into_iter().filter_map(ended).collect()
    }
}

struct Client {
    stream: TcpStream,
    raw: String,
}

impl Client {
    /// Reads on until this has come.
    fn await_text(&mut self, text: &str) {
        while !self.raw.contains(text) {
            let mut bytes = [0; 4096];
            let count = self.stream.read(&mut bytes).expect("readable");
            assert!(count > 0, "it ended without `{text}`: {}", self.raw);
            self.raw
                .push_str(std::str::from_utf8(&bytes[..count]).expect("text"));
        }
    }
    fn answer(mut self) -> Answer {
        let mut bytes = vec![];
        // A reset ends it as well as a close.
        let _ = self.stream.read_to_end(&mut bytes);
        self.raw.push_str(&String::from_utf8(bytes).expect("text"));
        let (head, body) = self.raw.split_once("\r\n\r\n").expect("a head");
        let head = format!("{head}\r\n\r\n");
        let status = head[9..12].parse().expect("a status");
        match header(&head, "transfer-encoding") {
            Some(_) => Answer {
                status,
                is_whole: body.ends_with("0\r\n\r\n"),
                body: unchunked(body),
                head,
            },
            None => {
                let length =
                    header(&head, "content-length").map(|length| length.parse().expect("a length"));
                Answer {
                    status,
                    is_whole: length == Some(body.len()),
                    body: body.into(),
                    head,
                }
            }
        }
    }
}

fn unchunked(mut body: &str) -> String {
    let mut text = String::new();
    while let Some((size, rest)) = body.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size");
        text.push_str(&rest[..size.min(rest.len())]);
        body = rest.get(size + 2..).unwrap_or_default();
    }
    text
}

#[derive(Debug)]
struct Answer {
    status: u16,
    head: String,
    body: String,
    is_whole: bool,
}

impl Answer {
    fn has(&self, name: &str) -> bool {
        header(&self.head, name).is_some()
    }
    /// One that a client takes for the server's whole answer.
    fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.has("x-mark") && self.is_whole
    }
    /// A promise that nothing ran.
    fn is_promise(&self) -> bool {
        super::forwarded_request::NOT_RUN_STATUSES.contains(&self.status)
    }
}

// ---- Whole answers.

#[test]
fn a_whole_answer_passes_unchanged_with_its_headers_and_without_those_of_the_connection() {
    let said = format!(
        "{OURS}x-own: 1\r\nx-own: 2\r\nx-load: 3\r\nkeep-alive: timeout=5\r\nconnection: keep-alive\r\n"
    );
    let server = Server::start("a", vec![vec![Say(answer(203, &said, "the\r\n\r\nbytes"))]]);
    let stage = Stage::set(&IDEMPOTENT, vec![goes_to(&server, true)]);
    let answer = stage.exchange("x-mine: 5\r\nx-wait: 9000\r\n");
    assert_eq!(
        (answer.status, answer.body.as_str(), answer.is_whole),
        (203, "the\r\n\r\nbytes", true)
    );
    assert_eq!(answer.head.matches("x-own: ").count(), 2);
    assert!(
        answer.has("x-mark") && !answer.has("keep-alive"),
        "{}",
        answer.head
    );
    let request = server.request();
    assert!(
        request.starts_with("POST /p/x?q=a%20b HTTP/1.1\r\n") && request.ends_with("\r\n\r\nbody"),
        "{request}"
    );
    assert_eq!(
        [header(&request, "x-mine"), header(&request, "x-server")],
        [Some("5"), Some("a")]
    );
    let recorded = stage.recorded();
    assert!(
        recorded.contains(&Recorded::Load(3))
            && recorded.contains(&Recorded::Ended(Outcome::Complete)),
        "{recorded:?}"
    );
}

/// Whether this was taken for no answer: the call may have run, and nobody knows.
fn is_no_answer(said: String, mutant: Option<Mutant>) -> bool {
    let server = Server::start("a", vec![vec![Say(said), Close]]);
    let stage = Stage::set_mutant(&MUTATING, vec![goes_to(&server, false)], mutant);
    let answer = stage.exchange("");
    let outcomes = stage.outcomes();
    answer.status == 502 && outcomes == [Outcome::Failed]
}

#[parameterized(
    a_foreign_id = { answer(200, "x-call: c2\r\nx-mark: m\r\n", "other") },
    a_foreign_refusal = { answer(503, "x-call: c2\r\nx-unrun: 1\r\n", "other") },
    no_id = { answer(200, "x-mark: m\r\n", "whose") },
    two_ids = { answer(200, "x-call: c1\r\nx-call: c2\r\nx-mark: m\r\n", "whose") },
    its_id_twice = { answer(200, "x-call: c1\r\nx-call: c1\r\nx-mark: m\r\n", "whose") },
    refusal_with_two_ids = { answer(503, "x-call: c1\r\nx-call: c2\r\nx-unrun: 1\r\n", "whose") },
    another_protocol = { format!("HTTP/1.1 101 Switching\r\n{OURS}upgrade: x\r\nconnection: upgrade\r\n\r\n") },
    no_mark = { answer(200, "x-call: c1\r\n", "no mark") },
    torn = { format!("HTTP/1.1 200 OK\r\n{OURS}content-length: 50\r\n\r\nonly this") },
    torn_in_chunks = { format!("HTTP/1.1 200 OK\r\n{OURS}transfer-encoding: chunked\r\n\r\n4\r\nonly\r\n") },
    not_http = { "what is this?\r\n\r\n".to_owned() },
    nothing = { String::new() },
)]
fn what_is_not_the_whole_answer_to_this_call_never_passes(said: String) {
    assert!(is_no_answer(said, None));
}

#[parameterized(
    of_another_call = { "HTTP/1.1 200 OK\r\nx-call: c2\r\nx-mark: m\r\nx-load: 7\r\ncontent-length: 0\r\n\r\n" },
    without_an_id = { "HTTP/1.1 200 OK\r\nx-mark: m\r\nx-load: 7\r\ncontent-length: 0\r\n\r\n" },
    of_another_server = { "HTTP/1.1 421 No\r\nx-call: c1\r\nx-load: 7\r\ncontent-length: 0\r\n\r\n" },
)]
fn no_load_is_believed_of_a_response_that_is_not_of_this_call_and_server(said: &str) {
    let server = Server::start("a", vec![vec![Say(said.into())]]);
    let stage = Stage::set(&MUTATING, vec![goes_to(&server, false)]);
    stage.exchange("");
    let recorded = stage.recorded();
    assert!(!recorded.contains(&Recorded::Load(7)), "{recorded:?}");
}

#[test]
fn bytes_after_a_whole_answer_belong_to_nothing() {
    let surplus = answer(200, "x-call: c1\r\nx-mark: late\r\n", "surplus");
    let server = Server::start(
        "a",
        vec![
            vec![Say(answer(200, OURS, "mine") + &surplus)],
            vec![whole("second")],
        ],
    );
    let stage = Stage::set(
        &IDEMPOTENT,
        vec![goes_to(&server, true), goes_to(&server, true)],
    );
    let first = stage.exchange("");
    assert_eq!((first.body.as_str(), first.is_whole), ("mine", true));
    stage.recorded();
    let second = stage.exchange("");
    assert_eq!(
        (second.body.as_str(), header(&second.head, "x-mark")),
        ("second", Some("m"))
    );
}

// ---- Other servers.

fn unrun() -> Do {
    Say(answer(503, "x-call: c1\r\nx-unrun: 1\r\n", "full"))
}

#[parameterized(
    once = { 1 },
    twice = { 2 },
    three_times = { 3 },
)]
fn what_surely_did_not_run_goes_elsewhere_as_often_as_the_route_allows_and_is_then_refused(
    max_tries: u64,
) {
    let servers: Vec<Server> = ["a", "b", "c", "d"]
        .map(|name| Server::start(name, vec![vec![unrun()]]))
        .into();
    let route = Route {
        max_tries,
        ..MUTATING
    };
    let stage = Stage::set(
        &route,
        servers
            .iter()
            .map(|server| goes_to(server, false))
            .collect(),
    );
    let answer = stage.exchange("");
    assert_eq!(
        (answer.status, answer.body.as_str()),
        (503, "server-refused")
    );
    assert!(answer.has("retry-after"), "{}", answer.head);
    let asked: usize = servers.iter().map(Server::count).sum();
    assert_eq!(asked as u64, max_tries);
    let recorded = stage.recorded();
    let tried = |round: u32| {
        servers[..round as usize]
            .iter()
            .map(|server| server.name.into())
            .collect()
    };
    for round in 0..max_tries as u32 {
        let asked = Recorded::PlacementRequested {
            round,
            tried: tried(round),
            may_have_run: false,
            deadline: Milliseconds(20_000),
        };
        assert!(recorded.contains(&asked), "{recorded:?} lacks {asked:?}");
    }
    assert_eq!(
        recorded.last(),
        Some(&Recorded::Closed {
            may_have_run: false
        })
    );
}

#[test]
fn what_surely_did_not_run_is_answered_by_another_server() {
    let (full, well) = (
        Server::start("a", vec![vec![unrun()]]),
        Server::start("b", vec![vec![whole("well")]]),
    );
    let stage = Stage::set(
        &MUTATING,
        vec![goes_to(&full, false), goes_to(&well, false)],
    );
    let answer = stage.exchange("");
    assert!(answer.is_success() && answer.body == "well", "{answer:?}");
    assert_eq!(stage.outcomes(), [Outcome::Refused, Outcome::Complete]);
}

#[test]
fn when_the_scheduler_finds_no_other_server_its_time_to_come_back_is_told() {
    let full = Server::start("a", vec![vec![unrun()]]);
    let stage = Stage::set(
        &MUTATING,
        vec![goes_to(&full, false), denied(ResultCode::NoServer, 1250)],
    );
    let answer = stage.exchange("");
    assert_eq!(
        (answer.status, header(&answer.head, "retry-after")),
        (503, Some("1.25"))
    );
}

#[test]
fn a_server_that_is_not_there_costs_no_try() {
    let (absent, well) = (
        Server::absent("a"),
        Server::start("b", vec![vec![whole("well")]]),
    );
    let route = Route {
        max_tries: 1,
        ..MUTATING
    };
    let stage = Stage::set(&route, vec![goes_to(&absent, false), goes_to(&well, false)]);
    assert!(stage.exchange("").is_success());
    assert_eq!(stage.outcomes(), [Outcome::Unsent, Outcome::Complete]);
}

/// A refusal that names no call.
fn unnamed(status: u16) -> Do {
    Say(answer(status, "x-unrun: 1\r\n", "whose?"))
}

/// Whether a call that the server ran, but in whose place a refusal without an id stood on a connection
/// that had served another one, stays with that server and is not recorded as refused.
fn doubts_unnamed(status: u16, mutant: Option<Mutant>) -> bool {
    let first = Server::start("a", vec![vec![whole("first")], vec![unnamed(status)]]);
    let other = Server::start("b", vec![vec![whole("again")]]);
    let outcomes = vec![
        goes_to(&first, false),
        goes_to(&first, false),
        goes_to(&other, false),
    ];
    let stage = Stage::set_mutant(&MUTATING, outcomes, mutant);
    assert!(stage.exchange("").is_success());
    stage.recorded();
    let answer = stage.exchange("");
    answer.status == 502
        && other.count() == 0
        && first.count() == 2
        && stage.outcomes() == [Outcome::Failed]
}

#[parameterized(not_run = { 503 }, too_many = { 429 }, elsewhere = { 421 }, no_id_read = { 400 })]
fn a_refusal_without_an_id_proves_nothing_where_another_answer_may_stand(status: u16) {
    assert!(doubts_unnamed(status, None));
}

#[parameterized(not_run = { 503 }, elsewhere = { 421 })]
fn a_refusal_without_an_id_is_believed_as_the_first_answer_on_its_connection(status: u16) {
    let (full, well) = (
        Server::start("a", vec![vec![unnamed(status)]]),
        Server::start("b", vec![vec![whole("well")]]),
    );
    let stage = Stage::set(
        &MUTATING,
        vec![goes_to(&full, false), goes_to(&well, false)],
    );
    assert!(stage.exchange("").is_success());
    assert_eq!(stage.outcomes(), [Outcome::Refused, Outcome::Complete]);
}

#[test]
fn what_may_repeat_is_tried_again_after_a_refusal_without_an_id_but_never_told_as_refused() {
    let first = Server::start("a", vec![vec![whole("first")], vec![unnamed(503)]]);
    let full = Server::start("b", vec![vec![unrun()]]);
    let outcomes = vec![
        goes_to(&first, true),
        goes_to(&first, true),
        goes_to(&full, true),
    ];
    let stage = Stage::set(&IDEMPOTENT, outcomes);
    assert!(stage.exchange("").is_success());
    stage.recorded();
    assert_eq!((stage.exchange("").status, full.count()), (502, 1));
}

/// Whether a call that may have run, and may not repeat, went to one server alone and was not recorded as refused.
fn runs_once(first: Vec<Do>, mutant: Option<Mutant>) -> bool {
    let (ill, well) = (
        Server::start("a", vec![first]),
        Server::start("b", vec![vec![whole("again")]]),
    );
    let stage = Stage::set_mutant(
        &MUTATING,
        vec![goes_to(&ill, false), goes_to(&well, false)],
        mutant,
    );
    let answer = stage.exchange("x-wait: 1000\r\n");
    let closed = stage.recorded().pop();
    well.count() == 0
        && !answer.is_promise()
        && answer.status >= 500
        && matches!(closed, Some(Recorded::Closed { .. }))
}

fn failed(status: u16) -> Vec<Do> {
    vec![Say(answer(status, "x-call: c1\r\n", "hm"))]
}

#[parameterized(
    closed = { vec![Close] },
    silent = { vec![AwaitEnd(flume::unbounded().0)] },
    own_500 = { failed(500) },
    own_504 = { failed(504) },
    says_408 = { failed(408) },
    says_429 = { failed(429) },
    says_503 = { failed(503) },
    torn = { vec![Say(format!("HTTP/1.1 200 OK\r\n{OURS}content-length: 50\r\n\r\nonly this")), Close] },
)]
fn what_may_have_run_and_may_not_repeat_is_neither_sent_again_nor_told_as_refused(first: Vec<Do>) {
    assert!(runs_once(first, None));
}

#[parameterized(own_500 = { 500 }, own_504 = { 504 })]
fn a_failure_that_promises_nothing_is_the_servers_to_tell(status: u16) {
    let ill = Server::start("a", vec![failed(status)]);
    let stage = Stage::set(&MUTATING, vec![goes_to(&ill, false)]);
    let answer = stage.exchange("");
    assert_eq!((answer.status, answer.body.as_str()), (status, "hm"));
}

#[test]
fn what_may_repeat_goes_to_another_server_but_is_never_told_as_refused_after() {
    let (ill, full) = (
        Server::start("a", vec![vec![Close]]),
        Server::start("b", vec![vec![unrun()]]),
    );
    let stage = Stage::set(&IDEMPOTENT, vec![goes_to(&ill, true), goes_to(&full, true)]);
    let answer = stage.exchange("");
    assert_eq!((answer.status, ill.count(), full.count()), (502, 1, 1));
    let recorded = stage.recorded();
    let second = Recorded::PlacementRequested {
        round: 1,
        tried: vec!["a".into()],
        may_have_run: true,
        deadline: Milliseconds(20_000),
    };
    assert!(recorded.contains(&second), "{recorded:?}");
}

#[test]
fn where_another_server_has_the_address_the_call_goes_elsewhere_and_the_scheduler_hears_of_it() {
    let gone = Server::start(
        "a",
        vec![vec![Say(answer(421, "x-call: c1\r\n", "not me"))]],
    );
    let well = Server::start("b", vec![vec![whole("well")]]);
    let stage = Stage::set(
        &MUTATING,
        vec![goes_to(&gone, false), goes_to(&well, false)],
    );
    assert!(stage.exchange("").is_success());
    let recorded = stage.recorded();
    assert!(
        recorded.contains(&Recorded::Unreachable("a".into()))
            && recorded.contains(&Recorded::Ended(Outcome::Refused)),
        "{recorded:?}"
    );
}

#[test]
fn a_kept_connection_whose_address_went_to_another_server_runs_nothing_for_the_new_one() {
    let not_it = Say(answer(421, "x-call: c1\r\n", "not me"));
    let old = Server::start("a", vec![vec![whole("first")], vec![not_it]]);
    let well = Server::start("b", vec![vec![whole("well")]]);
    // The list gives the address to another server; the connection to the old one still rests.
    let placing = Placement {
        server: "c".into(),
        ..old.placing(false)
    };
    let outcomes = vec![
        goes_to(&old, false),
        Box::new(move |_: &Shared| Ok(placing)) as ScriptedOutcome,
        goes_to(&well, false),
    ];
    let stage = Stage::set(&MUTATING, outcomes);
    assert_eq!(stage.exchange("").body, "first");
    stage.recorded();
    assert_eq!(stage.exchange("").body, "well");
    let asked = [old.request(), old.request()]
        .map(|request| header(&request, "x-server").map(str::to_owned));
    assert_eq!(
        asked,
        [Some("a".to_owned()), Some("c".to_owned())],
        "each request names the server that is meant"
    );
    assert!(
        stage
            .recorded()
            .contains(&Recorded::Unreachable("c".into()))
    );
}

#[test]
fn one_try_never_asks_a_second_server_even_where_it_might_repeat() {
    let (ill, well) = (
        Server::start("a", vec![vec![Close]]),
        Server::start("b", vec![vec![whole("again")]]),
    );
    let route = Route {
        max_tries: 1,
        ..IDEMPOTENT
    };
    let stage = Stage::set(&route, vec![goes_to(&ill, true), goes_to(&well, true)]);
    assert_eq!((stage.exchange("").status, well.count()), (502, 0));
}

// ---- Deadlines, lease state, plans.

#[parameterized(
    the_clients = { 8000, 15_000, 8000 },
    the_routes = { 15_000, 8000, 8000 },
)]
fn the_deadline_is_the_least_and_what_is_left_is_handed_on(
    client: u64,
    deadline_ms: u64,
    least: u64,
) {
    let (full, well) = (
        Server::start("a", vec![vec![unrun()]]),
        Server::start("b", vec![vec![whole("well")]]),
    );
    let route = Route {
        deadline_ms,
        ..MUTATING
    };
    let stage = Stage::set(&route, vec![goes_to(&full, false), goes_to(&well, false)]);
    assert!(
        stage
            .exchange(&format!("x-wait: {client}\r\n"))
            .is_success()
    );
    let left = |server: &Server| {
        header(&server.request(), "x-left")
            .expect("recorded")
            .parse::<u64>()
            .expect("ms")
    };
    let (first, second) = (left(&full), left(&well));
    assert!(
        second <= first && first <= least && second > 0,
        "{first} {second}"
    );
    let is_told = |recorded: &Recorded| matches!(recorded, Recorded::PlacementRequested { deadline, .. } if *deadline == Milliseconds(least));
    assert_eq!(
        stage
            .recorded()
            .iter()
            .filter(|recorded| is_told(recorded))
            .count(),
        2
    );
}

#[test]
fn a_call_without_time_is_sent_nowhere() {
    let server = Server::start("a", vec![vec![whole("late")]]);
    let stage = Stage::set(&IDEMPOTENT, vec![goes_to(&server, true)]);
    let answer = stage.exchange("x-wait: 0\r\n");
    assert!(answer.is_promise() && server.count() == 0, "{answer:?}");
}

/// As if the process had been suspended for this long until now.
fn suspend(stage: &Stage, span: Milliseconds) {
    let resumed_at = Clock::now();
    let suspension = &stage.shared.suspension;
    suspension.record_suspension(resumed_at - span, resumed_at);
}

/// Guards against sending a request that lay in a suspended process's socket until its client had given up
/// (docs/incidents/request-read-late.md).
#[test]
fn a_request_whose_client_may_have_given_up_before_it_was_read_is_sent_nowhere() {
    let server = Server::start("a", vec![vec![Say(answer(200, OURS, "late"))]]);
    let stage = Stage::set(&MUTATING, vec![goes_to(&server, false)]);
    suspend(&stage, Milliseconds(5000));
    let answer = stage.exchange("x-wait: 5000\r\n");
    assert!(answer.is_promise() && server.count() == 0, "{answer:?}");
    assert_eq!(stage.shared.metrics.expired.load(Ordering::Relaxed), 1);
}

/// Guards against giving a server the time that a request has spent in a suspended process's socket.
#[test]
fn a_request_that_was_read_late_is_sent_with_what_is_left_of_its_time() {
    let server = Server::start("a", vec![vec![Say(answer(200, OURS, "in time"))]]);
    let stage = Stage::set(&MUTATING, vec![goes_to(&server, false)]);
    suspend(&stage, Milliseconds(5000));
    assert!(stage.exchange("x-wait: 15000\r\n").is_success());
    let request = server.request();
    let left: u64 = header(&request, "x-left")
        .expect("recorded")
        .parse()
        .expect("ms");
    assert!(left <= 10_000, "{left}");
}

#[test]
fn a_node_that_loses_its_lease_right_before_the_send_sends_nothing_and_refuses() {
    let server = Server::start("a", vec![vec![whole("late")]]);
    let placing = server.placing(true);
    let lose: ScriptedOutcome = Box::new(move |shared| {
        shared.may_act_until.store(0, Ordering::SeqCst);
        Ok(placing)
    });
    let stage = Stage::set(&IDEMPOTENT, vec![lose]);
    let answer = stage.exchange("");
    assert_eq!(
        (answer.status, answer.body.as_str(), server.count()),
        (503, "not-ready", 0)
    );
    assert_eq!(
        stage.recorded().last(),
        Some(&Recorded::Closed {
            may_have_run: false
        })
    );
    assert_eq!(
        (stage.exchange("").status, server.count()),
        (503, 0),
        "nor does it act later"
    );
}

/// Whether what was placed under an older epoch is placed anew before a byte leaves.
fn places_anew(mutant: Option<Mutant>) -> bool {
    let (old, new) = (
        Server::start("a", vec![vec![whole("old")]]),
        Server::start("b", vec![vec![whole("new")]]),
    );
    let placing = old.placing(false);
    let outdate: ScriptedOutcome = Box::new(move |shared| {
        shared.epoch.store(2, Ordering::SeqCst);
        Ok(placing)
    });
    let placing = Placement {
        epoch: ConfigEpoch(2),
        ..new.placing(false)
    };
    let route = Route {
        max_tries: 1,
        ..MUTATING
    };
    let stage = Stage::set_mutant(
        &route,
        vec![outdate, Box::new(move |_| Ok(placing))],
        mutant,
    );
    let answer = stage.exchange("");
    let recorded = stage.recorded();
    let anew = Recorded::PlacementRequested {
        round: 0,
        tried: vec![],
        may_have_run: false,
        deadline: Milliseconds(20_000),
    };
    let is_no_failure = recorded
        .iter()
        .filter(|recorded| **recorded == anew)
        .count()
        == 2;
    answer.body == "new" && old.count() == 0 && is_no_failure
}

#[test]
fn what_was_placed_under_an_older_epoch_is_placed_anew_before_a_byte_leaves() {
    assert!(places_anew(None));
}

#[test]
fn a_plan_change_between_attempts_that_removes_the_route_stops_further_ones() {
    let (full, well) = (
        Server::start("a", vec![vec![unrun()]]),
        Server::start("b", vec![vec![whole("well")]]),
    );
    // The node's own answer where the plan has the route no more.
    let outcomes = vec![
        goes_to(&full, false),
        denied(ResultCode::NotReady, 50),
        goes_to(&well, false),
    ];
    let stage = Stage::set(&MUTATING, outcomes);
    let answer = stage.exchange("");
    assert!(
        answer.is_promise() && answer.has("retry-after") && well.count() == 0,
        "{answer:?}"
    );
}

#[parameterized(
    another_path = { "/q/x", "h" },
    another_host = { "/p/x", "i" },
    prefix_without_slash = { "/px", "h" },
)]
fn a_call_without_a_route_is_404_and_asks_nobody(path: &str, host: &str) {
    let stage = Stage::set(&MUTATING, vec![]);
    let mut stream = TcpStream::connect(stage.address).expect("connected");
    let request = format!("POST {path} HTTP/1.1\r\nhost: {host}\r\nx-call: c1\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("written");
    let answer = Client {
        stream,
        raw: String::new(),
    }
    .answer();
    assert_eq!(
        (answer.status, header(&answer.head, "x-call")),
        (404, Some("c1"))
    );
    assert!(stage.recorded.is_empty());
}

// ---- Streams.

#[test]
fn events_pass_whole_and_at_once() {
    let (go, wait) = flume::bounded(0);
    let (go_on, wait_on) = flume::bounded(0);
    let second = event(2);
    let (begun, rest) = second.split_at(9);
    let script = vec![
        stream_head("m"),
        events(1..=1),
        chunk(begun),
        Await(wait),
        chunk(rest),
        Await(wait_on),
        events(3..=4),
        end(),
    ];
    let server = Server::start("a", vec![script]);
    let stage = Stage::set(&STREAM, vec![goes_to(&server, true)]);
    let mut client = stage.send("");
    // The server goes on only once the client has what came before.
    client.await_text("piece 1\n\n");
    assert!(
        !client.raw.contains(begun),
        "a part of an event was passed: {}",
        client.raw
    );
    go.send_timeout((), GUARD).expect("the server waits");
    client.await_text("piece 2\n\n");
    go_on.send_timeout((), GUARD).expect("the server waits");
    let answer = client.answer();
    assert!(answer.is_success(), "{answer:?}");
    assert_eq!(answer.body, all_of(1..=4));
    let recorded = stage.recorded();
    assert_eq!(
        recorded
            .iter()
            .filter(|recorded| **recorded == Recorded::First)
            .count(),
        1
    );
    assert!(
        recorded.contains(&Recorded::Ended(Outcome::Complete)),
        "{recorded:?}"
    );
}

fn tear() -> Vec<Do> {
    vec![
        stream_head("first"),
        events(5..=6),
        chunk("id: 7\nda"),
        Close,
    ]
}

/// Whether a torn stream that may be resumed goes on exactly, under its first head.
fn resumes_exactly(mutant: Option<Mutant>) -> bool {
    // As a server that starts anew at what it's recorded.
    let (torn, next) = (
        Server::start("a", vec![tear()]),
        Server::start("b", vec![vec![stream_head("second"), events(5..=8), end()]]),
    );
    let stage = Stage::set_mutant(
        &STREAM,
        vec![goes_to(&torn, true), goes_to(&next, true)],
        mutant,
    );
    let answer = stage.exchange("x-after: 4\r\n");
    let asked = [torn.request(), next.request()]
        .map(|request| header(&request, "x-after").map(str::to_owned));
    answer.is_success()
        && header(&answer.head, "x-mark") == Some("first")
        && answer.body == all_of(5..=8)
        && asked == [Some("4".to_owned()), Some("6".to_owned())]
        && stage.outcomes() == [Outcome::Failed, Outcome::Complete]
}

#[test]
fn a_torn_stream_that_may_be_resumed_goes_on_behind_its_last_whole_event_under_the_first_head() {
    assert!(resumes_exactly(None));
}

/// A stream that goes on behind what is no event.
fn malformed(text: &str) -> Vec<Do> {
    let head = stream_head("m");
    vec![head, events(5..=6), chunk(text), events(7..=8), end()]
}

/// A stream whose body ends in order, behind a part of an event.
fn broken_off_in(event: &str) -> Vec<Do> {
    vec![stream_head("m"), events(5..=6), chunk(event), end()]
}

/// Whether a stream in which a server sends what is no event goes on at another server, behind its last event.
fn is_taken_over_exactly(mutant: Option<Mutant>) -> bool {
    goes_on_behind_event_6(malformed("data: nobody's\n\n"), mutant)
}

fn goes_on_behind_event_6(spoiled: Vec<Do>, mutant: Option<Mutant>) -> bool {
    let spoiled = Server::start("a", vec![spoiled]);
    let next = Server::start("b", vec![vec![stream_head("second"), events(7..=9), end()]]);
    let stage = Stage::set_mutant(
        &STREAM,
        vec![goes_to(&spoiled, true), goes_to(&next, true)],
        mutant,
    );
    let answer = stage.exchange("x-after: 4\r\n");
    answer.is_success()
        && answer.body == all_of(5..=9)
        && next.count() == 1
        && header(&next.request(), "x-after") == Some("6")
        && stage.outcomes() == [Outcome::Failed, Outcome::Complete]
}

#[test]
fn a_stream_with_what_is_no_event_goes_on_at_another_server_behind_its_last_event() {
    assert!(is_taken_over_exactly(None));
}

/// The half passes as a piece, and the answer ends as complete: a server broke off in the middle of an event and ended its body.
#[parameterized(
    without_its_blank_line = { "id: 7\ndata: seven\n" },
    without_the_end_of_its_line = { "id: 7\ndata: sev" },
    in_its_id = { "id: " },
    behind_its_first_byte = { "i" },
    behind_a_field_that_says_nothing = { "event: token\n" },
    with_carriage_returns = { "id: 7\rdata: seven\r" },
    with_both = { "id: 7\r\ndata: seven\r\n" },
)]
fn a_stream_that_ends_in_the_middle_of_an_event_goes_on_behind_the_one_before(event: &str) {
    assert!(goes_on_behind_event_6(broken_off_in(event), None));
}

/// Nothing of the run is left out: such a server has sent all of its events.
#[parameterized(
    a_comment = { ": note\n" },
    a_part_of_a_comment = { ": no" },
    blank_lines = { "\n\r\n" },
)]
fn comments_behind_the_last_event_pass_and_the_answer_is_complete(trailer: &str) {
    let server = Server::start("a", vec![broken_off_in(trailer)]);
    let stage = Stage::set(&STREAM, vec![goes_to(&server, true)]);
    let answer = stage.exchange("");
    assert!(answer.is_success(), "{answer:?}");
    assert_eq!(answer.body, all_of(5..=6) + trailer);
    assert_eq!(stage.outcomes(), [Outcome::Complete]);
}

#[parameterized(
    which_is_of_nobody = { "data: nobody's\n\n" },
    which_the_body_ends_in = { "id: 5\ndata: fi" },
)]
fn a_stream_that_begins_with_what_is_no_event_is_no_answer(event: &str) {
    let spoiled = Server::start("a", vec![vec![stream_head("m"), chunk(event), end()]]);
    let stage = Stage::set(&STREAM, vec![goes_to(&spoiled, false)]);
    let answer = stage.exchange("");
    assert!(!answer.is_success() && !answer.is_promise(), "{answer:?}");
    assert_eq!(stage.outcomes(), [Outcome::Failed]);
}

/// Whether a torn stream that no server takes up never looks complete, and goes nowhere else.
fn is_aborted_visibly(torn: Vec<Do>, mutant: Option<Mutant>) -> bool {
    let (torn, next) = (
        Server::start("a", vec![torn]),
        Server::start("b", vec![vec![whole("again")]]),
    );
    let stage = Stage::set_mutant(
        &STREAM,
        vec![goes_to(&torn, false), goes_to(&next, false)],
        mutant,
    );
    let answer = stage.exchange("");
    !answer.is_whole && answer.body == all_of(5..=6) && next.count() == 0
}

#[parameterized(
    in_an_event = { tear() },
    between_events = { vec![stream_head("m"), events(5..=6), Close] },
    by_an_event_without_an_id = { malformed("data: nobody's\n\n") },
    by_text = { malformed("certainly not\r\n\r\n") },
    by_a_number_that_went_back = { malformed("id: 3\ndata: back\n\n") },
    by_the_end_of_its_body_in_an_event = { broken_off_in("id: 7\ndata: sev") },
    by_the_end_of_its_body_before_a_blank_line = { broken_off_in("id: 7\ndata: seven\n") },
    by_text_at_the_end = { vec![stream_head("m"), events(5..=6), chunk("and more"), end()] },
    by_an_answer_behind_a_body_without_a_length = { vec![
        Say(format!("HTTP/1.1 200 OK\r\n{OURS}\r\n{}{}", all_of(5..=6), answer(200, OURS, "other"))), Close,
    ] },
    no_http = { vec![stream_head("m"), events(5..=6), Say("garbage\r\n".into()), Close] },
)]
fn a_torn_stream_that_may_not_be_resumed_never_looks_complete(torn: Vec<Do>) {
    assert!(is_aborted_visibly(torn, None));
}

#[test]
fn a_torn_stream_that_no_other_server_takes_never_looks_complete() {
    let torn = Server::start("a", vec![tear()]);
    let stage = Stage::set(
        &STREAM,
        vec![goes_to(&torn, true), denied(ResultCode::NoServer, 500)],
    );
    let answer = stage.exchange("");
    assert!(
        !answer.is_whole && answer.body == all_of(5..=6),
        "{answer:?}"
    );
}

#[test]
fn a_resumable_stream_that_falls_silent_is_taken_up_elsewhere() {
    let (ended, is_ended) = flume::unbounded();
    let silent = Server::start(
        "a",
        vec![vec![stream_head("m"), events(1..=2), AwaitEnd(ended)]],
    );
    let next = Server::start("b", vec![vec![stream_head("n"), events(3..=4), end()]]);
    let stage = Stage::set(&STREAM, vec![goes_to(&silent, true), goes_to(&next, true)]);
    // Its client doesn't wait for longer than it takes to notice, and for the other server.
    let answer = stage.exchange("x-wait: 4500\r\n");
    assert!(
        answer.is_success() && answer.body == all_of(1..=4),
        "{answer:?}"
    );
    is_ended
        .recv_timeout(GUARD)
        .expect("the silent server is left");
}

#[parameterized(
    by_a_node_that_stops = { ResultCode::Draining },
    by_a_node_without_a_lease_or_a_plan_without_the_route = { ResultCode::NotReady },
    by_a_plan_without_the_service = { ResultCode::UnknownService },
    for_lack_of_servers_or_of_retries = { ResultCode::NoServer },
    for_lack_of_room = { ResultCode::Crowded },
)]
fn a_stalled_stream_whose_takeover_is_refused_goes_on_where_it_is(code: ResultCode) {
    let (go, wait) = flume::bounded(0);
    let script = vec![
        stream_head("m"),
        events(1..=2),
        Await(wait),
        events(3..=4),
        end(),
    ];
    let server = Server::start("a", vec![script]);
    let stage = Stage::set(
        &STREAM,
        vec![goes_to(&server, true), denied(code, 50), denied(code, 50)],
    );
    let client = stage.send("");
    let mut refused = 0;
    while refused < 2 {
        let input = stage
            .recorded
            .recv_timeout(GUARD)
            .expect("it looks for another server");
        let is_takeover = matches!(&input, Recorded::PlacementRequested { round: 1, tried, may_have_run: true, .. } if tried[..] == ["a".into()]);
        refused += usize::from(is_takeover);
        assert!(!matches!(input, Recorded::Ended(_)), "{input:?}");
    }
    go.send_timeout((), GUARD).expect("the server waits");
    let answer = client.answer();
    assert!(answer.is_success(), "{answer:?}");
    assert_eq!(answer.body, all_of(1..=4));
    assert_eq!(stage.outcomes(), [Outcome::Complete]);
}

// A takeover that the control thread answered too late was taken for refused, and the request that went on
// was no longer counted at its server, or at the one that was granted in the end.
#[test]
fn an_unanswered_takeover_counts_the_request_at_its_server() {
    let (go, wait) = flume::bounded(0);
    let script = vec![
        stream_head("m"),
        events(1..=2),
        Await(wait),
        events(3..=4),
        end(),
    ];
    let server = Server::start("a", vec![script]);
    let next = Server::start("b", vec![vec![stream_head("n"), events(3..=4), end()]]);
    let outcomes = vec![goes_to(&server, true), goes_to_too_late(&next)];
    let stage = Stage::set(&STREAM, outcomes);
    let client = stage.send("");
    let recorded = || stage.recorded.recv_timeout(GUARD).expect("it goes on");
    loop {
        let input = recorded();
        assert!(!matches!(input, Recorded::Ended(_)), "{input:?}");
        if matches!(input, Recorded::Unreceived) {
            break;
        }
    }
    // It tries again, and is refused.
    let input = recorded();
    assert!(
        matches!(input, Recorded::PlacementRequested { round: 1, .. }),
        "{input:?}"
    );
    go.send_timeout((), GUARD).expect("the server waits");
    let answer = client.answer();
    assert!(answer.is_success(), "{answer:?}");
    assert_eq!(answer.body, all_of(1..=4));
    assert_eq!(stage.outcomes(), [Outcome::Complete]);
    assert_eq!(next.count(), 0);
}

#[test]
fn a_stream_that_may_not_be_resumed_is_awaited_until_its_deadline() {
    let (ended, _is_ended) = flume::unbounded();
    let silent = Server::start(
        "a",
        vec![vec![stream_head("m"), events(1..=2), AwaitEnd(ended)]],
    );
    let next = Server::start("b", vec![vec![stream_head("n"), events(3..=4), end()]]);
    let stage = Stage::set(
        &STREAM,
        vec![goes_to(&silent, false), goes_to(&next, false)],
    );
    // Longer than a silence that is given up where another may go on.
    let answer = stage.exchange("x-wait: 2500\r\n");
    assert!(
        !answer.is_whole && answer.body == all_of(1..=2) && next.count() == 0,
        "{answer:?}"
    );
    // The deadline ended it, not a fault of the server's.
    assert_eq!(stage.outcomes(), [Outcome::Cancelled]);
}

#[test]
fn the_clients_going_away_in_mid_stream_closes_the_servers_connection() {
    let (ended, is_ended) = flume::unbounded();
    let server = Server::start(
        "a",
        vec![vec![stream_head("m"), events(1..=1), AwaitEnd(ended)]],
    );
    let stage = Stage::set(&STREAM, vec![goes_to(&server, false)]);
    let mut client = stage.send("");
    client.await_text("piece 1");
    drop(client);
    is_ended
        .recv_timeout(GUARD)
        .expect("the server's connection is closed");
    assert_eq!(stage.outcomes(), [Outcome::Cancelled]);
}

#[test]
fn the_clients_going_away_before_the_head_closes_the_servers_connection() {
    let (ended, is_ended) = flume::unbounded();
    let server = Server::start("a", vec![vec![AwaitEnd(ended)]]);
    let stage = Stage::set(&MUTATING, vec![goes_to(&server, false)]);
    let client = stage.send("");
    server.request();
    drop(client);
    is_ended
        .recv_timeout(GUARD)
        .expect("the server's connection is closed");
    assert_eq!(stage.outcomes(), [Outcome::Cancelled]);
}

// ---- Mutants.

#[parameterized(
    repeat_anything = { Mutant::RepeatAnything, |mutant| runs_once(vec![Close], mutant) },
    pass_foreign = { Mutant::PassForeign, |mutant| is_no_answer(answer(200, "x-call: c2\r\nx-mark: m\r\n", "other"), mutant) },
    pass_unmarked = { Mutant::PassForeign, |mutant| is_no_answer(answer(200, "x-call: c1\r\n", "no mark"), mutant) },
    end_torn = { Mutant::EndTorn, |mutant| is_aborted_visibly(tear(), mutant) },
    believe_unnamed_not_run = { Mutant::BelieveUnnamed, |mutant| doubts_unnamed(503, mutant) },
    believe_unnamed_elsewhere = { Mutant::BelieveUnnamed, |mutant| doubts_unnamed(421, mutant) },
    forget_epoch = { Mutant::ForgetEpoch, places_anew },
    repeat_after_a_silent_close = { Mutant::RepeatAnything, |mutant| runs_once(vec![Say("HTTP/1.1 2".into()), Close], mutant) },
    resume_from_start = { Mutant::ResumeFromStart, resumes_exactly },
    pass_malformed = { Mutant::PassMalformed, |mutant| is_aborted_visibly(malformed("data: nobody's\n\n"), mutant) },
    pass_unterminated = { Mutant::PassUnterminated, |mutant| is_aborted_visibly(broken_off_in("id: 7\ndata: sev"), mutant) },
    pass_unterminated_where_another_takes_over = { Mutant::PassUnterminated, |mutant| goes_on_behind_event_6(broken_off_in("id: 7\ndata: seven\n"), mutant) },
    pass_malformed_where_another_takes_over = { Mutant::PassMalformed, is_taken_over_exactly },
)]
fn each_mutant_is_caught(mutant: Mutant, holds: fn(Option<Mutant>) -> bool) {
    assert!(holds(None), "without the mutant");
    assert!(!holds(Some(mutant)), "{mutant:?} was not caught");
}

/// A node that stops cuts what has not ended by then: it takes only what must have ended before, by its client's
/// patience and its route's deadline.
#[parameterized(
    of_a_patient_client_on_a_long_route = { "x-wait: 20000\r\n", 20_000, false },
    of_an_impatient_client = { "x-wait: 3000\r\n", 20_000, true },
    on_a_short_route = { "x-wait: 20000\r\n", 3000, true },
)]
fn a_call_that_may_outlast_its_node_is_refused_at_once(
    headers: &str,
    deadline_ms: u64,
    is_taken: bool,
) {
    let server = Server::start("one", vec![vec![whole("here")]]);
    let stage = Stage::set(
        &Route {
            deadline_ms,
            ..IDEMPOTENT
        },
        vec![goes_to(&server, true)],
    );
    stage
        .shared
        .exits_at
        .store((Clock::now() + Milliseconds(10_000)).0, Ordering::SeqCst);
    let answer = stage.exchange(headers);
    assert_eq!(answer.status, if is_taken { 200 } else { 503 });
    assert_eq!(
        server.count(),
        usize::from(is_taken),
        "what is refused reaches no server"
    );
}

// ---- Keys.

fn with_tenants(stage: &Stage, is_public: bool) {
    let plan = serde_json::json!({
        "services": {"s": {"kind": "stream"}},
        "tenants": [{"name": "one", "api_keys": ["s3cret"]}],
        "routes": [{"name": "r", "host": "h", "path_prefix": "/p/", "kind": "idempotent", "public": is_public,
            "split": [{"service": "s", "weight": 1}]}],
    });
    let plan = parse_plan(plan.to_string().as_bytes()).expect("a good plan");
    stage.shared.install_detached_plan(&Arc::new(plan));
}

#[parameterized(
    none = { "" },
    unknown = { "authorization: Bearer other\r\n" },
    of_another_scheme = { "authorization: Basic s3cret\r\n" },
    empty = { "authorization: Bearer \r\n" },
)]
fn without_a_key_that_is_known_a_request_ends_at_once_and_goes_nowhere(headers: &str) {
    let server = Server::start("a", vec![]);
    let stage = Stage::set(&IDEMPOTENT, vec![goes_to(&server, true)]);
    with_tenants(&stage, false);
    let answer = stage.exchange(headers);
    assert_eq!(
        (answer.status, answer.body.as_str(), server.count()),
        (401, "unauthorized", 0)
    );
    assert!(!answer.has("retry-after"));
    assert_eq!(stage.shared.metrics.unauthorized.load(Ordering::Relaxed), 1);
    assert!(!stage.shared.metrics.text().contains("s3cret"));
}

#[test]
fn a_known_key_or_a_public_route_lets_a_request_in() {
    for (is_public, headers) in [(false, "authorization: Bearer s3cret\r\n"), (true, "")] {
        let server = Server::start("a", vec![vec![Say(answer(200, OURS, "bytes"))]]);
        let stage = Stage::set(&IDEMPOTENT, vec![goes_to(&server, true)]);
        with_tenants(&stage, is_public);
        assert_eq!(stage.exchange(headers).status, 200);
    }
}
