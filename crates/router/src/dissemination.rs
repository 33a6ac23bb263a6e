use placement::{Digest, DigestChange};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use types::{Address, Milliseconds, MonotonicInstant, ZoneName};
use wire::{DigestLeg, Member, Message};

/// The spans that digests go by.
#[derive(Debug, Clone, Copy)]
pub struct DigestTiming {
    /// Between two letters on a leg, at least; what changes after a quiet while leaves at once.
    pub min_interval: Milliseconds,
    /// And so many bytes a millisecond at most.
    pub bytes_per_ms: u64,
    /// What is not empty is told again after this though nothing changed.
    pub refresh_interval: Milliseconds,
    /// What is not empty and was not told again for this long counts no more.
    pub report_expiry: Milliseconds,
    /// A collector that has not answered for this long is passed over,
    pub acknowledgement_timeout: Milliseconds,
    /// for so long.
    pub suspicion: Milliseconds,
}

impl Default for DigestTiming {
    fn default() -> Self {
        DigestTiming {
            min_interval: Milliseconds(250),
            bytes_per_ms: 4,
            refresh_interval: Milliseconds(1000),
            report_expiry: Milliseconds(3000),
            acknowledgement_timeout: Milliseconds(800),
            suspicion: Milliseconds(15_000),
        }
    }
}

/// Takes what each node saw to all others, by way of one collector in each zone: nodes report to their
/// zone's, collectors tell each other their zones' sums, and each tells its nodes the sum of the fleet.
///
/// A zone's collector is the first of its members, in the order of their addresses, that answers; each
/// node decides that by itself. So there may be two for a while: each sums what was reported to it, and a
/// node that changed over counts twice until the older report has lapsed (`life`).
///
/// Invariants: a node reports only what it saw itself. Nothing is sent while nothing changes and nothing
/// is in hand. Bytes on a leg are bounded by `bytes_per_ms`, whatever the fleet's size.
#[derive(Debug, Clone)]
pub struct Dissemination {
    own: Address,
    zone: ZoneName,
    incarnation: u64,
    timing: DigestTiming,
    now: MonotonicInstant,
    /// Members by zone, in order.
    zones: BTreeMap<ZoneName, BTreeSet<Address>>,
    zone_of: BTreeMap<Address, ZoneName>,
    suspects: BTreeMap<Address, MonotonicInstant>,
    local_digest: Digest,
    outgoing: BTreeMap<(DigestLeg, Address), Outgoing>,
    /// What was told here, by leg and teller.
    incoming: BTreeMap<(DigestLeg, Address), Incoming>,
    /// When silent members were last asked to report, and how often since they were heard.
    report_requests: BTreeMap<Address, (MonotonicInstant, u32)>,
    /// When another node last reported to this one, or another zone told its sum.
    last_collected_at: Option<MonotonicInstant>,
    next_collection_at: MonotonicInstant,
    sum: Option<(u64, u64, Digest)>,
    /// The newest of this node's own sums, and when it was made.
    own_fleet_digest: (u64, Digest, MonotonicInstant),
    messages: Vec<(Address, Message)>,
    nothing: Arc<Digest>,
}

/// How a digest is told to those who hold another.
struct DigestDelta {
    before: Arc<Digest>,
    change: DigestChange,
    is_changed: bool,
    after: Arc<Digest>,
}

fn delta_from<'a>(
    before: &Arc<Digest>,
    digest: &Digest,
    deltas: &'a mut Vec<DigestDelta>,
) -> &'a DigestDelta {
    let place = deltas
        .iter()
        .position(|known| Arc::ptr_eq(&known.before, before))
        .unwrap_or_else(|| {
            let change = digest.change_from(before);
            let is_changed = change.is_some();
            let missing = || digest.missing.iter().copied().collect();
            let change = change.unwrap_or_else(|| DigestChange {
                missing: missing(),
                ..DigestChange::default()
            });
            let mut after = before.clone();
            if is_changed {
                Arc::make_mut(&mut after).apply(&change);
            }
            deltas.push(DigestDelta {
                before: before.clone(),
                change,
                is_changed,
                after,
            });
            deltas.len() - 1
        });
    &deltas[place]
}

