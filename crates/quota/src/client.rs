mod tenant_credit;

use crate::amount::Amount;
use crate::fault_injection::{FaultInjection, NoFaults};
use crate::limit::QuotaLimit;
use crate::messages::{CreditGrant, CreditRequest, TenantCreditRequest};
use std::collections::BTreeMap;
use tenant_credit::{TenantCredit, WaitingRequest};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// A node's credit: what the node may admit of each tenant without a request to the authority.
///
/// Invariants: a request is admitted only if its amount is taken from credit that was granted to this incarnation,
/// is listed or granted by a grant for the newest request, and has not expired, counted from when that request was
/// sent. At most one request is pending; a grant is accepted once, and only for the newest request.
#[derive(Debug, Clone)]
pub struct QuotaClient {
    incarnation: u64,
    /// When the node started.
    started: MonotonicInstant,
    /// Whether anything was granted to this incarnation.
    was_granted: bool,
    /// The number of the newest request.
    number: u64,
    plan_epoch: ConfigEpoch,
    tenants: BTreeMap<TenantName, TenantCredit>,
    pending: Option<PendingRequest>,
    /// The authority that a complete list of the credit was sent to.
    reported_to: Option<Address>,
    /// Whether the authority needs a complete list.
    must_report: bool,
    /// When credit for future requests may be requested next.
    next_restock: MonotonicInstant,
    /// When the demand is estimated next.
    next_estimate: MonotonicInstant,
    pub(crate) faults: &'static dyn FaultInjection,
}

/// A request for credit that was sent and not responded to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PendingRequest {
    pub(crate) authority: Address,
    pub(crate) sent: MonotonicInstant,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRejection {
    /// The tenant exceeds its quota.
    OverQuota {
        /// The delay after which a retry may be admitted.
        retry_after: Milliseconds,
    },
    /// The authority did not respond in time, so it is unknown whether the tenant exceeds its quota.
    Unknown {
        /// The delay after which a retry may be admitted.
        retry_after: Milliseconds,
    },
}

/// Whether a request is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is admitted.
    Admitted,
    /// The request waits for credit until an [`AdmissionDecision`] has its number.
    Waiting,
    /// The request is rejected.
    Rejected(QuotaRejection),
}

/// The decision on a request that waited for credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionDecision {
    /// The number of the request.
    pub number: u64,
    /// Whether the request is admitted.
    pub outcome: Result<(), QuotaRejection>,
}

/// The credit of a tenant at one node, as operators are shown it.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct QuotaClientStatus {
    /// The name of the tenant.
    pub tenant: TenantName,
    /// The rate per second over the whole fleet, in thousandths of a unit; 0 stands for no limit.
    pub rate: Amount,
    /// What is allowed at once beyond the rate, in thousandths of a unit.
    pub burst: Amount,
    /// What the node may admit without a request to the authority, in thousandths of a unit.
    #[serde(rename = "held")]
    pub available: Amount,
    /// What the node admits per second, estimated, in thousandths of a unit.
    pub demand: Amount,
    /// The number of requests that this incarnation admitted.
    pub admitted: u64,
    /// The number of requests that this incarnation rejected for the quota.
    pub over_quota: u64,
    /// The number of requests that this incarnation rejected because the authority did not respond.
    pub unknown: u64,
}

/// The time after which a request for credit without a response is given up.
const RESPONSE_TIMEOUT: Milliseconds = Milliseconds(120);
/// The longest time that a request waits for credit.
const ADMISSION_TIMEOUT: Milliseconds = Milliseconds(300);
/// The delay for a retry of a request that was rejected because the authority did not respond.
const UNKNOWN_RETRY: Milliseconds = Milliseconds(500);
/// The shortest period between requests of credit for future requests. Each byte of such a request adds a
/// millisecond.
const RESTOCK_PERIOD: Milliseconds = Milliseconds(500);
/// The approximate size of a tenant's entry in a request for credit, in bytes.
const ENTRY_BYTES: u64 = 64;
/// The largest number of tenants in a request for credit that is not complete.
const MAX_ENTRIES: usize = 64;
/// The period of the demand estimate.
const ESTIMATE_PERIOD: Milliseconds = Milliseconds(250);

