//! The checkers: what must never happen, judged by what clients, servers and operators see.

use crate::world::World;
use crate::world::event::Event;
use crate::world::withdrawn_zones::{OutOfService, ZoneChange};
use crate::world::{ControllerMachine, ServerMachine, router_contact};
use config::{Command, ConfigStateMachine, OriginalCommand};
use controller::Quorum;
use replication::View;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use types::{
    Address, ConfigEpoch, MonotonicInstant, RequestId, ResultCode, ServerName, ServiceName,
    ZoneName,
};

/// What clients, servers and operators saw in a run, and the violations found in it.
#[derive(Debug, Default)]
pub struct Witness {
    /// Violations: things that happened and never may.
    pub violations: Vec<String>,
    /// Requests that came.
    pub arrivals: u64,
    /// How often clients got each outcome.
    pub words: BTreeMap<&'static str, u64>,
    /// When requests completed.
    pub completions: Vec<u64>,
    /// Times to the first piece, in ms, by service.
    pub first_ms: BTreeMap<ServiceName, Vec<u64>>,
    /// Copies ordered.
    pub copies: u64,
    /// Streams read on.
    pub resumed: u64,
    /// For each accepted epoch under whose predecessor something was still placed: how long after, in ms.
    pub in_force_ms: BTreeMap<u64, u64>,
    /// For each request that ran in a zone after its withdrawal was accepted: how long after, in ms.
    pub withdrawn_ms: Vec<u64>,
    /// For each request that ran at a server that was leaving: how long after it was marked, in ms.
    pub leaving_ms: Vec<u64>,
    /// Operators' commands accepted, refused, unknown.
    pub commands: [u64; 3],
    /// Views decided.
    pub views: u64,
    /// How long each accepted command took, in ms.
    pub accept_ms: Vec<u64>,
    /// After the last fault was healed: until a command was accepted, and until a request completed.
    pub back_ms: (Option<u64>, Option<u64>),
    /// After the last fault was healed: until all controllers sat in the chain, level, in one view.
    pub level_ms: Option<u64>,
    /// What all events mix to.
    pub trace: u64,
    /// The faults.
    pub faults: Vec<String>,
    /// Operators' calls and their answers.
    pub calls: Vec<String>,
    pub(super) newest_acknowledged: u64,
    /// When requests of each tenant ran.
    pub(super) tenant_runs: BTreeMap<u64, Vec<u64>>,
    accepted: BTreeMap<u64, u64>,
    outcomes: BTreeMap<RequestId, &'static str>,
    runs: BTreeMap<RequestId, Vec<(u64, ServerName)>>,
    attempted_requests: BTreeMap<ServiceName, BTreeSet<RequestId>>,
    asks: BTreeMap<ServiceName, u64>,
    /// Per service: requests that servers were asked to take, and asks beyond the first of each.
    pub repeats: BTreeMap<ServiceName, (u64, u64)>,
    pub(super) proposed: BTreeMap<String, (u64, Command)>,
    /// What each plan or change would put in force.
    pub(super) plans: BTreeMap<String, serde_json::Value>,
    pub(super) fates: BTreeMap<String, (u64, u64, u64)>,
    /// By change: its calls, and those that were told that nothing changed.
    call_counts: BTreeMap<String, CallCounts>,
    node_epochs: BTreeMap<Address, ConfigEpoch>,
    decided: BTreeMap<u64, View>,
    calm_from: u64,
}

#[derive(Debug, Default)]
struct CallCounts {
    sent: u32,
    not_ready: u32,
}

/// In force within about 2 s: this and a little for the network and the clock's step.
const IN_FORCE: u64 = 2200;
/// Where holders of leases are the quorum, a node acts on a change by when it's told. What was placed before
/// takes this long to be connected and to leave.
const UNDER_LEASE: u64 = 450;
const WITHDRAWN: u64 = 5200;
/// After all is healed, all controllers are level by then.
const LEVEL_AGAIN: u64 = 8000;
const LEAVING: u64 = 3200;
/// After all is healed, requests complete and changes are accepted within this, in milliseconds.
const RECOVERY: u64 = 12_000;
/// Repeats beyond a fifth, a minute, over the whole fleet.
const ALLOWANCE: u64 = 10;

