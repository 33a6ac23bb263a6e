use crate::prelude::*;
use std::path::Path;
use std::time::Duration;

/// What the disk's own thread tells the control thread.
#[derive(Debug)]
pub enum ShelfEvent {
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
        kept: Kept,
    },
}

/// A write on its way to the disk.
pub(crate) struct Sheet {
    pub life: u64,
    pub id: u64,
    pub records: Vec<Record>,
    pub is_whole: bool,
}

/// The thread that owns the data folder, so that a slow disk holds nothing else up.
///
/// Invariant: events carry the life that they belong to; a life begins with `Ready`, and sheets of
/// an earlier one are passed over.
pub struct Shelf {
    sheets: flume::Sender<Sheet>,
    life: u64,
}

impl Shelf {
    /// Starts the thread, which opens the folder. One that can't exist, or is damaged, is a fault at once. One
    /// that the disk refuses now, or is slow with, is tried until it can be used, as one that fails later is.
    pub fn open(folder: &Path, tell: impl Fn(u64, ShelfEvent) + Send + 'static) -> Result<Shelf, FolioFault> {
        let folder = folder.to_owned();
        Shelf::open_by(move || open_folder(&folder), PAUSE, tell)
    }

    fn open_by(
        open: impl Fn() -> Result<Opened, FolioFault> + Send + 'static,
        pause: Duration,
        tell: impl Fn(u64, ShelfEvent) + Send + 'static,
    ) -> Result<Shelf, FolioFault> {
        let (sheets, inbox) = flume::unbounded();
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
        std::thread::Builder::new().name("shelf".into()).spawn(work).map_err(FolioFault::Io)?;
        match first.recv_timeout(FIRST_DUE) {
            Ok(Err(fault)) => Err(fault),
            // A slow disk holds nothing up: what comes of it is told when it's known.
            Ok(Ok(())) | Err(_) => Ok(Shelf { sheets, life: 1 }),
        }
    }

    /// Hands a write over.
    pub fn write(&self, id: u64, records: Vec<Record>, is_whole: bool) {
        let _ = self.sheets.send(Sheet { life: self.life, id, records, is_whole });
    }
    /// The control thread has taken up this life.
    pub fn begin(&mut self, life: u64) {
        self.life = life;
    }
}

/// Between tries to open a folder.
const PAUSE: Duration = Duration::from_millis(500);
/// Whether a folder can be used at all is waited for this long.
const FIRST_DUE: Duration = Duration::from_secs(2);

/// Whether it's the disk's trouble, which may pass, and not the folder's.
fn may_pass(fault: &FolioFault) -> bool {
    use std::io::ErrorKind::*;
    /// Linux's number of an I/O error, which has no kind of its own.
    const EIO: i32 = 5;
    match fault {
        FolioFault::Io(fault) => {
            let kinds =
                [StorageFull, QuotaExceeded, ReadOnlyFilesystem, ResourceBusy, TimedOut, Interrupted, WouldBlock];
            fault.raw_os_error() == Some(EIO) || kinds.contains(&fault.kind())
        }
        FolioFault::Gone => true,
        FolioFault::Damaged(_) => false,
    }
}

fn open_folder(folder: &Path) -> Result<Opened, FolioFault> {
    Folio::open(folder, DiskId(u128::from_be_bytes(random_bytes())))
}

/// Turns a folder's records into the replica's; damage is a fault, never passed over.
fn read_records(raw: &[Vec<u8>]) -> Result<Kept, FolioFault> {
    let read = |bytes: &Vec<u8>| {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        let record = rkyv::from_bytes::<Record, rkyv::rancor::Error>(&aligned);
        record.map_err(|fault| FolioFault::Damaged(format!("a record can't be read: {fault}")))
    };
    Ok(Kept { records: raw.iter().map(read).collect::<Result<_, _>>()? })
}

/// Writes sheets in order; those between two whole ones are one entry.
fn write_sheets(folio: &mut Folio, sheets: &[Sheet]) -> Result<(), FolioFault> {
    let raw = |records: &[Record]| -> Vec<Vec<u8>> {
        let archive =
            |record| rkyv::to_bytes::<rkyv::rancor::Error>(record).expect("a record can be archived").to_vec();
        records.iter().map(archive).collect()
    };
    let mut gathered = vec![];
    for sheet in sheets {
        if sheet.is_whole {
            // It stands for all before it, what is gathered included.
            gathered.clear();
            folio.replace(&raw(&sheet.records))?;
        } else {
            gathered.extend(raw(&sheet.records));
        }
    }
    if gathered.is_empty() { Ok(()) } else { folio.write(&gathered) }
}

fn keep(
    open: &impl Fn() -> Result<Opened, FolioFault>,
    first: Result<Opened, FolioFault>,
    pause: Duration,
    inbox: &flume::Receiver<Sheet>,
    tell: &impl Fn(u64, ShelfEvent),
) {
    let mut life = 1;
    let mut opened = first;
    loop {
        let ready = opened.and_then(|o| read_records(&o.records).map(|kept| (o.folio, o.disk, kept)));
        let (mut folio, disk, kept) = match ready {
            Ok(ready) => ready,
            Err(fault) => {
                tell(life, ShelfEvent::Fault { why: fault.to_string() });
                std::thread::sleep(pause);
                opened = open();
                continue;
            }
        };
        tell(life, ShelfEvent::Ready { disk, kept });
        let fault = loop {
            let Ok(sheet) = inbox.recv() else { return };
            // What came while the disk was at work goes to it together, with one sync.
            let mut sheets = vec![sheet];
            sheets.extend(inbox.drain());
            sheets.retain(|sheet| sheet.life == life);
            let Some(last) = sheets.last().map(|sheet| sheet.id) else { continue };
            let outcome = write_sheets(&mut folio, &sheets);
            match outcome {
                Ok(()) => tell(life, ShelfEvent::Written { id: last }),
                Err(fault) => break fault,
            }
        };
        tell(life, ShelfEvent::Fault { why: fault.to_string() });
        drop(folio);
        std::thread::sleep(pause);
        life += 1;
        opened = open();
    }
}

#[cfg(test)]
mod tests;
