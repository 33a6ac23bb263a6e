//! The books of a budget: who holds what, and who gives way to whom.

use crate::policy::{BudgetLimits, HOLD_GRACE, ListenerId, ListenerPolicy, SMALL_REQUEST_BYTES};
use crate::safety::{AccountingSafety, SafeAccounting};
use std::collections::BTreeMap;
use types::MonotonicInstant;

/// A connection in the books; no later one has the same id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotId(pub u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Phase {
    /// It waits for a request.
    Idle,
    /// A request is coming in. Nothing of it was handed on.
    Reading,
    /// A request is being served: it may be running, and is not given up.
    Serving,
    /// An answer waits for its reader, who takes nothing.
    Stalled,
    /// All was said, and its end is awaited.
    Closing,
}

/// Whether a connection is taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// It is, and these give way to it.
    Granted {
        /// The connection.
        slot: SlotId,
        /// Who must close.
        evicted: Vec<SlotId>,
    },
    /// Not yet: somebody could give way, but too many are departing already. It may ask again once one of them was released.
    Deferred,
    /// It is not: nobody can give way.
    Refused,
}

/// Whether a connection may hold more bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// It may, and they are entered.
    Granted,
    /// Not yet. It may ask again once something was released, or somebody is old enough to give way.
    Deferred {
        /// Who must close.
        evicted: Vec<SlotId>,
    },
    /// It never may: the process has not as much.
    TooLarge,
    /// It must give way itself.
    Evicted,
}

#[derive(Debug, Clone, Copy)]
struct Slot {
    listener: ListenerId,
    phase: Phase,
    since: MonotonicInstant,
    bytes: u64,
    is_evicted: bool,
}

impl Slot {
    fn large_bytes(&self) -> u64 {
        if self.bytes > SMALL_REQUEST_BYTES {
            self.bytes
        } else {
            0
        }
    }

    /// Who gives way first has the lowest rank; of equals the one that holds its place longest.
    fn eviction_rank(&self) -> u8 {
        match self.phase {
            Phase::Closing => 0,
            Phase::Idle => 1,
            Phase::Reading | Phase::Stalled | Phase::Serving => 2,
        }
    }
}

/// Sums over slots.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Totals {
    live: usize,
    departing: usize,
    bytes: u64,
    large_bytes: u64,
    departing_bytes: u64,
    departing_large_bytes: u64,
}

impl Totals {
    fn add(&mut self, slot: &Slot) {
        self.live += usize::from(!slot.is_evicted);
        self.departing += usize::from(slot.is_evicted);
        self.bytes += slot.bytes;
        self.large_bytes += slot.large_bytes();
        if slot.is_evicted {
            self.departing_bytes += slot.bytes;
            self.departing_large_bytes += slot.large_bytes();
        }
    }

    fn remove(&mut self, slot: &Slot) {
        self.live -= usize::from(!slot.is_evicted);
        self.departing -= usize::from(slot.is_evicted);
        self.bytes -= slot.bytes;
        self.large_bytes -= slot.large_bytes();
        if slot.is_evicted {
            self.departing_bytes -= slot.bytes;
            self.departing_large_bytes -= slot.large_bytes();
        }
    }
}

/// What a growth would make of the sums.
#[derive(Debug, Clone, Copy)]
struct Demand {
    listener: ListenerId,
    bytes: u64,
    /// By how much the bytes of large requests grow.
    large_bytes: u64,
}

/// The books of one process.
///
/// Invariants: open connections, departing ones included, never exceed `max_connections`, nor bytes
/// `content_bytes`, nor bytes of large requests `large_content_bytes`. What is reserved for a listener is used by no other.
/// Nobody who is being served is evicted, and no request that is younger than [`HOLD_GRACE`].
#[derive(Debug)]
pub struct Accounting {
    safety: Box<dyn AccountingSafety>,
    limits: BudgetLimits,
    listeners: Vec<ListenerPolicy>,
    slots: BTreeMap<SlotId, Slot>,
    by_listener: Vec<Totals>,
    all: Totals,
    next_id: u64,
}

impl Accounting {
    /// Empty books. A [`ListenerId`] is a place in `listeners`.
    pub fn new(limits: BudgetLimits, listeners: Vec<ListenerPolicy>) -> Accounting {
        Self::with_safety(limits, listeners, Box::new(SafeAccounting))
    }

