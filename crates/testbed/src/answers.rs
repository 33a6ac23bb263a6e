//! Answers in doubt: the real forwarder, over loopback, between clients that check each answer's owner and
//! stand-in servers that play every row of the state chart in docs/request-safety.md at random.

mod config_state;
mod dialect;
mod lane;
mod message;
mod play;
mod server;

use lane::{LaneReport, play_lane};
use play::Play;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct AnswersRules {
    /// What each server does with each call follows from it.
    pub seed: u64,
    /// Calls in all.
    pub calls: u64,
    /// Forwarders side by side, each with its own servers and its own client.
    pub lanes: u64,
    /// Only this lane.
    pub only_lane: Option<u64>,
    /// A deliberate fault.
    pub mutant: Option<AnswersMutant>,
}

/// A deliberate fault, by which it's shown that the checks see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum AnswersMutant {
    /// A refusal without an id is believed wherever it stands.
    BelieveUnnamed,
    /// What may have run goes to a further server all the same.
    RepeatAfterReset,
    /// What was placed under an older epoch leaves all the same.
    ForgetEpoch,
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    /// With its server's whole answer.
    Served,
    /// With a part of its stream, visibly cut.
    Cut,
    /// With its server's own failure.
    Failed,
    /// With this promise that it never ran.
    Refused(u16),
    /// With the word that nobody knows.
    Unknown,
    /// Against the rules.
    Broken,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct AnswersReport {
    /// How the calls ended.
    pub fates: BTreeMap<Fate, u64>,
    /// How often the servers did what.
    pub plays: BTreeMap<Play, u64>,
    /// What must never be, and was.
    pub violations: Vec<String>,
}

impl AnswersReport {
    fn add(&mut self, lane: LaneReport) {
        for (fate, count) in lane.fates {
            *self.fates.entry(fate).or_default() += count;
        }
        for (play, count) in lane.plays {
            *self.plays.entry(play).or_default() += count;
        }
        self.violations.extend(lane.violations);
    }
}

impl fmt::Display for AnswersReport {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{} calls", self.fates.values().sum::<u64>())?;
        for (fate, count) in &self.fates {
            writeln!(out, "  {fate:?}: {count}")?;
        }
        writeln!(
            out,
            "{} arrivals at servers, by what they did",
            self.plays.values().sum::<u64>()
        )?;
        for (play, count) in &self.plays {
            writeln!(out, "  {play:?}: {count}")?;
        }
        for violation in self.violations.iter().take(20) {
            writeln!(out, "VIOLATION {violation}")?;
        }
        writeln!(out, "{} violations", self.violations.len())
    }
}

/// Plays it.
pub fn play_answers(rules: AnswersRules) -> Result<AnswersReport, String> {
    let lanes = rules.lanes.max(1);
    let next = AtomicU64::new(rules.only_lane.unwrap_or(0));
    let end = rules.only_lane.map_or(lanes, |lane| lane + 1);
    let report = Mutex::new(Ok(AnswersReport::default()));
    std::thread::scope(|scope| {
        for _ in 0..lanes {
            scope.spawn(|| {
                loop {
                    let lane = next.fetch_add(1, Ordering::Relaxed);
                    if lane >= end {
                        return;
                    }
                    let outcome = play_lane(rules, lane, rules.calls / lanes);
                    let mut report = report.lock().expect("no thread panics with it");
                    match (outcome, report.as_mut()) {
                        (Ok(lane), Ok(report)) => report.add(lane),
                        (Err(why), _) => *report = Err(why),
                        (Ok(_), Err(_)) => {}
                    }
                }
            });
        }
    });
    report
        .into_inner()
        .map_err(|_| "a lane panicked".to_owned())?
}

#[cfg(test)]
mod tests;
