//! Tenants in the simulator: whose requests are whose, what plans say of them, and whether any window held more
//! than a quota's bound.

use crate::world::{Mutant, Witness, World};
use config::KeyDigest;
use quota::{Amount, QuotaBounds, QuotaLimit};
use router::Access;
use types::{Milliseconds, RequestId};
use wire::Message;

/// By how much quotas may be exceeded here.
pub(super) const QUOTA_BOUNDS: QuotaBounds = QuotaBounds {
    window: Milliseconds(8000),
    excess_percent: 10,
    tolerance: 4,
};
/// Requests a second, and above that, of an ordinary plan; others say half of it.
const RATE: u64 = 6;
/// Percent of the requests that the first tenant sends.
const HOT_PERCENT: u64 = 60;
/// Each tenant has so many keys at most,
const KEYS: u64 = 2;
/// and in a plan each of them with so many percent.
const KEY_PERCENT: u64 = 85;
/// A plan that was told as accepted is the newest that any node goes by after this: a lower limit binds from then on.
const KNOWN: u64 = 2500;

/// Whose a request is.
#[derive(Debug, Clone)]
pub(super) struct Ownership {
    tenant: u64,
    /// What stood for its key at its router, when it came.
    pub(super) key: KeyDigest,
}

fn key_name(tenant: u64, number: u64) -> String {
    format!("key-{tenant}-{number}")
}

impl World {
    /// What a plan says of tenants: now and then a key is missing, or a limit is half of the ordinary.
    pub(super) fn tenants_of_plan(&mut self) -> serde_json::Value {
        let mut tenants = vec![];
        for tenant in 0..self.rules.tenants {
            let keys: Vec<String> = (0..KEYS)
                .filter(|_| self.chance(KEY_PERCENT))
                .map(|number| key_name(tenant, number))
                .collect();
            let rate = if self.chance(30) { RATE / 2 } else { RATE };
            tenants.push(serde_json::json!({
                "name": format!("t{tenant}"), "api_keys": keys, "rate_per_s": rate as f64, "burst": rate as f64,
            }));
        }
        tenants.into()
    }

    /// Whose a request is that comes to this router now. `Err`: the router turns its key away.
    pub(super) fn draw_ownership(&mut self, machine: usize) -> Result<Option<Ownership>, ()> {
        if self.rules.tenants == 0 {
            return Ok(None);
        }
        let tenant = if self.chance(HOT_PERCENT) {
            0
        } else {
            self.below(self.rules.tenants)
        };
        let number = self.below(KEYS);
        let Some(node) = &self.routers[machine].node else {
            return Ok(None);
        };
        let table = node.tenants();
        let key = table.digest(&key_name(tenant, number).as_str().into());
        match table.is_empty() || table.tenant(&key).is_some() {
            true => Ok(Some(Ownership { tenant, key })),
            false => Err(()),
        }
    }

    /// A server took a request that was sent with this access.
    pub(super) fn judge_tenant(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(Ownership { tenant, .. }) = &request.owner else {
            return;
        };
        let (tenant, access) = (*tenant, request.access.clone());
        if access != Access::Tenant(format!("t{tenant}").as_str().into()) {
            self.witness.violate(
                self.now,
                format!("{id} of tenant t{tenant} ran as {access:?}"),
            );
        }
        self.witness
            .tenant_runs
            .entry(tenant)
            .or_default()
            .push(self.now);
    }

    /// For the mutants: grants that are worth twice as much, and a tail that waits for nobody.
    pub(super) fn spoil_grant(&self, message: &mut Message) {
        let Message::CreditGrant { grant } = message else {
            return;
        };
        match self.rules.mutant {
            Some(Mutant::DoubleGrants) => {
                grant
                    .entries
                    .iter_mut()
                    .for_each(|entry| entry.granted = entry.granted.plus(entry.granted));
            }
            Some(Mutant::ForgetCredit) => grant.lifetime = QUOTA_BOUNDS.credit_lifetime(),
            _ => {}
        }
    }

    /// The bounds by which tails go.
    pub(super) fn tails_bounds(&self) -> QuotaBounds {
        match self.rules.mutant {
            // Credit is out for longer than the tail thinks.
            Some(Mutant::ForgetCredit) => QuotaBounds {
                window: Milliseconds(200),
                tolerance: 60,
                ..QUOTA_BOUNDS
            },
            _ => QUOTA_BOUNDS,
        }
    }
}

impl Witness {
    /// Whether any window held more of a tenant's requests than the largest limit that may have bound in it.
    pub(super) fn judge_quotas(&mut self) {
        for (tenant, runs) in std::mem::take(&mut self.tenant_runs) {
            let mut first = 0;
            for (place, at) in runs.iter().enumerate() {
                while runs[first] + QUOTA_BOUNDS.window.0 < *at {
                    first += 1;
                }
                let count = (place + 1 - first) as u64;
                let most = self.most_in_window(tenant, runs[first], *at);
                if count > most {
                    self.violate(
                        *at,
                        format!("{count} requests of t{tenant} in a window that may hold {most}"),
                    );
                    break;
                }
            }
        }
    }

    /// What a window may hold of a tenant, by the largest limit of the plans that may have been in force.
    fn most_in_window(&self, tenant: u64, from: u64, to: u64) -> u64 {
        let binds_from = from.saturating_sub(QUOTA_BOUNDS.window.0 + KNOWN);
        let told_by_then = |fate: &&(u64, u64, u64)| fate.1 == 300 && fate.0 <= binds_from;
        let is_plan = |id: &String| self.plans.contains_key(id);
        let settled = self
            .fates
            .iter()
            .filter(|(id, fate)| is_plan(id) && told_by_then(fate));
        let settled = settled.map(|(_, fate)| fate.2).max().unwrap_or(0);
        let rate_of =
            |plan: &serde_json::Value| plan["tenants"][tenant as usize]["rate_per_s"].as_f64();
        let may_count = |id: &String| match self.fates.get(id) {
            Some((_, 300, epoch)) => *epoch >= settled,
            Some((_, 304, _)) | None => true,
            Some(_) => false,
        };
        let is_proposed = |id: &String| self.proposed.get(id).is_some_and(|(at, _)| *at <= to);
        let rates = self
            .plans
            .iter()
            .filter(|(id, _)| is_proposed(id) && may_count(id));
        let rate = rates
            .filter_map(|(_, plan)| rate_of(plan))
            .fold(0.0, f64::max);
        let limit = QuotaLimit {
            rate: Amount::fraction(rate),
            burst: Amount::fraction(rate),
        };
        QUOTA_BOUNDS
            .allowed(&limit)
            .plus(QUOTA_BOUNDS.slack(&limit))
            .thousandths
            / 1000
    }
}
