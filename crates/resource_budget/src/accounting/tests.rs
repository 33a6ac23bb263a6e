//! The books, played at random against a model that keeps nothing but a list, and single cases.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};
use types::Milliseconds;
use yare::parameterized;

/// The seed of the plays in which mutants are looked for.
const SEED: [u8; 32] = [43; 32];
const INGRESS: ListenerId = ListenerId(0);
const PROBES: ListenerId = ListenerId(1);

fn limits() -> BudgetLimits {
    BudgetLimits {
        max_connections: 16,
        max_server_connections: usize::MAX,
        content_bytes: 4 << 20,
        large_content_bytes: 3 << 20,
    }
}

fn listeners() -> Vec<ListenerPolicy> {
    vec![
        ListenerPolicy {
            name: "ingress",
            max_connections: 16,
            reserved_connections: 0,
            reserved_bytes: 0,
        },
        ListenerPolicy {
            name: "probes",
            max_connections: 4,
            reserved_connections: 2,
            reserved_bytes: 64 << 10,
        },
    ]
}

fn at(ms: u64) -> MonotonicInstant {
    MonotonicInstant(ms)
}

fn admitted(accounting: &mut Accounting, listener: ListenerId, now: u64) -> SlotId {
    match accounting.admit(listener, at(now)) {
        Admission::Granted { slot, .. } => slot,
        refused => panic!("{refused:?} at {now}"),
    }
}

fn reading(accounting: &mut Accounting, bytes: u64, now: u64) -> SlotId {
    let slot = admitted(accounting, INGRESS, now);
    accounting.enter(slot, Phase::Reading, at(now));
    assert_eq!(accounting.grow(slot, bytes, at(now)), Growth::Granted);
    slot
}

/// One step of a random play. Slots are chosen among those that are open.
#[derive(Debug, Clone)]
enum Step {
    Admit(usize),
    Grow(usize, u64),
    ShrinkTo(usize, u64),
    Enter(usize, Phase),
    Release(usize),
    Pass(u64),
}

fn some_step() -> impl Strategy<Value = Step> {
    let phase = proptest::sample::select(vec![
        Phase::Idle,
        Phase::Reading,
        Phase::Serving,
        Phase::Stalled,
        Phase::Closing,
    ]);
    prop_oneof![
        4 => (0..2usize).prop_map(Step::Admit),
        4 => (any::<usize>(), 1..(2u64 << 20)).prop_map(|(slot, bytes)| Step::Grow(slot, bytes)),
        4 => (any::<usize>(), 1..(64u64 << 10)).prop_map(|(slot, bytes)| Step::Grow(slot, bytes)),
        1 => (any::<usize>(), 0..(1u64 << 20)).prop_map(|(slot, bytes)| Step::ShrinkTo(slot, bytes)),
        4 => (any::<usize>(), phase).prop_map(|(slot, phase)| Step::Enter(slot, phase)),
        1 => any::<usize>().prop_map(Step::Release),
        2 => (0..1500u64).prop_map(Step::Pass),
    ]
}

/// What is open, as a list: `(slot, listener, phase, since, bytes, evicted)`.
#[derive(Debug, Default)]
struct Model {
    open: Vec<Modelled>,
    now: u64,
}

#[derive(Debug, Clone, Copy)]
struct Modelled {
    id: SlotId,
    listener: ListenerId,
    phase: Phase,
    since: u64,
    bytes: u64,
    is_evicted: bool,
}

impl Model {
    fn pick(&mut self, at: usize) -> Option<&mut Modelled> {
        let count = self.open.len();
        (count > 0).then(|| &mut self.open[at % count])
    }

    fn evict(&mut self, evicted: &[SlotId]) {
        for id in evicted {
            let now = self.now;
            let slot = self
                .open
                .iter_mut()
                .find(|slot| slot.id == *id)
                .expect("open");
            assert!(!slot.is_evicted, "{slot:?} is evicted twice");
            let is_old = now - slot.since >= HOLD_GRACE.0;
            match slot.phase {
                Phase::Serving => panic!("{slot:?} is being served"),
                Phase::Reading | Phase::Stalled => assert!(is_old, "{slot:?} is young at {now}"),
                Phase::Idle | Phase::Closing => {}
            }
            slot.is_evicted = true;
        }
    }

    fn live(&self, listener: ListenerId) -> usize {
        let is_live = |slot: &&Modelled| slot.listener == listener && !slot.is_evicted;
        self.open.iter().filter(is_live).count()
    }

    fn bytes(&self, listener: ListenerId) -> u64 {
        let at_listener = self.open.iter().filter(|slot| slot.listener == listener);
        at_listener.map(|slot| slot.bytes).sum()
    }

