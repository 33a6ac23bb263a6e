//! Progress of a hollow run, on standard error.

use types::{Clock, Milliseconds, MonotonicInstant};

/// Prints lines with the time since the run began.
pub(super) struct Progress {
    began: MonotonicInstant,
}

impl Progress {
    /// The run begins now.
    pub(super) fn start() -> Progress {
        Progress {
            began: Clock::now(),
        }
    }

    /// The time since the run began.
    pub(super) fn elapsed(&self) -> Milliseconds {
        Clock::now().since(self.began)
    }

    /// Prints a line.
    pub(super) fn print(&self, what: &str) {
        eprintln!("{:>7} ms  {what}", self.elapsed().0);
    }
}
