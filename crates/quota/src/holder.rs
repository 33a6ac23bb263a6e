use crate::limit::{Amount, QuotaLimit};
use crate::messages::{CreditAsk, CreditGrant, CreditRequest, TenantGrant};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// A node's credit: what it may let in of each tenant without asking.
///
/// Invariants: a request is admitted only if its amount is taken off credit that was granted to this life, is
/// listed or granted by an answer to the newest ask, and has not expired, reckoned from when that ask was sent.
/// At most one ask is under way; an answer is taken once, and only to the newest.
#[derive(Debug, Clone)]
pub struct QuotaClient {
    incarnation: u64,
    began: MonotonicInstant,
    /// Whether anything was granted to this life.
    was_granted: bool,
    number: u64,
    plan_epoch: ConfigEpoch,
    tenants: BTreeMap<TenantName, TenantCredit>,
    under_way: Option<UnderWay>,
    /// Whom all credit was listed to, once.
    told: Option<Address>,
    is_whole_wanted: bool,
    /// When it may ask next for requests to come.
    next_restock: MonotonicInstant,
    /// When demand is reckoned next.
    next_reckoning: MonotonicInstant,
    #[cfg(test)]
    pub(crate) mutant: Option<crate::Mutant>,
}

#[derive(Debug, Clone, Copy)]
struct UnderWay {
    to: Address,
    sent: MonotonicInstant,
}

#[derive(Debug, Clone)]
struct TenantCredit {
    limit: QuotaLimit,
    held: Amount,
    expires: MonotonicInstant,
    /// Spent without credit, by requests that could not be turned away any more.
    debt: Amount,
    /// Admitted since demand was last reckoned.
    admitted: Amount,
    /// Admitted a second, of late.
    demand: Amount,
    /// What the newest request took.
    newest: Amount,
    /// Until then the authority grants nothing.
    denied_until: MonotonicInstant,
    waiting: VecDeque<Waiting>,
    admitted_count: u64,
    refused_count: u64,
    unknown_count: u64,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    number: u64,
    amount: Amount,
    deadline: MonotonicInstant,
}

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaRejection {
    /// The tenant is beyond its quota.
    OverQuota {
        /// When it's worth asking again.
        retry_after: Milliseconds,
    },
    /// The authority did not answer in time.
    Unknown {
        /// When it's worth asking again.
        retry_after: Milliseconds,
    },
}

/// What becomes of a request that wants to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is admitted.
    Admitted,
    /// It waits until a [`Settlement`] has its number.
    Waits,
    /// It is turned away.
    Denied(QuotaRejection),
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settlement {
    /// Its number.
    pub number: u64,
    /// Whether it is admitted.
    pub outcome: Result<(), QuotaRejection>,
}

/// What operators are shown of a tenant at one node.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct ReservedCredit {
    /// The tenant.
    pub tenant: TenantName,
    /// Units a second over the whole fleet, in thousandths; 0: no limit.
    pub rate: Amount,
    /// Units above that, in thousandths.
    pub burst: Amount,
    /// What this node may let in without asking, in thousandths.
    pub held: Amount,
    /// Admitted here a second, of late, in thousandths.
    pub demand: Amount,
    /// Requests admitted here in this life.
    pub admitted: u64,
    /// Requests turned away here for the quota.
    pub over_quota: u64,
    /// Requests turned away here since the core did not answer.
    pub unknown: u64,
}

/// An ask without an answer for this long is given up.
const ASK_DEADLINE: Milliseconds = Milliseconds(120);
/// A request waits for credit this long at most.
const PATIENCE: Milliseconds = Milliseconds(300);
/// Whoever is turned away for want of an answer may come back after this.
const UNKNOWN_RETRY: Milliseconds = Milliseconds(500);
/// Between asks for requests to come, at least; a byte of such an ask adds a millisecond.
const RESTOCK_PERIOD: Milliseconds = Milliseconds(500);
/// About how many bytes a tenant takes in an ask.
const ENTRY_BYTES: u64 = 64;
/// Tenants in one ask at most.
const ENTRIES: usize = 64;
/// Credit is kept for requests of this long.
const STOCK: Milliseconds = Milliseconds(1500);
/// How often demand is reckoned.
const RECKONING_PERIOD: Milliseconds = Milliseconds(250);
/// The newest period counts one part in so many.
const DEMAND_PARTS: u64 = 8;

