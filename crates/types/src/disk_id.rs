//! The identity of a replica's disk.

use std::fmt;

/// The id of one disk's contents, 128 random bits. It is drawn when an empty data folder is first
/// used, and lost with it.
///
/// Invariant: two folders that were ever empty at different times never share one, so a wiped disk
/// can't be taken for the disk that it was.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
pub struct DiskId(pub u128);

impl fmt::Display for DiskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
