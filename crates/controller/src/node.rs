//! A controller on its machine: carries the state machine's outputs out on the disk, the network and the operators'
//! connections, and makes a new replica of each incarnation of the storage.

use crate::admin::control_client::PendingResponses;
use crate::consensus::disk_thread::{DiskEvent, DiskThread};
use crate::controller::{Controller, ControllerInput, ControllerOutput, ControllerTiming};
use crate::discovery::peer_discovery::PeerDiscovery;
use crate::metrics::Metrics;
use config::ConfigStateMachine;
use replication::{ChainPosition, RecoveredRecords, Replica, View, Voter};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use transport::{MessageClass, MessageTransport};
use types::{Address, DiskId, MonotonicInstant, ResultCode, TokenKey, random_bytes};

mod beliefs;

/// Where a controller is reached and whom it knows at its start.
pub(crate) struct Endpoints {
    /// Where other processes of the fleet reach this one.
    pub inner: Address,
    /// Where operators reach this one.
    pub listen: Address,
    /// Inner addresses of the replicas that found the core together; empty on a machine that joins later.
    pub founders: Vec<Address>,
    /// Inner addresses of the processes that are queried for the core's location at the start.
    pub seeds: Vec<Address>,
}

/// What the control thread shares with the connection threads.
pub(crate) struct SharedState {
    /// Operators' requests in flight.
    pub responses: PendingResponses,
    /// Whether this replica serves the core.
    pub is_ready: Arc<AtomicBool>,
    /// Counters and gauges.
    pub metrics: Arc<Metrics>,
}

/// A controller with its disk and its network. It belongs to the control thread.
pub(crate) struct ControllerNode {
    endpoints: Endpoints,
    timing: ControllerTiming,
    disk_thread: DiskThread,
    post: MessageTransport,
    shared: SharedState,
    /// `None` until the disk thread has recovered the folder, and while the folder is damaged.
    controller: Option<Controller>,
    /// The storage's incarnation that `controller` writes to.
    incarnation: u64,
    /// The last fault of the disk, until the folder is recovered.
    fault: Option<String>,
}

impl ControllerNode {
    /// A node whose folder is not recovered yet.
    pub(crate) fn new(
        endpoints: Endpoints,
        timing: ControllerTiming,
        disk_thread: DiskThread,
        post: MessageTransport,
        shared: SharedState,
    ) -> Self {
        ControllerNode {
            endpoints,
            timing,
            disk_thread,
            post,
            shared,
            controller: None,
            incarnation: 0,
            fault: None,
        }
    }

    /// When the controller's next clock event is due; `None` while there is no controller.
    pub(crate) fn next_timer(&self) -> Option<MonotonicInstant> {
        self.controller.as_ref().map(Controller::next_timer)
    }

    /// Asks the other replicas to take over; returns whether they have, or there is nothing to hand over.
    pub(crate) fn hand_over(&mut self, now: MonotonicInstant) -> bool {
        self.step(now, ControllerInput::Leave);
        self.controller
            .as_ref()
            .is_none_or(|controller| controller.replica().has_handed_over())
    }

    /// Takes up the seeds as the settings have them now; this machine may be one of them.
    pub(crate) fn set_seeds(&mut self, seeds: Vec<Address>) {
        let now = types::Clock::now();
        self.endpoints.seeds.clone_from(&seeds);
        self.step(now, ControllerInput::Seeds(seeds));
        self.publish_readiness(now);
    }

    /// Takes in an event of the disk thread. Writes of an earlier incarnation are ignored.
    pub(crate) fn handle_disk_event(
        &mut self,
        now: MonotonicInstant,
        incarnation: u64,
        event: DiskEvent,
    ) {
        match event {
            DiskEvent::Ready { disk, recovered } => self.recover(incarnation, disk, recovered),
            DiskEvent::Written { id } if incarnation == self.incarnation => {
                self.step(now, ControllerInput::Written { id });
            }
            DiskEvent::Fault { why } => self.handle_disk_fault(now, incarnation, why),
            DiskEvent::Written { .. } => {}
        }
    }

    fn handle_disk_fault(&mut self, now: MonotonicInstant, incarnation: u64, error: String) {
        if self.fault.as_ref() != Some(&error) {
            let code = ResultCode::DiskFault;
            tracing::error!(%code, %error, "disk: write failed; replica leaves the chain");
            self.fault = Some(error);
        }
        Metrics::increment(&self.shared.metrics.disk_faults);
        if incarnation == self.incarnation {
            self.step(now, ControllerInput::DiskFault);
        }
    }

