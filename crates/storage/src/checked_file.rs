//! Small files that are replaced at once and checked when they are read.
//!
//! A file holds `cbflfile`, the length of its content (8 bytes, big-endian), the content's CRC-32
//! (4), and the content.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// The bytes that each file begins with.
const MAGIC: [u8; 8] = *b"cbflfile";

/// Writes the file `name` in `folder`, its content the parts in order, so that a crash leaves the
/// old file or the new one, complete, and syncs it.
///
/// # Errors
///
/// The operating system's; the old file is there then, or the new one.
pub fn write_file(folder: &Path, name: &str, parts: &[&[u8]]) -> io::Result<()> {
    let draft = folder.join(format!("{name}.draft"));
    let mut check = crc32fast::Hasher::new();
    parts.iter().for_each(|part| check.update(part));
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut file = File::create(&draft)?;
    file.write_all(&MAGIC)?;
    file.write_all(&(length as u64).to_be_bytes())?;
    file.write_all(&check.finalize().to_be_bytes())?;
    parts.iter().try_for_each(|part| file.write_all(part))?;
    file.sync_all()?;
    fs::rename(&draft, folder.join(name))?;
    File::open(folder)?.sync_all()
}

/// Reads the content of such a file; `None` if there is none.
///
/// # Errors
///
/// The operating system's, or one of kind [`io::ErrorKind::InvalidData`] if the file is not
/// complete or fails its check.
pub fn read_file(folder: &Path, name: &str) -> io::Result<Option<Vec<u8>>> {
    let bytes = match fs::read(folder.join(name)) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let bad = |why: &str| io::Error::new(io::ErrorKind::InvalidData, format!("{name} {why}"));
    let head = bytes.get(..20).ok_or_else(|| bad("is torn"))?;
    let body = &bytes[20..];
    let length = u64::from_be_bytes(head[8..16].try_into().unwrap_or_default());
    let check = u32::from_be_bytes(head[16..20].try_into().unwrap_or_default());
    if head[..8] != MAGIC || length != body.len() as u64 || check != crc32fast::hash(body) {
        return Err(bad("fails its check"));
    }
    Ok(Some(body.to_vec()))
}

#[cfg(test)]
mod tests;
