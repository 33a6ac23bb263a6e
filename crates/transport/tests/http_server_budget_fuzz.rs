//! Random clients of a server with a small budget: whatever they send and wherever they stop, the budget holds, all of it is
//! given back, and what was refused was never handed on.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use resource_budget::{BudgetLimits, ListenerId, ListenerPolicy};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use transport::{HttpServer, HttpServerBounds, ResourceBudget, Response};
use types::Address;

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Duration = Duration::from_secs(30);
const SEED: [u8; 32] = [43; 32];
const MAX_CONNECTIONS: usize = 12;
const CONTENT_BYTES: u64 = 2 << 20;
const MAX_BODY_BYTES: usize = 1 << 20;

/// How a client tells the length of its body.
#[derive(Debug, Clone, Copy)]
enum Encoding {
    Length,
    Chunks(usize),
}

/// One client's request, and where it stops.
#[derive(Debug, Clone)]
struct Plan {
    encoding: Encoding,
    body_bytes: usize,
    header_bytes: usize,
    /// Bytes that are left out at the end.
    missing: usize,
    /// Bytes that it sends by one write.
    write_bytes: usize,
    /// Whether it stops sending at the end, or keeps its connection until it's closed.
    does_end: bool,
}

fn some_plan() -> impl Strategy<Value = Plan> {
    let encoding = prop_oneof![
        Just(Encoding::Length),
        (1..4usize).prop_map(Encoding::Chunks),
        (1000..70_000usize).prop_map(Encoding::Chunks),
    ];
    let body_bytes = prop_oneof![0..2000usize, 60_000..70_000usize, 0..1_200_000usize];
    let missing = prop_oneof![3 => Just(0usize), 1 => 1..20usize, 1 => 1..100_000usize];
    let rest = (0..20_000usize, missing, 1..200_000usize, any::<bool>());
    (encoding, body_bytes, rest).prop_map(|(encoding, body_bytes, rest)| {
        let (header_bytes, missing, write_bytes, does_end) = rest;
        // Chunks of a byte or so are few enough to be read soon.
        let body_bytes = match encoding {
            Encoding::Chunks(..10) => body_bytes.min(50_000),
            Encoding::Chunks(_) | Encoding::Length => body_bytes,
        };
        Plan {
            encoding,
            body_bytes,
            header_bytes,
            missing,
            write_bytes,
            // Whoever stops short of the end would else be waited for until its time-out.
            does_end: does_end || missing > 0,
        }
    })
}

impl Plan {
    fn request(&self, client: usize) -> Vec<u8> {
        let framing = match self.encoding {
            Encoding::Length => format!("content-length: {}", self.body_bytes),
            Encoding::Chunks(_) => "transfer-encoding: chunked".to_owned(),
        };
        let header = "h".repeat(self.header_bytes);
        let head =
            format!("POST /{client} HTTP/1.1\r\nhost: a\r\nx: {header}\r\n{framing}\r\n\r\n");
        let mut bytes = head.into_bytes();
        let body = vec![b'b'; self.body_bytes];
        match self.encoding {
            Encoding::Length => bytes.extend(body),
            Encoding::Chunks(size) => {
                for chunk in body.chunks(size) {
                    bytes.extend(format!("{:x}\r\n", chunk.len()).into_bytes());
                    bytes.extend(chunk);
                    bytes.extend(b"\r\n");
                }
                bytes.extend(b"0\r\n\r\n");
            }
        }
        let length = bytes.len().saturating_sub(self.missing);
        bytes.truncate(length);
        bytes
    }

