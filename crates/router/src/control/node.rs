use crate::discovery::endpoint_list::{
    EndpointList, EndpointListOutput, EndpointListPeers, EndpointListTiming,
};
use crate::dissemination::{DigestTiming, Dissemination};
use config::{KeyHasher, Plan, TenantTable};
use placement::{
    Decision, Digest, Event, FLEET, Scheduler, SchedulerRules, ServerEntry, Timestamped,
};
use quota::{QuotaClient, ReservedCredit};
use replication::{LeaseState, LeaseStatus};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName, TokenKey,
    ViewNumber, ZoneName,
};
use wire::{ConfigUpdate, Member, Message};

mod config_updates;
mod lease;
mod messages;
mod quota_credit;
mod request_placement;

pub use messages::{KvTask, NodeInput, NodeOutput, Placement, PlacementRequest, Rejection};
pub use request_placement::resume_id;

/// The spans that a node goes by.
#[derive(Debug, Clone, Copy)]
pub struct NodeTiming {
    /// Between polls.
    pub lease_request_interval: Milliseconds,
    /// With less than this left of the lease, members are checked.
    pub peer_check_before_expiry: Milliseconds,
    /// Between peer checks.
    pub peer_check_interval: Milliseconds,
    /// Between peer checks of one that is alone, at most.
    pub peer_check_interval_alone: Milliseconds,
    /// A peer counts as checked for this long.
    pub peer_check_validity: Milliseconds,
    /// Between the scheduler's ticks.
    pub tick_interval: Milliseconds,
    /// A poll without an answer is given up after this.
    pub lease_request_timeout: Milliseconds,
    /// Without a clock event for this long, the machine slept.
    pub sleep_threshold: Milliseconds,
    /// Of digests.
    pub digest: DigestTiming,
}

impl Default for NodeTiming {
    fn default() -> Self {
        NodeTiming {
            lease_request_interval: Milliseconds(1000),
            peer_check_before_expiry: Milliseconds(600),
            peer_check_interval: Milliseconds(400),
            peer_check_interval_alone: Milliseconds(1600),
            peer_check_validity: Milliseconds(1000),
            tick_interval: Milliseconds(250),
            lease_request_timeout: Milliseconds(400),
            sleep_threshold: Milliseconds(1000),
            digest: DigestTiming::default(),
        }
    }
}

/// A data-plane node's control state: its lease state among the members, the configuration, the scheduler.
///
/// Invariants: the configuration's epoch never falls, and it's only taken up whole. A request is placed only
/// while the node may act, under a configuration that it holds, and with a server list that was read in this life
/// and since the machine last slept. An id in hand, or of `ended`, is taken by no second request.
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
    /// Stands for keys in this life.
    key_hasher: KeyHasher,
    /// Of the plan held.
    tenants: Arc<TenantTable>,
    /// What may be let in of each tenant.
    credit: QuotaClient,
    /// Requests that wait for credit, by their numbers.
    waiting_for_credit: BTreeMap<u64, PlacementRequest>,
    withdrawn: Vec<ZoneName>,
    members: Vec<Member>,
    /// The epoch at which they became these.
    members_since: ConfigEpoch,
    /// How long leases run.
    lease_span: Milliseconds,
    seeds: Vec<Address>,
    voters: Vec<Address>,
    /// Whose voters they are.
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
    /// When others were last heard.
    last_seen: BTreeMap<Address, MonotonicInstant>,
    config_update_requested_at: MonotonicInstant,
    dissemination: Dissemination,
    next_tick: MonotonicInstant,
    last_event: MonotonicInstant,
    has_endpoint_list: bool,
    /// How the platform's list is known, unless it comes as [`Event::ServerList`].
    endpoint_list: Option<EndpointList>,
    /// Where the listed servers are reached whose names are not their addresses.
    addresses: BTreeMap<ServerName, String>,
    endpoint_list_deadline: Option<MonotonicInstant>,
    is_draining: bool,
    /// What tokens are sealed and opened with.
    key: Option<TokenKey>,
    /// Requests in hand, with their numbers.
    in_flight: BTreeMap<RequestId, u64>,
    /// The newest ids of requests that a server may have run, oldest first.
    finished: VecDeque<RequestId>,
    finished_ids: BTreeSet<RequestId>,
    last_lease_status: LeaseStatus,
    outputs: Vec<NodeOutput>,
}

