use crate::arrival_window::ArrivalWindow;
use crate::budget_claim::BudgetClaim;
use crate::event::{Decision, Event, Outcome, ServerEntry, Timestamped};
use crate::rendezvous::{key_of, rank, share, share_at};
use crate::retry_budget::RetryBudget;
use crate::retry_window::RetryWindow;
use crate::rules::{BtbRules, Rules, SchedulerRules, ServiceRules};
use crate::server_state::ServerState;
use crate::sketch::{CachedPrefix, InFlight, PrefixHash, Sketch};
use peer_totals::PeerTotals;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName, ServiceName,
    ZoneName,
};

mod peer_totals;
mod placing;
mod timing;
mod warming;

/// Where requests are placed. Takes dated events, gives decisions; the same events give the same
/// decisions.
///
/// Invariants: whatever others told is kept apart from what was seen here, by who told it, and replaced
/// whole by the next sketch from there; a sum of all others comes under [`FLEET`](crate::FLEET) and lacks what was seen
/// here. Only servers that the newest server list lists, that are not leaving,
/// suspected or in a withdrawn zone, and that the service's rules allow, are ever chosen.
#[derive(Debug, Clone)]
pub struct Scheduler {
    own: Address,
    incarnation: u64,
    scheduler_rules: SchedulerRules,
    rules: Rules,
    /// The services of the rules, shared with what is being decided.
    services: BTreeMap<ServiceName, Arc<ServiceRules>>,
    /// The zone of this node, if it was told.
    zone: Option<ZoneName>,
    /// When this life took its first event.
    begun: Option<MonotonicInstant>,
    /// To what fresh and cold servers bear.
    claim: BudgetClaim,
    members: Vec<Address>,
    servers: BTreeMap<ServerName, ServerState>,
    window: ArrivalWindow,
    peers: BTreeMap<Address, Peer>,
    /// The sum of the peers' sketches that count.
    told: PeerTotals,
    /// When the next of them counts no more.
    next_expiry: Option<MonotonicInstant>,
    /// Whether every other member's sketch counts.
    hears_all_members: bool,
    /// How many peers' sketches count.
    counted_peers: u32,
    active: BTreeMap<PrefixHash, Active>,
    requests: BTreeMap<RequestId, InFlightRequest>,
    repeats: BTreeMap<ServiceName, RetryBudget>,
    repeat_windows: BTreeMap<ServiceName, RetryWindow>,
    sketch_number: u64,
    decisions: Vec<Decision>,
}

#[derive(Debug, Clone)]
struct Peer {
    heard: MonotonicInstant,
    sketch: Sketch,
    /// Whether it is in the sum.
    is_counted: bool,
    /// The latest it told of what its requests made each server read in its life.
    prefilled_tokens: BTreeMap<ServerName, u64>,
}

/// A prefix in a burst.
#[derive(Debug, Clone)]
struct Active {
    last: MonotonicInstant,
    hashes: Vec<PrefixHash>,
    service: ServiceName,
    copies: BTreeMap<ServerName, Copy>,
}

/// A copy that this node has ordered.
#[derive(Debug, Clone)]
struct Copy {
    ordered: MonotonicInstant,
    state: CopyState,
}

#[derive(Debug, Clone, PartialEq)]
enum CopyState {
    Ordered,
    Assumed,
    Failed,
}

#[derive(Debug, Clone)]
struct InFlightRequest {
    service: ServiceName,
    is_repeat: bool,
    /// When the first piece was expected.
    expected: Milliseconds,
    /// Whether its lag was taken into account.
    is_noted: bool,
    server: ServerName,
    incarnation: Option<u64>,
    hashes: Vec<PrefixHash>,
    placed: MonotonicInstant,
    was_idle: bool,
    matched: u32,
    first: Option<MonotonicInstant>,
    /// What its client told of it.
    footprint: Footprint,
}

