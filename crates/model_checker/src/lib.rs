//! An exhaustive check of small cores, over the very state machine that the daemons run.
//!
//! The core runs on virtual time by a fixed default schedule: a tick every 100 ms, messages at once and in
//! request, each write synced. A *deviation* is one departure from it: a message lost, delayed or doubled, a
//! crash at a write, a pause, a cut, a disk wiped, a machine replaced, a command proposed. The search
//! visits every state that so many deviations, at any moments, lead to; states are told apart by their
//! fingerprints, so that it ends where nothing new comes.

mod cluster;
mod deviation;
mod properties;
mod register;
mod search;
mod stored_disk;
mod walk;

pub use cluster::{ClusterRules, DeliberateFault, DiskLosses};
pub use search::{Counterexample, Exploration, Limits, explore};
pub use walk::{Walk, replay, walk};

#[cfg(test)]
mod tests;
