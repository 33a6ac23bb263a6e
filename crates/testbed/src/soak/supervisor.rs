//! Strikes the troubles of a schedule, starts what has ended again, and notices what ends by itself.

use crate::fleet::{Daemon, Fleet};
use crate::process_group::ProcessGroup;
use crate::soak::DRAIN;
use crate::soak::schedule::{Schedule, Trouble, TroubleKind};
use simulator::ServerFault;
use types::{Address, Milliseconds};

/// A process that was told to stop has ended within this, besides the time that it was frozen.
const STOP_TIMEOUT: Milliseconds = Milliseconds(DRAIN.0 + 9000);
/// What a router that was told to stop ends with while requests are in hand.
const EXIT_IN_HAND: i32 = 1;

/// What a process is to be doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    Runs,
    /// It was told to stop by then.
    Stops {
        since: Milliseconds,
    },
    /// It is started again then.
    IsDown {
        until: Milliseconds,
    },
}

/// One process of the fleet.
#[derive(Debug)]
struct Supervised {
    name: String,
    expected: Expected,
    frozen_until: Option<Milliseconds>,
    /// How long it is down once it has ended.
    down: Milliseconds,
}

/// What became of the processes.
#[derive(Debug, Default)]
pub(super) struct ProcessFates {
    /// How often a process was looked at that was to run.
    pub checks: u64,
    /// How often a process was told to stop and ended.
    pub stops: u64,
    /// Processes that ended though nobody told them, with how they ended.
    pub ended_alone: Vec<String>,
    /// Processes that were told to stop, and didn't, or ended with a code that isn't theirs.
    pub ended_badly: Vec<String>,
}

/// The processes of a fleet under the troubles of a schedule.
pub(super) struct Supervisor {
    fleet: Fleet,
    processes: Vec<Supervised>,
    schedule: Schedule,
    next: usize,
    unresponsive: Vec<(usize, Milliseconds)>,
    seeds: Vec<Address>,
    fates: ProcessFates,
}

impl Supervisor {
    pub(super) fn new(fleet: Fleet, schedule: Schedule) -> Self {
        let daemons = fleet.controllers.iter().chain(&fleet.routers);
        let processes = daemons
            .map(|daemon| Supervised {
                name: daemon.name.clone(),
                expected: Expected::Runs,
                frozen_until: None,
                down: Milliseconds(0),
            })
            .collect();
        let seeds = fleet
            .controllers
            .iter()
            .map(|controller| controller.inner)
            .take(3)
            .collect();
        Supervisor {
            fleet,
            processes,
            schedule,
            next: 0,
            unresponsive: vec![],
            seeds,
            fates: ProcessFates::default(),
        }
    }

    pub(super) fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// One line about what is open.
    pub(super) fn progress(&self) -> String {
        let count = |is: fn(&Supervised) -> bool| self.processes.iter().filter(|p| is(p)).count();
        format!(
            "{} of {} troubles, {} down, {} stopping, {} frozen",
            self.next,
            self.schedule.troubles.len(),
            count(|process| matches!(process.expected, Expected::IsDown { .. })),
            count(|process| matches!(process.expected, Expected::Stops { .. })),
            count(|process| process.frozen_until.is_some()),
        )
    }

    /// Does what is due `now`, counted from the start.
    pub(super) fn step(&mut self, now: Milliseconds, servers: &ProcessGroup) {
        while let Some(trouble) = self.schedule.troubles.get(self.next).cloned() {
            if trouble.at_ms > now.0 {
                break;
            }
            self.next += 1;
            self.apply(&trouble, now, servers);
        }
        self.wake_servers(now, servers);
        for place in 0..self.processes.len() {
            self.look_after(place, now);
        }
    }

    fn apply(&mut self, trouble: &Trouble, now: Milliseconds, servers: &ProcessGroup) {
        let until = Milliseconds(now.0 + trouble.for_ms);
        match trouble.kind {
            TroubleKind::UnresponsiveServer => self.suspend_servers(trouble, until, servers),
            TroubleKind::SettingsChange | TroubleKind::AnnouncedSettingsChange => {
                self.seeds.rotate_left(1);
                let written = self.fleet.name_seeds(&self.seeds);
                written.expect("the settings can be written");
            }
            _ => {}
        }
        for place in 0..self.processes.len() {
            if trouble.targets.contains(&self.processes[place].name) {
                self.apply_to_process(place, trouble, now, until);
            }
        }
    }

    fn apply_to_process(
        &mut self,
        place: usize,
        trouble: &Trouble,
        now: Milliseconds,
        until: Milliseconds,
    ) {
        let process = &mut self.processes[place];
        let daemon = daemon(&mut self.fleet, place);
        if matches!(process.expected, Expected::IsDown { .. }) {
            return;
        }
        match trouble.kind {
            TroubleKind::Kill => {
                daemon.kill();
                process.frozen_until = None;
                process.expected = Expected::IsDown { until };
            }
            TroubleKind::Terminate => {
                daemon.request_stop();
                process.down = Milliseconds(trouble.for_ms);
                if process.expected == Expected::Runs {
                    process.expected = Expected::Stops { since: now };
                }
            }
            TroubleKind::Hangup | TroubleKind::AnnouncedSettingsChange => {
                daemon.announce_settings();
            }
            TroubleKind::Freeze => {
                if process.frozen_until.is_none() {
                    daemon.freeze();
                }
                process.frozen_until = process.frozen_until.max(Some(until));
            }
            TroubleKind::SettingsChange | TroubleKind::UnresponsiveServer => {}
        }
    }