impl QuotaClient {
    /// At the start of a node's life, which no other has.
    pub fn new(incarnation: u64, now: MonotonicInstant) -> Self {
        QuotaClient {
            incarnation,
            began: now,
            was_granted: false,
            number: 0,
            plan_epoch: ConfigEpoch(0),
            tenants: BTreeMap::new(),
            under_way: None,
            told: None,
            is_whole_wanted: false,
            next_restock: now,
            next_reckoning: now,
            #[cfg(test)]
            mutant: None,
        }
    }

    #[cfg(test)]
    fn is_mutant(&self, mutant: crate::Mutant) -> bool {
        self.mutant == Some(mutant)
    }
    #[cfg(test)]
    fn spends_expired(&self) -> bool {
        self.is_mutant(crate::Mutant::SpendExpired)
    }
    #[cfg(not(test))]
    const fn spends_expired(&self) -> bool {
        false
    }

    /// Another plan is in force, with these tenants whose requests are limited. What waits for one that is limited
    /// no more is admitted.
    pub fn set_limits(
        &mut self,
        epoch: ConfigEpoch,
        limits: &[(TenantName, QuotaLimit)],
    ) -> Vec<Settlement> {
        self.plan_epoch = epoch;
        let mut former = std::mem::take(&mut self.tenants);
        for (tenant, limit) in limits {
            let credit = former.remove(tenant).unwrap_or_default();
            self.tenants.insert(
                tenant.clone(),
                TenantCredit {
                    limit: *limit,
                    ..credit
                },
            );
        }
        let released = former.into_values().flat_map(|credit| credit.waiting);
        released
            .map(|waiting| Settlement {
                number: waiting.number,
                outcome: Ok(()),
            })
            .collect()
    }

    /// A request of a tenant wants to be admitted.
    pub fn admit(
        &mut self,
        now: MonotonicInstant,
        number: u64,
        tenant: &TenantName,
        amount: Amount,
    ) -> Admission {
        let spends_expired = self.spends_expired();
        let Some(credit) = self.tenants.get_mut(tenant) else {
            return Admission::Admitted;
        };
        credit.expire(now, spends_expired);
        if credit.waiting.is_empty() && credit.spend(amount) {
            return Admission::Admitted;
        }
        if now < credit.denied_until {
            credit.refused_count += 1;
            let retry_after = now.until(credit.denied_until);
            return Admission::Denied(QuotaRejection::OverQuota { retry_after });
        }
        credit.waiting.push_back(Waiting {
            number,
            amount,
            deadline: now + PATIENCE,
        });
        Admission::Waits
    }

    /// A request that was admitted before goes to one more server, and the first may have run it.
    pub fn spend_again(&mut self, now: MonotonicInstant, tenant: &TenantName, amount: Amount) {
        let Some(credit) = self.tenants.get_mut(tenant) else {
            return;
        };
        credit.expire(now, false);
        let missing = amount.less(credit.held);
        credit.held = credit.held.less(amount);
        credit.debt = credit.debt.plus(missing);
    }

    /// A request that was admitted was sent to no server.
    pub fn give_back(&mut self, now: MonotonicInstant, tenant: &TenantName, amount: Amount) {
        let Some(credit) = self.tenants.get_mut(tenant) else {
            return;
        };
        if now < credit.expires {
            credit.held = credit.held.plus(amount);
        }
    }

    /// Whoever waits under this number waits no more.
    pub fn abandon(&mut self, number: u64) {
        for credit in self.tenants.values_mut() {
            credit.waiting.retain(|waiting| waiting.number != number);
        }
    }

