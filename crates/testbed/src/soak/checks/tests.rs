//! Each check detects what it is for.

use super::*;
use crate::fleet::plan_of;
use loadgen::Outcome;
use simulator::Deployment;
use types::{Clock, Milliseconds};
use yare::parameterized;

/// What a soak saw in which all went well.
struct Seen {
    records: Vec<RequestRecord>,
    logs: Vec<RunLog>,
    recovery: Recovery,
    processes: ProcessFates,
    samples: ResourceSamples,
}

fn record(print: u64, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        service: "questions".into(),
        print,
        outcome,
        first_ms: Some(5.0),
        resumed: 0,
        violations: vec![],
        why: String::new(),
        retry_after: None,
    }
}

fn run(print: u64) -> RunLog {
    RunLog {
        print,
        service: "questions".into(),
        at: Clock::now(),
        in_hand: 1,
    }
}

fn well() -> Seen {
    Seen {
        records: vec![
            record(1, Outcome::Complete),
            record(2, Outcome::Refused(107)),
        ],
        logs: vec![run(1)],
        recovery: Recovery {
            service: Ok(Milliseconds(12_000)),
            core: Ok(Milliseconds(12_000)),
            plans: 1,
            lost_plans: vec![],
        },
        processes: ProcessFates {
            checks: 1,
            stops: 1,
            ..ProcessFates::default()
        },
        samples: ResourceSamples {
            count: 1,
            most_memory_bytes: MEMORY_BYTES,
            most_descriptors: DESCRIPTORS,
        },
    }
}

fn evaluate(seen: &Seen) -> Vec<CheckReport> {
    let findings = Findings {
        records: &seen.records,
        logs: &seen.logs,
        plan: &plan_of(Deployment::Pahana, true),
        recovery: &seen.recovery,
        processes: &seen.processes,
        samples: &seen.samples,
    };
    findings.evaluate()
}

#[test]
fn what_goes_well_breaks_no_check_and_all_have_looked() {
    for check in evaluate(&well()) {
        assert_eq!(check.violations, Vec::<String>::new(), "{}", check.name);
        assert!(check.looked_at > 0, "{}", check.name);
        assert!(check.holds());
    }
}

#[test]
fn a_check_that_saw_nothing_does_not_hold() {
    let mut seen = well();
    seen.samples.count = 0;
    let checks = evaluate(&seen);
    let failed: Vec<&str> = checks
        .iter()
        .filter(|check| !check.holds())
        .map(|check| check.name.as_str())
        .collect();
    assert_eq!(failed, ["resources"]);
}

#[parameterized(
    spliced_response = { "order", |seen| seen.records[0].violations.push("piece 4 came where 3 was due".into()) },
    refused_and_run = { "runs", |seen| seen.logs.push(run(2)) },
    run_twice = { "runs", |seen| seen.logs.push(run(1)) },
    plan_lost = { "config", |seen| seen.recovery.lost_plans.push("soak-1-1".into()) },
    service_late = { "recover", |seen| seen.recovery.service = Ok(Milliseconds(12_001)) },
    service_never = { "recover", |seen| seen.recovery.service = Err("not within".into()) },
    core_late = { "recover", |seen| seen.recovery.core = Ok(Milliseconds(12_001)) },
    ended_alone = { "ended-alone", |seen| seen.processes.ended_alone.push("router-1".into()) },
    does_not_stop = { "stops", |seen| seen.processes.ended_badly.push("router-1".into()) },
    memory = { "resources", |seen| seen.samples.most_memory_bytes += 1 },
    descriptors = { "resources", |seen| seen.samples.most_descriptors += 1 },
)]
fn what_must_never_be_is_seen_by_its_check_alone(name: &str, spoil: fn(&mut Seen)) {
    let mut seen = well();
    spoil(&mut seen);
    let checks = evaluate(&seen);
    let failed: Vec<&str> = checks
        .iter()
        .filter(|check| !check.holds())
        .map(|check| check.name.as_str())
        .collect();
    assert_eq!(failed, [name]);
}