/// A digest that is kept up to date at another node.
#[derive(Debug, Clone)]
struct Outgoing {
    /// As the other has it, if all letters came. Shared by all to whom the same was told.
    last_sent: Arc<Digest>,
    number: u64,
    sent: MonotonicInstant,
    next: MonotonicInstant,
    /// Since when an answer is awaited.
    unacknowledged_since: Option<MonotonicInstant>,
    is_full_digest_requested: bool,
}

/// A digest that another node keeps up to date here.
#[derive(Debug, Clone)]
struct Incoming {
    incarnation: u64,
    number: u64,
    digest: Digest,
    last_seen: MonotonicInstant,
}

impl Dissemination {
    /// At the start of a node's life.
    pub fn new(
        own: Address,
        zone: ZoneName,
        incarnation: u64,
        timing: DigestTiming,
        now: MonotonicInstant,
    ) -> Self {
        Dissemination {
            own,
            zone,
            incarnation,
            timing,
            now,
            zones: BTreeMap::new(),
            zone_of: BTreeMap::new(),
            suspects: BTreeMap::new(),
            local_digest: Digest::default(),
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            report_requests: BTreeMap::new(),
            last_collected_at: None,
            next_collection_at: now,
            sum: None,
            own_fleet_digest: (0, Digest::default(), MonotonicInstant(0)),
            messages: vec![],
            nothing: Arc::default(),
        }
    }

    /// The members changed.
    pub fn set_members(&mut self, members: &[Member]) {
        self.zones.clear();
        self.zone_of = members
            .iter()
            .map(|member| (member.address, member.zone.clone()))
            .collect();
        for member in members {
            self.zones
                .entry(member.zone.clone())
                .or_default()
                .insert(member.address);
        }
        let zone_of = &self.zone_of;
        self.outgoing.retain(|(_, to), _| zone_of.contains_key(to));
        self.incoming
            .retain(|(_, from), _| zone_of.contains_key(from));
        self.report_requests
            .retain(|member, _| zone_of.contains_key(member));
        self.suspects
            .retain(|member, _| zone_of.contains_key(member));
    }

    /// The node that collects a zone's digests, as far as is known here.
    pub fn collector(&self, zone: &ZoneName) -> Option<Address> {
        let members = self.zones.get(zone)?;
        let is_trusted = |member: &&Address| {
            self.suspects
                .get(*member)
                .is_none_or(|until| self.now >= *until)
        };
        members.iter().find(is_trusted).or(members.first()).copied()
    }

    /// The members of a zone.
    pub fn members_of(&self, zone: &ZoneName) -> Option<&BTreeSet<Address>> {
        self.zones.get(zone)
    }

    /// A node does not do what collectors do: another is to be one for a while.
    pub fn suspect(&mut self, member: Address) {
        self.suspects
            .insert(member, self.now + self.timing.suspicion);
    }

    /// How many nodes report here.
    pub fn reporters(&self) -> usize {
        self.incoming
            .keys()
            .filter(|(leg, _)| *leg == DigestLeg::Report)
            .count()
    }

    /// Time has passed, and this is what the node sees now. Gives letters to be sent.
    pub fn on_clock(
        &mut self,
        now: MonotonicInstant,
        local_digest: Digest,
    ) -> Vec<(Address, Message)> {
        self.now = self.now.max(now);
        self.local_digest = local_digest;
        if self.zone_of.contains_key(&self.own) {
            self.expire_unacknowledged();
            self.expire();
            self.report();
            let is_collector =
                self.collector(&self.zone) == Some(self.own) || self.last_collected_at.is_some();
            if is_collector && self.now >= self.next_collection_at {
                self.collect();
            }
        }
        std::mem::take(&mut self.messages)
    }

