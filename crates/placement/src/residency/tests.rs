use super::*;
use crate::residency::Residency;
use crate::sketch::PrefixHash;
use types::Moment;

#[test]
fn the_longest_held_prefix_counts_and_old_belief_fades() {
    let hashes: Vec<PrefixHash> = (1..=5).map(PrefixHash).collect();
    let mut residency = Residency::default();
    residency.hold(&hashes[..3], Moment(0));
    assert_eq!(residency.matched(&hashes, Moment(1)), 3);
    assert_eq!(residency.matched(&hashes, Moment(0) + LIFE), 0);
    residency.drop_all(&hashes[1..3]);
    assert_eq!(residency.matched(&hashes, Moment(1)), 1);
    residency.send(&hashes, Moment(2));
    assert_eq!(
        (
            residency.matched(&hashes, Moment(3)),
            residency.holds(hashes[4], Moment(3))
        ),
        (5, false)
    );
    residency.unsend(&hashes);
    assert_eq!(residency.matched(&hashes, Moment(3)), 1);
}
