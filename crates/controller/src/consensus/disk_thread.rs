//! The thread that owns the data folder: it makes the replica's writes, and opens the folder again after a fault.

use replication::{Record, RecoveredRecords};
use std::path::Path;
use std::time::Duration;
use storage::{Damage, RecoveredStorage, Storage, StorageError};
use types::{DiskId, random_bytes};

/// An event of the disk thread, sent to the control thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// All writes up to one of them are synced.
    Written {
        /// The id of the last write that is synced.
        id: u64,
    },
    /// The disk refused an operation; the folder is opened again after a pause.
    Fault {
        /// The error, as text for logs and operators.
        why: String,
    },
    /// The folder is open and accepts writes.
    Ready {
        /// The id of the disk that the folder is on.
        disk: DiskId,
        /// The records that were read from the folder.
        recovered: RecoveredRecords,
    },
}

/// A write on its way to the disk.
pub(crate) struct DiskWrite {
    pub incarnation: u64,
    pub id: u64,
    pub records: Vec<Record>,
    pub replaces_all: bool,
}

/// Handle of the thread that owns the data folder, so that a slow disk blocks nothing else.
///
/// Invariant: every event carries the incarnation of the storage that it belongs to. An incarnation begins with
/// [`DiskEvent::Ready`], and writes of an earlier one are ignored.
pub struct DiskThread {
    writes: flume::Sender<DiskWrite>,
    incarnation: u64,
}

impl DiskThread {
    /// Starts the thread, which opens the folder. If the disk refuses that for now, or is slow, the thread tries again
    /// until the folder can be used, as it does after a later fault.
    ///
    /// # Errors
    ///
    /// Fails if the folder is damaged or can't be created, or if the thread can't be started.
    pub fn open(
        folder: &Path,
        notify: impl Fn(u64, DiskEvent) + Send + 'static,
    ) -> Result<DiskThread, StorageError> {
        let folder = folder.to_owned();
        DiskThread::open_by(move || open_folder(&folder), REOPEN_PAUSE, notify)
    }

    fn open_by(
        open: impl Fn() -> Result<RecoveredStorage, StorageError> + Send + 'static,
        pause: Duration,
        notify: impl Fn(u64, DiskEvent) + Send + 'static,
    ) -> Result<DiskThread, StorageError> {
        let (writes, inbox) = flume::unbounded();
        let (report_first, first) = flume::bounded(1);
        let work = move || {
            let opened = open();
            match opened {
                Err(fault) if !is_transient(&fault) => {
                    let _ = report_first.send(Err(fault));
                }
                opened => {
                    let _ = report_first.send(Ok(()));
                    serve_writes(&open, opened, pause, &inbox, &notify);
                }
            }
        };
        std::thread::Builder::new()
            .name("disk".into())
            .spawn(work)
            .map_err(|source| StorageError::Io {
                action: "start the disk's thread",
                source,
            })?;
        match first.recv_timeout(FIRST_DEADLINE) {
            Ok(Err(fault)) => Err(fault),
            // A slow disk blocks nothing: the outcome is reported as an event once it is known.
            Ok(Ok(())) | Err(_) => Ok(DiskThread {
                writes,
                incarnation: 1,
            }),
        }
    }

    /// Queues a write. With `replaces_all` its records replace all that were written before.
    pub fn write(&self, id: u64, records: Vec<Record>, replaces_all: bool) {
        let _ = self.writes.send(DiskWrite {
            incarnation: self.incarnation,
            id,
            records,
            replaces_all,
        });
    }

    /// Sets the incarnation of the storage that later writes are meant for.
    pub fn begin(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }
}

/// The pause before a folder is opened again after a fault.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);
/// How long [`DiskThread::open`] waits for the first outcome of opening the folder.
const FIRST_DEADLINE: Duration = Duration::from_secs(2);

/// Whether the fault is one of the disk, which may be over later, and not one of the folder.
fn is_transient(fault: &StorageError) -> bool {
    use std::io::ErrorKind::*;
    /// Linux's error number of an I/O error, for which the standard library has no kind.
    const EIO: i32 = 5;
    match fault {
        StorageError::Io { source: fault, .. } => {
            let kinds = [
                StorageFull,
                QuotaExceeded,
                ReadOnlyFilesystem,
                ResourceBusy,
                TimedOut,
                Interrupted,
                WouldBlock,
            ];
            fault.raw_os_error() == Some(EIO) || kinds.contains(&fault.kind())
        }
        StorageError::Gone => true,
        StorageError::Damaged(_) => false,
    }
}

