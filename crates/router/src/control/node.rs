//! A router's control state as a pure state machine: inputs step in, outputs say what is to be done.

use crate::discovery::endpoint_list::{
    EndpointList, EndpointListOutput, EndpointListPeers, EndpointListTiming,
};
use crate::dissemination::Dissemination;
use config::{KeyHasher, Plan, TenantTable};
use placement::{
    Decision, Digest, Event, FLEET, Scheduler, SchedulerRules, ServerEntry, Timestamped,
};
use quota::{QuotaClient, QuotaClientStatus};
use replication::{LeaseState, LeaseStatus};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName, TokenKey,
    ViewNumber, ZoneName,
};
use wire::{ConfigUpdate, Member, Message};

mod config_updates;
mod dispatch;
mod lease;
mod messages;
mod quota_credit;
mod request_placement;
mod restored_zones;
mod timing;

use self::restored_zones::RestoredZones;
pub use messages::{KvTask, NodeInput, NodeOutput, Placement, PlacementRequest, Rejection};
pub use request_placement::resume_id;
pub use timing::NodeTiming;

/// A data-plane node's control state: its lease state among the members, the configuration, the scheduler.
///
/// Invariants: the configuration's epoch never falls, and an update is applied only once its plan is complete. A
/// request is placed only while the node may act, under a complete configuration, and with a list of servers that
/// was read in this incarnation and since the machine last slept. An id that is in flight or among the finished
/// ones is given to no second request.
#[derive(Clone)]
pub struct Node {
    own: Address,
    zone: ZoneName,
    incarnation: u64,
    timing: NodeTiming,
    now: MonotonicInstant,
    lease_state: LeaseState,
    scheduler: Scheduler,
    plan: Option<Arc<Plan>>,
    plan_bytes: Arc<Vec<u8>>,
    plan_epoch: ConfigEpoch,
    /// Hashes API keys; drawn anew in each incarnation.
    key_hasher: KeyHasher,
    /// The tenants of the applied plan.
    tenants: Arc<TenantTable>,
    /// The credit reserved for each tenant.
    credit: QuotaClient,
    /// Requests that wait for credit, by their numbers.
    waiting_for_credit: BTreeMap<u64, PlacementRequest>,
    withdrawn: Vec<ZoneName>,
    restored_zones: RestoredZones,
    members: Vec<Member>,
    /// The epoch since which the members are these.
    members_since: ConfigEpoch,
    /// The longest validity that a lease was granted with.
    lease_span: Milliseconds,
    seeds: Vec<Address>,
    voters: Vec<Address>,
    /// The view to which the voters belong.
    view: ViewNumber,
    source_index: usize,
    tail: Option<Address>,
    lease_request_round: u64,
    lease_request_sent_at: Option<MonotonicInstant>,
    next_lease_request_at: MonotonicInstant,
    pending_update: Option<PendingUpdate>,
    peer_check_round: u64,
    peer_checks: VecDeque<(u64, MonotonicInstant)>,
    next_peer_check: MonotonicInstant,
    peer_check_backoff: Milliseconds,
    /// When the last message of each other process arrived.
    last_seen: BTreeMap<Address, MonotonicInstant>,
    config_update_requested_at: MonotonicInstant,
    dissemination: Dissemination,
    next_tick: MonotonicInstant,
    last_event: MonotonicInstant,
    has_endpoint_list: bool,
    /// The list of servers, unless it arrives as [`Event::ServerList`].
    endpoint_list: Option<EndpointList>,
    /// Where the listed servers are reached whose names are not their addresses.
    addresses: BTreeMap<ServerName, String>,
    endpoint_list_deadline: Option<MonotonicInstant>,
    is_draining: bool,
    /// The key that seals and opens resume tokens.
    key: Option<TokenKey>,
    /// Requests in flight, with their numbers.
    in_flight: BTreeMap<RequestId, u64>,
    /// The newest ids of requests that a server may have run, oldest first.
    finished: VecDeque<RequestId>,
    finished_ids: BTreeSet<RequestId>,
    last_lease_status: LeaseStatus,
    outputs: Vec<NodeOutput>,
}

/// A configuration update whose plan has not arrived completely.
#[derive(Clone)]
struct PendingUpdate {
    update: ConfigUpdate,
    lease_deadline: Option<MonotonicInstant>,
    from: Address,
    bytes: Vec<u8>,
    requested_at: MonotonicInstant,
    /// Whether all bytes have arrived and another thread parses them.
    is_complete: bool,
}

