//! Exploration: controllers of the core are killed in the first moments of the very first start, and started again.

use standin::config::config;
use standin::fleet::*;
use standin::servers::*;
use std::time::{Duration, Instant};

fn main() {
    for (kills, wiped) in [(3usize, false), (2, false), (1, true)] {
        for after_ms in [2u64, 5, 10, 20, 40, 80, 150, 300, 600] {
            let platform = Platform::start();
            let fleet = Fleet::new(3, 3, 3, platform.address);
            let begun = Instant::now();
            fleet.start_all(true);
            let started = begun.elapsed();
            std::thread::sleep(Duration::from_millis(after_ms));
            for machine in 0..kills {
                fleet.signal(machine, Role::Controller, SIGKILL);
            }
            for machine in 0..kills {
                fleet.wait_end(machine, Role::Controller, Duration::from_secs(5));
                if wiped {
                    fleet.wipe(machine);
                }
            }
            for machine in 0..kills {
                fleet.start(machine, Role::Controller, false);
            }
            let taken = fleet.order(
                0,
                "PUT",
                "/-/config",
                Some(0),
                config(1, &[]).as_bytes(),
                Duration::from_secs(8),
            );
            let status = taken.map(|a| a.status);
            println!(
                "{kills} killed (disks lost: {wiped}) {after_ms} ms after a start that took {} ms: first configuration {status:?} after {} ms",
                started.as_millis(),
                begun.elapsed().as_millis()
            );
        }
    }
}
