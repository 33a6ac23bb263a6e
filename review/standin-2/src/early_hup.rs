//! Controllers are restarted in order, one at a time. Each time the platform tells the process that its settings file has
//! changed, just after it has started.

use crate::Verdict;
use crate::fleet::{Fleet, Node, Operator, config, wait_for};
use crate::platform;
use crate::record::Record;
use std::time::Duration;

/// `grace_s` of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// From the end of a process to its next start.
const RESTART: Duration = Duration::from_millis(500);
/// From the start of a process to the signal.
const SIGNAL: Duration = Duration::from_millis(8);
/// Processes end by themselves so often in a day, on half of the core, where the rule is broken.
const ENDS: usize = 3;

pub fn play(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let fleet = Fleet::prepare()?;
    platform::start(fleet.provider(), String::new()).map_err(|error| error.to_string())?;
    let mut nodes: Vec<Node> = (0..3)
        .map(|number| fleet.controller(number, true))
        .collect();
    nodes.extend((0..3).map(|number| fleet.router(number)));
    for node in &mut nodes {
        fleet.start(node, true, record)?;
    }
    let outcome = play_with(&fleet, &mut nodes, record, has_trouble);
    fleet.end(nodes, record);
    outcome
}

fn play_with(
    fleet: &Fleet,
    nodes: &mut [Node],
    record: &Record,
    has_trouble: bool,
) -> Result<Verdict, String> {
    let operator = Operator {
        record,
        addresses: nodes[..3].iter().map(|node| fleet.admin(node)).collect(),
    };
    let patience = Duration::from_secs(15);
    let mut base = 0;
    for (revision, idle_routes) in [(1, 8), (3, 18_000), (5, 18_000), (7, 18_000), (9, 18_000)] {
        if !operator.put(&config(revision, idle_routes), base, patience) {
            return Err(format!("version {revision} was not taken"));
        }
        base = revision;
    }
    if !wait_for(patience, || {
        nodes[3..].iter().all(|router| fleet.is_ready(router))
    }) {
        return Err("the routers did not get ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let mut ends = [0; 2];
    for _ in 0..ENDS {
        for (place, node) in nodes[1..3].iter_mut().enumerate() {
            fleet.signal(node, "TERM", record);
            if fleet.wait_for_end(node, GRACE, record).is_none() {
                fleet.kill(node, record);
            }
            std::thread::sleep(RESTART);
            fleet.start(node, false, record)?;
            if has_trouble {
                std::thread::sleep(SIGNAL);
                fleet.signal(node, "HUP", record);
            }
            if let Some(how) = fleet.wait_for_end(node, Duration::from_millis(2500), record) {
                ends[place] += 1;
                record.line(&format!("{} ended by itself, {how}", node.name));
                fleet.start(node, false, record)?;
                std::thread::sleep(Duration::from_millis(2500));
            }
        }
    }
    record.line(&format!(
        "ends of their own: controller-1 {}, controller-2 {}, of three core machines",
        ends[0], ends[1]
    ));
    let is_broken = ends.iter().all(|count| *count >= ENDS);
    Ok(if is_broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