impl Node {
    /// A node that has just started, without a lease, a configuration or a list of servers.
    pub fn new(
        own: Address,
        zone: ZoneName,
        seeds: Vec<Address>,
        incarnation: u64,
        timing: NodeTiming,
        scheduler_rules: SchedulerRules,
        now: MonotonicInstant,
    ) -> Self {
        let mut scheduler = Scheduler::new(own, incarnation, scheduler_rules);
        scheduler.set_zone(zone.clone());
        let key_hasher = KeyHasher::draw();
        Node {
            own,
            zone: zone.clone(),
            incarnation,
            timing,
            now,
            lease_state: LeaseState::new(own, timing.peer_check_validity),
            scheduler,
            plan: None,
            plan_bytes: Arc::default(),
            plan_epoch: ConfigEpoch(0),
            tenants: Arc::new(TenantTable::new(&[], key_hasher.clone())),
            key_hasher,
            credit: QuotaClient::new(incarnation, now),
            waiting_for_credit: BTreeMap::new(),
            withdrawn: vec![],
            restored_zones: RestoredZones::default(),
            members: vec![],
            members_since: ConfigEpoch(0),
            lease_span: Milliseconds(0),
            seeds,
            voters: vec![],
            view: ViewNumber(0),
            source_index: own.0.port() as usize,
            tail: None,
            lease_request_round: incarnation,
            lease_request_sent_at: None,
            next_lease_request_at: now,
            pending_update: None,
            peer_check_round: incarnation,
            peer_checks: VecDeque::new(),
            next_peer_check: now,
            peer_check_backoff: timing.peer_check_interval,
            last_seen: BTreeMap::new(),
            config_update_requested_at: MonotonicInstant(0),
            dissemination: Dissemination::new(own, zone, incarnation, timing.digest, now),
            next_tick: now,
            last_event: now,
            has_endpoint_list: false,
            endpoint_list: None,
            addresses: BTreeMap::new(),
            endpoint_list_deadline: None,
            is_draining: false,
            key: None,
            in_flight: BTreeMap::new(),
            finished: VecDeque::new(),
            finished_ids: BTreeSet::new(),
            last_lease_status: LeaseStatus::NeverLeased,
            outputs: vec![],
        }
    }

    /// Lets this node read the platform's list itself, or receive it from the collector of its zone.
    pub fn with_endpoint_list(self, timing: EndpointListTiming) -> Self {
        let restored_zones = RestoredZones::new(timing.list_lag);
        let endpoint_list = Some(EndpointList::new(
            self.own,
            self.incarnation,
            timing,
            self.now,
        ));
        Node {
            restored_zones,
            endpoint_list,
            ..self
        }
    }

    /// Applies an input at `now` and returns what is to be done, in order.
    pub fn step(&mut self, now: MonotonicInstant, input: NodeInput) -> Vec<NodeOutput> {
        self.now = self.now.max(now);
        match input {
            NodeInput::Message { from, message } => self.on_message(from, message),
            NodeInput::Event(Event::ServerList { servers }) => {
                self.endpoint_list_deadline = None;
                self.apply_server_entries(servers);
            }
            NodeInput::Event(event) => self.notify_scheduler(event),
            NodeInput::List(reading) => {
                self.step_endpoint_list(|list, now, _| list.on_reading(now, reading));
            }
            NodeInput::Seeds(seeds) => self.seeds = seeds,
            NodeInput::Place(placement_request) => self.on_place(placement_request),
            NodeInput::Resume { number, token } => {
                let outcome = self.resume(number, &token);
                self.outputs.push(NodeOutput::Resume { number, outcome });
            }
            NodeInput::Close {
                request,
                number,
                may_have_run,
            } => {
                self.close(request, number, may_have_run);
            }
            NodeInput::Plan {
                plan_epoch,
                plan,
                bytes,
            } => self.on_plan(plan_epoch, plan, bytes),
            NodeInput::ClockEvent => self.on_clock_event(),
            NodeInput::Drain => self.is_draining = true,
        }
        self.request_credit();
        std::mem::take(&mut self.outputs)
    }

    fn close(&mut self, request: RequestId, number: u64, may_have_run: bool) {
        self.abandon_credit(number);
        // Another request of the same id, which was rejected, closes nothing.
        if self.in_flight.get(&request) != Some(&number) {
            return;
        }
        self.in_flight.remove(&request);
        if may_have_run {
            self.remember_finished_id(request);
        }
    }

