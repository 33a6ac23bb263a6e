use replication::{Record, RecoveredRecords};
use std::path::Path;
use std::time::Duration;
use storage::{Damage, RecoveredStorage, Storage, StorageError};
use types::{DiskId, random_bytes};

/// What the disk's own thread tells the control thread.
#[derive(Debug)]
pub enum DiskEvent {
    /// Writes up to this one are synced.
    Written {
        /// Its id.
        id: u64,
    },
    /// The disk refused; the folder is being opened anew.
    Fault {
        /// Why.
        why: String,
    },
    /// The folder takes writes (again); this is what it holds.
    Ready {
        /// Which disk it is now.
        disk: DiskId,
        /// Its records.
        kept: RecoveredRecords,
    },
}

/// A write on its way to the disk.
pub(crate) struct DiskWrite {
    pub incarnation: u64,
    pub id: u64,
    pub records: Vec<Record>,
    pub is_whole: bool,
}

/// The thread that owns the data folder, so that a slow disk holds nothing else up.
///
/// Invariant: events carry the life that they belong to; a life begins with `Ready`, and writes of
/// an earlier one are passed over.
pub struct DiskThread {
    writes: flume::Sender<DiskWrite>,
    incarnation: u64,
}

impl DiskThread {
    /// Starts the thread, which opens the folder. One that can't exist, or is damaged, is a fault at once. One
    /// that the disk refuses now, or is slow with, is tried until it can be used, as one that fails later is.
    pub fn open(
        folder: &Path,
        tell: impl Fn(u64, DiskEvent) + Send + 'static,
    ) -> Result<DiskThread, StorageError> {
        let folder = folder.to_owned();
        DiskThread::open_by(move || open_folder(&folder), PAUSE, tell)
    }

    fn open_by(
        open: impl Fn() -> Result<RecoveredStorage, StorageError> + Send + 'static,
        pause: Duration,
        tell: impl Fn(u64, DiskEvent) + Send + 'static,
    ) -> Result<DiskThread, StorageError> {
        let (writes, inbox) = flume::unbounded();
        let (say_first, first) = flume::bounded(1);
        let work = move || {
            let opened = open();
            match opened {
                Err(fault) if !may_pass(&fault) => {
                    let _ = say_first.send(Err(fault));
                }
                opened => {
                    let _ = say_first.send(Ok(()));
                    keep(&open, opened, pause, &inbox, &tell);
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
            // A slow disk holds nothing up: what comes of it is told when it's known.
            Ok(Ok(())) | Err(_) => Ok(DiskThread {
                writes,
                incarnation: 1,
            }),
        }
    }

    /// Hands a write over.
    pub fn write(&self, id: u64, records: Vec<Record>, is_whole: bool) {
        let _ = self.writes.send(DiskWrite {
            incarnation: self.incarnation,
            id,
            records,
            is_whole,
        });
    }
    /// The control thread has taken up this life.
    pub fn begin(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
    }
}

/// Between tries to open a folder.
const PAUSE: Duration = Duration::from_millis(500);
/// Whether a folder can be used at all is waited for this long.
const FIRST_DEADLINE: Duration = Duration::from_secs(2);

/// Whether it's the disk's trouble, which may pass, and not the folder's.
fn may_pass(fault: &StorageError) -> bool {
    use std::io::ErrorKind::*;
    /// Linux's number of an I/O error, which has no kind of its own.
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

/// Turns a folder's records into the replica's; damage is a fault, never passed over.
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

/// Has writes made in order; those between two whole ones are one entry.
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
        if write.is_whole {
            // It stands for all before it, what is gathered included.
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

fn keep(
    open: &impl Fn() -> Result<RecoveredStorage, StorageError>,
    first: Result<RecoveredStorage, StorageError>,
    pause: Duration,
    inbox: &flume::Receiver<DiskWrite>,
    tell: &impl Fn(u64, DiskEvent),
) {
    let mut incarnation = 1;
    let mut opened = first;
    loop {
        let ready =
            opened.and_then(|o| read_records(&o.records).map(|kept| (o.storage, o.disk, kept)));
        let (mut storage, disk, kept) = match ready {
            Ok(ready) => ready,
            Err(fault) => {
                tell(
                    incarnation,
                    DiskEvent::Fault {
                        why: fault.to_string(),
                    },
                );
                std::thread::sleep(pause);
                opened = open();
                continue;
            }
        };
        tell(incarnation, DiskEvent::Ready { disk, kept });
        let fault = loop {
            let Ok(write) = inbox.recv() else { return };
            // What came while the disk was at work goes to it together, with one sync.
            let mut writes = vec![write];
            writes.extend(inbox.drain());
            writes.retain(|write| write.incarnation == incarnation);
            let Some(last) = writes.last().map(|write| write.id) else {
                continue;
            };
            let outcome = apply_writes(&mut storage, &writes);
            match outcome {
                Ok(()) => tell(incarnation, DiskEvent::Written { id: last }),
                Err(fault) => break fault,
            }
        };
        tell(
            incarnation,
            DiskEvent::Fault {
                why: fault.to_string(),
            },
        );
        drop(storage);
        std::thread::sleep(pause);
        incarnation += 1;
        opened = open();
    }
}

#[cfg(test)]
mod tests;
