use crate::admin::decision_log::DecisionLog;
use crate::admin::metrics::Metrics;
use crate::admin::replay::ReplayHead;
use crate::control::event::ControlEvent;
use crate::control::node::{
    KvTask, Node, NodeInput, NodeOutput, NodeTiming, Placement, PlacementRequest, Rejection,
};
use crate::control::response_channel::ResponseSender;
use crate::dialect::CallDialect;
use crate::discovery::endpoint_list::ReadRetryPolicy;
use crate::discovery::list_reader;
use crate::discovery::report_poller;
use crate::downstream::budget::RouterBudget;
use crate::downstream::client_api::{fetch, resume, run_request};
use crate::downstream::ingress::Ingress;
use crate::downstream::limits::SharedLimits;
use crate::request::resume_token::Token;
use crate::settings::Settings;
use crate::shared::{NEVER, Shared};
use crate::suspension::SuspensionMonitor;
use config::{OwnPlans, PlanDialect, parse_addresses};
use placement::{Decision, Outcome, PlacementReason};
use replication::LeaseStatus;
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;
use transport::{
    BodyChunk, BodySource, HttpServer, HttpServerBounds, MessageClass, MessageTransport,
    ProcessSignals, Request, ResourceBudget, Response, http_delete, http_post,
};
use types::{
    Address, ApiKey, Clock, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode,
    ServerName, ZoneName, random_bytes,
};

/// Between clock events, at most.
const LONGEST_TICK: Milliseconds = Milliseconds(250);
/// Between readings of the settings' seeds, while there is no lease.
const SETTINGS_PERIOD: Milliseconds = Milliseconds(1000);
/// What is made of a body takes so many times its bytes while it's read.
const PARSED_COPIES: usize = 3;
/// Bytes of it that each request holds anyway.
const FREE_PARSED_BYTES: usize = 16 << 10;
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

/// Told to stop, a node lingers at least this long, since clients are handed out by what was true before.
const QUIET_FROM: Milliseconds = Milliseconds(2500);

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

    let door = Arc::new(Door {
        shared: shared.clone(),
        decisions: DecisionLog::new(settings.journal_lines as usize),
        events: DecisionLog::new(settings.journal_lines as usize),
        head: serde_json::to_string(&head).expect("a head is JSON"),
        budget: budget.total.clone(),
    });
    let (closer, open_count) = (http_server.closer(), http_server.open_count());
    let gate_door = door.clone();
    let http_server_thread =
        move || http_server.serve(move |request| gate_door.clone().respond(&request));
    let http_server_thread = std::thread::Builder::new()
        .name("gate".into())
        .spawn(http_server_thread);
    let http_server_thread = http_server_thread.map_err(|fault| fault.to_string())?;

    tracing::info!(
        "router: listens at {listen}, inner {inner}, zone {}.",
        settings.zone
    );
    let mut control = Control {
        node,
        post,
        door,
        kv,
        list,
        plans: dialects.plans,
        placing: HashMap::new(),
        resuming: HashMap::new(),
        is_draining: false,
    };
    let mut next_tick = Clock::now();
    let mut next_reading = now + SETTINGS_PERIOD;
    let (mut leaving, mut is_draining) = (None, false);
    loop {
        let now = Clock::now();
        shared.suspension.record_running(now);
        if now >= next_tick {
            control.take(ControlEvent::Input(NodeInput::ClockEvent));
            if signals.is_stop_requested() && !control.is_draining {
                tracing::info!(
                    "router: not ready any more; takes what is still sent to it for a moment."
                );
                control.is_draining = true;
                ingress.iter().for_each(Ingress::leave);
                leaving = Some(DrainSchedule::new(now, settings, has_calls));
            }
            let reads_seeds_again = now >= next_reading
                && control.node.lease_state().status(now) != LeaseStatus::Leased;
            if signals.take_settings_change() || reads_seeds_again {
                next_reading = now + SETTINGS_PERIOD;
                if let Some(seeds) = dialects.seeds.as_ref().and_then(|read| read()) {
                    control.set_seeds(seeds);
                }
            }
            if let Some(schedule) = &leaving {
                if now >= schedule.short_from {
                    shared.exits_at.store(schedule.end.0, Ordering::SeqCst);
                }
                let has_none_left =
                    ingress.is_some() && now >= schedule.quiet_from && shared.is_quiet(now);
                if (now >= schedule.none_from || has_none_left) && !is_draining {
                    tracing::info!("router: takes no new work; finishes what is in hand.");
                    control.take(ControlEvent::Input(NodeInput::Drain));
                    is_draining = true;
                }
            }
            if control.node.is_drained() {
                // Whoever has connected by now still gets a response, and every response its last byte.
                closer.close();
                let _ = http_server_thread.join();
                ingress.iter().for_each(Ingress::close);
                let deadline = Clock::now() + Milliseconds::seconds(if has_calls { 1 } else { 2 });
                let is_open = || {
                    open_count.load(Ordering::SeqCst) > 0
                        || ingress
                            .as_ref()
                            .is_some_and(|ingress| ingress.open_count() > 0)
                };
                while is_open() && Clock::now() < deadline {
                    control.take_all(&events);
                }
                tracing::info!("router: stopped.");
                return Ok(0);
            }
            if leaving.as_ref().is_some_and(|schedule| now >= schedule.end) {
                tracing::warn!(
                    "router: stopped with {} requests in hand.",
                    control.node.open_count()
                );
                return Ok(1);
            }
        }
        // Asked again after each event, since it may have brought something that is due sooner.
        next_tick = control
            .node
            .next_timer()
            .max(now + Milliseconds(1))
            .min(now + LONGEST_TICK);
        if let Ok(event) = events.recv_timeout(now.until(next_tick).duration()) {
            control.take(event);
        }
    }
}