    /// Time has passed.
    pub fn on_clock(&mut self, now: MonotonicInstant) -> Vec<Settlement> {
        if now >= self.next_reckoning {
            self.next_reckoning = now + RECKONING_PERIOD;
            self.tenants.values_mut().for_each(TenantCredit::reckon);
        }
        if self
            .under_way
            .is_some_and(|ask| now.since(ask.sent) >= ASK_DEADLINE)
        {
            self.under_way = None;
        }
        let mut settled = vec![];
        for credit in self.tenants.values_mut() {
            while credit
                .waiting
                .front()
                .is_some_and(|waiting| now >= waiting.deadline)
            {
                let Some(waiting) = credit.waiting.pop_front() else {
                    break;
                };
                credit.unknown_count += 1;
                let outcome = Err(QuotaRejection::Unknown {
                    retry_after: UNKNOWN_RETRY,
                });
                settled.push(Settlement {
                    number: waiting.number,
                    outcome,
                });
            }
        }
        settled
    }

    /// What is to be asked now of the authority, which is there as far as known.
    pub fn ask(
        &mut self,
        now: MonotonicInstant,
        authority: Option<Address>,
    ) -> Option<(Address, CreditAsk)> {
        let to = authority?;
        if self.under_way.is_some() || self.tenants.is_empty() {
            return None;
        }
        let is_whole = self.is_whole_wanted || self.told != Some(to);
        let has_waiting = self
            .tenants
            .values()
            .any(|credit| !credit.waiting.is_empty());
        let restocks = now >= self.next_restock;
        if !is_whole && !has_waiting && !restocks {
            return None;
        }
        let mut entries = vec![];
        let spends_expired = self.spends_expired();
        for (tenant, credit) in &mut self.tenants {
            credit.expire(now, spends_expired);
            let is_listed = credit.wants_ask(restocks) || (is_whole && !credit.held.is_none());
            if is_listed && (is_whole || entries.len() < ENTRIES) {
                entries.push(credit.request(tenant));
            }
        }
        if restocks {
            self.next_restock =
                now + RESTOCK_PERIOD.max(Milliseconds(entries.len() as u64 * ENTRY_BYTES));
        }
        if entries.is_empty() && !is_whole {
            return None;
        }
        self.number += 1;
        self.under_way = Some(UnderWay { to, sent: now });
        let (incarnation, number, plan_epoch) = (self.incarnation, self.number, self.plan_epoch);
        let fresh_for = (!self.was_granted).then(|| now.since(self.began));
        Some((
            to,
            CreditAsk {
                incarnation,
                number,
                plan_epoch,
                fresh_for,
                is_whole,
                entries,
            },
        ))
    }

    /// The authority answers.
    pub fn on_grant(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        grant: &CreditGrant,
    ) -> Vec<Settlement> {
        let is_newest = grant.number == self.number;
        #[cfg(test)]
        let is_newest = is_newest || self.is_mutant(crate::Mutant::TakeTwice);
        // One that slept may find the answer to what it asked long ago.
        let is_alive = |ask: &UnderWay| now.since(ask.sent) < grant.incarnation;
        let awaited = self
            .under_way
            .filter(|ask| ask.to == from && is_newest && is_alive(ask));
        #[cfg(test)]
        let awaited = match self.is_mutant(crate::Mutant::TakeTwice) {
            true => awaited.or(Some(UnderWay {
                to: from,
                sent: now,
            })),
            false => awaited,
        };
        let Some(ask) = awaited else { return vec![] };
        self.under_way = None;
        self.is_whole_wanted = grant.wants_whole;
        self.told = Some(from);
        self.was_granted |= grant.entries.iter().any(|entry| !entry.granted.is_none());
        let mut settled = vec![];
        for entry in &grant.entries {
            if let Some(credit) = self.tenants.get_mut(&entry.tenant) {
                credit.take(now, ask.sent + grant.incarnation, entry, &mut settled);
            }
        }
        settled
    }

    /// When something may have to be done next; `None`: with the next request.
    pub fn next_timer(&self) -> Option<MonotonicInstant> {
        let under_way = self.under_way.map(|ask| ask.sent + ASK_DEADLINE);
        let waiting = self
            .tenants
            .values()
            .filter_map(|credit| credit.waiting.front())
            .map(|one| one.deadline)
            .min();
        under_way.into_iter().chain(waiting).min()
    }

