use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

mod placing;
mod warming;

/// Where orders are placed. Takes dated events, gives decisions; the same events give the same
/// decisions.
///
/// Invariants: whatever others told is kept apart from what was seen here, by who told it, and replaced
/// whole by the next sketch from there; a sum of all others comes under [`FLEET`] and lacks what was seen
/// here. Only servers that the newest roll lists, that are not leaving,
/// suspected or in a withdrawn zone, and that the service's rules allow, are ever chosen.
#[derive(Debug, Clone)]
pub struct Desk {
    own: Address,
    incarnation: u64,
    desk_rules: DeskRules,
    rules: Rules,
    members: Vec<Address>,
    servers: BTreeMap<ServerName, ServerState>,
    window: Window,
    peers: BTreeMap<Address, Peer>,
    active: BTreeMap<PrefixHash, Active>,
    orders: BTreeMap<OrderId, InHand>,
    repeats: BTreeMap<ServiceName, Allowance>,
    sketch_number: u64,
    decisions: Vec<Decision>,
}

#[derive(Debug, Clone)]
struct Peer {
    heard: Moment,
    sketch: Sketch,
    hot: BTreeMap<PrefixHash, u32>,
    /// With whether a first token has shown it.
    holdings: BTreeMap<(PrefixHash, ServerName, u64), bool>,
    in_flight: BTreeMap<ServerName, u32>,
}

/// A prefix in a burst.
#[derive(Debug, Clone)]
struct Active {
    last: Moment,
    hashes: Vec<PrefixHash>,
    service: ServiceName,
    copies: BTreeMap<ServerName, Copy>,
}

/// A copy that this node has ordered.
#[derive(Debug, Clone)]
struct Copy {
    ordered: Moment,
    state: CopyState,
}

#[derive(Debug, Clone, PartialEq)]
enum CopyState {
    Ordered,
    Assumed,
    Failed,
}

#[derive(Debug, Clone)]
struct InHand {
    service: ServiceName,
    is_repeat: bool,
    /// When the first piece was expected.
    expected: Span,
    /// Whether its lag was taken into account.
    is_noted: bool,
    server: ServerName,
    incarnation: Option<u64>,
    hashes: Vec<PrefixHash>,
    placed: Moment,
    was_idle: bool,
    matched: u32,
    first: Option<Moment>,
}

/// Servers times prefixes that one sketch looks up.
const HOLDING_LOOKUPS: usize = 16_384;

impl Desk {
    /// A desk at the start of a node's life.
    pub fn new(own: Address, incarnation: u64, desk_rules: DeskRules) -> Self {
        Desk {
            own,
            incarnation,
            desk_rules,
            rules: Rules::default(),
            members: vec![own],
            servers: BTreeMap::new(),
            window: Window::default(),
            peers: BTreeMap::new(),
            active: BTreeMap::new(),
            orders: BTreeMap::new(),
            repeats: BTreeMap::new(),
            sketch_number: 0,
            decisions: vec![],
        }
    }

    /// Takes an event in; gives the decisions that follow.
    pub fn take(&mut self, dated: Dated) -> Vec<Decision> {
        let now = dated.at;
        match dated.event {
            Event::Rules { rules } => {
                if rules.epoch >= self.rules.epoch {
                    self.rules = rules;
                }
            }
            Event::Members { members } => self.members = members,
            Event::Roll { servers } => self.on_roll(servers, now),
            Event::Burden { server, incarnation, up, running, waiting, slots, weights } => {
                self.on_burden(&server, incarnation, up, running + waiting, slots, weights, now);
            }
            Event::Unreachable { server } => self.on_unreachable(&server, now),
            Event::Prompt { order, service, hashes, round, tried, demand } => {
                self.on_prompt(order, service, hashes, round, &tried, &demand, now);
            }
            Event::FirstToken { order } => self.on_first_token(order, now),
            Event::Ended { order, outcome } => self.on_ended(&order, outcome, now),
            Event::Trade { from, sketch } => self.on_trade(from, sketch, now),
            Event::CopyFate { prefix, server, is_taken, knows_kv } => {
                self.on_copy_fate(prefix, &server, is_taken, knows_kv);
            }
            Event::Tick => self.on_tick(now),
        }
        std::mem::take(&mut self.decisions)
    }

