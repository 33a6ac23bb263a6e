use crate::checked_file::{read_file, write_file};
use okaywal::{Configuration, Entry, EntryId, LogManager, SegmentReader, WriteAheadLog};
use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use types::DiskId;

/// Why a folder can't be used. Nothing in it is served.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The disk refused.
    #[error("the disk refused: {0}")]
    Io(#[from] io::Error),
    /// What is there isn't what was written.
    #[error("the folder is damaged: {0}")]
    Damaged(String),
    /// The folder was emptied while in use.
    #[error("the folder was emptied or replaced while in use")]
    Gone,
}

/// A data folder that is open for writing.
///
/// Invariants: a record that [`Storage::write`] returned for is synced. Records count from the last
/// snapshot on: each carries the snapshot's generation, and others are passed over. Entries are numbered
/// without gaps within a generation, and one begins only after the one before is synced. Each generation has
/// a log folder of its own, which is there, whole and synced, before the snapshot that names it: no file of a
/// log is ever renamed or taken up again. The disk id is in the folder before any record is.
pub struct Storage {
    folder: PathBuf,
    disk: DiskId,
    generation: u64,
    entry: u64,
    wal: Option<WriteAheadLog>,
}

/// What opening a folder gave.
pub struct RecoveredStorage {
    /// To write to it.
    pub storage: Storage,
    /// Which disk this is.
    pub disk: DiskId,
    /// All records since the last snapshot, that one's own first.
    pub records: Vec<Vec<u8>>,
}

const ID: &str = "disk-id";
const SNAPSHOT: &str = "snapshot";

/// Where builds before logs by generation had theirs.
const EARLIER_LOG: &str = "log";

/// The folder of a generation's log.
fn log_name(generation: u64) -> String {
    format!("log-{generation}")
}

fn sync_folder(folder: &Path) -> io::Result<()> {
    fs::File::open(folder)?.sync_all()
}

/// Syncs all files in a folder, and their names.
fn sync_files(folder: &Path) -> io::Result<()> {
    for file in fs::read_dir(folder)? {
        fs::File::open(file?.path())?.sync_all()?;
    }
    sync_folder(folder)
}

fn remove_if_there(folder: &Path) -> io::Result<()> {
    match fs::remove_dir_all(folder) {
        Err(fault) if fault.kind() != io::ErrorKind::NotFound => Err(fault),
        _ => Ok(()),
    }
}

/// Removes the logs of all generations but this one.
fn remove_other_logs(folder: &Path, generation: u64) -> io::Result<()> {
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

/// Opens the log in this folder, and makes it if there is none. What it gives is synced, whoever wrote it.
fn open_log(log: &Path, recovered: Recovered) -> io::Result<(WriteAheadLog, Recovered)> {
    let shared = Arc::new(Mutex::new(recovered));
    // The library's own way with long logs renames segments; a snapshot begins a new log instead.
    let wal = Configuration::default_for(log)
        .checkpoint_after_bytes(u64::MAX)
        .open(Manager(shared.clone()))?;
    sync_files(log)?;
    let mut recovered = shared.lock().expect("recovery has ended");
    Ok((wal, std::mem::take(&mut *recovered)))
}

/// What stands before each record in the log.
const RECORD_HEAD: usize = 28;
const MAGIC: [u8; 4] = *b"cbre";

/// A record's head: which generation and entry it belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RecordHead {
    generation: u64,
    entry: u64,
}

impl RecordHead {
    fn seal(self, record: &[u8]) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(RECORD_HEAD + record.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.generation.to_be_bytes());
        bytes.extend_from_slice(&self.entry.to_be_bytes());
        bytes.extend_from_slice(&(record.len() as u32).to_be_bytes());
        let check = RecordHead::check(&bytes, record);
        bytes.extend_from_slice(&check.to_be_bytes());
        bytes.extend_from_slice(record);
        bytes
    }
    /// The record that these bytes begin with, if they do.
    fn open(bytes: &[u8]) -> Option<(RecordHead, &[u8])> {
        let (head, rest) = bytes.split_at_checked(RECORD_HEAD)?;
        let number =
            |from: usize| u64::from_be_bytes(head[from..from + 8].try_into().unwrap_or_default());
        let word =
            |from: usize| u32::from_be_bytes(head[from..from + 4].try_into().unwrap_or_default());
        let record = rest.get(..word(20) as usize)?;
        let is_good = head[..4] == MAGIC && word(24) == RecordHead::check(&head[..24], record);
        is_good.then_some((
            RecordHead {
                generation: number(4),
                entry: number(12),
            },
            record,
        ))
    }
    fn check(head: &[u8], record: &[u8]) -> u32 {
        let mut check = crc32fast::Hasher::new();
        check.update(head);
        check.update(record);
        check.finalize()
    }
}