impl Witness {
    pub(super) fn violate(&mut self, now: u64, what: String) {
        if self.violations.len() < 50 {
            self.violations.push(format!("at {now} ms: {what}"));
        }
    }
    pub(super) fn record_outcome(&mut self, request: &RequestId, outcome: &'static str) {
        *self.words.entry(outcome).or_default() += 1;
        self.outcomes.insert(request.clone(), outcome);
    }
    pub(super) fn placed(&mut self, now: u64, node: Address, epoch: ConfigEpoch) {
        let newest = self.node_epochs.entry(node).or_default();
        if epoch < *newest {
            let newest = *newest;
            self.violate(
                now,
                format!("node {node} placed under epoch {epoch} after {newest}"),
            );
        } else {
            *newest = epoch;
        }
    }
    /// A request leaves a node that placed it under this epoch. Gives whether it leaves a group without leases
    /// that goes on with what it knows, as it may where holders of leases are the quorum.
    ///
    /// Where most members are, each change that was told as accepted longer ago must be in that epoch. Where
    /// holders of leases are, a node that holds one knew the change before it was told, and one that holds none
    /// stops when anyone who knows it reaches it: only what was under way by then may still leave.
    pub(super) fn sent(
        &mut self,
        now: u64,
        node: Address,
        epoch: ConfigEpoch,
        contact: &router_contact::RouterContact,
        quorum: Quorum,
    ) -> bool {
        let mut is_apart = false;
        for (accepted, acknowledged) in self
            .accepted
            .range(epoch.0 + 1..)
            .map(|(a, t)| (*a, *t))
            .collect::<Vec<_>>()
        {
            let obliged_since = || {
                contact
                    .leased_since(now)
                    .or_else(|| contact.epoch_seen_since(now, accepted))
                    .map(|at| at.max(acknowledged))
            };
            let (since, longest) = match quorum {
                Quorum::Majority => (Some(acknowledged), IN_FORCE),
                Quorum::Holders => (obliged_since(), UNDER_LEASE),
            };
            let Some(since) = since else {
                is_apart = true;
                continue;
            };
            let lag = now - since;
            let most = self.in_force_ms.entry(accepted).or_default();
            *most = lag.max(*most);
            if lag > longest {
                let outcome = if contact.is_leased(now) {
                    "leased"
                } else {
                    "without a lease"
                };
                let what = format!(
                    "node {node}, {outcome}, sent under epoch {epoch}, {lag} ms after it had to know {accepted}"
                );
                self.violate(now, what);
            }
        }
        is_apart
    }
    pub(super) fn view(&mut self, now: u64, at: Address, view: &View) {
        match self.decided.get(&view.epoch.0) {
            None => {
                self.views += 1;
                self.decided.insert(view.epoch.0, view.clone());
            }
            Some(known) if known == view => {}
            Some(_) => self.violate(
                now,
                format!("two views of epoch {}, one at {at}", view.epoch),
            ),
        }
    }
    pub(super) fn proposed(&mut self, now: u64, id: &str, command: &Command, base: &[u8]) {
        let read = |bytes: &[u8]| serde_json::from_slice::<serde_json::Value>(bytes).ok();
        // A change that was merged into another plan than the one that it builds on never takes effect.
        let is_of_its_base = |revisions: &config::Revisions| {
            let found = read(base)
                .and_then(|plan| plan["revision"].as_u64())
                .unwrap_or(0);
            revisions.own == 0 || found == revisions.base
        };
        let whole = match command {
            Command::Plan { bytes, .. } => Some(bytes.clone()),
            Command::Change {
                delta, revisions, ..
            } => delta.apply(base).filter(|_| is_of_its_base(revisions)),
            _ => None,
        };
        let plan = whole.and_then(|bytes| read(&bytes));
        self.plans.extend(plan.map(|plan| (id.to_owned(), plan)));
        self.proposed
            .entry(id.to_owned())
            .or_insert((now, command.clone()));
        self.sends(id);
    }
    /// A call for this change ended at the admin API.
    pub(super) fn not_proposed(&mut self, id: &str) {
        self.sends(id);
    }
    /// A call for this change is under way: unless all that there were are known to have changed nothing, nobody
    /// knows what became of it.
    fn sends(&mut self, id: &str) {
        self.call_counts.entry(id.to_owned()).or_default().sent += 1;
        self.fates.retain(|known, (_, code, _)| {
            known != id || *code != u64::from(ResultCode::CoreNotReady.number())
        });
    }
    pub(super) fn record_acknowledgement(
        &mut self,
        now: u64,
        sent_at: u64,
        id: &str,
        code: u64,
        epoch: u64,
    ) {
        self.keep_fate(now, id, code, epoch);
        if code == u64::from(ResultCode::Accepted.number()) {
            self.commands[0] += 1;
            self.accept_ms.push(now - sent_at);
            self.newest_acknowledged = self.newest_acknowledged.max(epoch);
            self.accepted.entry(epoch).or_insert(now);
            if self.calm_from > 0 && self.back_ms.0.is_none() {
                self.back_ms.0 = Some(now - self.calm_from);
            }
        } else if code == u64::from(ResultCode::FateUnknown.number()) {
            self.commands[2] += 1;
        } else {
            self.commands[1] += 1;
        }
    }

