use crate::lease_state::{LeaseState, LeaseStatus};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant};

fn lease_state() -> LeaseState {
    let members = (1..=4).map(Address::loopback).collect();
    let mut lease_state = LeaseState::new(Address::loopback(1), Milliseconds(1000));
    lease_state.renew_lease(MonotonicInstant(1500), ConfigEpoch(3), members);
    lease_state
}

#[test]
fn a_partitioned_member_stops_when_its_lease_runs_out() {
    let lease_state = lease_state();
    assert_eq!(
        lease_state.status(MonotonicInstant(1499)),
        LeaseStatus::Leased
    );
    assert_eq!(
        lease_state.status(MonotonicInstant(1500)),
        LeaseStatus::Isolated
    );
}

#[test]
fn half_of_the_members_go_on_without_the_core_until_one_knows_more() {
    let mut lease_state = lease_state();
    lease_state.record_peer_check(Address::loopback(2), ConfigEpoch(3), MonotonicInstant(1400));
    assert_eq!(
        lease_state.may_act_until(MonotonicInstant(1450)),
        Some(MonotonicInstant(2400)),
        "the peer check outlasts the lease"
    );
    assert_eq!(
        lease_state.status(MonotonicInstant(1600)),
        LeaseStatus::PeerQuorum
    );
    assert_eq!(
        lease_state.may_act_until(MonotonicInstant(1600)),
        Some(MonotonicInstant(2400))
    );
    assert_eq!(
        lease_state.status(MonotonicInstant(2400)),
        LeaseStatus::Isolated,
        "the peer check is old"
    );
    lease_state.record_peer_check(Address::loopback(3), ConfigEpoch(4), MonotonicInstant(2400));
    assert_eq!(
        lease_state.status(MonotonicInstant(2500)),
        LeaseStatus::Outdated
    );
}

#[test]
fn a_restarted_member_has_no_lease_and_old_updates_grant_none() {
    let fresh = LeaseState::new(Address::loopback(1), Milliseconds(1000));
    assert_eq!(fresh.status(MonotonicInstant(0)), LeaseStatus::NeverLeased);
    let mut lease_state = lease_state();
    lease_state.renew_lease(MonotonicInstant(9000), ConfigEpoch(2), vec![]);
    assert_eq!(
        (
            lease_state.epoch(),
            lease_state.is_leased(MonotonicInstant(1500))
        ),
        (ConfigEpoch(3), false)
    );
}

/// Without a lease, whoever knows more stops it: one that asks, one that became
/// a member since, the core.
#[test]
fn whoever_knows_more_stops_a_group_without_leases() {
    let members: Vec<Address> = (1..=3).map(Address::loopback).collect();
    let together = || {
        let mut lease_state = LeaseState::new(Address::loopback(1), Milliseconds(1000));
        lease_state.renew_lease(MonotonicInstant(3000), ConfigEpoch(5), members.clone());
        lease_state.record_peer_check(Address::loopback(2), ConfigEpoch(5), MonotonicInstant(2900));
        assert_eq!(
            lease_state.status(MonotonicInstant(3100)),
            LeaseStatus::PeerQuorum
        );
        lease_state
    };
    for newcomer in [3, 9] {
        let mut lease_state = together();
        lease_state.observe_peer_epoch(Address::loopback(newcomer), ConfigEpoch(6));
        assert_eq!(
            lease_state.status(MonotonicInstant(3100)),
            LeaseStatus::Outdated
        );
        lease_state.update_members(ConfigEpoch(6), members.clone());
        assert_ne!(
            lease_state.status(MonotonicInstant(3100)),
            LeaseStatus::Outdated
        );
    }
    let mut lease_state = together();
    lease_state.announce_epoch(ConfigEpoch(6), MonotonicInstant(3500));
    assert_eq!(
        lease_state.status(MonotonicInstant(3100)),
        LeaseStatus::Outdated
    );
    assert_eq!(
        lease_state.status(MonotonicInstant(3500)),
        LeaseStatus::PeerQuorum,
        "the core is not heard again"
    );
    lease_state.announce_epoch(ConfigEpoch(5), MonotonicInstant(9000));
    assert_eq!(
        lease_state.status(MonotonicInstant(3500)),
        LeaseStatus::PeerQuorum,
        "it told of nothing newer"
    );
}
