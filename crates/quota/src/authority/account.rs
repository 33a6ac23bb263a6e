use crate::amount::Amount;
use crate::authority::QuotaUsage;
use crate::authority::spent_window::SpentWindow;
use crate::fault_injection::FaultInjection;
use crate::limit::{QuotaBounds, QuotaLimit};
use crate::messages::TenantCreditRequest;
use std::collections::BTreeMap;
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// The token bucket of one tenant: what was spent lately, and the outstanding credit.
#[derive(Debug, Clone)]
pub(super) struct Account {
    limit: QuotaLimit,
    /// The epoch of the plan that the limit is from.
    epoch: ConfigEpoch,
    credits: BTreeMap<CreditOwner, Credit>,
    spent: SpentWindow,
    /// How often a required amount was not granted.
    denied: u64,
}

/// The node that credit was granted to, in one of its incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CreditOwner {
    pub(super) node: Address,
    pub(super) incarnation: u64,
}

/// Outstanding credit of one owner.
#[derive(Debug, Clone, Copy)]
pub(super) struct Credit {
    pub(super) amount: Amount,
    pub(super) expires: MonotonicInstant,
}

/// The shortest delay after which a node is told to request again.
const MIN_RETRY: Milliseconds = Milliseconds(100);
/// The longest delay after which a node is told to request again.
const MAX_RETRY: Milliseconds = Milliseconds(500);
/// For future requests, a node gets at most this part of the headroom beyond the reserve: one in so many.
const SPARE_PART: u64 = 8;

impl Account {
    pub(super) fn new(limit: QuotaLimit, epoch: ConfigEpoch, bounds: &QuotaBounds) -> Self {
        Account {
            limit,
            epoch,
            credits: BTreeMap::new(),
            spent: SpentWindow::new(bounds.window),
            denied: 0,
        }
    }

    /// Takes over a limit if it is from a newer plan.
    pub(super) fn update_limit(&mut self, limit: QuotaLimit, epoch: ConfigEpoch) {
        if epoch > self.epoch {
            (self.limit, self.epoch) = (limit, epoch);
        }
    }

    /// The sum of all credit that is granted and not spent.
    pub(super) fn outstanding(&self) -> Amount {
        self.credits
            .values()
            .fold(Amount::NONE, |sum, credit| sum.plus(credit.amount))
    }

    pub(super) fn usage(&self, now: MonotonicInstant, tenant: &TenantName) -> QuotaUsage {
        QuotaUsage {
            tenant: tenant.clone(),
            rate: self.limit.rate,
            burst: self.limit.burst,
            spent_in_window: self.spent.sum(now),
            outstanding: self.outstanding(),
            denied: self.denied,
        }
    }

    /// Burst and slack: what may be spent at once. Never 0, or nothing at all could be admitted.
    fn at_once(&self, bounds: &QuotaBounds) -> Amount {
        self.limit
            .burst
            .plus(bounds.slack(&self.limit))
            .max(Amount { thousandths: 1 })
    }

    /// How far the headroom may be overdrawn, so that large requests get as much as small ones.
    fn overdraft(&self, bounds: &QuotaBounds) -> Amount {
        self.at_once(bounds).part(1, 5)
    }

    /// Records as spent at `by` all that may be spent at once, except for the outstanding credit, which is known.
    pub(super) fn assume_spent(
        &mut self,
        by: MonotonicInstant,
        bounds: &QuotaBounds,
        faults: &dyn FaultInjection,
    ) {
        let unknown = self.at_once(bounds).less(self.outstanding());
        self.spent.record(by, faults.assumed_spent(unknown));
    }

    /// Records expired credit as spent: the node may have spent it without a report.
    pub(super) fn expire(&mut self, now: MonotonicInstant) {
        let Account { credits, spent, .. } = self;
        credits.retain(|_, credit| {
            let is_valid = now < credit.expires;
            if !is_valid {
                spent.record(credit.expires, credit.amount);
            }
            is_valid
        });
        self.spent.drop_old_slots(now);
    }

    /// Records as spent what an owner no longer has of its credit.
    pub(super) fn reconcile(
        &mut self,
        now: MonotonicInstant,
        owner: CreditOwner,
        available: Amount,
    ) {
        let Some(credit) = self.credits.get_mut(&owner) else {
            return;
        };
        let spent = credit.amount.less(available);
        credit.amount = available;
        if !spent.is_none() {
            self.spent.record(now, spent);
        }
    }

    /// Sets the outstanding credit of an owner.
    pub(super) fn set_credit(&mut self, owner: CreditOwner, credit: Credit) {
        if credit.amount.is_none() {
            self.credits.remove(&owner);
        } else {
            self.credits.insert(owner, credit);
        }
    }

    /// Grants what is required if there is headroom for it, and some of what is requested beyond that. Returns what
    /// is granted, and the delay for the next request if nothing is although it is required.
    pub(super) fn grant(
        &mut self,
        now: MonotonicInstant,
        bounds: &QuotaBounds,
        outstanding: Amount,
        request: &TenantCreditRequest,
    ) -> (Amount, Milliseconds) {
        let (at_once, overdraft) = (self.at_once(bounds), self.overdraft(bounds));
        let bucket = at_once.less(overdraft);
        let free = self.spent.headroom(now, bucket, self.limit.rate);
        let headroom = free - signed(outstanding);
        let required = signed(request.required);
        // A request larger than all that may be spent at once could never be admitted otherwise.
        let is_unused = headroom >= signed(bucket);
        let fits = headroom > 0 && (is_unused || required <= headroom + signed(overdraft));
        if required > 0 && !fits {
            self.denied += 1;
            let missing = (1 - headroom).max(required - headroom - signed(overdraft));
            return (Amount::NONE, self.retry_delay(missing));
        }
        // A reserve is left for what other nodes require.
        let reserve = at_once.part(1, 4);
        let spare = u64::try_from(headroom - required - signed(reserve)).unwrap_or(0);
        let spare_part = Amount {
            thousandths: spare / SPARE_PART,
        };
        let max_outstanding = at_once.part(1, 2);
        let extra = request
            .requested
            .less(request.required)
            .min(spare_part)
            .min(max_outstanding.less(outstanding));
        (request.required.plus(extra), Milliseconds(0))
    }

    /// The time until this many thousandths of a unit have accrued, within bounds.
    fn retry_delay(&self, missing: i128) -> Milliseconds {
        let missing = Amount {
            thousandths: u64::try_from(missing).unwrap_or(0),
        };
        missing
            .time_at(self.limit.rate)
            .max(MIN_RETRY)
            .min(MAX_RETRY)
    }
}

/// The thousandths of an amount, for differences that may be negative.
fn signed(amount: Amount) -> i128 {
    i128::from(amount.thousandths)
}
