//! EVAC: an order that an operator had acknowledged elsewhere is applied once more, after the opposite one was acknowledged.

use standin::config::{HOST, config};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long a machine of the core stands still.
const FROZEN: Duration = Duration::from_millis(5000);
/// An operator goes on to another node after a second of silence.
const SILENCE: Duration = Duration::from_millis(1000);
/// `evacuate_ms`, and `stretch_ms` for the core that is not settled meanwhile.
const BOUND: Duration = Duration::from_millis(5000 + 5000);
/// `contact_ms`: so long after the last trouble all machines are in touch.
const CONTACT: Duration = Duration::from_millis(3000);

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&folder.join("record.txt")));
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
    if let Err(why) = bring_up(&fleet, &config(1, &[])) {
        record.note(format!("the fleet did not start: {why}"));
        record.flush();
        drop(fleet);
        std::process::exit(2);
    }
    let (frozen, other) = (1, 2);
    let stop = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(1));
    let mut clients = vec![];
    for client in 0..30usize {
        let (fleet, stop, number, record) =
            (fleet.clone(), stop.clone(), number.clone(), record.clone());
        clients.push(std::thread::spawn(move || {
            let router = [0, 2, 3, 4, 5][client % 5];
            while !stop.load(SeqCst) {
                let n = number.fetch_add(1, SeqCst);
                let at = Instant::now();
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Attempt-Id", format!("{n:016x}")),
                    ("Time-Left", "1500".to_owned()),
                ];
                let answer = call(
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
                        "client {n:016x} at router {router}: {:?}",
                        answer.map(|a| a.status)
                    ),
                );
                std::thread::sleep(Duration::from_millis(150));
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(3));
    let zone = "lk-west-a";
    let path = format!("/-/evacuations/{zone}");
    let order = |method: &str| {
        let answer = fleet
            .order(other, method, &path, None, b"", Duration::from_millis(4000))
            .map(|a| a.status);
        record.note(format!(
            "operator: {method} {path} at the others: {answer:?}"
        ));
        answer == Ok(200)
    };
    let mut is_fit = order("POST");
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        record.note(format!("machine {frozen} stands still"));
        fleet.signal(frozen, Role::Controller, SIGSTOP);
        fleet.signal(frozen, Role::Router, SIGSTOP);
    }
    let begun = Instant::now();
    let mut line = Line::open(fleet.machines[frozen].at(ADMIN), SILENCE)
        .expect("the machine's kernel takes it");
    line.send(&request(
        "DELETE",
        &path,
        &[("Host", fleet.machines[frozen].at(ADMIN).to_string())],
        b"",
    ))
    .expect("sent");
    let first = line.answer(Instant::now() + SILENCE).map(|a| a.status);
    record.note(format!(
        "operator: DELETE {path} at machine {frozen}: {first:?}"
    ));
    if first != Ok(200) {
        is_fit &= order("DELETE");
    }
    is_fit &= order("POST");
    let acknowledged = Instant::now();
    is_fit &= begun.elapsed() < FROZEN || !trouble;
    if trouble {
        std::thread::sleep((begun + FROZEN).saturating_duration_since(Instant::now()));
        fleet.signal(frozen, Role::Controller, SIGCONT);
        fleet.signal(frozen, Role::Router, SIGCONT);
        record.note(format!("machine {frozen} goes on"));
        let late = line
            .answer(Instant::now() + Duration::from_millis(1500))
            .map(|a| a.status);
        record.note(format!(
            "machine {frozen} answers the operator's first DELETE: {late:?}"
        ));
    }
    let from = (acknowledged + BOUND).max(Instant::now() + CONTACT);
    std::thread::sleep(
        (from + Duration::from_millis(4000)).saturating_duration_since(Instant::now()),
    );
    stop.store(true, SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let all = arrivals.lock().unwrap().clone();
    for a in &all {
        record.note_at(
            a.at,
            format!("server {} in {} got {}", a.server, a.zone, a.id),
        );
    }
    let late = all
        .iter()
        .filter(|a| a.zone == zone && a.refused != 421 && a.at > from)
        .count();
    let elsewhere = all.iter().filter(|a| a.zone != zone && a.at > from).count();
    println!(
        "in {zone} later than evacuate_ms + stretch_ms after its evacuation was acknowledged: {late} requests; elsewhere {elsewhere}"
    );
    if late > 0 {
        record.fault(format!("EVAC: {late} requests reached {zone}, whose evacuation is the operator's last order and was acknowledged"));
    }
    record.flush();
    drop(fleet);
    std::process::exit(if late > 0 {
        1
    } else if is_fit {
        0
    } else {
        2
    });
}
