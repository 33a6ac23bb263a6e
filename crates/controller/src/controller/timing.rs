//! Time-outs, periods and bounds of a controller.

use quota::QuotaBounds;
use replication::Timing;
use schematic::ConfigEnum;
use types::Milliseconds;

/// Time-outs and bounds of a controller.
#[derive(Debug, Clone, Copy)]
pub struct ControllerTiming {
    /// Time-outs and bounds of its replica.
    pub replica: Timing,
    /// The length of a member's lease.
    pub lease: Milliseconds,
    /// The shortest time between two changes of the membership that add routers.
    pub join: Milliseconds,
    /// How long a proposal that the core rejects for now is retried.
    pub patience: Milliseconds,
    /// The time-out of a query to the tail. It is shorter than the operators' own time-out, which is a second on the
    /// users' platform.
    pub read_patience: Milliseconds,
    /// The time-out of a proposal, after which its fate is unknown.
    pub fate_deadline: Milliseconds,
    /// A member that has had no lease for this long is removed.
    pub retire_after: Milliseconds,
    /// Which members must acknowledge a change.
    pub quorum: Quorum,
    /// The window of tenants' quotas, and by how much they may be exceeded in it.
    pub quota: QuotaBounds,
}

impl Default for ControllerTiming {
    fn default() -> Self {
        ControllerTiming {
            replica: Timing::default(),
            lease: Milliseconds(2000),
            join: Milliseconds(1000),
            patience: Milliseconds(4000),
            read_patience: Milliseconds(700),
            fate_deadline: Milliseconds(8000),
            retire_after: Milliseconds::seconds(60),
            quorum: Quorum::Majority,
            quota: QuotaBounds::default(),
        }
    }
}

/// Which members must acknowledge a change before its operator is informed that it is accepted (docs/isolation.md).
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    ConfigEnum,
    clap::ValueEnum,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Quorum {
    /// More than half of the members; and changes are taken only while as many hold leases. Whoever is
    /// cut off from the core stops, however many they are.
    #[default]
    Majority,
    /// Whoever holds a lease, however few these are. A group without leases that is at least half of the
    /// members goes on as it was, until it meets the core again.
    Holders,
}
