use crate::contacts::Contacts;
use crate::control_event::ControlEvent;
use crate::controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming};
use crate::core_line::Responses;
use crate::core_line::{Attempt, CoreLine};
use crate::disk_thread::{DiskEvent, DiskThread};
use crate::own_interface::OwnInterface;
use crate::process::Dialects;
use crate::process::{SETTINGS_PERIOD, operators_gate, stop_flag};
use crate::relay_daemon::run_relay;
use crate::settings::Settings;
use crate::tallies::Tallies;
use config::{Ledger, parse_addresses};
use replication::{Kept, Replica, Seat, Voter};
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use transport::{Post, PostClass, Request, Response};
use types::{Address, Clock, DiskId, Moment, ResultCode, Span, TokenKey, ZoneName, random_bytes};

/// Between clock events, at least and at most.
const SHORTEST_TICK: Span = Span(20);
const LONGEST_TICK: Span = Span(100);
/// A controller that is told to stop waits for so long at most until others have taken over what it holds.
const LONGEST_HAND_OVER: Span = Span(4000);
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
    let gate = operators_gate(listen)?;
    let (sender, events) = flume::bounded::<ControlEvent>(QUEUE);

    let tell_control = sender.clone();
    let disk_thread = DiskThread::open(Path::new(&settings.folder), move |life, event| {
        let _ = tell_control.send(ControlEvent::Disk(life, event));
    })
    .map_err(|fault| format!("folder = {}: {fault}", settings.folder))?;
    let take_letter = sender.clone();
    let post = Post::open(listener, move |from, letter| {
        let _ = take_letter.send(ControlEvent::Input(ControllerInput::Letter {
            from,
            letter,
        }));
    })
    .map_err(|fault| format!("inner = {inner}: {fault}"))?;

    let stop = stop_flag()?;
    let responses = Responses::default();
    let is_ready = Arc::new(AtomicBool::new(false));
    let tallies = Arc::new(Tallies::default());
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
    let core = CoreLine::new(responses.clone(), tell);
    let believes_sender = sender.clone();
    let door = Door {
        core,
        dialects,
        zones,
        sender: believes_sender,
        is_ready: is_ready.clone(),
        tallies: tallies.clone(),
    };
    let door = Arc::new(door);
    let gate_thread = move || {
        gate.serve(move |request| {
            door.tallies.requests.fetch_add(1, Ordering::Relaxed);
            door.respond(&request)
        });
    };
    std::thread::Builder::new()
        .name("gate".into())
        .spawn(gate_thread)
        .map_err(|fault| fault.to_string())?;
    tracing::info!(
        "controller: listens at {listen}, inner {inner}, zone {}.",
        settings.zone
    );
    let mut timing = ControllerTiming::default();
    timing.replica.copies = settings.copies as usize;
    timing.replica.voters = settings.voters as usize;
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
        tallies,
        controller: None,
        life: 0,
        fault: None,
    };
    let mut next_tick = Clock::now();
    let mut next_reading = next_tick;
    let mut leaving_since = None;
    loop {
        let now = Clock::now();
        if stop.load(Ordering::Relaxed) && control.may_stop(now, *leaving_since.get_or_insert(now))
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
    post: Post,
    responses: Responses,
    is_ready: Arc<AtomicBool>,
    tallies: Arc<Tallies>,
    controller: Option<Controller>,
    life: u64,
    fault: Option<String>,
}

