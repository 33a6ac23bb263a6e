//! The retry budget: how many retries of a service this node may place.
//!
//! Source: own, after the retry budgets of common proxies; not part of the paper (BTB, docs/provenance.md).

use crate::rendezvous::{key_of, rank, share, share_at};
use crate::retry_budget::RetryBudget;
use crate::retry_window::RetryWindow;
use crate::rules::SchedulerRules;
use crate::scheduler::Scheduler;
use crate::scheduler::placing::{MIN_RETRY_AFTER, SpanExt};
use crate::scheduler::requests::InFlightRequest;
use types::{Address, Milliseconds, MonotonicInstant, ServiceName};

/// A node's share of the retries that a service may have a minute over the fleet.
fn retry_share(
    rules: &SchedulerRules,
    service: &ServiceName,
    own: &Address,
    members: &[Address],
) -> u32 {
    share(
        rules.retries_per_minute,
        key_of(service.as_str()),
        own,
        members,
    )
}

impl Scheduler {
    /// Whether an order of this round may be placed; else when about.
    pub(super) fn check_retry_budget(
        &mut self,
        service: &ServiceName,
        round: u32,
        begun: MonotonicInstant,
        now: MonotonicInstant,
    ) -> Result<(), Milliseconds> {
        let scheduler_rules = &self.scheduler_rules;
        if scheduler_rules.retry_window.0 > 0 {
            if round == 0 {
                return Ok(());
            }
            let own_rank = rank(key_of(service.as_str()), &self.own, &self.members) as u32;
            let part = share_at(
                scheduler_rules.retries_per_window,
                own_rank,
                self.fleet_size(),
            );
            let window = self
                .retry_windows
                .entry(service.clone())
                .or_insert_with(|| RetryWindow::new(begun));
            let wait = window.check(
                scheduler_rules.retry_percent,
                part,
                now,
                scheduler_rules.retry_window,
            );
            return wait.map_err(|wait| wait.max_with(MIN_RETRY_AFTER));
        }
        let part = retry_share(scheduler_rules, service, &self.own, &self.members);
        let allowance = self
            .retry_budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(now));
        allowance.accrue(part, now);
        if round > 0 && !allowance.has_one() {
            Err(Milliseconds(1000))
        } else {
            Ok(())
        }
    }

    pub(super) fn record_placed(
        &mut self,
        service: &ServiceName,
        round: u32,
        now: MonotonicInstant,
    ) {
        let (span, begun) = (self.scheduler_rules.retry_window, self.begun.unwrap_or(now));
        if span.0 > 0 {
            let window = self
                .retry_windows
                .entry(service.clone())
                .or_insert_with(|| RetryWindow::new(begun));
            return window.place(round > 0, now, span);
        }
        let part = retry_share(&self.scheduler_rules, service, &self.own, &self.members);
        if let Some(allowance) = self.retry_budgets.get_mut(service) {
            if round > 0 {
                allowance.spend();
            } else {
                allowance.earn(self.scheduler_rules.retry_percent, part);
            }
        }
    }

    /// Undoes what placing a request did to the service's retry budget: no server was reached, so that it was
    /// neither traffic there nor a retry.
    pub(super) fn refund_retry(&mut self, tracked: &InFlightRequest) {
        if let Some(window) = self.retry_windows.get_mut(&tracked.service) {
            window.unplace(tracked.is_retry);
        }
        let part = retry_share(
            &self.scheduler_rules,
            &tracked.service,
            &self.own,
            &self.members,
        );
        if let Some(budget) = self.retry_budgets.get_mut(&tracked.service) {
            if tracked.is_retry {
                budget.refund(part);
            } else {
                budget.undo_earn(self.scheduler_rules.retry_percent);
            }
        }
    }
}
