use crate::admin::control_client::Responses;
use crate::admin::control_client::{Attempt, ReplicationTransport};
use crate::admin::http::OwnInterface;
use crate::consensus::disk_thread::{DiskEvent, DiskThread};
use crate::controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming};
use crate::discovery::diskless_daemon::run_relay;
use crate::discovery::peer_discovery::PeerDiscovery;
use crate::event_loop::ControlEvent;
use crate::metrics::Metrics;
use crate::process::Dialects;
use crate::process::{SETTINGS_PERIOD, operators_gate, stop_flag};
use crate::settings::Settings;
use config::{ConfigStateMachine, parse_addresses};
use replication::{ChainPosition, RecoveredRecords, Replica, Voter};
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use transport::{MessageClass, MessageTransport, Request, Response};
use types::{
    Address, Clock, DiskId, Milliseconds, MonotonicInstant, ResultCode, TokenKey, ZoneName,
    random_bytes,
};

/// Between clock events, at least and at most.
const SHORTEST_TICK: Milliseconds = Milliseconds(20);
const LONGEST_TICK: Milliseconds = Milliseconds(100);
/// A controller that is told to stop waits for so long at most until others have taken over what it holds.
const LONGEST_HAND_OVER: Milliseconds = Milliseconds(4000);
/// What may wait for the control thread; whoever brings more waits.
const QUEUE: usize = 8192;

/// Runs a controller until it's told to stop; gives the exit code.
pub fn run(settings: &Settings, dialects: Dialects) -> u8 {
    let outcome = if settings.folder.is_empty() {
        run_relay(settings, &dialects)
    } else {
        start(settings, dialects)
    };
    match outcome {
        Ok(()) => 0,
        Err(why) => {
            eprintln!("controller: {} {why}", ResultCode::BadSettings);
            2
        }
    }
}

fn start(settings: &Settings, dialects: Dialects) -> Result<(), String> {
    let listen: Address = settings.listen.parse()?;
    let inner: Address = settings.inner.parse()?;
    let founders = parse_addresses(&settings.founders);
    let seeds = parse_addresses(&settings.seeds);
    let listener =
        TcpListener::bind(inner.0).map_err(|fault| format!("inner = {inner}: {fault}"))?;
    let http_server = operators_gate(listen)?;
    let (sender, events) = flume::bounded::<ControlEvent>(QUEUE);

    let tell_control = sender.clone();
    let disk_thread = DiskThread::open(Path::new(&settings.folder), move |incarnation, event| {
        let _ = tell_control.send(ControlEvent::Disk(incarnation, event));
    })
    .map_err(|fault| format!("folder = {}: {fault}", settings.folder))?;
    let take_message = sender.clone();
    let post = MessageTransport::open(listener, move |from, message| {
        let _ = take_message.send(ControlEvent::Input(ControllerInput::Message {
            from,
            message,
        }));
    })
    .map_err(|fault| format!("inner = {inner}: {fault}"))?;

    let stop = stop_flag()?;
    let responses = Responses::default();
    let is_ready = Arc::new(AtomicBool::new(false));
    let metrics = Arc::new(Metrics::default());
    let gate_sender = sender.clone();
    let zones = settings
        .zones
        .iter()
        .map(|name| name.as_str().into())
        .collect();
    let tell = move |input| {
        let _ = gate_sender.send(ControlEvent::Input(input));
    };
    let read_seeds = dialects.seeds.clone();
    let core = ReplicationTransport::new(responses.clone(), tell);
    let believes_sender = sender.clone();
    let door = Door {
        core,
        dialects,
        zones,
        sender: believes_sender,
        is_ready: is_ready.clone(),
        metrics: metrics.clone(),
    };
    let door = Arc::new(door);
    let http_server_thread = move || {
        http_server.serve(move |request| {
            door.metrics.requests.fetch_add(1, Ordering::Relaxed);
            door.respond(&request)
        });
    };
    std::thread::Builder::new()
        .name("gate".into())
        .spawn(http_server_thread)
        .map_err(|fault| fault.to_string())?;
    tracing::info!(
        "controller: listens at {listen}, inner {inner}, zone {}.",
        settings.zone
    );
    let mut timing = ControllerTiming::default();
    timing.replica.min_chain_length = settings.copies as usize;
    timing.replica.target_voters = settings.voters as usize;
    timing.quorum = settings.quorum;
    timing.quota = settings.quota_bounds();
    let mut control = Control {
        inner,
        listen,
        founders,
        seeds,
        timing,
        disk_thread,
        post,
        responses,
        is_ready,
        metrics,
        controller: None,
        incarnation: 0,
        fault: None,
    };
    let mut next_tick = Clock::now();
    let mut next_reading = next_tick;
    let mut draining_since = None;
    loop {
        let now = Clock::now();
        if stop.load(Ordering::Relaxed) && control.may_stop(now, *draining_since.get_or_insert(now))
        {
            break;
        }
        if now >= next_reading {
            next_reading = now + SETTINGS_PERIOD;
            let seeds = read_seeds.as_ref().and_then(|read| read());
            seeds
                .into_iter()
                .for_each(|seeds| control.take_seeds(seeds));
        }
        if now >= next_tick {
            control.take(ControlEvent::Input(ControllerInput::ClockEvent));
            next_tick = control
                .controller
                .as_ref()
                .map_or(now, Controller::next_timer)
                .max(now + SHORTEST_TICK);
            next_tick = next_tick.min(now + LONGEST_TICK);
        }
        match events.recv_timeout(now.until(next_tick).duration()) {
            Ok(event) => control.take(event),
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => break,
        }
        // What came may have made something due sooner.
        if let Some(controller) = &control.controller {
            next_tick = next_tick.min(controller.next_timer().max(now + SHORTEST_TICK));
        }
    }
    tracing::info!("controller: stopped.");
    Ok(())
}

