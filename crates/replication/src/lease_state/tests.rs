use crate::lease_state::{LeaseState, LeaseStatus};
use types::{Address, Epoch, Moment, Span};

fn lease_state() -> LeaseState {
    let members = (1..=4).map(Address::loopback).collect();
    let mut lease_state = LeaseState::new(Address::loopback(1), Span(1000));
    lease_state.lease(Moment(1500), Epoch(3), members);
    lease_state
}

#[test]
fn one_cut_off_stops_when_its_lease_runs_out() {
    let lease_state = lease_state();
    assert_eq!(lease_state.reason(Moment(1499)), LeaseStatus::Leased);
    assert_eq!(lease_state.reason(Moment(1500)), LeaseStatus::Alone);
}

#[test]
fn half_of_the_members_go_on_without_the_core_until_one_knows_more() {
    let mut lease_state = lease_state();
    lease_state.note_peer_check(Address::loopback(2), Epoch(3), Moment(1400));
    assert_eq!(
        lease_state.may_act_until(Moment(1450)),
        Some(Moment(2400)),
        "the peer check outlasts the lease"
    );
    assert_eq!(lease_state.reason(Moment(1600)), LeaseStatus::Together);
    assert_eq!(lease_state.may_act_until(Moment(1600)), Some(Moment(2400)));
    assert_eq!(
        lease_state.reason(Moment(2400)),
        LeaseStatus::Alone,
        "the peer check is old"
    );
    lease_state.note_peer_check(Address::loopback(3), Epoch(4), Moment(2400));
    assert_eq!(lease_state.reason(Moment(2500)), LeaseStatus::Behind);
}

#[test]
fn a_restarted_member_is_unheard_and_old_news_is_no_lease() {
    let fresh = LeaseState::new(Address::loopback(1), Span(1000));
    assert_eq!(fresh.reason(Moment(0)), LeaseStatus::Unheard);
    let mut lease_state = lease_state();
    lease_state.lease(Moment(9000), Epoch(2), vec![]);
    assert_eq!(
        (lease_state.epoch(), lease_state.is_leased(Moment(1500))),
        (Epoch(3), false)
    );
}

/// Without a lease, whoever knows more stops it: one that asks, one that became a member since, the core.
#[test]
fn whoever_knows_more_stops_a_group_without_leases() {
    let members: Vec<Address> = (1..=3).map(Address::loopback).collect();
    let together = || {
        let mut lease_state = LeaseState::new(Address::loopback(1), Span(1000));
        lease_state.lease(Moment(3000), Epoch(5), members.clone());
        lease_state.note_peer_check(Address::loopback(2), Epoch(5), Moment(2900));
        assert_eq!(lease_state.reason(Moment(3100)), LeaseStatus::Together);
        lease_state
    };
    for newcomer in [3, 9] {
        let mut lease_state = together();
        lease_state.hear(Address::loopback(newcomer), Epoch(6));
        assert_eq!(lease_state.reason(Moment(3100)), LeaseStatus::Behind);
        lease_state.learn(Epoch(6), members.clone());
        assert_ne!(lease_state.reason(Moment(3100)), LeaseStatus::Behind);
    }
    let mut lease_state = together();
    lease_state.tell(Epoch(6), Moment(3500));
    assert_eq!(lease_state.reason(Moment(3100)), LeaseStatus::Behind);
    assert_eq!(
        lease_state.reason(Moment(3500)),
        LeaseStatus::Together,
        "the core is not heard again"
    );
    lease_state.tell(Epoch(5), Moment(9000));
    assert_eq!(
        lease_state.reason(Moment(3500)),
        LeaseStatus::Together,
        "it told of nothing newer"
    );
}
