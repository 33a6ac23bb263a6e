//! The control thread's event loop of a controller with a disk.
//!
//! All state of the controller belongs to this thread. Connection threads, the message transport and the disk thread
//! reach it by [`ControlEvent`]s alone, through one bounded channel.

use crate::consensus::disk_thread::DiskEvent;
use crate::controller::ControllerInput;
use crate::node::ControllerNode;
use crate::process::{ReadSeeds, SETTINGS_PERIOD};
use crate::shutdown::Shutdown;
use transport::ProcessSignals;
use types::{Clock, Milliseconds, MonotonicInstant};

/// The shortest time between two clock events.
const MIN_TICK: Milliseconds = Milliseconds(20);
/// The longest time between two clock events.
const MAX_TICK: Milliseconds = Milliseconds(100);
/// Events that may be queued for the control thread; whoever sends more blocks.
pub(crate) const QUEUE_CAPACITY: usize = 8192;

/// One message to the control thread.
pub(crate) enum ControlEvent {
    /// An input of the controller's state machine.
    Input(ControllerInput),
    /// An event of the disk thread, with the incarnation of the storage that it belongs to.
    Disk(u64, DiskEvent),
    /// A request for what this controller believes, and where the JSON goes.
    Beliefs(flume::Sender<serde_json::Value>),
}

/// The event loop and its timers.
pub(crate) struct EventLoop {
    node: ControllerNode,
    events: flume::Receiver<ControlEvent>,
    signals: ProcessSignals,
    shutdown: Shutdown,
    read_seeds: Option<ReadSeeds>,
    next_tick: MonotonicInstant,
    next_settings_read: MonotonicInstant,
}

impl EventLoop {
    /// A loop over these events, whose timers are due at once. A signal to stop starts the shutdown.
    pub(crate) fn new(
        node: ControllerNode,
        events: flume::Receiver<ControlEvent>,
        signals: ProcessSignals,
        read_seeds: Option<ReadSeeds>,
    ) -> Self {
        let now = Clock::now();
        EventLoop {
            node,
            events,
            signals,
            shutdown: Shutdown::Running,
            read_seeds,
            next_tick: now,
            next_settings_read: now,
        }
    }

    /// Runs until the shutdown is complete.
    pub(crate) fn run(mut self) {
        loop {
            let now = Clock::now();
            self.advance_shutdown(now);
            if self.shutdown.is_complete() {
                return;
            }
            self.reload_seeds(now);
            self.run_clock_event(now);
            match self
                .events
                .recv_timeout(now.until(self.next_tick).duration())
            {
                Ok(event) => self.handle_event(event),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
            self.advance_next_tick(now);
        }
    }

    /// Hands the replica's position over, once a signal to stop was received.
    fn advance_shutdown(&mut self, now: MonotonicInstant) {
        if !self.signals.is_stop_requested() {
            return;
        }
        self.shutdown.request(now);
        let has_handed_over = self.node.hand_over(now);
        self.shutdown.on_progress(now, has_handed_over);
    }

    /// Reads the seeds of the settings again when that is due, or when the settings are said to have changed.
    fn reload_seeds(&mut self, now: MonotonicInstant) {
        if now < self.next_settings_read && !self.signals.take_settings_change() {
            return;
        }
        self.next_settings_read = now + SETTINGS_PERIOD;
        let seeds = self.read_seeds.as_ref().and_then(|read| read());
        if let Some(seeds) = seeds {
            self.node.set_seeds(seeds);
        }
    }

    /// Gives the controller a clock event when that is due.
    fn run_clock_event(&mut self, now: MonotonicInstant) {
        if now < self.next_tick {
            return;
        }
        self.handle_event(ControlEvent::Input(ControllerInput::ClockEvent));
        self.next_tick = self
            .node
            .next_timer()
            .unwrap_or(now)
            .max(now + MIN_TICK)
            .min(now + MAX_TICK);
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = Clock::now();
        match event {
            ControlEvent::Input(input) => self.node.step(now, input),
            ControlEvent::Disk(incarnation, event) => {
                self.node.handle_disk_event(now, incarnation, event);
            }
            ControlEvent::Beliefs(response) => {
                let _ = response.send(self.node.beliefs(now));
            }
        }
        self.node.publish_readiness(now);
    }

    /// An event may have made a timer due sooner.
    fn advance_next_tick(&mut self, now: MonotonicInstant) {
        if let Some(next_timer) = self.node.next_timer() {
            self.next_tick = self.next_tick.min(next_timer.max(now + MIN_TICK));
        }
    }
}
