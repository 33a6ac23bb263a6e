//! What a server is believed to hold, bounded by its memory.

use placement::{PrefixHash, PrefixResidency};
use types::MonotonicInstant;

#[test]
fn what_was_not_used_for_longest_makes_room_and_a_part_counts_only_after_all_before_it() {
    let hashes: Vec<PrefixHash> = (1..=3).map(PrefixHash).collect();
    let mut residency = PrefixResidency::default();
    residency.set_memory(1000);
    residency.record_cached(&hashes, MonotonicInstant(0));
    residency.record_prefill(600);
    residency.record_cached(&hashes[1..], MonotonicInstant(1));
    residency.record_prefill(500);
    assert!(
        !residency.holds(hashes[0], MonotonicInstant(2))
            && residency.holds(hashes[2], MonotonicInstant(2))
    );
    assert_eq!(residency.matched(&hashes, MonotonicInstant(2)), 0);
}
