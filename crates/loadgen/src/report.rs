//! The figures of a load test.

use crate::client::{Outcome, RequestRecord};
use std::collections::BTreeMap;
use std::fmt;

/// The result of a load test.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Report {
    /// The figures of each service, by its name.
    pub services: BTreeMap<String, ServiceReport>,
    /// Requests that the load generator itself could not send in time.
    pub late: u64,
    /// What must never happen and did.
    pub violations: Vec<String>,
    /// How often requests failed, by service and reason without digits.
    pub reasons: BTreeMap<String, u64>,
    /// What servers' logs show, such as requests that ran after the client was told "refused"; filled in by
    /// whoever can read the logs.
    pub at_servers: BTreeMap<String, u64>,
}

/// One service's figures.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ServiceReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests whose complete response came.
    pub complete: u64,
    /// Requests that were refused and never ran.
    pub refused: u64,
    /// Requests whose stream broke off.
    pub broken: u64,
    /// Requests of which the client doesn't know whether they ran.
    pub unknown: u64,
    /// How often streams were resumed.
    pub resumed: u64,
    /// First-token times in ms: p50, p95, p99.
    pub first_ms: [f64; 3],
}

impl Report {
    /// Returns the report on these requests, of which `late` more could not be sent.
    pub fn of(records: &[RequestRecord], late: u64) -> Self {
        let mut report = Report {
            late,
            ..Report::default()
        };
        let mut times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for record in records {
            let service = report.services.entry(record.service.clone()).or_default();
            service.sent += 1;
            service.resumed += u64::from(record.resumed);
            match &record.outcome {
                Outcome::Complete => service.complete += 1,
                Outcome::Refused(_) => service.refused += 1,
                Outcome::Broken => service.broken += 1,
                Outcome::Unknown(_) => service.unknown += 1,
            }
            if record.outcome != Outcome::Complete {
                let why: String = record
                    .why
                    .chars()
                    .filter(|c| !c.is_ascii_digit())
                    .take(90)
                    .collect();
                *report
                    .reasons
                    .entry(format!("{}: {why}", record.service))
                    .or_default() += 1;
            }
            times
                .entry(&record.service)
                .or_default()
                .extend(record.first_ms);
            report.violations.extend(record.violations.iter().cloned());
        }
        for (service, mut times) in times {
            times.sort_by(f64::total_cmp);
            let at = |part: f64| {
                times.get(((times.len() as f64 * part) as usize).min(times.len().max(1) - 1))
            };
            if let Some(found) = report.services.get_mut(service) {
                found.first_ms = [0.50, 0.95, 0.99].map(|part| at(part).copied().unwrap_or(0.0));
            }
        }
        report
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "service      sent complete refused broken unknown resumed  first piece p50/p95/p99 ms"
        )?;
        for (name, s) in &self.services {
            let [p50, p95, p99] = s.first_ms;
            writeln!(
                f,
                "{name:10} {:6} {:8} {:7} {:6} {:7} {:7}  {p50:.0} / {p95:.0} / {p99:.0}",
                s.sent, s.complete, s.refused, s.broken, s.unknown, s.resumed
            )?;
        }
        self.reasons
            .iter()
            .try_for_each(|(why, count)| writeln!(f, "  {count} x {why}"))?;
        self.at_servers
            .iter()
            .try_for_each(|(what, count)| writeln!(f, "  at servers: {what}: {count}"))?;
        writeln!(
            f,
            "late at the source: {}, violations: {}",
            self.late,
            self.violations.len()
        )?;
        self.violations
            .iter()
            .take(20)
            .try_for_each(|violation| writeln!(f, "  VIOLATION {violation}"))
    }
}
