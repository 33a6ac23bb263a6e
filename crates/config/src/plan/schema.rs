use crate::settings::{validate_name, validate_range};
use crate::tenants::TenantPlan;
use schematic::{Config, ConfigEnum, ValidateError, ValidateResult};
use std::collections::BTreeMap;

/// The protocol of a service.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A prompt whose response is streamed.
    #[default]
    Stream,
    /// A request whose response is read completely before any of it is forwarded.
    Fetch,
}

/// BTB of one service: prompt prefixes that become hot are replicated to several servers.
#[derive(Debug, Clone, Config)]
pub struct BtbPlan {
    /// Whether hot prefixes are replicated.
    #[setting(default = true)]
    pub on: bool,
    /// Y: the length of the prefix that is counted, in blocks.
    #[setting(default = 64, validate = validate_range(1, 4096))]
    pub y: u64,
    /// X: the number of arrivals within the window that make a prefix hot.
    #[setting(default = 4, validate = validate_range(2, 10_000))]
    pub x: u64,
    /// Z: the length of the window, in ms.
    #[setting(default = 5000, validate = validate_range(100, 600_000))]
    pub z_ms: u64,
    /// M: the number of servers that a hot prefix is replicated to.
    #[setting(default = 3, validate = validate_range(1, 64))]
    pub m: u64,
    /// The largest number of servers with the prefix. While all of them are full, one more is added at a time.
    #[setting(default = 6, validate = validate_range(1, 64))]
    pub m_most: u64,
}

/// A service that the plan allows.
#[derive(Debug, Clone, Config)]
pub struct ServicePlan {
    /// The protocol: `stream` or `fetch`.
    pub kind: ServiceKind,
    /// The name of the pool of servers.
    #[setting(default = "model", validate = validate_name)]
    pub pool: String,
    /// The zones whose servers may be used; all zones if empty.
    #[setting(validate = validate_names)]
    pub zones: Vec<String>,
    /// The servers that may be used; all servers of the pool if empty.
    #[setting(validate = validate_names)]
    pub servers: Vec<String>,
    /// Whether a broken stream may be resumed where it stopped.
    pub resumable: bool,
    /// Whether a request may be sent to a second server although the first may have run it. A plan that says
    /// so of a stream that is not resumable is rejected.
    #[setting(validate = validate_idempotent)]
    pub idempotent: bool,
    /// The time in which the first chunk of the response must be expected, in ms.
    #[setting(default = 2000, validate = validate_range(1, 600_000))]
    pub first_token_ms: u64,
    /// The largest number of requests in flight at one server, from the whole fleet.
    #[setting(default = 8, validate = validate_range(1, 100_000))]
    pub slots: u64,
    /// BTB, the replication of hot prompt prefixes.
    #[setting(nested)]
    pub btb: BtbPlan,
    /// The number of connections that one server accepts from the whole fleet; 0 stands for no limit.
    #[setting(default = 0, validate = validate_range(0, 1_000_000))]
    pub connections: u64,
    /// The rate of requests that a server which is warming up gets from the whole fleet, per second; 0 stands
    /// for no limit.
    #[setting(default = 0, validate = validate_range(0, 1_000_000))]
    pub cold_per_s: u64,
    /// How long a server warms up after its start, in ms, unless the platform's list of servers says so.
    #[setting(default = 0, validate = validate_range(0, 3_600_000))]
    pub cold_ms: u64,
    /// The number of tokens that the memory of one server holds; 0 stands for unknown.
    #[setting(default = 0, validate = validate_range(0, 1_000_000_000))]
    pub memory_tokens: u64,
    /// The path of the health check; no health checks if empty.
    pub health_path: String,
}

/// How often the requests of a route may run.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// The requests may run more than once.
    Idempotent,
    /// The requests run at most once.
    #[default]
    Mutating,
    /// The responses are streamed. Unless the route is resumable, the requests run at most once.
    Stream,
}

/// A service that a route leads to, with its share of the requests.
#[derive(Debug, Clone, Config)]
pub struct SharePlan {
    /// The name of the service.
    #[setting(required, validate = validate_name)]
    pub service: String,
    /// The weight relative to the other services of the split; with 0 the service gets no requests.
    #[setting(default = 1, validate = validate_range(0, 1_000_000))]
    pub weight: u64,
}

