use rkyv::util::AlignedVec;

/// The alignment that archived records need when they are read.
const ARCHIVE_ALIGNMENT: usize = 16;

/// Copies archived bytes to an aligned buffer. Bytes from the network or a disk come without alignment.
pub(crate) fn aligned(bytes: &[u8]) -> AlignedVec<ARCHIVE_ALIGNMENT> {
    let mut aligned = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}
