//! Errors that keep a controller's process from starting.

use std::io;
use storage::StorageError;
use types::Address;

/// A reason for which a controller can't start: what was tried, on which setting, and what came of it. The process
/// prints it and exits with code 2.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StartupError {
    /// A setting does not hold an address. Correct the setting.
    #[error("{reason}")]
    InvalidAddress {
        /// The parser's message, which quotes the text.
        reason: <Address as std::str::FromStr>::Err,
    },
    /// An address of the settings can't be listened at. Free the port, or name an address of this machine.
    #[error("{setting} = {address}: {source}")]
    Bind {
        /// The setting's name.
        setting: &'static str,
        /// The setting's value.
        address: Address,
        /// The operating system's error.
        source: io::Error,
    },
    /// The data folder can't be created, or is damaged. A damaged folder has to be emptied by hand.
    #[error("folder = {folder}: {source}")]
    OpenFolder {
        /// The setting's value.
        folder: String,
        /// The storage's error.
        source: StorageError,
    },
    /// A signal handler can't be registered, or a thread can't be started: the machine is short of resources.
    #[error("{0}")]
    Process(io::Error),
}
