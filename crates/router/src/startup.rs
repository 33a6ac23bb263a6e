//! The process of a router: startup, the control thread's loop, and the end.

mod control_thread;
mod drain_schedule;
mod kv_tasks;
mod own_interface;
mod router_loop;

use self::control_thread::ControlThread;
use self::kv_tasks::start_kv;
use self::own_interface::OwnInterface;
use self::router_loop::{OwnServer, RouterLoop, SETTINGS_PERIOD};
use crate::admin::decision_log::DecisionLog;
use crate::admin::metrics::Metrics;
use crate::admin::replay::ReplayHead;
use crate::control::event::ControlEvent;
use crate::control::node::{Node, NodeInput, NodeTiming};
use crate::dialect::CallDialect;
use crate::discovery::list_reader;
use crate::discovery::report_poller;
use crate::downstream::budget::RouterBudget;
use crate::downstream::ingress::Ingress;
use crate::downstream::limits::SharedLimits;
use crate::settings::Settings;
use crate::shared::{NEVER, Shared};
use crate::suspension::SuspensionMonitor;
use config::{OwnPlans, PlanDialect, parse_addresses};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, RwLock};
use transport::{HttpServer, HttpServerBounds, MessageTransport, ProcessSignals};
use types::{Address, Clock, Milliseconds, ResultCode, ZoneName, random_bytes};

/// What may wait for the control thread; whoever brings more waits.
const QUEUE: usize = 8192;

/// In what a router is spoken to, besides its own interface.
pub struct Dialects {
    /// How plans are written.
    pub plans: Arc<dyn PlanDialect>,
    /// How clients, servers and the list of servers speak; `None`: in the product's own interface alone.
    pub calls: Option<Arc<dyn CallDialect>>,
    /// Reads the seeds anew: when the process is told that its settings have changed, and, since they may change
    /// without a word, while it has no lease.
    pub seeds: Option<ReadSeeds>,
}

/// Gives the seeds as the settings have them now, if they can be read.
pub type ReadSeeds = Box<dyn Fn() -> Option<Vec<Address>> + Send>;

impl Default for Dialects {
    /// The product's own.
    fn default() -> Self {
        Dialects {
            plans: Arc::new(OwnPlans),
            calls: None,
            seeds: None,
        }
    }
}

/// Runs a router until it's told to stop and has finished its streams; gives the exit code.
pub fn run(settings: &Settings, dialects: Dialects, signals: ProcessSignals) -> u8 {
    match start(settings, dialects, &signals) {
        Ok(code) => code,
        Err(why) => {
            eprintln!("router: {} {why}", ResultCode::BadSettings);
            2
        }
    }
}

