//! Checks over many seeds: whatever happens, no window exceeds the bound, and what is within the limit is admitted.

mod mutant;
mod world;

use crate::amount::Amount;
use crate::authority::QuotaAuthority;
use crate::limit::{QuotaBounds, QuotaLimit};
use crate::messages::{CreditRequest, TenantCreditRequest};
use mutant::Mutant;
use types::{ConfigEpoch, Milliseconds, MonotonicInstant};
use world::{BOUNDS, LEAD, ORDINARY_LOAD, START, Scenario, Shape, World, address, tenant};
use yare::parameterized;

fn hot(seed: u64) -> Scenario {
    let load = 700;
    let shape = [Shape::Steady, Shape::Waves, Shape::Pauses][seed as usize % 3];
    Scenario {
        seed,
        seconds: 90,
        rate: 1000,
        burst: 1000,
        load,
        shape,
        has_faults: true,
        mutant: None,
    }
}

#[test]
fn no_window_holds_more_than_the_bound_whatever_fails() {
    for seed in 0..150 {
        let world = World::new(hot(seed)).run();
        let (most, bound) = (world.fullest_window(), world.bound());
        assert!(most <= bound, "seed {seed}: {most} in a window of {bound}");
    }
}

#[test]
fn beyond_the_limit_each_window_is_used_in_full() {
    for seed in 0..10 {
        let world = World::new(Scenario {
            has_faults: false,
            shape: Shape::Steady,
            ..hot(seed)
        })
        .run();
        let limit = world.scenario.rate * BOUNDS.window.0 / 1000 + world.scenario.burst;
        let (mut sum, mut windows) = (0, 0);
        let begin = START + LEAD + BOUNDS.window.0;
        for from in (begin..START + (world.scenario.seconds - 9) * 1000).step_by(1000) {
            let within = from..=from + BOUNDS.window.0;
            let used: u64 = world
                .admitted
                .iter()
                .filter(|(at, _)| within.contains(at))
                .map(|(_, amount)| amount)
                .sum();
            assert!(
                used * 10 >= limit * 9,
                "seed {seed}: {used} of {limit} in the window from {from}"
            );
            (sum, windows) = (sum + used, windows + 1);
        }
        assert!(
            sum >= limit * windows,
            "seed {seed}: {} of {limit} in a window on average",
            sum / windows
        );
    }
}

#[test]
fn within_the_limit_nothing_is_rejected() {
    for seed in 0..10 {
        let scenario = Scenario {
            load: ORDINARY_LOAD,
            has_faults: false,
            shape: Shape::Steady,
            ..hot(seed)
        };
        let world = World::new(scenario).run();
        assert!(world.sent > 100, "{}", world.sent);
        assert_eq!(world.rejected, 0, "seed {seed}: of {}", world.sent);
    }
}

/// Small requests of the same tenant don't keep large ones out.
#[test]
fn large_requests_get_as_much_as_small_ones() {
    let (mut large, mut small) = (0, 0);
    for seed in 0..10 {
        let world = World::new(Scenario {
            has_faults: false,
            shape: Shape::Steady,
            load: 300,
            ..hot(seed)
        })
        .run();
        large += world
            .admitted
            .iter()
            .filter(|(_, amount)| *amount > 150)
            .count();
        small += world
            .admitted
            .iter()
            .filter(|(_, amount)| *amount <= 50)
            .count();
    }
    assert!(
        large * 3 >= small * 2,
        "{large} large and {small} small ones"
    );
}

#[parameterized(
    forget_outstanding = { &Mutant::ForgetOutstanding },
    spend_expired = { &Mutant::SpendExpired },
    accept_twice = { &Mutant::AcceptTwice },
    ignore_outstanding = { &Mutant::IgnoreOutstanding },
)]
fn each_mutant_breaks_the_bound(mutant: &'static Mutant) {
    let breaks = |seed: u64| {
        let has_faults = seed % 4 < 2;
        let world = World::new(Scenario {
            mutant: Some(mutant),
            has_faults,
            ..hot(seed)
        })
        .run();
        world.fullest_window() > world.bound()
    };
    assert!((0..150).any(breaks), "{mutant:?} was not seen");
}

#[test]
fn a_quota_without_burst_or_slack_admits_something() {
    let bounds = QuotaBounds {
        window: Milliseconds(1000),
        excess_percent: 0,
        tolerance: 1,
    };
    let mut authority = QuotaAuthority::new(bounds, MonotonicInstant(START));
    let limit = QuotaLimit {
        rate: Amount::units(2),
        burst: Amount::NONE,
    };
    let mut granted = 0;
    for number in 1..=200 {
        let entry = TenantCreditRequest {
            tenant: tenant(),
            limit,
            available: Amount::NONE,
            required: Amount::units(1),
            requested: Amount::units(1),
        };
        let request = CreditRequest {
            incarnation: 1,
            number,
            plan_epoch: ConfigEpoch(1),
            since_start: None,
            is_complete: true,
            entries: vec![entry],
        };
        let grant = authority.on_request(
            MonotonicInstant(START + number * 100),
            address(0),
            &request,
            &[],
        );
        granted += grant.expect("an answer").entries[0].granted.thousandths / 1000;
    }
    assert!(
        (25..=42).contains(&granted),
        "{granted} in 20 s at 2 a second"
    );
}

#[test]
fn a_new_authority_grants_nothing_until_all_members_report_their_credit() {
    let mut authority = QuotaAuthority::new(BOUNDS, MonotonicInstant(START));
    let members = [address(0), address(1)];
    let limit = QuotaLimit {
        rate: Amount::units(1000),
        burst: Amount::units(1000),
    };
    let entry = |required: u64| TenantCreditRequest {
        tenant: tenant(),
        limit,
        available: Amount::units(200),
        required: Amount::units(required),
        requested: Amount::units(required),
    };
    let mut request = |node: usize, number: u64, at: u64, is_complete: bool| {
        let request = CreditRequest {
            incarnation: 7,
            number,
            plan_epoch: ConfigEpoch(1),
            since_start: None,
            is_complete,
            entries: vec![entry(10)],
        };
        authority
            .on_request(
                MonotonicInstant(START + at),
                address(node),
                &request,
                &members,
            )
            .expect("an answer")
    };
    let first = request(0, 1, 100, false);
    assert!(
        first.wants_complete
            && first.entries[0].granted.is_none()
            && first.entries[0].retry_after.0 > 0
    );
    let reported = request(0, 2, 200, true);
    assert!(!reported.wants_complete && reported.entries[0].granted.is_none());
    request(1, 1, 300, true);
    assert_eq!(
        request(0, 3, 1300, true).entries[0].granted,
        Amount::units(10)
    );
}
