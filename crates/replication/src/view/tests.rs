use crate::view::{ChainPosition, View, Voter};
use types::{Address, DiskId, ViewNumber};
use yare::parameterized;

fn voter(n: u16) -> Voter {
    Voter {
        address: Address::loopback(n),
        disk: DiskId(u128::from(n)),
    }
}
fn view(epoch: u64, chain: &[(u16, bool)], voters: &[u16]) -> View {
    View {
        epoch: ViewNumber(epoch),
        chain: chain
            .iter()
            .map(|(n, is_caught_up)| ChainPosition {
                voter: voter(*n),
                is_caught_up: *is_caught_up,
            })
            .collect(),
        voters: voters.iter().map(|n| voter(*n)).collect(),
        reserve: vec![],
    }
}

#[parameterized(
    drops_the_tail = { view(2, &[(1, true), (2, true)], &[1, 2, 3]), true },
    drops_the_head = { view(2, &[(2, true), (3, true)], &[1, 2, 3]), true },
    admits_a_newcomer = { view(2, &[(1, true), (2, true), (4, false)], &[1, 2, 4]), true },
    skips_an_epoch = { view(3, &[(1, true), (2, true)], &[1, 2, 3]), false },
    swaps_two_members = { view(2, &[(2, true), (1, true)], &[1, 2, 3]), false },
    puts_a_newcomer_first = { view(2, &[(4, false), (1, true)], &[1, 2, 4]), false },
    calls_a_newcomer_level = { view(2, &[(1, true), (4, true)], &[1, 2, 4]), false },
    has_only_newcomers = { view(2, &[(4, false)], &[1, 2, 4]), false },
    admits_a_voter_without_a_position = { view(2, &[(1, true)], &[1, 2, 4]), false },
    has_nobody = { view(2, &[], &[1, 2, 3]), false },
)]
fn only_safe_views_follow(next: View, is_safe: bool) {
    let first = view(1, &[(1, true), (2, true), (3, true)], &[1, 2, 3]);
    assert_eq!(first.may_be_followed_by(&next, 2), is_safe);
}

/// A view in which nothing may be committed: replica 1 alone, with the reserve 2.
fn short_view() -> View {
    View {
        reserve: vec![voter(2)],
        ..view(1, &[(1, true)], &[1, 2, 3])
    }
}

#[parameterized(
    goes_on_with_its_member = { &[(1, true)], &[2], true },
    admits_who_is_in_the_reserve = { &[(1, true), (2, false)], &[2], true },
    forgets_the_reserve = { &[(1, true)], &[], true },
    starts_from_the_reserve = { &[(2, true)], &[1], true },
    starts_from_who_may_lack_something = { &[(3, true)], &[1], false },
    starts_from_the_reserve_with_a_successor = { &[(2, true), (3, false)], &[1], false },
    starts_from_the_reserve_before_the_old_member = { &[(2, true), (1, true)], &[], false },
    starts_from_one_that_is_to_catch_up = { &[(2, false)], &[1], false },
    has_one_in_reserve_who_may_lack_something = { &[(1, true)], &[2, 3], false },
)]
fn a_short_view_is_followed_by_whoever_holds_everything(
    chain: &[(u16, bool)],
    reserve: &[u16],
    is_safe: bool,
) {
    let next = View {
        reserve: reserve.iter().map(|n| voter(*n)).collect(),
        ..view(2, chain, &[1, 2, 3])
    };
    assert_eq!(short_view().may_be_followed_by(&next, 2), is_safe);
}

#[parameterized(
    of_a_view_that_may_not_commit = { &[(1, true)], &[2, 3], true },
    of_a_view_that_may_commit = { &[(1, true), (2, true)], &[3], false },
    of_a_view_with_too_few_caught_up = { &[(1, true), (4, false)], &[2], true },
    of_one_that_was_catching_up = { &[(1, true)], &[4], false },
)]
fn only_a_view_that_may_not_commit_has_a_reserve(
    chain: &[(u16, bool)],
    reserve: &[u16],
    is_safe: bool,
) {
    let first = view(
        1,
        &[(1, true), (2, true), (3, true), (4, false)],
        &[1, 2, 3, 4],
    );
    let next = View {
        reserve: reserve.iter().map(|n| voter(*n)).collect(),
        ..view(2, chain, &[1, 2, 3, 4])
    };
    assert_eq!(first.may_be_followed_by(&next, 2), is_safe);
}
