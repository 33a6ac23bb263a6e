//! The loop of the control thread, from the first clock event to the end of the process.

use super::ReadSeeds;
use super::control_thread::ControlThread;
use super::drain_schedule::DrainSchedule;
use crate::control::event::ControlEvent;
use crate::control::node::NodeInput;
use crate::downstream::ingress::Ingress;
use crate::settings::Settings;
use crate::shared::Shared;
use replication::LeaseStatus;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use transport::{HttpServerCloser, ProcessSignals};
use types::{Clock, Milliseconds, MonotonicInstant};

/// Between clock events, at most.
const MAX_TICK: Milliseconds = Milliseconds(250);
/// Between readings of the settings' seeds, while there is no lease.
pub(super) const SETTINGS_PERIOD: Milliseconds = Milliseconds(1000);
/// Clients that have connected get their responses within this, once nothing is in flight any more.
const CLOSE_TIMEOUT: Milliseconds = Milliseconds::seconds(2);
/// The same where an ingress has told its clients to leave before.
const INGRESS_CLOSE_TIMEOUT: Milliseconds = Milliseconds::seconds(1);
/// Stopped with nothing in flight.
const EXIT_STOPPED: u8 = 0;
/// Stopped with requests in flight.
const EXIT_IN_FLIGHT: u8 = 1;

/// The server of the own interface.
pub(super) struct OwnServer {
    pub(super) closer: HttpServerCloser,
    pub(super) open_count: Arc<AtomicUsize>,
    pub(super) thread: Option<JoinHandle<()>>,
}

/// What the control thread works on.
pub(super) struct RouterLoop<'a> {
    pub(super) control: ControlThread,
    pub(super) events: flume::Receiver<ControlEvent>,
    pub(super) shared: Arc<Shared>,
    pub(super) ingress: Option<Ingress>,
    pub(super) own_server: OwnServer,
    pub(super) settings: &'a Settings,
    /// Whether requests come whose deadlines are known.
    pub(super) has_calls: bool,
    pub(super) read_seeds: Option<ReadSeeds>,
    pub(super) signals: &'a ProcessSignals,
    pub(super) next_tick: MonotonicInstant,
    pub(super) next_seeds_read: MonotonicInstant,
    /// Of a process that was told to stop.
    pub(super) drain_schedule: Option<DrainSchedule>,
    pub(super) is_draining: bool,
}

impl RouterLoop<'_> {
    /// Runs until the process is to end; gives its exit code.
    pub(super) fn run(mut self) -> u8 {
        loop {
            let now = Clock::now();
            self.shared.suspension.record_running(now);
            if now >= self.next_tick
                && let Some(exit_code) = self.on_tick(now)
            {
                return exit_code;
            }
            // Asked again after each event, since it may have brought something that is due sooner.
            self.next_tick = self
                .control
                .node
                .next_timer()
                .max(now + Milliseconds(1))
                .min(now + MAX_TICK);
            let wait = now.until(self.next_tick).duration();
            if let Ok(event) = self.events.recv_timeout(wait) {
                self.control.take(event);
            }
        }
    }

    /// Does what is due; gives the exit code once the process is to end.
    fn on_tick(&mut self, now: MonotonicInstant) -> Option<u8> {
        let clock_event = ControlEvent::Input(NodeInput::ClockEvent);
        self.control.take(clock_event);
        if self.signals.is_stop_requested() && !self.control.is_draining {
            self.begin_leaving(now);
        }
        self.reload_seeds(now);
        self.advance_drain(now);
        if self.control.node.is_drained() {
            self.close();
            tracing::info!("router: stopped.");
            return Some(EXIT_STOPPED);
        }
        let end = self.drain_schedule.as_ref().map(|schedule| schedule.end);
        if end.is_some_and(|end| now >= end) {
            tracing::warn!(
                "router: stopped with {} requests in hand.",
                self.control.node.open_count()
            );
            return Some(EXIT_IN_FLIGHT);
        }
        None
    }

    fn begin_leaving(&mut self, now: MonotonicInstant) {
        tracing::info!("router: not ready any more; takes what is still sent to it for a moment.");
        self.control.is_draining = true;
        self.ingress.iter().for_each(Ingress::leave);
        let schedule = DrainSchedule::new(now, self.settings, self.has_calls);
        self.drain_schedule = Some(schedule);
    }

    /// Reads the seeds of the settings again: when they are said to have changed and, since they may change without
    /// a word, while there is no lease.
    fn reload_seeds(&mut self, now: MonotonicInstant) {
        let is_leased = self.control.node.lease_state().status(now) == LeaseStatus::Leased;
        let reads_again = now >= self.next_seeds_read && !is_leased;
        if !self.signals.take_settings_change() && !reads_again {
            return;
        }
        self.next_seeds_read = now + SETTINGS_PERIOD;
        if let Some(seeds) = self.read_seeds.as_ref().and_then(|read| read()) {
            self.control.set_seeds(seeds);
        }
    }

    /// Takes less and less of a process that was told to stop.
    fn advance_drain(&mut self, now: MonotonicInstant) {
        let Some(schedule) = &self.drain_schedule else {
            return;
        };
        if now >= schedule.short_from {
            let end = schedule.end.0;
            self.shared.exits_at.store(end, Ordering::SeqCst);
        }
        let has_none_left =
            self.ingress.is_some() && now >= schedule.quiet_from && self.shared.is_quiet(now);
        if (now >= schedule.none_from || has_none_left) && !self.is_draining {
            tracing::info!("router: takes no new work; finishes what is in hand.");
            self.control.take(ControlEvent::Input(NodeInput::Drain));
            self.is_draining = true;
        }
    }

    /// Whoever has connected by now still gets a response, and every response its last byte.
    fn close(&mut self) {
        self.own_server.closer.close();
        if let Some(thread) = self.own_server.thread.take() {
            let _ = thread.join();
        }
        self.ingress.iter().for_each(Ingress::close);
        let timeout = if self.has_calls {
            INGRESS_CLOSE_TIMEOUT
        } else {
            CLOSE_TIMEOUT
        };
        let deadline = Clock::now() + timeout;
        while self.has_open_connections() && Clock::now() < deadline {
            self.control.take_all(&self.events);
        }
    }

    fn has_open_connections(&self) -> bool {
        let at_ingress = self.ingress.as_ref().map_or(0, Ingress::open_count);
        self.own_server.open_count.load(Ordering::SeqCst) > 0 || at_ingress > 0
    }
}