    /// What is known of a change after one more answer: a clear one stays, whatever later answers say.
    fn keep_fate(&mut self, now: u64, id: &str, code: u64, epoch: u64) {
        let number = |code: ResultCode| u64::from(code.number());
        let (accepted, not_ready, unknown) = (
            number(ResultCode::Accepted),
            number(ResultCode::CoreNotReady),
            number(ResultCode::FateUnknown),
        );
        let is_clear = |code: u64| code != not_ready && code != unknown;
        let calls = self.call_counts.entry(id.to_owned()).or_default();
        calls.not_ready += u32::from(code == not_ready);
        let code = if code == not_ready && calls.not_ready < calls.sent {
            unknown
        } else {
            code
        };
        match self.fates.get(id).copied() {
            Some((_, known, _)) if is_clear(known) && !is_clear(code) => {}
            Some((_, known, at)) if is_clear(known) => {
                if (known == accepted || code == accepted) && (known, at) != (code, epoch) {
                    self.violate(
                        now,
                        format!(
                            "{id} was told {known} with epoch {at}, then {code} with epoch {epoch}"
                        ),
                    );
                }
            }
            _ => {
                self.fates.insert(id.to_owned(), (now, code, epoch));
            }
        }
    }

    /// A server was asked to take a request, whatever it made of it.
    pub(super) fn attempted(&mut self, request: &RequestId, service: &ServiceName) {
        self.attempted_requests
            .entry(service.clone())
            .or_default()
            .insert(request.clone());
        *self.asks.entry(service.clone()).or_default() += 1;
    }

    /// A server took a request. Of a group apart, it's judged by what was accepted up to its epoch.
    pub(super) fn run(
        &mut self,
        now: u64,
        request: &RequestId,
        service: &ServiceName,
        server: &ServerMachine,
        in_hand: u32,
        apart_from: Option<ConfigEpoch>,
    ) {
        let newest = apart_from.map_or(u64::MAX, |epoch| epoch.0);
        // Judged by the plans alone: what runs twice must be a fetch, or a stream that may be read on,
        // and the plan must call it idempotent.
        let may_repeat = |plan: &serde_json::Value| {
            let is = |field: &str| plan[field] == serde_json::Value::Bool(true);
            is("idempotent") && (is("resumable") || plan["kind"] == "fetch")
        };
        let runs = self.runs.entry(request.clone()).or_default();
        runs.push((now, server.name.clone()));
        if runs.len() > 1 && !self.may_be_said(now, service, newest, may_repeat) {
            let runs = self.runs[request].clone();
            self.violate(now, format!("{request} ran {} times: {runs:?}", runs.len()));
        }
        if !self.may_be_said(now, service, newest, serde_json::Value::is_object) {
            self.violate(
                now,
                format!("{request} ran though no plan that may be in force allows {service}"),
            );
        }
        if let Some(since) = server.draining_since {
            self.leaving_ms.push(now - since);
        }
        let acknowledged = self.withdrawn_since(now, &server.zone, newest);
        self.withdrawn_ms
            .extend(acknowledged.map(|acknowledged| now - acknowledged));
        if acknowledged.is_some_and(|acknowledged| acknowledged + WITHDRAWN < now) {
            self.violate(
                now,
                format!("{request} ran in withdrawn zone {}", server.zone),
            );
        }
        if server
            .draining_since
            .is_some_and(|since| now > since + LEAVING)
        {
            self.violate(
                now,
                format!("{request} ran at leaving server {}", server.name),
            );
        }
        let age = now - server.started;
        if server.started > 0 && server.pool == "model" && age < 8000 {
            // Routers may have first heard of it later than it started, never earlier.
            let cap = 2.max(16 * age / 8000) + 2;
            if u64::from(in_hand) > cap {
                self.violate(
                    now,
                    format!(
                        "fresh server {} had {in_hand} requests at age {age} ms",
                        server.name
                    ),
                );
            }
        }
    }

