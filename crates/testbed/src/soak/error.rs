//! Why a soak could not run.

use std::io;

/// Why a soak could not run: nothing was judged.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The fleet has too few processes, or more than the machine bears.
    #[error("{processes} processes: a fleet has 4 at least, and this machine bears {most}")]
    Size {
        /// How many were asked for.
        processes: usize,
        /// How many the machine bears.
        most: usize,
    },
    /// The system doesn't tell its memory.
    #[error("the machine's memory is unknown: {0}")]
    UnknownMemory(#[from] procfs::ProcError),
    /// A trouble strikes what the fleet doesn't have.
    #[error("the trouble at {at_ms} ms strikes `{target}`, which this fleet doesn't have")]
    UnknownTarget {
        /// When the trouble strikes.
        at_ms: u64,
        /// What it strikes.
        target: String,
    },
    /// A stand-in or a process can't be started.
    #[error("the processes can't be started (is the whole workspace built?): {0}")]
    Start(#[from] io::Error),
    /// The fleet did not come up.
    #[error("the fleet didn't come up: {0}")]
    NotUp(String),
    /// A signal to stop came.
    #[error("interrupted")]
    Interrupted,
    /// A file can't be read or written.
    #[error("{path}: {error}")]
    File {
        /// The file.
        path: String,
        /// What is wrong.
        error: String,
    },
}