    /// Makes a new replica of what the folder holds.
    fn recover(&mut self, incarnation: u64, disk: DiskId, recovered: RecoveredRecords) {
        let now = types::Clock::now();
        let endpoints = &self.endpoints;
        let me = Voter {
            address: endpoints.inner,
            disk,
        };
        // A machine that is added later knows its seeds alone; the other replicas learn of it by its heartbeats.
        let known = if endpoints.founders.is_empty() {
            endpoints.seeds.clone()
        } else {
            endpoints.founders.clone()
        };
        let replica = Replica::new(
            me,
            known,
            self.timing.replica,
            recovered,
            ConfigStateMachine::default(),
            now,
        );
        match replica {
            Ok(replica) => self.start_controller(now, incarnation, replica),
            Err(error) => {
                let code = ResultCode::DiskFault;
                tracing::error!(%code, %error, "controller: recovery failed; the folder must be emptied by hand");
                self.fault = Some(error.to_string());
                self.controller = None;
            }
        }
    }

    fn start_controller(
        &mut self,
        now: MonotonicInstant,
        incarnation: u64,
        replica: Replica<ConfigStateMachine>,
    ) {
        let (disk, epoch) = (replica.me().disk, replica.state_machine().epoch);
        tracing::info!(%disk, %epoch, "controller: folder recovered");
        self.incarnation = incarnation;
        self.disk_thread.begin(incarnation);
        self.fault = None;
        let key = TokenKey(random_bytes());
        let request_numbers = u64::from_ne_bytes(random_bytes());
        let endpoints = &self.endpoints;
        let discovery = PeerDiscovery::new(
            endpoints.inner,
            Some(endpoints.listen),
            endpoints.seeds.clone(),
            now,
        );
        self.controller = Some(Controller::new(
            replica,
            discovery,
            self.timing,
            key,
            request_numbers,
            now,
        ));
    }

    /// Gives the controller an input and carries its outputs out. Without a controller the input is dropped.
    pub(crate) fn step(&mut self, now: MonotonicInstant, input: ControllerInput) {
        let Some(controller) = &mut self.controller else {
            return;
        };
        let outputs = controller.step(now, input);
        for output in outputs {
            self.execute(output);
        }
        self.publish_metrics();
    }

    fn execute(&mut self, output: ControllerOutput) {
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
                replaces_all,
            } => {
                Metrics::increment(&self.shared.metrics.disk_writes);
                self.disk_thread.write(id, records, replaces_all);
            }
            ControllerOutput::Response {
                number,
                status,
                body,
            } => self.shared.responses.complete(number, status, body),
            ControllerOutput::ViewChanged(view) => log_view(&view),
            ControllerOutput::ZoneChangeProposed {
                id,
                change,
                seen,
                applied,
                pending_for,
            } => {
                let pending_ms = pending_for.0;
                tracing::info!(%id, change, %seen, %applied, pending_ms, "admin: zone change proposed");
            }
        }
    }

    fn publish_metrics(&self) {
        let Some(controller) = &self.controller else {
            return;
        };
        let metrics = &self.shared.metrics;
        let replica = controller.replica();
        let (state, view) = (replica.state_machine(), replica.view());
        Metrics::set(&metrics.config_epoch, state.epoch.0);
        Metrics::set(&metrics.members, state.membership.members.len() as u64);
        Metrics::set(&metrics.view_epoch, view.epoch.0);
        Metrics::set(&metrics.chain_length, view.chain.len() as u64);
        Metrics::set(&metrics.polls, controller.poll_count());
    }

    /// Tells the connection threads whether this replica serves the core.
    pub(crate) fn publish_readiness(&self, now: MonotonicInstant) {
        if let Some(controller) = &self.controller {
            let is_ready = controller.replica().is_serving(now);
            self.shared.is_ready.store(is_ready, Ordering::Relaxed);
        }
    }
}

fn log_view(view: &View) {
    let position = |position: &ChainPosition| match position.is_caught_up {
        true => position.voter.address.to_string(),
        false => format!("{} (catching up)", position.voter.address),
    };
    let chain: Vec<String> = view.chain.iter().map(position).collect();
    tracing::info!(view = %view.epoch, chain = chain.join(" > "), "replication: view changed");
}
