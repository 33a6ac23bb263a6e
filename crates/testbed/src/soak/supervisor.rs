//! Strikes the troubles of a schedule, starts what has ended again, and notices what ends by itself.

use crate::fleet::Daemon;
use crate::soak::DRAIN;
use crate::soak::schedule::{Schedule, Trouble, TroubleKind};
use types::Milliseconds;

/// A process that was told to stop has ended within this, besides the time that it was frozen.
const STOP_TIMEOUT: Milliseconds = Milliseconds(DRAIN.0 + 9000);
/// What a router that was told to stop ends with while requests are in hand.
const EXIT_IN_HAND: i32 = 1;

/// What troubles befall.
pub trait SoakTarget {
    /// All processes: controllers, named `controller-0` and on, before routers, named `router-0` and on.
    fn daemons(&mut self) -> Vec<&mut Daemon>;

    /// Changes the settings of all processes, for them to be read again, in something that does no harm.
    fn change_settings(&mut self);

    /// Lets a server say nothing from now on, or answer again.
    fn suspend_server(&mut self, server: &str, is_suspended: bool);
}

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
pub struct ProcessFates {
    /// How often a process was looked at that was to run.
    pub checks: u64,
    /// How often a process was told to stop and ended.
    pub stops: u64,
    /// Processes that ended though nobody told them, with how they ended.
    pub ended_alone: Vec<String>,
    /// Processes that were told to stop, and didn't, or ended with a code that isn't theirs.
    pub ended_badly: Vec<String>,
}

/// The processes of a target under the troubles of a schedule.
pub struct Supervisor<T: SoakTarget> {
    target: T,
    processes: Vec<Supervised>,
    schedule: Schedule,
    next: usize,
    /// Servers that say nothing, and until when.
    unresponsive: Vec<(String, Milliseconds)>,
    fates: ProcessFates,
}

impl<T: SoakTarget> Supervisor<T> {
    /// Of a target all of whose processes run.
    pub fn new(mut target: T, schedule: Schedule) -> Self {
        let daemons = target.daemons();
        let processes = daemons
            .iter()
            .map(|daemon| Supervised {
                name: daemon.name.clone(),
                expected: Expected::Runs,
                frozen_until: None,
                down: Milliseconds(0),
            })
            .collect();
        Supervisor {
            target,
            processes,
            schedule,
            next: 0,
            unresponsive: vec![],
            fates: ProcessFates::default(),
        }
    }

    /// What the troubles befall.
    pub fn target(&self) -> &T {
        &self.target
    }