    /// The same with these decisions, which tests replace by faulty ones.
    fn with_safety(
        limits: BudgetLimits,
        listeners: Vec<ListenerPolicy>,
        safety: Box<dyn AccountingSafety>,
    ) -> Accounting {
        Accounting {
            safety,
            by_listener: vec![Totals::default(); listeners.len()],
            limits,
            listeners,
            slots: BTreeMap::new(),
            all: Totals::default(),
            next_id: 0,
        }
    }

    /// Open connections, departing ones included.
    pub fn connections(&self) -> usize {
        self.all.live + self.all.departing
    }

    /// Bytes that are held.
    pub fn bytes(&self) -> u64 {
        self.all.bytes
    }

    /// The most bytes that one connection of a listener can ever hold.
    pub fn largest_holding(&self, listener: ListenerId) -> u64 {
        let others = self.reserved_for_others(listener, |policy, _| policy.reserved_bytes);
        self.limits
            .large_content_bytes
            .min(self.limits.content_bytes.saturating_sub(others))
    }

    /// Enters a connection.
    pub fn admit(&mut self, listener: ListenerId, now: MonotonicInstant) -> Admission {
        let mut evicted = vec![];
        if let Some(full) = self.full_listeners(listener) {
            let is_candidate = |slot: &Slot| full.contains(&slot.listener);
            let Some(victim) = self.victim(now, is_candidate) else {
                return Admission::Refused;
            };
            if self.all.departing >= self.safety.max_departing(&self.limits) {
                return Admission::Deferred;
            }
            self.evict(victim);
            evicted.push(victim);
        }
        let slot = SlotId(self.next_id);
        self.next_id += 1;
        self.insert(
            slot,
            Slot {
                listener,
                phase: Phase::Idle,
                since: now,
                bytes: 0,
                is_evicted: false,
            },
        );
        Admission::Granted { slot, evicted }
    }

    /// Lets a connection hold more bytes.
    pub fn grow(&mut self, id: SlotId, bytes: u64, now: MonotonicInstant) -> Growth {
        let Some(slot) = self.slots.get(&id).copied() else {
            return Growth::Evicted;
        };
        if slot.is_evicted {
            return Growth::Evicted;
        }
        let grown = Slot {
            bytes: slot.bytes.saturating_add(bytes),
            ..slot
        };
        if grown.bytes > self.largest_holding(slot.listener) {
            return Growth::TooLarge;
        }
        let demand = Demand {
            listener: slot.listener,
            bytes,
            large_bytes: self
                .safety
                .large_growth(slot.large_bytes(), grown.large_bytes()),
        };
        if self.fits(&demand, &Totals::default()) {
            self.change(id, |slot| slot.bytes = grown.bytes);
            return Growth::Granted;
        }
        Growth::Deferred {
            evicted: self.make_room(id, &demand, now),
        }
    }

    /// Lets go of all bytes beyond these.
    pub fn shrink_to(&mut self, id: SlotId, bytes: u64) {
        self.change(id, |slot| slot.bytes = slot.bytes.min(bytes));
    }

    /// A connection goes on to another phase, now.
    pub fn enter(&mut self, id: SlotId, phase: Phase, now: MonotonicInstant) {
        self.change(id, |slot| {
            slot.phase = phase;
            slot.since = now;
        });
    }

    /// The phase of a connection.
    pub fn phase(&self, id: SlotId) -> Option<Phase> {
        self.slots.get(&id).map(|slot| slot.phase)
    }

    /// Whether a connection must give way.
    pub fn is_evicted(&self, id: SlotId) -> bool {
        self.slots.get(&id).is_none_or(|slot| slot.is_evicted)
    }

    /// A connection was closed, and all that was held for it let go.
    pub fn release(&mut self, id: SlotId) {
        if let Some(slot) = self.slots.remove(&id) {
            self.by_listener[slot.listener.0].remove(&slot);
            self.all.remove(&slot);
        }
    }

