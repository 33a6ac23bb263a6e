//! The measurement of a hollow run: the readings at its start and end, and the figures from them.

use crate::hollow::costs::{
    Interval, MeasuredProcess, Role, RoleCost, Usage, add_message_costs, process_costs,
};
use crate::hollow::observations::{Observations, Traffic};
use crate::hollow::protocol::HostCommand;
use crate::hollow::report::{HollowReport, Spread};
use crate::hollow::run::HollowRun;
use procfs::Current;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use types::{Address, Clock, MonotonicInstant};

/// How long the hosts have for their reports of traffic at the start.
const START_REPORT_TIME: Duration = Duration::from_millis(500);
/// How long the hosts have for their reports of traffic at the end.
const END_REPORT_TIME: Duration = Duration::from_millis(1000);

/// A change of the plan that was accepted.
pub(super) struct PlanChange {
    /// The epoch that it made.
    pub epoch: u64,
    /// When the operator sent it.
    pub requested: MonotonicInstant,
    /// Milliseconds until the response.
    pub accepted_ms: u64,
}

/// A measurement under way.
pub(super) struct Measurement {
    /// When it began.
    pub start: MonotonicInstant,
    /// The plan changes that were accepted.
    pub changes: Vec<PlanChange>,
    /// Number of plan changes that were rejected or whose outcome is unknown.
    pub failed_changes: u64,
    /// The nodes that were killed.
    pub killed: BTreeSet<Address>,
    first_epoch: u64,
    processes: Vec<MeasuredProcess>,
    usage: Vec<Option<Usage>>,
    traffic: Traffic,
}

impl Measurement {
    /// Takes the readings at the start.
    pub(super) fn start(run: &mut HollowRun<'_>) -> Measurement {
        run.send_to_all(&HostCommand::ReportTraffic);
        let processes = measured_processes(run);
        let usage = Usage::read_all(&processes);
        std::thread::sleep(START_REPORT_TIME);
        run.take_reports();
        let traffic = run.observations.take_traffic();
        Measurement {
            start: Clock::now(),
            changes: vec![],
            failed_changes: 0,
            killed: BTreeSet::new(),
            first_epoch: run.latest_epoch(),
            processes,
            usage,
            traffic,
        }
    }

    /// Takes the readings at the end and computes the report.
    pub(super) fn finish(self, run: &mut HollowRun<'_>, join_ms: u64) -> HollowReport {
        // The use of the machine was read that much earlier than the start.
        let seconds =
            Clock::now().since(self.start).0 as f64 / 1000.0 + START_REPORT_TIME.as_secs_f64();
        let usage = Usage::read_all(&self.processes);
        run.send_to_all(&HostCommand::ReportTraffic);
        std::thread::sleep(END_REPORT_TIME);
        run.take_reports();
        let last_epoch = run.latest_epoch();
        let changes = ChangeLags::of(&self, &run.observations);
        let (placed, refused) = self.placement_rates(&run.observations.traffic, seconds);
        let accepted: Vec<u64> = self.changes.iter().map(|one| one.accepted_ms).collect();
        HollowReport {
            rules: run.rules.clone(),
            seconds,
            roles: self.costs(run, &usage, seconds),
            change_at_node: Spread::of(&changes.at_node),
            change_everywhere: Spread::of(&changes.everywhere),
            change_accepted: Spread::of(&accepted),
            failed_changes: self.failed_changes,
            unseen_changes: changes.unseen,
            membership_changes: (last_epoch - self.first_epoch)
                .saturating_sub(self.changes.len() as u64),
            placed,
            refused,
            join_ms,
            machine_load: procfs::LoadAverage::current().map_or(0.0, |load| load.one),
        }
    }

    fn costs(
        &self,
        run: &HollowRun<'_>,
        usage: &Vec<Option<Usage>>,
        seconds: f64,
    ) -> BTreeMap<Role, RoleCost> {
        let usage = Interval {
            before: &self.usage,
            after: usage,
        };
        let sent = Interval {
            before: &self.traffic.sent,
            after: &run.observations.traffic.sent,
        };
        let mut roles = process_costs(&self.processes, &usage, seconds);
        add_message_costs(&mut roles, &run.hosts, &sent, seconds);
        roles
    }

    /// Requests placed and rejected each second.
    fn placement_rates(&self, end: &Traffic, seconds: f64) -> (f64, f64) {
        let (placed, rejected) = end.placed_and_rejected();
        let (placed_before, rejected_before) = self.traffic.placed_and_rejected();
        (
            (placed - placed_before) as f64 / seconds,
            (rejected - rejected_before) as f64 / seconds,
        )
    }
}

/// The processes whose use is measured: the controllers, the hosts and the test bed itself.
fn measured_processes(run: &HollowRun<'_>) -> Vec<MeasuredProcess> {
    let controllers = &run.fleet.controllers;
    let tail = controllers
        .iter()
        .position(|controller| controller.believes()["may_respond"] == true)
        .unwrap_or(0);
    let controllers = controllers
        .iter()
        .enumerate()
        .map(|(place, controller)| MeasuredProcess {
            role: match place == tail {
                true => Role::Tail,
                false => Role::Controller,
            },
            pid: controller.pid().unwrap_or(0),
            nodes: 1,
        });
    let hosts = run.hosts.iter().map(|host| MeasuredProcess {
        role: host.role,
        pid: host.pid(),
        nodes: host.nodes.len() as u32,
    });
    let tools = MeasuredProcess {
        role: Role::Tools,
        pid: std::process::id(),
        nodes: 1,
    };
    controllers.chain(hosts).chain([tools]).collect()
}

/// How long the accepted changes took to come into force, in milliseconds.
#[derive(Default)]
struct ChangeLags {
    at_node: Vec<u64>,
    everywhere: Vec<u64>,
    unseen: u64,
}

impl ChangeLags {
    fn of(measurement: &Measurement, observations: &Observations) -> ChangeLags {
        let mut all = ChangeLags::default();
        for change in &measurement.changes {
            let lags = observations.lags(change.epoch, change.requested, &measurement.killed);
            all.unseen += u64::from(lags.iter().any(Option::is_none));
            all.at_node.extend(lags.iter().flatten());
            all.everywhere.extend(lags.iter().flatten().max());
        }
        all
    }
}
