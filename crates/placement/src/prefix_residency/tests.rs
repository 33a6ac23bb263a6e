use super::*;
use crate::prefix_residency::PrefixResidency;
use crate::sketch::PrefixHash;
use types::MonotonicInstant;

#[test]
fn the_longest_held_prefix_counts_and_old_belief_fades() {
    let hashes: Vec<PrefixHash> = (1..=5).map(PrefixHash).collect();
    let mut residency = PrefixResidency::default();
    residency.record_cached(&hashes[..3], MonotonicInstant(0));
    assert_eq!(residency.matched(&hashes, MonotonicInstant(1)), 3);
    assert_eq!(
        residency.matched(&hashes, MonotonicInstant(0) + RESIDENCY_LIFETIME),
        0
    );
    residency.evict(&hashes[1..3]);
    assert_eq!(residency.matched(&hashes, MonotonicInstant(1)), 1);
    residency.record_sent(&hashes, MonotonicInstant(2));
    assert_eq!(
        (
            residency.matched(&hashes, MonotonicInstant(3)),
            residency.holds(hashes[4], MonotonicInstant(3))
        ),
        (5, false)
    );
    residency.forget_sent(&hashes);
    assert_eq!(residency.matched(&hashes, MonotonicInstant(3)), 1);
}
