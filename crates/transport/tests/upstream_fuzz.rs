//! Answers made of good, odd and spoiled parts, from a fixed seed: what the connections to servers take as a
//! whole body is what a strict reader of the same bytes takes, and nothing behind it becomes the next answer.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use transport::{
    ConnectionError, ConnectionPool, ConnectionPoolBounds, PooledResponse, SendOptions,
};
use types::{Clock, Milliseconds};

const CASES: u32 = 1500;
const PATIENCE: Milliseconds = Milliseconds::seconds(10);
const SECOND: &str = "HTTP/1.1 200 OK\r\nx-call: two\r\ncontent-length: 6\r\n\r\nsecond";

fn always() -> bool {
    true
}

/// A server whose first connection gives these bytes to its first request and closes at its second; each
/// further connection gives the second answer.
fn server(said: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (number, stream) in listener
            .incoming()
            .map_while(Result::ok)
            .take(2)
            .enumerate()
        {
            let (mut stream, said) = (stream, said.clone());
            let _ = stream.read(&mut [0; 4096]);
            let bytes = if number == 0 {
                &said
            } else {
                SECOND.as_bytes()
            };
            let _ = stream.write_all(bytes);
            if number == 0 {
                // What it says ends with its side of the connection, as a server's that dies does.
                let _ = stream.shutdown(std::net::Shutdown::Write);
            }
        }
    });
    address
}

/// The body of the first final answer, if a strict reader finds it whole.
fn strict_body(mut said: &[u8]) -> Option<Vec<u8>> {
    loop {
        let (head, rest) = split_head(said)?;
        let mut lines = head.iter().map(String::as_str);
        let status: u16 = lines
            .next()?
            .strip_prefix("HTTP/1.")?
            .get(2..5)?
            .parse()
            .ok()?;
        if status < 200 && status != 101 {
            said = rest;
            continue;
        }
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_lowercase()))
            .collect();
        let all = |expected: &str| -> Vec<&String> {
            fields
                .iter()
                .filter(|(name, _)| name == expected)
                .map(|(_, value)| value)
                .collect()
        };
        if matches!(status, 101 | 204 | 304) {
            return Some(vec![]);
        }
        // The same length told twice is one length.
        let lengths: Vec<&str> = all("content-length")
            .into_iter()
            .flat_map(|value| value.split(','))
            .map(str::trim)
            .collect();
        let codings = all("transfer-encoding");
        return match (lengths.first(), codings.first()) {
            (Some(length), None) if lengths.iter().all(|other| other == length) => {
                let length: usize = length.parse().ok()?;
                rest.get(..length).map(<[u8]>::to_vec)
            }
            (None, Some(coding)) if codings.len() == 1 && *coding == "chunked" => {
                strict_chunks(rest)
            }
            _ => None,
        };
    }
}

/// The lines of a head, and what follows it. A line may end with a line feed alone, as HTTP allows readers.
fn split_head(mut said: &[u8]) -> Option<(Vec<String>, &[u8])> {
    let mut lines = vec![];
    loop {
        let end = said.iter().position(|byte| *byte == b'\n')?;
        let line = said[..end].strip_suffix(b"\r").unwrap_or(&said[..end]);
        said = &said[end + 1..];
        if line.is_empty() {
            return Some((lines, said));
        }
        lines.push(String::from_utf8_lossy(line).into_owned());
    }
}

