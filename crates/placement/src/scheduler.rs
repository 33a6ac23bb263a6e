//! The scheduler: a pure state machine from [`Event`]s to [`Decision`]s, one module a concern.
//!
//! Source: Bite the Bullet (BTB), docs/provenance.md, which lists what was kept and what was changed.

use crate::arrival_window::ArrivalWindow;
use crate::budget_claim::BudgetClaim;
use crate::event::{Decision, Event, Timestamped};
use crate::retry_budget::RetryBudget;
use crate::retry_window::RetryWindow;
use crate::rules::{Rules, SchedulerRules, ServiceRules};
use crate::scheduler::endpoint_table::LoadReport;
use crate::scheduler::peer_totals::PeerTotals;
use crate::scheduler::peers::Peer;
use crate::scheduler::placing::Prompt;
use crate::scheduler::requests::InFlightRequest;
use crate::scheduler::warming::Active;
use crate::server_state::{MAX_SERVER_REQUESTS, ServerState, believable_slots};
use crate::sketch::PrefixHash;
use std::collections::BTreeMap;
use std::sync::Arc;
use types::{Address, MonotonicInstant, RequestId, ServerName, ServiceName, ZoneName};

mod by_load;
mod by_time;
mod endpoint_table;
mod holders;
mod load_estimate;
mod outliers;
mod peer_totals;
mod peers;
mod placing;
mod requests;
mod retries;
mod sketch;
mod warming;

/// Places requests. Takes timestamped events and returns decisions; the same events give the same decisions.
///
/// Invariants: what peers report is kept apart from what was seen here, by peer, and replaced
/// whole by the next sketch from there; a sum of all others comes under [`FLEET`](crate::FLEET) and lacks what was seen
/// here. Only servers that the newest server list lists, that are not draining,
/// ejected or in a withdrawn zone, and that the service's rules allow, are ever chosen.
#[derive(Debug, Clone)]
pub struct Scheduler {
    own: Address,
    incarnation: u64,
    scheduler_rules: SchedulerRules,
    rules: Rules,
    /// The services of the rules, shared with what is being decided.
    services: BTreeMap<ServiceName, Arc<ServiceRules>>,
    /// The zone of this node, if it is configured.
    zone: Option<ZoneName>,
    /// When this incarnation took its first event.
    begun: Option<MonotonicInstant>,
    /// To a share of the slow-start and warm-up budgets.
    claim: BudgetClaim,
    members: Vec<Address>,
    servers: BTreeMap<ServerName, ServerState>,
    window: ArrivalWindow,
    peers: BTreeMap<Address, Peer>,
    /// The sum of the peers' sketches that count.
    peer_totals: PeerTotals,
    /// When the next of them counts no more.
    next_expiry: Option<MonotonicInstant>,
    /// Whether every other member's sketch counts.
    reaches_all_members: bool,
    /// How many peers' sketches count.
    reachable_peer_count: u32,
    active: BTreeMap<PrefixHash, Active>,
    requests: BTreeMap<RequestId, InFlightRequest>,
    retry_budgets: BTreeMap<ServiceName, RetryBudget>,
    retry_windows: BTreeMap<ServiceName, RetryWindow>,
    sketch_number: u64,
    decisions: Vec<Decision>,
}

impl Scheduler {
    /// Creates the scheduler of a node's incarnation, without any rules, servers or peers.
    pub fn new(own: Address, incarnation: u64, scheduler_rules: SchedulerRules) -> Self {
        Scheduler {
            own,
            incarnation,
            scheduler_rules,
            rules: Rules::default(),
            services: BTreeMap::new(),
            zone: None,
            begun: None,
            claim: BudgetClaim::default(),
            members: vec![own],
            servers: BTreeMap::new(),
            window: ArrivalWindow::default(),
            peers: BTreeMap::new(),
            peer_totals: PeerTotals::default(),
            next_expiry: None,
            reaches_all_members: true,
            reachable_peer_count: 0,
            active: BTreeMap::new(),
            requests: BTreeMap::new(),
            retry_budgets: BTreeMap::new(),
            retry_windows: BTreeMap::new(),
            sketch_number: 0,
            decisions: vec![],
        }
    }

    /// Sets the zone of this node: servers elsewhere cost [`SchedulerRules::zone_penalty`] more.
    pub fn set_zone(&mut self, zone: ZoneName) {
        self.zone = Some(zone);
    }

    /// Applies an event and returns the decisions that follow from it, in the order in which they were made.
    pub fn take(&mut self, event: Timestamped) -> Vec<Decision> {
        let now = event.at;
        let begun = *self.begun.get_or_insert(now);
        self.expire_peers(now);
        match event.event {
            Event::Rules { rules } => self.on_rules(rules),
            Event::Members { members, since } => self.on_members(members, since, now),
            Event::Lease { until, span } => self.claim.lease(until, span),
            Event::ServerList { servers } => self.on_server_list(servers, now),
            Event::Unreachable { server } => self.on_unreachable(&server, now),
            Event::FirstToken { request } => self.on_first_token(request, now),
            Event::Ended { request, outcome } => self.on_ended(&request, outcome, now),
            Event::PeerSketch { from, sketch } => self.on_peer_sketch(from, sketch, now),
            Event::Tick => self.on_tick(now),
            Event::Load {
                server,
                incarnation,
                up,
                running,
                waiting,
                slots,
                weights,
            } => {
                let report = LoadReport {
                    incarnation,
                    up,
                    load: running.saturating_add(waiting).min(MAX_SERVER_REQUESTS),
                    slots: believable_slots(slots),
                    weights,
                };
                self.on_load(&server, report, now);
            }
            Event::Prompt {
                request,
                service,
                hashes,
                round,
                tried,
                request_cost,
            } => {
                let prompt = Prompt {
                    request,
                    service,
                    hashes,
                    round,
                    tried,
                    request_cost,
                };
                self.on_prompt(prompt, begun, now);
            }
            Event::CopyFate {
                prefix,
                server,
                is_taken,
                knows_kv,
            } => self.on_copy_result(prefix, &server, is_taken, knows_kv),
        }
        std::mem::take(&mut self.decisions)
    }

    /// Installs a configuration, unless a newer one is in force.
    fn on_rules(&mut self, rules: Rules) {
        if rules.epoch < self.rules.epoch {
            return;
        }
        self.services = rules
            .services
            .iter()
            .map(|(name, service)| (name.clone(), Arc::new(service.clone())))
            .collect();
        self.rules = rules;
    }

    /// Returns the configuration in force.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns the endpoint table.
    pub fn servers(&self) -> &BTreeMap<ServerName, ServerState> {
        &self.servers
    }

    /// Returns the active prefixes and the servers believed to hold each at `now`.
    pub fn active(&self, now: MonotonicInstant) -> Vec<(PrefixHash, Vec<ServerName>)> {
        self.active
            .keys()
            .map(|prefix| (*prefix, self.holders(*prefix, now)))
            .collect()
    }

    /// Returns the number of requests in flight.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }
}

#[cfg(test)]
mod tests;