    /// Whether some plan that may be in force now says this of the service: the newest one that was
    /// told as accepted long enough ago, and no later than epoch `newest`, or any that came or may have come
    /// after it.
    fn may_be_said(
        &self,
        now: u64,
        service: &ServiceName,
        newest: u64,
        says: impl Fn(&serde_json::Value) -> bool,
    ) -> bool {
        let mut settled = 0;
        for (id, (acknowledged, code, epoch)) in &self.fates {
            if self.plans.contains_key(id)
                && *code == 300
                && *epoch <= newest
                && acknowledged + IN_FORCE < now
            {
                settled = settled.max(*epoch);
            }
        }
        self.plans.iter().any(|(id, plan)| {
            let Some((at, _)) = self.proposed.get(id) else {
                return false;
            };
            let may_count = match self.fates.get(id) {
                Some((_, 300, epoch)) => *epoch >= settled,
                Some((_, 304, _)) | None => true,
                Some(_) => false,
            };
            *at <= now && may_count && says(&plan["services"][service.as_str()])
        })
    }

    /// When the withdrawal of a zone, no later than epoch `newest`, was told as accepted, if no restoring came
    /// after it, or may have.
    fn withdrawn_since(&self, now: u64, zone: &ZoneName, newest: u64) -> Option<u64> {
        let commands = |is_wanted: &dyn Fn(&Command) -> bool| {
            let found = self
                .proposed
                .iter()
                .filter(|(_, (_, command))| is_wanted(command));
            found
                .map(|(id, (at, _))| (*at, self.fates.get(id).copied()))
                .collect::<Vec<_>>()
        };
        let withdrawn = commands(&|m| matches!(m, Command::Withdraw { zone: h } if h == zone));
        let restored = commands(&|m| matches!(m, Command::Restore { zone: h } if h == zone));
        let accepted = withdrawn.iter().filter_map(|(_, fate)| {
            fate.filter(|(_, code, epoch)| *code == 300 && *epoch <= newest)
        });
        let (acknowledged, _, epoch) = accepted.max_by_key(|(_, _, epoch)| *epoch)?;
        let may_be_restored = restored.iter().any(|(at, fate)| match fate {
            Some((_, 300, restored)) => *restored > epoch && *at <= now,
            Some((_, 304, _)) | None => *at <= now,
            Some(_) => false,
        });
        (!may_be_restored).then_some(acknowledged)
    }

    pub(super) fn calm(&mut self, now: u64) {
        self.calm_from = now;
        self.back_ms = (None, None);
        self.level_ms = None;
    }

    pub(super) fn is_core_back(&self) -> bool {
        self.back_ms.0.is_some()
    }

    /// Judges what is known only at the end.
    pub(super) fn conclude(
        &mut self,
        now: u64,
        zones: &BTreeSet<ZoneName>,
        config_state: Option<&ConfigStateMachine>,
    ) {
        self.judge_quotas();
        self.judge_refused_requests(now);
        self.judge_repeats(now);
        let Some(config_state) = config_state else {
            return self.violate(now, "at the end nobody may respond for the core".into());
        };
        self.judge_fates(now, config_state);
        let changes = self.zone_changes(config_state);
        self.judge_recovery(now, &OutOfService::new(zones, changes));
    }

