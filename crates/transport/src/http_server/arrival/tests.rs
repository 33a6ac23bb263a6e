use super::*;
use crate::http_server::tests::bounds;
use crate::http_server::{HttpServer, HttpServerBounds, Response};
use std::io::{Read, Write};
use std::net::TcpStream;

const CHECK_PERIOD: Milliseconds = Milliseconds(10);
/// Long enough for a check, were one made.
const TWO_PERIODS: Milliseconds = Milliseconds(2 * CHECK_PERIOD.0);
/// The bound on waits that only a failure reaches.
const GUARD: Milliseconds = Milliseconds::seconds(20);

fn open_server() -> HttpServer {
    let bounds = HttpServerBounds {
        arrival_check_period: Some(CHECK_PERIOD),
        ..bounds()
    };
    HttpServer::open(([127, 0, 0, 1], 0).into(), bounds).expect("a free port")
}

/// Serves on a thread of its own; returns where the handler sends when each request arrived at the earliest.
fn serve(server: HttpServer) -> flume::Receiver<MonotonicInstant> {
    let (sender, arrivals) = flume::unbounded();
    std::thread::spawn(move || {
        server.serve(move |request| {
            let _ = sender.send(request.arrived_after);
            Response::complete(200, "text/plain", "")
        });
    });
    arrivals
}

fn send(connection: &mut TcpStream) {
    let request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    connection.write_all(request).expect("it is sent");
}

fn read_response(connection: &mut TcpStream) {
    let length = connection.read(&mut [0; 1024]).expect("a response");
    assert!(length > 0, "the connection ended");
}

/// Lets a moment go by, as a process does that stands still.
fn pass(span: Milliseconds) {
    let end = Clock::now() + span;
    while Clock::now() < end {
        std::thread::yield_now();
    }
}

#[test]
fn each_step_that_finds_nothing_moves_the_instant_on_and_the_last_one_does_not() {
    let opened_at = Clock::now();
    let mut tracker = ArrivalTracker::new(Some(Milliseconds(5)), opened_at);
    let mut steps = vec![];
    let readiness = tracker.wait(opened_at + GUARD, |step_end| {
        steps.push(step_end);
        if steps.len() == 4 {
            Readiness::Ready
        } else {
            Readiness::TimedOut
        }
    });
    assert_eq!(readiness, Readiness::Ready);
    assert_eq!(tracker.last_empty(), steps[2]);
    assert!(
        steps[0] <= Clock::now(),
        "the first step finds what is there, without a wait"
    );
}

#[test]
fn a_wait_ends_at_its_deadline() {
    let deadline = Clock::now();
    let mut tracker = ArrivalTracker::new(Some(CHECK_PERIOD), MonotonicInstant(0));
    let readiness = tracker.wait(deadline, |_| Readiness::TimedOut);
    assert_eq!(readiness, Readiness::TimedOut);
    assert_eq!(tracker.last_empty(), deadline);
}

#[test]
fn without_a_period_nothing_is_recorded() {
    let opened_at = MonotonicInstant(7);
    let mut tracker = ArrivalTracker::new(None, opened_at);
    let deadline = opened_at + GUARD;
    let readiness = tracker.wait(deadline, |step_end| {
        assert_eq!(step_end, deadline);
        Readiness::TimedOut
    });
    assert_eq!(readiness, Readiness::TimedOut);
    assert_eq!(tracker.last_empty(), opened_at);
}

/// Guards against counting a request as new that has waited in the backlog of a process that stood still.
#[test]
fn a_request_that_waited_unaccepted_counts_from_before_it_was_sent() {
    let server = open_server();
    let mut connection = TcpStream::connect(server.address().0).expect("the kernel accepts it");
    send(&mut connection);
    let sent_at = Clock::now();
    pass(TWO_PERIODS);
    let arrivals = serve(server);
    read_response(&mut connection);
    let arrived_after = arrivals.recv().expect("a request");
    assert!(arrived_after <= sent_at, "{arrived_after:?}, {sent_at:?}");
}

/// Guards against the same on a connection that is open: its handler stands still while the next request comes.
#[test]
fn a_request_that_waited_behind_another_counts_from_before_it_was_sent() {
    let server = open_server();
    let mut connection = TcpStream::connect(server.address().0).expect("the kernel accepts it");
    let (sender, arrivals) = flume::unbounded();
    let (entered_sender, entered) = flume::unbounded();
    let (release, released) = flume::unbounded::<()>();
    std::thread::spawn(move || {
        server.serve(move |request| {
            let _ = entered_sender.send(());
            let _ = released.recv();
            let _ = sender.send(request.arrived_after);
            Response::complete(200, "text/plain", "")
        });
    });
    send(&mut connection);
    entered.recv().expect("the first request");
    send(&mut connection);
    let sent_at = Clock::now();
    pass(TWO_PERIODS);
    release.send(()).expect("the handler waits");
    release.send(()).expect("the handler waits");
    for _ in 0..2 {
        let arrived_after = arrivals.recv().expect("a request");
        assert!(arrived_after <= sent_at, "{arrived_after:?}, {sent_at:?}");
    }
}

#[test]
fn a_server_that_runs_knows_arrivals_closely() {
    let server = open_server();
    let address = server.address();
    let arrivals = serve(server);
    let began = Clock::now();
    let is_close = |connection: &mut TcpStream| {
        pass(CHECK_PERIOD);
        send(connection);
        read_response(connection);
        arrivals.recv().expect("a request") > began
    };
    // The first request of a connection, and a later one.
    let is_first_close = || is_close(&mut TcpStream::connect(address.0).expect("a connection"));
    while !is_first_close() {
        assert!(Clock::now() < began + GUARD, "no accept is observed");
    }
    let mut reused = TcpStream::connect(address.0).expect("a connection");
    while !is_close(&mut reused) {
        assert!(Clock::now() < began + GUARD, "no wait is observed");
    }
}