impl QuotaClient {
    /// A client without credit at the start of a node. No other run of the node has the same incarnation.
    pub fn new(incarnation: u64, now: MonotonicInstant) -> Self {
        QuotaClient {
            incarnation,
            started: now,
            was_granted: false,
            number: 0,
            plan_epoch: ConfigEpoch(0),
            tenants: BTreeMap::new(),
            pending: None,
            reported_to: None,
            must_report: false,
            next_restock: now,
            next_estimate: now,
            faults: &NoFaults,
        }
    }

    /// Sets the limits of the plan that was accepted as `epoch`; requests of all other tenants are not limited.
    /// Returns the decisions on requests that waited for a tenant without a limit now: they are admitted.
    pub fn set_limits(
        &mut self,
        epoch: ConfigEpoch,
        limits: &[(TenantName, QuotaLimit)],
    ) -> Vec<AdmissionDecision> {
        self.plan_epoch = epoch;
        let mut former = std::mem::take(&mut self.tenants);
        for (tenant, limit) in limits {
            let mut credit = former.remove(tenant).unwrap_or_default();
            credit.limit = *limit;
            self.tenants.insert(tenant.clone(), credit);
        }
        former
            .into_values()
            .flat_map(|credit| credit.waiting)
            .map(|waiting| waiting.decision(Ok(())))
            .collect()
    }

    /// Decides whether a tenant's request is admitted. `number` identifies the request if it must wait.
    pub fn admit(
        &mut self,
        now: MonotonicInstant,
        number: u64,
        tenant: &TenantName,
        amount: Amount,
    ) -> Admission {
        let Some(credit) = self.tenants.get_mut(tenant) else {
            return Admission::Admitted;
        };
        credit.expire(now, self.faults);
        if credit.waiting.is_empty() && credit.spend(amount) {
            return Admission::Admitted;
        }
        if now < credit.rejected_until {
            credit.over_quota_count += 1;
            let retry_after = now.until(credit.rejected_until);
            return Admission::Rejected(QuotaRejection::OverQuota { retry_after });
        }
        credit.waiting.push_back(WaitingRequest {
            number,
            amount,
            deadline: now + ADMISSION_TIMEOUT,
        });
        Admission::Waiting
    }

    /// Charges an admitted request once more: it is sent to another server, and the first one may have run it. What
    /// the credit does not cover becomes debt.
    pub fn debit_again(&mut self, now: MonotonicInstant, tenant: &TenantName, amount: Amount) {
        if let Some(credit) = self.tenants.get_mut(tenant) {
            credit.expire(now, self.faults);
            credit.debit(amount);
        }
    }

    /// Returns the amount of an admitted request that was sent to no server.
    pub fn refund(&mut self, now: MonotonicInstant, tenant: &TenantName, amount: Amount) {
        if let Some(credit) = self.tenants.get_mut(tenant) {
            credit.refund(now, amount);
        }
    }

    /// Cancels the request that waits for credit under this number, if any.
    pub fn cancel(&mut self, number: u64) {
        for credit in self.tenants.values_mut() {
            credit.waiting.retain(|waiting| waiting.number != number);
        }
    }

    /// Handles the passage of time. Returns the decisions on requests that have waited too long: they are rejected.
    pub fn on_clock(&mut self, now: MonotonicInstant) -> Vec<AdmissionDecision> {
        if now >= self.next_estimate {
            self.next_estimate = now + ESTIMATE_PERIOD;
            self.tenants
                .values_mut()
                .for_each(|credit| credit.estimate_demand(ESTIMATE_PERIOD));
        }
        if self
            .pending
            .is_some_and(|request| now.since(request.sent) >= RESPONSE_TIMEOUT)
        {
            self.pending = None;
        }
        self.tenants
            .values_mut()
            .flat_map(|credit| credit.reject_overdue(now, UNKNOWN_RETRY))
            .collect()
    }

