use super::*;

fn standing() -> Standing {
    let members = (1..=4).map(Address::loopback).collect();
    let mut standing = Standing::new(Address::loopback(1), Span(1000));
    standing.lease(Moment(1500), Epoch(3), members);
    standing
}

#[test]
fn one_cut_off_stops_when_its_lease_runs_out() {
    let standing = standing();
    assert_eq!(standing.reason(Moment(1499)), StandingReason::Leased);
    assert_eq!(standing.reason(Moment(1500)), StandingReason::Alone);
}

#[test]
fn half_of_the_members_go_on_without_the_core_until_one_knows_more() {
    let mut standing = standing();
    standing.note_peer_check(Address::loopback(2), Epoch(3), Moment(1400));
    assert_eq!(standing.may_act_until(Moment(1450)), Some(Moment(2400)), "the peer check outlasts the lease");
    assert_eq!(standing.reason(Moment(1600)), StandingReason::Together);
    assert_eq!(standing.may_act_until(Moment(1600)), Some(Moment(2400)));
    assert_eq!(standing.reason(Moment(2400)), StandingReason::Alone, "the peer check is old");
    standing.note_peer_check(Address::loopback(3), Epoch(4), Moment(2400));
    assert_eq!(standing.reason(Moment(2500)), StandingReason::Behind);
}

#[test]
fn a_restarted_member_is_unheard_and_old_news_is_no_lease() {
    let fresh = Standing::new(Address::loopback(1), Span(1000));
    assert_eq!(fresh.reason(Moment(0)), StandingReason::Unheard);
    let mut standing = standing();
    standing.lease(Moment(9000), Epoch(2), vec![]);
    assert_eq!((standing.epoch(), standing.is_leased(Moment(1500))), (Epoch(3), false));
}

/// Without a lease, whoever knows more stops it: one that asks, one that became a member since, the core.
#[test]
fn whoever_knows_more_stops_a_group_without_leases() {
    let members: Vec<Address> = (1..=3).map(Address::loopback).collect();
    let together = || {
        let mut standing = Standing::new(Address::loopback(1), Span(1000));
        standing.lease(Moment(3000), Epoch(5), members.clone());
        standing.note_peer_check(Address::loopback(2), Epoch(5), Moment(2900));
        assert_eq!(standing.reason(Moment(3100)), StandingReason::Together);
        standing
    };
    for newcomer in [3, 9] {
        let mut standing = together();
        standing.hear(Address::loopback(newcomer), Epoch(6));
        assert_eq!(standing.reason(Moment(3100)), StandingReason::Behind);
        standing.learn(Epoch(6), members.clone());
        assert_ne!(standing.reason(Moment(3100)), StandingReason::Behind);
    }
    let mut standing = together();
    standing.tell(Epoch(6), Moment(3500));
    assert_eq!(standing.reason(Moment(3100)), StandingReason::Behind);
    assert_eq!(standing.reason(Moment(3500)), StandingReason::Together, "the core is not heard again");
    standing.tell(Epoch(5), Moment(9000));
    assert_eq!(standing.reason(Moment(3500)), StandingReason::Together, "it told of nothing newer");
}
