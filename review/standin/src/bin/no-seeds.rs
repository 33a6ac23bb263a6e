//! Fault: a router whose settings file lists no machine that serves `admin` ends at once, again and again.

use standin::config::config;
use standin::fleet::*;
use standin::servers::*;
use std::path::PathBuf;
use std::time::Duration;

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
    let all: Vec<usize> = (0..fleet.machines.len()).collect();
    record.note("all processes are killed");
    for machine in &all {
        fleet.signal(*machine, Role::Controller, SIGKILL);
        fleet.signal(*machine, Role::Router, SIGKILL);
    }
    for machine in &all {
        fleet.wait_end(*machine, Role::Controller, Duration::from_secs(5));
        fleet.wait_end(*machine, Role::Router, Duration::from_secs(5));
    }
    // Longer than `seed_staleness_s`: nobody serves `admin`, and the operator's list is empty.
    std::thread::sleep(Duration::from_millis(3500));
    if trouble {
        fleet.seeds.lock().expect("lock").clear();
    }
    let mut ends = vec![0; all.len()];
    for machine in &all {
        fleet.start(*machine, Role::Controller, false);
        fleet.start(*machine, Role::Router, false);
    }
    record.note("all processes are started");
    for _ in 0..3 {
        for machine in &all {
            let (code, has_ended) =
                fleet.wait_end(*machine, Role::Router, Duration::from_millis(150));
            if has_ended {
                ends[*machine] += 1;
                record.note(format!(
                    "router {machine} has ended, exit code {code:?}; it is started again"
                ));
                fleet.start(*machine, Role::Router, false);
            }
        }
    }
    // The list has its three machines again, and so have the settings files.
    *fleet.seeds.lock().expect("lock") = vec![0, 1, 2];
    for machine in &all {
        fleet.write_boot(*machine, Role::Router, false);
        let (code, has_ended) = fleet.wait_end(*machine, Role::Router, Duration::from_millis(150));
        if has_ended {
            ends[*machine] += 1;
            record.note(format!(
                "router {machine} has ended, exit code {code:?}; it is started again"
            ));
            fleet.start(*machine, Role::Router, false);
        }
    }
    let ready = fleet.await_ready(&all, Duration::from_secs(15));
    record.note(format!("all routers are ready: {ready}"));
    println!("ends by themselves of the routers: {ends:?}; ready at the end: {ready}");
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    if often >= 2 && often * 10 >= all.len() {
        record.fault(format!("Fault: routers ended by themselves {ends:?} times"));
    }
    if !ready {
        record.fault("the fleet is not ready 15 s after its files are whole");
    }
    record.flush();
    let code = i32::from(!record.broken.lock().expect("lock").is_empty());
    drop(fleet);
    std::process::exit(code);
}
