//! The settings file of a controller (TOML), its defaults and the bounds of its values.

use crate::controller::Quorum;
use config::{validate_address, validate_addresses, validate_name, validate_range};
use quota::QuotaBounds;
use schematic::Config;
use types::Milliseconds;

/// The settings of a controller.
#[derive(Debug, Clone, Config)]
pub struct Settings {
    /// The address where operators and probes reach it: IP address and port.
    #[setting(default = "127.0.0.1:7000", validate = validate_address)]
    pub listen: String,
    /// The address where other processes of the fleet reach it: IP address and port.
    #[setting(default = "127.0.0.1:7001", validate = validate_address)]
    pub inner: String,
    /// The zone that this controller runs in.
    #[setting(default = "here", validate = validate_name)]
    pub zone: String,
    /// The data folder on the machine's disk. If empty, the machine has no disk: the controller stores nothing, has no
    /// vote and redirects operators to `admin_addresses`.
    #[setting(default = "controller-data")]
    pub folder: String,
    /// Inner addresses of all controllers that found the core together, the same list on each. Empty on a machine that
    /// is added later, and on one whose disk was emptied.
    #[setting(validate = validate_addresses)]
    pub founders: Vec<String>,
    /// Inner addresses of up to three processes that are queried for the core's location at the start.
    #[setting(validate = validate_addresses)]
    pub seeds: Vec<String>,
    /// The addresses where operators reach other controllers.
    #[setting(validate = validate_addresses)]
    pub admin_addresses: Vec<String>,
    /// Zones that may be withdrawn, besides those that members and plans name.
    pub zones: Vec<String>,
    /// The number of disks that must store a change before it counts as accepted: one more than may be lost at once.
    #[setting(default = 2, validate = validate_range(1, 9))]
    pub copies: u64,
    /// The target number of voters: controllers that are added to a core with fewer become voters. Of 2N + 1 voters, N
    /// may be lost at once with their disks.
    #[setting(default = 3, validate = validate_range(1, 19))]
    pub voters: u64,
    /// Which members must acknowledge a change before its operator is informed that it is accepted: the `majority` of
    /// the members, or all `holders` of leases.
    pub quorum: Quorum,
    /// Memory that the process may use, in bytes. What operators and peers can make it hold is bounded by it.
    #[setting(default = 1_000_000_000, validate = validate_range(48_000_000, 1_000_000_000_000))]
    pub memory_bytes: u64,
    /// Descriptors that the process may have open, which bound its connections.
    #[setting(default = 3_900, validate = validate_range(128, 1_000_000))]
    pub descriptors: u64,
    /// The length of the windows in which tenants' quotas are enforced, in milliseconds.
    #[setting(default = 8000, validate = validate_range(1000, 600_000))]
    pub quota_window_ms: u64,
    /// How far the usage in a window may exceed a quota, in percent of the quota.
    #[setting(default = 10, validate = validate_range(0, 1000))]
    pub quota_excess_percent: u64,
    /// How far the usage may exceed that again, in requests or tokens.
    #[setting(default = 1, validate = validate_range(0, 1_000_000_000))]
    pub quota_tolerance: u64,
}

impl Settings {
    /// The bounds of tenants' quotas that these settings give.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Milliseconds(self.quota_window_ms),
            excess_percent: self.quota_excess_percent,
            tolerance: self.quota_tolerance,
        }
    }
}
