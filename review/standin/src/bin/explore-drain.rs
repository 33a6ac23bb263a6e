//! Exploration: the router that reads the list for its zone stands still at the moment at which a server begins to drain.
//! It is a machine without a part in the core, so that all others stay in touch.

use standin::config::{HOST, config};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn main() {
    let trials: u64 = std::env::args()
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(8);
    let platform = Platform::start();
    let arrivals: Arc<Mutex<Vec<Arrival>>> = Arc::default();
    for z in ["lk-west-a", "lk-west-b", "lk-west-c"] {
        platform.add(Server::start(
            &format!("i-app-{z}"),
            "board-api",
            z,
            false,
            &arrivals,
        ));
    }
    let mut fleet = Fleet::new(3, 12, 3, platform.address);
    for machine in 0..3 {
        let [a, b, c, d] = fleet.machines[machine].ip.octets();
        fleet.machines[machine].ip = Ipv4Addr::new(a, b, c, d + 100);
    }
    let fleet = Arc::new(fleet);
    fleet.start_all(true);
    bring_up(&fleet, &config(1, &[])).expect("a fleet");
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    let sent: Arc<Mutex<std::collections::HashMap<String, usize>>> = Arc::default();
    let mut clients = vec![];
    for client in 0..45usize {
        let (fleet, stop, number, sent) =
            (fleet.clone(), stop.clone(), number.clone(), sent.clone());
        clients.push(std::thread::spawn(move || {
            // The zone's other members: 6, 9, 12, and 0.
            let router = [6, 9, 12][client % 3];
            while !stop.load(SeqCst) {
                let id = format!("{:016x}", number.fetch_add(1, SeqCst));
                sent.lock().unwrap().insert(id.clone(), router);
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", id),
                    ("Time-Left", "1500".to_owned()),
                ];
                let _ = call(
                    fleet.machines[router].at(INGRESS),
                    "POST",
                    "/fetch/x",
                    &headers,
                    b"page",
                    Duration::from_millis(1500),
                );
                std::thread::sleep(Duration::from_millis(60));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(8));
    let server = platform.servers()[0].clone();
    let id = server.id.lock().unwrap().clone();
    let collector = 3;
    for trial in 0..trials {
        let calls = platform.calls.load(SeqCst);
        while platform.calls.load(SeqCst) == calls {
            std::thread::sleep(Duration::from_millis(1));
        }
        // Some reader has just read the list, and tells its zone.
        std::thread::sleep(Duration::from_millis(30));
        server.draining.store(true, SeqCst);
        fleet.signal(collector, Role::Router, SIGSTOP);
        fleet.signal(collector, Role::Controller, SIGSTOP);
        let at = Instant::now();
        std::thread::sleep(Duration::from_millis(4000));
        let late: Vec<(usize, u128)> = arrivals
            .lock()
            .unwrap()
            .iter()
            .filter(|a| a.server == id && a.at > at && a.refused == 0)
            .map(|a| {
                (
                    sent.lock().unwrap().get(&a.id).copied().unwrap_or(99),
                    a.at.duration_since(at).as_millis(),
                )
            })
            .collect();
        let last = [6, 9, 12].map(|router| {
            late.iter()
                .filter(|(r, _)| *r == router)
                .map(|(_, ms)| *ms)
                .max()
        });
        println!(
            "trial {trial}: last arrival at the draining server from routers 6, 9, 12: {last:?} ms"
        );
        fleet.signal(collector, Role::Router, SIGCONT);
        fleet.signal(collector, Role::Controller, SIGCONT);
        server.draining.store(false, SeqCst);
        std::thread::sleep(Duration::from_millis(6000 + trial * 130));
    }
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
}
