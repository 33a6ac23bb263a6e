//! The data folder as a whole: set up, opened, written to, and compacted.

use crate::checked_file::{read_file, write_file};
use crate::error::{Damage, StorageError};
use crate::log::{
    Recovered, begin_log, has_later_entry, log_name, open_log, remove_if_there, remove_other_logs,
    sync_folder,
};
use crate::record_frame::RecordHeader;
use crate::snapshot_file::{SNAPSHOT, parse_snapshot, write_snapshot};
use okaywal::WriteAheadLog;
use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use types::DiskId;

/// The name of the file that holds the disk id.
const ID: &str = "disk-id";

/// Where builds before logs by generation had theirs.
const EARLIER_LOG: &str = "log";

/// The generation of a folder that no snapshot has replaced yet.
const FIRST: u64 = 1;

/// A data folder that is open for writing.
///
/// Invariants: a record that [`Storage::write`] returned for is synced. Records count from the last
/// snapshot on: each carries the snapshot's generation, and others are passed over. Entries are
/// numbered without gaps within a generation, and one begins only after the one before is synced.
/// Each generation has a log folder of its own, which is complete and synced before the snapshot
/// that names it: no file of a log is ever renamed or reused. The disk id is in the folder before
/// any record is.
pub struct Storage {
    folder: PathBuf,
    disk: DiskId,
    generation: u64,
    entry: u64,
    wal: Option<WriteAheadLog>,
}

/// A data folder that was opened, and what it held.
pub struct RecoveredStorage {
    /// The folder, open for writing.
    pub storage: Storage,
    /// The id of the disk.
    pub disk: DiskId,
    /// All records since the last snapshot, those of the snapshot first.
    pub records: Vec<Vec<u8>>,
}

impl Storage {
    /// Opens a folder, which is made if there is none. One that is empty, or was wiped in part,
    /// becomes a new disk with the id `new_id`.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if the operating system refuses, [`StorageError::Damaged`] if what is
    /// there isn't what was written. An entry at the end of the log that was torn by a loss of
    /// power is no damage: it was never acknowledged.
    pub fn open(folder: &Path, new_id: DiskId) -> Result<RecoveredStorage, StorageError> {
        fs::create_dir_all(folder).map_err(StorageError::io("make the data folder"))?;
        if has_files(&folder.join(EARLIER_LOG)) {
            return Err(Damage::EarlierBuild.into());
        }
        let (disk, generation, mut records) = match read_disk(folder)? {
            Some(found) => found,
            None => {
                // Whatever is left over belongs to a disk that is no more.
                make_new(folder, new_id).map_err(StorageError::io("set up the data folder"))?;
                (new_id, FIRST, vec![])
            }
        };
        let (wal, recovered) = recover_log(folder, generation)?;
        records.extend(recovered.records);
        let storage = Storage {
            folder: folder.to_owned(),
            disk,
            generation,
            entry: recovered.entry,
            wal: Some(wal),
        };
        Ok(RecoveredStorage {
            storage,
            disk,
            records,
        })
    }

    /// Appends records to the log as one entry, all or none, and syncs.
    ///
    /// # Errors
    ///
    /// [`StorageError::Io`] if the disk refuses, [`StorageError::Gone`] if the folder isn't the one
    /// that was opened or an earlier write failed. The records may or may not be on the disk then.
    pub fn write(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let header = RecordHeader {
            generation: self.generation,
            entry: self.entry + 1,
        };
        self.guarded(|wal| {
            let mut entry = wal.begin_entry()?;
            for record in records {
                entry.write_chunk(&header.seal(record))?;
            }
            entry.commit().map(drop)
        })?;
        self.entry += 1;
        self.check_id()
    }

