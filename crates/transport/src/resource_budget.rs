//! The budget of a process as its threads share it: who may open a connection, and how much may be held for it.
//!
//! The decisions are made by [`Accounting`]. Here is what they need of the process: one lock, the clock, a
//! way to interrupt whoever must give way, and a wait for what others release.

mod refusals;

pub use self::refusals::BudgetUsage;

use self::refusals::{Refusal, RefusalLog};
use ::resource_budget::{
    Accounting, Admission, BudgetLimits, Growth, ListenerId, ListenerPolicy, Phase, SlotId,
};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use types::{Clock, Milliseconds, MonotonicInstant};

/// How long a request waits for memory that others hold, or a connection for a place, before it's refused.
const GRANT_TIMEOUT: Milliseconds = Milliseconds::seconds(2);
/// How often a waiting request asks again, since others become old enough to give way.
const GRANT_RETRY_PERIOD: Duration = Duration::from_millis(50);

/// The process has no room for what was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoRoom {
    /// Others hold it and do not give way.
    #[error("no memory is free for it now")]
    Busy,
    /// It is more than this process ever has for one connection.
    #[error("it is more than this process has memory for")]
    TooLarge,
    /// The connection must give way to others.
    #[error("it held its place too long while others waited")]
    Evicted,
}

/// Something blocked that must notice that its connection gives way.
pub(crate) trait Interrupt: Send + Sync {
    /// Wakes whoever waits on the connection. `phase` is what the connection was doing.
    fn interrupt(&self, phase: Phase);
}

/// The budget of a process. A clone is another handle on the same budget.
#[derive(Clone)]
pub struct ResourceBudget(Arc<SharedBudget>);

struct SharedBudget {
    state: Mutex<BudgetState>,
    /// Signalled when memory or a connection is released.
    released: Condvar,
}

struct BudgetState {
    accounting: Accounting,
    holders: HashMap<SlotId, Holder>,
    refusals: RefusalLog,
    /// Threads that wait for what others release.
    waiting: usize,
    listeners: Vec<ListenerPolicy>,
}

/// How to reach the thread of a connection.
struct Holder {
    is_evicted: Arc<AtomicBool>,
    connection: Option<Weak<dyn Interrupt>>,
}

/// Who is to be interrupted once the lock is free.
type Interrupted = Vec<(Phase, Weak<dyn Interrupt>)>;

impl ResourceBudget {
    /// A budget for these listeners; a [`ListenerId`] is a place among them.
    pub fn new(limits: BudgetLimits, listeners: Vec<ListenerPolicy>) -> ResourceBudget {
        ResourceBudget(Arc::new(SharedBudget {
            state: Mutex::new(BudgetState {
                accounting: Accounting::new(limits, listeners.clone()),
                holders: HashMap::new(),
                refusals: RefusalLog::default(),
                waiting: 0,
                listeners,
            }),
            released: Condvar::new(),
        }))
    }

    /// Returns the part of the budget that belongs to a listener.
    pub fn listener(&self, listener: ListenerId) -> ListenerBudget {
        ListenerBudget {
            shared: self.0.clone(),
            listener,
        }
    }

    /// Returns what is held now and what was refused so far.
    pub fn usage(&self) -> BudgetUsage {
        let state = self.0.state();
        state.refusals.usage(&state.accounting)
    }
}

impl SharedBudget {
    /// The state, also after a thread has panicked with the lock: each change of it is complete.
    fn state(&self) -> MutexGuard<'_, BudgetState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn release(&self, slot: SlotId) {
        let mut state = self.state();
        state.accounting.release(slot);
        state.holders.remove(&slot);
        self.notify_waiting(state);
    }

    /// Waits until something is released, or until it's time to ask again.
    fn wait_for_release<'a>(
        &self,
        mut state: MutexGuard<'a, BudgetState>,
    ) -> MutexGuard<'a, BudgetState> {
        state.waiting += 1;
        let waited = self.released.wait_timeout(state, GRANT_RETRY_PERIOD);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        state.waiting -= 1;
        state
    }

    /// Wakes those that wait for what was released, if there are any.
    fn notify_waiting(&self, state: MutexGuard<'_, BudgetState>) {
        let is_awaited = state.waiting > 0;
        drop(state);
        if is_awaited {
            self.released.notify_all();
        }
    }
}

impl BudgetState {
    /// Counts and logs refusals at a listener.
    fn refuse(
        &mut self,
        refusal: Refusal,
        listener: ListenerId,
        count: usize,
        now: MonotonicInstant,
    ) {
        let name = self.listeners[listener.0].name;
        self.refusals.record(refusal, name, count, now);
    }

    /// Marks who gives way to a connection at this listener. Whoever is to be woken is returned, for when the lock is free.
    fn evict(
        &mut self,
        evicted: &[SlotId],
        listener: ListenerId,
        now: MonotonicInstant,
    ) -> Interrupted {
        if !evicted.is_empty() {
            self.refuse(Refusal::Evicted, listener, evicted.len(), now);
        }
        let mut interrupted = vec![];
        for slot in evicted {
            let phase = self.accounting.phase(*slot).unwrap_or(Phase::Closing);
            if let Some(holder) = self.holders.get(slot) {
                holder.is_evicted.store(true, Ordering::SeqCst);
                let connection = holder.connection.clone();
                interrupted.extend(connection.map(|connection| (phase, connection)));
            }
        }
        interrupted
    }
}

fn interrupt(interrupted: Interrupted) {
    for (phase, connection) in interrupted {
        if let Some(connection) = connection.upgrade() {
            connection.interrupt(phase);
        }
    }
}

