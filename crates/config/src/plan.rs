use crate::settings::{a_name, within};
use crate::tenants::TenantPlan;
use placement::{BtbRules, Rules, ServiceRules};
use schematic::{Config, ConfigEnum, ConfigError, ConfigLoader, ValidateError, ValidateResult};
use serde::Serialize;
use std::collections::BTreeMap;
use types::{ConfigEpoch, Milliseconds, ZoneName};

/// A fault in a plan or in settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Fault {
    /// Where, such as `services.drafts.slots`.
    pub path: String,
    /// What is wrong, and what is allowed.
    pub why: String,
}

/// How a service is spoken.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A prompt whose answer is streamed.
    #[default]
    Stream,
    /// A plain fetch with a whole answer.
    Fetch,
}

/// BTB for one service.
#[derive(Debug, Clone, Config)]
pub struct BtbPlan {
    /// Whether bursts are acted on.
    #[setting(default = true)]
    pub on: bool,
    /// Y: blocks of the counted prefix.
    #[setting(default = 64, validate = within(1, 4096))]
    pub y: u64,
    /// X: arrivals that make it active.
    #[setting(default = 4, validate = within(2, 10_000))]
    pub x: u64,
    /// Z: the window, in ms.
    #[setting(default = 5000, validate = within(100, 600_000))]
    pub z_ms: u64,
    /// M: servers that are to hold it.
    #[setting(default = 3, validate = within(1, 64))]
    pub m: u64,
    /// While all of those are full, one more at a time up to this.
    #[setting(default = 6, validate = within(1, 64))]
    pub m_most: u64,
}

/// One service that the plan allows.
#[derive(Debug, Clone, Config)]
pub struct ServicePlan {
    /// `stream` or `fetch`.
    pub kind: ServiceKind,
    /// The pool of servers that serves it.
    #[setting(default = "model", validate = a_name)]
    pub pool: String,
    /// Zones whose servers may; empty: all.
    #[setting(validate = plain_names)]
    pub zones: Vec<String>,
    /// Servers that may; empty: all of the pool.
    #[setting(validate = plain_names)]
    pub servers: Vec<String>,
    /// Whether a broken stream may be read on from where it stopped.
    pub resumable: bool,
    /// Whether a request may be given to a second server although the first may have run it. Never
    /// for a stream that isn't resumable.
    #[setting(validate = only_where_a_repeat_does_no_harm)]
    pub idempotent: bool,
    /// The first piece must be expected within this, in ms.
    #[setting(default = 2000, validate = within(1, 600_000))]
    pub first_token_ms: u64,
    /// Requests that one server may have in hand from the whole fleet.
    #[setting(default = 8, validate = within(1, 100_000))]
    pub slots: u64,
    /// BTB.
    #[setting(nested)]
    pub btb: BtbPlan,
    /// Connections that one server accepts from the whole fleet; 0: no bound.
    #[setting(default = 0, validate = within(0, 1_000_000))]
    pub connections: u64,
    /// Requests a second that a cold server bears from the whole fleet; 0: no bound.
    #[setting(default = 0, validate = within(0, 1_000_000))]
    pub cold_per_s: u64,
    /// How long a server is cold after its start, in ms, unless the platform tells.
    #[setting(default = 0, validate = within(0, 3_600_000))]
    pub cold_ms: u64,
    /// Tokens that one server's memory holds; 0: not told.
    #[setting(default = 0, validate = within(0, 1_000_000_000))]
    pub memory_tokens: u64,
    /// Where a server tells that it's well; empty: it doesn't.
    pub health_path: String,
}

/// What may be done with a route's requests.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They run at most once.
    #[default]
    Mutating,
    /// Their answers come piece by piece; unless resumable, they run at most once.
    Stream,
}

/// One service that a route leads to, with its share.
#[derive(Debug, Clone, Config)]
pub struct SharePlan {
    /// The service.
    #[setting(required, validate = a_name)]
    pub service: String,
    /// Its weight among the others.
    #[setting(default = 1, validate = within(0, 1_000_000))]
    pub weight: u64,
}

/// Where requests of a host and path go.
#[derive(Debug, Clone, Config)]
pub struct RoutePlan {
    /// Of its own among the plan's.
    #[setting(required, validate = a_name)]
    pub name: String,
    /// The host, without a port.
    #[setting(required)]
    pub host: String,
    /// Begins and ends with a slash.
    #[setting(required)]
    pub path_prefix: String,
    /// `idempotent`, `mutating` or `stream`.
    pub kind: RouteKind,
    /// Whether a stream may be taken up where it stopped.
    pub resumable: bool,
    /// Servers that one request may be sent to at most.
    #[setting(default = 1, validate = within(1, 16))]
    pub max_tries: u64,
    /// Held at most this long, in ms.
    #[setting(default = 15_000, validate = within(1, 3_600_000))]
    pub deadline_ms: u64,
    /// The answer, or a stream's first piece, is wanted within this, in ms.
    #[setting(default = 2000, validate = within(1, 3_600_000))]
    pub target_ms: u64,
    /// The longest pause between pieces at which a stream is still in time, in ms; 0: not told.
    #[setting(default = 0, validate = within(0, 3_600_000))]
    pub gap_target_ms: u64,
    /// 0 goes first.
    #[setting(default = 5, validate = within(0, 9))]
    pub priority: u64,
    /// Whether its requests need no API key although the plan has tenants.
    pub public: bool,
    /// Where to; weights of 0 get nothing.
    #[setting(nested)]
    pub split: Vec<SharePlan>,
}