/// Whether a log holds an entry that comes after a missing one. The log's own reading ends at the
/// first entry that is damaged, as if it had been torn while it was written; but the next entry only
/// begins once that one is synced, so it tells the two apart.
fn has_later_entry(log: &Path, generation: u64, last: u64) -> io::Result<bool> {
    for file in fs::read_dir(log)? {
        let bytes = fs::read(file?.path())?;
        let starts = bytes
            .windows(MAGIC.len())
            .enumerate()
            .filter(|(_, window)| *window == MAGIC);
        for (start, _) in starts {
            let found = RecordHead::open(&bytes[start..]);
            if found.is_some_and(|(head, _)| head.generation == generation && head.entry > last + 1)
            {
                return Ok(true);
            }
        }
    }
    Ok(false)
}

impl Storage {
    /// Opens a folder. One that is empty, or was wiped in part, becomes a new disk with this id.
    pub fn open(folder: &Path, new_id: DiskId) -> Result<RecoveredStorage, StorageError> {
        fs::create_dir_all(folder)?;
        if has_files(&folder.join(EARLIER_LOG)) {
            return Err(StorageError::Damaged(
                "an earlier build, whose log this one does not read, wrote it".into(),
            ));
        }
        let id = read_file(folder, ID)?;
        let snapshot = read_file(folder, SNAPSHOT)?
            .map(|snapshot| parse_snapshot(&snapshot))
            .transpose()?;
        let (disk, generation, mut records) = match (id, snapshot) {
            (Some(id), Some((generation, records)))
                if has_files(&folder.join(log_name(generation))) =>
            {
                let id: [u8; 16] = id
                    .try_into()
                    .map_err(|_| StorageError::Damaged("the disk id is not one".into()))?;
                (DiskId(u128::from_be_bytes(id)), generation, records)
            }
            _ => {
                // Whatever is left over belongs to a disk that is no more.
                make_new(folder, new_id)?;
                (new_id, FIRST, vec![])
            }
        };
        remove_other_logs(folder, generation)?;
        let log = folder.join(log_name(generation));
        let (wal, mut recovered) = open_log(
            &log,
            Recovered {
                generation,
                ..Recovered::default()
            },
        )?;
        sync_folder(folder)?;
        if let Some(damage) = recovered.damage.take() {
            return Err(StorageError::Damaged(damage));
        }
        records.append(&mut recovered.records);
        let entry = recovered.entry;
        if has_later_entry(&log, generation, entry)? {
            return Err(StorageError::Damaged(format!(
                "entry {} can't be read, and later ones are there",
                entry + 1
            )));
        }
        let storage = Storage {
            folder: folder.to_owned(),
            disk,
            generation,
            entry,
            wal: Some(wal),
        };
        Ok(RecoveredStorage {
            storage,
            disk,
            records,
        })
    }

    /// Appends records, all or none, and syncs.
    pub fn write(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let head = RecordHead {
            generation: self.generation,
            entry: self.entry + 1,
        };
        self.guarded(|wal| {
            let mut entry = wal.begin_entry()?;
            for record in records {
                entry.write_chunk(&head.seal(record))?;
            }
            entry.commit().map(drop)
        })?;
        self.entry += 1;
        self.check_id()
    }

    /// Puts these records in place of all before, at once, and syncs.
    pub fn replace(&mut self, records: &[Vec<u8>]) -> Result<(), StorageError> {
        let generation = self.generation + 1;
        let heads: Vec<[u8; 8]> = records
            .iter()
            .map(|record| (record.len() as u64).to_be_bytes())
            .collect();
        let (generation_bytes, count) = (
            generation.to_be_bytes(),
            (records.len() as u64).to_be_bytes(),
        );
        let mut parts: Vec<&[u8]> = vec![&generation_bytes, &count];
        for (head, record) in heads.iter().zip(records) {
            parts.push(head);
            parts.push(record);
        }
        // Until the new log is open, the old one takes no writes: a fault here is one of the disk.
        let old = self.wal.take().ok_or(StorageError::Gone)?;
        let wal = begin_log(&self.folder, generation)?;
        write_file(&self.folder, SNAPSHOT, &parts)?;
        drop(old);
        remove_if_there(&self.folder.join(log_name(self.generation)))?;
        self.generation = generation;
        self.entry = 0;
        self.wal = Some(wal);
        self.check_id()
    }