/// What a process that was told to stop takes when.
struct DrainSchedule {
    /// From then on only what will have ended before `end`.
    short_from: MonotonicInstant,
    /// From then on nothing, if no request came for a while.
    quiet_from: MonotonicInstant,
    /// From then on nothing.
    none_from: MonotonicInstant,
    /// The process ends, whatever is in hand.
    end: MonotonicInstant,
}

impl DrainSchedule {
    /// For a process that was told to stop now. How long a request may last is known of calls alone: where there are
    /// others, nothing is taken that might not end in time.
    fn new(now: MonotonicInstant, settings: &Settings, has_calls: bool) -> Self {
        let short_from = now + Milliseconds(settings.linger_ms);
        let short_for = if has_calls {
            Milliseconds(settings.drain_ms * 2 / 3)
        } else {
            Milliseconds(0)
        };
        DrainSchedule {
            short_from,
            quiet_from: now + QUIET_FROM,
            none_from: short_from + short_for,
            end: short_from + Milliseconds(settings.drain_ms),
        }
    }
}

/// A number for this life of the process, never that of an earlier one.
fn new_life() -> u64 {
    u64::from_be_bytes(random_bytes()) >> 12
}

/// A request that wants a server, and who waits to hear which.
struct PendingPlacement {
    request: RequestId,
    response: ResponseSender<Result<Placement, Rejection>>,
}

struct Control {
    node: Node,
    post: MessageTransport,
    door: Arc<Door>,
    kv: flume::Sender<KvTask>,
    /// Has the platform's list read.
    list: Option<flume::Sender<ReadRetryPolicy>>,
    plans: Arc<dyn PlanDialect>,
    /// Requests that wait for a server, by their numbers.
    placing: HashMap<u64, PendingPlacement>,
    /// Streams that are to be read on, by their numbers.
    resuming: HashMap<u64, ResponseSender<Result<Token, Rejection>>>,
    /// Whether it was told to stop: clients are to be sent elsewhere.
    is_draining: bool,
}