/// Bounds on what clients send.
#[derive(Debug, Clone, Config)]
pub struct BoundsPlan {
    /// Bytes of a head.
    #[setting(default = 16_384, validate = within(1, 1_000_000))]
    pub max_header_bytes: u64,
    /// Bytes of a body.
    #[setting(default = 4_194_304, validate = within(1, 1_000_000_000))]
    pub max_body_bytes: u64,
    /// For a head to come, in ms.
    #[setting(default = 10_000, validate = within(1, 3_600_000))]
    pub header_read_ms: u64,
    /// A connection without a request is closed after this, in ms.
    #[setting(default = 15_000, validate = within(1, 3_600_000))]
    pub idle_timeout_ms: u64,
}

/// A whole plan.
///
/// Invariant: a service that is not in it is allowed nowhere.
#[derive(Debug, Clone, Config)]
pub struct Plan {
    /// By name.
    #[setting(nested, required, validate = service_names)]
    pub services: BTreeMap<String, ServicePlan>,
    /// Requests by host and path; where clients name services themselves, none are needed.
    #[setting(nested)]
    pub routes: Vec<RoutePlan>,
    /// The operators' own number of this plan; 0: they count by epochs alone.
    #[setting(default = 0)]
    pub revision: u64,
    /// Who may send requests, and how many. None: anybody may.
    #[setting(nested)]
    pub tenants: Vec<TenantPlan>,
    /// Bounds on what clients send.
    #[setting(nested)]
    pub bounds: BoundsPlan,
    /// Anything for the operators themselves.
    pub note: String,
}

/// A stream that may not be read on must never run twice, whatever a plan says: such a plan is a fault.
fn only_where_a_repeat_does_no_harm<C>(
    is_idempotent: &bool,
    service: &PartialServicePlan,
    _: &C,
    _: bool,
) -> ValidateResult {
    let is_stream = service.kind.unwrap_or_default() == ServiceKind::Stream;
    if *is_idempotent && is_stream && !service.resumable.unwrap_or_default() {
        let why = "a stream that is not resumable never runs twice: set resumable, or leave idempotent out";
        return Err(ValidateError::new(why));
    }
    Ok(())
}

fn plain_names<D, C>(names: &[String], _: &D, _: &C, _: bool) -> ValidateResult {
    names
        .iter()
        .try_for_each(|name| a_name(name, &(), &(), false))
}

fn service_names<D, C>(
    services: &BTreeMap<String, PartialServicePlan>,
    _: &D,
    _: &C,
    _: bool,
) -> ValidateResult {
    services
        .keys()
        .try_for_each(|name| a_name(name, &(), &(), false))
}

/// Reads and checks a plan; gives every fault that was found.
pub fn parse_plan(bytes: &[u8]) -> Result<Plan, Vec<Fault>> {
    let whole = |why: String| {
        vec![Fault {
            path: ".".into(),
            why,
        }]
    };
    let text =
        std::str::from_utf8(bytes).map_err(|fault| whole(format!("is not UTF-8: {fault}")))?;
    // The loader takes comments for nothing and would take other things than an object; a plan is
    // plain JSON, since changes to it are merged as JSON.
    let value: serde_json::Value =
        serde_json::from_str(text).map_err(|fault| whole(format!("is not JSON: {fault}")))?;
    if !value.is_object() {
        return Err(whole("is not a JSON object".into()));
    }
    let load = |text: &str| {
        let mut loader = ConfigLoader::<Plan>::new();
        loader.code(text, "plan.json")?;
        loader.load().map(|loaded| loaded.config)
    };
    let fault = match load(text) {
        Ok(plan) => {
            let faults = plan.faults();
            return if faults.is_empty() {
                Ok(plan)
            } else {
                Err(faults)
            };
        }
        Err(fault) => fault,
    };
    // Reading stops at the first field that is of the wrong kind; without it, the next one shows.
    let (mut faults, mut rest, mut next) = (vec![], value, Some(fault));
    while let Some(fault) = next.take() {
        let found = faults_of(&fault);
        let is_of_a_field = matches!(fault, ConfigError::Parser { .. })
            && faults.len() < MOST_FAULTS
            && found
                .first()
                .is_some_and(|fault| take_out(&mut rest, &fault.path));
        faults.extend(found);
        if is_of_a_field {
            next = load(&rest.to_string()).err();
        }
    }
    Err(faults)
}

