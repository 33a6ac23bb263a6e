//! Routing: the route of a request, and the service that a route leads to.

use crate::plan::{Plan, RoutePlan, SharePlan};
use std::collections::HashMap;

/// The routes of a plan by host and path prefix. A lookup takes at most one step for each segment of the path.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<RoutePlan>,
    hosts: HashMap<String, HostRoutes>,
}

/// The routes of one host.
#[derive(Debug, Clone, Default)]
struct HostRoutes {
    /// Indices into the table's routes.
    by_prefix: HashMap<String, usize>,
    /// The length of the longest prefix, in bytes.
    longest_prefix: usize,
}

impl RouteTable {
    /// The table of these routes. Of two with the same host and prefix, the first one counts.
    pub fn new(routes: &[RoutePlan]) -> RouteTable {
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            let host = hosts.entry(normalized_host(&route.host)).or_default();
            host.longest_prefix = host.longest_prefix.max(route.path_prefix.len());
            host.by_prefix
                .entry(route.path_prefix.clone())
                .or_insert(index);
        }
        RouteTable {
            routes: routes.to_vec(),
            hosts,
        }
    }

    /// The route of a request: the one of the host with the longest matching prefix. The host may have a port;
    /// the path has no query.
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePlan> {
        let host = match self.hosts.get(without_port(host)) {
            Some(host) => host,
            None => self.hosts.get(&normalized_host(host))?,
        };
        let searched = &path.as_bytes()[..path.len().min(host.longest_prefix)];
        let index = searched
            .iter()
            .enumerate()
            .rev()
            .filter(|(_, byte)| **byte == b'/')
            .find_map(|(slash, _)| host.by_prefix.get(&path[..=slash]))?;
        self.routes.get(*index)
    }

    /// All routes, in the order of the plan.
    pub fn routes(&self) -> &[RoutePlan] {
        &self.routes
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// A host in the form in which routes are compared: without a port, in lower case.
pub(crate) fn normalized_host(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

impl Plan {
    /// The route of a host and path, by a search through all routes. [`RouteTable::route`] does the same in a
    /// table.
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePlan> {
        let host = normalized_host(host);
        let is_match = |route: &&RoutePlan| {
            normalized_host(&route.host) == host && path.starts_with(&route.path_prefix)
        };
        // `max_by_key` returns the last of equals: in reverse order, the first of the plan.
        self.routes
            .iter()
            .filter(is_match)
            .rev()
            .max_by_key(|route| route.path_prefix.len())
    }

    /// A table of the plan's routes.
    pub fn route_table(&self) -> RouteTable {
        RouteTable::new(&self.routes)
    }

    /// Whether the route of this name leads to this service.
    pub fn allows(&self, route: &str, service: &str) -> bool {
        self.routes
            .iter()
            .any(|known| known.name == route && known.leads_to(service))
    }

    /// The route of this name, if it leads to the service.
    pub fn allowed_route(&self, name: &str, service: &str) -> Option<&RoutePlan> {
        self.routes
            .iter()
            .find(|route| route.name == name)
            .filter(|route| route.leads_to(service))
    }
}

impl RoutePlan {
    /// The service of a request with this key, by weight: weighted rendezvous hashing. When weights change,
    /// only keys of services whose share shrinks move.
    pub fn service_for(&self, key: u64) -> Option<&str> {
        if let [only] = self.split.as_slice() {
            return (only.weight > 0).then_some(only.service.as_str());
        }
        let score =
            |share: &SharePlan| -(share.weight as f64) / unit_hash(key, &share.service).ln();
        self.split
            .iter()
            .filter(|share| share.weight > 0)
            .max_by(|one, other| score(one).total_cmp(&score(other)))
            .map(|share| share.service.as_str())
    }

    /// Whether the route sends requests to this service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.split
            .iter()
            .any(|share| share.weight > 0 && share.service == service)
    }
}

/// A hash of a key and a name, uniform between 0 and 1, neither included: FNV-1a of the name, then the mixer of
/// splitmix64.
fn unit_hash(key: u64, name: &str) -> f64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
    const MIX_FACTORS: [u64; 2] = [0xbf58_476d_1ce4_e5b9, 0x94d0_49bb_1331_11eb];
    let named = name.bytes().fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mut mixed = (key ^ named.rotate_left(17)).wrapping_add(INCREMENT);
    for factor in MIX_FACTORS {
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(factor);
    }
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
