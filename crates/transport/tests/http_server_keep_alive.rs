//! A gate that keeps its connections: many requests on one, ends that never look complete, leaving.

use http::{HeaderMap, HeaderValue};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::time::Duration;
use transport::{
    BodyChunk, BodySource, HttpServer, HttpServerBounds, HttpServerCloser, Request, Response,
};
use types::{Address, Clock, Milliseconds};

const PATIENCE: Duration = Duration::from_secs(5);

fn bounds() -> HttpServerBounds {
    HttpServerBounds {
        keep_alive: true,
        read_timeout: Milliseconds(300),
        idle_timeout: Milliseconds::seconds(30),
        ..HttpServerBounds::default()
    }
}

/// A gate with this handler, and what closes it.
fn http_server(
    bounds: HttpServerBounds,
    handler: impl Fn(Request) -> Response + Send + Sync + Clone + 'static,
) -> (Address, HttpServerCloser) {
    let http_server = HttpServer::open(Address::loopback(0).0, bounds).unwrap();
    let (address, closer) = (http_server.address(), http_server.closer());
    std::thread::spawn(move || http_server.serve(handler));
    (address, closer)
}

fn echo(request: Request) -> Response {
    Response::forwarded(200, HeaderMap::new(), request.body)
}

/// The client's side of one connection.
struct Client(BufReader<TcpStream>);

impl Client {
    fn connect(address: Address) -> Self {
        let stream = TcpStream::connect(address.0).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client(BufReader::new(stream))
    }
    fn say(&mut self, text: &str) {
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }
    fn post(&mut self, body: &str) {
        self.say(&format!(
            "POST /a?b=c HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        ));
    }
    fn head(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            assert!(
                self.0.read_line(&mut head).unwrap() > 0,
                "ended within a head: {head}"
            );
        }
        head.to_lowercase()
    }
    /// Head and body of an answer that tells its length.
    fn answer(&mut self) -> (String, String) {
        let head = self.head();
        let length = head
            .split("content-length: ")
            .nth(1)
            .unwrap()
            .split("\r\n")
            .next()
            .unwrap()
            .parse()
            .unwrap();
        let mut body = vec![0; length];
        self.0.read_exact(&mut body).unwrap();
        (head, String::from_utf8(body).unwrap())
    }
    /// All that is left until the connection ends.
    fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        match self.0.read_to_end(&mut bytes) {
            Err(fault) if fault.kind() != std::io::ErrorKind::ConnectionReset => {
                panic!("no end: {fault}")
            }
            _ => String::from_utf8(bytes).unwrap(),
        }
    }
}

#[test]
fn requests_follow_each_other_on_one_connection() {
    let (address, _closer) = http_server(bounds(), echo);
    let mut client = Client::connect(address);
    for body in ["one", "two", "three"] {
        client.post(body);
        let (head, received) = client.answer();
        assert_eq!(received, body);
        assert!(
            !head.contains("connection: close") && !head.contains("date:"),
            "{head}"
        );
    }
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let (address, _closer) = http_server(bounds(), echo);
    let mut client = Client::connect(address);
    let one = |body: &str| {
        format!(
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    client.say(&(one("first") + &one("second") + &one("third")));
    for body in ["first", "second", "third"] {
        assert_eq!(client.answer().1, body);
    }
}

#[test]
fn a_request_tells_its_target_headers_and_parts() {
    let (address, _closer) = http_server(bounds(), |request| {
        assert!(!request.client.is_disconnected());
        assert_eq!(request.headers().get_all("x").iter().count(), 2);
        let (method, target, headers, body) = request.into_parts();
        Response::forwarded(
            200,
            HeaderMap::new(),
            format!("{method} {target} {} {}", headers.len(), body.len()),
        )
    });
    let mut client = Client::connect(address);
    client.say("PUT /a%20b/?c=%2F&&d HTTP/1.1\r\nhost: a\r\nx: 1\r\nx: 2\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    assert_eq!(client.answer().1, "PUT /a%20b/?c=%2F&&d 4 3");
}

#[test]
fn each_request_has_its_own_read_deadline_and_idle_time_is_not_part_of_it() {
    let (address, _closer) = http_server(bounds(), echo);
    let mut client = Client::connect(address);
    // The connection lives on past the read deadline of its first request: a helper takes that time to end.
    for body in ["one", "two"] {
        client.post(body);
        assert_eq!(client.answer().1, body);
        let mut slow = Client::connect(address);
        slow.say("POST / HT");
        assert!(slow.rest().starts_with("HTTP/1.1 408 "), "its head is late");
    }
    client.say("POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nhalf");
    let rest = client.rest();
    assert!(
        rest.starts_with("HTTP/1.1 408 ") && rest.contains("connection: close"),
        "{rest}"
    );
}

#[test]
fn idle_connections_are_closed_quietly() {
    let (address, _closer) = http_server(
        HttpServerBounds {
            idle_timeout: Milliseconds(100),
            ..bounds()
        },
        echo,
    );
    let mut client = Client::connect(address);
    client.post("one");
    client.answer();
    assert_eq!(client.rest(), "");
    assert_eq!(Client::connect(address).rest(), "", "one that never asks");
}

#[test]
fn too_long_a_head_is_turned_away() {
    let (address, _closer) = http_server(
        HttpServerBounds {
            header_bytes: 16 << 10,
            ..bounds()
        },
        echo,
    );
    let mut client = Client::connect(address);
    client.say(&format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "x".repeat(12 << 10)
    ));
    assert!(client.answer().0.starts_with("http/1.1 200"));
    client.say(&format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}",
        "x".repeat(17 << 10)
    ));
    assert!(client.head().starts_with("http/1.1 431"));
}