    /// The instant until which placed requests may be sent to servers; to be asked again right before each is sent.
    pub fn may_act_until(&self, now: MonotonicInstant) -> MonotonicInstant {
        let is_configured = self.plan.is_some()
            && self.key.is_some()
            && self.has_endpoint_list
            && self
                .endpoint_list_deadline
                .is_none_or(|deadline| now >= deadline);
        match self.lease_state.may_act_until(now) {
            // Never beyond what the control thread could take back if it's alive.
            Some(deadline) if is_configured => deadline.min(now + self.timing.sleep_threshold),
            _ => MonotonicInstant(0),
        }
    }
    /// Whether clients should be routed to this node: it may act and is not draining.
    pub fn is_ready(&self, now: MonotonicInstant) -> bool {
        !self.is_draining && now < self.may_act_until(now)
    }
    /// Whether this node is draining and has no request in flight.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.in_flight.is_empty()
    }
    /// The scheduler that places requests on servers.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }
    /// The newest configuration epoch that is completely applied here.
    pub fn epoch(&self) -> ConfigEpoch {
        self.lease_state.epoch()
    }
    /// The epoch at which the applied plan was accepted.
    pub fn plan_epoch(&self) -> ConfigEpoch {
        self.plan_epoch
    }
    /// The applied plan, if there is one yet.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }
    /// The tenants of the applied plan.
    pub fn tenants(&self) -> &Arc<TenantTable> {
        &self.tenants
    }
    /// Tenants with a quota, with the credit that this node has reserved and spent of it.
    pub fn reserved_credit(&self) -> Vec<QuotaClientStatus> {
        self.credit.status()
    }
    /// The number of members that share the servers, as far as this node knows.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }
    /// The state of this node's lease and of its peers.
    pub fn lease_state(&self) -> &LeaseState {
        &self.lease_state
    }
    /// The zones that operators have withdrawn from service.
    pub fn withdrawn(&self) -> &[ZoneName] {
        &self.withdrawn
    }
    /// The number of requests in flight.
    pub fn open_count(&self) -> usize {
        self.in_flight.len()
    }

    fn send(&mut self, to: Address, message: Message) {
        let is_bulk = matches!(message, Message::PlanChunk { .. });
        self.outputs.push(NodeOutput::Send {
            to,
            is_bulk,
            message,
        });
    }

    fn apply_server_entries(&mut self, mut servers: Vec<ServerEntry>) {
        self.has_endpoint_list = true;
        self.restored_zones.apply(&mut servers);
        self.addresses = servers
            .iter()
            .filter_map(|entry| Some((entry.server.clone(), entry.address.clone()?)))
            .collect();
        self.notify_scheduler(Event::ServerList { servers });
    }

    /// Applies the list that is held once more: what it says of restored zones counts differently now.
    fn reapply_endpoint_list(&mut self) {
        let list = self.endpoint_list.as_ref();
        let read_list = list.filter(|list| list.read_at().is_some());
        if let Some(servers) = read_list.map(EndpointList::servers) {
            self.apply_server_entries(servers);
        }
    }

    fn step_endpoint_list(
        &mut self,
        step: impl FnOnce(
            &mut EndpointList,
            MonotonicInstant,
            EndpointListPeers,
        ) -> Vec<EndpointListOutput>,
    ) {
        let Some(list) = &mut self.endpoint_list else {
            return;
        };
        let zone = self.dissemination.members_of(&self.zone);
        let collector = self.dissemination.collector(&self.zone);
        let peers = EndpointListPeers {
            zone,
            collector,
            fleet: self.members.len(),
        };
        let outputs = step(list, self.now, peers);
        if list.is_fresh() {
            self.endpoint_list_deadline = None;
        }
        let read_at = list.read_at();
        let is_verified = read_at.is_some_and(|read_at| self.restored_zones.verify(read_at));
        for output in outputs {
            match output {
                EndpointListOutput::Read(effort) => self.outputs.push(NodeOutput::ReadList(effort)),
                EndpointListOutput::Send { to, message } => self.send(to, message),
                EndpointListOutput::Servers(servers) => self.apply_server_entries(servers),
                EndpointListOutput::CollectorUnreachable(collector) => {
                    // One that is there and can't read the list collects digests all the same.
                    if self
                        .last_seen
                        .get(&collector)
                        .is_none_or(|at| self.now.since(*at) >= LAST_SEEN_VALIDITY)
                    {
                        self.dissemination.suspect(collector);
                    }
                }
            }
        }
        if is_verified {
            self.reapply_endpoint_list();
        }
    }

    fn notify_scheduler(&mut self, event: Event) {
        let timestamped = Timestamped {
            at: self.now,
            event,
        };
        self.outputs.push(NodeOutput::Event(timestamped.clone()));
        for decision in self.scheduler.take(timestamped) {
            self.outputs
                .extend(kv_tasks(&decision).into_iter().map(NodeOutput::Kv));
            self.outputs.push(NodeOutput::Decision(self.now, decision));
        }
    }

    fn on_clock_event(&mut self) {
        self.detect_sleep();
        self.expire_waiting_requests();
        self.step_endpoint_list(EndpointList::on_clock);
        self.request_lease();
        self.check_peers();
        if self.now >= self.next_tick {
            self.on_tick();
        }
        self.log_lease_status();
    }

    fn detect_sleep(&mut self) {
        if self.now.since(self.last_event) >= self.timing.sleep_threshold {
            // What the server list said before may have changed while this machine slept.
            self.endpoint_list_deadline = Some(self.now + ENDPOINT_LIST_WAIT);
            self.outputs.push(NodeOutput::Log(
                "node: the machine slept; the server list is read anew".into(),
            ));
        }
        self.last_event = self.now;
    }

    fn on_tick(&mut self) {
        self.next_tick = self.now + self.timing.tick_interval;
        self.notify_scheduler(Event::Tick);
        let sketch = self.scheduler.sketch(self.now);
        let messages = self.dissemination.on_clock(self.now, Digest::of(&sketch));
        self.send_digests(messages);
    }

    fn log_lease_status(&mut self) {
        let status = self.lease_state.status(self.now);
        if status == self.last_lease_status {
            return;
        }
        let line = format!(
            "node: lease state is {}, epoch {}",
            status.word(),
            self.lease_state.epoch()
        );
        self.outputs.push(NodeOutput::Log(line));
        self.last_lease_status = status;
    }

    /// When the next clock event is due at the latest.
    pub fn next_timer(&self) -> MonotonicInstant {
        let lease_request = self
            .lease_request_sent_at
            .map_or(self.next_lease_request_at, |sent| {
                sent + self.timing.lease_request_timeout
            });
        let peer_check = match self.lease_state.lease_deadline() {
            Some(deadline) => {
                (deadline - self.timing.peer_check_before_expiry).max(self.next_peer_check)
            }
            None => self.next_tick,
        };
        let list = self
            .endpoint_list
            .as_ref()
            .map_or(self.next_tick, EndpointList::next_timer);
        let credit = self.credit.next_timer().unwrap_or(self.next_tick);
        lease_request
            .min(peer_check)
            .min(list)
            .min(credit)
            .min(self.next_tick)
    }

    fn send_digests(&mut self, messages: Vec<(Address, Message)>) {
        messages
            .into_iter()
            .for_each(|(to, message)| self.send(to, message));
        let Some((incarnation, number, sum)) = self.dissemination.take_fleet_digest() else {
            return;
        };
        let servers = self
            .scheduler
            .servers()
            .iter()
            .map(|(name, server)| (name, server.incarnation.unwrap_or(0)));
        let sketch = sum.sketch(incarnation, number, servers);
        self.notify_scheduler(Event::PeerSketch {
            from: FLEET,
            sketch,
        });
    }

    /// This node's part in the dissemination of load digests.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }
}

