use crate::plan::{Fault, Plan, RoutePlan, SharePlan};
use crate::tenants::tenant_faults;
use std::collections::HashMap;

/// A plan's routes, by host and prefix, for finding each request's in no more steps than its path has
/// parts.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    routes: Vec<RoutePlan>,
    hosts: HashMap<String, HostRoutes>,
}

#[derive(Debug, Clone, Default)]
struct HostRoutes {
    by_prefix: HashMap<String, usize>,
    longest: usize,
}

impl RouteTable {
    /// Of these routes; of two with the same host and prefix, the first.
    pub fn new(routes: &[RoutePlan]) -> RouteTable {
        let mut hosts: HashMap<String, HostRoutes> = HashMap::new();
        for (place, route) in routes.iter().enumerate() {
            let host = hosts.entry(plain_host(&route.host)).or_default();
            host.longest = host.longest.max(route.path_prefix.len());
            host.by_prefix
                .entry(route.path_prefix.clone())
                .or_insert(place);
        }
        RouteTable {
            routes: routes.to_vec(),
            hosts,
        }
    }
    /// The route of a host, with or without a port, and a path without its query: the one with the longest
    /// prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePlan> {
        let host = match self.hosts.get(without_port(host)) {
            Some(host) => host,
            None => self.hosts.get(&plain_host(host))?,
        };
        let within = &path.as_bytes()[..path.len().min(host.longest)];
        let ends = within
            .iter()
            .enumerate()
            .rev()
            .filter(|(_, byte)| **byte == b'/')
            .map(|(place, _)| place + 1);
        let place = ends
            .into_iter()
            .find_map(|end| host.by_prefix.get(&path[..end]))?;
        self.routes.get(*place)
    }
    /// All of them.
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

fn plain_host(host: &str) -> String {
    without_port(host).to_ascii_lowercase()
}

impl RoutePlan {
    /// The service for a key, by weight. When weights change, only keys of the services that lose by it
    /// move (rendezvous hashing).
    pub fn service_for(&self, key: u64) -> Option<&str> {
        let weighed = self.split.iter().filter(|share| share.weight > 0);
        if let [only] = self.split.as_slice() {
            return (only.weight > 0).then_some(only.service.as_str());
        }
        let score = |share: &SharePlan| -(share.weight as f64) / unit(key, &share.service).ln();
        weighed
            .max_by(|a, b| score(a).total_cmp(&score(b)))
            .map(|share| share.service.as_str())
    }
    /// Whether it leads to this service.
    pub fn leads_to(&self, service: &str) -> bool {
        self.split
            .iter()
            .any(|share| share.weight > 0 && share.service == service)
    }
}

/// A number between 0 and 1, never either, drawn by a key and a name.
fn unit(key: u64, name: &str) -> f64 {
    let named = name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |sum, byte| {
        (sum ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    let mut mixed = (key ^ named.rotate_left(17)).wrapping_add(0x9e37_79b9_7f4a_7c15);
    for factor in [0xbf58_476d_1ce4_e5b9u64, 0x94d0_49bb_1331_11eb] {
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(factor);
    }
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

impl Plan {
    /// The route of a host and path; see [`RouteTable::route`], which finds it among thousands.
    pub fn route(&self, host: &str, path: &str) -> Option<&RoutePlan> {
        let host = plain_host(host);
        let fits = |route: &&RoutePlan| {
            plain_host(&route.host) == host && path.starts_with(&route.path_prefix)
        };
        // Of equally long ones the first.
        self.routes
            .iter()
            .filter(fits)
            .rev()
            .max_by_key(|route| route.path_prefix.len())
    }
    /// What finds its routes.
    pub fn route_table(&self) -> RouteTable {
        RouteTable::new(&self.routes)
    }
    /// Whether the route of this name leads to this service.
    pub fn allows(&self, route: &str, service: &str) -> bool {
        self.routes
            .iter()
            .any(|known| known.name == route && known.leads_to(service))
    }
    /// What is wrong between its parts.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = vec![];
        let mut seen: HashMap<(String, &str), &str> = HashMap::with_capacity(self.routes.len());
        for (place, route) in self.routes.iter().enumerate() {
            let mut say = |field: &str, why: String| {
                let path = if field.is_empty() {
                    format!("routes[{place}]")
                } else {
                    format!("routes[{place}].{field}")
                };
                faults.push(Fault { path, why });
            };
            if !(route.path_prefix.starts_with('/') && route.path_prefix.ends_with('/')) {
                say(
                    "path_prefix",
                    format!(
                        "`{}` does not begin and end with a slash",
                        route.path_prefix
                    ),
                );
            }
            if route.deadline_ms == 0 {
                say("deadline_ms", "0 leaves no time".into());
            }
            if route.split.is_empty() {
                say("split", "it leads to no service".into());
            } else if route.split.iter().all(|share| share.weight == 0) {
                say("split", "its weights add up to 0".into());
            }
            for share in route
                .split
                .iter()
                .filter(|share| !self.services.contains_key(&share.service))
            {
                say(
                    "split",
                    format!("`{}` is not a service of this plan", share.service),
                );
            }
            if let Some(other) =
                seen.insert((plain_host(&route.host), &route.path_prefix), &route.name)
            {
                say(
                    "",
                    format!("`{}` has the same host and prefix as `{other}`", route.name),
                );
            }
        }
        faults.extend(tenant_faults(&self.tenants));
        faults
    }
}
