//! What all connections of a server obey: the limits in force, and whether the server drains.

use super::limits::HttpServerLimits;
use super::safety::{RequestSafety, SafeRequests};
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::{Clock, MonotonicInstant};

/// What a server's connections obey at one moment.
#[derive(Debug, Clone)]
pub(super) struct ServerSettings {
    /// How often the settings have changed.
    pub generation: u64,
    pub limits: HttpServerLimits,
    /// Since when the limits are in force.
    pub limits_since: MonotonicInstant,
    /// Since when the server drains.
    pub draining_since: Option<MonotonicInstant>,
    /// A pipe whose other end is closed once the settings change: connections poll it.
    pub change_notifier: Arc<File>,
}

/// The settings of one server, shared by its connections.
#[derive(Debug)]
pub(super) struct ServerState {
    current: Mutex<CurrentSettings>,
    /// The current settings' generation, to be read without their lock.
    generation: AtomicU64,
    pub safety: Box<dyn RequestSafety>,
}

#[derive(Debug)]
struct CurrentSettings {
    settings: ServerSettings,
    /// Closed to wake those that poll the notifier.
    notifier_end: Option<OwnedFd>,
}

impl ServerState {
    pub(super) fn new(limits: HttpServerLimits) -> io::Result<Self> {
        let (change_notifier, notifier_end) = new_notifier()?;
        let settings = ServerSettings {
            generation: 0,
            limits,
            limits_since: Clock::now(),
            draining_since: None,
            change_notifier,
        };
        Ok(ServerState {
            current: Mutex::new(CurrentSettings {
                settings,
                notifier_end: Some(notifier_end),
            }),
            generation: AtomicU64::new(0),
            safety: Box::new(SafeRequests),
        })
    }

    /// The current settings, also after a thread has panicked with the lock: each change is complete.
    fn current(&self) -> MutexGuard<'_, CurrentSettings> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn settings(&self) -> ServerSettings {
        self.current().settings.clone()
    }

    /// Whether these are no longer the current settings.
    pub(super) fn has_changed(&self, settings: &ServerSettings) -> bool {
        self.generation.load(Ordering::SeqCst) != settings.generation
    }

    pub(super) fn is_draining(&self) -> bool {
        self.current().settings.draining_since.is_some()
    }

    pub(super) fn drain(&self) {
        let mut current = self.current();
        current
            .settings
            .draining_since
            .get_or_insert_with(Clock::now);
        self.publish(&mut current);
    }

    pub(super) fn set_limits(&self, limits: HttpServerLimits) {
        let mut current = self.current();
        if current.settings.limits != limits {
            current.settings.limits = limits;
            current.settings.limits_since = Clock::now();
            self.publish(&mut current);
        }
    }

    fn publish(&self, current: &mut CurrentSettings) {
        current.settings.generation += 1;
        self.generation
            .store(current.settings.generation, Ordering::SeqCst);
        current.notify();
    }
}

impl CurrentSettings {
    /// Wakes the connections that poll the notifier, and replaces it. Without a descriptor for that, the
    /// closed one stays: then connections poll without waiting, until the next change.
    fn notify(&mut self) {
        drop(self.notifier_end.take());
        match new_notifier() {
            Ok((notifier, end)) => {
                self.settings.change_notifier = notifier;
                self.notifier_end = Some(end);
            }
            Err(error) => tracing::warn!(%error, "no descriptor for notifying of changed limits"),
        }
    }
}

fn new_notifier() -> io::Result<(Arc<File>, OwnedFd)> {
    let (notifier, end) = rustix::pipe::pipe_with(rustix::pipe::PipeFlags::CLOEXEC)?;
    Ok((Arc::new(File::from(notifier)), end))
}
