//! A process with many hollow nodes: one thread owns them all.

use crate::hollow::protocol::{HostCommand, HostReport};
use crate::hollow::rules::HollowRules;
use config::ServiceKind;
use config::parse_plan;
use placement::{Event, Outcome, RequestCost, SchedulerRules, mix};
use placement::{PrefixHash, ServerEntry};
use router::{Node, NodeInput, NodeOutput, NodeTiming, PlacementRequest, run_id};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{BufRead, Write};
use std::net::TcpListener;
use transport::{MessageClass, MessageTransport};
use types::{
    Address, Clock, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName,
    ServiceName, ZoneName,
};
use wire::Message;

enum Input {
    Message(usize, Address, Message),
    Command(HostCommand),
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Arrival(usize),
    First(usize, RequestId),
    End(usize, RequestId, u64),
}

struct HollowNode {
    address: Address,
    node: Option<Node>,
    post: MessageTransport,
    epoch: ConfigEpoch,
}

struct Host {
    rules: HollowRules,
    seeds: Vec<Address>,
    nodes: Vec<HollowNode>,
    inputs: flume::Sender<Input>,
    timers: BinaryHeap<Reverse<(MonotonicInstant, Timer)>>,
    random: u64,
    number: u64,
    replaced: u32,
    is_loaded: bool,
    placed: u64,
    refused: u64,
}

/// Inputs that may wait to be taken in.
const INPUT_QUEUE: usize = 65_536;

/// Serves as a host process: takes commands from standard input until it ends. Fails if the first is not
/// `HostCommand::Begin` or a node can't be started.
pub fn serve() -> Result<(), String> {
    let (inputs, events) = flume::bounded::<Input>(INPUT_QUEUE);
    spawn_command_reader(inputs.clone())?;
    let Ok(Input::Command(HostCommand::Begin {
        rules,
        nodes,
        seeds,
    })) = events.recv()
    else {
        return Err("the first request must tell the nodes".into());
    };
    let mut host = Host::new(rules, seeds, inputs);
    for (address, zone) in nodes {
        host.add(address, zone)?;
    }
    loop {
        let now = Clock::now();
        let timer = host.on_time(now);
        if let Ok(input) = events.recv_timeout(Clock::now().until(timer).duration()) {
            host.take(input)?;
        }
    }
}

/// Starts the thread that reads commands. The process ends with its standard input.
fn spawn_command_reader(inputs: flume::Sender<Input>) -> Result<(), String> {
    let read = move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                Ok(command) => {
                    let _ = inputs.send(Input::Command(command));
                }
                Err(fault) => eprintln!("hollow-host: {fault}"),
            }
        }
        // Whoever drives this process is gone.
        std::process::exit(0);
    };
    std::thread::Builder::new()
        .name("requests".into())
        .spawn(read)
        .map(|_| ())
        .map_err(|fault| fault.to_string())
}

/// Which zone an address is in, see [`super::start::node_address`]; controllers are in none of the nodes'.
fn zone_octet(address: &Address) -> Option<u8> {
    match address.0.ip() {
        std::net::IpAddr::V4(ip) => Some(ip.octets()[1]),
        std::net::IpAddr::V6(_) => None,
    }
}

fn say(word: &HostReport) {
    let line = serde_json::to_string(word).expect("a word is JSON");
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{line}");
    let _ = out.flush();
}

impl Host {
    fn new(rules: HollowRules, seeds: Vec<Address>, inputs: flume::Sender<Input>) -> Host {
        Host {
            random: mix(rules.seed ^ u64::from(std::process::id())),
            rules,
            seeds,
            nodes: vec![],
            inputs,
            timers: BinaryHeap::new(),
            number: 0,
            replaced: 0,
            is_loaded: false,
            placed: 0,
            refused: 0,
        }
    }

    fn draw(&mut self) -> u64 {
        self.random = mix(self.random);
        self.random
    }