struct Control {
    inner: Address,
    listen: Address,
    founders: Vec<Address>,
    seeds: Vec<Address>,
    timing: ControllerTiming,
    disk_thread: DiskThread,
    post: MessageTransport,
    responses: Responses,
    is_ready: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
    controller: Option<Controller>,
    incarnation: u64,
    fault: Option<String>,
}

impl Control {
    /// Told to stop: asks the others to take over, and says when they have or when the time is up.
    fn may_stop(&mut self, now: MonotonicInstant, since: MonotonicInstant) -> bool {
        self.step(now, ControllerInput::Leave);
        let has_handed_over = self
            .controller
            .as_ref()
            .is_none_or(|controller| controller.replica().has_handed_over());
        has_handed_over || now.since(since) >= LONGEST_HAND_OVER
    }

    fn take(&mut self, event: ControlEvent) {
        let now = Clock::now();
        match event {
            ControlEvent::Input(input) => self.step(now, input),
            ControlEvent::Disk(incarnation, DiskEvent::Ready { disk, kept }) => {
                self.begin(incarnation, disk, kept)
            }
            ControlEvent::Disk(incarnation, DiskEvent::Written { id })
                if incarnation == self.incarnation =>
            {
                self.step(now, ControllerInput::Written { id });
            }
            ControlEvent::Disk(incarnation, DiskEvent::Fault { why }) => {
                if self.fault.as_ref() != Some(&why) {
                    tracing::error!(
                        "disk: {} {why}; this controller steps out.",
                        ResultCode::DiskFault
                    );
                    self.fault = Some(why);
                }
                self.metrics.faults.fetch_add(1, Ordering::Relaxed);
                if incarnation == self.incarnation {
                    self.step(now, ControllerInput::DiskFault);
                }
            }
            ControlEvent::Disk(..) => {}
            ControlEvent::Believes(response) => {
                let _ = response.send(self.believes(now));
            }
        }
        if let Some(controller) = &self.controller {
            let is_ready = controller.replica().is_serving(now);
            self.is_ready.store(is_ready, Ordering::Relaxed);
        }
    }

    /// The settings name these seeds now; this machine's own may be one of them.
    fn take_seeds(&mut self, seeds: Vec<Address>) {
        self.seeds.clone_from(&seeds);
        self.take(ControlEvent::Input(ControllerInput::Seeds(seeds)));
    }

    fn begin(&mut self, incarnation: u64, disk: DiskId, kept: RecoveredRecords) {
        let now = Clock::now();
        let me = Voter {
            address: self.inner,
            disk,
        };
        // A machine added later knows nobody but its seeds; they learn of it by its beats.
        let known = if self.founders.is_empty() {
            self.seeds.clone()
        } else {
            self.founders.clone()
        };
        let timing = self.timing;
        match Replica::new(
            me,
            known,
            timing.replica,
            kept,
            ConfigStateMachine::default(),
            now,
        ) {
            Ok(replica) => {
                tracing::info!(
                    "controller: disk {disk} holds epoch {}.",
                    replica.state_machine().epoch
                );
                self.incarnation = incarnation;
                self.disk_thread.begin(incarnation);
                self.fault = None;
                let (key, incarnation) =
                    (TokenKey(random_bytes()), u64::from_ne_bytes(random_bytes()));
                let contacts =
                    PeerDiscovery::new(self.inner, Some(self.listen), self.seeds.clone(), now);
                self.controller = Some(Controller::new(
                    replica,
                    contacts,
                    timing,
                    key,
                    incarnation,
                    now,
                ));
            }
            Err(fault) => {
                tracing::error!(
                    "controller: {} {fault}; the folder must be emptied by hand.",
                    ResultCode::DiskFault
                );
                self.fault = Some(fault.to_string());
                self.controller = None;
            }
        }
    }