impl Control {
    /// Told to stop: asks the others to take over, and says when they have or when the time is up.
    fn may_stop(&mut self, now: Moment, since: Moment) -> bool {
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
            ControlEvent::Disk(life, DiskEvent::Ready { disk, kept }) => {
                self.begin(life, disk, kept)
            }
            ControlEvent::Disk(life, DiskEvent::Written { id }) if life == self.life => {
                self.step(now, ControllerInput::Written { id });
            }
            ControlEvent::Disk(life, DiskEvent::Fault { why }) => {
                if self.fault.as_ref() != Some(&why) {
                    tracing::error!(
                        "disk: {} {why}; this controller steps out.",
                        ResultCode::DiskFault
                    );
                    self.fault = Some(why);
                }
                self.tallies.faults.fetch_add(1, Ordering::Relaxed);
                if life == self.life {
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

    fn begin(&mut self, life: u64, disk: DiskId, kept: Kept) {
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
        match Replica::new(me, known, timing.replica, kept, Ledger::default(), now) {
            Ok(replica) => {
                tracing::info!(
                    "controller: disk {disk} holds epoch {}.",
                    replica.state_machine().epoch
                );
                self.life = life;
                self.disk_thread.begin(life);
                self.fault = None;
                let (key, incarnation) =
                    (TokenKey(random_bytes()), u64::from_ne_bytes(random_bytes()));
                let contacts =
                    Contacts::new(self.inner, Some(self.listen), self.seeds.clone(), now);
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

    fn step(&mut self, now: Moment, input: ControllerInput) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        for output in controller.step(now, input) {
            match output {
                ControllerOutput::Send {
                    to,
                    is_bulk,
                    letter,
                } => {
                    let class = PostClass::of(&letter, is_bulk);
                    self.post.send(to, class, letter);
                }
                ControllerOutput::Write {
                    id,
                    records,
                    is_whole,
                } => {
                    self.tallies.writes.fetch_add(1, Ordering::Relaxed);
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
                    let seat = |seat: &Seat| match seat.is_level {
                        true => seat.voter.address.to_string(),
                        false => format!("{} (not level yet)", seat.voter.address),
                    };
                    let chain: Vec<String> = view.chain.iter().map(seat).collect();
                    tracing::info!(
                        "replication: view {}, chain {}.",
                        view.epoch,
                        chain.join(" > ")
                    );
                }
            }
        }
        let ledger = controller.replica().state_machine();
        self.tallies.epoch.store(ledger.epoch.0, Ordering::Relaxed);
        self.tallies
            .members
            .store(ledger.membership.members.len() as u64, Ordering::Relaxed);
        let view = controller.replica().view();
        self.tallies.view.store(view.epoch.0, Ordering::Relaxed);
        self.tallies
            .chain
            .store(view.chain.len() as u64, Ordering::Relaxed);
        self.tallies
            .polls
            .store(controller.poll_count(), Ordering::Relaxed);
    }

    fn believes(&self, now: Moment) -> serde_json::Value {
        let Some(controller) = &self.controller else {
            return serde_json::json!({"inner": self.inner, "fault": self.fault});
        };
        let state = controller.replica().state();
        let ledger = controller.replica().state_machine();
        serde_json::json!({
            "inner": self.inner,
            "disk": state.me.disk.to_string(),
            "fault": self.fault,
            "view": state.view.epoch,
            "chain": state.view.chain.iter().map(|s| serde_json::json!({
                "address": s.voter.address, "disk": s.voter.disk.to_string(), "is_level": s.is_level,
            })).collect::<Vec<_>>(),
            "voters": state.view.voters.iter().map(|v| v.address).collect::<Vec<_>>(),
            "last": state.last,
            "replied": state.replied,
            "may_respond": state.may_respond,
            "is_sound": state.is_sound,
            "heard_ms_ago": state.heard.iter().map(|(a, s)| (a.to_string(), s.0)).collect::<std::collections::BTreeMap<_, _>>(),
            "epoch": ledger.epoch,
            "plan_epoch": ledger.plan_epoch,
            "withdrawn": ledger.withdrawn,
            "members": ledger.membership.members,
            "leases": controller.members(now).iter().map(|(a, e)| (a.to_string(), e.0)).collect::<std::collections::BTreeMap<_, _>>(),
        })
    }
}

/// What the connections' threads share.
struct Door {
    core: CoreLine,
    dialects: Dialects,
    zones: Vec<ZoneName>,
    sender: flume::Sender<ControlEvent>,
    is_ready: Arc<AtomicBool>,
    tallies: Arc<Tallies>,
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
            &self.tallies,
        )
        .respond()
    }
}