    /// A digest came.
    #[allow(clippy::too_many_arguments)]
    pub fn on_digest(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        leg: DigestLeg,
        incarnation: u64,
        number: u64,
        is_snapshot: bool,
        change: &DigestChange,
    ) -> Vec<(Address, Message)> {
        self.now = self.now.max(now);
        let is_own_zone = self.zone_of.get(&from) == Some(&self.zone);
        let is_known = self.zone_of.contains_key(&from) && self.zone_of.contains_key(&self.own);
        if !is_known || is_own_zone == (leg == DigestLeg::Zone) {
            return vec![];
        }
        let last_seen = self.now;
        let known = self.incoming.entry((leg, from));
        let known = known.or_insert(Incoming {
            incarnation: 0,
            number: 0,
            digest: Digest::default(),
            last_seen,
        });
        let follows =
            known.incarnation == incarnation && number == known.number + 1 && known.number > 0;
        if known.incarnation == incarnation && number <= known.number && number > 0 {
            // An older one, late.
            return vec![];
        }
        if !is_snapshot && !follows {
            self.messages
                .push((from, Message::DigestAck { leg, number: 0 }));
            return std::mem::take(&mut self.messages);
        }
        if is_snapshot {
            known.digest = Digest::default();
        }
        known.digest.apply(change);
        (known.incarnation, known.number, known.last_seen) = (incarnation, number, last_seen);
        match leg {
            DigestLeg::Fleet => self.receive_fleet_digest(from),
            DigestLeg::Report | DigestLeg::Zone => {
                self.last_collected_at = Some(self.now);
                self.messages
                    .push((from, Message::DigestAck { leg, number }));
            }
        }
        std::mem::take(&mut self.messages)
    }

    /// An answer to a digest came, or a collector wants one.
    pub fn on_ack(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        leg: DigestLeg,
        number: u64,
    ) -> Vec<(Address, Message)> {
        self.now = self.now.max(now);
        let is_own_zone = self.zone_of.get(&from) == Some(&self.zone);
        if let Some(outgoing) = self.outgoing.get_mut(&(leg, from)) {
            outgoing.is_full_digest_requested |= number == 0;
            if number == 0 || number >= outgoing.number {
                outgoing.unacknowledged_since = None;
            }
            self.suspects.remove(&from);
        } else if number == 0 && leg == DigestLeg::Report && is_own_zone {
            // A collector that this node does not report to, or has nothing to report to, wants to know.
            let local_digest = self.local_digest.clone();
            self.send_digest(leg, from, &local_digest, &mut vec![]);
        }
        std::mem::take(&mut self.messages)
    }

    /// The sum of all other nodes, if it's new: the life and the number of it, for the scheduler.
    pub fn take_fleet_digest(&mut self) -> Option<(u64, u64, Digest)> {
        self.sum.take()
    }

