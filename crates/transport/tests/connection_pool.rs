//! Lines to stand-in servers that say exactly what a test wants.

use bytes::Bytes;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;
use transport::{
    BodyRead, ClientConnection, ConnectionError, ConnectionPool, ConnectionPoolBounds, HttpServer,
    HttpServerBounds, PooledResponse, Response, SEND_CHECK_VALIDITY, SendOptions,
};
use types::{Address, Clock, Milliseconds};

const PATIENCE: Milliseconds = Milliseconds::seconds(5);
const BOUNDS: ConnectionPoolBounds = ConnectionPoolBounds {
    max_per_address: 0,
    max_idle_per_address: 4,
    idle_timeout: Milliseconds::seconds(30),
};
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn request() -> http::Request<Bytes> {
    http::Request::post("/a?b")
        .header("host", "a")
        .body(Bytes::from_static(b"{}"))
        .unwrap()
}

fn always() -> bool {
    true
}

fn waits() -> SendOptions<'static> {
    SendOptions {
        connect_timeout: PATIENCE,
        head_deadline: Clock::now() + PATIENCE,
        may_send: &always,
        client: None,
    }
}

fn send_to(lines: &ConnectionPool, to: SocketAddr) -> Result<PooledResponse, ConnectionError> {
    lines.send_request(to, request(), &waits())
}

fn read_all(line: &mut PooledResponse) -> Result<Bytes, ConnectionError> {
    line.read_all(Clock::now() + PATIENCE, 1 << 20, None)
}

/// Asks, reads whole and keeps; tells whether the connection had been used before.
fn send_and_release(lines: &ConnectionPool, to: SocketAddr) -> bool {
    let mut line = send_to(lines, to).unwrap();
    assert_eq!(read_all(&mut line).unwrap(), "ok");
    let was_reused = line.is_reused();
    line.release();
    was_reused
}

/// The server's side of one connection.
struct Served(TcpStream);

impl Served {
    /// Reads one request whole; nothing at the end of the connection.
    fn receive(&mut self) -> Option<String> {
        let mut text = Vec::new();
        while !text.ends_with(b"\r\n\r\n{}") {
            let mut byte = [0];
            if self.0.read(&mut byte).unwrap_or(0) == 0 {
                return None;
            }
            text.push(byte[0]);
        }
        Some(String::from_utf8(text).unwrap())
    }
    fn say(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).unwrap();
    }
}

/// A server whose first connections are played by these, the rest by the last of them.
fn server(play: impl Fn(usize, Served) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let play = std::sync::Arc::new(play);
    std::thread::spawn(move || {
        for number in 0.. {
            let Ok((stream, _)) = listener.accept() else {
                return;
            };
            stream.set_read_timeout(Some(PATIENCE.duration())).unwrap();
            let play = play.clone();
            std::thread::spawn(move || play(number, Served(stream)));
        }
    });
    address
}

/// A server that answers every request with this.
fn answering(said: &'static str) -> SocketAddr {
    server(move |_, mut served| {
        while served.receive().is_some() {
            served.say(said);
        }
    })
}

#[test]
fn a_connection_is_reused() {
    let (lines, to) = (ConnectionPool::new(BOUNDS), answering(OK));
    assert!(!send_and_release(&lines, to));
    assert!(send_and_release(&lines, to));
    assert!(send_and_release(&lines, to));
    assert_eq!((lines.idle_count(to), lines.open_count(to)), (1, 1));
    lines.close_idle(to);
    assert_eq!((lines.idle_count(to), lines.open_count(to)), (0, 0));
    assert!(!send_and_release(&lines, to));
}

#[test]
fn a_request_leaves_as_it_is() {
    let (sender, received) = mpsc::channel();
    let to = server(move |_, mut served| {
        sender.send(served.receive().unwrap()).unwrap();
        served.say(OK);
    });
    read_all(&mut send_to(&ConnectionPool::new(BOUNDS), to).unwrap()).unwrap();
    assert_eq!(
        received.recv().unwrap(),
        "POST /a?b HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\n{}"
    );
}