/// A route: what is done with the requests for a host and a path prefix.
#[derive(Debug, Clone, Config)]
pub struct RoutePlan {
    /// The name of the route.
    #[setting(required, validate = validate_name)]
    pub name: String,
    /// The host, without a port; case does not matter.
    #[setting(required)]
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    #[setting(required)]
    pub path_prefix: String,
    /// How often a request may run: `idempotent`, `mutating` or `stream`.
    pub kind: RouteKind,
    /// Whether a broken stream may be resumed where it stopped.
    pub resumable: bool,
    /// The largest number of servers that one request is sent to.
    #[setting(default = 1, validate = validate_range(1, 16))]
    pub max_tries: u64,
    /// The time after which a request that waits is given up, in ms.
    #[setting(default = 15_000, validate = validate_range(1, 3_600_000))]
    pub deadline_ms: u64,
    /// The target for the response, or for the first chunk of a stream, in ms.
    #[setting(default = 2000, validate = validate_range(1, 3_600_000))]
    pub target_ms: u64,
    /// The target for the longest pause between two chunks of a stream, in ms; 0 stands for no target.
    #[setting(default = 0, validate = validate_range(0, 3_600_000))]
    pub gap_target_ms: u64,
    /// The priority, from 0, which goes first, to 9.
    #[setting(default = 5, validate = validate_range(0, 9))]
    pub priority: u64,
    /// Whether the requests need no API key even if the plan has tenants.
    pub public: bool,
    /// The services that the route leads to.
    #[setting(nested)]
    pub split: Vec<SharePlan>,
}

/// Limits on what clients send.
#[derive(Debug, Clone, Config)]
pub struct BoundsPlan {
    /// The size limit of a request's head, in bytes.
    #[setting(default = 16_384, validate = validate_range(1, 1_000_000))]
    pub max_header_bytes: u64,
    /// The size limit of a request's body, in bytes.
    #[setting(default = 4_194_304, validate = validate_range(1, 1_000_000_000))]
    pub max_body_bytes: u64,
    /// The time limit for reading a request's head, in ms.
    #[setting(default = 10_000, validate = validate_range(1, 3_600_000))]
    pub header_read_ms: u64,
    /// The time after which a connection without a request is closed, in ms.
    #[setting(default = 15_000, validate = validate_range(1, 3_600_000))]
    pub idle_timeout_ms: u64,
}

/// A plan, complete.
///
/// Invariant: a service that is not in the plan is allowed nowhere.
#[derive(Debug, Clone, Config)]
pub struct Plan {
    /// The services by name.
    #[setting(nested, required, validate = validate_service_names)]
    pub services: BTreeMap<String, ServicePlan>,
    /// The routes. None are needed where clients name the service themselves.
    #[setting(nested)]
    pub routes: Vec<RoutePlan>,
    /// The operators' own number of this plan; 0 where plans are counted by epochs alone.
    #[setting(default = 0)]
    pub revision: u64,
    /// The tenants. If there are none, requests need no API key.
    #[setting(nested)]
    pub tenants: Vec<TenantPlan>,
    /// Limits on what clients send.
    #[setting(nested)]
    pub bounds: BoundsPlan,
    /// A text for the operators themselves.
    pub note: String,
}

impl ServicePlan {
    /// Whether a request that may have run may be sent to a second server.
    ///
    /// That takes a service which the plan calls idempotent, and a response that can be started over: a fetch,
    /// whose response is read completely before any of it is forwarded, or a resumable stream. Any other
    /// request is retried only if it certainly never ran.
    pub fn may_repeat(&self) -> bool {
        self.idempotent && (self.kind == ServiceKind::Fetch || self.resumable)
    }
}

impl RoutePlan {
    /// Whether a request that may have run may be sent to a second server: the route is idempotent, or its
    /// streams are resumable.
    pub fn may_repeat(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Stream && self.resumable)
    }
}

/// A stream that is not resumable must never run twice, so a plan that calls it idempotent is rejected.
fn validate_idempotent<C>(
    is_idempotent: &bool,
    service: &PartialServicePlan,
    _: &C,
    _: bool,
) -> ValidateResult {
    let is_stream = service.kind.unwrap_or_default() == ServiceKind::Stream;
    if *is_idempotent && is_stream && !service.resumable.unwrap_or_default() {
        return Err(ValidateError::new(
            "a stream that is not resumable never runs twice: set resumable, or leave idempotent out",
        ));
    }
    Ok(())
}

fn validate_names<D, C>(names: &[String], _: &D, _: &C, _: bool) -> ValidateResult {
    names
        .iter()
        .try_for_each(|name| validate_name(name, &(), &(), false))
}

fn validate_service_names<D, C>(
    services: &BTreeMap<String, PartialServicePlan>,
    _: &D,
    _: &C,
    _: bool,
) -> ValidateResult {
    services
        .keys()
        .try_for_each(|name| validate_name(name, &(), &(), false))
}
