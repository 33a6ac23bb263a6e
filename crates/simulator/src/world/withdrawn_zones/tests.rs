//! What counts as time in which service could have been back.

use super::*;
use yare::parameterized;

fn zones() -> BTreeSet<ZoneName> {
    ["east", "west"].map(ZoneName::from).into()
}

fn change(
    epoch: u64,
    zone: &str,
    is_withdrawn: bool,
    proposed_at: u64,
    known_at: impl Into<Option<u64>>,
) -> ZoneChange {
    ZoneChange {
        epoch,
        zone: ZoneName::from(zone),
        is_withdrawn,
        proposed_at,
        known_at: known_at.into(),
    }
}

#[parameterized(
    none = { vec![], 100 },
    one_zone_is_still_in_service = { vec![change(1, "east", true, 5, 10)], 100 },
    before_all_was_healed = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, 4), change(3, "west", false, 30, 31)], 90 },
    in_between = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 40, 50), change(3, "west", false, 70, 80)], 80 },
    not_acknowledged_at_all = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, None), change(3, "west", false, 70, 80)], 100 },
    restored_before_it_was_acknowledged = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, 75), change(3, "west", false, 70, 80)], 100 },
    until_the_end = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, 60)], 40 },
    the_other_zone_comes_back = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, 30), change(3, "east", false, 40, None)], 90 },
    sequence_is_by_epoch = { vec![change(3, "west", false, 40, 45), change(1, "east", true, 1, 2), change(2, "west", true, 3, 30)], 90 },
    withdrawn_twice = { vec![change(1, "east", true, 1, 2), change(2, "west", true, 3, 30), change(3, "west", true, 35, 40), change(4, "west", false, 50, 55)], 80 },
)]
fn time_counts_while_a_zone_may_be_in_service(changes: Vec<ZoneChange>, expected: u64) {
    let out_of_service = OutOfService::new(&zones(), changes);
    assert_eq!(out_of_service.time_in_service(20, 120), expected);
}