    fn add(&mut self, address: Address, zone: ZoneName) -> Result<(), String> {
        let listener =
            TcpListener::bind(address.0).map_err(|fault| format!("{address}: {fault}"))?;
        let (place, inputs) = (self.nodes.len(), self.inputs.clone());
        let take = move |from, message| drop(inputs.send(Input::Message(place, from, message)));
        let post = MessageTransport::open(listener, take)
            .map_err(|fault| format!("{address}: {fault}"))?;
        let (seeds, incarnation, now) = (self.seeds.clone(), self.draw() >> 12, Clock::now());
        let node = Node::new(
            address,
            zone,
            seeds,
            incarnation,
            NodeTiming::default(),
            SchedulerRules::default(),
            now,
        );
        self.nodes.push(HollowNode {
            address,
            node: Some(node),
            post,
            epoch: ConfigEpoch(0),
        });
        self.tell_server_list(place);
        if self.is_loaded {
            self.timers.push(Reverse((now, Timer::Arrival(place))));
        }
        Ok(())
    }

    /// The platform's list, and a first report of each server.
    fn tell_server_list(&mut self, place: usize) {
        let name = |n: u32| ServerName(format!("10.1.{}.{}:8000", n / 250, n % 250));
        // Those that were replaced have names of their own.
        let named = |n: u32| {
            if n < self.replaced {
                name(n + 50_000)
            } else {
                name(n)
            }
        };
        let zones = self.rules.zones;
        let servers: Vec<ServerEntry> = (0..self.rules.servers)
            .map(|n| ServerEntry {
                server: named(n),
                zone: ZoneName(format!("zone-{}", n % zones)),
                pool: "model".into(),
                ..ServerEntry::default()
            })
            .collect();
        let names: Vec<ServerName> = servers.iter().map(|entry| entry.server.clone()).collect();
        self.step(place, NodeInput::Event(Event::ServerList { servers }));
        for server in names {
            let report = Event::Load {
                server,
                incarnation: 1,
                up: Milliseconds::seconds(600),
                running: 0,
                waiting: 0,
                slots: 64,
                weights: "w".into(),
            };
            self.step(place, NodeInput::Event(report));
        }
    }

    fn take(&mut self, input: Input) -> Result<(), String> {
        match input {
            Input::Message(place, from, message) => {
                self.step(place, NodeInput::Message { from, message });
            }
            Input::Command(HostCommand::Begin { .. }) => {}
            Input::Command(HostCommand::Load) => {
                self.is_loaded = true;
                let now = Clock::now();
                for place in 0..self.nodes.len() {
                    let at = now + Milliseconds(self.draw() % 1000);
                    self.timers.push(Reverse((at, Timer::Arrival(place))));
                }
            }
            Input::Command(HostCommand::Kill(address)) => {
                self.nodes
                    .iter_mut()
                    .filter(|one| one.address == address)
                    .for_each(|one| one.node = None);
            }
            Input::Command(HostCommand::Add(address, zone)) => self.add(address, zone)?,
            Input::Command(HostCommand::ServerList(replaced)) => {
                self.replaced = replaced;
                (0..self.nodes.len()).for_each(|place| self.tell_server_list(place));
            }
            Input::Command(HostCommand::ReportTraffic) => self.tell_sent(),
        }
        Ok(())
    }

    fn tell_sent(&mut self) {
        let mut rows = vec![];
        for one in &self.nodes {
            let (mut messages, mut bytes, mut far) = (0, 0, 0);
            for (to, tally) in one.post.traffic() {
                let sent = tally.bytes.load(std::sync::atomic::Ordering::Relaxed);
                messages += tally.messages.load(std::sync::atomic::Ordering::Relaxed);
                bytes += sent;
                if zone_octet(to) != zone_octet(&one.address) {
                    far += sent;
                }
            }
            rows.push((one.address, messages, bytes, far));
        }
        say(&HostReport::Sent(rows, self.placed, self.refused));
    }