    /// The listeners of which a connection must give way before one more comes at `listener`; `None` if there is room.
    fn full_listeners(&self, listener: ListenerId) -> Option<Vec<ListenerId>> {
        if self.by_listener[listener.0].live >= self.listeners[listener.0].max_connections {
            return Some(vec![listener]);
        }
        let reserved = self.reserved_for_others(listener, |policy, totals| {
            policy.reserved_connections.saturating_sub(totals.live) as u64
        });
        let taken = (self.all.live as u64).saturating_add(reserved);
        if taken < self.limits.max_live() as u64 {
            return None;
        }
        let is_above_reserve = |other: &ListenerId| {
            let reserved = self.listeners[other.0].reserved_connections;
            *other == listener || self.by_listener[other.0].live > reserved
        };
        Some(
            (0..self.listeners.len())
                .map(ListenerId)
                .filter(is_above_reserve)
                .collect(),
        )
    }

    /// Whether a demand can be met once `departing` are closed.
    fn fits(&self, demand: &Demand, departing: &Totals) -> bool {
        let reserved = self.reserved_for_others(demand.listener, |policy, totals| {
            policy.reserved_bytes.saturating_sub(totals.bytes)
        });
        let bytes = (self.all.bytes - departing.departing_bytes)
            .saturating_add(demand.bytes)
            .saturating_add(reserved);
        let large = (self.all.large_bytes - departing.departing_large_bytes)
            .saturating_add(demand.large_bytes);
        bytes <= self.limits.content_bytes
            && (demand.large_bytes == 0 || large <= self.limits.large_content_bytes)
    }

    /// Evicts until the demand can be met once all that depart have gone, or nobody else can give way.
    fn make_room(&mut self, id: SlotId, demand: &Demand, now: MonotonicInstant) -> Vec<SlotId> {
        let mut evicted = vec![];
        while !self.fits(demand, &self.all)
            && self.all.departing < self.safety.max_departing(&self.limits)
        {
            let is_for_large_alone = self.fits(
                &Demand {
                    large_bytes: 0,
                    ..*demand
                },
                &self.all,
            );
            let own = self.slots.get(&id).map(|slot| slot.since);
            let is_candidate = |slot: &Slot| {
                let listener_reserve = self.listeners[slot.listener.0].reserved_bytes;
                let is_above_reserve = slot.listener == demand.listener
                    || self.by_listener[slot.listener.0].bytes > listener_reserve;
                let is_helpful = slot.bytes > 0 && (!is_for_large_alone || slot.large_bytes() > 0);
                is_above_reserve && is_helpful && Some(slot.since) <= own
            };
            let Some(victim) = self
                .victim(now, is_candidate)
                .filter(|victim| *victim != id)
            else {
                break;
            };
            self.evict(victim);
            evicted.push(victim);
        }
        evicted
    }

    /// Who gives way first among candidates.
    fn victim(
        &self,
        now: MonotonicInstant,
        is_candidate: impl Fn(&Slot) -> bool,
    ) -> Option<SlotId> {
        self.slots
            .iter()
            .filter(|(_, slot)| self.is_evictable(slot, now) && is_candidate(slot))
            .min_by_key(|(id, slot)| (slot.eviction_rank(), slot.since, **id))
            .map(|(id, _)| *id)
    }

    /// Whether a connection gives way to others now.
    fn is_evictable(&self, slot: &Slot, now: MonotonicInstant) -> bool {
        let is_old = now.since(slot.since) >= HOLD_GRACE;
        !slot.is_evicted && self.safety.may_evict(slot.phase, is_old)
    }

    fn evict(&mut self, id: SlotId) {
        self.change(id, |slot| slot.is_evicted = true);
    }

    fn insert(&mut self, id: SlotId, slot: Slot) {
        self.by_listener[slot.listener.0].add(&slot);
        self.all.add(&slot);
        self.slots.insert(id, slot);
    }

    /// Changes a slot, and the sums with it.
    fn change(&mut self, id: SlotId, change: impl FnOnce(&mut Slot)) {
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        let by_listener = &mut self.by_listener[slot.listener.0];
        by_listener.remove(slot);
        self.all.remove(slot);
        change(slot);
        by_listener.add(slot);
        self.all.add(slot);
    }

    fn reserved_for_others(
        &self,
        listener: ListenerId,
        of: impl Fn(&ListenerPolicy, &Totals) -> u64,
    ) -> u64 {
        let listeners = self.listeners.iter().zip(&self.by_listener).enumerate();
        let reserved = listeners
            .filter(|(at, _)| *at != listener.0)
            .map(|(_, (policy, totals))| of(policy, totals))
            .fold(0, u64::saturating_add);
        self.safety.reserved_for_others(reserved)
    }
}

#[cfg(test)]
mod tests;