    /// One line about what is open.
    pub fn progress(&self) -> String {
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
    pub fn step(&mut self, now: Milliseconds) {
        while let Some(trouble) = self.schedule.troubles.get(self.next).cloned() {
            if trouble.at_ms > now.0 {
                break;
            }
            self.next += 1;
            self.apply(&trouble, now);
        }
        self.wake_servers(now);
        for place in 0..self.processes.len() {
            self.look_after(place, now);
        }
    }

    fn apply(&mut self, trouble: &Trouble, now: Milliseconds) {
        let until = Milliseconds(now.0 + trouble.for_ms);
        match trouble.kind {
            TroubleKind::UnresponsiveServer => self.suspend_servers(trouble, until),
            TroubleKind::SettingsChange | TroubleKind::AnnouncedSettingsChange => {
                self.target.change_settings();
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
        let daemon = self.target.daemons().swap_remove(place);
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
        self.wake_if_expired(place, now);
        match self.processes[place].expected {
            Expected::IsDown { until } if now >= until => self.start(place),
            Expected::IsDown { .. } => {}
            Expected::Runs => self.check_running(place, now),
            Expected::Stops { since } => self.check_stopping(place, now, since),
        }
    }

    fn wake_if_expired(&mut self, place: usize, now: Milliseconds) {
        let process = &mut self.processes[place];
        if process.frozen_until.is_none_or(|until| now < until) {
            return;
        }
        process.frozen_until = None;
        if let Expected::Stops { since } = &mut process.expected {
            *since = now;
        }
        self.target.daemons().swap_remove(place).wake();
    }

    fn start(&mut self, place: usize) {
        let process = &mut self.processes[place];
        process.expected = Expected::Runs;
        if let Err(error) = self.target.daemons().swap_remove(place).start() {
            let fate = format!("{} can't be started: {error}", process.name);
            self.fates.ended_alone.push(fate);
        }
    }

    fn check_running(&mut self, place: usize, now: Milliseconds) {
        self.fates.checks += 1;
        let process = &mut self.processes[place];
        if let Some(status) = self.target.daemons().swap_remove(place).ended() {
            let fate = format!("{} at {} ms: {status}", process.name, now.0);
            self.fates.ended_alone.push(fate);
            process.expected = Expected::IsDown { until: now };
        }
    }

    fn check_stopping(&mut self, place: usize, now: Milliseconds, since: Milliseconds) {
        let process = &mut self.processes[place];
        let daemon = self.target.daemons().swap_remove(place);
        if let Some(status) = daemon.ended() {
            self.fates.stops += 1;
            if !is_expected(&process.name, status.code()) {
                let fate = format!("{} at {} ms: {status}", process.name, now.0);
                self.fates.ended_badly.push(fate);
            }
            let until = Milliseconds(now.0 + process.down.0);
            process.expected = Expected::IsDown { until };
            return;
        }
        let is_late = now.0.saturating_sub(since.0) > STOP_TIMEOUT.0;
        if is_late && process.frozen_until.is_none() {
            let fate = format!(
                "{} still runs {} ms after it was told to stop",
                process.name, STOP_TIMEOUT.0
            );
            self.fates.ended_badly.push(fate);
            daemon.kill();
            process.expected = Expected::IsDown { until: now };
        }
    }

    fn suspend_servers(&mut self, trouble: &Trouble, until: Milliseconds) {
        for server in &trouble.targets {
            self.target.suspend_server(server, true);
            self.unresponsive.push((server.clone(), until));
        }
    }

    fn wake_servers(&mut self, now: Milliseconds) {
        let servers = std::mem::take(&mut self.unresponsive);
        let (expired, unresponsive): (Vec<_>, Vec<_>) =
            servers.into_iter().partition(|(_, until)| now >= *until);
        self.unresponsive = unresponsive;
        for (server, _) in expired {
            if self.unresponsive.iter().all(|(other, _)| *other != server) {
                self.target.suspend_server(&server, false);
            }
        }
    }

    /// Ends all troubles: whoever was told to stop ends first, and all are started.
    pub fn heal(&mut self) {
        self.wake_servers(Milliseconds(u64::MAX));
        for place in 0..self.processes.len() {
            let process = &mut self.processes[place];
            let daemon = self.target.daemons().swap_remove(place);
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
                self.start(place);
            }
        }
    }

    /// Tells all processes to stop, routers first, and gives what became of them.
    pub fn stop(mut self) -> ProcessFates {
        let daemons = self.target.daemons();
        let (mut routers, mut controllers): (Vec<_>, Vec<_>) = daemons
            .into_iter()
            .partition(|daemon| is_router(&daemon.name));
        for group in [&mut routers, &mut controllers] {
            for daemon in group.iter_mut() {
                if let Some(status) = daemon.ended() {
                    let fate = format!("{} at the end: {status}", daemon.name);
                    self.fates.ended_alone.push(fate);
                }
                daemon.request_stop();
            }
            for daemon in group {
                self.fates.stops += 1;
                let code = daemon.wait(STOP_TIMEOUT);
                if !is_expected(&daemon.name, code) {
                    let fate = format!("{} at the end: {code:?}", daemon.name);
                    self.fates.ended_badly.push(fate);
                }
            }
        }
        self.fates
    }
}

fn is_router(name: &str) -> bool {
    name.starts_with("router")
}

/// Whether a process that was told to stop may end with this code.
fn is_expected(name: &str, code: Option<i32>) -> bool {
    code == Some(0) || (is_router(name) && code == Some(EXIT_IN_HAND))
}
