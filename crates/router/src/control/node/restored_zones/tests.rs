//! Until when the servers of a restored zone count as warming up.

use super::*;
use yare::parameterized;

const LAG: Milliseconds = Milliseconds(800);
const RESTORED_AT: MonotonicInstant = MonotonicInstant(10_000);

fn zones(names: &[&str]) -> Vec<ZoneName> {
    names.iter().copied().map(ZoneName::from).collect()
}

fn entry(zone: &str, warm_up_left: Option<Milliseconds>) -> ServerEntry {
    ServerEntry {
        zone: zone.into(),
        warm_up_left,
        ..ServerEntry::default()
    }
}

/// What is left of the warm-up of three servers: of the restored zone, of another, of one of which the list never tells.
fn warm_up_left(zones: &RestoredZones) -> [Option<u64>; 3] {
    let warm = Some(Milliseconds(0));
    let mut entries = [
        entry("east", warm),
        entry("west", warm),
        entry("east", None),
    ];
    zones.apply(&mut entries);
    entries.map(|entry| entry.warm_up_left.map(|left| left.0))
}

fn restored() -> RestoredZones {
    let mut restored_zones = RestoredZones::new(LAG);
    assert!(!restored_zones.update(&[], &zones(&["east"]), MonotonicInstant(5000)));
    assert!(restored_zones.update(&zones(&["east"]), &[], RESTORED_AT));
    restored_zones
}

#[parameterized(
    before_the_restoration = { 9_999, false },
    within_the_lag = { 10_800, false },
    within_the_transit = { 11_049, false },
    after_both = { 11_050, true },
)]
fn a_list_verifies_what_was_restored_before_it(read_at: u64, is_verified: bool) {
    let mut restored_zones = restored();
    assert_eq!(
        restored_zones.verify(MonotonicInstant(read_at)),
        is_verified
    );
    let left = if is_verified { 0 } else { MAX_UNVERIFIED.0 };
    assert_eq!(warm_up_left(&restored_zones), [Some(left), Some(0), None]);
    assert!(!restored_zones.verify(MonotonicInstant(9_999)));
}

#[test]
fn a_longer_warm_up_stays() {
    let mut entries = [entry("east", Some(Milliseconds(90_000)))];
    restored().apply(&mut entries);
    assert_eq!(entries[0].warm_up_left, Some(Milliseconds(90_000)));
}

#[test]
fn a_zone_that_is_withdrawn_again_is_verified_after_its_next_restoration() {
    let mut restored_zones = restored();
    assert!(!restored_zones.update(&[], &zones(&["east"]), MonotonicInstant(10_500)));
    assert_eq!(warm_up_left(&restored_zones)[0], Some(0));
    assert!(restored_zones.update(&zones(&["east"]), &[], MonotonicInstant(20_000)));
    assert!(!restored_zones.verify(MonotonicInstant(12_000)));
    assert_eq!(warm_up_left(&restored_zones)[0], Some(MAX_UNVERIFIED.0));
}