    fn check(&self, accounting: &Accounting) {
        let limits = limits();
        assert!(self.open.len() <= limits.max_connections, "connections");
        let bytes: u64 = self.open.iter().map(|slot| slot.bytes).sum();
        assert!(bytes <= limits.content_bytes, "{bytes} bytes");
        let is_large = |bytes: &u64| *bytes > SMALL_REQUEST_BYTES;
        let large: u64 = self
            .open
            .iter()
            .map(|slot| slot.bytes)
            .filter(is_large)
            .sum();
        assert!(
            large <= limits.large_content_bytes,
            "{large} bytes of large ones"
        );
        for (at, policy) in listeners().iter().enumerate() {
            assert!(
                self.live(ListenerId(at)) <= policy.max_connections,
                "{}",
                policy.name
            );
        }
        // What is reserved for the probes is there for them.
        let reserved = 2usize.saturating_sub(self.live(PROBES));
        assert!(self.live(INGRESS) + self.live(PROBES) + reserved <= limits.max_live());
        let reserved_bytes = (64u64 << 10).saturating_sub(self.bytes(PROBES));
        assert!(
            bytes + reserved_bytes <= limits.content_bytes,
            "reserved bytes"
        );
        assert_eq!(accounting.connections(), self.open.len());
        assert_eq!(accounting.bytes(), bytes);
    }

    fn play(&mut self, accounting: &mut Accounting, step: &Step) {
        let now = at(self.now);
        match *step {
            Step::Admit(listener) => self.admit(accounting, ListenerId(listener)),
            Step::Grow(slot, bytes) => {
                let Some(slot) = self.pick(slot).copied() else {
                    return;
                };
                let growth = accounting.grow(slot.id, bytes, now);
                if slot.is_evicted {
                    assert_eq!(growth, Growth::Evicted);
                }
                match growth {
                    Growth::Granted => {
                        let at = self.open.iter().position(|open| open.id == slot.id);
                        self.open[at.expect("open")].bytes += bytes;
                    }
                    Growth::Deferred { evicted } => {
                        assert!(!evicted.contains(&slot.id), "it evicts itself");
                        self.evict(&evicted);
                    }
                    Growth::TooLarge => {
                        assert!(slot.bytes + bytes > accounting.largest_holding(slot.listener));
                    }
                    Growth::Evicted => assert!(slot.is_evicted),
                }
            }
            Step::ShrinkTo(slot, bytes) => {
                if let Some(slot) = self.pick(slot) {
                    slot.bytes = slot.bytes.min(bytes);
                    accounting.shrink_to(slot.id, bytes);
                }
            }
            Step::Enter(slot, phase) => {
                let now = self.now;
                if let Some(slot) = self.pick(slot) {
                    (slot.phase, slot.since) = (phase, now);
                    accounting.enter(slot.id, phase, at(now));
                }
            }
            Step::Release(slot) => {
                if let Some(id) = self.pick(slot).map(|slot| slot.id) {
                    self.open.retain(|slot| slot.id != id);
                    accounting.release(id);
                }
            }
            Step::Pass(ms) => self.now += ms,
        }
    }

    fn admit(&mut self, accounting: &mut Accounting, listener: ListenerId) {
        let departing = self.open.iter().filter(|slot| slot.is_evicted).count();
        match accounting.admit(listener, at(self.now)) {
            Admission::Granted { slot, evicted } => {
                self.evict(&evicted);
                self.open.push(Modelled {
                    id: slot,
                    listener,
                    phase: Phase::Idle,
                    since: self.now,
                    bytes: 0,
                    is_evicted: false,
                });
            }
            Admission::Deferred => {
                assert!(
                    departing > 0 && departing >= limits().max_departing(),
                    "deferred though one more may depart"
                );
            }
            Admission::Refused => {
                let has_idle = |slot: &Modelled| {
                    slot.listener == listener
                        && !slot.is_evicted
                        && matches!(slot.phase, Phase::Idle | Phase::Closing)
                };
                assert!(
                    !self.open.iter().any(has_idle),
                    "refused beside an idle one"
                );
                let reserved = listeners()[listener.0].reserved_connections;
                assert!(
                    self.live(listener) >= reserved,
                    "refused within its reserve"
                );
            }
        }
    }
}

/// A deliberate fault, by which the play shows that it detects it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mutant {
    /// Who is being served gives way too.
    EvictServed,
    /// A request gives way however young it is.
    EvictYoung,
    /// A connection that says nothing stays.
    RetainIdle,
    /// What is reserved for other listeners is used.
    IgnoreReserve,
    /// Any number of connections may be evicted and still open.
    ForgetDeparting,
    /// Large requests may use what is reserved for small ones.
    ForgetLarge,
}

