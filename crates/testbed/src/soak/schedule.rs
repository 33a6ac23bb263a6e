//! The troubles of a soak: drawn from a seed, written out, and read back to be played again or shortened.

use crate::soak::error::SoakError;
use placement::mix;
use serde::{Deserialize, Serialize};
use simulator::Shape;
use std::collections::{BTreeMap, BTreeSet};
use types::Milliseconds;

/// Between two series of troubles, on average.
const MEAN_GAP_MS: u64 = 1400;
/// Before this the fleet is left in peace, so that clients are connected.
const FIRST_TROUBLE_MS: u64 = 800;

/// What befalls a process or a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TroubleKind {
    /// SIGKILL; it is started again later.
    Kill,
    /// SIGTERM; it is started again once it has ended.
    Terminate,
    /// SIGHUP alone.
    Hangup,
    /// SIGSTOP, and SIGCONT later.
    Freeze,
    /// Its settings name their seeds in another order, without a signal.
    SettingsChange,
    /// The same, and SIGHUP.
    AnnouncedSettingsChange,
    /// A server says nothing for a while.
    UnresponsiveServer,
}

/// One trouble.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trouble {
    /// When it strikes, in ms from the start.
    pub at_ms: u64,
    /// What it is.
    pub kind: TroubleKind,
    /// The names of the processes, such as `router-2`, or of servers, such as `model-0`.
    pub targets: Vec<String>,
    /// How long a process is down or frozen, or a server silent, in ms.
    pub for_ms: u64,
}

/// The troubles of a soak, by time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// All of them.
    pub troubles: Vec<Trouble>,
}

impl Schedule {
    /// Draws the troubles of a fleet.
    pub fn draw(seed: u64, span: Milliseconds, shape: &Shape) -> Schedule {
        let mut draw = Draw::new(seed);
        let mut troubles = vec![];
        let mut at_ms = FIRST_TROUBLE_MS;
        while at_ms < span.0 {
            troubles.extend(draw.series(at_ms, shape));
            at_ms += 100 + draw.below(2 * MEAN_GAP_MS);
        }
        troubles.retain(|trouble: &Trouble| trouble.at_ms < span.0);
        troubles.sort_by_key(|trouble| trouble.at_ms);
        Schedule { troubles }
    }

    /// Checks that it can be played on a fleet.
    ///
    /// # Errors
    ///
    /// A trouble strikes what the fleet doesn't have.
    pub fn check(&self, shape: &Shape) -> Result<(), SoakError> {
        let processes: BTreeSet<String> = all_processes(shape).into_iter().collect();
        let servers: BTreeSet<String> = (0..shape.models).map(server_name).collect();
        for trouble in &self.troubles {
            let known = match trouble.kind {
                TroubleKind::UnresponsiveServer => &servers,
                _ => &processes,
            };
            let is_unknown = |target: &&String| !known.contains(*target);
            if let Some(target) = trouble.targets.iter().find(is_unknown) {
                return Err(SoakError::UnknownTarget {
                    at_ms: trouble.at_ms,
                    target: target.clone(),
                });
            }
        }
        Ok(())
    }

    /// How many processes and servers each kind strikes.
    pub fn counts(&self) -> BTreeMap<TroubleKind, u64> {
        let mut counts = BTreeMap::new();
        for trouble in &self.troubles {
            *counts.entry(trouble.kind).or_default() += trouble.targets.len() as u64;
        }
        counts
    }
}

/// The names of all processes of a fleet.
fn all_processes(shape: &Shape) -> Vec<String> {
    let routers = (0..shape.routers).map(|number| format!("router-{number}"));
    core(shape).into_iter().chain(routers).collect()
}

fn core(shape: &Shape) -> Vec<String> {
    (0..shape.controllers)
        .map(|number| format!("controller-{number}"))
        .collect()
}

fn server_name(number: usize) -> String {
    format!("model-{number}")
}

/// Numbers from a seed.
struct Draw {
    seed: u64,
    count: u64,
}

impl Draw {
    fn new(seed: u64) -> Self {
        Draw { seed, count: 0 }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.count += 1;
        mix(mix(self.seed) ^ mix(self.count)) % bound.max(1)
    }

    fn pick(&mut self, names: &[String]) -> Vec<String> {
        let place = self.below(names.len() as u64) as usize;
        vec![names[place].clone()]
    }

    /// One trouble, or the same a few times in a row.
    fn series(&mut self, at_ms: u64, shape: &Shape) -> Vec<Trouble> {
        let kind = self.kind();
        let targets = self.targets(kind, shape);
        let repeats = if self.below(4) == 0 {
            2 + self.below(4)
        } else {
            1
        };
        let gap_ms = 5 + self.below(900);
        let for_ms = self.duration_ms(kind);
        (0..repeats)
            .map(|repeat| Trouble {
                at_ms: at_ms + repeat * gap_ms,
                kind,
                targets: targets.clone(),
                for_ms,
            })
            .collect()
    }

    fn kind(&mut self) -> TroubleKind {
        match self.below(20) {
            0..5 => TroubleKind::Kill,
            5..11 => TroubleKind::Terminate,
            11..13 => TroubleKind::Hangup,
            13..16 => TroubleKind::Freeze,
            16 => TroubleKind::SettingsChange,
            17 => TroubleKind::AnnouncedSettingsChange,
            _ => TroubleKind::UnresponsiveServer,
        }
    }

    fn targets(&mut self, kind: TroubleKind, shape: &Shape) -> Vec<String> {
        if kind == TroubleKind::UnresponsiveServer {
            let server = self.below(shape.models as u64) as usize;
            return vec![server_name(server)];
        }
        let all = all_processes(shape);
        let routers = all[shape.controllers..].to_vec();
        match self.below(20) {
            0..9 => self.pick(&routers),
            9..14 => self.pick(&core(shape)),
            14..16 => self.zone(shape),
            16..18 => core(shape),
            18 => routers,
            _ => all,
        }
    }

    /// All processes of one zone.
    fn zone(&mut self, shape: &Shape) -> Vec<String> {
        let zones = shape.zones.len();
        let zone = self.below(zones as u64) as usize;
        let of_zone = |kind: &str, count: usize| -> Vec<String> {
            (zone..count)
                .step_by(zones)
                .map(|number| format!("{kind}-{number}"))
                .collect()
        };
        let mut names = of_zone("controller", shape.controllers);
        names.extend(of_zone("router", shape.routers));
        names
    }

    /// Short ones are as frequent as long ones, so that processes are struck while they start.
    fn duration_ms(&mut self, kind: TroubleKind) -> u64 {
        let longest = match kind {
            TroubleKind::Freeze => 3000,
            TroubleKind::UnresponsiveServer => 4000,
            _ => 2000,
        };
        if self.below(2) == 0 {
            self.below(60)
        } else {
            self.below(longest)
        }
    }
}

#[cfg(test)]
mod tests;
