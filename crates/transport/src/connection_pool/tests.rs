//! Deliberate faults in the reuse of connections: each breaks a property, and the property's test detects it.

use super::*;
use crate::SEND_CHECK_VALIDITY;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc;
use types::{Clock, Milliseconds};

const PATIENCE: Milliseconds = Milliseconds::seconds(5);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A deliberate fault, by which the tests show that they detect it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// A connection is reused while a part of its request waits to be written.
    KeepUnwritten,
    /// A body whose end only a close marks is taken for complete.
    TrustClose,
    /// A connection is not checked before it's reused.
    SkipCleanCheck,
    /// A check is valid however old it has become.
    TrustExpiredCheck,
    /// Each failure of a reused connection counts as though nothing was sent.
    ForgetSent,
}

impl ReuseSafety for Mutant {
    fn is_clean(&self, peeked: Peeked) -> bool {
        *self == Mutant::SkipCleanCheck || SafeReuse.is_clean(peeked)
    }

    fn write_deadline(&self, checked_at: MonotonicInstant) -> Option<MonotonicInstant> {
        match self {
            Mutant::TrustExpiredCheck => None,
            _ => SafeReuse.write_deadline(checked_at),
        }
    }

    fn counts_as_sent(&self, has_sent_bytes: bool, is_reused: bool) -> bool {
        let is_forgotten = *self == Mutant::ForgetSent && is_reused;
        !is_forgotten && SafeReuse.counts_as_sent(has_sent_bytes, is_reused)
    }

    fn is_complete_end(&self, is_delimited: bool) -> bool {
        *self == Mutant::TrustClose || SafeReuse.is_complete_end(is_delimited)
    }

    fn is_completely_written(&self, has_pending_bytes: bool) -> bool {
        *self == Mutant::KeepUnwritten || SafeReuse.is_completely_written(has_pending_bytes)
    }
}

fn open_pool(mutant: Option<Mutant>) -> ConnectionPool {
    let bounds = ConnectionPoolBounds {
        max_per_address: 0,
        max_idle_per_address: 4,
        idle_timeout: Milliseconds::seconds(30),
    };
    match mutant {
        Some(mutant) => ConnectionPool::with_safety(bounds, Arc::new(mutant)),
        None => ConnectionPool::new(bounds),
    }
}

/// A server that plays this on each connection, and the number of the connection.
fn server(play: impl Fn(usize, TcpStream) + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            play(number, stream);
        }
    });
    address
}

fn receive(stream: &mut TcpStream) -> usize {
    stream.read(&mut [0; 4096]).unwrap_or(0)
}

fn send(
    pool: &ConnectionPool,
    to: SocketAddr,
    body: Bytes,
    may_send: &dyn Fn() -> bool,
) -> Result<(PooledResponse, Bytes), ConnectionError> {
    let request = http::Request::post("/")
        .header("host", "a")
        .body(body)
        .unwrap();
    let head_deadline = Clock::now() + PATIENCE;
    let mut response = pool.send_request(
        to,
        request,
        &SendOptions {
            connect_timeout: PATIENCE,
            head_deadline,
            may_send,
            client: None,
        },
    )?;
    let body = response.read_all(head_deadline, 1 << 20, None)?;
    Ok((response, body))
}

fn send_and_release(
    pool: &ConnectionPool,
    to: SocketAddr,
    may_send: &dyn Fn() -> bool,
) -> Result<Bytes, ConnectionError> {
    let (response, body) = send(pool, to, Bytes::from_static(b"{}"), may_send)?;
    response.release();
    Ok(body)
}

fn always() -> bool {
    true
}

/// A connection whose request was not written whole is not given back, however much of it the library holds: of a short
/// rest all, of a long one none yet.
fn keeps_only_what_was_written(mutant: Option<Mutant>) -> bool {
    let sizes = (1..=128).map(|count| count * (128 << 10));
    sizes
        .chain([64 << 20])
        .all(|size| is_only_reused_if_written(mutant, size))
}

