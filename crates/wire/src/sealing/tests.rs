use super::*;
use types::{Address, ConfigEpoch, ResultCode};
use yare::parameterized;

fn message() -> Message {
    Message::PlanChunk {
        epoch: ConfigEpoch(3),
        offset: 5,
        length: 99,
        bytes: b"plan".to_vec(),
    }
}

#[test]
fn a_letter_comes_back_and_any_flipped_or_missing_byte_is_noticed() {
    let from = Address::loopback(7);
    let sealed = seal(from, &message()).unwrap();
    assert_eq!(open(&mut &sealed[..]).unwrap(), (from, message()));
    for place in 0..sealed.len() {
        let mut bent = sealed.clone();
        bent[place] ^= 0x10;
        assert!(
            open(&mut &bent[..]).is_err(),
            "byte {place} was flipped unnoticed"
        );
        assert!(
            open(&mut &sealed[..place]).is_err(),
            "torn at {place} unnoticed"
        );
    }
}

#[parameterized(
    other_protocol = { 4, 0, 9, ResultCode::WrongProtocol },
    no_magic = { 0, b'x', b'x', ResultCode::BadMessage },
)]
fn strangers_get_a_numbered_code(place: usize, first: u8, second: u8, code: ResultCode) {
    let mut sealed = seal(Address::loopback(7), &message()).unwrap();
    sealed[place] = first;
    sealed[place + 1] = second;
    assert_eq!(open(&mut &sealed[..]).unwrap_err().code(), code);
}
