//! Runs a controller without a disk.

use crate::discovery::diskless_controller::{DisklessController, RelayInput};
use crate::discovery::redirect::Redirector;
use crate::process::Dialects;
use crate::process::{SETTINGS_PERIOD, operators_gate, stop_flag};
use crate::settings::Settings;
use config::parse_addresses;
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError, RwLock};
use transport::{MessageClass, MessageTransport};
use types::{Address, Clock, Milliseconds, MonotonicInstant};

/// Letters that may wait for the control thread.
const QUEUE: usize = 1024;
/// Whether the process is to stop is asked at least this often.
const LONGEST_WAIT: Milliseconds = Milliseconds(200);

/// Runs a relay until it's told to stop.
pub(crate) fn run_relay(settings: &Settings, dialects: &Dialects) -> Result<(), String> {
    let listen: Address = settings.listen.parse()?;
    let inner: Address = settings.inner.parse()?;
    let listener =
        TcpListener::bind(inner.0).map_err(|fault| format!("inner = {inner}: {fault}"))?;
    let (sender, messages) = flume::bounded(QUEUE);
    let post = MessageTransport::open(listener, move |from, message| {
        drop(sender.try_send(RelayInput::Message { from, message }))
    });
    let post = post.map_err(|fault| format!("inner = {inner}: {fault}"))?;
    let stop = stop_flag()?;
    let served = Arc::new(RwLock::new(vec![]));
    serve_operators(settings, dialects, served.clone())?;
    tracing::info!(
        "controller: listens at {listen}, inner {inner}, has no disk and sends operators on."
    );
    let now = Clock::now();
    let relay = DisklessController::new(inner, parse_addresses(&settings.seeds), now);
    let mut daemon = RelayDaemon {
        relay,
        post,
        served,
    };
    let mut next_reading = now;
    while !stop.load(Ordering::Relaxed) {
        let now = Clock::now();
        if now >= next_reading {
            next_reading = now + SETTINGS_PERIOD;
            let seeds = dialects.seeds.as_ref().and_then(|read| read());
            seeds
                .into_iter()
                .for_each(|seeds| daemon.take(now, RelayInput::Seeds(seeds)));
        }
        if now >= daemon.relay.next_timer() {
            daemon.take(now, RelayInput::ClockEvent);
        }
        let wait = now
            .until(daemon.relay.next_timer())
            .min(now.until(next_reading))
            .min(LONGEST_WAIT);
        match messages.recv_timeout(wait.duration()) {
            Ok(message) => daemon.take(Clock::now(), message),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => break,
        }
    }
    tracing::info!("controller: stopped.");
    Ok(())
}

/// Sends operators on to where they are served, or, while that isn't known, to whom the settings name.
fn serve_operators(
    settings: &Settings,
    dialects: &Dialects,
    served: Arc<RwLock<Vec<Address>>>,
) -> Result<(), String> {
    let listen: Address = settings.listen.parse()?;
    let named = parse_addresses(&settings.admin_addresses);
    let read_named = dialects
        .others
        .clone()
        .unwrap_or_else(|| Arc::new(move || named.clone()));
    let read_others = move || {
        let known = served
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let others = if known.is_empty() {
            read_named()
        } else {
            known
        };
        others
            .into_iter()
            .filter(|other| *other != listen)
            .collect()
    };
    let http_server = operators_gate(listen)?;
    let redirector = Arc::new(Redirector::new(Arc::new(read_others)));
    let http_server_thread = move || http_server.serve(move |request| redirector.respond(&request));
    let spawned = std::thread::Builder::new()
        .name("gate".into())
        .spawn(http_server_thread);
    spawned.map(drop).map_err(|fault| fault.to_string())
}

struct RelayDaemon {
    relay: DisklessController,
    post: MessageTransport,
    /// What the gate's threads read.
    served: Arc<RwLock<Vec<Address>>>,
}

impl RelayDaemon {
    fn take(&mut self, now: MonotonicInstant, input: RelayInput) {
        for (to, message) in self.relay.step(now, input) {
            self.post
                .send(to, MessageClass::of(&message, false), message);
        }
        *self.served.write().unwrap_or_else(PoisonError::into_inner) =
            self.relay.admin_addresses(now);
    }
}
