//! Why a data folder can't be used.

use std::io;

/// Why a data folder can't be used. Nothing in it is served; after any error
/// it must be opened anew.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// The operating system refused an operation. A full disk or one that hangs may recover: open
    /// the folder again later.
    #[error("could not {action}: {source}; free or repair the disk, then open the folder again")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// What is there isn't what was written. Opening the folder again doesn't help: move it away,
    /// and let the replica catch up with an empty one.
    #[error("the data folder is damaged: {0}; move it away and start with an empty one")]
    Damaged(#[from] Damage),
    /// The folder was emptied or replaced while it was in use. Opening it again
    /// makes it a new disk.
    #[error("the data folder was emptied or replaced while in use; it must be opened again")]
    Gone,
}

impl StorageError {
    /// Gives an I/O error the action that failed, for `map_err`.
    pub(crate) fn io(action: &'static str) -> impl FnOnce(io::Error) -> StorageError {
        move |source| StorageError::Io { action, source }
    }
}

/// What is wrong with a data folder.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Damage {
    /// The folder has a log in the form of an earlier build, which this one doesn't read.
    #[error("an earlier build, whose log this one does not read, wrote it")]
    EarlierBuild,
    /// The file of the disk id doesn't hold 16 bytes.
    #[error("the disk id is not one")]
    DiskId,
    /// The snapshot is shorter than it says.
    #[error("the snapshot ends early")]
    SnapshotTorn,
    /// The checksum of a record in the log doesn't match.
    #[error("a record fails its check")]
    RecordCheck,
    /// Entries of the log are missing between these two.
    #[error("entry {found} follows entry {before}")]
    EntryGap {
        /// The last entry before the gap.
        before: u64,
        /// The entry that follows it.
        found: u64,
    },
    /// An entry can't be read although later ones can, so it wasn't torn while it was written.
    #[error("entry {0} can't be read, and later ones are there")]
    EntryUnreadable(u64),
    /// A record passes its check, but its bytes aren't a record of the reader's.
    #[error("a record can't be read: {0}")]
    RecordContent(String),
}
