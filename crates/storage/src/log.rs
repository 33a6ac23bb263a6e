//! The write-ahead log of one generation: its folder, and how it is read back.
//!
//! The log is written and read by the library `okaywal`. Its reading ends at the first entry that
//! it can't read, as if a loss of power had torn that entry;
//! [`has_later_entry`] tells damage from that.

use crate::error::Damage;
use crate::record_frame::{MAGIC, RecordHeader};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};

/// The folder of a generation's log.
pub(crate) fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

/// Syncs the names in a folder.
pub(crate) fn sync_folder(folder: &Path) -> io::Result<()> {
    fs::File::open(folder)?.sync_all()
}

/// Syncs all files in a folder, and their names.
fn sync_files(folder: &Path) -> io::Result<()> {
    for file in fs::read_dir(folder)? {
        fs::File::open(file?.path())?.sync_all()?;
    }
    sync_folder(folder)
}

/// Removes a folder with all that is in it, if it exists.
pub(crate) fn remove_if_there(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Removes the logs of all generations but this one.
pub(crate) fn remove_other_logs(folder: &Path, generation: u64) -> io::Result<()> {
    for file in fs::read_dir(folder)? {
        let file = file?;
        let name = file.file_name();
        let name = name.to_string_lossy();
        if name.starts_with("log-") && name != log_name(generation) {
            remove_if_there(&file.path())?;
        }
    }
    Ok(())
}

/// Opens the log in this folder, and makes it if there is none. What it
/// gives is synced, whoever wrote it.
pub(crate) fn open_log(log: &Path, recovered: Recovered) -> io::Result<(WriteAheadLog, Recovered)> {
    let shared = Arc::new(Mutex::new(recovered));
    // The library's own way with long logs renames segments; a snapshot begins a new log instead.
    let wal = Configuration::default_for(log)
        .checkpoint_after_bytes(u64::MAX)
        .open(LogReader(shared.clone()))?;
    sync_files(log)?;
    let mut recovered = shared.lock().expect("recovery has ended");
    Ok((wal, std::mem::take(&mut *recovered)))
}

/// Makes an empty log, synced with its name, in place of one that was begun and not taken into use.
pub(crate) fn begin_log(folder: &Path, generation: u64) -> io::Result<WriteAheadLog> {
    let log = folder.join(log_name(generation));
    remove_if_there(&log)?;
    let (wal, _) = open_log(
        &log,
        Recovered {
            generation,
            ..Recovered::default()
        },
    )?;
    sync_folder(folder)?;
    Ok(wal)
}

/// Whether a log holds an entry that comes after a missing one. The log's own reading ends at the
/// first entry that is damaged, as if it had been torn while it was written; but the next entry
/// only begins once that one is synced, so it tells the two apart.
pub(crate) fn has_later_entry(log: &Path, generation: u64, last: u64) -> io::Result<bool> {
    for file in fs::read_dir(log)? {
        let bytes = fs::read(file?.path())?;
        let starts = bytes
            .windows(MAGIC.len())
            .enumerate()
            .filter(|(_, window)| *window == MAGIC);
        for (start, _) in starts {
            let found = RecordHeader::open(&bytes[start..]);
            if found.is_some_and(|(header, _)| {
                header.generation == generation && header.entry > last + 1
            }) {
                return Ok(true);
            }
        }
    }
    Ok(false)
}

/// What reading a log gave.
#[derive(Debug, Default)]
pub(crate) struct Recovered {
    /// The generation that is read; records of others are passed over.
    pub(crate) generation: u64,
    /// The last entry of this generation.
    pub(crate) entry: u64,
    /// The records of this generation in order.
    pub(crate) records: Vec<Vec<u8>>,
    /// What is wrong with the log, if anything is.
    pub(crate) damage: Option<Damage>,
}

/// Takes in what the library reads from a log.
#[derive(Debug)]
struct LogReader(Arc<Mutex<Recovered>>);

impl LogManager for LogReader {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        // An entry whose bytes aren't those written was torn as power failed, or damaged later: it's
        // passed over, and if entries come after it that tells the two apart.
        let chunks = match entry.read_all_chunks() {
            Ok(Some(chunks)) => chunks,
            Ok(None) => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::InvalidData => return Ok(()),
            Err(error) => return Err(error),
        };
        let mut recovered = self.0.lock().expect("recovery is on one thread");
        for chunk in chunks {
            match RecordHeader::open(&chunk) {
                Some((header, record)) if header.generation == recovered.generation => {
                    let is_next =
                        header.entry == recovered.entry || header.entry == recovered.entry + 1;
                    if !is_next {
                        recovered.damage = Some(Damage::EntryGap {
                            before: recovered.entry,
                            found: header.entry,
                        });
                    }
                    recovered.entry = header.entry;
                    recovered.records.push(record.to_vec());
                }
                Some(_) => {}
                None => recovered.damage = Some(Damage::RecordCheck),
            }
        }
        Ok(())
    }

    /// Only called for a segment that is followed by another: there is one, as
    /// the log is never cut.
    fn checkpoint_to(
        &mut self,
        _: EntryId,
        _: &mut SegmentReader,
        _: &WriteAheadLog,
    ) -> io::Result<()> {
        Ok(())
    }
}
