//! Two of three controllers are down for a while, one after the other, so that the last one stands alone. The first
//! comes back, and while it catches up, the machine that stood alone loses its disk. The other two have all that was
//! acknowledged on theirs.

use crate::Verdict;
use crate::fleet::{Fleet, Node, Operator, config, wait_for};
use crate::platform;
use crate::record::Record;
use std::time::Duration;

const ACK: Duration = Duration::from_millis(4000);
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);

/// How many members the chain of a controller's newest view has.
fn chain_length(fleet: &Fleet, node: &Node) -> usize {
    let log = fleet.log(node);
    let newest = log.lines().rfind(|line| line.contains("view changed"));
    newest.map_or(0, |line| line.split('>').count())
}

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
    for node in &nodes[..3] {
        fleet.record_views(node, record);
    }
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
    if !operator.put(&config(1, 8), 0, patience) {
        return Err("the first configuration was not taken".into());
    }
    if !wait_for(patience, || {
        nodes[3..].iter().all(|router| fleet.is_ready(router))
    }) {
        return Err("the routers did not get ready".into());
    }
    record.line("all routers are ready");
    std::thread::sleep(Duration::from_secs(3));
    // The first machine is the head of the chain, since its address is the lowest; it's the one that stays.
    if has_trouble {
        fleet.kill(&mut nodes[1], record);
        if !wait_for(Duration::from_secs(3), || {
            chain_length(fleet, &nodes[0]) == 2
        }) {
            return Ok(Verdict::NotRun);
        }
    }
    let mut base = 1;
    for revision in [3, 5, 7, 9] {
        if !operator.put(
            &config(revision, 18_000),
            base,
            ACK + Duration::from_secs(5),
        ) {
            return Err(format!("version {revision} was not acknowledged"));
        }
        base = revision;
    }
    let acknowledged = base;
    record.line(&format!(
        "version {acknowledged} is acknowledged, and nothing is sent after it"
    ));
    if has_trouble {
        fleet.kill(&mut nodes[2], record);
        std::thread::sleep(Duration::from_millis(900));
        fleet.start(&mut nodes[1], false, record)?;
        if !wait_for(Duration::from_secs(8), || {
            chain_length(fleet, &nodes[0]) == 1
        }) {
            return Ok(Verdict::NotRun);
        }
        record.line(
            "controller-1 is back; controller-0 stands alone in the chain until that has caught up",
        );
        fleet.kill(&mut nodes[0], record);
        fleet.lose_disk(&nodes[0], record);
        std::thread::sleep(Duration::from_millis(300));
        fleet.start(&mut nodes[2], false, record)?;
        fleet.start(&mut nodes[0], false, record)?;
        record.line(
            "all machines are back; the disks of controller-1 and controller-2 were never lost",
        );
    }
    std::thread::sleep(RECOVERY);
    let read = operator.read(Duration::from_secs(15));
    let has_newest = read
        .as_deref()
        .is_some_and(|text| text.starts_with(&format!("{{\"revision\":{acknowledged},")));
    record.line(&format!(
        "the newest acknowledged version, {acknowledged}, comes back: {has_newest}"
    ));
    let is_taken = operator.put(
        &config(acknowledged + 2, 8),
        acknowledged,
        ACK + Duration::from_secs(6),
    );
    record.line(&format!(
        "a further valid version is acknowledged: {is_taken}"
    ));
    if has_trouble && !has_newest {
        for node in &mut nodes[..3] {
            fleet.kill(node, record);
        }
        for node in &mut nodes[..3] {
            fleet.start(node, false, record)?;
        }
        std::thread::sleep(Duration::from_secs(3));
        let read = operator.read(Duration::from_secs(8));
        record.line(&format!(
            "after a restart of all controllers it comes back: {}",
            read.is_some()
        ));
        record.line(&format!(
            "routers that the platform counts as ready: {}",
            nodes[3..]
                .iter()
                .filter(|router| fleet.is_ready(router))
                .count()
        ));
    }
    Ok(if has_newest {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}