impl AccountingSafety for Mutant {
    fn may_evict(&self, phase: Phase, is_old: bool) -> bool {
        match self {
            Mutant::EvictServed if phase == Phase::Serving => true,
            Mutant::EvictYoung => phase != Phase::Serving,
            Mutant::RetainIdle if phase == Phase::Idle => false,
            _ => SafeAccounting.may_evict(phase, is_old),
        }
    }

    fn reserved_for_others(&self, reserved: u64) -> u64 {
        match self {
            Mutant::IgnoreReserve => 0,
            _ => reserved,
        }
    }

    fn max_departing(&self, limits: &BudgetLimits) -> usize {
        match self {
            Mutant::ForgetDeparting => usize::MAX,
            _ => limits.max_departing(),
        }
    }

    fn large_growth(&self, before: u64, after: u64) -> u64 {
        match self {
            Mutant::ForgetLarge => 0,
            _ => SafeAccounting.large_growth(before, after),
        }
    }
}

/// Plays steps with these decisions; panics where the accounting breaks what it promises.
fn play(steps: &[Step], safety: Box<dyn AccountingSafety>) {
    let mut accounting = Accounting::with_safety(limits(), listeners(), safety);
    let mut model = Model::default();
    for step in steps {
        model.play(&mut accounting, step);
        model.check(&accounting);
    }
}

#[parameterized(
    evict_served = { Mutant::EvictServed },
    evict_young = { Mutant::EvictYoung },
    retain_idle = { Mutant::RetainIdle },
    ignore_reserve = { Mutant::IgnoreReserve },
    forget_departing = { Mutant::ForgetDeparting },
    forget_large = { Mutant::ForgetLarge },
)]
fn each_mutant_is_detected(mutant: Mutant) {
    let config = ProptestConfig {
        cases: 2000,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED));
    let plays = proptest::collection::vec(some_step(), 1..120);
    let outcome = runner.run(&plays, |steps| {
        play(&steps, Box::new(mutant));
        Ok(())
    });
    assert!(outcome.is_err(), "{mutant:?} was not detected");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, ..ProptestConfig::default() })]

    #[test]
    fn whatever_comes_the_bounds_hold_and_the_sums_agree_with_a_list(
        steps in proptest::collection::vec(some_step(), 1..120)
    ) {
        play(&steps, Box::new(SafeAccounting));
    }

    /// Whoever is not being served is gone in the end, so that an ordinary request always finds room again.
    #[test]
    fn behind_any_flood_that_is_not_being_served_a_small_request_finds_room(
        steps in proptest::collection::vec(some_step(), 1..120)
    ) {
        let mut accounting = Accounting::new(limits(), listeners());
        let mut model = Model::default();
        let served = |step: &Step| matches!(step, Step::Enter(_, Phase::Serving));
        for step in steps.iter().filter(|step| !served(step)) {
            model.play(&mut accounting, step);
        }
        let mut now = model.now + HOLD_GRACE.0;
        let release = |accounting: &mut Accounting| {
            for slot in model.open.iter().map(|slot| slot.id).collect::<Vec<_>>() {
                if accounting.is_evicted(slot) {
                    accounting.release(slot);
                }
            }
        };
        release(&mut accounting);
        let slot = admitted(&mut accounting, INGRESS, now);
        accounting.enter(slot, Phase::Reading, at(now));
        let mut rounds = 0;
        while accounting.grow(slot, 32 << 10, at(now)) != Growth::Granted {
            release(&mut accounting);
            now += 1;
            rounds += 1;
            prop_assert!(rounds < 200, "no room for a small request");
        }
    }
}

#[test]
fn one_request_of_the_largest_size_finds_room_in_calm() {
    let mut accounting = Accounting::new(limits(), listeners());
    let largest = accounting.largest_holding(INGRESS);
    assert_eq!(largest, 3 << 20);
    let slot = reading(&mut accounting, largest, 0);
    assert_eq!(accounting.grow(slot, 1, at(0)), Growth::TooLarge);
}

#[test]
fn a_flood_of_large_requests_takes_no_room_from_small_ones() {
    let mut accounting = Accounting::new(limits(), listeners());
    for _ in 0..3 {
        let slot = reading(&mut accounting, 1 << 20, 0);
        accounting.enter(slot, Phase::Serving, at(0));
    }
    let late = admitted(&mut accounting, INGRESS, 1);
    let none = Growth::Deferred { evicted: vec![] };
    assert_eq!(accounting.grow(late, 200 << 10, at(5000)), none);
    assert_eq!(accounting.grow(late, 100 << 10, at(5000)), Growth::Granted);
}

