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

#[test]
fn a_body_is_read_only_as_far_as_it_may_be() {
    let long = Message::PlanChunk {
        epoch: ConfigEpoch(3),
        offset: 0,
        length: 1 << 20,
        bytes: vec![7; 1 << 20],
    };
    let sealed = seal(Address::loopback(7), &long).unwrap();
    let mut reserved = 0;
    let mut reserve = |bytes: usize| {
        reserved += bytes;
        if reserved > 200 << 10 {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        Ok(())
    };
    let refused = open_within(&mut &sealed[..], &mut reserve);
    assert!(matches!(refused, Err(SealError::Io(_))));
    assert!(reserved <= (200 << 10) + READ_CHUNK_BYTES, "{reserved}");
    // A message that may be reserved as a whole is asked for to its last byte.
    reserved = 0;
    let mut reserve = |bytes: usize| {
        reserved += bytes;
        Ok(())
    };
    let opened = open_within(&mut &sealed[..], &mut reserve).unwrap();
    assert_eq!(opened, (Address::loopback(7), long));
    assert!(reserved >= 1 << 20, "{reserved}");
}