/// What a request costs a server, in tokens. All zero: its client told nothing.
#[derive(Debug, Clone, Copy, Default)]
struct Footprint {
    /// Whether the client told what it asks.
    is_told: bool,
    /// Of its prompt, those that the server reads.
    uncached: u64,
    /// Those that were to be read there before.
    ahead: u64,
    /// All of its prompt, held or not.
    prompt: u64,
    /// What it takes of the memory.
    memory: u64,
    /// How long it was expected to wait for a slot, in ms.
    queue: u64,
}

/// Servers times prefixes that one sketch looks up.
const HOLDING_LOOKUPS: usize = 16_384;

impl Scheduler {
    /// A scheduler at the start of a node's life.
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
            told: PeerTotals::default(),
            next_expiry: None,
            hears_all_members: true,
            counted_peers: 0,
            active: BTreeMap::new(),
            requests: BTreeMap::new(),
            repeats: BTreeMap::new(),
            repeat_windows: BTreeMap::new(),
            sketch_number: 0,
            decisions: vec![],
        }
    }

    /// Tells in which zone this node is: servers there are preferred by `SchedulerRules::zone_bias`.
    pub fn set_zone(&mut self, zone: ZoneName) {
        self.zone = Some(zone);
    }

    /// Takes an event in; gives the decisions that follow.
    pub fn take(&mut self, dated: Timestamped) -> Vec<Decision> {
        let now = dated.at;
        let begun = *self.begun.get_or_insert(now);
        self.expire_peers(now);
        match dated.event {
            Event::Rules { rules } => {
                if rules.epoch >= self.rules.epoch {
                    self.services = rules
                        .services
                        .iter()
                        .map(|(name, service)| (name.clone(), Arc::new(service.clone())))
                        .collect();
                    self.rules = rules;
                }
            }
            Event::Members { members, since } => self.on_members(members, since, now),
            Event::Lease { until, span } => self.claim.lease(until, span),
            Event::ServerList { servers } => self.on_server_list(servers, now),
            Event::Load {
                server,
                incarnation,
                up,
                running,
                waiting,
                slots,
                weights,
            } => {
                self.on_load(
                    &server,
                    incarnation,
                    up,
                    running + waiting,
                    slots,
                    weights,
                    now,
                );
            }
            Event::Unreachable { server } => self.on_unreachable(&server, now),
            Event::Prompt {
                request,
                service,
                hashes,
                round,
                tried,
                request_cost,
            } => {
                self.on_prompt(
                    request,
                    service,
                    hashes,
                    round,
                    &tried,
                    &request_cost,
                    begun,
                    now,
                );
            }
            Event::FirstToken { request } => self.on_first_token(request, now),
            Event::Ended { request, outcome } => self.on_ended(&request, outcome, now),
            Event::PeerSketch { from, sketch } => self.on_peer_sketch(from, sketch, now),
            Event::CopyFate {
                prefix,
                server,
                is_taken,
                knows_kv,
            } => {
                self.on_copy_fate(prefix, &server, is_taken, knows_kv);
            }
            Event::Tick => self.on_tick(now),
        }
        std::mem::take(&mut self.decisions)
    }

    /// What this node tells the others now.
    pub fn sketch(&mut self, now: MonotonicInstant) -> Sketch {
        self.sketch_number += 1;
        let span = self.widest_window();
        let hot = self.window.hottest(now, span, 64);
        let mut holdings = vec![];
        // Hottest first, and so many that looking them up at every server costs little.
        let most = (HOLDING_LOOKUPS / self.servers.len().max(1)).max(8);
        let active = self
            .active
            .keys()
            .copied()
            .filter(|prefix| !hot.iter().any(|hot| hot.prefix == *prefix));
        for found in hot.iter().map(|hot| hot.prefix).chain(active).take(most) {
            for (name, server) in &self.servers {
                if server.residency.expects(found, now) {
                    holdings.push(CachedPrefix {
                        prefix: found,
                        server: name.clone(),
                        incarnation: server.incarnation.unwrap_or(0),
                        is_shown: server.residency.holds(found, now),
                    });
                }
            }
        }
        holdings.truncate(512);
        let busy = self.servers.iter().filter(|(_, server)| {
            server.own > 0 || server.prefilled_tokens > server.reported_prefilled_tokens
        });
        let draining = self
            .servers
            .iter()
            .filter(|(_, server)| server.is_listed && server.is_draining);
        let sketch = Sketch {
            incarnation: self.incarnation,
            number: self.sketch_number,
            hot,
            holdings,
            in_flight: busy
                .map(|(name, server)| InFlight {
                    server: name.clone(),
                    count: server.own,
                    pending_prefill_tokens: server.pending_prefill_tokens,
                    tokens: server.tokens,
                    prefilled_tokens: server.prefilled_tokens,
                })
                .collect(),
            draining: draining.map(|(name, _)| name.clone()).collect(),
            missing: None,
        };
        for server in self.servers.values_mut() {
            server.reported_prefilled_tokens = server.prefilled_tokens;
        }
        sketch
    }

    /// The configuration that it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }
    /// The servers that it knows.
    pub fn servers(&self) -> &BTreeMap<ServerName, ServerState> {
        &self.servers
    }
    /// Active prefixes and the servers believed to hold each.
    pub fn active(&self, now: MonotonicInstant) -> Vec<(PrefixHash, Vec<ServerName>)> {
        self.active
            .keys()
            .map(|prefix| (*prefix, self.holders(*prefix, now)))
            .collect()
    }
    /// How many requests are in hand.
    pub fn in_hand(&self) -> usize {
        self.requests.len()
    }

    fn widest_window(&self) -> Milliseconds {
        let windows = self
            .rules
            .services
            .values()
            .map(|service| service.btb.window);
        windows.max().unwrap_or(BtbRules::default().window)
    }

    fn on_server_list(&mut self, entries: Vec<ServerEntry>, now: MonotonicInstant) {
        for server in self.servers.values_mut() {
            server.is_listed = false;
        }
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(server) => server.update_from_list(entry, now),
                None => {
                    let mut state = ServerState::new(&entry, now, &self.scheduler_rules);
                    state.peer_load = self.told.load(&entry.server);
                    state.rank = rank(state.key, &self.own, &self.members) as u32;
                    self.servers.insert(entry.server, state);
                }
            }
        }
        self.forget_unlisted();
    }

    /// One that is gone from the list and has nothing in hand is forgotten, and comes back fresh.
    fn forget_unlisted(&mut self) {
        self.servers
            .retain(|_, server| server.is_listed || server.own > 0);
    }

    fn on_members(&mut self, members: Vec<Address>, since: ConfigEpoch, now: MonotonicInstant) {
        let has_others =
            members.iter().collect::<BTreeSet<_>>() != self.members.iter().collect::<BTreeSet<_>>();
        self.claim.learn_membership(since, has_others, now);
        self.members = members;
        for server in self.servers.values_mut() {
            server.rank = rank(server.key, &self.own, &self.members) as u32;
        }
        self.count_known();
    }

    #[allow(clippy::too_many_arguments)]
    fn on_load(
        &mut self,
        name: &ServerName,
        incarnation: u64,
        up: Milliseconds,
        load: u32,
        slots: u32,
        weights: String,
        now: MonotonicInstant,
    ) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let is_new_life = server.incarnation.is_some_and(|old| old != incarnation);
        let has_other_weights = server.weights.as_ref().is_some_and(|old| *old != weights);
        if is_new_life || has_other_weights {
            server.residency.clear();
            server.knows_kv = true;
            server.block_micros = self.scheduler_rules.block_micros;
        }
        if is_new_life {
            server.listed_from = now;
            server.warming_up_until = None;
        }
        let ejected_until = server.ejected_until;
        if server.incarnation != Some(incarnation) {
            server.slow_start_from = now - up;
            if let Some(deadline) = ejected_until {
                server.slow_start_from = server.slow_start_from.max(deadline);
            }
        }
        server.incarnation = Some(incarnation);
        server.weights = Some(weights);
        server.slots = Some(slots.max(1));
        server.reported = Some((load, now));
    }

    fn on_first_token(&mut self, request: RequestId, now: MonotonicInstant) {
        let base = self.scheduler_rules.base_first_token;
        let Some(hand) = self.requests.get_mut(&request) else {
            return;
        };
        if hand.first.is_some() {
            return;
        }
        hand.first = Some(now);
        let footprint = hand.footprint;
        if let Some(server) = self.servers.get_mut(&hand.server) {
            server.pending_prefill_tokens = server
                .pending_prefill_tokens
                .saturating_sub(footprint.uncached);
        }
        let lag = now.since(hand.placed).0.saturating_sub(hand.expected.0);
        let (name, was_noted) = (
            hand.server.clone(),
            std::mem::replace(&mut hand.is_noted, true),
        );
        if !was_noted {
            self.record_lag(&name, lag, now);
        }
        let Some(hand) = self.requests.get_mut(&request) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&name) else {
            return;
        };
        if server.consecutive_late == 0 && !server.is_ejected(now) {
            server.record_success();
        }
        if server.incarnation != hand.incarnation {
            return;
        }
        let took = now.since(hand.placed).0.saturating_sub(base.0) * 1000;
        let blocks = hand.hashes.len() as u64;
        let uncached = blocks - u64::from(hand.matched);
        if footprint.is_told {
            if hand.was_idle {
                server.learn_prefill(
                    took,
                    footprint.ahead + footprint.uncached,
                    &self.scheduler_rules,
                );
            }
            let whole = footprint.prompt * server.block_micros
                / u64::from(self.scheduler_rules.block_tokens.max(1));
            let kept = footprint.prompt - footprint.uncached;
            if footprint.ahead == 0 && hand.was_idle && kept >= 1024 && took * 10 > whole * 9 {
                self.decisions.push(Decision::Disproved {
                    request,
                    server: hand.server.clone(),
                });
            }
            server.residency.record_cached(&hand.hashes, now);
            return;
        }
        if hand.was_idle && uncached >= 16 {
            let sample = (took / uncached).clamp(50, 100_000);
            server.block_micros = (server.block_micros * 3 + sample) / 4;
        }
        let whole_prefill = blocks * server.block_micros;
        let is_disproved = hand.was_idle && hand.matched >= 32 && took * 10 > whole_prefill * 7;
        if is_disproved {
            // It came as late as a cold one: the belief was wrong, up to this prompt itself.
            let server_name = hand.server.clone();
            self.decisions.push(Decision::Disproved {
                request,
                server: server_name,
            });
        }
        server.residency.record_cached(&hand.hashes, now);
    }

    /// A first piece came, or is still missing, so much later than expected.
    fn record_lag(&mut self, name: &ServerName, lag: u64, now: MonotonicInstant) {
        let usual = median_lag(&self.servers, name).unwrap_or(u64::MAX / 8);
        let may_eject = self.may_eject(name, now);
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        if server.record_lag(lag, usual) && may_eject {
            server.consecutive_late = 0;
            if let Some(span) = server.record_failure(now, true) {
                self.decisions.push(Decision::Suspected {
                    server: name.clone(),
                    span,
                });
            }
        }
    }

    /// Whether it may be kept from work on mere doubt: no more than half of a pool ever is.
    fn may_eject(&self, name: &ServerName, now: MonotonicInstant) -> bool {
        let Some(own) = self.servers.get(name) else {
            return false;
        };
        let is_in_pool = |server: &&ServerState| {
            server.is_listed && !server.is_draining && server.pool == own.pool
        };
        let (all, lost) = self
            .servers
            .values()
            .filter(is_in_pool)
            .fold((0, 0), |(all, lost), server| {
                (all + 1, lost + usize::from(server.is_ejected(now)))
            });
        (lost + 1) * 2 <= all
    }

    /// Pieces that are far overdue tell as much as those that came late, and sooner.
    pub(super) fn record_overdue(&mut self, now: MonotonicInstant) {
        let is_overdue = |hand: &InFlightRequest| {
            if hand.first.is_some() || hand.is_noted {
                return false;
            }
            let usual = median_lag(&self.servers, &hand.server).unwrap_or(u64::MAX / 8);
            let slack =
                Milliseconds(usual.saturating_mul(4) + self.scheduler_rules.overdue_slack.0);
            now.since(hand.placed) > Milliseconds(hand.expected.0 + slack.0)
        };
        let overdue: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, hand)| is_overdue(hand))
            .map(|(request, _)| request.clone())
            .collect();
        for request in overdue {
            let Some(hand) = self.requests.get_mut(&request) else {
                continue;
            };
            hand.is_noted = true;
            let (name, lag) = (
                hand.server.clone(),
                now.since(hand.placed).0.saturating_sub(hand.expected.0),
            );
            self.record_lag(&name, lag, now);
        }
    }

    fn on_ended(&mut self, request: &RequestId, outcome: Outcome, now: MonotonicInstant) {
        let Some(hand) = self.requests.remove(request) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&hand.server) else {
            return;
        };
        server.own = server.own.saturating_sub(1);
        server.tokens = server.tokens.saturating_sub(hand.footprint.memory);
        if hand.first.is_none() {
            server.pending_prefill_tokens = server
                .pending_prefill_tokens
                .saturating_sub(hand.footprint.uncached);
        }
        if outcome != Outcome::Complete && hand.first.is_none() {
            server.residency.forget_sent(&hand.hashes);
        }
        match outcome {
            Outcome::Complete => {
                server.record_success();
                // Without a prompt, a server works from the start to its first piece.
                let is_plain = hand.footprint.is_told && hand.hashes.is_empty();
                let since = hand.first.filter(|_| !is_plain).unwrap_or(hand.placed);
                let cached = now
                    .since(since)
                    .0
                    .saturating_sub(hand.footprint.queue * u64::from(is_plain));
                let cached = cached.clamp(5, 60_000);
                server.service_time = Milliseconds((server.service_time.0 * 7 + cached) / 8);
            }
            Outcome::Cancelled | Outcome::Refused => {}
            Outcome::Unsent | Outcome::Failed => {
                let is_certain = outcome == Outcome::Unsent;
                if is_certain {
                    server.residency.clear();
                    // No server was asked: it's neither traffic there nor a repeat.
                    if let Some(window) = self.repeat_windows.get_mut(&hand.service) {
                        window.unplace(hand.is_repeat);
                    }
                    let part = repeat_part(
                        &self.scheduler_rules,
                        &hand.service,
                        &self.own,
                        &self.members,
                    );
                    if let Some(allowance) = self.repeats.get_mut(&hand.service) {
                        if hand.is_repeat {
                            allowance.give_back(part);
                        } else {
                            allowance.unearn(self.scheduler_rules.retry_percent);
                        }
                    }
                }
                if !is_certain && !self.may_eject(&hand.server, now) {
                    return;
                }
                let Some(server) = self.servers.get_mut(&hand.server) else {
                    return;
                };
                if let Some(span) = server.record_failure(now, is_certain) {
                    self.decisions.push(Decision::Suspected {
                        server: hand.server,
                        span,
                    });
                }
            }
        }
    }

    /// Whatever comes back there, comes back empty and ramps up.
    fn on_unreachable(&mut self, name: &ServerName, now: MonotonicInstant) {
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        server.residency.clear();
        if let Some(span) = server.record_failure(now, true) {
            self.decisions.push(Decision::Suspected {
                server: name.clone(),
                span,
            });
        }
    }

    fn on_peer_sketch(&mut self, from: Address, sketch: Sketch, now: MonotonicInstant) {
        if from == self.own || !self.scheduler_rules.merges_peer_sketches {
            return;
        }
        let is_old = self.peers.get(&from).is_some_and(|peer| {
            peer.sketch.incarnation == sketch.incarnation && peer.sketch.number >= sketch.number
        });
        if is_old {
            return;
        }
        for name in &sketch.draining {
            if let Some(server) = self.servers.get_mut(name) {
                // The platform's list lags; whoever hears first tells the rest.
                server.is_draining = true;
            }
        }
        let mut former = self.peers.remove(&from);
        let is_same_life = former
            .as_ref()
            .is_some_and(|peer| peer.sketch.incarnation == sketch.incarnation);
        let known = former
            .as_mut()
            .filter(|_| is_same_life)
            .map(|peer| std::mem::take(&mut peer.prefilled_tokens));
        let mut prefilled_tokens = known.unwrap_or_default();
        for told in &sketch.in_flight {
            let before = prefilled_tokens
                .insert(told.server.clone(), told.prefilled_tokens)
                .unwrap_or(0);
            // What the sender's requests made a server read meanwhile drives older parts out there.
            if let Some(server) = self.servers.get_mut(&told.server).filter(|_| is_same_life) {
                server
                    .residency
                    .record_prefill(told.prefilled_tokens.saturating_sub(before));
            }
        }
        prefilled_tokens.retain(|name, _| self.servers.contains_key(name));
        if let Some(former) = former.filter(|peer| peer.is_counted) {
            self.told.remove(&former.sketch);
            sum_loads(&mut self.servers, &self.told, &former.sketch);
        }
        self.told.add(&sketch);
        sum_loads(&mut self.servers, &self.told, &sketch);
        self.peers.insert(
            from,
            Peer {
                heard: now,
                sketch,
                is_counted: true,
                prefilled_tokens,
            },
        );
        self.count_known();
    }

    /// This node's part of what a fresh or cold server bears, if its claim to it holds; else when to look again.
    fn claimed(
        &self,
        whole: u32,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> Result<u32, Milliseconds> {
        self.claim.check(now)?;
        let is_member = self.members.contains(&self.own);
        Ok(if is_member {
            share_at(whole, server.rank, self.fleet_size())
        } else {
            0
        })
    }

    /// How many nodes there are at least, as far as known here.
    fn fleet_size(&self) -> u32 {
        (self.members.len() as u32)
            .max(self.scheduler_rules.min_members)
            .max(self.counted_peers + 1)
    }

    /// Sketches that have grown old count no more.
    fn expire_peers(&mut self, now: MonotonicInstant) {
        if self.next_expiry.is_none_or(|deadline| now < deadline) {
            return;
        }
        let lifetime = self.scheduler_rules.sketch_lifetime;
        for peer in self
            .peers
            .values_mut()
            .filter(|peer| peer.is_counted && now.since(peer.heard) >= lifetime)
        {
            self.told.remove(&peer.sketch);
            sum_loads(&mut self.servers, &self.told, &peer.sketch);
            peer.is_counted = false;
        }
        self.count_known();
    }

    /// What follows from which sketches count.
    fn count_known(&mut self) {
        let lifetime = self.scheduler_rules.sketch_lifetime;
        let counted = self.peers.values().filter(|peer| peer.is_counted);
        self.next_expiry = counted.map(|peer| peer.heard + lifetime).min();
        let heard = self.heard();
        self.counted_peers = heard.len() as u32 - 1;
        self.hears_all_members = self.members.iter().all(|member| heard.contains(member));
    }

    /// Members whose sights are known here: one's own, those that told theirs, those in a sum.
    fn heard(&self) -> BTreeSet<Address> {
        let mut heard = BTreeSet::from([self.own]);
        for (from, peer) in self.peers.iter().filter(|(_, peer)| peer.is_counted) {
            match &peer.sketch.missing {
                Some(missing) => heard.extend(
                    self.members
                        .iter()
                        .filter(|member| !missing.contains(member)),
                ),
                None => drop(heard.insert(*from)),
            }
        }
        heard
    }

    /// Arrivals of a prefix within the window, over all nodes.
    fn count(&self, prefix: PrefixHash, now: MonotonicInstant, span: Milliseconds) -> u32 {
        let peer_load = self.told.count(prefix).unwrap_or(0);
        self.window.count(prefix, now, span) + peer_load
    }

    /// Requests believed in hand at a server, over all nodes.
    fn load(&self, server: &ServerState, now: MonotonicInstant) -> u32 {
        let known = server.own + server.peer_load.count;
        match server.reported {
            Some((reported, at)) if now.since(at) < self.scheduler_rules.report_lifetime => {
                known.max(reported)
            }
            _ => known,
        }
    }

    /// Servers believed to hold a prefix, by own sight or a peer's.
    fn holders(&self, prefix: PrefixHash, now: MonotonicInstant) -> Vec<ServerName> {
        let holds =
            |(name, server): &(&ServerName, &ServerState)| self.is_warm(prefix, name, server, now);
        self.servers
            .iter()
            .filter(holds)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Whether it's believed to hold a prefix.
    fn is_warm(
        &self,
        prefix: PrefixHash,
        name: &ServerName,
        server: &ServerState,
        now: MonotonicInstant,
    ) -> bool {
        server.residency.holds(prefix, now) || self.is_told(prefix, name, server) == Some(true)
    }

    /// Whether a peer says that it holds a prefix (`true`), or that it was sent there.
    fn is_told(&self, prefix: PrefixHash, name: &ServerName, server: &ServerState) -> Option<bool> {
        let told = self
            .told
            .holdings(prefix)
            .iter()
            .find(|told| told.is_of(name, server.incarnation.unwrap_or(0)))?;
        Some(told.is_shown())
    }

    fn is_withdrawn(&self, zone: &ZoneName) -> bool {
        self.rules.withdrawn.contains(zone)
    }
}

/// Brings up to date what peers have at the servers that a sketch names.
fn sum_loads(servers: &mut BTreeMap<ServerName, ServerState>, told: &PeerTotals, sketch: &Sketch) {
    for load in &sketch.in_flight {
        if let Some(server) = servers.get_mut(&load.server) {
            server.peer_load = told.load(&load.server);
        }
    }
}

/// The middle of the lags of a server's kin; `None` where too few are known and well to tell.
fn median_lag(servers: &BTreeMap<ServerName, ServerState>, name: &ServerName) -> Option<u64> {
    let own = servers.get(name)?;
    let is_in_pool = |(other, server): &(&ServerName, &ServerState)| {
        *other != name
            && server.is_listed
            && server.pool == own.pool
            && server.consecutive_failures == 0
    };
    let mut lags: Vec<u64> = servers
        .iter()
        .filter(is_in_pool)
        .map(|(_, server)| server.lag)
        .collect();
    let all = servers
        .values()
        .filter(|server| server.is_listed && server.pool == own.pool)
        .count();
    lags.sort_unstable();
    (lags.len() * 2 >= all).then(|| lags[lags.len() / 2])
}

/// A node's part of the allowance of repeats that a service has a minute, fleet-wide.
fn repeat_part(
    rules: &SchedulerRules,
    service: &ServiceName,
    own: &Address,
    members: &[Address],
) -> u32 {
    share(
        rules.retries_per_minute,
        key_of(service.as_str()),
        own,
        members,
    )
}

#[cfg(test)]
mod tests;
