//! The command line of the test bed, and what running daemons show operators, against golden files.
//! `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew. Needs the workspace to be built:
//! `cargo build --workspace`.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use serde_json::Value;
use simulator::{Deployment, ScheduleRules};
use std::collections::BTreeSet;
use testbed::{Daemon, Fleet, FleetOptions, ProcessGroup, plan_of};
use types::Milliseconds;

const PROGRAM: &str = env!("CARGO_BIN_EXE_testbed");

#[test]
fn the_command_line_is_as_ever() {
    golden_file::compare_text("command-line.txt", &golden_file::command_line(PROGRAM, &[]));
}

#[test]
fn exit_codes_are_as_ever() {
    let code = |arguments: &[&str]| golden_file::exit_code(PROGRAM, arguments);
    assert_eq!(code(&["no-such-task"]), Some(2));
    assert_eq!(code(&["--version"]), Some(0));
}

const PATIENCE: Milliseconds = Milliseconds::seconds(30);

/// The keys of a JSON value, each with those above it; keys that are addresses or names of servers are one.
fn keys(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, inner) in fields {
                let is_address = name.contains(':');
                let path = format!("{path}.{}", if is_address { "ADDRESS" } else { name });
                // Which addresses are there at a moment differs, and so whether there are any.
                if !is_address || inner.is_object() {
                    found.insert(path.clone());
                }
                keys(inner, &path, found);
            }
        }
        Value::Array(items) => items
            .iter()
            .for_each(|item| keys(item, &format!("{path}[]"), found)),
        _ => {}
    }
}

fn keys_of(daemon: &Daemon, path: &str, name: &str) -> String {
    let (status, body) = daemon.get(path).expect("a response");
    assert_eq!(status, 200, "{path}");
    let value: Value = serde_json::from_slice(&body).expect("JSON");
    let mut found = BTreeSet::new();
    keys(&value, name, &mut found);
    found.iter().map(|key| format!("{key}\n")).collect()
}

/// Names and kinds of metrics, without values.
fn metrics_of(daemon: &Daemon) -> String {
    let (status, body) = daemon.get("/metrics").expect("a response");
    assert_eq!(status, 200);
    let text = String::from_utf8(body).expect("UTF-8");
    text.lines()
        .map(|line| match line.starts_with('#') {
            true => format!("{line}\n"),
            false => format!("{}\n", line.split(' ').next().unwrap_or_default()),
        })
        .collect()
}

#[test]
fn daemons_show_operators_the_golden_keys_and_metrics() {
    let deployment = Deployment::Pahana;
    let shape = deployment.shape();
    let process_group =
        ProcessGroup::start(&shape, &ScheduleRules::default()).expect("stand-ins start");
    let platform = process_group.platform.address;
    let fleet =
        Fleet::start(&shape, platform, None, &FleetOptions::default()).expect("daemons start");
    fleet.await_core(PATIENCE).expect("the core forms");
    let (controller, router) = (&fleet.controllers[0], &fleet.routers[0]);
    let plan = plan_of(deployment, true).into_bytes();
    let (status, _) = controller
        .ask("PUT", "/v1/plan?id=p1&builds_on=0", plan)
        .expect("a response");
    assert_eq!(status, 200);
    fleet.await_routers(PATIENCE).expect("routers are ready");
    let listed = || {
        router.believes()["servers"]
            .as_object()
            .is_some_and(|list| !list.is_empty())
    };
    Fleet::await_that(PATIENCE, "a router knows servers", listed).expect("it comes to know them");
    let text = [
        keys_of(controller, "/v1/believes", "controller"),
        keys_of(controller, "/v1/latest", "latest"),
        keys_of(controller, "/v1/tenants", "tenants"),
        keys_of(router, "/v1/believes", "router"),
        metrics_of(controller),
        metrics_of(router),
    ];
    golden_file::compare_text("shown.txt", &text.concat());
}
