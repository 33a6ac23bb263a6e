//! A run of a hollow fleet: start, wait for the membership, load, measurement with its events, report.

use crate::fleet::Fleet;
use crate::hollow::events::{FleetEvent, schedule};
use crate::hollow::host_process::HostProcess;
use crate::hollow::measurement::{Measurement, PlanChange};
use crate::hollow::observations::Observations;
use crate::hollow::progress::Progress;
use crate::hollow::protocol::{HostCommand, HostReport};
use crate::hollow::report::HollowReport;
use crate::hollow::rules::HollowRules;
use crate::hollow::start::{
    check_machine, node_address, plan, start_controllers, start_hosts, zone_name,
};
use std::path::PathBuf;
use std::time::Duration;
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// Reports of hosts that may wait to be taken in.
const REPORT_QUEUE: usize = 65_536;
/// How long the nodes may take to become members.
const JOIN_TIMEOUT: Milliseconds = Milliseconds::seconds(120);
/// The pause between two looks at the membership.
const JOIN_POLL: Duration = Duration::from_millis(100);
/// The time between two lines of progress while nodes join.
const JOIN_PROGRESS_GAP: Milliseconds = Milliseconds::seconds(2);
/// The time between two lines of progress while it is measured.
const MEASURE_PROGRESS_GAP: Milliseconds = Milliseconds::seconds(5);
/// How long requests come before the measurement begins.
const WARM_UP: Duration = Duration::from_secs(4);
/// The pause between two looks at the hosts' reports during the measurement.
const MEASURE_POLL: Duration = Duration::from_millis(20);
/// The pause between two looks at the clock after the last event.
const END_POLL: Duration = Duration::from_millis(50);
/// Nodes are killed in the hosts that were started last, at most so many of them.
const KILL_HOSTS: usize = 8;

/// Runs one hollow fleet; progress goes to standard error. Fails if the fleet does not fit the machine, can't be
/// started, or does not form in time.
pub fn hollow(rules: &HollowRules, folder: Option<PathBuf>) -> Result<HollowReport, String> {
    check_machine(rules)?;
    let progress = Progress::start();
    let fleet = start_controllers(rules, folder, &progress)?;
    let mut run = HollowRun::start(rules, progress, fleet)?;
    run.await_membership()?;
    let join_ms = run.progress.elapsed().0;
    run.start_load();
    let mut measurement = Measurement::start(&mut run);
    run.play_events(&mut measurement);
    run.await_end(&measurement);
    Ok(measurement.finish(&mut run, join_ms))
}

/// A running hollow fleet. The hosts end before the controllers: fields are dropped in their order.
pub(super) struct HollowRun<'a> {
    /// The size and load of the fleet.
    pub rules: &'a HollowRules,
    /// The host processes.
    pub hosts: Vec<HostProcess>,
    /// What the hosts reported.
    pub observations: Observations,
    /// The controllers.
    pub fleet: Fleet,
    reports: flume::Receiver<HostReport>,
    progress: Progress,
}

/// What the controllers show as their latest configuration.
#[derive(Default)]
pub(super) struct LatestConfig {
    /// Its epoch.
    pub epoch: u64,
    /// Number of its members.
    pub members: usize,
}

impl<'a> HollowRun<'a> {
    fn start(rules: &'a HollowRules, progress: Progress, fleet: Fleet) -> Result<Self, String> {
        let (sender, reports) = flume::bounded(REPORT_QUEUE);
        let hosts = start_hosts(rules, &fleet, &sender)?;
        let (nodes, processes) = (rules.nodes, hosts.len());
        progress.print(&format!("{nodes} nodes start in {processes} processes"));
        Ok(HollowRun {
            rules,
            hosts,
            observations: Observations::default(),
            fleet,
            reports,
            progress,
        })
    }

    /// Takes in the reports that have arrived.
    pub(super) fn take_reports(&mut self) {
        for report in self.reports.drain() {
            self.observations.record(report);
        }
    }

    /// Sends a command to all hosts.
    pub(super) fn send_to_all(&mut self, command: &HostCommand) {
        self.hosts.iter_mut().for_each(|host| host.send(command));
    }

    /// The configuration that the first controller to respond shows.
    pub(super) fn latest(&self) -> Option<LatestConfig> {
        let get = |controller: &crate::fleet::Daemon| controller.get("/v1/latest").ok();
        let (_, body) = self
            .fleet
            .controllers
            .iter()
            .find_map(|controller| get(controller).filter(|(status, _)| *status == 200))?;
        let value: serde_json::Value = serde_json::from_slice(&body).ok()?;
        // A response without this field is not a complete configuration.
        value["plan_epoch"].as_u64()?;
        Some(LatestConfig {
            epoch: value["epoch"].as_u64()?,
            members: value["members"].as_array()?.len(),
        })
    }

