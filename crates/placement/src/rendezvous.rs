//! Rendezvous hashing: each key gives the members an order of its own, by which caps are shared out without
//! agreement.

use types::Address;

/// Spreads a number's bits (the finisher of splitmix64).
pub fn mix(number: u64) -> u64 {
    let mut x = number.wrapping_add(0x9E37_79B9_7F4A_7C15);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// A number for a name, the same everywhere.
pub fn key_of(name: &str) -> u64 {
    name.bytes().fold(7, |sum, byte| mix(sum ^ u64::from(byte)))
}

fn weigh(key: u64, member: &Address) -> (u64, Address) {
    let port = u64::from(member.0.port());
    let ip = match member.0.ip() {
        std::net::IpAddr::V4(ip) => u64::from(u32::from(ip)),
        std::net::IpAddr::V6(ip) => u128::from(ip) as u64,
    };
    (mix(key ^ mix(ip << 16 | port)), *member)
}

/// The place of a member in the order that a key gives to the members: each key its own order, the
/// same for all who know the same members.
pub fn rank(key: u64, own: &Address, members: &[Address]) -> usize {
    let mine = weigh(key, own);
    members
        .iter()
        .filter(|member| *member != own && weigh(key, member) > mine)
        .count()
}

/// This member's part of a cap. The parts of all members together are the cap exactly.
pub fn share(cap: u32, key: u64, own: &Address, members: &[Address]) -> u32 {
    share_at(cap, rank(key, own, members) as u32, members.len() as u32)
}

/// The part of a cap that falls to a place in the order of so many members.
pub fn share_at(cap: u32, place: u32, count: u32) -> u32 {
    let count = count.max(1);
    cap / count + u32::from(place < cap % count)
}

#[cfg(test)]
mod tests;
