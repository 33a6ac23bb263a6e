//! The snapshot file: the records that stand for everything before a generation's log.
//!
//! It holds the generation (8 bytes, big-endian), the number of records (8), and each record after
//! its length (8). [`crate::write_file`] adds a checksum, and makes sure that a crash leaves the
//! old file or the new one.

use crate::checked_file::write_file;
use crate::error::Damage;
use std::io;
use std::path::Path;

/// The name of the file.
pub(crate) const SNAPSHOT: &str = "snapshot";

/// Writes the snapshot of a generation in place of the one before.
pub(crate) fn write_snapshot(
    folder: &Path,
    generation: u64,
    records: &[Vec<u8>],
) -> io::Result<()> {
    let lengths: Vec<[u8; 8]> = records
        .iter()
        .map(|record| (record.len() as u64).to_be_bytes())
        .collect();
    let generation_bytes = generation.to_be_bytes();
    let count_bytes = (records.len() as u64).to_be_bytes();
    let mut parts: Vec<&[u8]> = vec![&generation_bytes, &count_bytes];
    for (length, record) in lengths.iter().zip(records) {
        parts.push(length);
        parts.push(record);
    }
    write_file(folder, SNAPSHOT, &parts)
}

/// The generation and the records that the bytes of a snapshot file hold.
pub(crate) fn parse_snapshot(snapshot: &[u8]) -> Result<(u64, Vec<Vec<u8>>), Damage> {
    let number = |offset: usize| {
        let bytes = snapshot
            .get(offset..offset + 8)
            .ok_or(Damage::SnapshotTorn)?;
        Ok::<u64, Damage>(u64::from_be_bytes(
            bytes.try_into().map_err(|_| Damage::SnapshotTorn)?,
        ))
    };
    let (generation, count) = (number(0)?, number(8)?);
    let (mut offset, mut records) = (16, vec![]);
    for _ in 0..count {
        let length = number(offset)? as usize;
        offset += 8;
        let end = offset.checked_add(length).ok_or(Damage::SnapshotTorn)?;
        records.push(
            snapshot
                .get(offset..end)
                .ok_or(Damage::SnapshotTorn)?
                .to_vec(),
        );
        offset = end;
    }
    Ok((generation, records))
}
