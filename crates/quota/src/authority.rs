use crate::prelude::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Grants credit out of one token bucket for each tenant. There is one authority at a time: the core's tail.
///
/// Invariants, for each tenant: the level and the credit that is out are together no more than the ceiling
/// (burst and slack, less the debt that a level may run into); the level rises by no more than the rate; it never
/// falls below the debt. So any window holds at most what was out at its beginning and what was granted in it,
/// which is rate times window, burst and slack. A new authority grants nothing until it knows what its
/// predecessor's grants left out, or until that has expired.
#[derive(Debug, Clone)]
pub struct Authority {
    bounds: QuotaBounds,
    /// When it became the authority.
    since: Moment,
    /// Nodes that have told all that they hold since then.
    heard: BTreeSet<Address>,
    /// Since when it knows what is out.
    settled: Option<Moment>,
    /// The newest ask of each node: its life, and its number.
    newest: BTreeMap<Address, (u64, u64)>,
    accounts: BTreeMap<TenantName, Account>,
    #[cfg(test)]
    pub(crate) mutant: Option<crate::Mutant>,
}

#[derive(Debug, Clone)]
struct Account {
    limit: QuotaLimit,
    /// The epoch of the plan that the limit is from.
    epoch: Epoch,
    /// In thousandths; below nothing while in debt.
    level: i128,
    refilled: Moment,
    /// By the node and its life.
    credits: BTreeMap<(Address, u64), Credit>,
    /// Their sum.
    outstanding: Amount,
    /// What nodes said to have spent, by when they said so.
    spent: VecDeque<(Moment, Amount)>,
    /// How often a request's need was not granted.
    denied: u64,
}

#[derive(Debug, Clone, Copy)]
struct Credit {
    amount: Amount,
    expires: Moment,
}

/// What operators are shown of a tenant.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct TenantUse {
    /// The tenant.
    pub tenant: TenantName,
    /// Units a second, in thousandths.
    pub rate: Amount,
    /// Units above that, in thousandths.
    pub burst: Amount,
    /// Spent within the last window as far as nodes told, in thousandths.
    pub spent_in_window: Amount,
    /// Granted to nodes and not spent as far as they told, in thousandths.
    pub outstanding: Amount,
    /// How often a need was not granted.
    pub denied: u64,
}

/// A node that asks while it isn't known what is out asks again after this.
const UNSETTLED_WAIT: Span = Span(200);
/// The shortest and the longest time after which a node may be told to ask again.
const SHORTEST_WAIT: Span = Span(100);
const LONGEST_WAIT: Span = Span(4000);
/// A node gets no more than one part in so many of what is left beyond the reserve, for requests to come.
const SPARE_PART: u64 = 8;

impl Authority {
    /// One that has just become it.
    pub fn new(bounds: QuotaBounds, now: Moment) -> Self {
        Authority {
            bounds,
            since: now,
            heard: BTreeSet::new(),
            settled: None,
            newest: BTreeMap::new(),
            accounts: BTreeMap::new(),
            #[cfg(test)]
            mutant: None,
        }
    }

    #[cfg(test)]
    fn is_mutant(&self, mutant: crate::Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    /// A node asks. `members` are all nodes that may hold credit.
    pub fn on_ask(&mut self, now: Moment, from: Address, ask: &CreditAsk, members: &[Address]) -> Option<CreditGrant> {
        let (life, number) = self.newest.get(&from).copied().unwrap_or_default();
        if life == ask.life && ask.number <= number {
            // An older one, late: what it lists is not so any more.
            return None;
        }
        self.newest.insert(from, (ask.life, ask.number));
        if ask.is_whole {
            self.heard.insert(from);
        }
        self.settle(now, members);
        let entries = ask.entries.iter().map(|entry| self.grant(now, (from, ask.life), ask.plan_epoch, entry));
        let entries = entries.collect();
        let wants_whole = self.settled.is_none() && !self.heard.contains(&from);
        Some(CreditGrant { number: ask.number, life: self.bounds.credit_life(), wants_whole, entries })
    }

    /// Once it is known what the former authority's grants left out, or that has expired, grants are made.
    fn settle(&mut self, now: Moment, members: &[Address]) {
        if self.settled.is_some() {
            return;
        }
        let is_over = now.since(self.since) >= self.bounds.credit_life();
        #[cfg(test)]
        let is_over = is_over || self.is_mutant(crate::Mutant::ForgetOutstanding);
        if is_over || members.iter().all(|member| self.heard.contains(member)) {
            self.settled = Some(now);
        }
    }

    fn grant(&mut self, now: Moment, node: (Address, u64), epoch: Epoch, entry: &CreditRequest) -> TenantGrant {
        let bounds = self.bounds;
        let settled = self.settled;
        #[cfg(test)]
        let (forgets, ignores) =
            (self.is_mutant(crate::Mutant::ForgetOutstanding), self.is_mutant(crate::Mutant::IgnoreOutstanding));
        let fresh = || Account::new(entry.limit, epoch, settled.unwrap_or(now));
        let account = self.accounts.entry(entry.tenant.clone()).or_insert_with(fresh);
        if epoch > account.epoch {
            (account.limit, account.epoch) = (entry.limit, epoch);
        }
        account.expire(now, bounds.window);
        account.note_held(now, node, entry.held);
        #[cfg(test)]
        if ignores {
            account.outstanding = Amount::NONE;
        }
        #[cfg(test)]
        if forgets && account.level == 0 {
            account.level = i128::from(account.limit.burst.thousandths) * 2;
        }
        let nothing = |wait: Span| TenantGrant { tenant: entry.tenant.clone(), granted: Amount::NONE, wait };
        let (granted, wait) = match settled {
            Some(_) => account.take(now, &bounds, entry.need, entry.want),
            None => {
                account.refilled = now;
                (Amount::NONE, if entry.need.is_none() { Span(0) } else { UNSETTLED_WAIT })
            }
        };
        let amount = entry.held.plus(granted);
        account.hold(node, Credit { amount, expires: now + bounds.credit_life() });
        if granted.is_none() { nothing(wait) } else { TenantGrant { granted, ..nothing(Span(0)) } }
    }

    /// What operators are shown.
    pub fn tenants(&self, now: Moment) -> Vec<TenantUse> {
        let window = self.bounds.window;
        let shown = |(tenant, account): (&TenantName, &Account)| {
            let recent = account.spent.iter().filter(|(at, _)| now.since(*at) < window);
            TenantUse {
                tenant: tenant.clone(),
                rate: account.limit.rate,
                burst: account.limit.burst,
                spent_in_window: recent.fold(Amount::NONE, |sum, (_, spent)| sum.plus(*spent)),
                outstanding: account.outstanding,
                denied: account.denied,
            }
        };
        self.accounts.iter().map(shown).collect()
    }
}

impl Account {
    /// One whose bucket has been filling since then.
    fn new(limit: QuotaLimit, epoch: Epoch, since: Moment) -> Self {
        Account {
            limit,
            epoch,
            level: 0,
            refilled: since,
            credits: BTreeMap::new(),
            outstanding: Amount::NONE,
            spent: VecDeque::new(),
            denied: 0,
        }
    }