    /// The operators' commands about zones that took effect.
    fn zone_changes(&self, config_state: &ConfigStateMachine) -> Vec<ZoneChange> {
        let accepted = self.proposed.iter().filter_map(|(id, (at, command))| {
            let (zone, is_withdrawn) = match command {
                Command::Withdraw { zone } => (zone.clone(), true),
                Command::Restore { zone } => (zone.clone(), false),
                _ => return None,
            };
            let epoch = config_state.entry_by_id(id)?.epoch.0;
            Some(ZoneChange {
                epoch,
                zone,
                is_withdrawn,
                proposed_at: *at,
                known_at: self.accepted.range(epoch..).map(|(_, at)| *at).min(),
            })
        });
        accepted.collect()
    }

    /// A request whose client was told that it was refused has run nowhere.
    fn judge_refused_requests(&mut self, now: u64) {
        let runs = std::mem::take(&mut self.runs);
        for (request, runs) in &runs {
            let outcome = self.outcomes.get(request).copied().unwrap_or("none");
            if outcome == "refused" {
                self.violate(
                    now,
                    format!("{request} was told refused and ran at {runs:?}"),
                );
            }
        }
    }

    /// Repeats of a service stay within a fifth of its requests and the allowance.
    fn judge_repeats(&mut self, now: u64) {
        for (service, count) in self.asks.clone() {
            let requests = self
                .attempted_requests
                .get(&service)
                .map_or(0, BTreeSet::len) as u64;
            let repeats = count - requests;
            self.repeats.insert(service.clone(), (requests, repeats));
            if repeats * 5 > requests + 5 * ALLOWANCE * now.div_ceil(60_000) {
                self.violate(
                    now,
                    format!("{service}: {repeats} repeats of {requests} requests"),
                );
            }
        }
    }

    /// Each accepted change reads back as it was sent; none that was refused took effect.
    fn judge_fates(&mut self, now: u64, config_state: &ConfigStateMachine) {
        for (id, (_, code, epoch)) in self.fates.clone() {
            let entry = config_state.entry_by_id(&id);
            match code {
                300 => {
                    let reads_back = entry.is_some_and(|entry| {
                        entry.epoch.0 == epoch
                            && self.proposed_as_sent(&id)
                                == Some(config_state.original_command(entry.epoch).ok())
                    });
                    if !reads_back {
                        self.violate(
                            now,
                            format!("{id}, accepted as epoch {epoch}, does not read back as sent"),
                        );
                    }
                }
                304 => {}
                code if entry.is_some() => {
                    self.violate(now, format!("{id} was told {code} and took effect"));
                }
                _ => {}
            }
        }
    }

    /// A proposed command as its operator sent it; the inner `None` of commands that no operator sends.
    fn proposed_as_sent(&self, id: &str) -> Option<Option<OriginalCommand>> {
        let (_, command) = self.proposed.get(id)?;
        Some(match command.clone() {
            Command::Plan { bytes, .. } | Command::Change { bytes, .. } => {
                Some(OriginalCommand::Body(bytes))
            }
            Command::Withdraw { zone } => Some(OriginalCommand::Withdraw(zone)),
            Command::Restore { zone } => Some(OriginalCommand::Restore(zone)),
            Command::ForceRemove { members } => Some(OriginalCommand::ForceRemove(members)),
            _ => None,
        })
    }

    /// After all was healed, a request completes and a change is accepted within the bound. While operators have
    /// every zone out of service no request can complete, and the time of service stands still.
    fn judge_recovery(&mut self, now: u64, out_of_service: &OutOfService) {
        let mut completions = self.completions.iter();
        let completed_at = completions.find(|at| **at >= self.calm_from).copied();
        let back = completed_at.map(|at| at - self.calm_from);
        self.back_ms.1 = back;
        let until = completed_at.unwrap_or(now);
        let time_in_service = out_of_service.time_in_service(self.calm_from, until);
        let is_never_back = back.is_none() && time_in_service == until - self.calm_from;
        if is_never_back || time_in_service > RECOVERY {
            let what = format!(
                "service was back after {back:?} ms, {time_in_service} ms of them with a zone in service"
            );
            self.violate(now, what);
        }
        if self.back_ms.0.is_none_or(|ms| ms > RECOVERY) {
            self.violate(
                now,
                format!("a change was accepted again after {:?} ms", self.back_ms.0),
            );
        }
    }
}

