//! Startup of a controller with a disk: bind the addresses, open the folder, start the threads, run the event loop.

use crate::admin::control_client::{ControlClient, PendingResponses};
use crate::admin::handler::RequestHandler;
use crate::budget::ControllerBudget;
use crate::consensus::disk_thread::DiskThread;
use crate::controller::{ControllerInput, ControllerTiming};
use crate::discovery::diskless_daemon::run_diskless;
use crate::error::StartupError;
use crate::event_loop::{ControlEvent, EventLoop, QUEUE_CAPACITY};
use crate::metrics::Metrics;
use crate::node::{ControllerNode, Endpoints, SharedState};
use crate::process::{Dialects, bind_inner, bind_operators, parse_address, spawn_http_server};
use crate::settings::Settings;
use config::parse_addresses;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use transport::{HttpServer, ListenerBudget, MessageTransport, ProcessSignals, ResourceBudget};
use types::ResultCode;

/// The exit code of a controller that was stopped by a signal.
const EXIT_STOPPED: u8 = 0;
/// The exit code of a controller that can't start with its settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs a controller until a signal stops it, and returns the process's exit code: 0 after a signal, 2 if it can't
/// start. A controller whose `folder` is empty runs without a disk.
pub fn run(settings: &Settings, dialects: Dialects, signals: ProcessSignals) -> u8 {
    let outcome = if settings.folder.is_empty() {
        run_diskless(settings, &dialects, signals)
    } else {
        run_with_disk(settings, dialects, signals)
    };
    match outcome {
        Ok(()) => EXIT_STOPPED,
        Err(error) => {
            eprintln!("controller: {} {error}", ResultCode::BadSettings);
            EXIT_BAD_SETTINGS
        }
    }
}

/// The addresses that a controller listens at, bound before anything else is started.
struct Listeners {
    inner: TcpListener,
    operators: HttpServer,
}

fn run_with_disk(
    settings: &Settings,
    dialects: Dialects,
    signals: ProcessSignals,
) -> Result<(), StartupError> {
    let endpoints = read_endpoints(settings)?;
    let budget = ControllerBudget::new(settings);
    let listeners = bind(&endpoints, &budget)?;
    let (sender, events) = flume::bounded::<ControlEvent>(QUEUE_CAPACITY);
    let disk_thread = open_disk(settings, &sender)?;
    let post = open_transport(&endpoints, listeners.inner, budget.peers, &sender)?;
    let shared = SharedState {
        responses: PendingResponses::default(),
        is_ready: Arc::new(AtomicBool::new(false)),
        metrics: Arc::new(Metrics::default()),
    };
    let read_seeds = dialects.seeds.clone();
    let handler = request_handler(settings, dialects, &shared, &sender, budget.total);
    spawn_handler(listeners.operators, handler)?;
    let (listen, inner) = (endpoints.listen, endpoints.inner);
    tracing::info!(%listen, %inner, zone = settings.zone, "controller: started");
    let timing = timing_of(settings);
    let node = ControllerNode::new(endpoints, timing, disk_thread, post, shared);
    EventLoop::new(node, events, signals, read_seeds).run();
    tracing::info!("controller: stopped");
    Ok(())
}

fn read_endpoints(settings: &Settings) -> Result<Endpoints, StartupError> {
    Ok(Endpoints {
        listen: parse_address(&settings.listen)?,
        inner: parse_address(&settings.inner)?,
        founders: parse_addresses(&settings.founders),
        seeds: parse_addresses(&settings.seeds),
    })
}

fn bind(endpoints: &Endpoints, budget: &ControllerBudget) -> Result<Listeners, StartupError> {
    Ok(Listeners {
        inner: bind_inner(endpoints.inner)?,
        operators: bind_operators(endpoints.listen, budget.operators.clone())?,
    })
}

/// Starts the disk thread, which recovers the folder.
fn open_disk(
    settings: &Settings,
    sender: &flume::Sender<ControlEvent>,
) -> Result<DiskThread, StartupError> {
    let sender = sender.clone();
    let send_event = move |incarnation, event| {
        let _ = sender.send(ControlEvent::Disk(incarnation, event));
    };
    DiskThread::open(Path::new(&settings.folder), send_event).map_err(|source| {
        StartupError::OpenFolder {
            folder: settings.folder.clone(),
            source,
        }
    })
}

/// Starts the message transport to other processes of the fleet.
fn open_transport(
    endpoints: &Endpoints,
    listener: TcpListener,
    listener_budget: ListenerBudget,
    sender: &flume::Sender<ControlEvent>,
) -> Result<MessageTransport, StartupError> {
    let sender = sender.clone();
    let receive = move |from, message| {
        let input = ControllerInput::Message { from, message };
        let _ = sender.send(ControlEvent::Input(input));
    };
    MessageTransport::open_within(listener, listener_budget, receive).map_err(|source| {
        StartupError::Bind {
            setting: "inner",
            address: endpoints.inner,
            source,
        }
    })
}

fn request_handler(
    settings: &Settings,
    dialects: Dialects,
    shared: &SharedState,
    sender: &flume::Sender<ControlEvent>,
    budget: ResourceBudget,
) -> RequestHandler {
    let input_sender = sender.clone();
    let send_input = move |input| {
        let _ = input_sender.send(ControlEvent::Input(input));
    };
    RequestHandler {
        control: ControlClient::new(shared.responses.clone(), send_input),
        dialects,
        zones: settings
            .zones
            .iter()
            .map(|name| name.as_str().into())
            .collect(),
        sender: sender.clone(),
        is_ready: shared.is_ready.clone(),
        metrics: shared.metrics.clone(),
        budget,
        longest_answer: AtomicUsize::new(0),
    }
}

fn spawn_handler(server: HttpServer, handler: RequestHandler) -> Result<(), StartupError> {
    let handler = Arc::new(handler);
    spawn_http_server(server, move |request| {
        handler
            .metrics
            .http_requests
            .fetch_add(1, Ordering::Relaxed);
        handler.respond(&request)
    })
}

fn timing_of(settings: &Settings) -> ControllerTiming {
    let mut timing = ControllerTiming::default();
    timing.replica.min_chain_length = settings.copies as usize;
    timing.replica.target_voters = settings.voters as usize;
    timing.quorum = settings.quorum;
    timing.quota = settings.quota_bounds();
    timing
}