/// News whose plan is still coming.
#[derive(Clone)]
struct PendingUpdate {
    update: ConfigUpdate,
    lease_deadline: Option<MonotonicInstant>,
    from: Address,
    bytes: Vec<u8>,
    requested_at: MonotonicInstant,
    /// Whether all of it has come and is being read.
    is_complete: bool,
}

impl Node {
    /// A node at the start of its life.
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

    /// This node reads the platform's list, or is told it by its zone's collector.
    pub fn with_endpoint_list(self, timing: EndpointListTiming) -> Self {
        let endpoint_list = Some(EndpointList::new(
            self.own,
            self.incarnation,
            timing,
            self.now,
        ));
        Node {
            endpoint_list,
            ..self
        }
    }

    /// Takes an input in; gives what is to be done.
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
                self.step_endpoint_list(|list, now, _| list.on_reading(now, reading))
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
                self.abandon_credit(number);
                if self.in_flight.get(&request) == Some(&number) {
                    self.in_flight.remove(&request);
                    if may_have_run {
                        self.remember_finished_id(request);
                    }
                }
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

    /// Until when requests that are placed may be sent; asked again right before each is sent.
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
    /// Whether clients should be sent here.
    pub fn is_ready(&self, now: MonotonicInstant) -> bool {
        !self.is_draining && now < self.may_act_until(now)
    }
    /// Whether it's stopping and nothing is in hand.
    pub fn is_drained(&self) -> bool {
        self.is_draining && self.in_flight.is_empty()
    }
    /// The scheduler.
    pub fn scheduler(&self) -> &Scheduler {
        &self.scheduler
    }
    /// The newest epoch held whole.
    pub fn epoch(&self) -> ConfigEpoch {
        self.lease_state.epoch()
    }
    /// The epoch of the plan held.
    pub fn plan_epoch(&self) -> ConfigEpoch {
        self.plan_epoch
    }
    /// The plan held.
    pub fn plan(&self) -> Option<&Arc<Plan>> {
        self.plan.as_ref()
    }
    /// The tenants of the plan held.
    pub fn tenants(&self) -> &Arc<TenantTable> {
        &self.tenants
    }
    /// Tenants with a quota, and what this node has let in of them.
    pub fn reserved_credit(&self) -> Vec<ReservedCredit> {
        self.credit.tenants()
    }
    /// How many nodes share the servers, as far as known here.
    pub fn member_count(&self) -> usize {
        self.members.len()
    }
    /// Its lease state.
    pub fn lease_state(&self) -> &LeaseState {
        &self.lease_state
    }
    /// Withdrawn zones.
    pub fn withdrawn(&self) -> &[ZoneName] {
        &self.withdrawn
    }
    /// How many requests are open.
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

    fn apply_server_entries(&mut self, servers: Vec<ServerEntry>) {
        self.has_endpoint_list = true;
        self.addresses = servers
            .iter()
            .filter_map(|entry| Some((entry.server.clone(), entry.address.clone()?)))
            .collect();
        self.notify_scheduler(Event::ServerList { servers });
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
    }

    fn notify_scheduler(&mut self, event: Event) {
        let timestamped = Timestamped {
            at: self.now,
            event,
        };
        self.outputs.push(NodeOutput::Event(timestamped.clone()));
        for decision in self.scheduler.take(timestamped) {
            match &decision {
                Decision::Warm {
                    prefix,
                    holder,
                    targets,
                    ..
                } => {
                    for target in targets {
                        let (prefix, holder, target) = (*prefix, holder.clone(), target.clone());
                        self.outputs.push(NodeOutput::Kv(KvTask::Copy {
                            prefix,
                            holder,
                            target,
                        }));
                    }
                }
                Decision::Cooled { prefix, copies } => {
                    for server in copies {
                        let (prefix, server) = (*prefix, server.clone());
                        self.outputs
                            .push(NodeOutput::Kv(KvTask::Drop { prefix, server }));
                    }
                }
                _ => {}
            }
            self.outputs.push(NodeOutput::Decision(self.now, decision));
        }
    }