    /// What this node tells the others now.
    pub fn sketch(&mut self, now: Moment) -> Sketch {
        self.sketch_number += 1;
        let span = self.widest_window();
        let hot = self.window.hottest(now, span, 64);
        let mut holdings = vec![];
        // Hottest first, and so many that looking them up at every server costs little.
        let most = (HOLDING_LOOKUPS / self.servers.len().max(1)).max(8);
        let active = self.active.keys().copied().filter(|prefix| !hot.iter().any(|hot| hot.prefix == *prefix));
        for found in hot.iter().map(|hot| hot.prefix).chain(active).take(most) {
            for (name, server) in &self.servers {
                if server.residency.expects(found, now) {
                    holdings.push(Holding {
                        prefix: found,
                        server: name.clone(),
                        incarnation: server.incarnation.unwrap_or(0),
                        is_shown: server.residency.holds(found, now),
                    });
                }
            }
        }
        holdings.truncate(512);
        let busy = self.servers.iter().filter(|(_, server)| server.own > 0);
        let leaving = self.servers.iter().filter(|(_, server)| server.is_listed && server.is_leaving);
        Sketch {
            incarnation: self.incarnation,
            number: self.sketch_number,
            hot,
            holdings,
            in_flight: busy.map(|(name, server)| InFlight { server: name.clone(), count: server.own }).collect(),
            leaving: leaving.map(|(name, _)| name.clone()).collect(),
            missing: None,
        }
    }

    /// The layout that it goes by.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }
    /// The servers that it knows.
    pub fn servers(&self) -> &BTreeMap<ServerName, ServerState> {
        &self.servers
    }
    /// Active prefixes and the servers believed to hold each.
    pub fn active(&self, now: Moment) -> Vec<(PrefixHash, Vec<ServerName>)> {
        self.active.keys().map(|prefix| (*prefix, self.holders(*prefix, now))).collect()
    }
    /// How many orders are in hand.
    pub fn in_hand(&self) -> usize {
        self.orders.len()
    }

    fn widest_window(&self) -> Span {
        let windows = self.rules.services.values().map(|service| service.btb.window);
        windows.max().unwrap_or(BtbRules::default().window)
    }

