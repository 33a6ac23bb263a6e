//! The data folder of a replica: a write-ahead log of records, and a snapshot that replaces
//! everything before it.
//!
//! A folder holds:
//!
//! | name | content |
//! | --- | --- |
//! | `disk-id` | the id that was drawn when the folder was first used, 16 bytes; written last when a folder is set up |
//! | `snapshot` | its generation, and the records that stand for everything before that generation's log |
//! | `log-N` | the log of generation `N`, segments of the library `okaywal` |
//!
//! Rules, and what breaks without them:
//!
//! - A record is acknowledged only once it is synced: otherwise a loss of power
//!   takes back what a replica said.
//! - Each snapshot begins a log of its own, which is complete and synced before the snapshot names
//!   it: a crash between the two leaves the old snapshot with the old log. No file of a log is ever
//!   renamed or reused.
//! - Each record carries its generation and entry number and a checksum, so that damage in the
//!   middle of a log is told from an entry that was torn by a loss of power: the former must not be
//!   served, the latter was never acknowledged.
//! - A folder without its disk id is another disk: its replica may have forgotten promises, so it
//!   must not vote as the old one.

mod checked_file;
mod data_folder;
mod error;
mod log;
mod record_frame;
mod snapshot_file;

pub use checked_file::{read_file, write_file};
pub use data_folder::{RecoveredStorage, Storage};
pub use error::{Damage, StorageError};
