use super::{FAMILIES, entry_of};
use crate::world::FaultKind;
use clap::ValueEnum;

#[test]
fn the_families_tables_name_each_kind_of_fault_once() {
    let kinds = FaultKind::value_variants();
    for kind in kinds {
        assert_eq!(entry_of(*kind).kind, *kind);
    }
    let rows: usize = FAMILIES.iter().map(|family| family.len()).sum();
    assert_eq!(rows, kinds.len());
}
