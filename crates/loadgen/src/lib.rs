//! A load generator that plays the clients of a fleet: open-loop arrivals, and each token of every stream
//! checked.

mod client;
mod load_test;
mod persistent_client;
mod report;
mod workload;

pub use client::{Outcome, RequestRecord, prompt_fingerprint, send_planned};
pub use load_test::{LoadTest, LoadTestConfig};
pub use persistent_client::PersistentClient;
pub use report::{Report, ServiceReport};
pub use workload::{PlannedRequest, ServiceTraffic, Workload, WorkloadKind};
