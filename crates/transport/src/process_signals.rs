//! The signals that a daemon handles, from its first moments on.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::flag;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a process was told by signals.
///
/// A signal without a handler ends the process, so a daemon registers them before it reads its settings. What comes
/// while it starts is noticed once it runs.
#[derive(Debug, Clone)]
pub struct ProcessSignals {
    is_stop_requested: Arc<AtomicBool>,
    have_settings_changed: Arc<AtomicBool>,
}

impl ProcessSignals {
    /// Handles SIGTERM, SIGINT and SIGHUP from now on.
    ///
    /// # Errors
    ///
    /// A handler can't be registered.
    pub fn register() -> io::Result<ProcessSignals> {
        let signals = ProcessSignals {
            is_stop_requested: Arc::default(),
            have_settings_changed: Arc::default(),
        };
        for signal in [SIGTERM, SIGINT] {
            flag::register(signal, signals.is_stop_requested.clone())?;
        }
        flag::register(SIGHUP, signals.have_settings_changed.clone())?;
        Ok(signals)
    }

    /// Whether SIGTERM or SIGINT has come.
    pub fn is_stop_requested(&self) -> bool {
        self.is_stop_requested.load(Ordering::Relaxed)
    }

    /// Whether SIGHUP has come since this was last called.
    pub fn take_settings_change(&self) -> bool {
        self.have_settings_changed.swap(false, Ordering::Relaxed)
    }
}