    fn on_clock_event(&mut self) {
        if self.now.since(self.last_event) >= self.timing.sleep_threshold {
            // What the server list said before may have changed while this machine slept.
            self.endpoint_list_deadline = Some(self.now + Milliseconds(1500));
            self.outputs.push(NodeOutput::Log(
                "node: the machine slept; the server list is read anew".into(),
            ));
        }
        self.last_event = self.now;
        self.expire_waiting_requests();
        self.step_endpoint_list(EndpointList::on_clock);
        self.request_lease();
        self.check_peers();
        if self.now >= self.next_tick {
            self.next_tick = self.now + self.timing.tick_interval;
            self.notify_scheduler(Event::Tick);
            let sketch = self.scheduler.sketch(self.now);
            let messages = self.dissemination.on_clock(self.now, Digest::of(&sketch));
            self.send_digests(messages);
        }
        let status = self.lease_state.status(self.now);
        if status != self.last_lease_status {
            let line = format!(
                "node: lease state is {}, epoch {}",
                status.word(),
                self.lease_state.epoch()
            );
            self.outputs.push(NodeOutput::Log(line));
            self.last_lease_status = status;
        }
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

    /// The digests that it takes part in.
    pub fn dissemination(&self) -> &Dissemination {
        &self.dissemination
    }

    fn on_message(&mut self, from: Address, message: Message) {
        self.last_seen.insert(from, self.now);
        match message {
            Message::LeaseResponse { round, response } => {
                self.on_lease_response(from, round, *response)
            }
            Message::PlanRequest { epoch, offset, .. } => {
                let piece = Message::plan_chunk(epoch, &self.plan_bytes, offset)
                    .filter(|_| epoch == self.plan_epoch);
                piece
                    .into_iter()
                    .for_each(|message| self.send(from, message));
            }
            Message::PlanChunk {
                epoch,
                offset,
                length,
                bytes,
            } => {
                self.on_plan_chunk(from, epoch, offset, length, &bytes);
            }
            Message::PlanDelta { epoch, base, delta } => {
                self.on_plan_delta(from, epoch, base, &delta)
            }
            Message::ConfigUpdate { update } => {
                if self.lease_state.lease_deadline().is_some() {
                    self.on_config_update(from, *update, None);
                }
            }
            Message::ConfigUpdateRequest => {
                if let Some(update) = self.update() {
                    self.send(
                        from,
                        Message::ConfigUpdate {
                            update: Box::new(update),
                        },
                    );
                }
            }
            Message::PeerCheckRequest { round, epoch } => {
                let known = if self.lease_state.lease_deadline().is_some() {
                    self.lease_state.epoch()
                } else {
                    ConfigEpoch(0)
                };
                self.send(
                    from,
                    Message::PeerCheckResponse {
                        echo: round,
                        epoch: known,
                    },
                );
                self.lease_state.observe_peer_epoch(from, epoch);
                self.request_config_update(from, epoch);
            }
            Message::PeerCheckResponse { echo, epoch } => {
                // Counted from when our own letter left that this one answers, so that a letter long
                // under way proves nothing about now.
                if let Some((_, sent)) = self
                    .peer_checks
                    .iter()
                    .find(|(own_round, _)| *own_round == echo)
                    && epoch > ConfigEpoch(0)
                {
                    self.lease_state.record_peer_check(from, epoch, *sent);
                }
                self.lease_state.observe_peer_epoch(from, epoch);
                self.request_config_update(from, epoch);
            }
            Message::Digest {
                leg,
                incarnation,
                number,
                is_whole,
                change,
            } => {
                let messages = self.dissemination.on_digest(
                    self.now,
                    from,
                    leg,
                    incarnation,
                    number,
                    is_whole,
                    &change,
                );
                self.send_digests(messages);
            }
            Message::DigestAck { leg, number } => {
                let messages = self.dissemination.on_ack(self.now, from, leg, number);
                self.send_digests(messages);
            }
            Message::ListFresh { .. }
            | Message::ListChange { .. }
            | Message::ServerListRequest { .. }
            | Message::ServerListChunk { .. } => {
                self.step_endpoint_list(|list, now, _| list.on_message(now, from, &message))
            }
            Message::CoreLocation { location, .. } => self.on_core_location(from, *location),
            Message::CreditGrant { grant } => self.on_credit_grant(from, &grant),
            Message::CreditAsk { .. }
            | Message::Replication { .. }
            | Message::LeaseRequest { .. }
            | Message::Ask { .. }
            | Message::Told { .. } => {}
        }
    }
}

/// News that was told of, and whose plan has not come, is waited for this long after it was last told of. A
/// core in reach tells again within it: each poll asks another of its machines.
const ANNOUNCEMENT_VALIDITY: Milliseconds = Milliseconds(3000);
/// Others that were heard within this time are told of to the core.
const LAST_SEEN_VALIDITY: Milliseconds = Milliseconds(2000);

#[cfg(test)]
mod tests;