#[test]
fn surplus_bytes_never_become_the_next_answer() {
    // Together with the answer, and after the connection went back.
    let together = answering(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad",
    );
    let lines = ConnectionPool::new(BOUNDS);
    assert!(!send_and_release(&lines, together));
    assert_eq!(lines.idle_count(together), 0);
    assert!(!send_and_release(&lines, together));
    let (go, gone) = (mpsc::channel::<()>(), mpsc::channel::<()>());
    let (go, wait) = go;
    let wait = std::sync::Mutex::new(wait);
    let (said, is_said) = gone;
    let later = server(move |number, mut served| {
        served.receive();
        served.say(OK);
        if number == 0 {
            wait.lock().unwrap().recv().unwrap();
            served.say("HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
            said.send(()).unwrap();
        }
        served.receive();
    });
    assert!(!send_and_release(&lines, later));
    assert_eq!(lines.idle_count(later), 1);
    go.send(()).unwrap();
    is_said.recv().unwrap();
    assert!(
        !send_and_release(&lines, later),
        "the unclean connection was taken"
    );
    assert_eq!(lines.open_count(later), 1);
}

#[test]
fn a_connection_that_its_server_closed_idle_is_not_taken() {
    let (closed, is_closed) = mpsc::channel();
    let to = server(move |number, mut served| {
        served.receive();
        served.say(OK);
        if number > 0 {
            served.receive();
        }
        drop(served);
        let _ = closed.send(());
    });
    let lines = ConnectionPool::new(BOUNDS);
    assert!(!send_and_release(&lines, to));
    is_closed.recv().unwrap();
    assert!(!send_and_release(&lines, to));
    lines.close_stale();
    assert_eq!(lines.idle_count(to), 1, "the clean one stays");
}

#[test]
fn a_reset_before_the_answer_on_a_reused_connection_is_unknown() {
    let to = server(|_, mut served| {
        served.receive();
        served.say(OK);
        // Read by half: closing then resets.
        let _ = served.0.read(&mut [0; 10]);
    });
    let lines = ConnectionPool::new(BOUNDS);
    assert!(!send_and_release(&lines, to));
    let outcome = send_to(&lines, to);
    assert!(
        matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
        "{:?}",
        outcome.err()
    );
    assert_eq!(lines.open_count(to), 0);
}

#[test]
fn a_refused_connection_is_unsent() {
    let closed = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let lines = ConnectionPool::new(BOUNDS);
    let outcome = send_to(&lines, closed);
    assert!(
        matches!(outcome, Err(ConnectionError::NotSent(_))),
        "{:?}",
        outcome.err()
    );
    assert_eq!(lines.open_count(closed), 0);
}

#[test]
fn a_silent_server_is_late() {
    let to = server(|_, mut served| while served.receive().is_some() {});
    let lines = ConnectionPool::new(BOUNDS);
    let outcome = lines.send_request(
        to,
        request(),
        &SendOptions {
            head_deadline: Clock::now() + Milliseconds(50),
            ..waits()
        },
    );
    assert!(
        matches!(outcome, Err(ConnectionError::TimedOut(_))),
        "{:?}",
        outcome.err()
    );
}

#[test]
fn a_request_is_withheld_before_connecting_and_before_the_first_byte() {
    let (sender, received) = mpsc::channel();
    let to = server(move |_, mut served| {
        let mut all = Vec::new();
        let _ = served.0.read_to_end(&mut all);
        sender.send(all.len()).unwrap();
    });
    let lines = ConnectionPool::new(BOUNDS);
    for times in [0, 1] {
        let checks = Cell::new(0);
        let may_send = || checks.replace(checks.get() + 1) < times;
        let outcome = lines.send_request(
            to,
            request(),
            &SendOptions {
                may_send: &may_send,
                ..waits()
            },
        );
        assert!(
            matches!(outcome, Err(ConnectionError::Withheld)),
            "{:?}",
            outcome.err()
        );
    }
    assert_eq!(received.recv().unwrap(), 0, "bytes left");
    assert!(received.try_recv().is_err(), "the first one connected");
    // A kept connection goes back unharmed.
    let to = answering(OK);
    send_and_release(&lines, to);
    let checks = Cell::new(0);
    let may_send = || checks.replace(checks.get() + 1) < 1;
    let outcome = lines.send_request(
        to,
        request(),
        &SendOptions {
            may_send: &may_send,
            ..waits()
        },
    );
    assert!(
        matches!(outcome, Err(ConnectionError::Withheld)),
        "{:?}",
        outcome.err()
    );
    assert!(send_and_release(&lines, to));
}

/// Waits until the clock has gone on by this much.
fn pass(span: Milliseconds) {
    let deadline = Clock::now() + span;
    while Clock::now() <= deadline {
        std::thread::yield_now();
    }
}

/// Asks where the check right before the first byte grows old at once, and the check anew says this; tells
/// the outcome and the bytes that came.
fn send_after_stall(may_still_leave: bool) -> (Result<Bytes, ConnectionError>, usize) {
    let (sender, received) = mpsc::channel();
    let to = server(move |_, mut served| {
        let mut all = served.receive().unwrap_or_default().into_bytes();
        let _ = served.0.write_all(OK.as_bytes());
        let _ = served.0.read_to_end(&mut all);
        sender.send(all.len()).unwrap();
    });
    let checks = Cell::new(0);
    // Before connecting, before the first byte, and anew; the process stands still in between.
    let may_send = || {
        checks.set(checks.get() + 1);
        if checks.get() == 2 {
            pass(SEND_CHECK_VALIDITY);
        }
        checks.get() < 3 || may_still_leave
    };
    let lines = ConnectionPool::new(BOUNDS);
    let outcome = lines.send_request(
        to,
        request(),
        &SendOptions {
            may_send: &may_send,
            ..waits()
        },
    );
    let outcome = outcome.and_then(|mut line| read_all(&mut line));
    assert!(checks.get() >= 3, "no check anew");
    (outcome, received.recv().unwrap())
}

#[test]
fn a_check_that_has_grown_old_before_the_first_byte_is_made_again() {
    // As when the process stands still between the check and the write.
    assert_eq!(send_after_stall(false), (Err(ConnectionError::Withheld), 0));
    let (outcome, bytes) = send_after_stall(true);
    assert_eq!(outcome, Ok("ok".into()));
    assert!(bytes > 0);
}

#[test]
fn a_server_that_speaks_or_closes_before_it_is_asked_gets_nothing() {
    for said in ["HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n", ""] {
        let (ready, is_ready) = mpsc::channel();
        let (sender, received) = mpsc::channel();
        let to = server(move |_, mut served| {
            served.say(said);
            if said.is_empty() {
                served.0.shutdown(std::net::Shutdown::Write).unwrap();
            }
            ready.send(()).unwrap();
            let mut all = Vec::new();
            let _ = served.0.read_to_end(&mut all);
            sender.send(all.len()).unwrap();
        });
        let checks = Cell::new(0);
        let may_send = || {
            checks.set(checks.get() + 1);
            if checks.get() == 2 {
                is_ready.recv().unwrap();
            }
            true
        };
        let outcome = ConnectionPool::new(BOUNDS).send_request(
            to,
            request(),
            &SendOptions {
                may_send: &may_send,
                ..waits()
            },
        );
        assert!(
            matches!(outcome, Err(ConnectionError::NotSent(_))),
            "{said:?}: {:?}",
            outcome.err()
        );
        assert_eq!(received.recv().unwrap(), 0, "{said:?}: bytes left");
    }
}

#[test]
fn an_end_that_is_told_by_a_close_or_in_two_ways_is_no_whole_end() {
    for said in [
        "HTTP/1.1 200 OK\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nok",
        "HTTP/1.0 200 OK\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: xchunked\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 2, 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: +2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999999\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n10000000000000002\r\nok\r\n0\r\n\r\n",
    ] {
        let to = server(move |_, mut served| {
            served.receive();
            served.say(said);
        });
        let lines = ConnectionPool::new(BOUNDS);
        match send_to(&lines, to) {
            Ok(mut line) => {
                let outcome = read_all(&mut line);
                assert!(
                    matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
                    "{said:?}: {outcome:?}"
                );
                line.release();
            }
            Err(fault) => assert!(
                matches!(fault, ConnectionError::OutcomeUnknown(_)),
                "{said:?}: {fault:?}"
            ),
        }
        assert_eq!(lines.open_count(to), 0, "{said:?}");
    }
}

#[test]
fn interim_answers_are_passed_over_and_the_connection_stays() {
    let to = answering(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    );
    let lines = ConnectionPool::new(BOUNDS);
    let mut line = send_to(&lines, to).unwrap();
    assert_eq!(
        (line.head().status.as_u16(), read_all(&mut line).unwrap()),
        (200, "ok".into())
    );
    line.release();
    assert!(send_and_release(&lines, to));
}

#[test]
fn an_answer_before_the_request_was_whole_stands_in_doubt_and_its_connection_is_closed() {
    let (done, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let to = server(move |_, mut served| {
        let _ = served.0.read(&mut [0; 16]);
        served.say(OK);
        let _ = wait.lock().unwrap().recv();
    });
    let lines = ConnectionPool::new(BOUNDS);
    // More than the buffers between the two hold.
    let large = http::Request::post("/a")
        .header("host", "a")
        .body(Bytes::from(vec![b'x'; 64 << 20]))
        .unwrap();
    let mut line = lines.send_request(to, large, &waits()).unwrap();
    assert!(!line.is_reused() && !line.is_sole_response());
    assert_eq!(read_all(&mut line).unwrap(), "ok");
    line.release();
    assert_eq!((lines.idle_count(to), lines.open_count(to)), (0, 0));
    drop(done);
    let (lines, to) = (ConnectionPool::new(BOUNDS), answering(OK));
    let mut line = send_to(&lines, to).unwrap();
    assert!(line.is_sole_response(), "the first one");
    read_all(&mut line).unwrap();
    line.release();
    assert!(
        !send_to(&lines, to).unwrap().is_sole_response(),
        "the second one"
    );
}

#[test]
fn a_server_that_closes_its_side_before_the_answer_may_have_run_it() {
    let to = server(|_, mut served| {
        served.receive();
        served.0.shutdown(std::net::Shutdown::Write).unwrap();
        served.receive();
    });
    let outcome = send_to(&ConnectionPool::new(BOUNDS), to);
    assert!(
        matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
        "{:?}",
        outcome.err()
    );
}

#[test]
fn a_reset_after_one_byte_of_the_request_may_have_run_it() {
    // It goes before it has read all: closing then resets.
    for is_reused in [false, true] {
        let to = server(move |_, mut served| {
            if is_reused {
                served.receive();
                served.say(OK);
            }
            let _ = served.0.read(&mut [0; 1]);
        });
        let lines = ConnectionPool::new(BOUNDS);
        if is_reused {
            send_and_release(&lines, to);
        }
        let outcome = send_to(&lines, to);
        assert!(
            matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
            "reused {is_reused}: {:?}",
            outcome.err()
        );
        assert_eq!(lines.open_count(to), 0);
    }
}

/// A client of a gate, and the connection that it called on.
fn client() -> (ClientConnection, TcpStream, mpsc::Sender<()>) {
    let http_server = HttpServer::open(
        Address::loopback(0).0,
        HttpServerBounds {
            keep_alive: true,
            ..HttpServerBounds::default()
        },
    )
    .unwrap();
    let address = http_server.address();
    let (sender, clients) = mpsc::channel();
    std::thread::spawn(move || {
        http_server.serve(move |request| {
            let (end, ended) = mpsc::channel();
            sender.send((request.client, end)).unwrap();
            let _ = ended.recv();
            Response::complete(200, "text/plain", "")
        });
    });
    let mut stream = TcpStream::connect(address.0).unwrap();
    stream
        .write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        .unwrap();
    let (client, end) = clients.recv().unwrap();
    (client, stream, end)
}

#[test]
fn a_client_that_goes_ends_the_wait_for_head_and_body() {
    for pipelined in ["", "GET / HTTP/1.1\r\n"] {
        for said in ["", "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"] {
            let (mut stream, end, client) = {
                let (client, stream, end) = client();
                (stream, end, client)
            };
            stream.write_all(pipelined.as_bytes()).unwrap();
            let (sender, received) = mpsc::channel();
            let to = server(move |_, mut served| {
                served.receive();
                served.say(said);
                sender.send(()).unwrap();
                served.receive();
            });
            std::thread::spawn(move || {
                received.recv().unwrap();
                drop(stream);
            });
            let lines = ConnectionPool::new(BOUNDS);
            let outcome = lines.send_request(
                to,
                request(),
                &SendOptions {
                    client: Some(&client),
                    ..waits()
                },
            );
            match outcome {
                Ok(mut line) => {
                    let outcome = line.read_all(Clock::now() + PATIENCE, 100, Some(&client));
                    assert_eq!(outcome, Err(ConnectionError::ClientDisconnected));
                }
                Err(fault) => {
                    assert_eq!(
                        fault,
                        ConnectionError::ClientDisconnected,
                        "{pipelined:?} {said:?}"
                    );
                }
            }
            drop(end);
        }
    }
}

#[test]
fn a_body_that_ends_early_is_torn() {
    for said in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nshort",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\nno chunk\r\n",
    ] {
        let to = server(move |_, mut served| {
            served.receive();
            served.say(said);
        });
        let lines = ConnectionPool::new(BOUNDS);
        let mut line = send_to(&lines, to).unwrap();
        let outcome = read_all(&mut line);
        assert!(
            matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
            "{said:?}: {outcome:?}"
        );
        drop(line);
        let mut line = send_to(&lines, to).unwrap();
        let torn = std::iter::repeat_with(|| line.read_chunk(PATIENCE.duration(), None))
            .find(|p| !matches!(p, BodyRead::Data(_)));
        assert!(
            matches!(torn, Some(BodyRead::Truncated(_))),
            "{said:?}: {torn:?}"
        );
        line.release();
        assert_eq!(lines.open_count(to), 0);
    }
}

#[test]
fn what_is_not_http_is_unknown() {
    let to = answering("certainly not\r\n\r\n");
    let outcome = send_to(&ConnectionPool::new(BOUNDS), to);
    assert!(
        matches!(outcome, Err(ConnectionError::OutcomeUnknown(_))),
        "{:?}",
        outcome.err()
    );
}

#[test]
fn what_the_server_says_of_keeping_is_honoured() {
    let lines = ConnectionPool::new(BOUNDS);
    for (said, is_kept) in [
        (
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok",
            false,
        ),
        (
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\ncontent-length: 2\r\n\r\nok",
            false,
        ),
        ("HTTP/1.0 200 OK\r\ncontent-length: 2\r\n\r\nok", false),
        (
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout=30, max=5\r\ncontent-length: 2\r\n\r\nok",
            true,
        ),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            true,
        ),
    ] {
        let to = answering(said);
        send_and_release(&lines, to);
        assert_eq!(lines.idle_count(to) == 1, is_kept, "{said}");
    }
    // One second means half of one; a short time of ours ends as well.
    let short = ConnectionPoolBounds {
        idle_timeout: Milliseconds(50),
        ..BOUNDS
    };
    for (said, span, bounds) in [
        (
            "HTTP/1.1 200 OK\r\nkeep-alive: timeout=1\r\ncontent-length: 2\r\n\r\nok",
            Milliseconds(500),
            BOUNDS,
        ),
        (OK, Milliseconds(50), short),
    ] {
        let (lines, to) = (ConnectionPool::new(bounds), answering(said));
        send_and_release(&lines, to);
        let deadline = Clock::now() + span;
        while Clock::now() <= deadline {
            std::thread::yield_now();
        }
        lines.close_stale();
        assert_eq!(lines.idle_count(to), 0, "{said}");
        assert!(!send_and_release(&lines, to));
    }
}