#[test]
fn a_head_beyond_what_the_library_reads_is_turned_away_whatever_the_limit_is() {
    let (address, _closer) = http_server(
        HttpServerBounds {
            header_bytes: 1 << 20,
            ..bounds()
        },
        echo,
    );
    for (head, status) in [
        (format!("x: {}\r\n", "x".repeat(300 << 10)), "200"),
        (format!("x: {}\r\n", "x".repeat(500 << 10)), "431"),
        ("x: 1\r\n".repeat(99), "200"),
        ("x: 1\r\n".repeat(100), "431"),
    ] {
        let mut client = Client::connect(address);
        client.say(&format!("GET / HTTP/1.1\r\nhost: a\r\n{head}\r\n"));
        assert_eq!(&client.head()[9..12], status);
    }
}

/// Gives what the test feeds it.
struct Fed(mpsc::Receiver<BodyChunk>);

impl BodySource for Fed {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        self.0.recv_timeout(timeout).unwrap_or(BodyChunk::Pending)
    }
}

/// A gate that answers each request with a stream fed by the sender that it gives out.
fn open_fed_server(
    headers: HeaderMap,
) -> (
    Address,
    HttpServerCloser,
    mpsc::Receiver<mpsc::Sender<BodyChunk>>,
) {
    let (feeds, fed) = mpsc::channel();
    let (address, closer) = http_server(bounds(), move |_| {
        let (feed, source) = mpsc::channel();
        feeds.send(feed).unwrap();
        Response::forwarded_stream(200, headers.clone(), Box::new(Fed(source)))
    });
    (address, closer, fed)
}

fn piece(text: &'static str) -> BodyChunk {
    BodyChunk::Data(text.into())
}

#[test]
fn pieces_pass_at_once_and_the_connection_is_kept_after_the_end() {
    let (address, _closer, fed) = open_fed_server(HeaderMap::new());
    let mut client = Client::connect(address);
    for _ in 0..2 {
        client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let feed = fed.recv_timeout(PATIENCE).unwrap();
        for text in ["one", "two", "six"] {
            feed.send(piece(text)).unwrap();
            if text == "one" {
                assert!(client.head().contains("transfer-encoding: chunked"));
            }
            let mut chunk = [0; 8];
            client.0.read_exact(&mut chunk).unwrap();
            assert_eq!(
                std::str::from_utf8(&chunk).unwrap(),
                format!("3\r\n{text}\r\n")
            );
        }
        feed.send(BodyChunk::End).unwrap();
        let mut end = [0; 5];
        client.0.read_exact(&mut end).unwrap();
        assert_eq!(&end, b"0\r\n\r\n");
    }
}

