//! Stand-ins of the second review: an operator, the platform's list and model servers, and the cases that are played with
//! the project's own program. `standin-2 CASE RECORD` plays one; exit codes: 0 the rule held, 1 it was broken, 2 the case
//! couldn't run.

mod client;
mod fleet;
mod http;
mod lone_disk;
mod platform;
mod record;
mod server;
mod torn_event;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record] = &arguments[..] else {
        eprintln!("usage: standin-2 CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{record}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, with the disruption: {has_trouble}"));
    let outcome = match case.as_str() {
        "torn-event" => torn_event::play(&record, has_trouble),
        "lone-disk" => lone_disk::play(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    match outcome {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            ExitCode::from(0)
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::NotRun) => {
            record.line("verdict: the case did not come about");
            ExitCode::from(2)
        }
        Err(why) => {
            record.line(&format!("verdict: the case couldn't run: {why}"));
            ExitCode::from(2)
        }
    }
}