fn open_folder(folder: &Path) -> Result<RecoveredStorage, StorageError> {
    Storage::open(folder, DiskId(u128::from_be_bytes(random_bytes())))
}

/// Decodes a folder's records. A record that can't be decoded is an error; none is skipped.
fn read_records(raw: &[Vec<u8>]) -> Result<RecoveredRecords, StorageError> {
    let read = |bytes: &Vec<u8>| {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        let record = rkyv::from_bytes::<Record, rkyv::rancor::Error>(&aligned);
        record.map_err(|error| StorageError::from(Damage::RecordContent(error.to_string())))
    };
    Ok(RecoveredRecords {
        records: raw.iter().map(read).collect::<Result<_, _>>()?,
    })
}

/// Makes the writes in order. Writes between two that replace all records go to the storage as one entry.
fn apply_writes(storage: &mut Storage, writes: &[DiskWrite]) -> Result<(), StorageError> {
    let raw = |records: &[Record]| -> Vec<Vec<u8>> {
        let archive = |record| {
            rkyv::to_bytes::<rkyv::rancor::Error>(record)
                .expect("a record can be archived")
                .to_vec()
        };
        records.iter().map(archive).collect()
    };
    let mut gathered = vec![];
    for write in writes {
        if write.replaces_all {
            // It replaces everything before it, including what has been gathered.
            gathered.clear();
            storage.replace(&raw(&write.records))?;
        } else {
            gathered.extend(raw(&write.records));
        }
    }
    if gathered.is_empty() {
        Ok(())
    } else {
        storage.write(&gathered)
    }
}

/// An opened folder whose records could be read.
struct ReadyStorage {
    storage: Storage,
    disk: DiskId,
    recovered: RecoveredRecords,
}

fn recover(opened: RecoveredStorage) -> Result<ReadyStorage, StorageError> {
    Ok(ReadyStorage {
        recovered: read_records(&opened.records)?,
        storage: opened.storage,
        disk: opened.disk,
    })
}

/// Serves writes until the control thread is gone. After a fault the folder is opened again, as the next incarnation
/// if it could be used before.
fn serve_writes(
    open: &impl Fn() -> Result<RecoveredStorage, StorageError>,
    first: Result<RecoveredStorage, StorageError>,
    pause: Duration,
    inbox: &flume::Receiver<DiskWrite>,
    notify: &impl Fn(u64, DiskEvent),
) {
    let mut incarnation = 1;
    let mut opened = first;
    loop {
        match opened.and_then(recover) {
            Ok(ready) => match serve_incarnation(ready, incarnation, inbox, notify) {
                IncarnationEnd::Disconnected => return,
                IncarnationEnd::DiskFault => incarnation += 1,
            },
            Err(fault) => notify_fault(notify, incarnation, &fault),
        }
        std::thread::sleep(pause);
        opened = open();
    }
}

/// Why an incarnation of the storage has ended.
enum IncarnationEnd {
    /// The control thread is gone.
    Disconnected,
    /// The disk refused a write, which was reported as a [`DiskEvent::Fault`].
    DiskFault,
}

/// Serves the writes of one incarnation, until the disk refuses one or the control thread is gone.
fn serve_incarnation(
    ready: ReadyStorage,
    incarnation: u64,
    inbox: &flume::Receiver<DiskWrite>,
    notify: &impl Fn(u64, DiskEvent),
) -> IncarnationEnd {
    let ReadyStorage {
        mut storage,
        disk,
        recovered,
    } = ready;
    notify(incarnation, DiskEvent::Ready { disk, recovered });
    loop {
        let Ok(first) = inbox.recv() else {
            return IncarnationEnd::Disconnected;
        };
        // Writes that were queued while the disk was busy are written together, with one sync.
        let mut writes = vec![first];
        writes.extend(inbox.drain());
        writes.retain(|write| write.incarnation == incarnation);
        let Some(last) = writes.last().map(|write| write.id) else {
            continue;
        };
        match apply_writes(&mut storage, &writes) {
            Ok(()) => notify(incarnation, DiskEvent::Written { id: last }),
            Err(fault) => {
                notify_fault(notify, incarnation, &fault);
                return IncarnationEnd::DiskFault;
            }
        }
    }
}

fn notify_fault(notify: &impl Fn(u64, DiskEvent), incarnation: u64, fault: &StorageError) {
    let why = fault.to_string();
    notify(incarnation, DiskEvent::Fault { why });
}

#[cfg(test)]
mod tests;
