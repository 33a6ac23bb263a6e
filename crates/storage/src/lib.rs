//! A data folder: records that are synced before they are acknowledged, and a snapshot that replaces
//! all before it at once.

mod checked_file;
mod write_ahead_log;

pub use checked_file::{read_file, write_file};
pub use write_ahead_log::{RecoveredStorage, Storage, StorageError};