#[test]
fn a_cut_never_looks_complete() {
    // In chunks, and with a length that was announced.
    for length in [None, Some("10")] {
        let mut headers = HeaderMap::new();
        length.map(|length| headers.insert("content-length", HeaderValue::from_static(length)));
        let (address, _closer, fed) = open_fed_server(headers);
        let mut client = Client::connect(address);
        client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let feed = fed.recv_timeout(PATIENCE).unwrap();
        feed.send(piece("one")).unwrap();
        feed.send(BodyChunk::Abort).unwrap();
        assert_eq!(
            client.head().contains("content-length: 10"),
            length.is_some()
        );
        let rest = client.rest();
        assert_eq!(
            rest,
            if length.is_some() {
                "one"
            } else {
                "3\r\none\r\n"
            }
        );
    }
    // An end before the announced length is a cut as well.
    let (address, _closer, fed) = open_fed_server(HeaderMap::from_iter([(
        "content-length".parse().unwrap(),
        HeaderValue::from_static("10"),
    )]));
    let mut client = Client::connect(address);
    client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    let feed = fed.recv_timeout(PATIENCE).unwrap();
    feed.send(piece("one")).unwrap();
    feed.send(BodyChunk::End).unwrap();
    client.head();
    assert_eq!(client.rest(), "one");
}

#[test]
fn a_cut_resets_where_the_close_would_end_the_body() {
    let (address, _closer, fed) = open_fed_server(HeaderMap::new());
    let mut client = Client::connect(address);
    client.say("GET / HTTP/1.0\r\nhost: a\r\n\r\n");
    let feed = fed.recv_timeout(PATIENCE).unwrap();
    feed.send(piece("one")).unwrap();
    client.head();
    let mut text = [0; 3];
    client.0.read_exact(&mut text).unwrap();
    feed.send(BodyChunk::Abort).unwrap();
    let outcome = client.0.read(&mut text);
    assert!(outcome.is_err_and(|fault| fault.kind() == std::io::ErrorKind::ConnectionReset));
}

#[test]
fn more_bytes_than_an_answer_told_are_no_part_of_it_and_end_its_connection() {
    let (address, _closer, fed) = open_fed_server(HeaderMap::from_iter([(
        "content-length".parse().unwrap(),
        HeaderValue::from_static("4"),
    )]));
    let mut client = Client::connect(address);
    client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\nGET /next HTTP/1.1\r\nhost: a\r\n\r\n");
    let feed = fed.recv_timeout(PATIENCE).unwrap();
    feed.send(piece("one")).unwrap();
    feed.send(piece("HTTP/1.1 200 OK\r\n\r\n")).unwrap();
    client.head();
    assert_eq!(client.rest(), "one");
    assert!(fed.try_recv().is_err(), "the next request was handed on");
}

#[test]
fn nothing_is_handed_on_behind_an_answer_that_was_cut() {
    let (address, _closer, fed) = open_fed_server(HeaderMap::new());
    let mut client = Client::connect(address);
    client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\nGET /next HTTP/1.1\r\nhost: a\r\n\r\n");
    let feed = fed.recv_timeout(PATIENCE).unwrap();
    feed.send(piece("one")).unwrap();
    feed.send(BodyChunk::Abort).unwrap();
    client.head();
    assert_eq!(client.rest(), "3\r\none\r\n");
    assert!(fed.try_recv().is_err(), "the next request was handed on");
}

#[test]
fn what_a_server_says_of_its_own_connection_is_not_passed_on() {
    let (address, _closer) = http_server(bounds(), |_| {
        let response = Response::forwarded(103, HeaderMap::new(), "x");
        let headers = [
            ("keep-alive", "timeout=60"),
            ("connection", "close"),
            ("upgrade", "h2c"),
            ("x", "1"),
        ];
        headers
            .into_iter()
            .fold(response, |response, (name, value)| {
                response.with_header(name, value)
            })
    });
    let mut client = Client::connect(address);
    for _ in 0..2 {
        client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let (head, _) = client.answer();
        // What announces another answer is none.
        assert!(
            head.starts_with("http/1.1 502 ") && head.contains("x: 1\r\n"),
            "{head}"
        );
        assert!(
            !["keep-alive", "connection", "upgrade"]
                .iter()
                .any(|name| head.contains(name)),
            "{head}"
        );
    }
}

