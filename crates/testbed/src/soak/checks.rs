//! What must never happen in a soak.

use crate::fleet::join_logs;
use crate::soak::recovery::{RECOVERY_BOUND, Recovery};
use crate::soak::report::CheckReport;
use crate::soak::samples::ResourceSamples;
use crate::soak::supervisor::ProcessFates;
use crate::soak::{DESCRIPTORS, MEMORY_BYTES};
use crate::stand_in::RunLog;
use loadgen::{Report, RequestRecord};

/// Violations of one check that are reported at most.
const MAX_VIOLATIONS: usize = 20;

/// What was seen in a soak.
pub(super) struct Findings<'a> {
    pub records: &'a [RequestRecord],
    pub logs: &'a [RunLog],
    pub plan: &'a str,
    pub recovery: &'a Recovery,
    pub processes: &'a ProcessFates,
    pub samples: &'a ResourceSamples,
}

impl Findings<'_> {
    /// Judges all of it.
    pub(super) fn evaluate(&self) -> Vec<CheckReport> {
        vec![
            self.responses(),
            self.runs(),
            self.accepted_plans(),
            self.service(),
            self.ended_alone(),
            self.stops(),
            self.resources(),
        ]
    }

    /// Each client gets its own answer, in order, from one run, and with its end.
    fn responses(&self) -> CheckReport {
        let answered = self.records.iter().filter(|one| one.first_ms.is_some());
        let violations = self
            .records
            .iter()
            .flat_map(|one| one.violations.clone())
            .collect();
        check("order", answered.count(), violations)
    }

    /// What was told refused ran nowhere, and what may not repeat ran once.
    fn runs(&self) -> CheckReport {
        let mut report = Report::default();
        join_logs(&mut report, self.records, self.logs, self.plan);
        check("runs", self.logs.len(), report.violations)
    }

    /// Every plan that was acknowledged is there as it was.
    fn accepted_plans(&self) -> CheckReport {
        let looked_at = self.recovery.plans as usize;
        check("config", looked_at, self.recovery.lost_plans.clone())
    }

    /// Service and core are back in time.
    fn service(&self) -> CheckReport {
        let late = [
            ("a request", &self.recovery.service),
            ("the core", &self.recovery.core),
        ]
        .into_iter()
        .filter_map(|(what, time)| match time {
            Ok(time) if *time <= RECOVERY_BOUND => None,
            Ok(time) => Some(format!("{what}: after {} ms", time.0)),
            Err(error) => Some(format!("{what}: {error}")),
        });
        check("recover", 2, late.collect())
    }

    /// No process ends by itself.
    fn ended_alone(&self) -> CheckReport {
        let looked_at = self.processes.checks as usize;
        check("ended-alone", looked_at, self.processes.ended_alone.clone())
    }

    /// Whoever is told to stop does so in time and in order.
    fn stops(&self) -> CheckReport {
        let looked_at = self.processes.stops as usize;
        check("stops", looked_at, self.processes.ended_badly.clone())
    }

    /// Each process stays within what its settings allow.
    fn resources(&self) -> CheckReport {
        let samples = self.samples;
        let mut violations = vec![];
        if samples.most_memory_bytes > MEMORY_BYTES {
            violations.push(format!("{} bytes of memory", samples.most_memory_bytes));
        }
        if samples.most_descriptors > DESCRIPTORS {
            violations.push(format!("{} descriptors", samples.most_descriptors));
        }
        check("resources", samples.count as usize, violations)
    }
}

fn check(name: &str, looked_at: usize, mut violations: Vec<String>) -> CheckReport {
    violations.truncate(MAX_VIOLATIONS);
    CheckReport {
        name: name.to_owned(),
        looked_at: looked_at as u64,
        violations,
    }
}

#[cfg(test)]
mod tests;
