use crate::rendezvous::share;
use types::Address;
use yare::parameterized;

#[parameterized(
    fewer_than_members = { 5 },
    none = { 0 },
    more_than_members = { 31 },
)]
fn shares_add_up_to_the_cap(cap: u32) {
    let members: Vec<Address> = (1..=12).map(Address::loopback).collect();
    for key in 0..50 {
        let total: u32 = members
            .iter()
            .map(|own| share(cap, key, own, &members))
            .sum();
        assert_eq!(total, cap);
    }
}
