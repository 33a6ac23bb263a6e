//! Exploration: an operator's order that had no answer reaches the core later than the orders that were acknowledged after it.
//! Arguments: how it is held up: `frozen` (the controller stands still; the operator closes its connection after a second of silence),
//! `frozen-open` (the operator leaves it open), `late` (the link holds its bytes up; its close comes 2 ms behind them).

use standin::config::{HOST, config};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn main() {
    let how = std::env::args().nth(1).unwrap_or("late".into());
    let held_ms: u64 = std::env::args()
        .nth(2)
        .and_then(|s| s.parse().ok())
        .unwrap_or(3500);
    let platform = Platform::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for z in ["lk-west-a", "lk-west-b", "lk-west-c"] {
        platform.add(Server::start(
            &format!("i-llm-{z}"),
            "kolam-llm",
            z,
            true,
            &arrivals,
        ));
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
    bring_up(&fleet, &config(1, &[])).expect("a fleet");
    let stop = Arc::new(AtomicBool::new(false));
    let mut traffic = vec![];
    for client in 0..30usize {
        let (fleet, stop) = (fleet.clone(), stop.clone());
        traffic.push(std::thread::spawn(move || {
            let mut n = client << 32;
            while !stop.load(SeqCst) {
                n += 1;
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", format!("{n:016x}")),
                    ("Time-Left", "1500".to_owned()),
                ];
                let router = [0, 1, 3, 4, 5][n % 5];
                let _ = call(
                    fleet.machines[router].at(INGRESS),
                    "POST",
                    &format!("/fetch/{n}"),
                    &headers,
                    b"page",
                    Duration::from_millis(1500),
                );
                std::thread::sleep(Duration::from_millis(40));
            }
        }));
    }
    let zone = "lk-west-a";
    let path = format!("/-/evacuations/{zone}");
    for struck in 0..3usize {
        let other = (struck + 1) % 3;
        let order = |method: &str| {
            fleet
                .order(other, method, &path, None, b"", Duration::from_secs(4))
                .map(|a| a.status)
        };
        println!("controller {struck}: POST {:?}", order("POST"));
        std::thread::sleep(Duration::from_millis(500));
        let bytes = request("DELETE", &path, &[("Host", "a".to_owned())], b"");
        let begun = Instant::now();
        let mut line = None;
        if how.starts_with("frozen") {
            fleet.signal(struck, Role::Controller, SIGSTOP);
            let mut opened = Line::open(fleet.machines[struck].at(ADMIN), Duration::from_secs(1))
                .expect("the kernel takes it");
            opened.send(&bytes).expect("sent");
            std::thread::sleep(Duration::from_millis(1000));
            if how == "frozen" {
                drop(opened);
            } else {
                line = Some(opened);
            }
        } else {
            std::thread::sleep(Duration::from_millis(1000));
        }
        println!(
            "  after a second of silence, elsewhere: DELETE {:?}",
            order("DELETE")
        );
        std::thread::sleep(Duration::from_millis(300));
        println!("  POST {:?}", order("POST"));
        let acknowledged = Instant::now();
        std::thread::sleep(
            (begun + Duration::from_millis(held_ms)).saturating_duration_since(Instant::now()),
        );
        if how.starts_with("frozen") {
            fleet.signal(struck, Role::Controller, SIGCONT);
        } else {
            let mut late =
                Line::open(fleet.machines[struck].at(ADMIN), Duration::from_secs(1)).expect("open");
            late.stream.write_all(&bytes).expect("sent");
            std::thread::sleep(Duration::from_millis(
                std::env::var("CLOSE_MS")
                    .ok()
                    .and_then(|s| s.parse().ok())
                    .unwrap_or(2),
            ));
            println!(
                "  its answer: {:?}",
                late.answer(Instant::now() + Duration::from_millis(5))
                    .map(|a| (a.status, a.text()))
            );
            late.close();
        }
        std::thread::sleep(
            (acknowledged + Duration::from_millis(9000)).saturating_duration_since(Instant::now()),
        );
        drop(line);
        let all = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.zone == zone && a.refused == 0)
            .count();
        println!(
            "  requests in {zone} so far: {all} of {}",
            arrivals.lock().unwrap().len()
        );
        let late = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|a| {
                a.zone == zone
                    && a.refused == 0
                    && a.at > acknowledged + Duration::from_millis(5000)
            })
            .count();
        println!(
            "  requests in {zone} later than 5 s after its evacuation was acknowledged: {late}"
        );
    }
    stop.store(true, SeqCst);
    for client in traffic {
        let _ = client.join();
    }
}
