use crate::block_hash::block_hashes;

#[test]
fn prefixes_share_hashes_exactly_as_far_as_they_agree() {
    let one = block_hashes(b"aaaabbbbccccdd", 4, 100);
    let two = block_hashes(b"aaaabbbbxxxxcccc", 4, 100);
    assert_eq!((one.len(), two.len()), (3, 4));
    assert_eq!(one[..2], two[..2]);
    assert!(
        one[2] != two[2] && one[2] != two[3],
        "the same block after another prefix differs"
    );
}