#[test]
fn an_answer_is_never_written_to_a_later_connection_of_the_same_number() {
    let (waiting, releases) = mpsc::channel();
    let (address, _closer) = http_server(bounds(), move |request| {
        if request.path == "/wait" {
            let (release, released) = mpsc::channel::<()>();
            waiting.send((request.client.clone(), release)).unwrap();
            let _ = released.recv_timeout(PATIENCE);
        }
        Response::forwarded(200, HeaderMap::new(), request.path)
    });
    for _ in 0..20 {
        let mut gone = Client::connect(address);
        gone.say("GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
        let (client, release) = releases.recv_timeout(PATIENCE).unwrap();
        drop(gone);
        drop(release);
        let mut next = Client::connect(address);
        next.say("GET /next HTTP/1.1\r\nhost: a\r\n\r\n");
        assert_eq!(next.answer().1, "/next");
        // It is that connection which is watched, not whatever has its number now.
        assert!(client.is_disconnected());
        next.0
            .get_mut()
            .shutdown(std::net::Shutdown::Write)
            .unwrap();
        assert_eq!(next.rest(), "");
    }
}

#[test]
fn a_last_answer_comes_whole_whatever_was_sent_behind_its_request() {
    let (address, _closer) = http_server(bounds(), |_| {
        Response::forwarded(200, HeaderMap::new(), "x".repeat(1 << 20))
    });
    let mut client = Client::connect(address);
    let mut writer = client.0.get_ref().try_clone().unwrap();
    client.say("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    let behind = std::thread::spawn(move || {
        let _ = writer.write_all(
            "GET /behind HTTP/1.1\r\nhost: a\r\n\r\n"
                .repeat(20_000)
                .as_bytes(),
        );
        let _ = writer.shutdown(std::net::Shutdown::Write);
    });
    assert_eq!(client.answer().1.len(), 1 << 20);
    let mut rest = vec![];
    assert_eq!(
        client.0.read_to_end(&mut rest).unwrap(),
        0,
        "it ends in order"
    );
    behind.join().unwrap();
}

