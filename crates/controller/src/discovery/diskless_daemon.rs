//! The process of a controller without a disk: startup, event loop and redirects of operators.

use crate::budget::ControllerBudget;
use crate::discovery::diskless_controller::{DisklessController, DisklessControllerInput};
use crate::discovery::redirect::Redirector;
use crate::error::StartupError;
use crate::process::{
    Dialects, ReadSeeds, SETTINGS_PERIOD, bind_inner, bind_operators, parse_address,
    spawn_http_server,
};
use crate::settings::Settings;
use config::parse_addresses;
use std::net::TcpListener;
use std::sync::{Arc, PoisonError, RwLock};
use transport::{ListenerBudget, MessageClass, MessageTransport, ProcessSignals};
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// Messages that may be queued for the control thread; further ones are dropped, and their senders repeat them.
const QUEUE_CAPACITY: usize = 1024;
/// The longest time between two checks whether the process is to stop.
const MAX_WAIT: Milliseconds = Milliseconds(200);

/// Addresses where operators are served, written by the control thread and read by connection threads.
type KnownAddresses = Arc<RwLock<Vec<Address>>>;

/// Runs a controller without a disk until a signal stops it.
pub(crate) fn run_diskless(
    settings: &Settings,
    dialects: &Dialects,
    signals: ProcessSignals,
) -> Result<(), StartupError> {
    let listen = parse_address(&settings.listen)?;
    let inner = parse_address(&settings.inner)?;
    let listener = bind_inner(inner)?;
    let (sender, messages) = flume::bounded(QUEUE_CAPACITY);
    let budget = ControllerBudget::new(settings);
    let post = open_transport(inner, listener, budget.peers, sender)?;
    let known_addresses = KnownAddresses::default();
    serve_operators(
        listen,
        budget.operators,
        settings,
        dialects,
        known_addresses.clone(),
    )?;
    tracing::info!(%listen, %inner, "controller: started without a disk; operators are redirected");
    let now = Clock::now();
    let daemon = DisklessDaemon {
        controller: DisklessController::new(inner, parse_addresses(&settings.seeds), now),
        post,
        known_addresses,
        read_seeds: dialects.seeds.clone(),
        next_settings_read: now,
        signals,
    };
    daemon.run(&messages);
    tracing::info!("controller: stopped");
    Ok(())
}

fn open_transport(
    inner: Address,
    listener: TcpListener,
    listener_budget: ListenerBudget,
    sender: flume::Sender<DisklessControllerInput>,
) -> Result<MessageTransport, StartupError> {
    let receive = move |from, message| {
        drop(sender.try_send(DisklessControllerInput::Message { from, message }));
    };
    MessageTransport::open_within(listener, listener_budget, receive).map_err(|source| {
        StartupError::Bind {
            setting: "inner",
            address: inner,
            source,
        }
    })
}

/// Redirects operators to controllers that are known to serve them, or, while none is known, to the addresses of the
/// settings.
fn serve_operators(
    listen: Address,
    listener_budget: ListenerBudget,
    settings: &Settings,
    dialects: &Dialects,
    known_addresses: KnownAddresses,
) -> Result<(), StartupError> {
    let configured = parse_addresses(&settings.admin_addresses);
    let read_configured = dialects
        .others
        .clone()
        .unwrap_or_else(|| Arc::new(move || configured.clone()));
    let read_others = move || {
        let known = known_addresses
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let mut others = if known.is_empty() {
            read_configured()
        } else {
            known
        };
        others.retain(|other| *other != listen);
        others
    };
    let server = bind_operators(listen, listener_budget)?;
    let redirector = Arc::new(Redirector::new(Arc::new(read_others)));
    let dialects = dialects.clone();
    spawn_http_server(server, move |request| {
        redirector.respond(&request, &dialects.attempt(&request))
    })
}

/// The control thread's state.
struct DisklessDaemon {
    controller: DisklessController,
    post: MessageTransport,
    known_addresses: KnownAddresses,
    read_seeds: Option<ReadSeeds>,
    next_settings_read: MonotonicInstant,
    signals: ProcessSignals,
}

impl DisklessDaemon {
    fn run(mut self, messages: &flume::Receiver<DisklessControllerInput>) {
        while !self.signals.is_stop_requested() {
            let now = Clock::now();
            self.reload_seeds(now);
            if now >= self.controller.next_timer() {
                self.step(now, DisklessControllerInput::ClockEvent);
            }
            match messages.recv_timeout(self.next_wait(now).duration()) {
                Ok(input) => self.step(Clock::now(), input),
                Err(flume::RecvTimeoutError::Timeout) => {}
                Err(flume::RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn reload_seeds(&mut self, now: MonotonicInstant) {
        if now < self.next_settings_read && !self.signals.take_settings_change() {
            return;
        }
        self.next_settings_read = now + SETTINGS_PERIOD;
        let seeds = self.read_seeds.as_ref().and_then(|read| read());
        if let Some(seeds) = seeds {
            self.step(now, DisklessControllerInput::Seeds(seeds));
        }
    }

    fn next_wait(&self, now: MonotonicInstant) -> Milliseconds {
        now.until(self.controller.next_timer())
            .min(now.until(self.next_settings_read))
            .min(MAX_WAIT)
    }

    fn step(&mut self, now: MonotonicInstant, input: DisklessControllerInput) {
        for (to, message) in self.controller.step(now, input) {
            self.post
                .send(to, MessageClass::of(&message, false), message);
        }
        let addresses = self.controller.admin_addresses(now);
        *self
            .known_addresses
            .write()
            .unwrap_or_else(PoisonError::into_inner) = addresses;
    }
}