fn start(settings: &Settings, dialects: Dialects, signals: &ProcessSignals) -> Result<u8, String> {
    let listen: Address = settings.listen.parse()?;
    let inner: Address = settings.inner.parse()?;
    let seeds = parse_addresses(&settings.seeds);
    if seeds.is_empty() && dialects.seeds.is_none() {
        return Err(
            "seeds is empty, and there is no settings file that could come to name one: the inner address of at \
             least one controller is needed"
                .into(),
        );
    }
    let has_seeds = !seeds.is_empty();
    if !has_seeds {
        tracing::warn!(
            "router: the settings name no seed; waits until they name the inner address of a controller."
        );
    }
    let budget = RouterBudget::new(settings, dialects.calls.is_some());
    let listener =
        TcpListener::bind(inner.0).map_err(|fault| format!("inner = {inner}: {fault}"))?;
    let connections = settings.requests as usize + 112;
    let bounds = HttpServerBounds {
        connections,
        body_bytes: 4 << 20,
        read_timeout: Milliseconds::seconds(10),
        ..HttpServerBounds::default()
    };
    let http_server = HttpServer::open_within(listen.0, bounds, budget.own.clone())
        .map_err(|fault| format!("listen = {listen}: {fault}"))?;
    let (sender, events) = flume::bounded::<ControlEvent>(QUEUE);
    let take_message = sender.clone();
    let receive = move |from, message| {
        let _ = take_message.send(ControlEvent::Input(NodeInput::Message { from, message }));
    };
    let post = MessageTransport::open_within(listener, budget.peers.clone(), receive)
        .map_err(|fault| format!("inner = {inner}: {fault}"))?;
    let incarnation = new_life();
    let scheduler_rules = settings.scheduler_rules();
    let head = ReplayHead {
        own: inner,
        incarnation,
        scheduler_rules: scheduler_rules.clone(),
    };
    let now = Clock::now();
    let zone = ZoneName::from(settings.zone.as_str());
    let mut node = Node::new(
        inner,
        zone,
        seeds,
        incarnation,
        NodeTiming::default(),
        scheduler_rules,
        now,
    );
    let shared = Arc::new(Shared {
        control: sender.clone(),
        may_act_until: AtomicU64::new(0),
        epoch: AtomicU64::new(0),
        metrics: Metrics::default(),
        number: AtomicU64::new(1),
        bound: settings.requests,
        block_bytes: settings.block_bytes as usize,
        stall: Milliseconds(settings.stall_ms),
        plan: RwLock::default(),
        is_ready: AtomicBool::new(false),
        has_seeds: AtomicBool::new(has_seeds),
        exits_at: AtomicU64::new(NEVER),
        last_arrival: AtomicU64::new(0),
        suspension: SuspensionMonitor::new(),
        limits: SharedLimits::new(),
    });
    let has_calls = dialects.calls.is_some();
    let (ingress, list) = match dialects.calls {
        Some(dialect) => {
            let ingress = Ingress::open(settings, shared.clone(), dialect.clone(), &budget)?;
            node = node.with_endpoint_list(settings.endpoint_list_timing());
            let (platform, control) = (settings.platform.parse()?, sender.clone());
            let tell =
                move |reading| drop(control.send(ControlEvent::Input(NodeInput::List(reading))));
            let list =
                list_reader::start(platform, dialect, tell).map_err(|fault| fault.to_string())?;
            (Some(ingress), Some(list))
        }
        None => {
            let control = sender.clone();
            let tell_scheduler =
                move |event| drop(control.send(ControlEvent::Input(NodeInput::Event(event))));
            report_poller::start(settings.platform.clone(), tell_scheduler)
                .map_err(|fault| fault.to_string())?;
            (None, None)
        }
    };
    let kv = start_kv(&sender).map_err(|fault| fault.to_string())?;

    let own_interface = Arc::new(OwnInterface {
        shared: shared.clone(),
        decisions: DecisionLog::new(settings.journal_lines as usize),
        events: DecisionLog::new(settings.journal_lines as usize),
        head: serde_json::to_string(&head).expect("a head is JSON"),
        budget: budget.total.clone(),
    });
    let (closer, open_count) = (http_server.closer(), http_server.open_count());
    let interface = own_interface.clone();
    let http_server_thread =
        move || http_server.serve(move |request| interface.clone().respond(&request));
    let http_server_thread = std::thread::Builder::new()
        .name("gate".into())
        .spawn(http_server_thread);
    let http_server_thread = http_server_thread.map_err(|fault| fault.to_string())?;

    tracing::info!(
        "router: listens at {listen}, inner {inner}, zone {}.",
        settings.zone
    );
    let control = ControlThread::new(node, post, own_interface, kv, list, dialects.plans);
    let exit_code = RouterLoop {
        control,
        events,
        shared,
        ingress,
        own_server: OwnServer {
            closer,
            open_count,
            thread: Some(http_server_thread),
        },
        settings,
        has_calls,
        read_seeds: dialects.seeds,
        signals,
        next_tick: now,
        next_seeds_read: now + SETTINGS_PERIOD,
        drain_schedule: None,
        is_draining: false,
    }
    .run();
    Ok(exit_code)
}

/// A number for this life of the process, never that of an earlier one.
fn new_life() -> u64 {
    u64::from_be_bytes(random_bytes()) >> 12
}