/// Faults of a plan that are listed at most.
const MOST_FAULTS: usize = 32;

/// Takes the field at a path out of a value; says whether it was there. Names may have dots in them.
fn take_out(value: &mut serde_json::Value, path: &str) -> bool {
    let Some(object) = value.as_object_mut() else {
        return false;
    };
    if object.remove(path).is_some() {
        return true;
    }
    let dots = path.match_indices('.').map(|(place, _)| place);
    let parts: Vec<(&str, &str)> = dots
        .map(|place| (&path[..place], &path[place + 1..]))
        .collect();
    parts.into_iter().any(|(name, rest)| {
        let name = name.split('[').next().unwrap_or(name);
        object
            .get_mut(name)
            .is_some_and(|inner| take_out(inner, rest))
    }) || path
        .split_once('[')
        .is_some_and(|(name, _)| object.remove(name).is_some())
}

/// The faults in a library's error.
pub(crate) fn faults_of(fault: &ConfigError) -> Vec<Fault> {
    match fault {
        ConfigError::Parser { error, .. } => vec![Fault {
            path: error.path.clone(),
            why: error.message.clone(),
        }],
        ConfigError::Validator { error, .. } => {
            let found = error.errors.iter();
            found
                .map(|e| Fault {
                    path: e.path.to_string(),
                    why: e.message.clone(),
                })
                .collect()
        }
        other => vec![Fault {
            path: ".".into(),
            why: other.to_full_string(),
        }],
    }
}

/// The plan that a change (a JSON merge patch) makes of another.
pub fn merge_change(plan: &[u8], change: &[u8]) -> Result<Vec<u8>, Vec<Fault>> {
    let read = |bytes: &[u8], what: &str| {
        let why = |fault| {
            vec![Fault {
                path: ".".into(),
                why: format!("the {what} is not JSON: {fault}"),
            }]
        };
        serde_json::from_slice::<serde_json::Value>(bytes).map_err(why)
    };
    let mut whole = read(plan, "plan")?;
    let change = read(change, "change")?;
    if !change.is_object() {
        return Err(vec![Fault {
            path: ".".into(),
            why: "a change is a JSON object".into(),
        }]);
    }
    json_patch::merge(&mut whole, &change);
    Ok(serde_json::to_vec(&whole).expect("a JSON value is JSON"))
}

impl ServicePlan {
    /// Whether a request that may have run may be given to a second server: a fetch, whose whole answer
    /// is read before any of it is given, or a stream that may be read on, and only where the plan calls
    /// it idempotent. Any other request is repeated only if it surely never ran.
    pub fn may_repeat(&self) -> bool {
        self.idempotent && (self.kind == ServiceKind::Fetch || self.resumable)
    }
}

impl RoutePlan {
    /// Whether a request that may have run may be given to a second server: an idempotent one, or a stream
    /// that may be taken up where it stopped.
    pub fn may_repeat(&self) -> bool {
        self.kind == RouteKind::Idempotent || (self.kind == RouteKind::Stream && self.resumable)
    }
}

impl Plan {
    /// The route of this name, if it leads to the service.
    pub fn allowed_route(&self, name: &str, service: &str) -> Option<&RoutePlan> {
        self.routes
            .iter()
            .find(|route| route.name == name)
            .filter(|route| route.leads_to(service))
    }
    /// The zones that it names.
    pub fn zones(&self) -> Vec<ZoneName> {
        let mut zones: Vec<ZoneName> = self
            .services
            .values()
            .flat_map(|service| &service.zones)
            .map(|name| name.as_str().into())
            .collect();
        zones.sort();
        zones.dedup();
        zones
    }
    /// What it says for placement, under this epoch and with these zones withdrawn.
    pub fn rules(&self, epoch: ConfigEpoch, withdrawn: Vec<ZoneName>) -> Rules {
        let of_service = |plan: &ServicePlan| ServiceRules {
            pool: plan.pool.clone(),
            zones: plan.zones.iter().map(|name| name.as_str().into()).collect(),
            servers: plan
                .servers
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            first_token: Milliseconds(plan.first_token_ms),
            slots: plan.slots as u32,
            btb: BtbRules {
                is_on: plan.btb.on,
                blocks: plan.btb.y as u32,
                arrivals: plan.btb.x as u32,
                window: Milliseconds(plan.btb.z_ms),
                copies: plan.btb.m as u32,
                most_copies: plan.btb.m_most as u32,
            },
            warm_up_per_second: plan.cold_per_s as u32,
            warm_up_duration: Milliseconds(plan.cold_ms),
            memory_tokens: plan.memory_tokens,
        };
        let services = self
            .services
            .iter()
            .map(|(name, plan)| (name.as_str().into(), of_service(plan)))
            .collect();
        Rules {
            epoch,
            services,
            withdrawn,
        }
    }
}

#[cfg(test)]
mod tests;