impl Control {
    /// Applies the seeds that the settings name now.
    fn set_seeds(&mut self, seeds: Vec<Address>) {
        let has_seeds = !seeds.is_empty();
        let had_seeds = self.door.shared.has_seeds.swap(has_seeds, Ordering::SeqCst);
        match (had_seeds, has_seeds) {
            (true, false) => tracing::warn!("router: the settings name no seed any more."),
            (false, true) => tracing::info!("router: the settings name a seed now."),
            _ => {}
        }
        self.take(ControlEvent::Input(NodeInput::Seeds(seeds)));
    }

    /// Takes what has come, after waiting a little for something.
    fn take_all(&mut self, events: &flume::Receiver<ControlEvent>) {
        if let Ok(event) = events.recv_timeout(Duration::from_millis(5)) {
            self.take(event);
        }
    }

    fn take(&mut self, event: ControlEvent) {
        let now = Clock::now();
        let input = match event {
            ControlEvent::Input(input) => input,
            ControlEvent::Place(input, response) => {
                if !response.claim() {
                    return;
                }
                if let NodeInput::Place(PlacementRequest {
                    number, request, ..
                }) = &input
                {
                    let request = request.clone();
                    let pending = PendingPlacement { request, response };
                    self.placing.insert(*number, pending);
                }
                input
            }
            ControlEvent::Resume(input, response) => {
                if !response.claim() {
                    return;
                }
                if let NodeInput::Resume { number, .. } = &input {
                    self.resuming.insert(*number, response);
                }
                input
            }
            ControlEvent::Believes(response) => {
                let _ = response.send(self.believes(now));
                return;
            }
        };
        let placed_number = match &input {
            NodeInput::Place(request) => Some(request.number),
            _ => None,
        };
        if let NodeInput::Close { number, .. } = &input {
            self.placing.remove(number);
        }
        let outputs = self.node.step(now, input);
        self.publish_state(now);
        for output in outputs {
            self.perform(output);
        }
        if let Some(pending) = placed_number.and_then(|number| self.placing.get(&number)) {
            pending.response.defer();
        }
    }

    /// Lets the threads that serve requests see the state that the last step has led to.
    fn publish_state(&self, now: MonotonicInstant) {
        // Before anyone is told that a request is placed: they ask whether it may leave.
        let metrics = &self.door.shared.metrics;
        let until = self.node.may_act_until(now);
        // First the epoch: whoever sees the longer lease is to see what it was given for.
        self.door
            .shared
            .epoch
            .store(self.node.epoch().0, Ordering::SeqCst);
        self.door
            .shared
            .may_act_until
            .store(until.0, Ordering::SeqCst);
        let is_ready = self.node.is_ready(now) && !self.is_draining;
        self.door.shared.is_ready.store(is_ready, Ordering::SeqCst);
        // First the members: a plan is put into force for as many as there are.
        self.door.shared.set_member_count(self.node.member_count());
        self.door
            .shared
            .install_plan(self.node.plan(), self.node.tenants());
        metrics.epoch.store(self.node.epoch().0, Ordering::Relaxed);
        metrics
            .may_act
            .store(u64::from(now < until), Ordering::Relaxed);
    }

    fn perform(&mut self, output: NodeOutput) {
        match output {
            NodeOutput::Send {
                to,
                is_bulk,
                message,
            } => {
                let class = MessageClass::of(&message, is_bulk);
                self.post.send(to, class, message);
            }
            NodeOutput::Place { number, outcome } => self.answer_placement(number, outcome),
            NodeOutput::Resume { number, outcome } => {
                if let Some(response) = self.resuming.remove(&number) {
                    response.send(outcome);
                }
            }
            NodeOutput::Read { plan_epoch, bytes } => self.read_plan(plan_epoch, bytes),
            NodeOutput::Kv(task) => {
                Metrics::more(&self.door.shared.metrics.copies);
                if self.kv.try_send(task).is_err() {
                    tracing::warn!("kv: too many requests wait; one is dropped.");
                }
            }
            NodeOutput::ReadList(effort) => {
                // Full: it is being read.
                if let Some(list) = &self.list {
                    let _ = list.try_send(effort);
                }
            }
            NodeOutput::Event(dated) => {
                self.door
                    .events
                    .add(|_| serde_json::to_string(&dated).expect("an event is JSON"));
            }
            NodeOutput::Decision(at, decision) => self.note(at, &decision),
            NodeOutput::Log(line) => tracing::info!("{line}."),
        }
    }

