//! What all connections of a gate heed: its limits in force, and whether it leaves.

use super::framing::RequestLimits;
use std::fs::File;
use std::io;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use types::{Clock, Milliseconds, MonotonicInstant};

/// Limits of a gate that may change while it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpServerLimits {
    /// On each request.
    pub request: RequestLimits,
    /// For a head to come, from its first byte.
    pub head_span: Milliseconds,
    /// How long a connection may stay without a request.
    pub idle_span: Milliseconds,
}

/// A deliberate fault, by which the tests show that they see it.
#[cfg(test)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GateMutant {
    /// After a request that can't be read to its end, what follows is read as the next.
    KeepDoubtful,
    /// Limits are not heeded.
    IgnoreLimits,
    /// Limits bind only the connections that are opened after they came into force.
    IgnoreChanges,
}

/// What holds for a gate's connections at one moment.
#[derive(Debug, Clone)]
pub(crate) struct GateRules {
    /// How often they have changed.
    pub generation: u64,
    pub limits: HttpServerLimits,
    /// Since when those are in force.
    pub limits_since: MonotonicInstant,
    /// Since when it leaves.
    pub left: Option<MonotonicInstant>,
    /// Its other end is closed once anything here changes.
    pub bell: Arc<File>,
}

/// The rules of one gate, shared by its connections.
#[derive(Debug)]
pub(crate) struct GateState {
    held: Mutex<Held>,
    /// That of the rules held, to be looked at without their lock.
    generation: AtomicU64,
    #[cfg(test)]
    pub mutant: Option<GateMutant>,
}

#[derive(Debug)]
struct Held {
    rules: GateRules,
    rope: Option<OwnedFd>,
}

impl GateState {
    pub fn new(limits: HttpServerLimits) -> io::Result<Self> {
        let (bell, rope) = new_bell()?;
        let rules = GateRules {
            generation: 0,
            limits,
            limits_since: Clock::now(),
            left: None,
            bell,
        };
        Ok(GateState {
            held: Mutex::new(Held {
                rules,
                rope: Some(rope),
            }),
            generation: AtomicU64::new(0),
            #[cfg(test)]
            mutant: None,
        })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn rules(&self) -> GateRules {
        self.held().rules.clone()
    }

    /// Whether these are no longer those in force.
    pub fn has_changed(&self, rules: &GateRules) -> bool {
        self.generation.load(Ordering::SeqCst) != rules.generation
    }

    pub fn is_draining(&self) -> bool {
        self.held().rules.left.is_some()
    }

    pub fn leave(&self) {
        let mut held = self.held();
        held.rules.left.get_or_insert_with(Clock::now);
        self.tell_change(&mut held);
    }

    pub fn set_limits(&self, limits: HttpServerLimits) {
        let mut held = self.held();
        if held.rules.limits != limits {
            held.rules.limits = limits;
            held.rules.limits_since = Clock::now();
            self.tell_change(&mut held);
        }
    }

    fn tell_change(&self, held: &mut Held) {
        held.rules.generation += 1;
        self.generation
            .store(held.rules.generation, Ordering::SeqCst);
        held.ring();
    }

    #[cfg(test)]
    pub fn is_mutant(&self, mutant: GateMutant) -> bool {
        self.mutant == Some(mutant)
    }
}

impl Held {
    /// Wakes whoever waits with the bell, and hangs up a new one. Without a descriptor for that, the rung
    /// one stays: then connections look again and again, until the next change.
    fn ring(&mut self) {
        drop(self.rope.take());
        match new_bell() {
            Ok((bell, rope)) => (self.rules.bell, self.rope) = (bell, Some(rope)),
            Err(fault) => tracing::warn!("gate: no descriptor to tell changes by: {fault}."),
        }
    }
}

fn new_bell() -> io::Result<(Arc<File>, OwnedFd)> {
    let (bell, rope) = rustix::pipe::pipe_with(rustix::pipe::PipeFlags::CLOEXEC)?;
    Ok((Arc::new(File::from(bell)), rope))
}