fn is_only_reused_if_written(mutant: Option<Mutant>, size: usize) -> bool {
    let (pool, (end, wait)) = (open_pool(mutant), mpsc::channel::<()>());
    let to = server(move |_, mut stream| {
        let _ = stream.read(&mut [0; 16]);
        let _ = stream.write_all(OK);
        let _ = wait.recv();
    });
    let (response, _) = send(&pool, to, Bytes::from(vec![b'x'; size]), &always).unwrap();
    // On a new connection: the head came while a part of the request waited to be written.
    let is_written = response.is_sole_response();
    assert!(!is_written || size < 64 << 20, "nothing takes as much");
    response.release();
    drop(end);
    is_written || pool.idle_count(to) == 0
}

/// A body whose end only a close tells is not whole.
fn trusts_no_close(mutant: Option<Mutant>) -> bool {
    let to = server(|_, mut stream| {
        receive(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf");
    });
    send_and_release(&open_pool(mutant), to, &always).is_err()
}

/// What came on a connection while it rested, also at the very last moment, is never the next answer.
fn looks_before_use(mutant: Option<Mutant>) -> bool {
    let (pool, (go, wait), (said, is_said)) =
        (open_pool(mutant), mpsc::channel::<()>(), mpsc::channel());
    let to = server(move |number, mut stream| {
        receive(&mut stream);
        let _ = stream.write_all(OK);
        if number == 0 {
            let _ = wait.recv();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
            let _ = said.send(());
            receive(&mut stream);
        }
    });
    send_and_release(&pool, to, &always).unwrap();
    // Right before the check itself.
    let checks = Cell::new(0);
    let may_send = || {
        checks.set(checks.get() + 1);
        if checks.get() == 2 {
            go.send(()).unwrap();
            is_said.recv().unwrap();
        }
        true
    };
    send_and_release(&pool, to, &may_send) == Ok("ok".into())
}

/// A node that stands still between the check and the write asks again before it writes.
fn checks_anew(mutant: Option<Mutant>) -> bool {
    let to = server(|_, mut stream| {
        receive(&mut stream);
        let _ = stream.write_all(OK);
    });
    let checks = Cell::new(0);
    let may_send = || {
        checks.set(checks.get() + 1);
        let deadline = Clock::now() + SEND_CHECK_VALIDITY;
        while checks.get() == 2 && Clock::now() <= deadline {
            std::thread::yield_now();
        }
        checks.get() < 3
    };
    send_and_release(&open_pool(mutant), to, &may_send) == Err(ConnectionError::Withheld)
}

/// A used connection that ends after a byte of the request was written doesn't pass as unsent.
fn tells_what_was_sent(mutant: Option<Mutant>) -> bool {
    let to = server(|number, mut stream| {
        receive(&mut stream);
        let _ = stream.write_all(OK);
        if number == 0 {
            receive(&mut stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    let pool = open_pool(mutant);
    send_and_release(&pool, to, &always).unwrap();
    matches!(
        send_and_release(&pool, to, &always),
        Err(ConnectionError::OutcomeUnknown(_))
    )
}

/// Whether something holds, with a mutant or without.
type Property = fn(Option<Mutant>) -> bool;

#[test]
fn each_mutant_is_detected() {
    let all: [(Mutant, Property); 5] = [
        (Mutant::KeepUnwritten, keeps_only_what_was_written),
        (Mutant::TrustClose, trusts_no_close),
        (Mutant::SkipCleanCheck, looks_before_use),
        (Mutant::TrustExpiredCheck, checks_anew),
        (Mutant::ForgetSent, tells_what_was_sent),
    ];
    for (mutant, holds) in all {
        assert!(
            holds(None),
            "{mutant:?}: it doesn't hold without the mutant"
        );
        assert!(!holds(Some(mutant)), "{mutant:?} was not detected");
    }
}