    /// Tells a request where it goes. If it no longer waits, it goes nowhere, and its place is let go.
    fn answer_placement(&mut self, number: u64, outcome: Result<Placement, Rejection>) {
        let Some(pending) = self.placing.remove(&number) else {
            return;
        };
        let is_placed = outcome.is_ok();
        if !pending.response.send(outcome) && is_placed {
            let ended = placement::Event::Ended {
                request: pending.request,
                outcome: Outcome::Refused,
            };
            self.take(ControlEvent::Input(NodeInput::Event(ended)));
        }
    }

    /// A large plan takes long to read; leases must not wait for it.
    fn read_plan(&self, plan_epoch: ConfigEpoch, bytes: Arc<Vec<u8>>) {
        let (control, plans) = (self.door.shared.control.clone(), self.plans.clone());
        let read = move || {
            let input = NodeInput::Plan {
                plan_epoch,
                plan: plans.parse_accepted(&bytes).map(Arc::new),
                bytes,
            };
            let _ = control.send(ControlEvent::Input(input));
        };
        if let Err(fault) = std::thread::Builder::new().name("plan".into()).spawn(read) {
            tracing::warn!("node: no thread to read a plan: {fault}.");
        }
    }

    fn note(&self, at: MonotonicInstant, decision: &Decision) {
        let metrics = &self.door.shared.metrics;
        if let Decision::Placed { reason, .. } = decision {
            Metrics::more(match reason {
                PlacementReason::Warm => &metrics.placed_warm,
                PlacementReason::CacheMatch => &metrics.placed_match,
                _ => &metrics.placed_other,
            });
        }
        self.door.decisions.add(|number| {
            let mut value = serde_json::to_value(decision).expect("a decision is JSON");
            value["cursor"] = number.into();
            value["at"] = at.0.into();
            value.to_string()
        });
    }

    fn believes(&self, now: MonotonicInstant) -> serde_json::Value {
        let lease_state = self.node.lease_state();
        let scheduler = self.node.scheduler();
        let servers: serde_json::Map<String, serde_json::Value> = scheduler
            .servers()
            .iter()
            .map(|(name, server)| {
                let state = if !server.is_listed {
                    "unlisted"
                } else if server.is_draining {
                    "leaving"
                } else if self.node.withdrawn().contains(&server.zone) {
                    "withdrawn"
                } else if server.is_ejected(now) {
                    "suspected"
                } else {
                    "serving"
                };
                let value = serde_json::json!({
                    "state": state, "zone": server.zone, "pool": server.pool, "incarnation": server.incarnation,
                    "own_requests": server.own, "reported": server.reported.map(|(load, _)| load),
                    "block_micros": server.block_micros, "hold_ms": server.service_time.0, "faults": server.consecutive_failures,
                    "knows_kv": server.knows_kv, "weights": server.weights,
                });
                (name.0.clone(), value)
            })
            .collect();
        let active: Vec<serde_json::Value> = scheduler
            .active(now)
            .into_iter()
            .map(|(prefix, holders)| serde_json::json!({"prefix": prefix, "holders": holders}))
            .collect();
        serde_json::json!({
            "inner": self.post.local_address(),
            "epoch": self.node.epoch(),
            "plan_epoch": self.node.plan_epoch(),
            "lease_state": lease_state.status(now).word(),
            "lease_ms_left": lease_state.lease_deadline().map(|deadline| now.until(deadline)),
            "members": lease_state.members(),
            "withdrawn": self.node.withdrawn(),
            "open_requests": self.node.open_count(),
            "tenants": self.node.reserved_credit(),
            "servers": servers,
            "active": active,
        })
    }
}

