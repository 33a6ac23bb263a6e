//! Fault: a controller that is told SIGHUP while it opens its data folder ends.

use standin::config::{config, route};
use standin::fleet::*;
use standin::net::call;
use standin::servers::*;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// The core's machines are stopped and started in turn, so often.
const ROUNDS: usize = 3;
/// How long after its start a process is told that its settings file has changed.
const AFTER: Duration = Duration::from_millis(2);
/// Configurations before that, each with as many routes as `big_config` adds: the log of a day.
const CHANGES: u64 = 100;

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".into()));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(&folder.join("record.txt"));
    let platform = Platform::start();
    let fleet = Fleet::new(3, 3, 3, platform.address);
    fleet.start_all(true);
    if let Err(why) = bring_up(&fleet, &config(1, &[])) {
        record.note(format!("the fleet did not start: {why}"));
        record.flush();
        drop(fleet);
        std::process::exit(2);
    }
    for revision in 2..=CHANGES {
        let more: Vec<String> = (0..350)
            .map(|n| {
                route(
                    &format!("x-{revision}-{n}"),
                    &format!("/x{n}-{revision}/"),
                    "idempotent",
                    "board-api",
                    1000,
                    300,
                    2,
                    "",
                )
            })
            .collect();
        let answer = fleet.order(
            0,
            "PUT",
            "/-/config",
            Some(revision - 1),
            config(revision, &more).as_bytes(),
            Duration::from_secs(10),
        );
        record.note(format!(
            "configuration {revision}: {:?}",
            answer.map(|a| a.status)
        ));
    }
    let serves = |machine: usize| {
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            let asked = call(
                fleet.machines[machine].at(ADMIN),
                "GET",
                "/-/readyz",
                &[("Host", "a".into())],
                b"",
                Duration::from_millis(500),
            );
            if asked.is_ok_and(|a| a.status == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    };
    let mut ends = [0; 3];
    for round in 1..=ROUNDS {
        for machine in 0..3 {
            fleet.signal(machine, Role::Controller, SIGTERM);
            let stopped = fleet.wait_end(machine, Role::Controller, Duration::from_secs(8));
            record.note(format!(
                "round {round}: controller {machine} was stopped: {stopped:?}; it is started"
            ));
            fleet.start(machine, Role::Controller, false);
            if trouble {
                std::thread::sleep(AFTER);
                record.note(format!("SIGHUP to controller {machine}"));
                fleet.signal(machine, Role::Controller, SIGHUP);
            }
            let (code, has_ended) =
                fleet.wait_end(machine, Role::Controller, Duration::from_millis(500));
            if has_ended {
                ends[machine] += 1;
                record.note(format!("controller {machine} has ended, exit code {code:?} (none: by a signal); it is started again"));
                fleet.start(machine, Role::Controller, false);
            }
            record.note(format!("controller {machine} serves: {}", serves(machine)));
        }
    }
    println!("ends by themselves of the three controllers: {ends:?}");
    // The rule: on half of the core, processes end by themselves three times.
    if ends.iter().filter(|ends| **ends >= 3).count() * 2 >= 3 {
        record.fault(format!(
            "Fault: controllers of the core ended by themselves {ends:?} times"
        ));
    }
    record.flush();
    let code = i32::from(!record.broken.lock().expect("lock").is_empty());
    drop(fleet);
    std::process::exit(code);
}
