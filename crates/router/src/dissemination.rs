use placement::{Digest, DigestChange};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use types::{Address, Milliseconds, MonotonicInstant, ZoneName};
use wire::{DigestLeg, Member, Message};

/// The spans that digests go by.
#[derive(Debug, Clone, Copy)]
pub struct DigestTiming {
    /// Between two letters on a leg, at least; what changes after a quiet while leaves at once.
    pub pause: Milliseconds,
    /// And so many bytes a millisecond at most.
    pub bytes_a_ms: u64,
    /// What is not empty is told again after this though nothing changed.
    pub refresh: Milliseconds,
    /// What is not empty and was not told again for this long counts no more.
    pub incarnation: Milliseconds,
    /// A collector that has not answered for this long is passed over,
    pub patience: Milliseconds,
    /// for so long.
    pub suspicion: Milliseconds,
}

impl Default for DigestTiming {
    fn default() -> Self {
        DigestTiming {
            pause: Milliseconds(250),
            bytes_a_ms: 4,
            refresh: Milliseconds(1000),
            incarnation: Milliseconds(3000),
            patience: Milliseconds(800),
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
/// is in hand. Bytes on a leg are bounded by `bytes_a_ms`, whatever the fleet's size.
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
    seen: Digest,
    outgoing: BTreeMap<(DigestLeg, Address), Outgoing>,
    /// What was told here, by leg and teller.
    incoming: BTreeMap<(DigestLeg, Address), Incoming>,
    /// When silent members were last asked to report, and how often since they were heard.
    asked: BTreeMap<Address, (MonotonicInstant, u32)>,
    /// When another node last reported to this one, or another zone told its sum.
    collected: Option<MonotonicInstant>,
    next_collect: MonotonicInstant,
    sum: Option<(u64, u64, Digest)>,
    /// The newest of this node's own sums, and when it was made.
    own_sum: (u64, Digest, MonotonicInstant),
    messages: Vec<(Address, Message)>,
    nothing: Arc<Digest>,
}

/// How a digest is told to those who hold another.
struct Told {
    before: Arc<Digest>,
    change: DigestChange,
    is_some: bool,
    after: Arc<Digest>,
}

fn change_of<'a>(before: &Arc<Digest>, digest: &Digest, told: &'a mut Vec<Told>) -> &'a Told {
    let place = told
        .iter()
        .position(|known| Arc::ptr_eq(&known.before, before))
        .unwrap_or_else(|| {
            let change = digest.change_from(before);
            let is_some = change.is_some();
            let missing = || digest.missing.iter().copied().collect();
            let change = change.unwrap_or_else(|| DigestChange {
                missing: missing(),
                ..DigestChange::default()
            });
            let mut after = before.clone();
            if is_some {
                Arc::make_mut(&mut after).apply(&change);
            }
            told.push(Told {
                before: before.clone(),
                change,
                is_some,
                after,
            });
            told.len() - 1
        });
    &told[place]
}

/// A digest that is kept up to date at another node.
#[derive(Debug, Clone)]
struct Outgoing {
    /// As the other has it, if all letters came. Shared by all to whom the same was told.
    held: Arc<Digest>,
    number: u64,
    sent: MonotonicInstant,
    next: MonotonicInstant,
    /// Since when an answer is awaited.
    awaited: Option<MonotonicInstant>,
    is_whole_wanted: bool,
}