/// Threads that give KV orders to servers.
fn start_kv(control: &flume::Sender<ControlEvent>) -> std::io::Result<flume::Sender<KvTask>> {
    let (tasks, jobs) = flume::bounded::<KvTask>(128);
    for _ in 0..2 {
        let (jobs, control) = (jobs.clone(), control.clone());
        std::thread::Builder::new()
            .name("kv".into())
            .spawn(move || {
                while let Ok(task) = jobs.recv() {
                    if let Some(event) = do_kv(task) {
                        let _ = control.send(ControlEvent::Input(NodeInput::Event(event)));
                    }
                }
            })?;
    }
    Ok(tasks)
}

/// Orders the holder to export and the target to import. Both say whether they take the order, not
/// whether the copy was made.
fn do_kv(task: KvTask) -> Option<placement::Event> {
    const PATIENCE: Milliseconds = Milliseconds(500);
    match task {
        KvTask::Copy {
            prefix,
            holder,
            target,
        } => {
            let ask = |server: &ServerName, way: &str, other: &ServerName| {
                let body = serde_json::json!({"prefix": prefix, "peer": other})
                    .to_string()
                    .into_bytes();
                let outcome = http_post(
                    &format!("http://{server}/kv/{way}"),
                    body,
                    PATIENCE,
                    PATIENCE,
                );
                outcome.map(|response| response.status()).unwrap_or(0)
            };
            let export = ask(&holder, "export", &target);
            let import = if export == 202 {
                ask(&target, "import", &holder)
            } else {
                0
            };
            let is_unknown = |status: u16| status == 404 || status == 405;
            let (is_taken, knows_kv) = (export == 202 && import == 202, !is_unknown(import));
            Some(placement::Event::CopyFate {
                prefix,
                server: target,
                is_taken,
                knows_kv,
            })
        }
        KvTask::Drop { prefix, server } => {
            let _ = http_delete(
                &format!("http://{server}/kv/{}", prefix.0),
                PATIENCE,
                PATIENCE,
            );
            None
        }
    }
}

/// What the gate's threads share.
struct Door {
    shared: Arc<Shared>,
    decisions: DecisionLog,
    events: DecisionLog,
    head: String,
    budget: ResourceBudget,
}

impl Door {
    fn respond(self: Arc<Self>, request: &Request) -> Response {
        let parsed_bytes = request.body.len() * PARSED_COPIES;
        if parsed_bytes > FREE_PARSED_BYTES
            && let Err(no_room) = request.client.reserve(parsed_bytes as u64)
        {
            return Response::result(ResultCode::Busy, no_room.to_string());
        }
        let api_key = request
            .header("authorization")
            .and_then(ApiKey::from_bearer);
        let api_key = api_key.as_ref();
        match (request.method.as_str(), request.path_segments().as_slice()) {
            ("POST", ["v1", "requests"]) => run_request(&self.shared, &request.body, api_key),
            ("POST", ["v1", "resume"]) => resume(&self.shared, &request.body, api_key),
            ("GET", ["v1", "pages", service, rest @ ..]) => fetch(
                &self.shared,
                service,
                &rest.join("/"),
                request.header("x-request-id"),
                api_key,
            ),
            ("GET", ["ready"]) => self.shared.readiness(),
            ("GET", ["metrics"]) => {
                self.shared.metrics.set_budget(&self.budget.usage());
                Response::complete(200, "text/plain; version=0.0.4", self.shared.metrics.text())
            }
            ("GET", ["v1", "believes"]) => {
                let (response, inbox) = flume::bounded(1);
                let _ = self.shared.control.send(ControlEvent::Believes(response));
                match inbox.recv_timeout(Duration::from_secs(5)) {
                    Ok(value) => Response::json(200, &value),
                    Err(_) => {
                        Response::result(ResultCode::NotReady, "the control thread gave no answer")
                    }
                }
            }
            ("GET", ["v1", "decisions"]) => self.tail(request, DecisionLogKind::Decisions),
            ("GET", ["v1", "events"]) => self.tail(request, DecisionLogKind::Events),
            ("POST", ["v1", "events"]) => self.push(&request.body),
            _ => Response::result(
                ResultCode::NotFound,
                format!("{} {} is not known here", request.method, request.path),
            ),
        }
    }

