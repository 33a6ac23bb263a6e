use crate::limit::{Amount, QuotaBounds, QuotaLimit};
use crate::messages::{CreditAsk, CreditGrant, CreditRequest, TenantGrant};
use std::collections::{BTreeMap, VecDeque};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant, TenantName};

/// Grants credit of tenants' quotas. There is one authority at a time: the core's tail.
///
/// Invariant, for each tenant and at each grant: what was spent in any span that ends now and is no longer than a
/// window, and all credit that is out, are together no more than burst, slack and rate times that span. Spent is what
/// nodes say, when they say it, and what expired unsaid. So any window holds at most what the quota allows and the
/// slack; and a new authority that knows nothing may grant by the rate at once, since its predecessor kept to this. It
/// first waits until it knows what its predecessor's grants left out, or until that has expired.
#[derive(Debug, Clone)]
pub struct QuotaAuthority {
    bounds: QuotaBounds,
    /// When it became the authority.
    since: MonotonicInstant,
    /// Nodes that have told all that they hold since then, with when the last that isn't known of it may have been
    /// spent.
    heard: BTreeMap<Address, MonotonicInstant>,
    /// Since when it makes grants.
    settled: Option<Settled>,
    /// The newest ask of each node: its life, and its number.
    newest: BTreeMap<Address, (u64, u64)>,
    accounts: BTreeMap<TenantName, Account>,
    #[cfg(test)]
    pub(crate) mutant: Option<crate::Mutant>,
}

/// An authority that knows what is out.
#[derive(Debug, Clone, Copy)]
struct Settled {
    /// What was granted by others was spent by then, or is known to be out.
    last_spent: MonotonicInstant,
}

#[derive(Debug, Clone)]
struct Account {
    limit: QuotaLimit,
    /// The epoch of the plan that the limit is from.
    epoch: ConfigEpoch,
    /// By the node and its life.
    credits: BTreeMap<(Address, u64), Credit>,
    /// Their sum.
    outstanding: Amount,
    spent: SpentWindow,
    /// How often a request's need was not granted.
    denied: u64,
}