#[test]
fn who_holds_a_place_too_long_gives_way_the_oldest_first() {
    let mut accounting = Accounting::new(limits(), listeners());
    let holders: Vec<SlotId> = (0..3)
        .map(|at| reading(&mut accounting, 1 << 20, at))
        .collect();
    let late = admitted(&mut accounting, INGRESS, 900);
    accounting.enter(late, Phase::Reading, at(900));
    let nobody = Growth::Deferred { evicted: vec![] };
    assert_eq!(accounting.grow(late, 1 << 20, at(999)), nobody);
    let oldest = Growth::Deferred {
        evicted: vec![holders[0]],
    };
    assert_eq!(accounting.grow(late, 1 << 20, at(1500)), oldest);
    // The place is free once the other one has let go of it.
    assert_eq!(accounting.grow(late, 1 << 20, at(1500)), nobody);
    accounting.release(holders[0]);
    assert_eq!(accounting.grow(late, 1 << 20, at(1500)), Growth::Granted);
    assert!(!accounting.is_evicted(holders[1]));
}

#[parameterized(
    idle = { Phase::Idle, 0, true },
    closing = { Phase::Closing, 0, true },
    young_request = { Phase::Reading, 999, false },
    old_request = { Phase::Reading, 1000, true },
    young_stall = { Phase::Stalled, 999, false },
    old_stall = { Phase::Stalled, 1000, true },
    served = { Phase::Serving, 1_000_000, false },
)]
fn a_full_house_takes_another_connection_if_somebody_can_give_way(
    phase: Phase,
    age: u64,
    is_admitted: bool,
) {
    let mut accounting = Accounting::new(limits(), listeners());
    for _ in 0..limits().max_live() - 2 {
        let slot = admitted(&mut accounting, INGRESS, 0);
        accounting.enter(slot, phase, at(0));
    }
    let admission = accounting.admit(INGRESS, at(age));
    assert_eq!(admission != Admission::Refused, is_admitted);
    // The other listener still has what is reserved for it.
    admitted(&mut accounting, PROBES, age);
    admitted(&mut accounting, PROBES, age);
}

// A newcomer was refused in the moment in which others were told to give way and had not been closed yet.
#[test]
fn a_newcomer_is_deferred_while_too_many_depart_and_refused_where_nobody_can() {
    let mut accounting = Accounting::new(limits(), listeners());
    let idle: Vec<SlotId> = (0..limits().max_live() - 2)
        .map(|_| admitted(&mut accounting, INGRESS, 0))
        .collect();
    for _ in 0..limits().max_departing() {
        admitted(&mut accounting, INGRESS, 1);
    }
    assert_eq!(accounting.admit(INGRESS, at(1)), Admission::Deferred);
    accounting.release(idle[0]);
    admitted(&mut accounting, INGRESS, 1);
    assert_eq!(accounting.admit(INGRESS, at(1)), Admission::Deferred);
    let open = accounting.slots.keys().copied().collect::<Vec<SlotId>>();
    for slot in open {
        accounting.enter(slot, Phase::Serving, at(1));
    }
    assert_eq!(accounting.admit(INGRESS, at(1)), Admission::Refused);
}

#[test]
fn at_its_own_bound_a_listener_evicts_its_own() {
    let mut accounting = Accounting::new(limits(), listeners());
    let other = admitted(&mut accounting, INGRESS, 0);
    let probes: Vec<SlotId> = (1..5)
        .map(|now| admitted(&mut accounting, PROBES, now))
        .collect();
    let Admission::Granted { evicted, .. } = accounting.admit(PROBES, at(5)) else {
        panic!("refused");
    };
    assert_eq!(evicted, vec![probes[0]]);
    assert!(!accounting.is_evicted(other));
}

#[parameterized(
    smallest = { 78_000_000, 400, 168 },
    few_descriptors = { 220_000_000, 400, 168 },
    small_sites = { 220_000_000, 3_900, 948 },
    nothing = { 0, 0, 0 },
)]
fn limits_follow_from_memory_and_descriptors(memory: u64, descriptors: usize, connections: usize) {
    let limits = BudgetLimits::for_process(memory, descriptors);
    assert_eq!(limits.max_connections, connections);
    assert!(limits.max_connections + limits.max_server_connections <= descriptors);
    assert!(limits.content_bytes <= memory);
}

#[test]
fn a_request_whose_holder_has_departed_is_no_longer_counted() {
    let mut accounting = Accounting::new(limits(), listeners());
    let slot = reading(&mut accounting, 1 << 20, 0);
    accounting.shrink_to(slot, 5);
    assert_eq!(accounting.bytes(), 5);
    accounting.release(slot);
    accounting.release(slot);
    assert_eq!((accounting.bytes(), accounting.connections()), (0, 0));
    assert_eq!(accounting.grow(slot, 1, at(0)), Growth::Evicted);
    assert_eq!(HOLD_GRACE, Milliseconds(1000));
}