    /// Puts these records in place of all before, at once, and syncs: a snapshot with an empty log
    /// of the next generation.
    ///
    /// # Errors
    ///
    /// As [`Storage::write`]. The folder holds either all that it held before or these records.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let generation = self.generation + 1;
        // Until the new log is open, the old one takes no writes: an error here is one of the disk.
        let old = self.wal.take().ok_or(StorageError::Gone)?;
        let wal = begin_log(&self.folder, generation).map_err(StorageError::io("begin a log"))?;
        write_snapshot(&self.folder, generation, records)
            .map_err(StorageError::io("write the snapshot"))?;
        drop(old);
        remove_if_there(&self.folder.join(log_name(self.generation)))
            .map_err(StorageError::io("remove the log before the snapshot"))?;
        self.generation = generation;
        self.entry = 0;
        self.wal = Some(wal);
        self.check_id()
    }

    /// Runs a write. The library panics when even taking a failed write back fails; that too is an
    /// error of the disk. After an error the folder must be opened anew.
    fn guarded(
        &mut self,
        write: impl FnOnce(&WriteAheadLog) -> io::Result<()>,
    ) -> Result<(), StorageError> {
        let Some(wal) = self.wal.as_ref() else {
            return Err(StorageError::Gone);
        };
        let outcome = catch_unwind(AssertUnwindSafe(|| write(wal)));
        let outcome = outcome.unwrap_or_else(|_| {
            Err(io::Error::other(
                "the log could not take a failed write back",
            ))
        });
        if outcome.is_err() {
            self.wal = None;
        }
        outcome.map_err(StorageError::io("write to the log"))
    }

    /// Whether the folder is still the one that was opened.
    fn check_id(&self) -> Result<(), StorageError> {
        match read_file(&self.folder, ID) {
            Ok(Some(id)) if id == self.disk.0.to_be_bytes() => Ok(()),
            _ => Err(StorageError::Gone),
        }
    }
}

/// A folder's disk id, the generation of its log, and the records of its snapshot.
type DiskContent = (DiskId, u64, Vec<Vec<u8>>);

/// What a folder holds; `None` if it's new or was wiped in part.
fn read_disk(folder: &Path) -> Result<Option<DiskContent>, StorageError> {
    let id = read_file(folder, ID).map_err(StorageError::io("read the disk id"))?;
    let snapshot = read_file(folder, SNAPSHOT)
        .map_err(StorageError::io("read the snapshot"))?
        .map(|snapshot| parse_snapshot(&snapshot))
        .transpose()?;
    let (Some(id), Some((generation, records))) = (id, snapshot) else {
        return Ok(None);
    };
    if !has_files(&folder.join(log_name(generation))) {
        return Ok(None);
    }
    let id: [u8; 16] = id.try_into().map_err(|_| Damage::DiskId)?;
    Ok(Some((DiskId(u128::from_be_bytes(id)), generation, records)))
}

/// Opens the log of the present generation and reads it. Logs of other generations are left over
/// from a crash, and are removed.
fn recover_log(folder: &Path, generation: u64) -> Result<(WriteAheadLog, Recovered), StorageError> {
    remove_other_logs(folder, generation).map_err(StorageError::io("remove other logs"))?;
    let log = folder.join(log_name(generation));
    let empty = Recovered {
        generation,
        ..Recovered::default()
    };
    let (wal, mut recovered) = open_log(&log, empty).map_err(StorageError::io("read the log"))?;
    sync_folder(folder).map_err(StorageError::io("sync the data folder"))?;
    if let Some(damage) = recovered.damage.take() {
        return Err(damage.into());
    }
    let entry = recovered.entry;
    if has_later_entry(&log, generation, entry).map_err(StorageError::io("read the log"))? {
        return Err(Damage::EntryUnreadable(entry + 1).into());
    }
    Ok((wal, recovered))
}

fn has_files(folder: &Path) -> bool {
    fs::read_dir(folder).is_ok_and(|mut files| files.next().is_some())
}

/// Makes the folder one of a new disk. The id comes last: without it, all is made anew.
fn make_new(folder: &Path, id: DiskId) -> io::Result<()> {
    for name in [ID, SNAPSHOT] {
        match fs::remove_file(folder.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
            _ => {}
        }
    }
    sync_folder(folder)?;
    drop(begin_log(folder, FIRST)?);
    write_snapshot(folder, FIRST, &[])?;
    write_file(folder, ID, &[&id.0.to_be_bytes()])
}

#[cfg(test)]
mod tests;