    /// Does for a process what is due, and notices what it did by itself.
    fn look_after(&mut self, place: usize, now: Milliseconds) {
        let process = &mut self.processes[place];
        let daemon = daemon(&mut self.fleet, place);
        if process.frozen_until.is_some_and(|until| now >= until) {
            daemon.wake();
            process.frozen_until = None;
            if let Expected::Stops { since } = &mut process.expected {
                *since = now;
            }
        }
        match process.expected {
            Expected::IsDown { until } if now >= until => {
                process.expected = Expected::Runs;
                if let Err(error) = daemon.start() {
                    let fate = format!("{} can't be started: {error}", process.name);
                    self.fates.ended_alone.push(fate);
                }
            }
            Expected::IsDown { .. } => {}
            Expected::Runs => {
                self.fates.checks += 1;
                if let Some(status) = daemon.ended() {
                    let fate = format!("{} at {} ms: {status}", process.name, now.0);
                    self.fates.ended_alone.push(fate);
                    process.expected = Expected::IsDown { until: now };
                }
            }
            Expected::Stops { since } => match daemon.ended() {
                Some(status) => {
                    self.fates.stops += 1;
                    let is_router = process.name.starts_with("router");
                    let has_expected_code = status.code() == Some(0)
                        || (is_router && status.code() == Some(EXIT_IN_HAND));
                    if !has_expected_code {
                        let fate = format!("{} at {} ms: {status}", process.name, now.0);
                        self.fates.ended_badly.push(fate);
                    }
                    process.expected = Expected::IsDown {
                        until: Milliseconds(now.0 + process.down.0),
                    };
                }
                None if process.frozen_until.is_none()
                    && now.0.saturating_sub(since.0) > STOP_TIMEOUT.0 =>
                {
                    let fate = format!(
                        "{} still runs {} ms after it was told to stop",
                        process.name, STOP_TIMEOUT.0
                    );
                    self.fates.ended_badly.push(fate);
                    daemon.kill();
                    process.expected = Expected::IsDown { until: now };
                }
                None => {}
            },
        }
    }

    fn suspend_servers(&mut self, trouble: &Trouble, until: Milliseconds, servers: &ProcessGroup) {
        for (place, server) in servers.models.iter().enumerate() {
            if trouble.targets.contains(&format!("model-{place}")) {
                server.inject_fault(ServerFault {
                    is_dark: true,
                    ..ServerFault::default()
                });
                self.unresponsive.push((place, until));
            }
        }
    }

    fn wake_servers(&mut self, now: Milliseconds, servers: &ProcessGroup) {
        let (expired, unresponsive): (Vec<_>, Vec<_>) = self
            .unresponsive
            .iter()
            .partition(|(_, until)| now >= *until);
        self.unresponsive = unresponsive;
        for (place, _) in expired {
            if self.unresponsive.iter().all(|(other, _)| *other != place) {
                servers.models[place].inject_fault(ServerFault::default());
            }
        }
    }

    /// Ends all troubles: whoever was told to stop ends first, and all are started.
    pub(super) fn heal(&mut self, servers: &ProcessGroup) {
        for server in &servers.models {
            server.inject_fault(ServerFault::default());
        }
        self.unresponsive.clear();
        for place in 0..self.processes.len() {
            let process = &mut self.processes[place];
            let daemon = daemon(&mut self.fleet, place);
            if process.frozen_until.take().is_some() {
                daemon.wake();
            }
            if matches!(process.expected, Expected::Stops { .. }) {
                self.fates.stops += 1;
                if daemon.wait(STOP_TIMEOUT).is_none() {
                    let fate = format!("{} didn't stop in time", process.name);
                    self.fates.ended_badly.push(fate);
                }
                process.expected = Expected::IsDown {
                    until: Milliseconds(0),
                };
            }
            if matches!(process.expected, Expected::IsDown { .. }) {
                process.expected = Expected::Runs;
                if let Err(error) = daemon.start() {
                    let fate = format!("{} can't be started: {error}", process.name);
                    self.fates.ended_alone.push(fate);
                }
            }
        }
    }

    /// Tells all processes to stop, and gives what became of them.
    pub(super) fn stop(mut self) -> ProcessFates {
        for place in 0..self.processes.len() {
            let name = self.processes[place].name.clone();
            if let Some(status) = daemon(&mut self.fleet, place).ended() {
                self.fates
                    .ended_alone
                    .push(format!("{name} at the end: {status}"));
            }
        }
        for (name, code) in self.fleet.stop() {
            self.fates.stops += 1;
            let has_expected_code =
                code == Some(0) || (name.starts_with("router") && code == Some(EXIT_IN_HAND));
            if !has_expected_code {
                self.fates
                    .ended_badly
                    .push(format!("{name} at the end: {code:?}"));
            }
        }
        self.fates
    }
}

/// The process at a place: controllers come before routers.
fn daemon(fleet: &mut Fleet, place: usize) -> &mut Daemon {
    let controllers = fleet.controllers.len();
    if place < controllers {
        &mut fleet.controllers[place]
    } else {
        &mut fleet.routers[place - controllers]
    }
}
