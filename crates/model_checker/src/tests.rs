//! A short run of the search and of the walks, and each deliberate fault found. The long ones:
//! docs/control-safety.md.

use super::deviation::{CutDirection, Deviation, Outage};
use super::*;
use yare::parameterized;

fn rules(voters: usize, copies: usize, fault: Option<DeliberateFault>) -> ClusterRules {
    ClusterRules {
        voters,
        copies,
        checks_refusals: true,
        disk_losses: DiskLosses::WithinBudget,
        fault,
    }
}

fn limits(faults: usize, proposals: usize) -> Limits {
    Limits {
        faults,
        proposals,
        threads: 2,
        most_states: u64::MAX,
    }
}

#[parameterized(
    two_commands_at_any_moments = { 3, 2, 0, 2, 1000 },
    one_fault_of_three = { 3, 2, 1, 0, 3000 },
    one_fault_of_five = { 5, 3, 1, 0, 5000 },
)]
fn no_state_within_reach_must_never_be(
    voters: usize,
    copies: usize,
    faults: usize,
    proposals: usize,
    least: u64,
) {
    let found = explore(&rules(voters, copies, None), limits(faults, proposals));
    assert_eq!(found.counterexample, None);
    assert!(found.is_complete && found.states >= least, "{found:?}");
}

#[parameterized(
    of_three = { 3, 2 },
    of_five = { 5, 3 },
)]
fn walks_show_nothing_that_must_never_be(voters: usize, copies: usize) {
    for seed in 1..=60 {
        assert_eq!(
            walk(
                &rules(voters, copies, None),
                Walk {
                    seed,
                    deviations: 8
                }
            ),
            None,
            "seed {seed}"
        );
    }
}

fn overlapping(voters: usize, copies: usize) -> ClusterRules {
    ClusterRules {
        disk_losses: DiskLosses::Overlapping,
        ..rules(voters, copies, None)
    }
}

/// The core never serves again: the last caught-up member of the chain loses its disk while others,
/// whose disks hold everything, come back. Found by walks (seeds 1133, 3961, 92 and 536).
#[parameterized(
    one_of_three = { 3, 2, &[
        (30, Deviation::Crash(0, Outage::Long)),
        (74, Deviation::Crash(1, Outage::Long)),
        (82, Deviation::Wipe(2, Outage::Short)),
    ] },
    one_of_three_is_replaced = { 3, 2, &[
        (90, Deviation::Crash(0, Outage::Long)),
        (119, Deviation::Crash(1, Outage::Long)),
        (144, Deviation::Replace(2, Outage::Long)),
    ] },
    two_of_five = { 5, 3, &[
        (155, Deviation::Crash(0, Outage::Long)),
        (171, Deviation::Crash(1, Outage::Long)),
        (204, Deviation::Crash(4, Outage::Long)),
        (212, Deviation::Wipe(3, Outage::Long)),
        (220, Deviation::Wipe(2, Outage::Long)),
    ] },
    two_of_five_of_which_one_is_replaced = { 5, 3, &[
        (73, Deviation::Crash(4, Outage::Long)),
        (103, Deviation::Crash(0, Outage::Long)),
        (108, Deviation::Crash(1, Outage::Long)),
        (115, Deviation::Crash(2, Outage::Short)),
        (124, Deviation::Replace(2, Outage::Long)),
        (126, Deviation::Wipe(3, Outage::Long)),
    ] },
)]
fn a_core_serves_again_whose_last_caught_up_disk_is_lost(
    voters: usize,
    copies: usize,
    outages: &[(usize, Deviation)],
) {
    let trace: Vec<_> = outages
        .iter()
        .map(|(at, what)| (*at, vec![*what]))
        .collect();
    assert_eq!(replay(&overlapping(voters, copies), &trace), None);
}

