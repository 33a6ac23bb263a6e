//! FAILBACK: a zone is evacuated and taken back, its servers having become cold shortly before.

use standin::config::{HOST, config};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Of the sheet: what the machines' clients send together, in a second.
const DRAFTS_PER_S: f64 = 16.2;
const QUERIES_PER_S: f64 = 75.2;
const FETCHES_PER_S: f64 = 22.8;
/// The traffic jumps (`burst`) to so many times that.
const BURST: f64 = 1.5;
const MODEL_SERVERS_IN_A_ZONE: usize = 2;
/// `warmup_per_s` x `warmup_excess` + `warmup_tolerance`.
const BOUND: usize = 35;
/// Of the backend: `warmup_s`.
const COLD_MS: u64 = 3000;
/// Of the settings: `max_lag_ms`.
const LAG_MS: u64 = 800;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&folder.join("record.txt")));
    let platform = Platform::start_lagging(LAG_MS);
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    let zones = ["lk-west-a", "lk-west-b", "lk-west-c"];
    for z in zones {
        for n in 0..MODEL_SERVERS_IN_A_ZONE {
            let server = Server::start(&format!("i-llm-{z}-{n}"), "kolam-llm", z, true, &arrivals);
            server.reads.store(true, SeqCst);
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
    let fleet = Arc::new(Fleet::new(3, 8, 3, platform.address));
    fleet.start_all(true);
    let count = fleet.machines.len();
    if let Err(why) = bring_up(&fleet, &config(1, &[])) {
        record.note(format!("the fleet did not start: {why}"));
        record.flush();
        drop(fleet);
        std::process::exit(2);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    let answers: Arc<Mutex<std::collections::BTreeMap<String, usize>>> = Arc::default();
    // Clients arrive at even rates, each on a connection of its own.
    let mut threads = vec![];
    for (kind, per_s) in [
        ("draft", DRAFTS_PER_S),
        ("query", QUERIES_PER_S),
        ("fetch", FETCHES_PER_S),
    ] {
        let (fleet, stop, number, answers, record) = (
            fleet.clone(),
            stop.clone(),
            number.clone(),
            answers.clone(),
            record.clone(),
        );
        threads.push(std::thread::spawn(move || {
            let begun = Instant::now();
            let mut sent = 0u64;
            while !stop.load(SeqCst) {
                let due = begun + Duration::from_secs_f64(sent as f64 / per_s / BURST);
                std::thread::sleep(due.saturating_duration_since(Instant::now()));
                sent += 1;
                let n = number.fetch_add(1, SeqCst);
                let (fleet, answers, record) = (fleet.clone(), answers.clone(), record.clone());
                std::thread::spawn(move || {
                    let id = format!("{n:016x}");
                    let router = (n.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 40) as usize % count;
                    let left: u64 = match kind {
                        "draft" => 15000,
                        "query" => 3000,
                        _ => 1500,
                    };
                    let mut headers = vec![
                        ("Host", HOST.to_owned()),
                        ("Attempt-Id", id.clone()),
                        ("Time-Left", left.to_string()),
                    ];
                    let (shared, own, events) = if kind == "draft" {
                        (5382, 6610, 64 * 6)
                    } else {
                        (568, 1800, 4 * 6)
                    };
                    if kind != "fetch" {
                        headers.extend([
                            ("Model", "m".to_owned()),
                            ("Token-Count", format!("{},{events}", shared + own)),
                            ("Prompt-Prefix", format!("d{n:x}:{shared},e{n:x}:{own}")),
                        ]);
                    }
                    let at = Instant::now();
                    let outcome =
                        Line::open(fleet.machines[router].at(INGRESS), Duration::from_secs(1))
                            .and_then(|mut line| {
                                line.send(&request(
                                    "POST",
                                    &format!("/{kind}/{n}"),
                                    &headers,
                                    b"minutes",
                                ))?;
                                line.answer(at + Duration::from_millis(left))
                            });
                    let label = match outcome {
                        Ok(a) => format!("{kind} {}", a.status),
                        Err(e) => format!("{kind} {e}"),
                    };
                    record.note_at(
                        at,
                        format!("client {id} {label} after {} ms", at.elapsed().as_millis()),
                    );
                    *answers.lock().unwrap().entry(label).or_default() += 1;
                });
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    let zone = zones[0];
    let mut cold: Vec<(Arc<Server>, Instant)> = vec![];
    let mut back = Instant::now();
    if trouble {
        let gone = fleet.order(
            0,
            "POST",
            &format!("/-/evacuations/{zone}"),
            None,
            b"",
            Duration::from_secs(5),
        );
        record.note(format!(
            "evacuation of {zone}: {:?}",
            gone.map(|a| a.status)
        ));
        std::thread::sleep(Duration::from_secs(8));
        for server in platform
            .servers()
            .into_iter()
            .filter(|s| s.is_stream && s.zone == zone)
        {
            server.cool(COLD_MS);
            record.note(format!(
                "{} is cold for {COLD_MS} ms",
                server.id.lock().unwrap()
            ));
            cold.push((server, Instant::now()));
        }
        std::thread::sleep(Duration::from_millis(200));
        let returned = fleet.order(
            1,
            "DELETE",
            &format!("/-/evacuations/{zone}"),
            None,
            b"",
            Duration::from_secs(5),
        );
        back = Instant::now();
        record.note(format!(
            "{zone} is taken back: {:?}",
            returned.map(|a| a.status)
        ));
    }
    std::thread::sleep(Duration::from_secs(5));
    stop.store(true, SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    std::thread::sleep(Duration::from_secs(4));
    let arrivals = arrivals.lock().unwrap().clone();
    for a in &arrivals {
        record.note_at(
            a.at,
            format!(
                "server {} got {} ({})",
                a.server,
                a.id,
                if a.refused == 0 {
                    "ran".into()
                } else {
                    a.refused.to_string()
                }
            ),
        );
    }
    for (server, since) in &cold {
        let id = server.id.lock().unwrap().clone();
        let times: Vec<Instant> = arrivals
            .iter()
            .filter(|a| {
                a.server == id
                    && a.refused != 421
                    && a.at >= *since
                    && a.at < *since + Duration::from_millis(COLD_MS)
            })
            .map(|a| a.at)
            .collect();
        let (most, from) = times
            .iter()
            .map(|x| {
                (
                    times
                        .iter()
                        .filter(|y| *y >= x && y.duration_since(*x) < Duration::from_secs(1))
                        .count(),
                    *x,
                )
            })
            .max_by_key(|(most, _)| *most)
            .unwrap_or((0, *since));
        record.note_at(
            from,
            format!(
                "cold {id}: {} in all, {most} in the second that begins here",
                times.len()
            ),
        );
        println!(
            "cold {id}: {} in all, {most} in a second, from {} ms after it was taken back",
            times.len(),
            from.saturating_duration_since(back).as_millis()
        );
        if most > BOUND {
            record.fault(format!("FAILBACK: the cold server {id} got {most} requests in one second; {BOUND} are allowed"));
        }
    }
    record.note(format!("answers: {:?}", answers.lock().unwrap()));
    println!("{:?}", answers.lock().unwrap());
    record.flush();
    let code = i32::from(!record.broken.lock().unwrap().is_empty());
    drop(fleet);
    std::process::exit(code);
}
