use placement::{Scheduler, SchedulerRules, Timestamped};
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};
use types::Address;

/// Feeds recorded events, JSON lines, to a scheduler and writes its decisions, JSON lines. The first line
/// tells whose scheduler it was. Gives the number of a line that can't be read, if there is one.
pub fn replay(events: impl BufRead, mut decisions: impl Write) -> Result<(), String> {
    let mut scheduler: Option<Scheduler> = None;
    for (place, line) in events.lines().enumerate() {
        let fault = |why: String| format!("line {}: {why}", place + 1);
        let line = line.map_err(|why| fault(why.to_string()))?;
        if line.trim().is_empty() {
            continue;
        }
        if let Ok(head) = serde_json::from_str::<ReplayHead>(&line) {
            scheduler = Some(Scheduler::new(
                head.own,
                head.incarnation,
                head.scheduler_rules,
            ));
            continue;
        }
        let dated: Timestamped =
            serde_json::from_str(&line).map_err(|why| fault(why.to_string()))?;
        let Some(scheduler) = &mut scheduler else {
            return Err(fault(
                "the head with own, incarnation and scheduler_rules is missing".into(),
            ));
        };
        for decision in scheduler.take(dated) {
            let text = serde_json::to_string(&decision).expect("a decision is JSON");
            writeln!(decisions, "{text}").map_err(|why| why.to_string())?;
        }
    }
    Ok(())
}

/// The first line of a recording.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ReplayHead {
    /// The node.
    pub own: Address,
    /// Its life.
    pub incarnation: u64,
    /// How its scheduler worked.
    pub scheduler_rules: SchedulerRules,
}