#[test]
fn a_body_read_by_half_is_not_kept() {
    let (lines, to) = (
        ConnectionPool::new(BOUNDS),
        answering("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"),
    );
    let mut line = send_to(&lines, to).unwrap();
    assert_eq!(
        line.read_chunk(PATIENCE.duration(), None),
        BodyRead::Data("half".into())
    );
    assert_eq!(
        line.read_chunk(Duration::from_millis(10), None),
        BodyRead::TimedOut
    );
    line.release();
    assert_eq!(lines.open_count(to), 0);
}

#[test]
fn an_address_has_its_bound() {
    let (lines, to) = (
        ConnectionPool::new(ConnectionPoolBounds {
            max_per_address: 2,
            ..BOUNDS
        }),
        answering(OK),
    );
    let (first, second) = (send_to(&lines, to).unwrap(), send_to(&lines, to).unwrap());
    assert!(matches!(
        send_to(&lines, to),
        Err(ConnectionError::PoolExhausted)
    ));
    lines.set_max_per_address(to, 3);
    let third = send_to(&lines, to).unwrap();
    assert!(matches!(
        send_to(&lines, to),
        Err(ConnectionError::PoolExhausted)
    ));
    drop((first, second));
    assert_eq!(lines.open_count(to), 1);
    drop(third);
    assert!(!send_and_release(&lines, to));
    assert!(send_and_release(&lines, to));
}