    /// Sends the request and returns what came back.
    fn play(&self, client: usize, address: Address) -> String {
        let Ok(mut stream) = TcpStream::connect(address.0) else {
            return String::new();
        };
        stream.set_read_timeout(Some(GUARD)).expect("set");
        stream.set_write_timeout(Some(GUARD)).expect("set");
        for part in self.request(client).chunks(self.write_bytes) {
            if stream.write_all(part).is_err() {
                break;
            }
        }
        if self.does_end {
            let _ = stream.shutdown(Shutdown::Write);
        }
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// The lengths of the bodies that were handed on, by client.
type HandedOn = Arc<Mutex<HashMap<String, Vec<usize>>>>;

fn serve(budget: &ResourceBudget) -> (Address, HandedOn) {
    let handed_on = HandedOn::default();
    let bounds = HttpServerBounds {
        body_bytes: MAX_BODY_BYTES,
        ..HttpServerBounds::default()
    };
    let listener = budget.listener(ListenerId(0));
    let server = HttpServer::open_within(Address::loopback(0).0, bounds, listener).expect("a port");
    let (address, seen) = (server.address(), handed_on.clone());
    let handler = move |request: transport::Request| {
        let mut seen = seen.lock().expect("no panic");
        seen.entry(request.path.clone())
            .or_default()
            .push(request.body.len());
        Response::complete(200, "text/plain", request.body.to_vec())
    };
    std::thread::spawn(move || server.serve(handler));
    (address, handed_on)
}

fn check(client: usize, plan: &Plan, answer: &str, lengths: &[usize]) -> Result<(), TestCaseError> {
    prop_assert!(lengths.len() <= 1, "{plan:?} was handed on twice");
    prop_assert!(lengths.iter().all(|length| *length == plan.body_bytes));
    if plan.missing > 0 || plan.body_bytes > MAX_BODY_BYTES {
        prop_assert!(lengths.is_empty(), "{plan:?} was handed on");
    }
    let is_refused = ["400", "408", "413", "431", "503"]
        .iter()
        .any(|status| answer.starts_with(&format!("HTTP/1.1 {status}")));
    if is_refused || answer.is_empty() {
        // A client that breaks off itself gets nothing and is handed on nowhere; the rest is a promise.
        prop_assert!(lengths.is_empty(), "client {client}, {plan:?}: {answer}");
    } else {
        prop_assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        prop_assert_eq!(lengths.len(), 1);
    }
    Ok(())
}

fn play(plans: &[Plan]) -> Result<(), TestCaseError> {
    let limits = BudgetLimits {
        max_connections: MAX_CONNECTIONS,
        max_server_connections: 0,
        content_bytes: CONTENT_BYTES,
        large_content_bytes: CONTENT_BYTES / 4 * 3,
    };
    let listener = ListenerPolicy {
        name: "clients",
        max_connections: MAX_CONNECTIONS,
        reserved_connections: 0,
        reserved_bytes: 0,
    };
    let budget = ResourceBudget::new(limits, vec![listener]);
    let (address, handed_on) = serve(&budget);
    let answers: Vec<String> = std::thread::scope(|scope| {
        let clients: Vec<_> = plans
            .iter()
            .enumerate()
            .map(|(client, plan)| scope.spawn(move || plan.play(client, address)))
            .collect();
        clients
            .into_iter()
            .map(|client| client.join().expect("no panic"))
            .collect()
    });
    let usage = budget.usage();
    prop_assert!(usage.connections as usize <= MAX_CONNECTIONS);
    prop_assert!(usage.content_bytes <= CONTENT_BYTES);
    while budget.usage().connections > 0 {
        std::thread::yield_now();
    }
    prop_assert_eq!(budget.usage().content_bytes, 0);
    let handed_on = handed_on.lock().expect("no panic");
    for (client, (plan, answer)) in plans.iter().zip(&answers).enumerate() {
        let lengths = handed_on.get(&format!("/{client}"));
        check(client, plan, answer, lengths.map_or(&[], Vec::as_slice))?;
    }
    Ok(())
}

#[test]
fn whatever_clients_send_the_budget_holds_and_what_was_refused_was_handed_on_nowhere() {
    let config = ProptestConfig {
        cases: 96,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    runner
        .run(&vec(some_plan(), 1..24), |plans| play(&plans))
        .unwrap_or_else(|failure| panic!("{failure}"));
}
