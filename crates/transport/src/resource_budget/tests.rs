//! The shared budget: waits, interruptions and counts.

use super::refusals::{Refusal, RefusalLog};
use super::*;
use std::sync::mpsc;
use types::MonotonicInstant;

fn budget() -> ResourceBudget {
    let limits = BudgetLimits {
        max_connections: 4,
        max_server_connections: usize::MAX,
        content_bytes: 1 << 20,
        large_content_bytes: 1 << 20,
    };
    let listener = ListenerPolicy {
        name: "listener",
        max_connections: 4,
        reserved_connections: 0,
        reserved_bytes: 0,
    };
    ResourceBudget::new(limits, vec![listener])
}

/// Tells the test when it's interrupted.
struct Interrupted(mpsc::Sender<Phase>);

impl Interrupt for Interrupted {
    fn interrupt(&self, phase: Phase) {
        let _ = self.0.send(phase);
    }
}

#[test]
fn who_waits_for_memory_gets_it_once_another_lets_go() {
    let listener = budget().listener(ListenerId(0));
    let (holder, waiter) = (
        listener.admit().expect("a place"),
        listener.admit().expect("a place"),
    );
    holder.enter(Phase::Serving);
    holder.reserve(1 << 20).expect("room");
    let waiting = std::thread::spawn(move || waiter.reserve(1 << 19));
    holder.shrink_to(0);
    assert_eq!(waiting.join().expect("no panic"), Ok(()));
}

#[test]
fn an_old_request_is_interrupted_for_another_and_holds_nothing_more() {
    let budget = budget();
    let listener = budget.listener(ListenerId(0));
    let (holder, waiter) = (
        listener.admit().expect("a place"),
        listener.admit().expect("a place"),
    );
    let (sender, receiver) = mpsc::channel();
    let interrupted: Arc<dyn Interrupt> = Arc::new(Interrupted(sender));
    holder.attach(Arc::downgrade(&interrupted));
    holder.enter(Phase::Reading);
    holder.reserve(1 << 20).expect("room");
    waiter.enter(Phase::Reading);
    let waiting = std::thread::spawn(move || waiter.reserve(1 << 19));
    assert_eq!(receiver.recv(), Ok(Phase::Reading));
    assert!(holder.is_evicted());
    assert_eq!(holder.reserve(1), Err(NoRoom::Evicted));
    drop(holder);
    assert_eq!(waiting.join().expect("no panic"), Ok(()));
    let usage = budget.usage();
    assert_eq!((usage.evicted_connections, usage.content_bytes), (1, 0));
}

#[test]
fn what_can_never_fit_is_refused_at_once_and_counted() {
    let budget = budget();
    let slot = budget.listener(ListenerId(0)).admit().expect("a place");
    assert_eq!(slot.reserve(2 << 20), Err(NoRoom::TooLarge));
    assert_eq!(budget.usage().refused_memory, 1);
}

#[test]
fn what_is_served_retains_its_memory_and_the_other_one_is_refused() {
    let budget = budget();
    let listener = budget.listener(ListenerId(0));
    let (holder, waiter) = (
        listener.admit().expect("a place"),
        listener.admit().expect("a place"),
    );
    holder.enter(Phase::Serving);
    holder.reserve(1 << 20).expect("room");
    assert_eq!(waiter.reserve(1), Err(NoRoom::Busy));
    assert!(!holder.is_evicted());
    let usage = budget.usage();
    assert_eq!((usage.refused_memory, usage.content_bytes), (1, 1 << 20));
}

#[test]
fn the_place_of_a_dropped_connection_is_free() {
    let budget = budget();
    let listener = budget.listener(ListenerId(0));
    for _ in 0..100 {
        let slot = listener.admit().expect("a place");
        slot.reserve(1 << 20).expect("room");
    }
    let usage = budget.usage();
    assert_eq!((usage.connections, usage.content_bytes), (0, 0));
    assert_eq!(usage.refused_connections, 0);
}

#[test]
fn a_full_listener_refuses_and_counts() {
    let budget = budget();
    let listener = budget.listener(ListenerId(0));
    let served: Vec<ConnectionSlot> = (0..3).filter_map(|_| listener.admit()).collect();
    served.iter().for_each(|slot| slot.enter(Phase::Serving));
    assert!(listener.admit().is_none());
    assert_eq!(budget.usage().refused_connections, 1);
}

// The probe at a full readiness listener was closed unread: those that gave way had not been closed yet.
#[test]
fn a_newcomer_waits_for_the_place_of_one_that_gives_way() {
    let budget = budget();
    let listener = budget.listener(ListenerId(0));
    let mut idle: Vec<ConnectionSlot> = (0..3).filter_map(|_| listener.admit()).collect();
    let first = listener.admit().expect("the oldest gives way");
    let (started, start) = mpsc::channel();
    let waiting = std::thread::spawn(move || {
        started.send(()).expect("the test waits");
        listener.admit()
    });
    start.recv().expect("a thread that asks for a place");
    drop(idle.remove(0));
    let second = waiting.join().expect("no panic");
    assert!(second.is_some(), "refused in the moment of an eviction");
    assert!(!first.is_evicted());
    assert_eq!(budget.usage().refused_connections, 0);
}

// Between its place and its thread a connection could be told to give way and not hear of it: it kept the
// place of a newcomer until it idled out.
#[test]
fn who_gave_way_before_it_could_be_reached_is_interrupted_once_it_can() {
    let listener = budget().listener(ListenerId(0));
    let early = listener.admit().expect("a place");
    let _others: Vec<ConnectionSlot> = (0..3).filter_map(|_| listener.admit()).collect();
    assert!(early.is_evicted());
    let (sender, receiver) = mpsc::channel();
    let interrupted: Arc<dyn Interrupt> = Arc::new(Interrupted(sender));
    early.attach(Arc::downgrade(&interrupted));
    assert_eq!(receiver.try_recv(), Ok(Phase::Idle));
}

#[test]
fn refusals_are_all_counted_however_few_are_logged() {
    let mut log = RefusalLog::default();
    for now in 0..3000 {
        log.record(Refusal::Memory, "listener", 2, MonotonicInstant(now));
    }
    let accounting = Accounting::new(BudgetLimits::UNLIMITED, vec![]);
    assert_eq!(log.usage(&accounting).refused_memory, 6000);
}

#[test]
fn what_gives_way_is_not_served_and_what_is_served_does_not_give_way() {
    let listener = budget().listener(ListenerId(0));
    let slots: Vec<ConnectionSlot> = (0..3).filter_map(|_| listener.admit()).collect();
    let later = listener.admit().expect("the oldest gives way");
    assert!(slots[0].is_evicted());
    assert_eq!(slots[0].begin_serving(), Err(NoRoom::Evicted));
    for slot in &slots[1..] {
        assert_eq!(slot.begin_serving(), Ok(()));
    }
    assert_eq!(later.begin_serving(), Ok(()));
    drop(slots);
    assert!(listener.admit().is_some());
    assert!(!later.is_evicted());
}