#[test]
fn a_core_without_a_reserve_is_lost_with_its_last_caught_up_disk() {
    let crash = |place| vec![Deviation::Crash(place, Outage::Long)];
    let wipe = vec![Deviation::Wipe(2, Outage::Short)];
    let trace = [(30, crash(0)), (74, crash(1)), (82, wipe)];
    let without_reserve = ClusterRules {
        fault: Some(DeliberateFault::ForgetReserve),
        ..overlapping(3, 2)
    };
    assert!(replay(&without_reserve, &trace).is_some());
}

#[parameterized(
    of_three = { 3, 2 },
    of_five = { 5, 3 },
)]
fn walks_with_overlapping_losses_show_nothing_that_must_never_be(voters: usize, copies: usize) {
    for seed in 1..=60 {
        let walk_rules = Walk {
            seed,
            deviations: 10,
        };
        assert_eq!(
            walk(&overlapping(voters, copies), walk_rules),
            None,
            "seed {seed}"
        );
    }
}

#[parameterized(
    skip_sync = { DeliberateFault::SkipSync },
    reuse_wiped_vote = { DeliberateFault::ReuseWipedVote },
    lead_before_level = { DeliberateFault::LeadBeforeLevel },
    count_empty_member = { DeliberateFault::CountEmptyMember },
)]
fn the_search_finds_a_deliberate_fault(fault: DeliberateFault) {
    let found = explore(&rules(3, 2, Some(fault)), limits(1, 1));
    let example = found.counterexample.expect("it is found");
    assert_eq!(
        replay(&rules(3, 2, None), &example.trace),
        None,
        "without the fault: {example:?}"
    );
}

/// The three faults of the tail's lease, where one voter is away for a moment, the tail for long, and the
/// third voter is restarted, at all moments within a second.
#[parameterized(
    skip_fencing = { DeliberateFault::SkipFencing },
    accept_with_live_lease = { DeliberateFault::AcceptWithLiveLease },
    grant_after_restart = { DeliberateFault::GrantAfterRestart },
)]
fn a_fault_of_the_lease_shows_where_three_troubles_meet(fault: DeliberateFault) {
    let mut seen = None;
    for (away, tail, restart) in moments() {
        let trace = vec![
            (
                away,
                vec![Deviation::Cut(0, CutDirection::Inward, Outage::Short)],
            ),
            (
                tail,
                vec![Deviation::Cut(2, CutDirection::Both, Outage::Long)],
            ),
            (restart, vec![Deviation::Crash(1, Outage::Brief)]),
        ];
        assert_eq!(
            replay(&rules(3, 2, None), &trace),
            None,
            "without the fault: {trace:?}"
        );
        seen = seen.or_else(|| replay(&rules(3, 2, Some(fault)), &trace));
    }
    assert!(seen.is_some_and(|what| what.contains("two replicas may answer at once")));
}

fn moments() -> impl Iterator<Item = (usize, usize, usize)> {
    let pairs = (1..=2).flat_map(|away| (away + 1..=away + 6).map(move |tail| (away, tail)));
    pairs.flat_map(|(away, tail)| (tail + 1..=tail + 4).map(move |restart| (away, tail, restart)))
}

/// The one that was up all the time is dropped by the first view after the majority is back, and the disk
/// that may hold the last copy with it. Found by walks (seeds 42 and 67).
#[parameterized(
    two_of_five_are_replaced = { &[
        (81, Deviation::Crash(4, Outage::Long)),
        (87, Deviation::Replace(0, Outage::Long)),
        (90, Deviation::Replace(2, Outage::Long)),
    ] },
    two_of_five_are_replaced_one_by_one = { &[
        (39, Deviation::Crash(0, Outage::Long)),
        (44, Deviation::Replace(2, Outage::Long)),
        (80, Deviation::Crash(1, Outage::Long)),
        (90, Deviation::Replace(4, Outage::Long)),
        (104, Deviation::Crash(0, Outage::Long)),
    ] },
)]
fn a_member_that_was_there_all_the_time_is_not_dropped(outages: &[(usize, Deviation)]) {
    let trace: Vec<_> = outages
        .iter()
        .map(|(at, what)| (*at, vec![*what]))
        .collect();
    assert_eq!(replay(&overlapping(5, 3), &trace), None);
}