    fn on_roll(&mut self, entries: Vec<RollEntry>, now: Moment) {
        for server in self.servers.values_mut() {
            server.is_listed = false;
        }
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(server) => {
                    server.is_listed = true;
                    server.is_leaving = entry.is_leaving;
                    server.hall = entry.hall;
                    server.pool = entry.pool;
                }
                None => {
                    let state = ServerState::new(&entry, now, &self.desk_rules);
                    self.servers.insert(entry.server, state);
                }
            }
        }
        // One that is gone from the list and has nothing in hand is forgotten, and comes back fresh.
        self.servers.retain(|_, server| server.is_listed || server.own > 0);
    }

    #[allow(clippy::too_many_arguments)]
    fn on_burden(
        &mut self,
        name: &ServerName,
        incarnation: u64,
        up: Span,
        burden: u32,
        slots: u32,
        weights: String,
        now: Moment,
    ) {
        let Some(server) = self.servers.get_mut(name) else { return };
        let is_new_life = server.incarnation.is_some_and(|old| old != incarnation);
        let has_other_weights = server.weights.as_ref().is_some_and(|old| *old != weights);
        if is_new_life || has_other_weights {
            server.residency.clear();
            server.knows_kv = true;
            server.block_micros = self.desk_rules.block_micros;
        }
        let suspect_ramp = server.suspect_until;
        if server.incarnation != Some(incarnation) {
            server.ramp_from = now - up;
            if let Some(due) = suspect_ramp {
                server.ramp_from = server.ramp_from.max(due);
            }
        }
        server.incarnation = Some(incarnation);
        server.weights = Some(weights);
        server.slots = Some(slots.max(1));
        server.reported = Some((burden, now));
    }

    fn on_first_token(&mut self, order: OrderId, now: Moment) {
        let base = self.desk_rules.base_first_token;
        let Some(hand) = self.orders.get_mut(&order) else { return };
        if hand.first.is_some() {
            return;
        }
        hand.first = Some(now);
        let lag = now.since(hand.placed).0.saturating_sub(hand.expected.0);
        let (name, was_noted) = (hand.server.clone(), std::mem::replace(&mut hand.is_noted, true));
        if !was_noted {
            self.note_lag(&name, lag, now);
        }
        let Some(hand) = self.orders.get_mut(&order) else { return };
        let Some(server) = self.servers.get_mut(&name) else { return };
        if server.late == 0 && !server.is_suspect(now) {
            server.well();
        }
        if server.incarnation != hand.incarnation {
            return;
        }
        let took = now.since(hand.placed).0.saturating_sub(base.0) * 1000;
        let blocks = hand.hashes.len() as u64;
        let uncached = blocks - u64::from(hand.matched);
        if hand.was_idle && uncached >= 16 {
            let sample = (took / uncached).clamp(50, 100_000);
            server.block_micros = (server.block_micros * 3 + sample) / 4;
        }
        let whole_prefill = blocks * server.block_micros;
        let is_disproved = hand.was_idle && hand.matched >= 32 && took * 10 > whole_prefill * 7;
        if is_disproved {
            // It came as late as a cold one: the belief was wrong, up to this prompt itself.
            let server_name = hand.server.clone();
            self.decisions.push(Decision::Disproved { order, server: server_name });
        }
        server.residency.hold(&hand.hashes, now);
    }

    /// A first piece came, or is still missing, so much later than expected.
    fn note_lag(&mut self, name: &ServerName, lag: u64, now: Moment) {
        let usual = usual_lag(&self.servers, name).unwrap_or(u64::MAX / 8);
        let Some(server) = self.servers.get_mut(name) else { return };
        if server.note_lag(lag, usual) {
            server.late = 0;
            if let Some(span) = server.fault(now, true) {
                self.decisions.push(Decision::Suspected { server: name.clone(), span });
            }
        }
    }

    /// Pieces that are far overdue tell as much as those that came late, and sooner.
    pub(super) fn note_overdue(&mut self, now: Moment) {
        let is_overdue = |hand: &InHand| {
            if hand.first.is_some() || hand.is_noted {
                return false;
            }
            let slack = Span(usual_lag(&self.servers, &hand.server).unwrap_or(u64::MAX / 8).saturating_mul(4) + 1000);
            now.since(hand.placed) > Span(hand.expected.0 + slack.0)
        };
        let overdue: Vec<OrderId> =
            self.orders.iter().filter(|(_, hand)| is_overdue(hand)).map(|(order, _)| order.clone()).collect();
        for order in overdue {
            let Some(hand) = self.orders.get_mut(&order) else { continue };
            hand.is_noted = true;
            let (name, lag) = (hand.server.clone(), now.since(hand.placed).0.saturating_sub(hand.expected.0));
            self.note_lag(&name, lag, now);
        }
    }

    fn on_ended(&mut self, order: &OrderId, outcome: Outcome, now: Moment) {
        let Some(hand) = self.orders.remove(order) else { return };
        let Some(server) = self.servers.get_mut(&hand.server) else { return };
        server.own = server.own.saturating_sub(1);
        if outcome != Outcome::Complete && hand.first.is_none() {
            server.residency.unsend(&hand.hashes);
        }
        match outcome {
            Outcome::Complete => {
                server.well();
                let since = hand.first.unwrap_or(hand.placed);
                let held = now.since(since).0.clamp(5, 60_000);
                server.hold = Span((server.hold.0 * 7 + held) / 8);
            }
            Outcome::Cancelled | Outcome::Refused => {}
            Outcome::Unsent | Outcome::Failed => {
                let is_certain = outcome == Outcome::Unsent;
                if is_certain {
                    server.residency.clear();
                    // No server was asked: it's neither traffic there nor a repeat.
                    let part = repeat_part(&self.desk_rules, &hand.service, &self.own, &self.members);
                    if let Some(allowance) = self.repeats.get_mut(&hand.service) {
                        if hand.is_repeat {
                            allowance.give_back(part);
                        } else {
                            allowance.unearn(self.desk_rules.repeat_percent);
                        }
                    }
                }
                if let Some(span) = server.fault(now, is_certain) {
                    self.decisions.push(Decision::Suspected { server: hand.server, span });
                }
            }
        }
    }

    /// Whatever comes back there, comes back empty and ramps up.
    fn on_unreachable(&mut self, name: &ServerName, now: Moment) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.residency.clear();
        if let Some(span) = server.fault(now, true) {
            self.decisions.push(Decision::Suspected { server: name.clone(), span });
        }
    }

    fn on_trade(&mut self, from: Address, sketch: Sketch, now: Moment) {
        if from == self.own || !self.desk_rules.does_merge {
            return;
        }
        let is_old = self
            .peers
            .get(&from)
            .is_some_and(|peer| peer.sketch.incarnation == sketch.incarnation && peer.sketch.number >= sketch.number);
        if is_old {
            return;
        }
        for name in &sketch.leaving {
            if let Some(server) = self.servers.get_mut(name) {
                // The platform's list lags; whoever hears first tells the rest.
                server.is_leaving = true;
            }
        }
        let peer = Peer {
            heard: now,
            hot: sketch.hot.iter().map(|hot| (hot.prefix, hot.count)).collect(),
            holdings: sketch
                .holdings
                .iter()
                .map(|h| ((h.prefix, h.server.clone(), h.incarnation), h.is_shown))
                .collect(),
            in_flight: sketch.in_flight.iter().map(|f| (f.server.clone(), f.count)).collect(),
            sketch,
        };
        self.peers.insert(from, peer);
    }

    fn live_peers(&self, now: Moment) -> impl Iterator<Item = (&Address, &Peer)> {
        let life = self.desk_rules.sketch_life;
        self.peers.iter().filter(move |(_, peer)| now.since(peer.heard) < life)
    }

    /// Members whose sights are known here: one's own, those that told theirs, those in a sum.
    fn heard(&self, now: Moment) -> BTreeSet<Address> {
        let mut heard = BTreeSet::from([self.own]);
        for (from, peer) in self.live_peers(now) {
            match &peer.sketch.missing {
                Some(missing) => heard.extend(self.members.iter().filter(|member| !missing.contains(member))),
                None => drop(heard.insert(*from)),
            }
        }
        heard
    }

    /// Arrivals of a prefix within the window, over all nodes.
    fn count(&self, prefix: PrefixHash, now: Moment, span: Span) -> u32 {
        let theirs: u32 = self.live_peers(now).filter_map(|(_, peer)| peer.hot.get(&prefix)).sum();
        self.window.count(prefix, now, span) + theirs
    }

    /// Orders believed in hand at a server, over all nodes.
    fn burden(&self, name: &ServerName, server: &ServerState, now: Moment) -> u32 {
        let theirs: u32 = self.live_peers(now).filter_map(|(_, peer)| peer.in_flight.get(name)).sum();
        let known = server.own + theirs;
        match server.reported {
            Some((reported, at)) if now.since(at) < Span(2000) => known.max(reported),
            _ => known,
        }
    }

    /// Servers believed to hold a prefix, by own sight or a peer's.
    fn holders(&self, prefix: PrefixHash, now: Moment) -> Vec<ServerName> {
        let holds = |(name, server): &(&ServerName, &ServerState)| self.is_warm(prefix, name, server, now);
        self.servers.iter().filter(holds).map(|(name, _)| name.clone()).collect()
    }

    /// Whether it's believed to hold a prefix.
    fn is_warm(&self, prefix: PrefixHash, name: &ServerName, server: &ServerState, now: Moment) -> bool {
        server.residency.holds(prefix, now) || self.told(prefix, name, server, now) == Some(true)
    }

    /// Whether a peer says that it holds a prefix (`true`), or that it was sent there.
    fn told(&self, prefix: PrefixHash, name: &ServerName, server: &ServerState, now: Moment) -> Option<bool> {
        let key = (prefix, name.clone(), server.incarnation.unwrap_or(0));
        self.live_peers(now).filter_map(|(_, peer)| peer.holdings.get(&key).copied()).max()
    }

    fn is_withdrawn(&self, hall: &HallName) -> bool {
        self.rules.withdrawn.contains(hall)
    }
}

/// The middle of the lags of a server's kin; `None` where too few are known and well to tell.
fn usual_lag(servers: &BTreeMap<ServerName, ServerState>, name: &ServerName) -> Option<u64> {
    let own = servers.get(name)?;
    let is_kin = |(other, server): &(&ServerName, &ServerState)| {
        *other != name && server.is_listed && server.pool == own.pool && server.faults == 0
    };
    let mut lags: Vec<u64> = servers.iter().filter(is_kin).map(|(_, server)| server.lag).collect();
    let all = servers.values().filter(|server| server.is_listed && server.pool == own.pool).count();
    lags.sort_unstable();
    (lags.len() * 2 >= all).then(|| lags[lags.len() / 2])
}

/// A node's part of the allowance of repeats that a service has a minute, fleet-wide.
fn repeat_part(rules: &DeskRules, service: &ServiceName, own: &Address, members: &[Address]) -> u32 {
    share(rules.repeats_a_minute, key_of(service.as_str()), own, members)
}

#[cfg(test)]
mod tests;