    /// Does all that is due; gives when something is again.
    fn on_time(&mut self, now: MonotonicInstant) -> MonotonicInstant {
        for place in 0..self.nodes.len() {
            let is_reached = |node: &Node| now >= node.next_timer();
            if self.nodes[place].node.as_ref().is_some_and(is_reached) {
                self.step(place, NodeInput::ClockEvent);
            }
        }
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((at, _))| *at <= now)
        {
            if let Some(Reverse((_, timer))) = self.timers.pop() {
                self.on_timer(timer, now);
            }
        }
        let nodes = self
            .nodes
            .iter()
            .filter_map(|one| one.node.as_ref())
            .map(Node::next_timer);
        let timers = self.timers.peek().map(|Reverse((at, _))| *at);
        let timer = nodes.chain(timers).min().unwrap_or(now + Milliseconds(250));
        timer
            .max(now + Milliseconds(1))
            .min(now + Milliseconds(250))
    }

    fn on_timer(&mut self, timer: Timer, now: MonotonicInstant) {
        match timer {
            Timer::Arrival(place) => {
                if self.nodes[place].node.is_none() {
                    return;
                }
                let pause = 1000.0 / self.rules.requests.max(0.001);
                let next =
                    now + Milliseconds((pause * 2.0 * (self.draw() % 1000) as f64 / 1000.0) as u64);
                self.timers.push(Reverse((next, Timer::Arrival(place))));
                if self.rules.requests > 0.0 {
                    self.arrive(place, now);
                }
            }
            Timer::First(place, request) => {
                self.step(place, NodeInput::Event(Event::FirstToken { request }));
            }
            Timer::End(place, request, number) => {
                let ended = Event::Ended {
                    request: request.clone(),
                    outcome: Outcome::Complete,
                };
                self.step(place, NodeInput::Event(ended));
                self.step(
                    place,
                    NodeInput::Close {
                        request,
                        number,
                        may_have_run: true,
                    },
                );
            }
        }
    }

    fn arrive(&mut self, place: usize, now: MonotonicInstant) {
        // A tenth of the draws goes to a hundred prefixes, the rest to all.
        let draw = self.draw();
        let most = if draw.is_multiple_of(10) {
            self.rules.prefixes.min(100)
        } else {
            self.rules.prefixes
        };
        let prefix = self.draw() % most.max(1);
        let hashes = (0..66).map(|n| PrefixHash(mix(prefix << 8 | n))).collect();
        self.number += 1;
        let number = self.number;
        let request = RequestId(format!("{}-{number}", self.nodes[place].address));
        let run = run_id([0; 16]);
        let service = ServiceName(format!("model-{}", draw % 13));
        let ask = NodeInput::Place(PlacementRequest {
            number,
            request: request.clone(),
            service,
            kind: ServiceKind::Stream,
            route: None,
            key: None,
            hashes,
            request_cost: RequestCost::default(),
            round: 0,
            tried: vec![],
            may_have_run: false,
            run,
        });
        let is_placed = self.step_for(place, ask);
        if !is_placed {
            self.refused += 1;
            return;
        }
        self.placed += 1;
        self.timers.push(Reverse((
            now + Milliseconds(200),
            Timer::First(place, request.clone()),
        )));
        let held = Milliseconds(2000 + self.draw() % 8000);
        self.timers
            .push(Reverse((now + held, Timer::End(place, request, number))));
    }

    fn step(&mut self, place: usize, input: NodeInput) {
        self.step_for(place, input);
    }

    /// Steps a node and does what it wants; whether a request was placed.
    fn step_for(&mut self, place: usize, input: NodeInput) -> bool {
        let one = &mut self.nodes[place];
        let Some(node) = &mut one.node else {
            return false;
        };
        let mut is_placed = false;
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            for output in node.step(Clock::now(), input) {
                match output {
                    NodeOutput::Send {
                        to,
                        is_bulk,
                        message,
                    } => {
                        let class = MessageClass::of(&message, is_bulk);
                        one.post.send(to, class, message);
                    }
                    NodeOutput::Place { outcome, .. } => is_placed = outcome.is_ok(),
                    NodeOutput::Read { plan_epoch, bytes } => {
                        let plan = parse_plan(&bytes).map(std::sync::Arc::new);
                        inputs.push(NodeInput::Plan {
                            plan_epoch,
                            plan,
                            bytes,
                        });
                    }
                    _ => {}
                }
            }
        }
        if node.epoch() != one.epoch {
            one.epoch = node.epoch();
            say(&HostReport::ConfigEpoch(
                one.address,
                one.epoch.0,
                Clock::now().0,
            ));
        }
        is_placed
    }
}