#[test]
fn a_bound_on_all_addresses_closes_idle_connections_and_refuses_beyond_those_in_use() {
    let lines = ConnectionPool::new(BOUNDS);
    lines.set_max_total(2);
    // The first one's server closes it sooner than the pool would.
    let one = answering("HTTP/1.1 200 OK\r\nkeep-alive: timeout=20\r\ncontent-length: 2\r\n\r\nok");
    let (another, third) = (answering(OK), answering(OK));
    send_and_release(&lines, one);
    send_and_release(&lines, another);
    assert_eq!((lines.idle_count(one), lines.idle_count(another)), (1, 1));
    // The one that would be closed first anyway gives way.
    let in_use = send_to(&lines, third).unwrap();
    assert_eq!((lines.open_count(one), lines.open_count(another)), (0, 1));
    let also_in_use = send_to(&lines, one).unwrap();
    assert_eq!(lines.open_count(another), 0);
    assert!(matches!(
        send_to(&lines, another),
        Err(ConnectionError::PoolExhausted)
    ));
    drop((in_use, also_in_use));
    assert!(!send_and_release(&lines, another));
}

#[test]
fn the_newest_is_taken_and_the_oldest_given_up() {
    let (lines, to) = (
        ConnectionPool::new(ConnectionPoolBounds {
            max_idle_per_address: 2,
            ..BOUNDS
        }),
        server(|number, mut served| {
            while served.receive().is_some() {
                served.say(&format!(
                    "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}"
                ));
            }
        }),
    );
    let mut open: Vec<_> = (0..3).map(|_| send_to(&lines, to).unwrap()).collect();
    let numbers: Vec<_> = open
        .iter_mut()
        .map(|line| read_all(line).unwrap())
        .collect();
    open.into_iter().for_each(PooledResponse::release);
    assert_eq!((lines.idle_count(to), lines.open_count(to)), (2, 2));
    for number in numbers[1..].iter().rev() {
        let mut line = send_to(&lines, to).unwrap();
        assert_eq!(read_all(&mut line).unwrap(), number);
    }
    assert!(!send_to(&lines, to).unwrap().is_reused());
}

