//! Mutants of the connections to servers: each breaks what a test holds, and is seen.

use super::*;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::sync::mpsc;
use types::{Clock, Milliseconds};

const PATIENCE: Milliseconds = Milliseconds::seconds(5);
const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

fn lines(mutant: Option<Mutant>) -> ConnectionPool {
    let lines = ConnectionPool::new(ConnectionPoolBounds {
        per_address: 0,
        idle_per_address: 4,
        idle_span: Milliseconds::seconds(30),
    });
    lock(&lines.pool).mutant = mutant;
    lines
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

fn hear(stream: &mut TcpStream) -> usize {
    stream.read(&mut [0; 4096]).unwrap_or(0)
}

fn ask(
    lines: &ConnectionPool,
    to: SocketAddr,
    body: Bytes,
    may_leave: &dyn Fn() -> bool,
) -> Result<(Line, Bytes), ConnectionError> {
    let request = http::Request::post("/")
        .header("host", "a")
        .body(body)
        .unwrap();
    let head_deadline = Clock::now() + PATIENCE;
    let mut line = lines.ask(
        to,
        request,
        &Waits {
            connect: PATIENCE,
            head_deadline,
            may_leave,
            client: None,
        },
    )?;
    let body = line.read_all(head_deadline, 1 << 20, None)?;
    Ok((line, body))
}

fn ask_and_keep(
    lines: &ConnectionPool,
    to: SocketAddr,
    may_leave: &dyn Fn() -> bool,
) -> Result<Bytes, ConnectionError> {
    let (line, body) = ask(lines, to, Bytes::from_static(b"{}"), may_leave)?;
    line.keep();
    Ok(body)
}

fn always() -> bool {
    true
}

/// A connection whose request was not written whole is not given back.
fn keeps_only_what_was_written(mutant: Option<Mutant>) -> bool {
    let (lines, (end, wait)) = (lines(mutant), mpsc::channel::<()>());
    let to = server(move |_, mut stream| {
        let _ = stream.read(&mut [0; 16]);
        let _ = stream.write_all(OK);
        let _ = wait.recv();
    });
    let (line, _) = ask(&lines, to, Bytes::from(vec![b'x'; 64 << 20]), &always).unwrap();
    line.keep();
    drop(end);
    lines.idle_count(to) == 0
}

/// A body whose end only a close tells is not whole.
fn trusts_no_close(mutant: Option<Mutant>) -> bool {
    let to = server(|_, mut stream| {
        hear(&mut stream);
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf");
    });
    ask_and_keep(&lines(mutant), to, &always).is_err()
}

/// What came on a connection while it rested, also at the very last moment, is never the next answer.
fn looks_before_use(mutant: Option<Mutant>) -> bool {
    let (lines, (go, wait), (said, is_said)) =
        (lines(mutant), mpsc::channel::<()>(), mpsc::channel());
    let to = server(move |number, mut stream| {
        hear(&mut stream);
        let _ = stream.write_all(OK);
        if number == 0 {
            let _ = wait.recv();
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nbad");
            let _ = said.send(());
            hear(&mut stream);
        }
    });
    ask_and_keep(&lines, to, &always).unwrap();
    // Right before the check itself.
    let asked = Cell::new(0);
    let may_leave = || {
        asked.set(asked.get() + 1);
        if asked.get() == 2 {
            go.send(()).unwrap();
            is_said.recv().unwrap();
        }
        true
    };
    ask_and_keep(&lines, to, &may_leave) == Ok("ok".into())
}

/// A node that stands still between the check and the write asks again before it writes.
fn checks_anew(mutant: Option<Mutant>) -> bool {
    let to = server(|_, mut stream| {
        hear(&mut stream);
        let _ = stream.write_all(OK);
    });
    let asked = Cell::new(0);
    let may_leave = || {
        asked.set(asked.get() + 1);
        let deadline = Clock::now() + CHECK_LIFE;
        while asked.get() == 2 && Clock::now() <= deadline {
            std::thread::yield_now();
        }
        asked.get() < 3
    };
    ask_and_keep(&lines(mutant), to, &may_leave) == Err(ConnectionError::Withheld)
}

/// A used connection that ends after a byte of the request was written doesn't pass as unsent.
fn tells_what_was_sent(mutant: Option<Mutant>) -> bool {
    let to = server(|number, mut stream| {
        hear(&mut stream);
        let _ = stream.write_all(OK);
        if number == 0 {
            hear(&mut stream);
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
    let lines = lines(mutant);
    ask_and_keep(&lines, to, &always).unwrap();
    matches!(
        ask_and_keep(&lines, to, &always),
        Err(ConnectionError::Unknown(_))
    )
}

/// Whether something holds, with a mutant or without.
type Property = fn(Option<Mutant>) -> bool;

#[test]
fn each_mutant_is_seen() {
    let all: [(Mutant, Property); 5] = [
        (Mutant::KeepUnwritten, keeps_only_what_was_written),
        (Mutant::TrustClose, trusts_no_close),
        (Mutant::SkipLook, looks_before_use),
        (Mutant::TrustOldCheck, checks_anew),
        (Mutant::ForgetSent, tells_what_was_sent),
    ];
    for (mutant, holds) in all {
        assert!(
            holds(None),
            "{mutant:?}: it doesn't hold without the mutant"
        );
        assert!(!holds(Some(mutant)), "{mutant:?} was not seen");
    }
}
