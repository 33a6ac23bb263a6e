//! Tenants: who may send requests, identified by API keys, and at what rate.

use schematic::{Config, ConfigEnum};
use std::collections::HashMap;
use types::{ApiKey, ApiKeys, random_bytes};

/// The unit of a tenant's quota.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, ConfigEnum, Default, serde::Serialize, serde::Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum QuotaUnit {
    /// A request.
    #[default]
    Request,
    /// A token: those of the prompt and the largest number that may be generated.
    Token,
}

/// A tenant.
#[derive(Debug, Clone, Config)]
pub struct TenantPlan {
    /// The name, unique within the plan.
    #[setting(required)]
    pub name: String,
    /// The API keys, each of which belongs to this tenant alone. A tenant without keys cannot send requests.
    pub api_keys: ApiKeys,
    /// The priority, which goes before that of the route; 0 goes first. If absent, the route's applies.
    pub priority: Option<u64>,
    /// The unit of `rate_per_s` and `burst`.
    pub quota_unit: QuotaUnit,
    /// The rate limit over the whole fleet, in units per second; 0 stands for no limit.
    pub rate_per_s: f64,
    /// The units allowed at once beyond the rate.
    pub burst: f64,
    /// The number of tokens that a request is counted with if it does not say how many it has.
    pub untold_tokens: u64,
}

/// The upper bound of a tenant's rate and burst, in units. Their thousandths fit 63 bits many times over.
pub(crate) const MAX_QUOTA_UNITS: f64 = 1e12;

impl TenantPlan {
    /// Whether the tenant has a rate limit.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }
}

/// Hashes API keys with a secret of the process, so that keys are never compared byte by byte.
#[derive(Clone)]
pub struct KeyHasher([u8; 32]);

impl std::fmt::Debug for KeyHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyHasher(…)")
    }
}

/// The digest of an API key. It has a meaning only in the process that computed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyHasher {
    /// A hasher with a random secret.
    pub fn draw() -> Self {
        KeyHasher(random_bytes())
    }

    /// The digest of a key.
    pub fn digest(&self, key: &ApiKey) -> KeyDigest {
        KeyDigest(*blake3::keyed_hash(&self.0, key.as_bytes()).as_bytes())
    }
}

/// The tenants of a plan, by the digests of their API keys.
#[derive(Debug, Clone)]
pub struct TenantTable {
    hasher: KeyHasher,
    tenants: Vec<TenantPlan>,
    by_key: HashMap<KeyDigest, usize>,
}

impl TenantTable {
    /// The table of a plan's tenants. The table keeps digests of the keys, not the keys.
    pub fn new(tenants: &[TenantPlan], hasher: KeyHasher) -> Self {
        let mut by_key = HashMap::new();
        for (index, tenant) in tenants.iter().enumerate() {
            for key in &tenant.api_keys.0 {
                by_key.insert(hasher.digest(key), index);
            }
        }
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

    /// Whether there are no tenants, so that requests need no API key.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The digest of a key, as [`TenantTable::tenant`] takes it.
    pub fn digest(&self, key: &ApiKey) -> KeyDigest {
        self.hasher.digest(key)
    }

    /// The tenant that a key belongs to, if any.
    pub fn tenant(&self, key: &KeyDigest) -> Option<&TenantPlan> {
        self.tenants.get(*self.by_key.get(key)?)
    }

    /// All tenants, without their API keys.
    pub fn tenants(&self) -> &[TenantPlan] {
        &self.tenants
    }
}