impl fmt::Display for Witness {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut times = self.accept_ms.clone();
        times.sort_unstable();
        let at = |part: usize| {
            times
                .get((times.len() * part / 100).min(times.len().max(1) - 1))
                .copied()
                .unwrap_or(0)
        };
        write!(
            f,
            "requests {} {:?}, commands {:?} (p50 {} p99 {} ms), views {}, copies {}, resumed {}, back after {:?} ms, trace {:016x}",
            self.arrivals,
            self.words,
            self.commands,
            at(50),
            at(99),
            self.views,
            self.copies,
            self.resumed,
            self.back_ms,
            self.trace
        )
    }
}

impl World {
    /// Now and then: whether any node believes what nobody else may.
    pub(super) fn on_check(&mut self) {
        self.put(40, Event::Check);
        let calm_for = self.now.saturating_sub(self.witness.calm_from);
        if self.witness.calm_from > 0 && self.witness.level_ms.is_none() && self.is_core_level() {
            self.witness.level_ms = Some(calm_for);
        }
        let tails: Vec<Address> = self
            .controllers
            .iter()
            .filter(|m| self.now >= m.frozen_until)
            .filter(|m| {
                m.controller.as_ref().is_some_and(|o| {
                    o.replica()
                        .may_respond(MonotonicInstant(self.now + m.offset))
                })
            })
            .map(|m| m.address)
            .collect();
        if tails.len() > 1 {
            self.witness.violate(
                self.now,
                format!("two tails may respond at once: {tails:?}"),
            );
        }
    }

    /// Whether the chain has all its seats, each of them level and taken by a controller that is up and knows of
    /// them. One more that stands by, as during a planned replacement, has no seat.
    fn is_core_level(&self) -> bool {
        let Some(view) = self.witness.decided.values().next_back() else {
            return false;
        };
        let is_up = |position: &replication::ChainPosition| {
            let mut machines = self
                .controllers
                .iter()
                .filter(|m| m.address == position.voter.address && !m.is_gone);
            let knows = |m: &ControllerMachine| {
                m.controller
                    .as_ref()
                    .is_some_and(|controller| controller.replica().view() == view)
            };
            machines.any(|m| m.disk.id == position.voter.disk && knows(m))
        };
        view.chain.len() >= self.controller_count()
            && view
                .chain
                .iter()
                .all(|position| position.is_caught_up && is_up(position))
    }

    pub(super) fn last_checks(&mut self) {
        let now = self.now;
        if self.witness.calm_from > 0 && self.witness.level_ms.is_none_or(|ms| ms > LEVEL_AGAIN) {
            let level = self.witness.level_ms;
            self.witness.violate(
                now,
                format!("all controllers were level again after {level:?} ms"),
            );
        }
        let tail = self.controllers.iter().position(|m| {
            m.controller.as_ref().is_some_and(|controller| {
                controller
                    .replica()
                    .may_respond(MonotonicInstant(now + m.offset))
            })
        });
        self.history
            .judge()
            .into_iter()
            .for_each(|what| self.witness.violate(now, what));
        self.witness.calls = self.history.lines();
        let config_state = tail
            .and_then(|place| self.controllers[place].controller.as_ref())
            .map(|o| o.replica().state_machine());
        let zones = self.rules.deployment.shape().zones;
        let zones = zones.into_iter().map(ZoneName::from).collect();
        self.witness.conclude(now, &zones, config_state);
        if let Some(view) = self.witness.decided.values().next_back() {
            let (seated, wanted) = (view.chain.len(), self.controller_count());
            if seated < wanted {
                self.witness.violate(
                    now,
                    format!("the chain has {seated} of {wanted} members at the end"),
                );
            }
        }
    }
}
