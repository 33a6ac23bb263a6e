//! LOST: a router that was told to stop cuts streams whose server is silent for two seconds.

use standin::config::{HOST, config};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STREAMS: u64 = 4;
const EVENTS: u64 = 64;
/// Behind this event a server puts the request back: silence for so long, and then the rest.
const PAUSE: (u64, u64) = (40, 2200);
const GRACE: Duration = Duration::from_secs(8);

fn draft(id: &str, n: u64) -> Vec<u8> {
    let headers = [
        ("Host", HOST.to_owned()),
        ("Attempt-Id", id.to_owned()),
        ("Time-Left", "15000".to_owned()),
        ("Model", "m".to_owned()),
        ("Token-Count", "11992,384".to_owned()),
        ("Prompt-Prefix", format!("d{n:03x}:5382,{n:x}:6610")),
    ];
    request("POST", &format!("/draft/{n}"), &headers, b"minutes")
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let platform = Platform::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let zones = ["lk-west-a", "lk-west-b", "lk-west-c"];
    for z in zones {
        for n in 0..3 {
            let server = Server::start(&format!("i-llm-{z}-{n}"), "kolam-llm", z, true, &arrivals);
            {
                let mut manner = server.manner.lock().unwrap();
                (manner.events, manner.gap_ms, manner.pause_at) = (EVENTS, 60, Some(PAUSE));
            }
            platform.add(server);
        }
        platform.add(Server::start(
            &format!("i-app-{z}"),
            "board-api",
            z,
            false,
            &arrivals,
        ));
    }
    let fleet = Arc::new(Fleet::new(3, 3, 3, platform.address));
    fleet.start_all(true);
    let count = fleet.machines.len();
    if let Err(why) = bring_up(&fleet, &config(1, &[])) {
        record.note(format!("the fleet did not start: {why}"));
        record.flush();
        drop(fleet);
        std::process::exit(2);
    }
    // The platform asks each node each second, and hands clients to those that answered one of the last two times.
    let stop = Arc::new(AtomicBool::new(false));
    let taken_in: Arc<Mutex<Vec<bool>>> = Arc::new(Mutex::new(vec![true; count]));
    let mut threads = vec![];
    for n in 0..count {
        let (fleet, stop, taken_in, record) = (
            fleet.clone(),
            stop.clone(),
            taken_in.clone(),
            record.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(SeqCst) {
                misses = if fleet.is_ready(n) { 0 } else { misses + 1 };
                if misses == 2 {
                    record.note(format!("router {n} is out: two misses"));
                }
                taken_in.lock().unwrap()[n] = misses < 2;
                std::thread::sleep(Duration::from_secs(1));
            }
        }));
    }
    let number = Arc::new(AtomicU64::new(1000));
    {
        // Other clients' short requests, some each second at each node that is in.
        let (fleet, stop, taken_in, record) = (
            fleet.clone(),
            stop.clone(),
            taken_in.clone(),
            record.clone(),
        );
        threads.push(std::thread::spawn(move || {
            while !stop.load(SeqCst) {
                let n = number.fetch_add(1, SeqCst);
                let router = n as usize % count;
                if taken_in.lock().unwrap()[router] {
                    let at = Instant::now();
                    let headers = [
                        ("Host", HOST.to_owned()),
                        ("Attempt-Id", format!("{n:016x}")),
                        ("Time-Left", "1500".to_owned()),
                    ];
                    let outcome = call(
                        fleet.machines[router].at(INGRESS),
                        "POST",
                        &format!("/fetch/{n}"),
                        &headers,
                        b"page",
                        Duration::from_millis(1500),
                    );
                    record.note_at(
                        at,
                        format!(
                            "client {n:016x} fetch at router {router}: {:?}",
                            outcome.map(|a| a.status)
                        ),
                    );
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    // A router repeats nothing in its first `retry_window_s`.
    std::thread::sleep(Duration::from_secs(14));
    let leaving = 4;
    let mut streams = vec![];
    for n in 1..=STREAMS {
        let (fleet, record) = (fleet.clone(), record.clone());
        streams.push(std::thread::spawn(move || {
            let id = format!("{n:016x}");
            let at = Instant::now();
            let outcome = Line::open(fleet.machines[leaving].at(INGRESS), Duration::from_secs(1)).and_then(|mut line| {
                line.send(&draft(&id, n))?;
                line.answer(at + Duration::from_secs(15))
            });
            let ended = Instant::now();
            let (status, whole, events) = match &outcome {
                Ok(a) => (a.status, a.whole, a.text().matches("id: ").count() as u64),
                Err(_) => (0, false, 0),
            };
            record.note_at(at, format!("client {id} draft sent to router {leaving}"));
            record.note_at(ended, format!("client {id} draft: status {status}, {events} events, whole {whole}, after {} ms {}", (ended - at).as_millis(), outcome.err().unwrap_or_default()));
            (id, at, ended, status, whole, events)
        }));
    }
    std::thread::sleep(Duration::from_millis(300));
    let told = Instant::now();
    if trouble {
        record.note(format!("SIGTERM to router {leaving}"));
        fleet.signal(leaving, Role::Router, SIGTERM);
        let (code, ended) = fleet.wait_end(leaving, Role::Router, GRACE);
        record.note(format!(
            "router {leaving} ended in time: {ended}, exit code {code:?}"
        ));
    }
    let outcomes: Vec<_> = streams.into_iter().map(|s| s.join().unwrap()).collect();
    std::thread::sleep(Duration::from_millis(500));
    stop.store(true, SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for a in arrivals.lock().unwrap().iter() {
        record.note_at(
            a.at,
            format!(
                "server {} got {} {}{}",
                a.server,
                a.id,
                a.target,
                a.header("last-event-id")
                    .map(|v| format!(", Last-Event-Id {v}"))
                    .unwrap_or_default()
            ),
        );
    }
    let mut lost = 0;
    for (id, _, ended, status, whole, events) in &outcomes {
        if *whole && (*status != 200 || *events == EVENTS) {
            continue;
        }
        lost += 1;
        println!(
            "{id}: status {status}, {events} of {EVENTS} events, cut {} ms after SIGTERM",
            ended.saturating_duration_since(told).as_millis()
        );
    }
    if lost > 0 {
        record.fault(format!("LOST: {lost} of {STREAMS} streams were cut by the router that had read them and passed them on; no server broke off"));
    }
    println!("{} streams whole, {lost} cut", outcomes.len() - lost);
    record.flush();
    let code = i32::from(lost > 0);
    drop(fleet);
    std::process::exit(code);
}
