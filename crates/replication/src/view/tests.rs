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
    assert_eq!(first.may_be_followed_by(&next), is_safe);
}
