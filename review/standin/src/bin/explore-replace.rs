//! Exploration: a machine of the core is replaced by plan while another stands still and the third is killed: at most one disk
//! is lost, and after all are back the core must answer with all that was acknowledged. Arguments: a seed, trials.

use standin::config::{config, revision_of};
use standin::fleet::*;
use standin::servers::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::time::{Duration, Instant};

fn main() {
    let mut args = std::env::args().skip(1);
    let mut seed: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(1);
    let trials: u64 = args.next().and_then(|s| s.parse().ok()).unwrap_or(5);
    let mut draw = move |below: u64| {
        seed = seed
            .wrapping_mul(6364136223846793005)
            .wrapping_add(1442695040888963407);
        (seed >> 33) % below.max(1)
    };
    let pause = |ms| std::thread::sleep(Duration::from_millis(ms));
    for trial in 0..trials {
        let platform = Platform::start();
        let mut fleet = Fleet::new(3, 4, 3, platform.address);
        fleet.machines[6].has_disk = true;
        fleet.machines[6].has_controller = false;
        let fleet = Arc::new(fleet);
        for machine in 0..4 {
            fleet.start(machine, Role::Controller, true);
            fleet.start(machine, Role::Router, true);
        }
        let first = fleet.order(
            0,
            "PUT",
            "/-/config",
            Some(0),
            config(1, &[]).as_bytes(),
            Duration::from_secs(15),
        );
        assert_eq!(first.map(|a| a.status), Ok(200));
        pause(4000);
        let stop = Arc::new(AtomicBool::new(false));
        let newest = Arc::new(AtomicU64::new(1));
        let acknowledged = Arc::new(AtomicU64::new(1));
        let operator = {
            let (fleet, stop, newest, acknowledged) = (
                fleet.clone(),
                stop.clone(),
                newest.clone(),
                acknowledged.clone(),
            );
            std::thread::spawn(move || {
                let mut from = 0;
                while !stop.load(SeqCst) {
                    let base = newest.load(SeqCst);
                    let text = config(base + 1, &[]);
                    let answer = fleet.order(
                        from,
                        "PUT",
                        "/-/config",
                        Some(base),
                        text.as_bytes(),
                        Duration::from_secs(3),
                    );
                    if answer.as_ref().is_ok_and(|a| a.status == 200) {
                        acknowledged.fetch_max(base + 1, SeqCst);
                        newest.store(base + 1, SeqCst);
                    } else if answer.is_ok_and(|a| a.status == 412) {
                        newest.fetch_add(1, SeqCst);
                    }
                    from += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
            })
        };
        let (x, o) = (draw(3) as usize, draw(2) as usize + 1);
        let o = (x + o) % 3;
        let y = 3 - x - o;
        let n = 6;
        let mut told = format!("trial {trial}: {x} stands still, {o} is replaced, {y} is killed;");
        fleet.signal(x, Role::Controller, SIGSTOP);
        pause(draw(1500));
        *fleet.seeds.lock().unwrap() = vec![x, y, n];
        fleet.start(n, Role::Controller, false);
        let before_term = draw(1200);
        pause(before_term);
        fleet.signal(o, Role::Controller, SIGTERM);
        let before_kill = draw(2500);
        pause(before_kill);
        fleet.kill(y, Role::Controller);
        let away = draw(1500);
        pause(away);
        fleet.start(y, Role::Controller, false);
        let (_, has_ended) = fleet.wait_end(o, Role::Controller, Duration::from_secs(8));
        pause(draw(2000));
        fleet.signal(x, Role::Controller, SIGCONT);
        told +=
            &format!(" term +{before_term} kill +{before_kill} away {away}, ended {has_ended};");
        let back = Instant::now();
        let mut read = None;
        let must = acknowledged.load(SeqCst);
        while read.is_none() && back.elapsed() < Duration::from_secs(20) {
            for machine in [x, y, n] {
                if let Ok(answer) = fleet.admin(machine, "GET", "/-/config", None, b"")
                    && answer.status == 200
                {
                    read = read.max(revision_of(&answer.text()));
                }
            }
            pause(100);
        }
        let after = back.elapsed();
        pause(2000);
        stop.store(true, SeqCst);
        let _ = operator.join();
        let verdict = match read {
            None => "THE CORE IS DOWN",
            Some(read) if read < must => "OLDER THAN ACKNOWLEDGED",
            Some(_) => "held",
        };
        println!(
            "{told} read {read:?} of {must} after {} ms: {verdict}",
            after.as_millis()
        );
    }
}
