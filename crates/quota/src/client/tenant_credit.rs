use crate::amount::Amount;
use crate::client::{AdmissionDecision, QuotaClientStatus, QuotaRejection};
use crate::fault_injection::FaultInjection;
use crate::limit::QuotaLimit;
use crate::messages::{TenantCreditGrant, TenantCreditRequest};
use std::collections::VecDeque;
use types::{Milliseconds, MonotonicInstant, TenantName};

/// A node's credit of one tenant, and the requests that wait for it.
#[derive(Debug, Clone, Default)]
pub(super) struct TenantCredit {
    pub(super) limit: QuotaLimit,
    /// The credit that is not spent.
    pub(super) available: Amount,
    expires: MonotonicInstant,
    /// What was spent without credit, by requests that could not be rejected any more.
    debt: Amount,
    /// What was admitted since the demand was last estimated.
    admitted: Amount,
    /// What is admitted per second, estimated.
    demand: Amount,
    /// The amount of the newest admitted request.
    newest: Amount,
    /// When the authority may grant again what is required.
    pub(super) rejected_until: MonotonicInstant,
    /// The requests that wait for credit, in the order of their arrival.
    pub(super) waiting: VecDeque<WaitingRequest>,
    admitted_count: u64,
    pub(super) over_quota_count: u64,
    unknown_count: u64,
}

/// A request that waits for credit.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingRequest {
    pub(super) number: u64,
    pub(super) amount: Amount,
    /// When the request is rejected if there is no grant.
    pub(super) deadline: MonotonicInstant,
}

/// The credit for future requests is the demand over this time.
const STOCK_PERIOD: Milliseconds = Milliseconds(1500);
/// The newest period's weight in the demand estimate is one part in so many.
const DEMAND_PARTS: u64 = 8;

impl WaitingRequest {
    pub(super) fn decision(&self, outcome: Result<(), QuotaRejection>) -> AdmissionDecision {
        AdmissionDecision {
            number: self.number,
            outcome,
        }
    }
}

impl TenantCredit {
    /// Drops the credit if it has expired.
    pub(super) fn expire(&mut self, now: MonotonicInstant, faults: &dyn FaultInjection) {
        if now >= faults.credit_expiry(self.expires) {
            self.available = Amount::NONE;
        }
    }

    /// Spends credit on a request; returns whether there was enough.
    pub(super) fn spend(&mut self, amount: Amount) -> bool {
        if self.available < amount {
            return false;
        }
        self.available = self.available.less(amount);
        self.newest = amount;
        self.admitted = self.admitted.plus(amount);
        self.admitted_count += 1;
        true
    }

    /// Spends credit on a request that cannot be rejected any more. What is missing becomes debt.
    pub(super) fn debit(&mut self, amount: Amount) {
        let missing = amount.less(self.available);
        self.available = self.available.less(amount);
        self.debt = self.debt.plus(missing);
    }

    /// Returns credit that was spent, unless it has expired.
    pub(super) fn refund(&mut self, now: MonotonicInstant, amount: Amount) {
        if now < self.expires {
            self.available = self.available.plus(amount);
        }
    }

    /// Updates the demand, a moving average, with what was admitted in the last period.
    pub(super) fn estimate_demand(&mut self, period: Milliseconds) {
        let newest = std::mem::take(&mut self.admitted).part(1000, period.0);
        let older = self.demand.part(DEMAND_PARTS - 1, DEMAND_PARTS);
        self.demand = older.plus(newest.part(1, DEMAND_PARTS));
    }

    /// The credit to have for future requests. Less than one request is of no use.
    fn target_stock(&self) -> Amount {
        let stock = self.demand.over(STOCK_PERIOD);
        if stock < self.newest {
            Amount::NONE
        } else {
            stock
        }
    }

    /// Whether credit must be requested: for requests that wait or, if this is the time for it, for future ones.
    pub(super) fn must_request(&self, restocks: bool) -> bool {
        let is_low = self.available < self.target_stock().part(1, 2) || !self.debt.is_none();
        !self.waiting.is_empty() || (restocks && is_low)
    }

    pub(super) fn request(&self, tenant: &TenantName) -> TenantCreditRequest {
        let first = self
            .waiting
            .front()
            .map_or(Amount::NONE, |waiting| waiting.amount);
        let all = self
            .waiting
            .iter()
            .fold(Amount::NONE, |sum, waiting| sum.plus(waiting.amount));
        TenantCreditRequest {
            tenant: tenant.clone(),
            limit: self.limit,
            available: self.available,
            required: first.plus(self.debt).less(self.available),
            requested: all
                .plus(self.debt)
                .plus(self.target_stock())
                .less(self.available),
        }
    }

    /// Takes granted credit, valid until `expires`. Returns the decisions on requests that waited for it.
    pub(super) fn on_grant(
        &mut self,
        now: MonotonicInstant,
        expires: MonotonicInstant,
        grant: &TenantCreditGrant,
    ) -> Vec<AdmissionDecision> {
        self.expires = expires;
        let funds = self.available.plus(grant.granted);
        let repaid = funds.min(self.debt);
        self.debt = self.debt.less(repaid);
        self.available = funds.less(repaid);
        let mut decisions = self.admit_waiting();
        if grant.retry_after.0 > 0 {
            self.rejected_until = now + grant.retry_after;
            decisions.extend(self.reject_waiting(grant.retry_after));
        }
        decisions
    }

    /// Admits requests in their order, as far as the credit reaches.
    fn admit_waiting(&mut self) -> Vec<AdmissionDecision> {
        let mut decisions = vec![];
        while let Some(first) = self.waiting.front().copied() {
            if !self.spend(first.amount) {
                break;
            }
            self.waiting.pop_front();
            decisions.push(first.decision(Ok(())));
        }
        decisions
    }

    fn reject_waiting(&mut self, retry_after: Milliseconds) -> Vec<AdmissionDecision> {
        let rejected = std::mem::take(&mut self.waiting);
        self.over_quota_count += rejected.len() as u64;
        let rejection = QuotaRejection::OverQuota { retry_after };
        rejected
            .iter()
            .map(|waiting| waiting.decision(Err(rejection)))
            .collect()
    }

    /// Rejects the requests whose deadline has passed without a grant.
    pub(super) fn reject_overdue(
        &mut self,
        now: MonotonicInstant,
        retry_after: Milliseconds,
    ) -> Vec<AdmissionDecision> {
        let mut decisions = vec![];
        while let Some(overdue) = self.waiting.pop_front_if(|first| now >= first.deadline) {
            self.unknown_count += 1;
            decisions.push(overdue.decision(Err(QuotaRejection::Unknown { retry_after })));
        }
        decisions
    }

    pub(super) fn status(&self, tenant: &TenantName) -> QuotaClientStatus {
        QuotaClientStatus {
            tenant: tenant.clone(),
            rate: self.limit.rate,
            burst: self.limit.burst,
            available: self.available,
            demand: self.demand,
            admitted: self.admitted_count,
            over_quota: self.over_quota_count,
            unknown: self.unknown_count,
        }
    }
}