fn strict_chunks(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = vec![];
    loop {
        let end = rest.windows(2).position(|window| window == b"\r\n")?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
        rest = &rest[end + 2..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(rest.get(..size)?);
        rest = rest.get(size..)?.strip_prefix(b"\r\n")?;
    }
}

fn text(choices: &[&'static str]) -> impl Strategy<Value = String> + use<> {
    proptest::sample::select(choices.to_vec()).prop_map(str::to_owned)
}

/// The bytes of an answer, and perhaps more behind it.
fn answers() -> impl Strategy<Value = Vec<u8>> {
    let first = text(&[
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 503 No\r\n",
        "HTTP/1.0 200 OK\r\n",
        "HTTP/1.1 204 None\r\n",
        "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 103 Hints\r\nlink: a\r\n\r\nHTTP/1.1 421 Else\r\n",
        "HTTP/2 200\r\n",
        "HTTP/1.1 2000 OK\r\n",
    ]);
    let field = text(&[
        "x-call: one\r\n",
        "x-call: two\r\n",
        "content-length: 4\r\n",
        "Content-Length: 4\r\n",
        "content-length: 9\r\n",
        "content-length: 4, 4\r\n",
        "content-length: +4\r\n",
        "content-length: 0x4\r\n",
        "content-length: -1\r\n",
        "content-length:\r\n",
        "content-length : 4\r\n",
        "transfer-encoding: chunked\r\n",
        "Transfer-Encoding: CHUNKED\r\n",
        "transfer-encoding: gzip, chunked\r\n",
        "transfer-encoding: chunked, gzip\r\n",
        "transfer-encoding: xchunked\r\n",
        "connection: close\r\n",
        "connection: keep-alive\r\n",
        "keep-alive: timeout=5\r\n",
        " folded: 4\r\n",
        "bare: line\n",
        "no colon\r\n",
    ]);
    let body = text(&[
        "body",
        "bod",
        "body and more",
        "4\r\nbody\r\n0\r\n\r\n",
        "4;ext=1\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n",
        "4\r\nbody0\r\n\r\n",
        "4\nbody\n0\n\n",
        "04\r\nbody\r\n00\r\n\r\n",
        "-4\r\nbody\r\n0\r\n\r\n",
        "ffffffffffffffff4\r\nbody\r\n0\r\n\r\n",
        "4\r\nbody\r\n0\r\nx-trailer: 1\r\n\r\n",
    ]);
    let behind = text(&[
        "",
        "",
        "\r\n",
        "HTTP/1.1 200 OK\r\nx-call: two\r\ncontent-length: 5\r\n\r\nfalse",
        "garbage\r\n\r\n",
    ]);
    let spoiled = proptest::option::weighted(0.2, (any::<proptest::sample::Index>(), any::<u8>()));
    let cut = proptest::option::weighted(0.1, any::<proptest::sample::Index>());
    (
        first,
        proptest::collection::vec(field, 0..4),
        body,
        behind,
        spoiled,
        cut,
    )
        .prop_map(|(first, fields, body, behind, spoiled, cut)| {
            let mut bytes = format!("{first}{}\r\n{body}{behind}", fields.concat()).into_bytes();
            if let Some((place, byte)) = spoiled {
                let place = place.index(bytes.len());
                bytes[place] = byte;
            }
            if let Some(place) = cut {
                bytes.truncate(place.index(bytes.len()));
            }
            bytes
        })
}

fn send_to(
    lines: &ConnectionPool,
    to: SocketAddr,
) -> Result<(PooledResponse, Bytes), ConnectionError> {
    let request = http::Request::post("/")
        .header("host", "a")
        .body(Bytes::from_static(b"{}"))
        .unwrap();
    let deadline = Clock::now() + PATIENCE;
    let waits = SendOptions {
        connect_timeout: PATIENCE,
        head_deadline: deadline,
        may_send: &always,
        client: None,
    };
    let mut line = lines.send_request(to, request, &waits)?;
    let body = line.read_all(deadline, 1 << 20, None)?;
    Ok((line, body))
}

#[test]
fn only_what_a_strict_reader_finds_whole_is_whole_and_nothing_behind_it_is_the_next_answer() {
    let mut runner = TestRunner::new_with_rng(
        Config {
            cases: CASES,
            failure_persistence: None,
            ..Config::default()
        },
        proptest::test_runner::TestRng::deterministic_rng(
            proptest::test_runner::RngAlgorithm::ChaCha,
        ),
    );
    let whole_counter = std::cell::Cell::new(0);
    let outcome = runner.run(&answers(), |said| {
        let lines = ConnectionPool::new(ConnectionPoolBounds {
            max_per_address: 0,
            max_idle_per_address: 4,
            idle_timeout: Milliseconds::seconds(30),
        });
        let to = server(said.clone());
        match send_to(&lines, to) {
            Ok((line, body)) => {
                whole_counter.set(whole_counter.get() + 1);
                prop_assert_eq!(Some(body.to_vec()), strict_body(&said), "taken as whole");
                line.release();
            }
            Err(fault) => prop_assert!(
                matches!(fault, ConnectionError::OutcomeUnknown(_)),
                "{:?}",
                fault
            ),
        }
        match send_to(&lines, to) {
            Ok((line, body)) => {
                prop_assert_eq!(&body[..], b"second");
                prop_assert!(!line.is_reused());
            }
            Err(fault) => prop_assert!(
                matches!(fault, ConnectionError::OutcomeUnknown(_)),
                "{:?}",
                fault
            ),
        }
        Ok::<(), TestCaseError>(())
    });
    outcome.unwrap();
    let whole_count = whole_counter.get();
    assert!(whole_count > CASES / 20, "only {whole_count} were whole");
}
