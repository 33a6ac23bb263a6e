//! Exploration: clients of four kinds at a fleet whose routers and servers are struck at random.
//! Arguments: kinds of trouble joined by `+`, a seed, seconds. What it saw stands in review/REPORT.md.

use standin::config::{HOST, config, route};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

struct Rng(u64);
impl Rng {
    fn next(&mut self, below: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (self.0 >> 33) % below.max(1)
    }
}

#[derive(Debug, Clone)]
struct Sent {
    id: String,
    kind: &'static str,
    router: usize,
    at: Instant,
    ended: Instant,
    status: u16,
    whole: bool,
    error: String,
    kept: bool,
    body: Vec<u8>,
    headers: Vec<(String, String)>,
    request_body: Vec<u8>,
    target: String,
}

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or("calm".into());
    let seed: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seconds: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(30);
    let record = Arc::new(Record::create(
        &std::env::temp_dir().join(format!("explore-load-{kind}-{seed}.txt")),
    ));
    let platform = Platform::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    {
        let mut servers = platform.servers.lock().unwrap();
        for z in ["lk-west-a", "lk-west-b", "lk-west-c"] {
            for n in 0..(if kind.contains("cold") { 1 } else { 3 }) {
                servers.push(Server::start(
                    &format!("i-llm-{z}-{n}"),
                    "kolam-llm",
                    z,
                    true,
                    &arrivals,
                ));
            }
            servers.push(Server::start(
                &format!("i-app-{z}"),
                "board-api",
                z,
                false,
                &arrivals,
            ));
        }
    }
    let events = if kind.contains("roll") { 64 } else { 4 };
    for server in platform.servers.lock().unwrap().iter() {
        server.manner.lock().unwrap().events = events;
    }
    let fleet = Arc::new(Fleet::new(3, 3, 3, platform.address));
    fleet.start_all(true);
    let first = fleet.order(
        0,
        "PUT",
        "/-/config",
        Some(0),
        config(1, &[]).as_bytes(),
        Duration::from_secs(15),
    );
    assert_eq!(first.map(|a| a.status), Ok(200));
    assert!(
        fleet.await_ready(&(0..6).collect::<Vec<_>>(), Duration::from_secs(20)),
        "not ready"
    );
    std::thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let ready: Arc<Mutex<Vec<bool>>> = Arc::new(Mutex::new(vec![true; 6]));
    let number = Arc::new(AtomicU64::new(seed << 32));
    let mut threads = vec![];
    {
        let (fleet, stop, ready) = (fleet.clone(), stop.clone(), ready.clone());
        threads.push(std::thread::spawn(move || {
            let mut misses = [0; 6];
            while !stop.load(SeqCst) {
                let handles: Vec<_> = (0..6)
                    .map(|n| {
                        let fleet = fleet.clone();
                        std::thread::spawn(move || fleet.is_ready(n))
                    })
                    .collect();
                for (n, h) in handles.into_iter().enumerate() {
                    if h.join().unwrap() {
                        misses[n] = 0
                    } else {
                        misses[n] += 1
                    }
                    ready.lock().unwrap()[n] = misses[n] < 2;
                }
                std::thread::sleep(Duration::from_millis(800));
            }
        }));
    }
    for client in 0..(if kind.contains("cold") { 150u64 } else { 60 }) {
        let (fleet, stop, sent, ready, number) = (
            fleet.clone(),
            stop.clone(),
            sent.clone(),
            ready.clone(),
            number.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let mut rng = Rng(seed * 1000 + client);
            let mut line: Option<(usize, Line)> = None;
            while !stop.load(SeqCst) {
                std::thread::sleep(Duration::from_millis(rng.next(400)));
                let kept = line.is_some();
                let (router, mut connection) = match line.take() {
                    Some(kept) => kept,
                    None => {
                        let router = rng.next(6) as usize;
                        if !ready.lock().unwrap()[router] {
                            continue;
                        }
                        match Line::open(fleet.machines[router].at(INGRESS), Duration::from_secs(1))
                        {
                            Ok(line) => (router, line),
                            Err(_) => continue,
                        }
                    }
                };
                let (kind, path, left) = match rng.next(10) {
                    0..=2 => ("draft", "/draft/a", 15000),
                    3..=5 => ("query", "/query/b", 3000),
                    6..=7 => ("fetch", "/fetch/c", 1500),
                    _ => ("post", "/post/d", 3000),
                };
                let n = number.fetch_add(1, SeqCst);
                let id = format!("{n:016x}");
                let target = format!("{path}/{n}?q={n}");
                let body: Vec<u8> = format!("body {id} ")
                    .repeat(1 + rng.next(200) as usize)
                    .into_bytes();
                let mut headers = vec![
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", id.clone()),
                    ("Time-Left", left.to_string()),
                ];
                if kind == "draft" || kind == "query" {
                    headers.extend([
                        ("Model", "m".to_owned()),
                        ("Token-Count", "1460,80".to_owned()),
                        (
                            "Prompt-Prefix",
                            format!("5c1e07a2:800,{:x}:410,{n:x}:250", n % 50),
                        ),
                    ]);
                }
                let at = Instant::now();
                let until = at + Duration::from_millis(left + 1500);
                let outcome = connection
                    .send(&request("POST", &target, &headers, &body))
                    .and_then(|()| connection.answer(until));
                let ended = Instant::now();
                let (answer, error) = match outcome {
                    Ok(a) => (a, String::new()),
                    Err(e) => (Answer::default(), e),
                };
                if answer.whole
                    && !answer
                        .header("connection")
                        .is_some_and(|v| v.eq_ignore_ascii_case("close"))
                    && rng.next(4) > 0
                {
                    line = Some((router, connection));
                }
                sent.lock().unwrap().push(Sent {
                    id,
                    kind,
                    router,
                    at,
                    ended,
                    status: answer.status,
                    whole: answer.whole,
                    error,
                    kept,
                    body: answer.body,
                    headers: answer.headers,
                    request_body: body,
                    target,
                });
            }
        }));
    }
    // the troubles
    let mut rng = Rng(seed);
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut revision = 1;
    let mut troubles: Vec<(Instant, Instant, usize)> = vec![];
    while Instant::now() < until {
        let n = rng.next(6) as usize;
        let from = Instant::now();
        let kinds: Vec<&str> = kind.split('+').collect();
        match kinds[rng.next(kinds.len() as u64) as usize] {
            "term" => {
                record.note(format!("term {n}"));
                fleet.signal(n, Role::Router, SIGTERM);
                let (code, ended) = fleet.wait_end(n, Role::Router, Duration::from_millis(8000));
                record.note(format!(
                    "term {n} ended {code:?} {ended} after {:?}",
                    from.elapsed()
                ));
                if !ended {
                    record.fault(format!("router {n} not ended in 8 s"));
                    fleet.kill(n, Role::Router);
                }
                fleet.start(n, Role::Router, false);
                std::thread::sleep(Duration::from_millis(1000 + rng.next(1000)));
            }
            "roll" => {
                // Both processes of each machine are stopped and started in turn, the next after 1.3 s.
                let mut down: Vec<(usize, Role)> = vec![];
                for machine in 0..6 {
                    record.note(format!("roll {machine}"));
                    for role in [Role::Router, Role::Controller] {
                        fleet.signal(machine, role, SIGTERM);
                        down.push((machine, role));
                    }
                    let next = Instant::now() + Duration::from_millis(1300);
                    while Instant::now() < next || (machine == 5 && !down.is_empty()) {
                        down.retain(|(machine, role)| {
                            let (code, has_ended) =
                                fleet.wait_end(*machine, *role, Duration::from_millis(10));
                            if has_ended {
                                record.note(format!("{role:?} {machine} ended {code:?}"));
                                std::thread::sleep(Duration::from_millis(50));
                                fleet.start(*machine, *role, false);
                            }
                            !has_ended
                        });
                    }
                }
                std::thread::sleep(Duration::from_millis(5000));
            }
            "shed" => {
                // All servers turn requests away for some seconds.
                let servers = platform.servers.lock().unwrap().clone();
                for server in &servers {
                    server.sheds.store(true, SeqCst);
                }
                std::thread::sleep(Duration::from_millis(6000));
                for server in &servers {
                    server.sheds.store(false, SeqCst);
                }
                std::thread::sleep(Duration::from_millis(4000));
            }
            "coredown" => {
                record.note("all controllers are killed");
                for machine in 0..6 {
                    fleet.kill(machine, Role::Controller);
                }
                std::thread::sleep(Duration::from_millis(2000 + rng.next(9000)));
                for machine in 0..6 {
                    fleet.start(machine, Role::Controller, false);
                }
                record.note("all controllers are started");
                std::thread::sleep(Duration::from_millis(4000 + rng.next(2000)));
            }
            "corestop" => {
                record.note("two controllers stand still");
                for machine in 0..2 {
                    fleet.signal(machine, Role::Controller, SIGSTOP);
                }
                std::thread::sleep(Duration::from_millis(1000 + rng.next(7000)));
                for machine in 0..2 {
                    fleet.signal(machine, Role::Controller, SIGCONT);
                }
                std::thread::sleep(Duration::from_millis(2000 + rng.next(2000)));
            }
            "kill" => {
                record.note(format!("kill {n}"));
                fleet.kill(n, Role::Router);
                std::thread::sleep(Duration::from_millis(rng.next(2000)));
                fleet.start(n, Role::Router, false);
                troubles.push((from, Instant::now() + Duration::from_secs(1), n));
                std::thread::sleep(Duration::from_millis(rng.next(2000)));
            }
            "stop" => {
                record.note(format!("stop {n}"));
                fleet.signal(n, Role::Router, SIGSTOP);
                std::thread::sleep(Duration::from_millis(100 + rng.next(4000)));
                fleet.signal(n, Role::Router, SIGCONT);
                record.note(format!("cont {n}"));
                troubles.push((from, Instant::now() + Duration::from_secs(1), n));
                std::thread::sleep(Duration::from_millis(rng.next(1000)));
            }
            "config" => {
                let next = revision + 1;
                let kind = if rng.next(2) == 0 {
                    "mutating"
                } else {
                    "idempotent"
                };
                let body = format!(
                    r#"{{"revision":{next},"upsert":{{"routes":[{}]}}}}"#,
                    route(
                        &format!("x{next}"),
                        &format!("/x{next}/"),
                        kind,
                        "board-api",
                        1000,
                        300,
                        2,
                        ""
                    )
                );
                let answer = fleet.order(
                    n,
                    "PATCH",
                    "/-/config",
                    Some(revision),
                    body.as_bytes(),
                    Duration::from_secs(6),
                );
                record.note(format!(
                    "config {next} {:?}",
                    answer.as_ref().map(|a| a.status)
                ));
                if answer.is_ok_and(|a| a.status == 200) {
                    revision = next;
                }
                std::thread::sleep(Duration::from_millis(rng.next(500)));
            }
            "evac" => {
                let z = &fleet.zones[rng.next(3) as usize];
                let answer = fleet.order(
                    n,
                    "POST",
                    &format!("/-/evacuations/{z}"),
                    None,
                    b"",
                    Duration::from_secs(5),
                );
                let acked = Instant::now();
                record.note(format!("evac {z} {:?}", answer.as_ref().map(|a| a.status)));
                std::thread::sleep(Duration::from_millis(6000));
                let count = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| a.zone == *z && a.at > acked + Duration::from_millis(200))
                    .count();
                record.note(format!("arrivals after 200 ms: {count}"));
                let late = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| a.zone == *z && a.at > acked + Duration::from_millis(5000))
                    .count();
                if late > 0 {
                    record.fault(format!("{late} arrivals in {z} 5 s after its evacuation"));
                }
                let answer = fleet.order(
                    n,
                    "DELETE",
                    &format!("/-/evacuations/{z}"),
                    None,
                    b"",
                    Duration::from_secs(5),
                );
                record.note(format!("back {z} {:?}", answer.as_ref().map(|a| a.status)));
                std::thread::sleep(Duration::from_millis(1000));
            }
            "break" => {
                let servers = platform.servers.lock().unwrap().clone();
                let server = &servers[rng.next(servers.len() as u64) as usize];
                record.note(format!("server {} breaks", server.id.lock().unwrap()));
                {
                    let mut m = server.manner.lock().unwrap();
                    if server.is_stream {
                        m.breaks_after = Some(rng.next(4));
                    } else {
                        m.loses_answer = true;
                    }
                }
                std::thread::sleep(Duration::from_millis(500 + rng.next(1500)));
                {
                    let mut m = server.manner.lock().unwrap();
                    m.breaks_after = None;
                    m.loses_answer = false;
                }
            }
            "cold" => {
                let servers = platform.servers.lock().unwrap().clone();
                let streams: Vec<_> = servers.iter().filter(|s| s.is_stream).collect();
                let server = streams[rng.next(streams.len() as u64) as usize];
                let at = Instant::now();
                *server.warmup_left_ms.lock().unwrap() = 3000;
                if rng.next(2) == 0 {
                    let new = format!("i-new-{}", rng.next(1 << 40));
                    *server.id.lock().unwrap() = new;
                }
                let id = server.id.lock().unwrap().clone();
                while at.elapsed() < Duration::from_millis(3000) {
                    *server.warmup_left_ms.lock().unwrap() =
                        3000u64.saturating_sub(at.elapsed().as_millis() as u64);
                    std::thread::sleep(Duration::from_millis(20));
                }
                *server.warmup_left_ms.lock().unwrap() = 0;
                let times: Vec<Instant> = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| {
                        a.server == id
                            && a.refused == 0
                            && a.at > at + Duration::from_millis(1900)
                            && a.at < at + Duration::from_millis(3000)
                    })
                    .map(|a| a.at)
                    .collect();
                let all: Vec<Instant> = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| {
                        a.server == id
                            && a.refused == 0
                            && a.at > at
                            && a.at < at + Duration::from_millis(3000)
                    })
                    .map(|a| a.at)
                    .collect();
                let most = |t: &[Instant]| {
                    t.iter()
                        .map(|x| {
                            t.iter()
                                .filter(|y| {
                                    **y >= *x && y.duration_since(*x) < Duration::from_secs(1)
                                })
                                .count()
                        })
                        .max()
                        .unwrap_or(0)
                };
                record.note(format!(
                    "cold {id}: at most {} in a second behind the lag, {} in all",
                    most(&times),
                    most(&all)
                ));
                if most(&times) > 35 || (id.starts_with("i-new") && most(&all) > 35) {
                    record.fault(format!("FAILBACK {id}: {} {}", most(&times), most(&all)));
                }
                std::thread::sleep(Duration::from_millis(500));
            }
            "slow" => {
                let servers = platform.servers.lock().unwrap().clone();
                let server = &servers[rng.next(servers.len() as u64) as usize];
                let old = server.manner.lock().unwrap().clone();
                {
                    let mut m = server.manner.lock().unwrap();
                    m.work_ms = 5000;
                    m.first_ms = 5000;
                }
                std::thread::sleep(Duration::from_millis(1000 + rng.next(2500)));
                *server.manner.lock().unwrap() = old;
            }
            "drain" => {
                let servers = platform.servers.lock().unwrap().clone();
                let server = &servers[rng.next(servers.len() as u64) as usize];
                server.draining.store(true, SeqCst);
                let at = Instant::now();
                let id = server.id.lock().unwrap().clone();
                std::thread::sleep(Duration::from_millis(5000));
                let last = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| a.server == id && a.at > at)
                    .map(|a| a.at.duration_since(at).as_millis())
                    .max();
                record.note(format!("draining {id}: last arrival after {last:?} ms"));
                if last.is_some_and(|l| l > 3000) {
                    record.fault(format!("draining {id}: arrival after {last:?} ms"));
                }
                server.draining.store(false, SeqCst);
                std::thread::sleep(Duration::from_millis(1500));
            }
            "collector" => {
                let servers = platform.servers.lock().unwrap().clone();
                let n = 3 + rng.next(3) as usize;
                let server = &servers[rng.next(servers.len() as u64) as usize];
                server.draining.store(true, SeqCst);
                let at = Instant::now();
                fleet.signal(n, Role::Router, SIGSTOP);
                fleet.signal(n - 3, Role::Router, SIGSTOP);
                let id = server.id.lock().unwrap().clone();
                std::thread::sleep(Duration::from_millis(5000));
                fleet.signal(n, Role::Router, SIGCONT);
                fleet.signal(n - 3, Role::Router, SIGCONT);
                troubles.push((from, Instant::now() + Duration::from_secs(1), n));
                troubles.push((from, Instant::now() + Duration::from_secs(1), n - 3));
                let last = arrivals
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|a| {
                        a.server == id && a.at > at && a.at < at + Duration::from_millis(4900)
                    })
                    .map(|a| a.at.duration_since(at).as_millis())
                    .max();
                record.note(format!(
                    "draining {id}, frozen {n}: last arrival after {last:?} ms"
                ));
                if last.is_some_and(|l| l > 3000) {
                    record.fault(format!("draining {id}: arrival after {last:?} ms"));
                }
                server.draining.store(false, SeqCst);
                std::thread::sleep(Duration::from_millis(3500));
            }
            _ => std::thread::sleep(Duration::from_millis(500)),
        }
        for ended in fleet.ended() {
            record.fault(ended);
        }
    }
    stop.store(true, SeqCst);
    for t in threads {
        t.join().unwrap();
    }
    std::thread::sleep(Duration::from_secs(2));
    drop(fleet);
    let arrivals = arrivals.lock().unwrap().clone();
    let sent = sent.lock().unwrap().clone();
    let mut by_id: HashMap<&str, Vec<&Arrival>> = HashMap::new();
    for a in &arrivals {
        by_id.entry(&a.id).or_default().push(a);
    }
    let ids: HashMap<&str, &Sent> = sent.iter().map(|s| (s.id.as_str(), s)).collect();
    for a in &arrivals {
        match ids.get(a.id.as_str()) {
            None => record.fault(format!("UNASKED id {}", a.id)),
            Some(s) => {
                if a.target != s.target
                    || a.body != s.request_body
                    || a.method != "POST"
                    || (s.kind == "draft" && a.header("token-count") != Some("1460,80"))
                {
                    record.fault(format!("UNASKED changed {a:?}"));
                }
            }
        }
    }
    // Arrivals beyond the first of each request, by service and sliding window.
    for service in ["kolam-llm", "board-api"] {
        let mut seen = std::collections::HashSet::new();
        let mut all: Vec<(Instant, bool)> = arrivals
            .iter()
            .filter(|a| a.service == service)
            .map(|a| (a.at, !seen.insert(a.id.as_str())))
            .collect();
        all.sort();
        let requests: Vec<Instant> = sent
            .iter()
            .filter(|s| (s.kind == "draft" || s.kind == "query") == (service == "kolam-llm"))
            .map(|s| s.at)
            .collect();
        let window = Duration::from_secs(10);
        let mut most = (0, 0);
        for (from, _) in &all {
            let further = all
                .iter()
                .filter(|(at, again)| *again && at >= from && at.duration_since(*from) < window)
                .count();
            let asked = requests
                .iter()
                .filter(|at| *at >= from && at.duration_since(*from) < window)
                .count();
            if further > most.0 {
                most = (further, asked);
            }
        }
        record.note(format!(
            "{service}: at most {} further arrivals in a window of {} requests",
            most.0, most.1
        ));
        println!(
            "{service}: at most {} further arrivals in a window of {} requests",
            most.0, most.1
        );
        if most.0 as f64 > 0.2 * most.1 as f64 + 62.0 {
            record.fault(format!("BUDGET {service}: {most:?}"));
        }
    }
    let mut counts: HashMap<(&str, String), usize> = HashMap::new();
    for s in &sent {
        let runs: Vec<&&Arrival> = by_id
            .get(s.id.as_str())
            .map(|all| all.iter().filter(|a| a.refused == 0).collect())
            .unwrap_or_default();
        let once = s.kind == "post" || s.kind == "query";
        let label = if s.error.is_empty() {
            format!("{}{}", s.status, if s.whole { "" } else { " cut" })
        } else {
            s.error.clone()
        };
        *counts.entry((s.kind, label.clone())).or_default() += 1;
        record.note_at(
            s.at,
            format!(
                "{} {} router {} kept {} -> {label} after {} ms, runs {}",
                s.id,
                s.kind,
                s.router,
                s.kept,
                s.ended.duration_since(s.at).as_millis(),
                runs.len()
            ),
        );
        if once && runs.len() > 1 {
            record.fault(format!("TWICE {} {}", s.id, s.kind));
        }
        if runs.len() > 2 {
            record.fault(format!(
                "BUDGET {} {} on {} servers",
                s.id,
                s.kind,
                runs.len()
            ));
        }
        if once && [429, 503, 408, 421].contains(&s.status) && !runs.is_empty() {
            record.fault(format!("REFUSED {} {} {}", s.id, s.kind, s.status));
        }
        if (300..500).contains(&s.status) && ![408, 421, 429].contains(&s.status) {
            record.fault(format!("DENIED {} {}", s.id, s.status));
        }
        if (200..300).contains(&s.status) {
            let seal = s
                .headers
                .iter()
                .find(|(k, _)| k.eq_ignore_ascii_case("server-seal"))
                .map(|(_, v)| v.clone())
                .unwrap_or_default();
            if !seal.ends_with(&s.id) {
                record.fault(format!("MIXED {} seal {seal}", s.id));
            }
            let text = String::from_utf8_lossy(&s.body);
            if s.whole && (s.kind == "draft" || s.kind == "query") {
                let expected: String = (1..=events)
                    .map(|n| format!("id: {n}\ndata: {} {n}\n\n", s.id))
                    .collect();
                if text != expected {
                    record.fault(format!("ORDER {} {text}", s.id));
                }
            }
        }
        let lost = s.status == 0 && !s.error.starts_with("connect") || !s.whole && s.status != 0;
        let troubled = troubles
            .iter()
            .any(|(f, u, n)| *n == s.router && s.ended >= *f && s.at <= *u);
        if lost && !troubled && !kind.contains("break") {
            if !(s.kept && runs.is_empty() && s.status == 0 && s.error != "late") {
                record.fault(format!(
                    "LOST? {} {} router {} kept {} -> {label} after {} ms, runs {}",
                    s.id,
                    s.kind,
                    s.router,
                    s.kept,
                    s.ended.duration_since(s.at).as_millis(),
                    runs.len()
                ));
            }
        }
        if s.error == "late" && !troubled {
            record.fault(format!("HUNG {} {}", s.id, s.kind));
        }
    }
    record.flush();
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort();
    println!(
        "load {kind} {seed}: {} sent, faults {}; {counts:?}",
        sent.len(),
        record.broken.lock().unwrap().len()
    );
    let code = i32::from(!record.broken.lock().unwrap().is_empty());
    std::process::exit(code);
}