    /// Runs a write. The log panics when even taking a failed write back fails; that too is a fault
    /// of the disk. After a fault the folder must be opened anew.
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
        Ok(outcome?)
    }

    /// Whether the folder is still the one that was opened.
    fn check_id(&self) -> Result<(), StorageError> {
        match read_file(&self.folder, ID) {
            Ok(Some(id)) if id == self.disk.0.to_be_bytes() => Ok(()),
            _ => Err(StorageError::Gone),
        }
    }
}

/// The generation of a folder that no snapshot has replaced yet.
const FIRST: u64 = 1;

fn has_files(folder: &Path) -> bool {
    fs::read_dir(folder).is_ok_and(|mut files| files.next().is_some())
}

/// Makes an empty log, synced with its name, in place of one that was begun and not taken into use.
fn begin_log(folder: &Path, generation: u64) -> io::Result<WriteAheadLog> {
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

/// Makes the folder one of a new disk. The id comes last: without it, all is made anew.
fn make_new(folder: &Path, id: DiskId) -> io::Result<()> {
    for name in [ID, SNAPSHOT] {
        match fs::remove_file(folder.join(name)) {
            Err(fault) if fault.kind() != io::ErrorKind::NotFound => return Err(fault),
            _ => {}
        }
    }
    sync_folder(folder)?;
    drop(begin_log(folder, FIRST)?);
    write_file(
        folder,
        SNAPSHOT,
        &[&FIRST.to_be_bytes(), &0u64.to_be_bytes()],
    )?;
    write_file(folder, ID, &[&id.0.to_be_bytes()])
}

fn parse_snapshot(snapshot: &[u8]) -> Result<(u64, Vec<Vec<u8>>), StorageError> {
    let torn = || StorageError::Damaged("the snapshot ends early".into());
    let number = |place: usize| {
        let bytes = snapshot.get(place..place + 8).ok_or_else(torn)?;
        Ok::<u64, StorageError>(u64::from_be_bytes(bytes.try_into().map_err(|_| torn())?))
    };
    let (generation, count) = (number(0)?, number(8)?);
    let (mut place, mut records) = (16, vec![]);
    for _ in 0..count {
        let length = number(place)? as usize;
        place += 8;
        let end = place.checked_add(length).ok_or_else(torn)?;
        records.push(snapshot.get(place..end).ok_or_else(torn)?.to_vec());
        place = end;
    }
    Ok((generation, records))
}

#[derive(Debug, Default)]
struct Recovered {
    generation: u64,
    /// The last entry of this generation.
    entry: u64,
    records: Vec<Vec<u8>>,
    damage: Option<String>,
}

#[derive(Debug)]
struct Manager(Arc<Mutex<Recovered>>);

impl LogManager for Manager {
    fn recover(&mut self, entry: &mut Entry<'_>) -> io::Result<()> {
        // An entry whose bytes aren't those written was torn as power failed, or damaged later: it's
        // passed over, and if entries come after it that tells the two apart.
        let chunks = match entry.read_all_chunks() {
            Ok(Some(chunks)) => chunks,
            Ok(None) => return Ok(()),
            Err(fault) if fault.kind() == io::ErrorKind::InvalidData => return Ok(()),
            Err(fault) => return Err(fault),
        };
        let mut recovered = self.0.lock().expect("recovery is on one thread");
        for chunk in chunks {
            match RecordHead::open(&chunk) {
                Some((head, record)) if head.generation == recovered.generation => {
                    let is_next =
                        head.entry == recovered.entry || head.entry == recovered.entry + 1;
                    if !is_next {
                        recovered.damage = Some(format!(
                            "entry {} follows entry {}",
                            head.entry, recovered.entry
                        ));
                    }
                    recovered.entry = head.entry;
                    recovered.records.push(record.to_vec());
                }
                Some(_) => {}
                None => recovered.damage = Some("a record fails its check".into()),
            }
        }
        Ok(())
    }

    /// Only called for a segment that is followed by another: there is one, as the log is never cut.
    fn checkpoint_to(
        &mut self,
        _: EntryId,
        _: &mut SegmentReader,
        _: &WriteAheadLog,
    ) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