#[test]
fn pieces_come_as_they_are_sent() {
    let (next, expected) = mpsc::channel::<()>();
    let expected = std::sync::Mutex::new(expected);
    let to = server(move |_, mut served| {
        served.receive();
        served.say("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n");
        for text in ["3\r\none\r\n", "3\r\ntwo\r\n", "0\r\n\r\n"] {
            expected.lock().unwrap().recv().unwrap();
            served.say(text);
        }
        served.receive();
    });
    let lines = ConnectionPool::new(BOUNDS);
    let mut line = send_to(&lines, to).unwrap();
    assert_eq!(line.read_chunk(Duration::ZERO, None), BodyRead::TimedOut);
    for expected in [
        BodyRead::Data("one".into()),
        BodyRead::Data("two".into()),
        BodyRead::End,
    ] {
        next.send(()).unwrap();
        assert_eq!(line.read_chunk(PATIENCE.duration(), None), expected);
    }
    line.release();
    assert_eq!(lines.idle_count(to), 1);
}

#[test]
fn a_large_request_and_answer_pass_whole() {
    let to = server(|_, mut served| {
        let mut body = vec![0; 8 << 20];
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            served.0.read_exact(&mut byte).unwrap();
            head.push(byte[0]);
        }
        served.0.read_exact(&mut body).unwrap();
        served.say(&format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            body.len()
        ));
        served.0.write_all(&body).unwrap();
        served.receive();
    });
    let body = Bytes::from(
        (0..8 << 20)
            .map(|i: u32| (i % 251) as u8)
            .collect::<Vec<_>>(),
    );
    let lines = ConnectionPool::new(BOUNDS);
    let request = http::Request::post("/")
        .header("host", "a")
        .body(body.clone())
        .unwrap();
    let mut line = lines.send_request(to, request, &waits()).unwrap();
    assert!(
        line.read_all(Clock::now() + PATIENCE, body.len(), None)
            .unwrap()
            == body
    );
    line.release();
    assert_eq!(lines.idle_count(to), 1);
}