/// The part of a budget that belongs to one listener.
#[derive(Clone)]
pub struct ListenerBudget {
    shared: Arc<SharedBudget>,
    listener: ListenerId,
}

impl ListenerBudget {
    /// A listener of its own budget, bounded by its number of connections alone.
    pub(crate) fn unlimited(max_connections: usize) -> ListenerBudget {
        let listener = ListenerPolicy {
            name: "http",
            max_connections,
            reserved_connections: 0,
            reserved_bytes: 0,
        };
        ResourceBudget::new(BudgetLimits::UNLIMITED, vec![listener]).listener(ListenerId(0))
    }

    /// Returns a place for one more connection; `None` if there is none and nobody can give way. Waits for
    /// those that give way already.
    pub(crate) fn admit(&self) -> Option<ConnectionSlot> {
        let deadline = Clock::now() + GRANT_TIMEOUT;
        let mut state = self.shared.state();
        loop {
            let now = Clock::now();
            match state.accounting.admit(self.listener, now) {
                Admission::Granted { slot, evicted } => {
                    return Some(self.open(state, slot, &evicted, now));
                }
                Admission::Deferred if now < deadline => {
                    state = self.shared.wait_for_release(state);
                }
                Admission::Deferred | Admission::Refused => {
                    state.refuse(Refusal::Connection, self.listener, 1, now);
                    return None;
                }
            }
        }
    }

    /// Hands out an admitted connection, and tells those that give way to it.
    fn open(
        &self,
        mut state: MutexGuard<'_, BudgetState>,
        slot: SlotId,
        evicted: &[SlotId],
        now: MonotonicInstant,
    ) -> ConnectionSlot {
        let is_evicted = Arc::<AtomicBool>::default();
        let holder = Holder {
            is_evicted: is_evicted.clone(),
            connection: None,
        };
        state.holders.insert(slot, holder);
        let interrupted = state.evict(evicted, self.listener, now);
        drop(state);
        interrupt(interrupted);
        ConnectionSlot {
            shared: self.shared.clone(),
            listener: self.listener,
            slot,
            is_evicted,
        }
    }
}

/// The place of one connection in a budget. Dropping it gives back all that was held.
pub(crate) struct ConnectionSlot {
    shared: Arc<SharedBudget>,
    listener: ListenerId,
    slot: SlotId,
    is_evicted: Arc<AtomicBool>,
}

impl ConnectionSlot {
    /// Lets the connection be interrupted when it must give way: at once, if it must already.
    pub(crate) fn attach(&self, connection: Weak<dyn Interrupt>) {
        let mut state = self.shared.state();
        if let Some(holder) = state.holders.get_mut(&self.slot) {
            holder.connection = Some(connection.clone());
        }
        if state.accounting.is_evicted(self.slot) {
            let phase = state.accounting.phase(self.slot).unwrap_or(Phase::Closing);
            drop(state);
            interrupt(vec![(phase, connection)]);
        }
    }

    /// Whether the connection must give way: its request is to be refused and its end awaited no longer.
    pub(crate) fn is_evicted(&self) -> bool {
        self.is_evicted.load(Ordering::SeqCst)
    }

    /// The connection goes on to another phase.
    pub(crate) fn enter(&self, phase: Phase) {
        let now = Clock::now();
        self.shared.state().accounting.enter(self.slot, phase, now);
    }

    /// The request of the connection is complete and is handed on; from now on it's given up for nobody.
    ///
    /// # Errors
    ///
    /// [`NoRoom::Evicted`] if the connection must give way already: then nothing is to be handed on.
    pub(crate) fn begin_serving(&self) -> Result<(), NoRoom> {
        let mut state = self.shared.state();
        if state.accounting.is_evicted(self.slot) {
            return Err(NoRoom::Evicted);
        }
        state
            .accounting
            .enter(self.slot, Phase::Serving, Clock::now());
        Ok(())
    }

    /// Holds more bytes for the connection. Waits for others to give way.
    ///
    /// # Errors
    ///
    /// See [`NoRoom`]; then nothing more is held than before.
    pub(crate) fn reserve(&self, bytes: u64) -> Result<(), NoRoom> {
        let deadline = Clock::now() + GRANT_TIMEOUT;
        let mut state = self.shared.state();
        loop {
            let now = Clock::now();
            let error = match state.accounting.grow(self.slot, bytes, now) {
                Growth::Granted => return Ok(()),
                Growth::Deferred { evicted } if now < deadline => {
                    let interrupted = state.evict(&evicted, self.listener, now);
                    drop(state);
                    interrupt(interrupted);
                    state = self.shared.wait_for_release(self.shared.state());
                    continue;
                }
                Growth::Deferred { .. } => NoRoom::Busy,
                Growth::TooLarge => NoRoom::TooLarge,
                Growth::Evicted => return Err(NoRoom::Evicted),
            };
            state.refuse(Refusal::Memory, self.listener, 1, now);
            return Err(error);
        }
    }

    /// Lets go of all bytes beyond these.
    pub(crate) fn shrink_to(&self, bytes: u64) {
        let mut state = self.shared.state();
        state.accounting.shrink_to(self.slot, bytes);
        self.shared.notify_waiting(state);
    }

    /// Returns the most bytes that the connection can ever hold.
    pub(crate) fn largest_holding(&self) -> u64 {
        let state = self.shared.state();
        state.accounting.largest_holding(self.listener)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.shared.release(self.slot);
    }
}

#[cfg(test)]
mod tests;
