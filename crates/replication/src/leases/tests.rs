use crate::leases::{LeaseTable, Membership};
use types::{Address, ConfigEpoch, MonotonicInstant};

fn members(ports: &[u16]) -> Vec<Address> {
    ports.iter().map(|p| Address::loopback(*p)).collect()
}

#[test]
fn holders_are_those_whose_leases_run() {
    let mut table = LeaseTable::default();
    let membership = Membership {
        members: members(&[1, 2, 3]),
        previous: members(&[1, 4]),
        since: ConfigEpoch(5),
    };
    table.renew(Address::loopback(1), ConfigEpoch(6), MonotonicInstant(300));
    table.renew(Address::loopback(2), ConfigEpoch(5), MonotonicInstant(200));
    assert!(
        !table.is_known_to_holders(ConfigEpoch(6), MonotonicInstant(100)),
        "2 holds a lease and knows only 5"
    );
    assert!(
        table.is_known_to_holders(ConfigEpoch(6), MonotonicInstant(200)),
        "2's lease has run out"
    );
    assert!(
        !table.is_known_to_all(&membership, ConfigEpoch(5)),
        "3 was never heard"
    );
    table.renew(Address::loopback(4), ConfigEpoch(2), MonotonicInstant(400));
    assert!(
        !table.is_known_to_holders(ConfigEpoch(6), MonotonicInstant(200)),
        "4, which is no member now, holds one"
    );
}

#[test]
fn members_and_previous_members_each_need_more_than_half() {
    let mut table = LeaseTable::default();
    let membership = Membership {
        members: members(&[1, 2, 3, 4]),
        previous: members(&[1, 2]),
        since: ConfigEpoch(5),
    };
    let now = MonotonicInstant(100);
    for port in [2, 3, 4] {
        table.renew(
            Address::loopback(port),
            ConfigEpoch(5),
            MonotonicInstant(200),
        );
    }
    assert!(
        !table.has_majority(&membership, now),
        "one of two previous members is not more than half"
    );
    table.renew(Address::loopback(1), ConfigEpoch(4), MonotonicInstant(200));
    assert!(table.has_majority(&membership, now));
    assert!(
        !table.is_known_to_most(&membership, ConfigEpoch(5)),
        "the previous member 1 knows only epoch 4"
    );
    assert!(!table.is_membership_settled(&membership));
    assert!(
        !table.has_majority(&membership, MonotonicInstant(200)),
        "leases have run out"
    );
}
