//! What a soak found.

use crate::soak::schedule::{Schedule, TroubleKind};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;

/// What one check found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CheckReport {
    /// Its name.
    pub name: String,
    /// What it looked at: answers, runs, plans, processes or samples.
    pub looked_at: u64,
    /// What must never happen and did.
    pub violations: Vec<String>,
}

impl CheckReport {
    /// Whether it looked at something and found nothing.
    pub fn holds(&self) -> bool {
        self.looked_at > 0 && self.violations.is_empty()
    }
}

/// A soak's report.
#[derive(Debug, Clone, Serialize)]
pub struct SoakReport {
    /// The seed.
    pub seed: u64,
    /// How long troubles struck, in ms.
    pub span_ms: u64,
    /// Controllers and routers.
    pub processes: usize,
    /// Requests that clients sent.
    pub requests: u64,
    /// Connections opened by the clients that go on using theirs.
    pub connections: u64,
    /// How often clients saw each outcome.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// What became of the operators' plans.
    pub commands: BTreeMap<&'static str, u64>,
    /// Processes and servers struck, by trouble.
    pub troubles: BTreeMap<TroubleKind, u64>,
    /// When service was back after all troubles, in ms.
    pub recovery_ms: Option<u64>,
    /// What the checks found.
    pub checks: Vec<CheckReport>,
    /// The troubles, to be played again.
    pub schedule: Schedule,
}

impl SoakReport {
    /// Whether every check looked at something and found nothing.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(CheckReport::holds)
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} ms, {} processes, {} requests {:?}, {} kept connections, plans {:?}, troubles {:?}, back after {:?} ms",
            self.seed,
            self.span_ms,
            self.processes,
            self.requests,
            self.outcomes,
            self.connections,
            self.commands,
            self.troubles,
            self.recovery_ms
        )?;
        for check in &self.checks {
            if check.looked_at == 0 {
                writeln!(f, "  {}: looked at nothing", check.name)?;
            }
            for violation in &check.violations {
                writeln!(f, "  VIOLATION {}: {violation}", check.name)?;
            }
        }
        Ok(())
    }
}
