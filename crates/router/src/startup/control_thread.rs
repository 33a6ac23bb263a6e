//! The control thread: gives what reaches it to the node's state machine, and does what comes out.

use super::own_interface::OwnInterface;
use crate::admin::metrics::Metrics;
use crate::control::event::ControlEvent;
use crate::control::node::{
    KvTask, Node, NodeInput, NodeOutput, Placement, PlacementRequest, Rejection,
};
use crate::control::response_channel::ResponseSender;
use crate::discovery::endpoint_list::ReadRetryPolicy;
use crate::request::resume_token::Token;
use config::PlanDialect;
use placement::{Decision, Outcome, PlacementReason};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use transport::{MessageClass, MessageTransport};
use types::{Address, Clock, ConfigEpoch, MonotonicInstant, RequestId};

/// A request that wants a server, and who waits to hear which.
struct PendingPlacement {
    request: RequestId,
    response: ResponseSender<Result<Placement, Rejection>>,
}

/// The state that belongs to the control thread.
pub(super) struct ControlThread {
    pub(super) node: Node,
    post: MessageTransport,
    own_interface: Arc<OwnInterface>,
    kv: flume::Sender<KvTask>,
    /// Has the platform's list read.
    list: Option<flume::Sender<ReadRetryPolicy>>,
    plans: Arc<dyn PlanDialect>,
    /// Requests that wait for a server, by their numbers.
    placing: HashMap<u64, PendingPlacement>,
    /// Streams that are to be read on, by their numbers.
    resuming: HashMap<u64, ResponseSender<Result<Token, Rejection>>>,
    /// Whether it was told to stop: clients are to be sent elsewhere.
    pub(super) is_draining: bool,
}

impl ControlThread {
    /// For a node without requests.
    pub(super) fn new(
        node: Node,
        post: MessageTransport,
        own_interface: Arc<OwnInterface>,
        kv: flume::Sender<KvTask>,
        list: Option<flume::Sender<ReadRetryPolicy>>,
        plans: Arc<dyn PlanDialect>,
    ) -> Self {
        ControlThread {
            node,
            post,
            own_interface,
            kv,
            list,
            plans,
            placing: HashMap::new(),
            resuming: HashMap::new(),
            is_draining: false,
        }
    }

    /// Applies the seeds that the settings name now.
    pub(super) fn set_seeds(&mut self, seeds: Vec<Address>) {
        let has_seeds = !seeds.is_empty();
        let had_seeds = self
            .own_interface
            .shared
            .has_seeds
            .swap(has_seeds, Ordering::SeqCst);
        match (had_seeds, has_seeds) {
            (true, false) => tracing::warn!("router: the settings name no seed any more."),
            (false, true) => tracing::info!("router: the settings name a seed now."),
            _ => {}
        }
        self.take(ControlEvent::Input(NodeInput::Seeds(seeds)));
    }

    /// Takes what has come, after waiting a little for something.
    pub(super) fn take_all(&mut self, events: &flume::Receiver<ControlEvent>) {
        if let Ok(event) = events.recv_timeout(Duration::from_millis(5)) {
            self.take(event);
        }
    }

    /// Gives an event to the node, and does what comes out.
    pub(super) fn take(&mut self, event: ControlEvent) {
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
        let metrics = &self.own_interface.shared.metrics;
        let until = self.node.may_act_until(now);
        // First the epoch: whoever sees the longer lease is to see what it was given for.
        self.own_interface
            .shared
            .epoch
            .store(self.node.epoch().0, Ordering::SeqCst);
        self.own_interface
            .shared
            .may_act_until
            .store(until.0, Ordering::SeqCst);
        let is_ready = self.node.is_ready(now) && !self.is_draining;
        self.own_interface
            .shared
            .is_ready
            .store(is_ready, Ordering::SeqCst);
        // First the members: a plan is put into force for as many as there are.
        self.own_interface
            .shared
            .set_member_count(self.node.member_count());
        self.own_interface
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
                Metrics::more(&self.own_interface.shared.metrics.copies);
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
                self.own_interface
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
        let (control, plans) = (
            self.own_interface.shared.control.clone(),
            self.plans.clone(),
        );
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
        let metrics = &self.own_interface.shared.metrics;
        if let Decision::Placed { reason, .. } = decision {
            Metrics::more(match reason {
                PlacementReason::Warm => &metrics.placed_warm,
                PlacementReason::CacheMatch => &metrics.placed_match,
                _ => &metrics.placed_other,
            });
        }
        self.own_interface.decisions.add(|number| {
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
