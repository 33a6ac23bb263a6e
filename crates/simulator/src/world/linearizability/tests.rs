use super::*;
use crate::deployment::Deployment;
use crate::world::{FaultKind, Mutant, World, WorldRules};
use yare::parameterized;

type PlanCall = Call<PlanRegister>;
type ZoneCall = Call<ZoneRegister>;

fn put(sent: u64, change: u64, base: u64, revision: u64) -> PlanCall {
    Call {
        sent,
        action: PlanAction::Put {
            change,
            base,
            revision,
        },
        answer: None,
        void_from: None,
    }
}
fn read_plan(sent: u64, answered: u64, change: u64) -> PlanCall {
    Call {
        sent,
        action: PlanAction::Read,
        answer: Some((answered, PlanAnswer::Found(change))),
        void_from: None,
    }
}
fn taken(mut call: PlanCall, answered: u64) -> PlanCall {
    call.answer = Some((answered, PlanAnswer::Taken));
    call
}
fn refused(mut call: PlanCall, answered: u64) -> PlanCall {
    call.answer = Some((answered, PlanAnswer::Refused));
    call
}
fn set(sent: u64, is_withdrawn: bool) -> ZoneCall {
    Call {
        sent,
        action: ZoneAction::Set { is_withdrawn },
        answer: None,
        void_from: None,
    }
}
fn done(mut call: ZoneCall, answered: u64) -> ZoneCall {
    call.answer = Some((answered, ZoneAnswer::Done));
    call
}
fn read_zone(sent: u64, answered: u64, is_withdrawn: bool) -> ZoneCall {
    let answer = Some((answered, ZoneAnswer::Found { is_withdrawn }));
    Call {
        sent,
        action: ZoneAction::Read,
        answer,
        void_from: None,
    }
}
fn void_from(mut call: ZoneCall, at: u64) -> ZoneCall {
    call.void_from = Some(at);
    call
}

#[parameterized(
    nothing = { vec![] },
    one_after_another = { vec![taken(put(0, 1, 0, 1), 5), read_plan(6, 7, 1), taken(put(8, 2, 1, 2), 9)] },
    a_read_within_a_put_finds_either = { vec![taken(put(0, 1, 0, 1), 9), read_plan(1, 3, 0), read_plan(4, 6, 1)] },
    of_two_on_one_base_one_is_refused = {
        vec![taken(put(0, 1, 0, 1), 9), refused(put(1, 2, 0, 1), 3), read_plan(10, 11, 1)]
    },
    an_unclear_one_takes_effect_late = { vec![put(0, 1, 0, 1), read_plan(1, 2, 0), read_plan(50, 60, 1)] },
    an_unclear_one_never_does = { vec![put(0, 1, 0, 1), read_plan(1, 2, 0), taken(put(50, 2, 0, 1), 60)] },
    an_unclear_one_justifies_a_refusal = { vec![put(0, 1, 0, 1), refused(put(5, 2, 0, 1), 6)] },
    a_repeat_is_acknowledged_after_later_changes = {
        vec![put(0, 1, 0, 1), taken(put(2, 1, 0, 1), 3), taken(put(4, 2, 1, 2), 5), taken(put(6, 1, 0, 1), 7), read_plan(8, 9, 2)]
    },
)]
fn histories_of_plans_that_some_request_explains(calls: Vec<PlanCall>) {
    assert_eq!(check_linearizable(&calls), Ok(()));
}

