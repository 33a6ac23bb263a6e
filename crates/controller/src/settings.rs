use crate::controller::Quorum;
use config::{validate_address, validate_addresses, validate_name, validate_range};
use quota::QuotaBounds;
use schematic::Config;
use types::Milliseconds;

/// A controller's settings file.
#[derive(Debug, Clone, Config)]
pub struct Settings {
    /// Where operators and probes reach it: IP number and port.
    #[setting(default = "127.0.0.1:7000", validate = validate_address)]
    pub listen: String,
    /// Where our own processes reach it: IP number and port.
    #[setting(default = "127.0.0.1:7001", validate = validate_address)]
    pub inner: String,
    /// Its zone.
    #[setting(default = "here", validate = validate_name)]
    pub zone: String,
    /// The data folder, on the machine's disk. Empty: this machine has none; it keeps nothing, votes on
    /// nothing and sends operators on to `admin_addresses`.
    #[setting(default = "controller-data")]
    pub folder: String,
    /// Inner addresses of all controllers that found the core together, the same list at each. Left
    /// empty by a machine that is added later, and by one whose disk was emptied.
    #[setting(validate = validate_addresses)]
    pub founders: Vec<String>,
    /// Inner addresses of up to three processes to ask first.
    #[setting(validate = validate_addresses)]
    pub seeds: Vec<String>,
    /// Where operators reach other controllers.
    #[setting(validate = validate_addresses)]
    pub admin_addresses: Vec<String>,
    /// Zones that may be withdrawn besides those that members and plans name.
    pub zones: Vec<String>,
    /// Disks that a change is on before it counts as accepted: one more than may be lost at once.
    #[setting(default = 2, validate = validate_range(1, 9))]
    pub copies: u64,
    /// Voters wanted: controllers added to a core of fewer become voters until there are as many. Of 2N + 1,
    /// N may be lost at once, with their disks.
    #[setting(default = 3, validate = validate_range(1, 19))]
    pub voters: u64,
    /// Who must know a change before it is told as accepted: `majority` of the members, or `holders` of
    /// leases.
    pub quorum: Quorum,
    /// Tenants' quotas bind any window of this length, in ms.
    #[setting(default = 8000, validate = validate_range(1000, 600_000))]
    pub quota_window_ms: u64,
    /// By how much a window may exceed a quota, in percent of it,
    #[setting(default = 10, validate = validate_range(0, 1000))]
    pub quota_excess_percent: u64,
    /// and in requests or tokens beyond that.
    #[setting(default = 1, validate = validate_range(0, 1_000_000_000))]
    pub quota_tolerance: u64,
}

impl Settings {
    /// By how much quotas may be exceeded.
    pub fn quota_bounds(&self) -> QuotaBounds {
        QuotaBounds {
            window: Milliseconds(self.quota_window_ms),
            excess_percent: self.quota_excess_percent,
            tolerance: self.quota_tolerance,
        }
    }
}
