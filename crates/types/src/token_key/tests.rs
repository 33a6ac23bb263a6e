use super::*;

#[test]
fn a_key_is_never_shown() {
    assert_eq!(format!("{:?}", TokenKey([0x5a; 32])), "TokenKey(…)");
}