    /// The epoch of the latest configuration; 0 if no controller shows one.
    pub(super) fn latest_epoch(&self) -> u64 {
        self.latest().unwrap_or_default().epoch
    }

    fn await_membership(&mut self) -> Result<(), String> {
        let wanted = self.rules.nodes as usize;
        let deadline = Clock::now() + JOIN_TIMEOUT;
        let mut next_progress = Clock::now() + JOIN_PROGRESS_GAP;
        loop {
            self.take_reports();
            let LatestConfig { epoch, members } = self.latest().unwrap_or_default();
            let current = self.observations.nodes_at(epoch);
            if members == wanted && current == members {
                return Ok(());
            }
            if Clock::now() >= deadline {
                return Err(format!(
                    "after two minutes {members} of {wanted} are members, {current} know"
                ));
            }
            if Clock::now() >= next_progress {
                next_progress = Clock::now() + JOIN_PROGRESS_GAP;
                self.progress
                    .print(&format!("{members} members, {current} know epoch {epoch}"));
            }
            std::thread::sleep(JOIN_POLL);
        }
    }

    fn start_load(&mut self) {
        let nodes = self.rules.nodes;
        self.progress
            .print(&format!("all {nodes} are members; requests begin"));
        self.send_to_all(&HostCommand::Load);
        std::thread::sleep(WARM_UP);
    }

    fn play_events(&mut self, measurement: &mut Measurement) {
        let mut next_progress = measurement.start;
        for (deadline, event) in schedule(self.rules, measurement.start) {
            self.await_event(deadline, measurement, &mut next_progress);
            match event {
                FleetEvent::PlanChange(n) => self.change_plan(n, measurement),
                FleetEvent::NodeReplacement(n) => self.replace_node(n as u32, measurement),
                FleetEvent::ServerReplacement(n) => {
                    self.send_to_all(&HostCommand::ServerList(n as u32));
                }
            }
        }
    }

    fn await_event(
        &mut self,
        deadline: MonotonicInstant,
        measurement: &Measurement,
        next_progress: &mut MonotonicInstant,
    ) {
        while Clock::now() < deadline {
            self.take_reports();
            if Clock::now() >= *next_progress {
                *next_progress = Clock::now() + MEASURE_PROGRESS_GAP;
                let elapsed = Clock::now().since(measurement.start).0 / 1000;
                let (seconds, changes) = (self.rules.seconds, measurement.changes.len());
                self.progress
                    .print(&format!("{elapsed} of {seconds} s, {changes} changes made"));
            }
            std::thread::sleep(MEASURE_POLL);
        }
    }

    fn change_plan(&mut self, n: u64, measurement: &mut Measurement) {
        let base = self.latest_epoch();
        let requested = Clock::now();
        match self.fleet.put_plan(&format!("change-{n}"), base, &plan(n)) {
            Ok(outcome) => measurement.changes.push(PlanChange {
                epoch: outcome["epoch"].as_u64().unwrap_or(0),
                requested,
                accepted_ms: Clock::now().since(requested).0,
            }),
            Err(why) => {
                measurement.failed_changes += 1;
                self.progress.print(&format!("change {n}: {why}"));
            }
        }
    }

    /// Kills the first live node of one of the last hosts and adds one at a new address there.
    fn replace_node(&mut self, n: u32, measurement: &mut Measurement) {
        let count = self.hosts.len();
        let host = &mut self.hosts[count - 1 - (n as usize % count.min(KILL_HOSTS))];
        let is_live = |node: &&Address| !measurement.killed.contains(*node);
        let Some(victim) = host.nodes.iter().find(is_live).copied() else {
            return;
        };
        let added = node_address(self.rules.zones + 1, n);
        host.send(&HostCommand::Kill(victim));
        host.send(&HostCommand::Add(added, zone_name(n % self.rules.zones)));
        measurement.killed.insert(victim);
        self.progress
            .print(&format!("{victim} is killed, {added} comes"));
    }

    fn await_end(&self, measurement: &Measurement) {
        let end = measurement.start + Milliseconds::seconds(self.rules.seconds);
        while Clock::now() < end {
            std::thread::sleep(END_POLL);
        }
    }
}