#[test]
fn a_last_answer_comes_whole_however_late_bytes_come_behind_its_request() {
    const LENGTH: usize = 256 << 10;
    for spins in (0..60).map(|round| round * 400) {
        let (address, _closer, fed) = open_fed_server(HeaderMap::new());
        let mut client = Client::connect(address);
        client.say("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
        let feed = fed.recv_timeout(PATIENCE).unwrap();
        feed.send(BodyChunk::Data("x".repeat(LENGTH).into()))
            .unwrap();
        feed.send(BodyChunk::End).unwrap();
        // The gate is done with the answer: most of it still waits for its client to read it.
        let deadline = Clock::now() + Milliseconds::seconds(5);
        while feed.send(BodyChunk::Pending).is_ok() {
            assert!(Clock::now() < deadline, "the answer was never ended");
            std::thread::yield_now();
        }
        (0..spins).for_each(|_| std::hint::spin_loop());
        for _ in 0..3 {
            let _ = client
                .0
                .get_mut()
                .write_all(b"GET /behind HTTP/1.1\r\n\r\n");
        }
        let mut said = String::new();
        client
            .0
            .read_to_string(&mut said)
            .expect("it ends in order");
        assert_eq!(said.matches('x').count(), LENGTH, "after {spins} spins");
        assert!(said.ends_with("\r\n0\r\n\r\n"), "after {spins} spins");
    }
}

#[test]
fn bytes_that_cross_an_idle_close_take_nothing_from_the_answer_before() {
    for spins in (0..20).map(|round| round * 400) {
        let (address, _closer) = http_server(
            HttpServerBounds {
                idle_timeout: Milliseconds(20),
                ..bounds()
            },
            |request| {
                Response::forwarded(
                    200,
                    HeaderMap::new(),
                    "y".repeat(if request.path == "/long" {
                        256 << 10
                    } else {
                        0
                    }),
                )
            },
        );
        let mut client = Client::connect(address);
        client.say("GET /long HTTP/1.1\r\nhost: a\r\n\r\n");
        // A second connection of the same idle time, begun later, is closed: so was the first.
        assert_eq!(Client::connect(address).rest(), "");
        assert_eq!(Client::connect(address).rest(), "");
        (0..spins).for_each(|_| std::hint::spin_loop());
        for _ in 0..3 {
            let _ = client
                .0
                .get_mut()
                .write_all(b"GET /behind HTTP/1.1\r\n\r\n");
        }
        let mut said = String::new();
        client
            .0
            .read_to_string(&mut said)
            .expect("it ends in order");
        assert_eq!(said.matches('y').count(), 256 << 10, "after {spins} spins");
    }
}

#[test]
fn a_client_that_asks_first_whether_to_go_on_is_told_to() {
    let (address, _closer) = http_server(bounds(), echo);
    let mut client = Client::connect(address);
    let head = "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 3\r\n\r\n";
    for _ in 0..2 {
        client.say(head);
        assert!(client.head().starts_with("http/1.1 100 "));
        client.say("abc");
        assert_eq!(client.answer().1, "abc");
    }
}

#[test]
fn a_client_that_has_gone_is_seen_also_behind_pipelined_bytes() {
    for said in ["", "GET /next HTTP/1.1\r\n"] {
        let (clients, seen) = mpsc::channel();
        let (address, _closer) = http_server(bounds(), move |request| {
            let (gone, is_gone) = mpsc::channel::<()>();
            clients.send((request.client.clone(), gone)).unwrap();
            let _ = is_gone.recv_timeout(PATIENCE);
            Response::forwarded(200, HeaderMap::new(), "late")
        });
        let mut client = Client::connect(address);
        client.say("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
        let (peer, gone) = seen.recv_timeout(PATIENCE).unwrap();
        client.say(said);
        assert!(!peer.is_disconnected());
        drop(client);
        let deadline = Clock::now() + Milliseconds::seconds(5);
        while !peer.is_disconnected() {
            assert!(Clock::now() < deadline, "not seen behind {said:?}");
            std::thread::yield_now();
        }
        drop(gone);
    }
}

#[test]
fn leaving_says_close_and_ends_idle_connections_but_takes_what_comes_meanwhile() {
    let http_server = HttpServer::open(Address::loopback(0).0, bounds()).unwrap();
    let (address, closer, open_count) = (
        http_server.address(),
        http_server.closer(),
        http_server.open_count(),
    );
    let (at_work, working) = mpsc::channel();
    std::thread::spawn(move || {
        http_server.serve(move |request| {
            let (release, released) = mpsc::channel::<()>();
            if request.path == "/wait" {
                at_work.send(release).unwrap();
                let _ = released.recv_timeout(PATIENCE);
            }
            Response::forwarded(200, HeaderMap::new(), "done")
        });
    });
    let (mut idle, mut busy, mut late) = (
        Client::connect(address),
        Client::connect(address),
        Client::connect(address),
    );
    for client in [&mut idle, &mut late] {
        client.post("");
        client.answer();
    }
    busy.say("GET /wait HTTP/1.1\r\nhost: a\r\n\r\n");
    let release = working.recv_timeout(PATIENCE).unwrap();
    closer.drain();
    late.post("");
    drop(release);
    for client in [&mut late, &mut busy] {
        let (head, body) = client.answer();
        assert!(head.contains("connection: close"), "{head}");
        assert_eq!((body.as_str(), client.rest().as_str()), ("done", ""));
    }
    assert_eq!(idle.rest(), "");
    let deadline = Clock::now() + Milliseconds::seconds(5);
    while open_count.load(Ordering::Relaxed) > 0 {
        assert!(Clock::now() < deadline, "a thread is stuck");
        std::thread::yield_now();
    }
}

#[test]
fn a_response_tells_fractions_of_a_second() {
    for (span, said) in [
        (250, "0.25"),
        (1000, "1"),
        (1500, "1.5"),
        (5, "0.005"),
        (10_000, "10"),
        (0, "0"),
    ] {
        assert_eq!(
            Response::forwarded(503, HeaderMap::new(), "")
                .with_retry_after(Milliseconds(span))
                .header("retry-after"),
            Some(said)
        );
    }
}
