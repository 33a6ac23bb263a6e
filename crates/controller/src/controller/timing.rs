//! Time-outs, periods and bounds of a controller.

use quota::QuotaBounds;
use replication::Timing;
use schematic::ConfigEnum;
use types::Milliseconds;

/// The spans that a controller goes by besides the replica's own.
#[derive(Debug, Clone, Copy)]
pub struct ControllerTiming {
    /// The replica's.
    pub replica: Timing,
    /// A member's lease.
    pub lease: Milliseconds,
    /// Between changes of the membership by which newcomers are let in.
    pub join: Milliseconds,
    /// A proposal that the core can't take is tried again for this long.
    pub patience: Milliseconds,
    /// A reading that the tail doesn't answer is given up after this, before its operator turns elsewhere (after a
    /// second of silence on the users' platform).
    pub read_patience: Milliseconds,
    /// Without an answer by then, a proposal's fate is unknown.
    pub fate_deadline: Milliseconds,
    /// A member without a lease for this long is a member no more.
    pub retire_after: Milliseconds,
    /// Who must know a change.
    pub quorum: Quorum,
    /// By how much tenants' quotas may be exceeded.
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

/// Who must know a change before it is told as accepted (docs/isolation.md).
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