/// A digest that another node keeps up to date here.
#[derive(Debug, Clone)]
struct Incoming {
    incarnation: u64,
    number: u64,
    digest: Digest,
    heard: MonotonicInstant,
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
            seen: Digest::default(),
            outgoing: BTreeMap::new(),
            incoming: BTreeMap::new(),
            asked: BTreeMap::new(),
            collected: None,
            next_collect: now,
            sum: None,
            own_sum: (0, Digest::default(), MonotonicInstant(0)),
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
        self.asked.retain(|member, _| zone_of.contains_key(member));
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
    pub fn on_clock(&mut self, now: MonotonicInstant, seen: Digest) -> Vec<(Address, Message)> {
        self.now = self.now.max(now);
        self.seen = seen;
        if self.zone_of.contains_key(&self.own) {
            self.give_up();
            self.expire();
            self.report();
            let is_collector =
                self.collector(&self.zone) == Some(self.own) || self.collected.is_some();
            if is_collector && self.now >= self.next_collect {
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
        is_whole: bool,
        change: &DigestChange,
    ) -> Vec<(Address, Message)> {
        self.now = self.now.max(now);
        let is_own_zone = self.zone_of.get(&from) == Some(&self.zone);
        let is_known = self.zone_of.contains_key(&from) && self.zone_of.contains_key(&self.own);
        if !is_known || is_own_zone == (leg == DigestLeg::Zone) {
            return vec![];
        }
        let heard = self.now;
        let slot = self.incoming.entry((leg, from));
        let slot = slot.or_insert(Incoming {
            incarnation: 0,
            number: 0,
            digest: Digest::default(),
            heard,
        });
        let follows =
            slot.incarnation == incarnation && number == slot.number + 1 && slot.number > 0;
        if slot.incarnation == incarnation && number <= slot.number && number > 0 {
            // An older one, late.
            return vec![];
        }
        if !is_whole && !follows {
            self.messages
                .push((from, Message::DigestAck { leg, number: 0 }));
            return std::mem::take(&mut self.messages);
        }
        if is_whole {
            slot.digest = Digest::default();
        }
        slot.digest.apply(change);
        (slot.incarnation, slot.number, slot.heard) = (incarnation, number, heard);
        match leg {
            DigestLeg::Fleet => self.take_sum(from),
            DigestLeg::Report | DigestLeg::Zone => {
                self.collected = Some(self.now);
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
            outgoing.is_whole_wanted |= number == 0;
            if number == 0 || number >= outgoing.number {
                outgoing.awaited = None;
            }
            self.suspects.remove(&from);
        } else if number == 0 && leg == DigestLeg::Report && is_own_zone {
            // A collector that this node does not report to, or has nothing to report to, wants to know.
            let seen = self.seen.clone();
            self.tell(leg, from, &seen, &mut vec![]);
        }
        std::mem::take(&mut self.messages)
    }

    /// The sum of all other nodes, if it's new: the life and the number of it, for the scheduler.
    pub fn take_update(&mut self) -> Option<(u64, u64, Digest)> {
        self.sum.take()
    }

    /// Those that have not answered are passed over.
    fn give_up(&mut self) {
        let is_late = |at: MonotonicInstant| self.now.since(at) >= self.timing.patience;
        let late = self
            .outgoing
            .iter()
            .filter(|(_, out)| out.awaited.is_some_and(is_late));
        let late: Vec<(DigestLeg, Address)> = late.map(|(key, _)| *key).collect();
        for key in late {
            self.outgoing.remove(&key);
            self.suspects
                .insert(key.1, self.now + self.timing.suspicion);
        }
    }

    fn expire(&mut self) {
        let (now, incarnation) = (self.now, self.timing.incarnation);
        // One that is empty lasts: it says that its teller has nothing, until the teller says otherwise, or
        // another tells the same zone's sum.
        let zone_of = &self.zone_of;
        let mut tellers: BTreeMap<&ZoneName, MonotonicInstant> = BTreeMap::new();
        for ((_, from), incoming) in self
            .incoming
            .iter()
            .filter(|((leg, _), _)| *leg == DigestLeg::Zone)
        {
            let newest = tellers.entry(&zone_of[from]).or_default();
            *newest = incoming.heard.max(*newest);
        }
        self.incoming.retain(|(leg, from), incoming| {
            let is_idle = match leg {
                DigestLeg::Report => incoming.digest.is_empty(),
                DigestLeg::Zone => {
                    incoming.digest.is_empty() && tellers[&zone_of[from]] <= incoming.heard
                }
                DigestLeg::Fleet => false,
            };
            is_idle || now.since(incoming.heard) < incarnation
        });
        let is_over = |at: MonotonicInstant| now.since(at) >= Milliseconds(incarnation.0 * 4);
        if self.collected.is_some_and(is_over) {
            self.collected = None;
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
        let seen = self.seen.clone();
        self.keep_up(DigestLeg::Report, collector, &seen, &mut vec![]);
    }

    /// Sums up what was told here, and tells it on.
    fn collect(&mut self) {
        // The more there is to sum up, the less often.
        self.next_collect =
            self.now + Milliseconds(self.timing.pause.0 * (1 + self.reporters() as u64 / 32));
        let is_collector = self.collector(&self.zone) == Some(self.own);
        let mut zone_sum = if is_collector {
            self.seen.clone()
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
            .any(|((leg, _), told)| *leg == DigestLeg::Zone && !told.digest.is_empty());
        if zone_sum.is_empty() && !has_other && self.collected.is_none() {
            return;
        }
        let members = self.zones.get(&self.zone).cloned().unwrap_or_default();
        let is_told = |member: &Address| self.incoming.contains_key(&(DigestLeg::Report, *member));
        let is_in = |member: &Address| is_told(member) || (is_collector && *member == self.own);
        zone_sum.missing = members
            .iter()
            .copied()
            .filter(|member| !is_in(member))
            .collect();
        zone_sum.bound_sum();
        if is_collector {
            self.ask_missing(&zone_sum.missing);
        }
        let mut fleet = zone_sum.clone();
        for zone in self.zones.keys().filter(|zone| **zone != self.zone) {
            let told = self.incoming.iter().filter(|((leg, from), _)| {
                *leg == DigestLeg::Zone && self.zone_of.get(from) == Some(zone)
            });
            let mut missing = self.zones[zone].clone();
            for (_, incoming) in told {
                fleet.add(&incoming.digest);
                missing.retain(|member| incoming.digest.missing.contains(member));
            }
            fleet.missing.extend(missing);
        }
        fleet.bound_sum();
        for (_, collector) in others {
            collector
                .into_iter()
                .for_each(|to| self.keep_up(DigestLeg::Zone, to, &zone_sum, &mut vec![]));
        }
        let mut told = vec![];
        for member in members {
            if member != self.own && !zone_sum.missing.contains(&member) {
                self.keep_up(DigestLeg::Fleet, member, &fleet, &mut told);
            }
        }
        let (number, old, at) = &self.own_sum;
        if is_collector && (fleet != *old || self.now.since(*at) >= self.timing.refresh) {
            self.own_sum = (number + 1, fleet.clone(), self.now);
            fleet.subtract(&self.seen);
            self.sum = Some((self.incarnation, self.own_sum.0, fleet));
        }
    }

    /// Members that have not reported here may not know that they should: this one may be new.
    fn ask_missing(&mut self, missing: &BTreeSet<Address>) {
        self.asked.retain(|member, _| missing.contains(member));
        for member in missing {
            let (at, times) = self
                .asked
                .get(member)
                .copied()
                .unwrap_or((MonotonicInstant(0), 0));
            let pause = Milliseconds(self.timing.refresh.0 << times.min(5));
            if times == 0 || self.now.since(at) >= pause {
                self.asked.insert(*member, (self.now, times + 1));
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
    fn take_sum(&mut self, from: Address) {
        let Some(incoming) = self.incoming.get(&(DigestLeg::Fleet, from)) else {
            return;
        };
        if self.collector(&self.zone) != Some(from) {
            return;
        }
        let mut others = incoming.digest.clone();
        if let Some(out) = self.outgoing.get(&(DigestLeg::Report, from)) {
            others.subtract(&out.held);
        }
        self.sum = Some((incoming.incarnation, incoming.number, others));
    }

    /// Tells another what changed, if something has and it's time. `told`: what was worked out for others
    /// to whom the same digest goes.
    fn keep_up(&mut self, leg: DigestLeg, to: Address, digest: &Digest, told: &mut Vec<Told>) {
        let Some(out) = self.outgoing.get(&(leg, to)) else {
            if !digest.is_empty() || leg != DigestLeg::Report {
                self.tell(leg, to, digest, told);
            }
            return;
        };
        if self.now < out.next && !out.is_whole_wanted {
            return;
        }
        let is_stale = !digest.is_empty() && self.now.since(out.sent) >= self.timing.refresh;
        if out.is_whole_wanted || is_stale || change_of(&out.held, digest, told).is_some {
            self.tell(leg, to, digest, told);
        }
    }

    fn tell(&mut self, leg: DigestLeg, to: Address, digest: &Digest, told: &mut Vec<Told>) {
        let now = self.now;
        let fresh = || Outgoing {
            held: Arc::default(),
            number: 0,
            sent: now,
            next: now,
            awaited: None,
            is_whole_wanted: true,
        };
        let out = self.outgoing.entry((leg, to)).or_insert_with(fresh);
        let is_whole = std::mem::replace(&mut out.is_whole_wanted, false);
        if is_whole {
            out.held = self.nothing.clone();
        }
        let known = change_of(&out.held, digest, told);
        let change = known.change.clone();
        out.held = known.after.clone();
        out.number += 1;
        out.sent = now;
        out.next = now
            + Milliseconds(
                self.timing
                    .pause
                    .0
                    .max(change.bytes() / self.timing.bytes_a_ms),
            );
        if leg != DigestLeg::Fleet {
            out.awaited = out.awaited.or(Some(now));
        }
        let message = Message::Digest {
            leg,
            incarnation: self.incarnation,
            number: out.number,
            is_whole,
            change: Box::new(change),
        };
        self.messages.push((to, message));
    }
}

#[cfg(test)]
mod tests;