    /// The request for credit that is to be sent now to the authority at this address, if any. A request that is
    /// returned is pending.
    pub fn next_request(
        &mut self,
        now: MonotonicInstant,
        authority: Option<Address>,
    ) -> Option<(Address, CreditRequest)> {
        let authority = authority?;
        if self.pending.is_some() || self.tenants.is_empty() {
            return None;
        }
        let is_complete = self.must_report || self.reported_to != Some(authority);
        let restocks = now >= self.next_restock;
        let mut credits = self.tenants.values();
        let has_waiting = credits.any(|credit| !credit.waiting.is_empty());
        if !is_complete && !has_waiting && !restocks {
            return None;
        }
        let entries = self.request_entries(now, is_complete, restocks);
        if restocks {
            let transfer_time = Milliseconds(entries.len() as u64 * ENTRY_BYTES);
            self.next_restock = now + RESTOCK_PERIOD.max(transfer_time);
        }
        if entries.is_empty() && !is_complete {
            return None;
        }
        self.number += 1;
        self.pending = Some(PendingRequest {
            authority,
            sent: now,
        });
        let request = CreditRequest {
            incarnation: self.incarnation,
            number: self.number,
            plan_epoch: self.plan_epoch,
            since_start: (!self.was_granted).then(|| now.since(self.started)),
            is_complete,
            entries,
        };
        Some((authority, request))
    }

    fn request_entries(
        &mut self,
        now: MonotonicInstant,
        is_complete: bool,
        restocks: bool,
    ) -> Vec<TenantCreditRequest> {
        let mut entries = vec![];
        for (tenant, credit) in &mut self.tenants {
            credit.expire(now, self.faults);
            let is_listed =
                credit.must_request(restocks) || (is_complete && !credit.available.is_none());
            if is_listed && (is_complete || entries.len() < MAX_ENTRIES) {
                entries.push(credit.request(tenant));
            }
        }
        entries
    }

    /// Handles a grant of the authority. Returns the decisions on requests that waited for it. A grant that is not
    /// for the pending request, or that arrives after its credit has expired, is ignored.
    pub fn on_grant(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        grant: &CreditGrant,
    ) -> Vec<AdmissionDecision> {
        let request = self.pending.filter(|request| {
            // A node that was suspended may receive a grant that was sent long ago.
            let is_valid = now.since(request.sent) < grant.lifetime;
            request.authority == from && grant.number == self.number && is_valid
        });
        let Some(request) = self.faults.granted_request(request, from, now) else {
            return vec![];
        };
        self.pending = None;
        self.must_report = grant.wants_complete;
        self.reported_to = Some(from);
        self.was_granted |= grant.entries.iter().any(|entry| !entry.granted.is_none());
        let expires = request.sent + grant.lifetime;
        let mut decisions = vec![];
        for entry in &grant.entries {
            if let Some(credit) = self.tenants.get_mut(&entry.tenant) {
                decisions.extend(credit.on_grant(now, expires, entry));
            }
        }
        decisions
    }

    /// The time at which [`QuotaClient::on_clock`] must be called next; `None` if only after the next request.
    pub fn next_timer(&self) -> Option<MonotonicInstant> {
        let response = self.pending.map(|request| request.sent + RESPONSE_TIMEOUT);
        let first_waiting = self.tenants.values().filter_map(|one| one.waiting.front());
        let admission = first_waiting.map(|waiting| waiting.deadline).min();
        response.into_iter().chain(admission).min()
    }

    /// The credit of all tenants with a limit, as operators are shown it.
    pub fn status(&self) -> Vec<QuotaClientStatus> {
        let tenants = self.tenants.iter();
        tenants
            .map(|(tenant, credit)| credit.status(tenant))
            .collect()
    }
}