#[parameterized(
    two_on_one_base = { vec![taken(put(0, 1, 0, 1), 5), taken(put(1, 2, 0, 1), 6)] },
    an_old_read = { vec![taken(put(0, 1, 0, 1), 5), read_plan(6, 7, 0)] },
    reads_that_go_back = { vec![put(0, 1, 0, 1), read_plan(1, 2, 1), read_plan(3, 4, 0)] },
    lost = { vec![taken(put(0, 1, 0, 1), 5), taken(put(6, 2, 0, 2), 7)] },
    refused_without_a_reason = { vec![refused(put(0, 1, 0, 1), 3)] },
    refused_by_what_came_later = { vec![refused(put(0, 2, 0, 1), 3), taken(put(4, 1, 0, 1), 5)] },
    taken_and_refused_when_sent_again = { vec![taken(put(0, 1, 0, 1), 2), refused(put(3, 1, 0, 1), 4)] },
    refused_and_taken_all_the_same = {
        vec![put(0, 1, 0, 1), taken(put(0, 2, 0, 1), 2), refused(put(3, 1, 0, 1), 4), read_plan(5, 6, 1)]
    },
    before_it_was_sent = { vec![read_plan(0, 1, 1), taken(put(2, 1, 0, 1), 3)] },
    applied_twice = {
        vec![taken(put(0, 1, 0, 1), 1), taken(put(2, 2, 1, 2), 3), taken(put(4, 1, 0, 1), 5), read_plan(6, 7, 1)]
    },
)]
fn histories_of_plans_that_no_request_explains(calls: Vec<PlanCall>) {
    assert!(matches!(
        check_linearizable(&calls),
        Err(Mismatch::Unexplained(_))
    ));
}

#[parameterized(
    there_and_back = { vec![done(set(0, true), 1), read_zone(2, 3, true), done(set(4, false), 5), read_zone(6, 7, false)], true },
    an_old_read = { vec![done(set(0, true), 1), read_zone(2, 3, false)], false },
    an_unclear_one_before_its_withdrawal = {
        vec![void_from(set(0, true), 10), read_zone(1, 2, true), done(set(10, false), 11), read_zone(12, 13, false)], true
    },
    an_unclear_one_after_what_took_it_back = {
        vec![void_from(set(0, true), 10), done(set(3, true), 4), done(set(10, false), 11), read_zone(12, 13, true)], false
    },
    an_unclear_one_that_nothing_contradicts = { vec![set(0, true), read_zone(1, 2, false), read_zone(90, 91, true)], true },
)]
fn histories_of_a_zone(calls: Vec<ZoneCall>, is_linearizable: bool) {
    assert_eq!(check_linearizable(&calls).is_ok(), is_linearizable);
}

#[test]
fn hundreds_of_changes_with_eight_under_way_are_judged_within_the_bound() {
    let mut calls = vec![];
    for round in 0..100 {
        let at = round * 100;
        for other in 0..7 {
            let loser = put(at + other, round * 10 + other + 2, round, round + 1);
            calls.push(if other % 2 == 0 {
                loser
            } else {
                refused(loser, at + 90)
            });
        }
        calls.push(taken(put(at, round * 10 + 1, round, round + 1), at + 80));
    }
    assert_eq!(check_linearizable(&calls), Ok(()));
    calls.push(read_plan(20_000, 20_001, 11));
    assert!(matches!(
        check_linearizable(&calls),
        Err(Mismatch::Unexplained(_))
    ));
}

/// Deliberate faults of the control side that the check of the whole history sees, and not only the checks of
/// single answers.
#[parameterized(
    skip_sync = { Mutant::SkipSync, &[FaultKind::PowerLossAfterAck], 6 },
    reuse_wiped_vote = { Mutant::ReuseWipedVote, &[FaultKind::WipeAfterAck, FaultKind::WipeDisk], 14 },
    stale_reads = { Mutant::StaleReads, &[FaultKind::SplitCore, FaultKind::PlanStorm], 6 },
    new_ids = { Mutant::NewIds, &[FaultKind::KillController, FaultKind::BadNetwork], 6 },
)]
fn mutants_of_the_control_side_are_not_linearizable(
    mutant: Mutant,
    kinds: &[FaultKind],
    faults: u64,
) {
    let is_caught = |seed: &u64| {
        let rules = WorldRules {
            faults,
            kinds: kinds.to_vec(),
            requests_a_second: 5,
            mutant: Some(mutant),
            ..WorldRules::new(Deployment::Pahana, *seed)
        };
        let seen = World::new(rules).run().violations;
        seen.iter().any(|what| what.contains("is not linearizable"))
    };
    assert!(
        (1..40).any(|seed| is_caught(&seed)),
        "{mutant:?} was never caught"
    );
}
