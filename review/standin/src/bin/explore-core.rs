//! Exploration: a fleet whose core is struck at random, while operators change the configuration and read it back.
//! Arguments: the kind of trouble, a seed, seconds. What it saw stands in review/REPORT.md.

use standin::config::{config, revision_of, route};
use standin::fleet::*;
use standin::servers::*;
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

fn main() {
    let mut args = std::env::args().skip(1);
    let kind = args.next().unwrap_or("kill".into());
    let seed: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let seconds: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(40);
    let record = Arc::new(Record::create(
        &std::env::temp_dir().join(format!("explore-core-{kind}-{seed}.txt")),
    ));
    let platform = Platform::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    {
        let mut servers = platform.servers.lock().unwrap();
        for z in ["lk-west-a", "lk-west-b", "lk-west-c"] {
            for n in 0..2 {
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
    let mut fleet = Fleet::new(
        3,
        if kind.starts_with("replace") { 9 } else { 3 },
        3,
        platform.address,
    );
    for m in 6..fleet.machines.len() {
        fleet.machines[m].has_disk = true;
        fleet.machines[m].has_controller = false;
    }
    let fleet = Arc::new(fleet);
    for m in 0..6 {
        fleet.start(m, Role::Controller, true);
        fleet.start(m, Role::Router, true);
    }
    let first = fleet.order(
        0,
        "PUT",
        "/-/config",
        Some(0),
        config(1, &[]).as_bytes(),
        Duration::from_secs(15),
    );
    record.note(format!(
        "first {:?}",
        first.as_ref().map(|a| (a.status, a.text()))
    ));
    assert!(
        fleet.await_ready(&(0..6).collect::<Vec<_>>(), Duration::from_secs(20)),
        "not ready"
    );
    let stop = Arc::new(AtomicBool::new(false));
    // newest acked: (revision, when)
    let acked: Arc<Mutex<Vec<(u64, Instant)>>> = Arc::new(Mutex::new(vec![(1, Instant::now())]));
    let newest = Arc::new(AtomicU64::new(1));
    let mut threads = vec![];
    let bases: Arc<Mutex<std::collections::HashMap<u64, u64>>> = Arc::default();
    for who in 0..4u64 {
        let bases = bases.clone();
        let (fleet, stop, acked, record, newest) = (
            fleet.clone(),
            stop.clone(),
            acked.clone(),
            record.clone(),
            newest.clone(),
        );
        let large = kind.contains("big");
        threads.push(std::thread::spawn(move || {
            let mut rng = Rng(seed * 77 + who);
            while !stop.load(SeqCst) {
                let base = newest.load(SeqCst);
                let revision = base + 1 + rng.next(3);
                let count = if large { 400 } else { 3 };
                let more: Vec<String> = (0..count).map(|n| route(&format!("x-{revision}-{who}-{n}"), &format!("/x{n}-{who}-{revision}/"), "idempotent", "board-api", 1000, 300, 2, "")).collect();
                let (method, body) = if rng.next(2) == 0 {
                    ("PUT", config(revision, &more))
                } else {
                    ("PATCH", format!(r#"{{"revision":{revision},"upsert":{{"routes":[{}]}}}}"#, more.join(",")))
                };
                let from = rng.next(6) as usize;
                let began = Instant::now();
                let answer = fleet.order(from, method, "/-/config", Some(base), body.as_bytes(), Duration::from_secs(20));
                let (status, text) = answer.as_ref().map(|a| (a.status, a.text())).unwrap_or_else(|e| (0, e.clone()));
                record.note(format!("op{who} {method} {revision} on {base} -> {status} {} after {} ms", &text[..text.len().min(120)], began.elapsed().as_millis()));
                if status == 200 {
                    let mut all = acked.lock().unwrap();
                    all.push((revision, Instant::now()));
                    record.note(format!("ACK {revision} base {base} by {who}"));
                    if let Some(other) = bases.lock().unwrap().insert(base, revision) { record.fault(format!("two changes on {base}: {other} and {revision}")); }
                    newest.fetch_max(revision, SeqCst);
                    drop(all);
                    if rng.next(3) == 0 {
                        // the same once more
                        let again = fleet.order(from + 1, method, "/-/config", Some(base), body.as_bytes(), Duration::from_secs(20));
                        let status = again.as_ref().map(|a| a.status).unwrap_or(0);
                        record.note(format!("op{who} again {revision} -> {status}"));
                        if (400..500).contains(&status) {
                            record.fault(format!("revision {revision} was acknowledged and refused on repeat: {status}"));
                        }
                    }
                } else {
                    // learn the newest
                    if let Ok(answer) = fleet.order(from, "GET", "/-/config", None, b"", Duration::from_secs(3))
                        && answer.status == 200
                        && let Some(read) = revision_of(&answer.text())
                    {
                        newest.fetch_max(read, SeqCst);
                    }
                }
                std::thread::sleep(Duration::from_millis(rng.next(300)));
            }
        }));
    }
    {
        let (fleet, stop, acked, record) =
            (fleet.clone(), stop.clone(), acked.clone(), record.clone());
        threads.push(std::thread::spawn(move || {
            let mut rng = Rng(seed * 99);
            while !stop.load(SeqCst) {
                let n = rng.next(3) as usize;
                let sent = Instant::now();
                let must = acked
                    .lock()
                    .unwrap()
                    .iter()
                    .filter(|(_, at)| sent.duration_since(*at) > Duration::from_millis(2000))
                    .map(|(r, _)| *r)
                    .max()
                    .unwrap_or(0);
                if let Ok(answer) = fleet.admin(n, "GET", "/-/config", None, b"")
                    && answer.status == 200
                {
                    let read = revision_of(&answer.text()).unwrap_or(0);
                    if read < must {
                        record.fault(format!(
                            "node {n} read {read}, acknowledged long ago {must}"
                        ));
                    }
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }
    let mut rng = Rng(seed);
    let (mut core, mut next_old, mut next_new) = (vec![0usize, 1, 2], 0usize, 6usize);
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        let n = rng.next(3) as usize;
        match kind.trim_end_matches("big") {
            "kill" => {
                std::thread::sleep(Duration::from_millis(300 + rng.next(2500)));
                record.note(format!("kill {n}"));
                fleet.kill(n, Role::Controller);
                std::thread::sleep(Duration::from_millis(rng.next(1500)));
                fleet.start(n, Role::Controller, false);
            }
            "herd" => {
                std::thread::sleep(Duration::from_millis(300 + rng.next(4000)));
                record.note("kill all controllers");
                for n in 0..3 {
                    fleet.signal(n, Role::Controller, SIGKILL);
                }
                for n in 0..3 {
                    fleet.wait_end(n, Role::Controller, Duration::from_secs(5));
                }
                std::thread::sleep(Duration::from_millis(rng.next(1000)));
                for n in 0..3 {
                    fleet.start(n, Role::Controller, false);
                }
            }
            "wipe" => {
                let n = (rng.next(2) as usize + n) % 3;
                record.note(format!("wipe {n}"));
                fleet.kill(n, Role::Controller);
                fleet.wipe(n);
                std::thread::sleep(Duration::from_millis(rng.next(600)));
                fleet.start(n, Role::Controller, false);
                std::thread::sleep(Duration::from_millis(4000));
            }
            "stop" => {
                std::thread::sleep(Duration::from_millis(300 + rng.next(2500)));
                record.note(format!("stop {n}"));
                fleet.signal(n, Role::Controller, SIGSTOP);
                fleet.signal(n, Role::Router, SIGSTOP);
                std::thread::sleep(Duration::from_millis(200 + rng.next(5000)));
                fleet.signal(n, Role::Controller, SIGCONT);
                fleet.signal(n, Role::Router, SIGCONT);
            }
            "blink" => {
                std::thread::sleep(Duration::from_millis(100 + rng.next(900)));
                record.note(format!("blink {n}"));
                fleet.signal(n, Role::Controller, SIGSTOP);
                std::thread::sleep(Duration::from_millis(500 + rng.next(1300)));
                fleet.signal(n, Role::Controller, SIGCONT);
            }
            "killwipe" => {
                // one is away for long; back for 4 s; then another loses its disk
                record.note(format!("kill {n}"));
                fleet.kill(n, Role::Controller);
                std::thread::sleep(Duration::from_millis(1000 + rng.next(5000)));
                fleet.start(n, Role::Controller, false);
                std::thread::sleep(Duration::from_millis(4000));
                let other = (n + 1 + rng.next(2) as usize) % 3;
                record.note(format!("wipe {other}"));
                fleet.kill(other, Role::Controller);
                fleet.wipe(other);
                std::thread::sleep(Duration::from_millis(rng.next(1500)));
                fleet.start(other, Role::Controller, false);
                std::thread::sleep(Duration::from_millis(4000));
            }
            "herdwipe" => {
                // all processes of the core are killed, one with its disk
                std::thread::sleep(Duration::from_millis(500 + rng.next(3000)));
                record.note(format!("kill all, wipe {n}"));
                for m in 0..3 {
                    fleet.signal(m, Role::Controller, SIGKILL);
                }
                for m in 0..3 {
                    fleet.wait_end(m, Role::Controller, Duration::from_secs(5));
                }
                fleet.wipe(n);
                let first = rng.next(3) as usize;
                for m in 0..3 {
                    fleet.start((first + m) % 3, Role::Controller, false);
                    std::thread::sleep(Duration::from_millis(rng.next(700)));
                }
                std::thread::sleep(Duration::from_millis(4500 + rng.next(1000)));
            }
            "replace" => {
                // a machine of the core is removed, and another added
                let old = core[next_old % core.len()];
                let new = next_new;
                if new < 12 {
                    record.note(format!("replace {old} by {new}"));
                    if rng.next(2) == 0 {
                        fleet.kill(old, Role::Controller);
                    } else {
                        fleet.signal(old, Role::Controller, SIGTERM);
                        fleet.wait_end(old, Role::Controller, Duration::from_secs(8));
                    }
                    std::thread::sleep(Duration::from_millis(rng.next(1500)));
                    core[next_old % 3] = new;
                    *fleet.seeds.lock().unwrap() = core.clone();
                    for m in 0..6 {
                        fleet.write_boot(m, Role::Router, false);
                        if m >= 3 {
                            fleet.write_boot(m, Role::Controller, false);
                        }
                    }
                    fleet.start(new, Role::Controller, false);
                    next_old += 1;
                    next_new += 1;
                    std::thread::sleep(Duration::from_millis(4500 + rng.next(1500)));
                } else {
                    std::thread::sleep(Duration::from_millis(500));
                }
            }
            "killall" => {
                std::thread::sleep(Duration::from_millis(500 + rng.next(3000)));
                record.note("kill all processes");
                for m in 0..6 {
                    fleet.signal(m, Role::Controller, SIGKILL);
                    fleet.signal(m, Role::Router, SIGKILL);
                }
                for m in 0..6 {
                    fleet.wait_end(m, Role::Controller, Duration::from_secs(5));
                    fleet.wait_end(m, Role::Router, Duration::from_secs(5));
                }
                std::thread::sleep(Duration::from_millis(rng.next(1000)));
                for m in 0..6 {
                    fleet.start(m, Role::Controller, false);
                    fleet.start(m, Role::Router, false);
                }
                let began = Instant::now();
                let ok = fleet.await_ready(&[0, 1, 2, 3, 4, 5], Duration::from_secs(12));
                record.note(format!("ready {ok} after {:?}", began.elapsed()));
                if !ok {
                    record.fault("not ready 12 s after all were killed");
                }
            }
            "stopall" => {
                std::thread::sleep(Duration::from_millis(500 + rng.next(2000)));
                record.note("stop all of the core");
                for m in 0..3 {
                    fleet.signal(m, Role::Controller, SIGSTOP);
                    if rng.next(2) == 0 {
                        fleet.signal(m, Role::Router, SIGSTOP);
                    }
                }
                std::thread::sleep(Duration::from_millis(500 + rng.next(5000)));
                for m in 0..3 {
                    fleet.signal(m, Role::Controller, SIGCONT);
                    fleet.signal(m, Role::Router, SIGCONT);
                    std::thread::sleep(Duration::from_millis(rng.next(400)));
                }
                let ok = fleet.await_ready(&[0, 1, 2, 3, 4, 5], Duration::from_secs(12));
                if !ok {
                    record.fault("not ready 12 s after all were thawed");
                }
            }
            "overlap" => {
                let other = (n + 1 + rng.next(2) as usize) % 3;
                record.note(format!("stop {n}, then {other}"));
                fleet.signal(n, Role::Controller, SIGSTOP);
                std::thread::sleep(Duration::from_millis(rng.next(3000)));
                fleet.signal(other, Role::Controller, SIGSTOP);
                std::thread::sleep(Duration::from_millis(rng.next(1500)));
                fleet.signal(n, Role::Controller, SIGCONT);
                std::thread::sleep(Duration::from_millis(rng.next(3000)));
                fleet.signal(other, Role::Controller, SIGCONT);
                std::thread::sleep(Duration::from_millis(rng.next(1000)));
            }
            "term" => {
                record.note(format!("term {n}"));
                fleet.signal(n, Role::Controller, SIGTERM);
                let (code, ended) = fleet.wait_end(n, Role::Controller, Duration::from_secs(8));
                record.note(format!("term {n} ended {code:?} {ended}"));
                if !ended || code != Some(0) {
                    record.fault(format!("controller {n} at SIGTERM: {code:?} {ended}"));
                }
                std::thread::sleep(Duration::from_millis(rng.next(1000)));
                fleet.start(n, Role::Controller, false);
                std::thread::sleep(Duration::from_millis(1000 + rng.next(1500)));
            }
            _ => std::thread::sleep(Duration::from_millis(500)),
        }
        for ended in fleet.ended() {
            record.fault(ended);
        }
    }
    stop.store(true, SeqCst);
    for thread in threads {
        thread.join().unwrap();
    }
    std::thread::sleep(Duration::from_secs(3));
    let must = acked
        .lock()
        .unwrap()
        .iter()
        .map(|(r, _)| *r)
        .max()
        .unwrap_or(0);
    let count = acked.lock().unwrap().len();
    let mut read = None;
    let end = Instant::now() + Duration::from_secs(15);
    while read.is_none() && Instant::now() < end {
        read = fleet
            .order(0, "GET", "/-/config", None, b"", Duration::from_secs(5))
            .ok()
            .filter(|a| a.status == 200)
            .and_then(|a| revision_of(&a.text()));
    }
    if read.is_none_or(|read| read < must) {
        record.fault(format!("read back {read:?}, acknowledged {must}"));
    }
    record.flush();
    println!(
        "{kind} {seed}: {count} acknowledged, newest {must}, read {read:?}, faults {}",
        record.broken.lock().unwrap().len()
    );
    let code = i32::from(!record.broken.lock().unwrap().is_empty());
    drop(fleet);
    std::process::exit(code);
}