    fn tail(self: Arc<Self>, request: &Request, kind: DecisionLogKind) -> Response {
        let cursor = match request.query_parameter("after").map(str::parse) {
            Some(Ok(cursor)) => cursor,
            Some(Err(_)) => {
                return Response::result(ResultCode::BadRequest, "after is not a number");
            }
            None => 0,
        };
        let does_follow = request.query_parameter("follow") == Some("true");
        let head =
            (cursor == 0 && kind == DecisionLogKind::Events).then(|| format!("{}\n", self.head));
        let source = DecisionLogSource {
            door: self,
            kind,
            cursor,
            does_follow,
            head,
        };
        Response::stream("application/x-ndjson", Box::new(source))
    }

    /// Takes events that operators push in. Those that would get round the accepted configuration, the
    /// platform's list or the members are turned away; all lines are read before any is taken.
    fn push(&self, body: &[u8]) -> Response {
        let Ok(text) = std::str::from_utf8(body) else {
            return Response::result(ResultCode::BadRequest, "the body is not UTF-8");
        };
        let mut events = vec![];
        for (place, line) in text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty())
        {
            use placement::Event as E;
            match serde_json::from_str::<E>(line) {
                Ok(
                    E::Rules { .. }
                    | E::Members { .. }
                    | E::ServerList { .. }
                    | E::PeerSketch { .. },
                ) => {
                    let why = format!(
                        "line {}: rules, members, the server list and peer sketches come from the fleet alone",
                        place + 1
                    );
                    return Response::result(ResultCode::BadRequest, why);
                }
                Ok(event) => events.push(event),
                Err(fault) => {
                    return Response::result(
                        ResultCode::BadRequest,
                        format!("line {}: {fault}", place + 1),
                    );
                }
            }
        }
        let count = events.len();
        for event in events {
            let _ = self
                .shared
                .control
                .send(ControlEvent::Input(NodeInput::Event(event)));
        }
        Response::json(200, &serde_json::json!({"taken": count}))
    }
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum DecisionLogKind {
    Decisions,
    Events,
}

struct DecisionLogSource {
    door: Arc<Door>,
    kind: DecisionLogKind,
    cursor: u64,
    does_follow: bool,
    head: Option<String>,
}

impl BodySource for DecisionLogSource {
    fn next_chunk(&mut self, timeout: Duration) -> BodyChunk {
        if let Some(head) = self.head.take() {
            return BodyChunk::Data(head.into_bytes().into());
        }
        let journal = match self.kind {
            DecisionLogKind::Decisions => &self.door.decisions,
            DecisionLogKind::Events => &self.door.events,
        };
        let timeout = if self.does_follow {
            timeout
        } else {
            Duration::ZERO
        };
        let (lines, cursor) = journal.after(self.cursor, 256, timeout);
        self.cursor = cursor;
        if !lines.is_empty() {
            return BodyChunk::Data((lines.join("\n") + "\n").into_bytes().into());
        }
        if self.does_follow {
            BodyChunk::Pending
        } else {
            BodyChunk::End
        }
    }
}

#[cfg(test)]
mod tests;