    /// What operators are shown.
    pub fn tenants(&self) -> Vec<ReservedCredit> {
        let shown = |(tenant, credit): (&TenantName, &TenantCredit)| ReservedCredit {
            tenant: tenant.clone(),
            rate: credit.limit.rate,
            burst: credit.limit.burst,
            held: credit.held,
            demand: credit.demand,
            admitted: credit.admitted_count,
            over_quota: credit.refused_count,
            unknown: credit.unknown_count,
        };
        self.tenants.iter().map(shown).collect()
    }
}

impl Default for TenantCredit {
    fn default() -> Self {
        TenantCredit {
            limit: QuotaLimit::default(),
            held: Amount::NONE,
            expires: MonotonicInstant(0),
            debt: Amount::NONE,
            admitted: Amount::NONE,
            demand: Amount::NONE,
            newest: Amount::NONE,
            denied_until: MonotonicInstant(0),
            waiting: VecDeque::new(),
            admitted_count: 0,
            refused_count: 0,
            unknown_count: 0,
        }
    }
}

impl TenantCredit {
    fn expire(&mut self, now: MonotonicInstant, spends_expired: bool) {
        if now >= self.expires && !spends_expired {
            self.held = Amount::NONE;
        }
    }

    fn spend(&mut self, amount: Amount) -> bool {
        if self.held < amount {
            return false;
        }
        self.held = self.held.less(amount);
        self.newest = amount;
        self.admitted = self.admitted.plus(amount);
        self.admitted_count += 1;
        true
    }

    fn reckon(&mut self) {
        let newest = std::mem::take(&mut self.admitted).part(1000, RECKONING_PERIOD.0);
        let older = self.demand.part(DEMAND_PARTS - 1, DEMAND_PARTS);
        self.demand = older.plus(newest.part(1, DEMAND_PARTS));
    }

    /// What is to be held for requests to come. Less than one request is of no use.
    fn stock(&self) -> Amount {
        let stock = self.demand.over(STOCK);
        if stock < self.newest {
            Amount::NONE
        } else {
            stock
        }
    }

    fn wants_ask(&self, restocks: bool) -> bool {
        let is_low = self.held < self.stock().part(1, 2) || !self.debt.is_none();
        !self.waiting.is_empty() || (restocks && is_low)
    }

    fn request(&self, tenant: &TenantName) -> CreditRequest {
        let first = self
            .waiting
            .front()
            .map_or(Amount::NONE, |waiting| waiting.amount);
        let all = self
            .waiting
            .iter()
            .fold(Amount::NONE, |sum, waiting| sum.plus(waiting.amount));
        CreditRequest {
            tenant: tenant.clone(),
            limit: self.limit,
            held: self.held,
            need: first.plus(self.debt).less(self.held),
            want: all.plus(self.debt).plus(self.stock()).less(self.held),
        }
    }

    /// What the authority answers; credit lasts until then.
    fn take(
        &mut self,
        now: MonotonicInstant,
        expires: MonotonicInstant,
        entry: &TenantGrant,
        settled: &mut Vec<Settlement>,
    ) {
        self.expires = expires;
        let funds = self.held.plus(entry.granted);
        let repaid = funds.min(self.debt);
        self.debt = self.debt.less(repaid);
        self.held = funds.less(repaid);
        while let Some(first) = self.waiting.front().copied() {
            if !self.spend(first.amount) {
                break;
            }
            self.waiting.pop_front();
            settled.push(Settlement {
                number: first.number,
                outcome: Ok(()),
            });
        }
        if entry.wait.0 == 0 {
            return;
        }
        self.denied_until = now + entry.wait;
        for waiting in std::mem::take(&mut self.waiting) {
            self.refused_count += 1;
            let outcome = Err(QuotaRejection::OverQuota {
                retry_after: entry.wait,
            });
            settled.push(Settlement {
                number: waiting.number,
                outcome,
            });
        }
    }
}
