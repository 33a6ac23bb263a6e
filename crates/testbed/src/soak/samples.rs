//! What the processes of a fleet hold of their machine, sampled each second.

use crate::fleet::{Daemon, Fleet};
use procfs::process::Process;

/// The most that any process held.
#[derive(Debug, Default)]
pub(super) struct ResourceSamples {
    pub count: u64,
    pub most_memory_bytes: u64,
    pub most_descriptors: u64,
}

impl ResourceSamples {
    /// Looks at all processes that run.
    pub(super) fn take(&mut self, fleet: &Fleet) {
        let daemons = fleet.controllers.iter().chain(&fleet.routers);
        for process_id in daemons.filter_map(Daemon::pid) {
            if let Some((memory_bytes, descriptors)) = sample(process_id) {
                self.count += 1;
                self.most_memory_bytes = self.most_memory_bytes.max(memory_bytes);
                self.most_descriptors = self.most_descriptors.max(descriptors);
            }
        }
    }
}

/// Resident bytes and open descriptors; nothing of one that has just ended.
fn sample(process_id: u32) -> Option<(u64, u64)> {
    let process = Process::new(i32::try_from(process_id).ok()?).ok()?;
    let resident_kib = process.status().ok()?.vmrss?;
    let descriptors = process.fd_count().ok()?;
    Some((resident_kib * 1024, descriptors as u64))
}
