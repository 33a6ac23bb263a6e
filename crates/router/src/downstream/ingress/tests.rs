use super::*;
use crate::settings::Settings;
use crate::upstream::forwarding::tests::{Plain, shared};
use config::{parse_plan, read_settings};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use types::{Address, Milliseconds, MonotonicInstant};

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Duration = Duration::from_secs(30);

/// A node's doors. It may not act and is not ready, and holds its clients this long.
fn open(start_wait_ms: u64) -> (Ingress, Arc<Shared>) {
    let (shared, _) = shared();
    shared.is_ready.store(false, SeqCst);
    shared.may_act_until.store(0, SeqCst);
    let settings = read_settings::<Settings>(None).expect("defaults");
    let here = || "127.0.0.1:0".to_owned();
    // Nobody serves the list of servers.
    let settings = Settings {
        ingress: here(),
        readiness: here(),
        start_wait_ms,
        ..settings
    };
    let ingress = Ingress::open(
        &settings,
        shared.clone(),
        Arc::new(Plain),
        &RouterBudget::new(&settings, true),
    )
    .expect("open");
    (ingress, shared)
}

fn connect(to: Address) -> TcpStream {
    let stream = TcpStream::connect(to.0).expect("connected");
    stream.set_read_timeout(Some(GUARD)).expect("set");
    stream
}

fn send(mut stream: &TcpStream, path: &str) {
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-call: c1\r\n\r\n");
    stream.write_all(request.as_bytes()).expect("written");
}

/// One answer: its head, and as much of its body as its length tells.
fn answer(mut stream: &TcpStream) -> String {
    let mut text = String::new();
    loop {
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().expect("a length")) {
                return text;
            }
        }
        let mut byte = [0];
        assert_eq!(
            stream.read(&mut byte).expect("readable"),
            1,
            "it ended early: {text}"
        );
        text.push(byte[0].into());
    }
}

fn probe(ingress: &Ingress, path: &str) -> String {
    let stream = connect(ingress.addresses.1);
    send(&stream, path);
    answer(&stream)
}

#[test]
fn clients_at_a_starting_node_wait_unread_until_it_is_ready() {
    let (ingress, shared) = open(60_000);
    let early = connect(ingress.addresses.0);
    send(&early, "/p/x");
    // Were it read now, it would be told that this node may not act.
    assert!(probe(&ingress, "/probe").starts_with("HTTP/1.1 503"));
    assert_eq!(shared.metrics.received.load(SeqCst), 0);
    let plan = parse_plan(br#"{"services": {}}"#).expect("a plan");
    shared.install_detached_plan(&Arc::new(plan));
    shared.may_act_until.store(u64::MAX, SeqCst);
    shared.is_ready.store(true, SeqCst);
    let told = answer(&early);
    assert!(
        told.starts_with("HTTP/1.1 404") && told.ends_with("unknown-service"),
        "{told}"
    );
}

#[test]
fn clients_at_a_node_that_does_not_get_ready_are_refused_after_their_wait() {
    let (ingress, _shared) = open(0);
    let early = connect(ingress.addresses.0);
    send(&early, "/p/x");
    let told = answer(&early);
    assert!(
        told.starts_with("HTTP/1.1 503") && told.contains("retry-after: "),
        "{told}"
    );
}

#[test]
fn readiness_is_told_at_its_own_address_as_it_changes() {
    let (ingress, shared) = open(60_000);
    let told = |path: &str| probe(&ingress, path)[9..12].to_owned();
    assert_eq!([told("/probe"), told("/other")], ["503", "404"]);
    shared.is_ready.store(true, SeqCst);
    assert_eq!([told("/probe"), told("/other")], ["200", "404"]);
    shared.is_ready.store(false, SeqCst);
    assert_eq!(told("/probe"), "503");
}

#[test]
fn a_leaving_node_still_answers_and_each_answer_ends_its_connection() {
    let (ingress, _shared) = open(0);
    let kept = connect(ingress.addresses.0);
    send(&kept, "/p/x");
    let before = answer(&kept);
    assert!(!before.contains("connection: close"), "{before}");
    ingress.leave();
    // One that is kept may have a request on the wire; others still come.
    send(&kept, "/p/x");
    let new = connect(ingress.addresses.0);
    send(&new, "/p/x");
    for mut client in [kept, new] {
        let after = answer(&client);
        assert!(after.contains("connection: close"), "{after}");
        assert_eq!(client.read(&mut [0]).expect("closed in order"), 0);
    }
}

#[test]
fn a_node_is_quiet_only_once_no_client_has_come_for_a_while() {
    let (ingress, shared) = open(0);
    let client = connect(ingress.addresses.0);
    send(&client, "/p/x");
    answer(&client);
    let last_arrival = MonotonicInstant(shared.last_arrival.load(SeqCst));
    assert!(last_arrival > MonotonicInstant(0));
    assert!(
        !shared.is_quiet(last_arrival + Milliseconds(1000))
            && shared.is_quiet(last_arrival + Milliseconds(1500))
    );
}

/// Posts a body on a kept connection; gives the status.
fn post(mut stream: &TcpStream, body_bytes: usize) -> String {
    let head = format!(
        "POST /p/x HTTP/1.1\r\nhost: h\r\nx-call: c1\r\ncontent-length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("written");
    stream.write_all(&vec![b'x'; body_bytes]).expect("written");
    answer(stream)[9..12].to_owned()
}

#[test]
fn a_plans_limits_bind_clients_from_when_it_is_in_force_also_on_open_connections() {
    let (ingress, shared) = open(0);
    let take = |bounds: &str| {
        let plan = format!(r#"{{"services": {{}}, "bounds": {bounds}}}"#);
        shared.install_detached_plan(&Arc::new(parse_plan(plan.as_bytes()).expect("a plan")));
    };
    let mut kept: Vec<TcpStream> = (0..4).map(|_| connect(ingress.addresses.0)).collect();
    assert!(
        kept.iter().all(|client| post(client, 3000) == "503"),
        "nothing is in force"
    );
    take(r#"{"max_body_bytes": 2000, "max_header_bytes": 500, "idle_timeout_ms": 3600000}"#);
    assert_eq!(post(&kept[0], 2000), "503");
    assert_eq!(post(&kept[0], 2001), "413");
    send(&kept[1], &format!("/{}", "x".repeat(500)));
    assert!(answer(&kept[1]).starts_with("HTTP/1.1 431 "));
    take(r#"{"header_read_ms": 100, "idle_timeout_ms": 3600000}"#);
    kept[2].write_all(b"GET / HT").expect("written");
    assert!(answer(&kept[2]).starts_with("HTTP/1.1 408 "));
    take(r#"{"idle_timeout_ms": 100}"#);
    assert_eq!(kept[3].read(&mut [0]).expect("closed in order"), 0);
    // Its readiness is told as ever.
    assert!(probe(&ingress, &format!("/{}", "x".repeat(500))).starts_with("HTTP/1.1 404 "));
}