#[derive(Debug, Clone, Copy)]
struct Credit {
    amount: Amount,
    expires: MonotonicInstant,
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
const UNSETTLED_WAIT: Milliseconds = Milliseconds(200);
/// The shortest and the longest time after which a node may be told to ask again.
const SHORTEST_WAIT: Milliseconds = Milliseconds(100);
const LONGEST_WAIT: Milliseconds = Milliseconds(500);
/// A node gets no more than one part in so many of what is left beyond the reserve, for requests to come.
const SPARE_PART: u64 = 8;

impl QuotaAuthority {
    /// One that has just become it.
    pub fn new(bounds: QuotaBounds, now: MonotonicInstant) -> Self {
        QuotaAuthority {
            bounds,
            since: now,
            heard: BTreeMap::new(),
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
    pub fn on_ask(
        &mut self,
        now: MonotonicInstant,
        from: Address,
        ask: &CreditAsk,
        members: &[Address],
    ) -> Option<CreditGrant> {
        let (incarnation, number) = self.newest.get(&from).copied().unwrap_or_default();
        if incarnation == ask.incarnation && ask.number <= number {
            // An older one, late: what it lists is not so any more.
            return None;
        }
        self.newest.insert(from, (ask.incarnation, ask.number));
        if ask.is_whole {
            self.heard
                .insert(from, now - ask.fresh_for.unwrap_or(Milliseconds(0)));
        }
        self.settle(now, members);
        let entries = ask
            .entries
            .iter()
            .map(|entry| self.grant(now, (from, ask.incarnation), ask.plan_epoch, entry));
        let entries = entries.collect();
        let wants_whole = self.settled.is_none() && !self.heard.contains_key(&from);
        Some(CreditGrant {
            number: ask.number,
            incarnation: self.bounds.credit_life(),
            wants_whole,
            entries,
        })
    }

    /// Once it is known what the former authority's grants left out, or that has expired, grants are made.
    fn settle(&mut self, now: MonotonicInstant, members: &[Address]) {
        if self.settled.is_some() {
            return;
        }
        let is_over = now.since(self.since) >= self.bounds.credit_life();
        #[cfg(test)]
        let is_over = is_over || self.is_mutant(crate::Mutant::ForgetOutstanding);
        let are_all_heard = members.iter().all(|member| self.heard.contains_key(member));
        if is_over || are_all_heard {
            let last_spent = self
                .heard
                .values()
                .max()
                .copied()
                .filter(|_| are_all_heard)
                .unwrap_or(now);
            self.settled = Some(Settled { last_spent });
            #[cfg(test)]
            if self.is_mutant(crate::Mutant::ForgetOutstanding) {
                return;
            }
            let bounds = self.bounds;
            self.accounts
                .values_mut()
                .for_each(|account| account.assume_spent(last_spent, &bounds));
        }
    }

    fn grant(
        &mut self,
        now: MonotonicInstant,
        node: (Address, u64),
        epoch: ConfigEpoch,
        entry: &CreditRequest,
    ) -> TenantGrant {
        let bounds = self.bounds;
        let settled = self.settled;
        #[cfg(test)]
        let (forgets, ignores) = (
            self.is_mutant(crate::Mutant::ForgetOutstanding),
            self.is_mutant(crate::Mutant::IgnoreOutstanding),
        );
        #[cfg(not(test))]
        let forgets = false;
        let fresh = || {
            let mut account = Account::new(entry.limit, epoch, &bounds);
            // What was spent of it under the former authority isn't known.
            let since = settled
                .filter(|_| !forgets)
                .map(|settled| settled.last_spent);
            since
                .into_iter()
                .for_each(|since| account.assume_spent(since, &bounds));
            account
        };
        let account = self
            .accounts
            .entry(entry.tenant.clone())
            .or_insert_with(fresh);
        if epoch > account.epoch {
            (account.limit, account.epoch) = (entry.limit, epoch);
        }
        account.expire(now);
        account.note_held(now, node, entry.held);
        #[cfg(test)]
        if ignores {
            account.outstanding = Amount::NONE;
        }
        let nothing = |wait: Milliseconds| TenantGrant {
            tenant: entry.tenant.clone(),
            granted: Amount::NONE,
            wait,
        };
        let (granted, wait) = match settled {
            Some(_) => account.take(now, &bounds, entry.need, entry.want),
            None => (
                Amount::NONE,
                if entry.need.is_none() {
                    Milliseconds(0)
                } else {
                    UNSETTLED_WAIT
                },
            ),
        };
        let amount = entry.held.plus(granted);
        account.hold(
            node,
            Credit {
                amount,
                expires: now + bounds.credit_life(),
            },
        );
        if granted.is_none() {
            nothing(wait)
        } else {
            TenantGrant {
                granted,
                ..nothing(Milliseconds(0))
            }
        }
    }

    /// What operators are shown.
    pub fn tenants(&self, now: MonotonicInstant) -> Vec<TenantUse> {
        let shown = |(tenant, account): (&TenantName, &Account)| TenantUse {
            tenant: tenant.clone(),
            rate: account.limit.rate,
            burst: account.limit.burst,
            spent_in_window: account.spent.sum(now),
            outstanding: account.outstanding,
            denied: account.denied,
        };
        self.accounts.iter().map(shown).collect()
    }
}

/// What was spent lately, by slots of time.
#[derive(Debug, Clone)]
struct SpentWindow {
    slot: Milliseconds,
    /// By the slot's number; the oldest first.
    slots: VecDeque<(u64, Amount)>,
}

/// A window has so many slots.
const SLOTS: u64 = 128;

impl SpentWindow {
    fn new(window: Milliseconds) -> Self {
        SpentWindow {
            slot: Milliseconds((window.0 / SLOTS).max(1)),
            slots: VecDeque::new(),
        }
    }

    fn number(&self, at: MonotonicInstant) -> u64 {
        at.0 / self.slot.0
    }

    fn note(&mut self, at: MonotonicInstant, amount: Amount) {
        let number = self.number(at);
        let place = self.slots.partition_point(|(known, _)| *known < number);
        match self.slots.get_mut(place) {
            Some((known, sum)) if *known == number => *sum = sum.plus(amount),
            _ => self.slots.insert(place, (number, amount)),
        }
    }

    /// A slot is forgotten once all of it is older than a window.
    fn forget(&mut self, now: MonotonicInstant) {
        let newest = self.number(now);
        while self
            .slots
            .front()
            .is_some_and(|(number, _)| number + SLOTS < newest)
        {
            self.slots.pop_front();
        }
    }

    fn sum(&self, now: MonotonicInstant) -> Amount {
        let oldest = self.number(now).saturating_sub(SLOTS - 1);
        let within = self.slots.iter().filter(|(number, _)| *number >= oldest);
        within.fold(Amount::NONE, |sum, (_, spent)| sum.plus(*spent))
    }

    /// By how much less was spent than `at_once` and `rate` allow, in the span back from now where that is least.
    fn headroom(&self, now: MonotonicInstant, at_once: Amount, rate: Amount) -> i128 {
        let mut spent = Amount::NONE;
        let mut least = i128::from(at_once.thousandths);
        for (number, amount) in self.slots.iter().rev() {
            spent = spent.plus(*amount);
            // What was spent in a slot may have been at its end.
            let span = now.since(MonotonicInstant((number + 1) * self.slot.0));
            let allowed = at_once.plus(rate.over(span));
            least = least.min(i128::from(allowed.thousandths) - i128::from(spent.thousandths));
        }
        least
    }
}

impl Account {
    fn new(limit: QuotaLimit, epoch: ConfigEpoch, bounds: &QuotaBounds) -> Self {
        Account {
            limit,
            epoch,
            credits: BTreeMap::new(),
            outstanding: Amount::NONE,
            spent: SpentWindow::new(bounds.window),
            denied: 0,
        }
    }

    /// Burst and slack: what may be spent at once. Never so little that nothing at all could be let in.
    fn at_once(&self, bounds: &QuotaBounds) -> Amount {
        self.limit
            .burst
            .plus(bounds.slack(&self.limit))
            .max(Amount { thousandths: 1 })
    }

    /// What the headroom may run into, so that large requests get as much as small ones.
    fn debt(&self, bounds: &QuotaBounds) -> Amount {
        self.at_once(bounds).part(1, 5)
    }

    /// What is known to be out is known, and all else that may be spent at once was spent by then.
    fn assume_spent(&mut self, by: MonotonicInstant, bounds: &QuotaBounds) {
        let unknown = self.at_once(bounds).less(self.outstanding);
        self.spent.note(by, unknown);
    }

    /// Credit that nobody can spend any more may have been spent, as far as nobody said otherwise.
    fn expire(&mut self, now: MonotonicInstant) {
        let Account { credits, spent, .. } = self;
        credits.retain(|_, credit| {
            let is_alive = now < credit.expires;
            if !is_alive {
                spent.note(credit.expires, credit.amount);
            }
            is_alive
        });
        self.spent.forget(now);
        self.sum_up();
    }

    fn sum_up(&mut self) {
        self.outstanding = self
            .credits
            .values()
            .fold(Amount::NONE, |sum, credit| sum.plus(credit.amount));
    }

    /// A node holds this of what it was granted: the rest is spent.
    fn note_held(&mut self, now: MonotonicInstant, node: (Address, u64), held: Amount) {
        let Some(credit) = self.credits.get_mut(&node) else {
            return;
        };
        let spent = credit.amount.less(held);
        credit.amount = held;
        if !spent.is_none() {
            self.spent.note(now, spent);
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

    /// Takes what is needed, if there is headroom for it, and some of what is wanted besides. Gives what was taken,
    /// and where nothing was although it is needed, when it's worth asking again.
    fn take(
        &mut self,
        now: MonotonicInstant,
        bounds: &QuotaBounds,
        need: Amount,
        want: Amount,
    ) -> (Amount, Milliseconds) {
        let (at_once, debt) = (self.at_once(bounds), self.debt(bounds));
        let free = self
            .spent
            .headroom(now, at_once.less(debt), self.limit.rate);
        let headroom = free - i128::from(self.outstanding.thousandths);
        let needed = i128::from(need.thousandths);
        // One that is larger than all that may be spent at once could never be let in otherwise.
        let is_unused = headroom >= i128::from(at_once.less(debt).thousandths);
        let may_need =
            headroom > 0 && (is_unused || needed <= headroom + i128::from(debt.thousandths));
        if !need.is_none() && !may_need {
            self.denied += 1;
            let missing = (1 - headroom).max(needed - headroom - i128::from(debt.thousandths));
            let missing = Amount {
                thousandths: u64::try_from(missing).unwrap_or(0),
            };
            return (
                Amount::NONE,
                missing
                    .time_at(self.limit.rate)
                    .max(SHORTEST_WAIT)
                    .min(LONGEST_WAIT),
            );
        }
        // For needs of other nodes, some is always left.
        let reserve = at_once.part(1, 4);
        let spare = u64::try_from(headroom - needed - i128::from(reserve.thousandths)).unwrap_or(0);
        let room = at_once.part(1, 2).less(self.outstanding);
        let extra = want
            .less(need)
            .min(Amount {
                thousandths: spare / SPARE_PART,
            })
            .min(room);
        (need.plus(extra), Milliseconds(0))
    }
}
