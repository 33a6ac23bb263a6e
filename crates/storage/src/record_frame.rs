//! The framing of records in the log: a header of 28 bytes, then the record.
//!
//! The header holds, each number in big-endian order: 4 bytes `cbre`, the generation (8), the entry
//! (8), the length of the record (4), and the CRC-32 of all that and the record (4).

/// The length of a header in bytes.
pub(crate) const HEADER_BYTES: usize = 28;

/// The bytes that each header begins with.
pub(crate) const MAGIC: [u8; 4] = *b"cbre";

/// The header of a record: which generation and entry it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    /// The generation of the log.
    pub(crate) generation: u64,
    /// The number of the entry within its generation, from 1 without gaps.
    pub(crate) entry: u64,
}

impl RecordHeader {
    /// The record with its header.
    pub(crate) fn seal(self, record: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES + record.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.generation.to_be_bytes());
        bytes.extend_from_slice(&self.entry.to_be_bytes());
        bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
        let check = RecordHeader::check(&bytes, record);
        bytes.extend_from_slice(&check.to_be_bytes());
        bytes.extend_from_slice(record);
        bytes
    }
    /// The record that these bytes begin with; `None` if they begin with no
    /// complete record or its check fails.
    pub(crate) fn open(bytes: &[u8]) -> Option<(RecordHeader, &[u8])> {
        let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
        let number64 =
            |from: usize| u64::from_be_bytes(header[from..from + 8].try_into().unwrap_or_default());
        let number32 =
            |from: usize| u32::from_be_bytes(header[from..from + 4].try_into().unwrap_or_default());
        let record = rest.get(..number32(20) as usize)?;
        let is_good =
            header[..4] == MAGIC && number32(24) == RecordHeader::check(&header[..24], record);
        is_good.then_some((
            RecordHeader {
                generation: number64(4),
                entry: number64(12),
            },
            record,
        ))
    }
    /// The CRC-32 of the header before it and the record.
    fn check(header: &[u8], record: &[u8]) -> u32 {
        let mut check = crc32fast::Hasher::new();
        check.update(header);
        check.update(record);
        check.finalize()
    }
}