    fn step(&mut self, now: MonotonicInstant, input: ControllerInput) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        for output in controller.step(now, input) {
            match output {
                ControllerOutput::Send {
                    to,
                    is_bulk,
                    message,
                } => {
                    let class = MessageClass::of(&message, is_bulk);
                    self.post.send(to, class, message);
                }
                ControllerOutput::Write {
                    id,
                    records,
                    is_whole,
                } => {
                    self.metrics.writes.fetch_add(1, Ordering::Relaxed);
                    self.disk_thread.write(id, records, is_whole);
                }
                ControllerOutput::Response {
                    number,
                    status,
                    body,
                } => {
                    self.responses.give(number, status, body);
                }
                ControllerOutput::ViewChanged(view) => {
                    let position = |position: &ChainPosition| match position.is_caught_up {
                        true => position.voter.address.to_string(),
                        false => format!("{} (not level yet)", position.voter.address),
                    };
                    let chain: Vec<String> = view.chain.iter().map(position).collect();
                    tracing::info!(
                        "replication: view {}, chain {}.",
                        view.epoch,
                        chain.join(" > ")
                    );
                }
            }
        }
        let config_state = controller.replica().state_machine();
        self.metrics
            .epoch
            .store(config_state.epoch.0, Ordering::Relaxed);
        self.metrics.members.store(
            config_state.membership.members.len() as u64,
            Ordering::Relaxed,
        );
        let view = controller.replica().view();
        self.metrics.view.store(view.epoch.0, Ordering::Relaxed);
        self.metrics
            .chain
            .store(view.chain.len() as u64, Ordering::Relaxed);
        self.metrics
            .polls
            .store(controller.poll_count(), Ordering::Relaxed);
    }

    fn believes(&self, now: MonotonicInstant) -> serde_json::Value {
        let Some(controller) = &self.controller else {
            return serde_json::json!({"inner": self.inner, "fault": self.fault});
        };
        let state = controller.replica().state();
        let config_state = controller.replica().state_machine();
        serde_json::json!({
            "inner": self.inner,
            "disk": state.me.disk.to_string(),
            "fault": self.fault,
            "view": state.view.epoch,
            "chain": state.view.chain.iter().map(|s| serde_json::json!({
                "address": s.voter.address, "disk": s.voter.disk.to_string(), "is_level": s.is_caught_up,
            })).collect::<Vec<_>>(),
            "voters": state.view.voters.iter().map(|v| v.address).collect::<Vec<_>>(),
            "last": state.last,
            "replied": state.commit_index,
            "may_respond": state.may_respond,
            "is_sound": state.is_healthy,
            "heard_ms_ago": state.last_seen.iter().map(|(a, s)| (a.to_string(), s.0)).collect::<std::collections::BTreeMap<_, _>>(),
            "epoch": config_state.epoch,
            "plan_epoch": config_state.plan_epoch,
            "withdrawn": config_state.withdrawn,
            "members": config_state.membership.members,
            "leases": controller.members(now).iter().map(|(a, e)| (a.to_string(), e.0)).collect::<std::collections::BTreeMap<_, _>>(),
        })
    }
}

/// What the connections' threads share.
struct Door {
    core: ReplicationTransport,
    dialects: Dialects,
    zones: Vec<ZoneName>,
    sender: flume::Sender<ControlEvent>,
    is_ready: Arc<AtomicBool>,
    metrics: Arc<Metrics>,
}

impl Door {
    fn respond(&self, request: &Request) -> Response {
        let Some(admin) = &self.dialects.admin else {
            return self.own_response(request);
        };
        let attempt = Attempt::new(
            admin.patience(request.body.len()),
            Some(request.client.clone()),
        );
        let is_ready = self.is_ready.load(Ordering::Relaxed);
        match admin.read(request) {
            Ok(Some(call)) => {
                let plans = self.dialects.plans.as_ref();
                admin.write(
                    self.core
                        .carry(call, plans, &self.zones, is_ready, &attempt),
                )
            }
            Ok(None) if request.method == "GET" => self.own_response(request),
            Ok(None) => Response::result(
                ResultCode::NotFound,
                format!("{} {} is not known here", request.method, request.path),
            ),
            Err(response) => *response,
        }
    }

    /// The product's own interface.
    fn own_response(&self, request: &Request) -> Response {
        OwnInterface::new(
            request,
            &self.core,
            &self.sender,
            &self.is_ready,
            &self.metrics,
        )
        .respond()
    }
}