/// The copies of cached prefixes that a decision orders servers to make or to drop.
fn kv_tasks(decision: &Decision) -> Vec<KvTask> {
    match decision {
        Decision::Warm {
            prefix,
            holder,
            targets,
            ..
        } => {
            let copy_to = |target: &ServerName| KvTask::Copy {
                prefix: *prefix,
                holder: holder.clone(),
                target: target.clone(),
            };
            targets.iter().map(copy_to).collect()
        }
        Decision::Cooled { prefix, copies } => {
            let drop_at = |server: &ServerName| KvTask::Drop {
                prefix: *prefix,
                server: server.clone(),
            };
            copies.iter().map(drop_at).collect()
        }
        _ => vec![],
    }
}

/// How long a node waits for the plan of an announced configuration update after the last announcement. A
/// reachable core announces it again within that time, since each lease request goes to another controller.
const ANNOUNCEMENT_VALIDITY: Milliseconds = Milliseconds(3000);
/// After the machine slept, requests wait this long at most for a fresh list of servers.
const ENDPOINT_LIST_WAIT: Milliseconds = Milliseconds(1500);
/// Peers from which a message came within this time are reported to the core as reachable.
const LAST_SEEN_VALIDITY: Milliseconds = Milliseconds(2000);

#[cfg(test)]
mod tests;
