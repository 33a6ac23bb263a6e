//! Tenants: who may send requests, by which API keys, and how many.

use crate::plan::Fault;
use schematic::{Config, ConfigEnum};
use std::collections::HashMap;
use types::{ApiKey, ApiKeys, TenantName, random_bytes};

/// What a tenant's quota counts.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    Request,
    /// Tokens of the prompt and the most that come out.
    Token,
}

/// One tenant.
#[derive(Debug, Clone, Config)]
pub struct TenantPlan {
    /// Its own among the plan's.
    #[setting(required)]
    pub name: String,
    /// Each names it alone. A tenant without keys sends nothing.
    pub api_keys: ApiKeys,
    /// Goes before the route's: 0 goes first. Left out: the route's alone counts.
    pub priority: Option<u64>,
    /// What `rate_per_s` and `burst` count.
    pub quota_unit: QuotaUnit,
    /// Units a second over the whole fleet; 0: no limit.
    pub rate_per_s: f64,
    /// Units above that at once.
    pub burst: f64,
    /// Tokens that a request counts which does not tell how many it has.
    pub untold_tokens: u64,
}

/// No quota is larger: its thousandths still fit 63 bits many times over.
const MOST_UNITS: f64 = 1e12;

impl TenantPlan {
    /// Whether it may send only so much.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// What is wrong with the tenants of a plan. No fault shows a key.
pub(crate) fn tenant_faults(tenants: &[TenantPlan]) -> Vec<Fault> {
    let mut faults = vec![];
    let mut names: HashMap<&str, usize> = HashMap::new();
    let mut owners: HashMap<&ApiKey, usize> = HashMap::new();
    for (place, tenant) in tenants.iter().enumerate() {
        let mut say = |field: &str, why: String| {
            faults.push(Fault {
                path: format!("tenants[{place}].{field}"),
                why,
            });
        };
        if !TenantName::from(tenant.name.as_str()).is_valid() {
            say(
                "name",
                "a name is 1 to 64 letters, digits or any of -_.:".into(),
            );
        }
        if let Some(other) = names.insert(&tenant.name, place) {
            say("name", format!("tenants[{other}] has the same name"));
        }
        for (number, key) in tenant.api_keys.0.iter().enumerate() {
            let field = format!("api_keys[{number}]");
            if key.is_empty() {
                say(&field, "a key is not empty".into());
            }
            match owners.insert(key, place) {
                Some(other) if other != place => {
                    say(&field, format!("tenants[{other}] has the same key"))
                }
                _ => {}
            }
        }
        for (field, units) in [("rate_per_s", tenant.rate_per_s), ("burst", tenant.burst)] {
            if !(0.0..=MOST_UNITS).contains(&units) {
                say(field, format!("it is not within 0 to {MOST_UNITS:e}"));
            }
        }
    }
    faults
}

/// Hashes keys so that no two of them are ever compared byte by byte.
#[derive(Clone)]
pub struct KeyHasher([u8; 32]);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher(…)")
    }
}

/// What stands for a key inside a process. It means nothing in any other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyHasher {
    /// One for this process, drawn at random.
    pub fn draw() -> Self {
        KeyHasher(random_bytes())
    }
    /// What stands for a key.
    pub fn digest(&self, key: &ApiKey) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

/// Finds the tenant of a key.
#[derive(Debug, Clone)]
pub struct TenantTable {
    hasher: KeyHasher,
    tenants: Vec<TenantPlan>,
    by_key: HashMap<KeyDigest, usize>,
}

impl TenantTable {
    /// Of a plan's tenants.
    pub fn new(tenants: &[TenantPlan], hasher: KeyHasher) -> Self {
        let keys = |(place, tenant): (usize, &TenantPlan)| {
            let digests: Vec<(KeyDigest, usize)> = tenant
                .api_keys
                .0
                .iter()
                .map(|key| (hasher.digest(key), place))
                .collect();
            digests
        };
        let by_key = tenants.iter().enumerate().flat_map(keys).collect();
        // Only digests are needed from here on.
        let without_keys = |tenant: &TenantPlan| TenantPlan {
            api_keys: ApiKeys::default(),
            ..tenant.clone()
        };
        TenantTable {
            by_key,
            tenants: tenants.iter().map(without_keys).collect(),
            hasher,
        }
    }
    /// Whether requests need no key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
    /// What stands for a key here.
    pub fn digest(&self, key: &ApiKey) -> KeyDigest {
        self.hasher.digest(key)
    }
    /// Whose key it is.
    pub fn tenant(&self, key: &KeyDigest) -> Option<&TenantPlan> {
        self.tenants.get(*self.by_key.get(key)?)
    }
    /// All of them.
    pub fn tenants(&self) -> &[TenantPlan] {
        &self.tenants
    }
}
