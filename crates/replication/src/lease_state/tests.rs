use crate::lease_state::{LeaseState, LeaseStatus};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant};

fn lease_state() -> LeaseState {
    let members = (1..=4).map(Address::loopback).collect();
    let mut lease_state = LeaseState::new(Address::loopback(1), Milliseconds(1000));
    lease_state.lease(MonotonicInstant(1500), ConfigEpoch(3), members);
    lease_state
}

#[test]
fn one_cut_off_stops_when_its_lease_runs_out() {
    let lease_state = lease_state();
    assert_eq!(
        lease_state.reason(MonotonicInstant(1499)),
        LeaseStatus::Leased
    );
    assert_eq!(
        lease_state.reason(MonotonicInstant(1500)),
        LeaseStatus::Alone
    );
}

#[test]
fn half_of_the_members_go_on_without_the_core_until_one_knows_more() {
    let mut lease_state = lease_state();
    lease_state.note_peer_check(Address::loopback(2), ConfigEpoch(3), MonotonicInstant(1400));
    assert_eq!(
        lease_state.may_act_until(MonotonicInstant(1450)),
        Some(MonotonicInstant(2400)),
        "the peer check outlasts the lease"
    );
    assert_eq!(
        lease_state.reason(MonotonicInstant(1600)),
        LeaseStatus::Together
    );
    assert_eq!(
        lease_state.may_act_until(MonotonicInstant(1600)),
        Some(MonotonicInstant(2400))
    );
    assert_eq!(
        lease_state.reason(MonotonicInstant(2400)),
        LeaseStatus::Alone,
        "the peer check is old"
    );
    lease_state.note_peer_check(Address::loopback(3), ConfigEpoch(4), MonotonicInstant(2400));
    assert_eq!(
        lease_state.reason(MonotonicInstant(2500)),
        LeaseStatus::Behind
    );
}

#[test]
fn a_restarted_member_is_unheard_and_old_news_is_no_lease() {
    let fresh = LeaseState::new(Address::loopback(1), Milliseconds(1000));
    assert_eq!(fresh.reason(MonotonicInstant(0)), LeaseStatus::Unheard);
    let mut lease_state = lease_state();
    lease_state.lease(MonotonicInstant(9000), ConfigEpoch(2), vec![]);
    assert_eq!(
        (
            lease_state.epoch(),
            lease_state.is_leased(MonotonicInstant(1500))
        ),
        (ConfigEpoch(3), false)
    );
}

/// Without a lease, whoever knows more stops it: one that asks, one that became a member since, the core.
#[test]
fn whoever_knows_more_stops_a_group_without_leases() {
    let members: Vec<Address> = (1..=3).map(Address::loopback).collect();
    let together = || {
        let mut lease_state = LeaseState::new(Address::loopback(1), Milliseconds(1000));
        lease_state.lease(MonotonicInstant(3000), ConfigEpoch(5), members.clone());
        lease_state.note_peer_check(Address::loopback(2), ConfigEpoch(5), MonotonicInstant(2900));
        assert_eq!(
            lease_state.reason(MonotonicInstant(3100)),
            LeaseStatus::Together
        );
        lease_state
    };
    for newcomer in [3, 9] {
        let mut lease_state = together();
        lease_state.hear(Address::loopback(newcomer), ConfigEpoch(6));
        assert_eq!(
            lease_state.reason(MonotonicInstant(3100)),
            LeaseStatus::Behind
        );
        lease_state.learn(ConfigEpoch(6), members.clone());
        assert_ne!(
            lease_state.reason(MonotonicInstant(3100)),
            LeaseStatus::Behind
        );
    }
    let mut lease_state = together();
    lease_state.tell(ConfigEpoch(6), MonotonicInstant(3500));
    assert_eq!(
        lease_state.reason(MonotonicInstant(3100)),
        LeaseStatus::Behind
    );
    assert_eq!(
        lease_state.reason(MonotonicInstant(3500)),
        LeaseStatus::Together,
        "the core is not heard again"
    );
    lease_state.tell(ConfigEpoch(5), MonotonicInstant(9000));
    assert_eq!(
        lease_state.reason(MonotonicInstant(3500)),
        LeaseStatus::Together,
        "it told of nothing newer"
    );
}