    /// What the level may run into, so that large requests get as much as small ones.
    fn debt(&self, bounds: &QuotaBounds) -> Amount {
        bounds.slack(&self.limit).part(1, 4)
    }

    /// Credit that nobody can spend any more is out no more.
    fn expire(&mut self, now: Moment, window: Span) {
        self.credits.retain(|_, credit| now < credit.expires);
        self.sum_up();
        while self.spent.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            self.spent.pop_front();
        }
    }

    fn sum_up(&mut self) {
        self.outstanding = self.credits.values().fold(Amount::NONE, |sum, credit| sum.plus(credit.amount));
    }

    /// A node holds this of what it was granted: the rest is spent.
    fn note_held(&mut self, now: Moment, node: (Address, u64), held: Amount) {
        let Some(credit) = self.credits.get_mut(&node) else { return };
        let spent = credit.amount.less(held);
        credit.amount = held;
        if !spent.is_none() {
            self.spent.push_back((now, spent));
        }
        self.sum_up();
    }

    fn hold(&mut self, node: (Address, u64), credit: Credit) {
        if credit.amount.is_none() {
            self.credits.remove(&node);
        } else {
            self.credits.insert(node, credit);
        }
        self.sum_up();
    }

    /// Gives whether the bucket is full.
    fn refill(&mut self, now: Moment, bounds: &QuotaBounds) -> bool {
        let gained = self.limit.rate.over(now.since(self.refilled));
        let most = self.limit.burst.plus(bounds.slack(&self.limit)).less(self.debt(bounds)).less(self.outstanding);
        let most = i128::from(most.thousandths);
        self.refilled = self.refilled.max(now);
        self.level = (self.level + i128::from(gained.thousandths)).min(most);
        self.level == most
    }

    /// Takes what is needed out of the bucket, if it's there, and some of what is wanted besides. Gives what was
    /// taken, and where nothing was although it is needed, when it's worth asking again.
    fn take(&mut self, now: Moment, bounds: &QuotaBounds, need: Amount, want: Amount) -> (Amount, Span) {
        let is_full = self.refill(now, bounds);
        let debt = self.debt(bounds);
        let (level, needed) = (self.level, i128::from(need.thousandths));
        // One that is larger than the whole bucket could never be let in otherwise.
        let may_need = level > 0 && (is_full || needed <= level + i128::from(debt.thousandths));
        if !need.is_none() && !may_need {
            self.denied += 1;
            let missing = (1 - level).max(needed - level - i128::from(debt.thousandths));
            let missing = Amount { thousandths: u64::try_from(missing).unwrap_or(0) };
            return (Amount::NONE, missing.time_at(self.limit.rate).max(SHORTEST_WAIT).min(LONGEST_WAIT));
        }
        // For needs of other nodes, some is always left.
        let reserve = debt.max(self.limit.burst.part(1, 2));
        let spare = u64::try_from(level - needed - i128::from(reserve.thousandths)).unwrap_or(0);
        let extra = want.less(need).min(Amount { thousandths: spare / SPARE_PART });
        let taken = need.plus(extra);
        self.level -= i128::from(taken.thousandths);
        (taken, Span(0))
    }
}
