mod account;
mod spent_window;

use crate::amount::Amount;
use crate::fault_injection::{FaultInjection, NoFaults};
use crate::limit::QuotaBounds;
use crate::messages::{CreditGrant, CreditRequest, TenantCreditGrant, TenantCreditRequest};
use account::{Account, Credit, CreditOwner};
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// Grants credit of tenants' quotas. There is one authority at a time: the tail of the controllers' chain.
///
/// Invariant, for each tenant and at each grant: what was spent in any span that ends now and is no longer than a
/// window, together with all outstanding credit, is no more than burst, slack and the rate times that span. Spent is
/// what nodes report, when they report it, and what expired without a report. So any window holds at most what the
/// quota allows and the slack; and a new authority that knows nothing may grant by the rate at once, since its
/// predecessor kept to this. First it recovers: it waits until it knows the outstanding credit of its predecessor's
/// grants, or until that has expired.
#[derive(Debug, Clone)]
pub struct QuotaAuthority {
    bounds: QuotaBounds,
    phase: Phase,
    /// The nodes that have reported all their credit, with the latest time at which credit that they did not report
    /// may have been spent.
    complete_reports: BTreeMap<Address, MonotonicInstant>,
    /// The newest request of each node.
    newest_requests: BTreeMap<Address, NewestRequest>,
    accounts: BTreeMap<TenantName, Account>,
    pub(crate) faults: &'static dyn FaultInjection,
}

/// Whether the authority grants credit yet.
#[derive(Debug, Clone, Copy)]
enum Phase {
    /// The outstanding credit of the predecessor's grants is unknown. Nothing is granted.
    Recovering {
        /// When the authority took over.
        since: MonotonicInstant,
    },
    /// The outstanding credit is known, or has expired.
    Granting {
        /// The latest time at which unknown credit of the predecessor may have been spent.
        last_spent: MonotonicInstant,
    },
}

#[derive(Debug, Clone, Copy, Default)]
struct NewestRequest {
    incarnation: u64,
    number: u64,
}

/// The usage of a tenant's quota, as operators are shown it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct QuotaUsage {
    /// The name of the tenant.
    pub tenant: TenantName,
    /// The rate per second, in thousandths of a unit.
    pub rate: Amount,
    /// What is allowed at once beyond the rate, in thousandths of a unit.
    pub burst: Amount,
    /// What was spent within the last window, as far as nodes reported it, in thousandths of a unit.
    pub spent_in_window: Amount,
    /// The credit that is granted and not spent, as far as nodes reported it, in thousandths of a unit.
    pub outstanding: Amount,
    /// How often a required amount was not granted.
    pub denied: u64,
}

/// The delay after which a node requests again what it requires while the authority recovers.
const RECOVERY_RETRY: Milliseconds = Milliseconds(200);

impl QuotaAuthority {
    /// An authority that takes over now.
    pub fn new(bounds: QuotaBounds, now: MonotonicInstant) -> Self {
        QuotaAuthority {
            bounds,
            phase: Phase::Recovering { since: now },
            complete_reports: BTreeMap::new(),
            newest_requests: BTreeMap::new(),
            accounts: BTreeMap::new(),
            faults: &NoFaults,
        }
    }

    /// Handles a node's request for credit. `members` are all nodes that may have credit.
    ///
    /// Returns the grant, or `None` for an old request that arrives late: the credit that it lists may have been
    /// spent since.
    pub fn on_request(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        request: &CreditRequest,
        members: &[Address],
    ) -> Option<CreditGrant> {
        if !self.is_newest(from, request) {
            return None;
        }
        if request.is_complete {
            let last_spent = now - request.since_start.unwrap_or(Milliseconds(0));
            self.complete_reports.insert(from, last_spent);
        }
        self.finish_recovery(now, members);
        let owner = CreditOwner {
            node: from,
            incarnation: request.incarnation,
        };
        let entries = request
            .entries
            .iter()
            .map(|entry| self.grant(now, owner, request.plan_epoch, entry))
            .collect();
        let is_recovering = matches!(self.phase, Phase::Recovering { .. });
        Some(CreditGrant {
            number: request.number,
            lifetime: self.bounds.credit_lifetime(),
            wants_complete: is_recovering && !self.complete_reports.contains_key(&from),
            entries,
        })
    }

    /// Records a request, unless a newer one of the same incarnation was recorded before.
    fn is_newest(&mut self, from: Address, request: &CreditRequest) -> bool {
        let newest = self.newest_requests.entry(from).or_default();
        if newest.incarnation == request.incarnation && request.number <= newest.number {
            return false;
        }
        *newest = NewestRequest {
            incarnation: request.incarnation,
            number: request.number,
        };
        true
    }

    /// Starts to grant once all members have reported their credit, or once all credit of the predecessor has
    /// expired.
    fn finish_recovery(&mut self, now: MonotonicInstant, members: &[Address]) {
        let Phase::Recovering { since } = self.phase else {
            return;
        };
        let period = self.faults.recovery_period(self.bounds.credit_lifetime());
        let has_expired = now.since(since) >= period;
        let is_complete = members
            .iter()
            .all(|member| self.complete_reports.contains_key(member));
        if !has_expired && !is_complete {
            return;
        }
        let last_report = self.complete_reports.values().max().copied();
        let last_spent = last_report.filter(|_| is_complete).unwrap_or(now);
        self.phase = Phase::Granting { last_spent };
        for account in self.accounts.values_mut() {
            account.assume_spent(last_spent, &self.bounds, self.faults);
        }
    }

    /// Reconciles a tenant's account with what a node reports, and grants what the node requests.
    fn grant(
        &mut self,
        now: MonotonicInstant,
        owner: CreditOwner,
        epoch: ConfigEpoch,
        entry: &TenantCreditRequest,
    ) -> TenantCreditGrant {
        let (bounds, faults, phase) = (self.bounds, self.faults, self.phase);
        let account = self
            .accounts
            .entry(entry.tenant.clone())
            .or_insert_with(|| {
                let mut account = Account::new(entry.limit, epoch, &bounds);
                if let Phase::Granting { last_spent } = phase {
                    // What the predecessor granted of this quota is unknown.
                    account.assume_spent(last_spent, &bounds, faults);
                }
                account
            });
        account.update_limit(entry.limit, epoch);
        account.expire(now);
        account.reconcile(now, owner, entry.available);
        let (granted, retry_after) = match phase {
            Phase::Granting { .. } => {
                let outstanding = faults.outstanding(account.outstanding());
                account.grant(now, &bounds, outstanding, entry)
            }
            Phase::Recovering { .. } if entry.required.is_none() => (Amount::NONE, Milliseconds(0)),
            Phase::Recovering { .. } => (Amount::NONE, RECOVERY_RETRY),
        };
        let credit = Credit {
            amount: entry.available.plus(granted),
            expires: now + bounds.credit_lifetime(),
        };
        account.set_credit(owner, credit);
        TenantCreditGrant {
            tenant: entry.tenant.clone(),
            granted,
            retry_after,
        }
    }

    /// The usage of all quotas of which credit was requested, as operators are shown it.
    pub fn usage(&self, now: MonotonicInstant) -> Vec<QuotaUsage> {
        let accounts = self.accounts.iter();
        accounts
            .map(|(tenant, account)| account.usage(now, tenant))
            .collect()
    }
}
