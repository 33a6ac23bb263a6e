use crate::asker::{Asked, Fate};
use std::collections::BTreeMap;
use std::fmt;

/// What a campaign came to, by service.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct Report {
    /// By service.
    pub services: BTreeMap<String, ServiceReport>,
    /// Requests that loadgen itself could not send in time.
    pub late: u64,
    /// What must never be and was seen.
    pub violations: Vec<String>,
    /// Reasons of refusals, with how often.
    pub reasons: BTreeMap<String, u64>,
    /// Servers' word: requests that ran there after the client was told "refused", repeats and so on.
    /// Filled in by whoever can ask the servers.
    pub at_servers: BTreeMap<String, u64>,
}

/// One service's figures.
#[derive(Debug, Clone, Default, serde::Serialize)]
pub struct ServiceReport {
    /// Requests sent.
    pub sent: u64,
    /// Complete.
    pub complete: u64,
    /// Refused.
    pub refused: u64,
    /// Broken.
    pub broken: u64,
    /// Unknown.
    pub unknown: u64,
    /// Read on.
    pub resumed: u64,
    /// First-token times in ms: p50, p95, p99.
    pub first_ms: [f64; 3],
}

impl Report {
    /// Of these requests.
    pub fn of(asked: &[Asked], late: u64) -> Self {
        let mut report = Report {
            late,
            ..Report::default()
        };
        let mut times: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for one in asked {
            let service = report.services.entry(one.service.clone()).or_default();
            service.sent += 1;
            service.resumed += u64::from(one.resumed);
            match &one.fate {
                Fate::Complete => service.complete += 1,
                Fate::Refused(_) => service.refused += 1,
                Fate::Broken => service.broken += 1,
                Fate::Unknown(_) => service.unknown += 1,
            }
            if one.fate != Fate::Complete {
                let why: String = one
                    .why
                    .chars()
                    .filter(|c| !c.is_ascii_digit())
                    .take(90)
                    .collect();
                *report
                    .reasons
                    .entry(format!("{}: {why}", one.service))
                    .or_default() += 1;
            }
            times.entry(&one.service).or_default().extend(one.first_ms);
            report.violations.extend(one.violations.iter().cloned());
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
