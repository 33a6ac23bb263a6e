//! LOST: a configuration that moves a route cuts running streams whose server is silent for two seconds.

use standin::config::{BACKENDS, HOST, config, route};
use standin::fleet::*;
use standin::net::*;
use standin::servers::*;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const STREAMS: u64 = 4;
const EVENTS: u64 = 64;
/// Behind this event a server puts the request back: silence for so long, and then the rest.
const PAUSE: (u64, u64) = (40, 2200);

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

/// The first configuration: it has the service to which the route is moved later.
fn two_services() -> String {
    let (model, others) = BACKENDS.split_once(",{").expect("two services");
    config(1, &[]).replace(
        BACKENDS,
        &format!(
            "{model},{},{{{others}",
            model.replace("kolam-llm", "kolam-next")
        ),
    )
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
    if let Err(why) = bring_up(&fleet, &two_services()) {
        record.note(format!("the fleet did not start: {why}"));
        record.flush();
        drop(fleet);
        std::process::exit(2);
    }
    // A router repeats nothing in its first `retry_window_s`.
    std::thread::sleep(Duration::from_secs(14));
    let router = 4;
    let calm = play(&fleet, &record, router, 0, None);
    record.note("the same streams with a change of the configuration");
    std::thread::sleep(Duration::from_secs(11));
    let draft = route(
        "r-draft",
        "/draft/",
        "streaming",
        "kolam-next",
        15000,
        800,
        2,
        r#","affinity":true,"resumable":true,"gap_target_ms":400"#,
    );
    let change = format!(r#"{{"revision":2,"upsert":{{"routes":[{draft}]}}}}"#);
    let struck = play(&fleet, &record, router, 100, trouble.then_some(change));
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
    println!("cut: {calm} of {STREAMS} in the calm, {struck} of {STREAMS} beside the change");
    // Beside a configuration it counts if requests are cut over three times as often as at other times.
    if struck > 3 * calm {
        record.fault(format!(
            "LOST: beside a configuration {struck} of {STREAMS} streams were cut by the router that had read them and passed them on, in the calm {calm}; no server broke off"
        ));
    }
    record.flush();
    let code = i32::from(!record.broken.lock().unwrap().is_empty());
    drop(fleet);
    std::process::exit(code);
}

/// Sends the streams; a change of the configuration follows while they run. How many were cut.
fn play(
    fleet: &Arc<Fleet>,
    record: &Arc<Record>,
    router: usize,
    from: u64,
    change: Option<String>,
) -> u64 {
    let mut streams = vec![];
    for n in from + 1..=from + STREAMS {
        let (fleet, record) = (fleet.clone(), record.clone());
        streams.push(std::thread::spawn(move || {
            let id = format!("{n:016x}");
            let at = Instant::now();
            let outcome = Line::open(fleet.machines[router].at(INGRESS), Duration::from_secs(1)).and_then(|mut line| {
                line.send(&draft(&id, n))?;
                line.answer(at + Duration::from_secs(15))
            });
            let ended = Instant::now();
            let (status, whole, events) = match &outcome {
                Ok(a) => (a.status, a.whole, a.text().matches("id: ").count() as u64),
                Err(_) => (0, false, 0),
            };
            record.note_at(at, format!("client {id} draft sent to router {router}"));
            record.note_at(ended, format!("client {id} draft: status {status}, {events} events, whole {whole}, after {} ms", (ended - at).as_millis()));
            u64::from(!whole || (status == 200 && events != EVENTS))
        }));
    }
    std::thread::sleep(Duration::from_millis(2500));
    if let Some(change) = change {
        let answer = fleet.order(
            0,
            "PATCH",
            "/-/config",
            Some(1),
            change.as_bytes(),
            Duration::from_secs(4),
        );
        record.note(format!(
            "configuration 2 moves the route to another service: {:?}",
            answer.map(|a| a.status)
        ));
    }
    streams
        .into_iter()
        .map(|stream| stream.join().unwrap())
        .sum()
}