    /// Those that have not answered are passed over.
    fn expire_unacknowledged(&mut self) {
        let is_late =
            |at: MonotonicInstant| self.now.since(at) >= self.timing.acknowledgement_timeout;
        let late = self
            .outgoing
            .iter()
            .filter(|(_, out)| out.unacknowledged_since.is_some_and(is_late));
        let late: Vec<(DigestLeg, Address)> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.outgoing.remove(&key);
            self.suspects
                .insert(key.1, self.now + self.timing.suspicion);
        }
    }

    fn expire(&mut self) {
        let (now, expiry) = (self.now, self.timing.report_expiry);
        // One that is empty lasts: it says that its teller has nothing, until the teller says otherwise, or
        // another tells the same zone's sum.
        let zone_of = &self.zone_of;
        let mut newest_by_zone: BTreeMap<&ZoneName, MonotonicInstant> = BTreeMap::new();
        for ((_, from), incoming) in self
            .incoming
            .iter()
            .filter(|((leg, _), _)| *leg == DigestLeg::Zone)
        {
            let newest = newest_by_zone.entry(&zone_of[from]).or_default();
            *newest = incoming.last_seen.max(*newest);
        }
        self.incoming.retain(|(leg, from), incoming| {
            let is_idle = match leg {
                DigestLeg::Report => incoming.digest.is_empty(),
                DigestLeg::Zone => {
                    incoming.digest.is_empty()
                        && newest_by_zone[&zone_of[from]] <= incoming.last_seen
                }
                DigestLeg::Fleet => false,
            };
            is_idle || now.since(incoming.last_seen) < expiry
        });
        let is_over = |at: MonotonicInstant| now.since(at) >= Milliseconds(expiry.0 * 4);
        if self.last_collected_at.is_some_and(is_over) {
            self.last_collected_at = None;
        }
    }

    fn report(&mut self) {
        let Some(collector) = self
            .collector(&self.zone)
            .filter(|collector| *collector != self.own)
        else {
            return;
        };
        // One that was reported to before and is no more is not kept up.
        self.outgoing
            .retain(|(leg, to), _| *leg != DigestLeg::Report || *to == collector);
        let local_digest = self.local_digest.clone();
        self.send_if_changed(DigestLeg::Report, collector, &local_digest, &mut vec![]);
    }

    /// Sums up what was told here, and tells it on.
    fn collect(&mut self) {
        // The more there is to sum up, the less often.
        self.next_collection_at = self.now
            + Milliseconds(self.timing.min_interval.0 * (1 + self.reporters() as u64 / 32));
        let is_collector = self.collector(&self.zone) == Some(self.own);
        let mut zone_sum = if is_collector {
            self.local_digest.clone()
        } else {
            Digest::default()
        };
        for ((leg, _), incoming) in &self.incoming {
            if *leg == DigestLeg::Report {
                zone_sum.add(&incoming.digest);
            }
        }
        let others: Vec<(ZoneName, Option<Address>)> = self
            .zones
            .keys()
            .filter(|zone| **zone != self.zone)
            .map(|zone| (zone.clone(), self.collector(zone)))
            .collect();
        let has_other = self
            .incoming
            .iter()
            .any(|((leg, _), incoming)| *leg == DigestLeg::Zone && !incoming.digest.is_empty());
        if zone_sum.is_empty() && !has_other && self.last_collected_at.is_none() {
            return;
        }
        let members = self.zones.get(&self.zone).cloned().unwrap_or_default();
        let has_reported =
            |member: &Address| self.incoming.contains_key(&(DigestLeg::Report, *member));
        let is_in =
            |member: &Address| has_reported(member) || (is_collector && *member == self.own);
        zone_sum.missing = members
            .iter()
            .copied()
            .filter(|member| !is_in(member))
            .collect();
        zone_sum.bound_sum();
        if is_collector {
            self.request_missing_reports(&zone_sum.missing);
        }
        let mut fleet = zone_sum.clone();
        for zone in self.zones.keys().filter(|zone| **zone != self.zone) {
            let reports = self.incoming.iter().filter(|((leg, from), _)| {
                *leg == DigestLeg::Zone && self.zone_of.get(from) == Some(zone)
            });
            let mut missing = self.zones[zone].clone();
            for (_, incoming) in reports {
                fleet.add(&incoming.digest);
                missing.retain(|member| incoming.digest.missing.contains(member));
            }
            fleet.missing.extend(missing);
        }
        fleet.bound_sum();
        for (_, collector) in others {
            collector
                .into_iter()
                .for_each(|to| self.send_if_changed(DigestLeg::Zone, to, &zone_sum, &mut vec![]));
        }
        let mut deltas = vec![];
        for member in members {
            if member != self.own && !zone_sum.missing.contains(&member) {
                self.send_if_changed(DigestLeg::Fleet, member, &fleet, &mut deltas);
            }
        }
        let (number, old, at) = &self.own_fleet_digest;
        if is_collector && (fleet != *old || self.now.since(*at) >= self.timing.refresh_interval) {
            self.own_fleet_digest = (number + 1, fleet.clone(), self.now);
            fleet.subtract(&self.local_digest);
            self.sum = Some((self.incarnation, self.own_fleet_digest.0, fleet));
        }
    }

    /// Members that have not reported here may not know that they should: this one may be new.
    fn request_missing_reports(&mut self, missing: &BTreeSet<Address>) {
        self.report_requests
            .retain(|member, _| missing.contains(member));
        for member in missing {
            let (at, times) = self
                .report_requests
                .get(member)
                .copied()
                .unwrap_or((MonotonicInstant(0), 0));
            let pause = Milliseconds(self.timing.refresh_interval.0 << times.min(5));
            if times == 0 || self.now.since(at) >= pause {
                self.report_requests.insert(*member, (self.now, times + 1));
                self.messages.push((
                    *member,
                    Message::DigestAck {
                        leg: DigestLeg::Report,
                        number: 0,
                    },
                ));
            }
        }
    }

    /// The collector's sum less this node's part of it is that of all others.
    fn receive_fleet_digest(&mut self, from: Address) {
        let Some(incoming) = self.incoming.get(&(DigestLeg::Fleet, from)) else {
            return;
        };
        if self.collector(&self.zone) != Some(from) {
            return;
        }
        let mut others = incoming.digest.clone();
        if let Some(out) = self.outgoing.get(&(DigestLeg::Report, from)) {
            others.subtract(&out.last_sent);
        }
        self.sum = Some((incoming.incarnation, incoming.number, others));
    }

    /// Tells another what changed, if something has and it's time. `told`: what was worked out for others
    /// to whom the same digest goes.
    fn send_if_changed(
        &mut self,
        leg: DigestLeg,
        to: Address,
        digest: &Digest,
        deltas: &mut Vec<DigestDelta>,
    ) {
        let Some(out) = self.outgoing.get(&(leg, to)) else {
            if !digest.is_empty() || leg != DigestLeg::Report {
                self.send_digest(leg, to, digest, deltas);
            }
            return;
        };
        if self.now < out.next && !out.is_full_digest_requested {
            return;
        }
        let is_stale =
            !digest.is_empty() && self.now.since(out.sent) >= self.timing.refresh_interval;
        if out.is_full_digest_requested
            || is_stale
            || delta_from(&out.last_sent, digest, deltas).is_changed
        {
            self.send_digest(leg, to, digest, deltas);
        }
    }

    fn send_digest(
        &mut self,
        leg: DigestLeg,
        to: Address,
        digest: &Digest,
        deltas: &mut Vec<DigestDelta>,
    ) {
        let now = self.now;
        let fresh = || Outgoing {
            last_sent: Arc::default(),
            number: 0,
            sent: now,
            next: now,
            unacknowledged_since: None,
            is_full_digest_requested: true,
        };
        let out = self.outgoing.entry((leg, to)).or_insert_with(fresh);
        let is_snapshot = std::mem::replace(&mut out.is_full_digest_requested, false);
        if is_snapshot {
            out.last_sent = self.nothing.clone();
        }
        let known = delta_from(&out.last_sent, digest, deltas);
        let change = known.change.clone();
        out.last_sent = known.after.clone();
        out.number += 1;
        out.sent = now;
        out.next = now
            + Milliseconds(
                self.timing
                    .min_interval
                    .0
                    .max(change.bytes() / self.timing.bytes_per_ms),
            );
        if leg != DigestLeg::Fleet {
            out.unacknowledged_since = out.unacknowledged_since.or(Some(now));
        }
        let message = Message::Digest {
            leg,
            incarnation: self.incarnation,
            number: out.number,
            is_snapshot,
            change: Box::new(change),
        };
        self.messages.push((to, message));
    }
}

#[cfg(test)]
mod tests;
