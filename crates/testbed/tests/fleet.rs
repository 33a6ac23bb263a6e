//! A fleet of real processes on loopback. Needs the workspace to be built: `cargo build --workspace`.

use loadgen::{LoadTest, LoadTestConfig, Report, RequestRecord, Workload};
use simulator::{Deployment, ScheduleRules};
use testbed::{Fleet, FleetOptions, ProcessGroup, join_logs, plan_of};
use types::Milliseconds;

/// A fleet that serves, with its crew.
fn serving(deployment: Deployment, options: &FleetOptions) -> (ProcessGroup, Fleet) {
    let shape = deployment.shape();
    let process_group =
        ProcessGroup::start(&shape, &ScheduleRules::default()).expect("stand-ins start");
    let fleet =
        Fleet::start(&shape, process_group.platform.address, None, options).expect("daemons start");
    fleet
        .await_core(Milliseconds::seconds(30))
        .expect("the core forms");
    fleet
        .put_plan("first", 0, &plan_of(deployment, true))
        .expect("the plan is accepted");
    fleet
        .await_routers(Milliseconds::seconds(30))
        .expect("routers are ready");
    (process_group, fleet)
}

fn load(
    fleet: &Fleet,
    deployment: Deployment,
    seconds: u64,
    seed: u64,
) -> (Vec<RequestRecord>, u64) {
    let span = Milliseconds::seconds(seconds);
    let rules = LoadTestConfig {
        routers: fleet.clients_addresses(),
        span,
        scale: 0.4,
        max_in_flight: 500,
    };
    LoadTest::new(Workload::new(deployment.mix(), seed), rules).run()
}

#[test]
fn a_whole_fleet_serves_and_stops() {
    let deployment = Deployment::Valodu;
    let (process_group, mut fleet) = serving(deployment, &FleetOptions::default());
    let (asked, late) = load(&fleet, deployment, 4, 11);
    let mut report = Report::of(&asked, late);
    join_logs(
        &mut report,
        &asked,
        &process_group.logs(),
        &plan_of(deployment, true),
    );
    assert_eq!(report.violations, Vec::<String>::new());
    let complete: u64 = report
        .services
        .values()
        .map(|service| service.complete)
        .sum();
    assert!(complete * 10 >= asked.len() as u64 * 9, "{report}");
    let codes = fleet.stop();
    assert!(codes.values().all(|code| *code == Some(0)), "{codes:?}");
}
