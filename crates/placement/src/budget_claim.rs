//! The claim of a node to its share of the slow-start and warm-up budgets of servers.
//!
//! Source: own, by leases; not part of the paper (BTB, docs/provenance.md).

use types::{ConfigEpoch, Milliseconds, MonotonicInstant};

/// This node's claim to its share of what servers in slow start or warm-up may be sent.
///
/// Invariant: at any moment, over all nodes, the parts of those whose claims hold add up to no more than the
/// whole, whatever each of them knows. It follows from three things. Nodes whose claims hold under one membership
/// have different places in it, so that their parts are the whole. A claim holds only while a lease runs, which
/// the core gives under its newest membership alone: once a membership is replaced, each claim under it is gone after a
/// lease's span. And a claim under a new membership holds only after that span, and a little more, has passed since
/// this node learned of it, so that none under a former membership is left. An incarnation begins without any claim.
#[derive(Debug, Clone, Copy, Default)]
pub struct BudgetClaim {
    /// When this node learned of the membership that it goes by. `None` until the first.
    membership_from: Option<MonotonicInstant>,
    since: ConfigEpoch,
    /// The newest lease. Where there is no core, and there never was a lease, a claim doesn't lapse.
    lease: Option<Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    until: MonotonicInstant,
    span: Milliseconds,
}

impl BudgetClaim {
    /// Applies the membership in force since this epoch. Returns whether it differs from the one before, also if
    /// its members are the same.
    pub fn learn_membership(
        &mut self,
        since: ConfigEpoch,
        has_other_members: bool,
        now: MonotonicInstant,
    ) -> bool {
        let is_other = self.membership_from.is_none() || has_other_members || since > self.since;
        if is_other {
            self.membership_from = Some(now);
        }
        self.since = self.since.max(since);
        is_other
    }
    /// Applies a lease from the core: its end, and the longest that any lease runs, in ms.
    pub fn lease(&mut self, until: MonotonicInstant, span: Milliseconds) {
        let former = self.lease.unwrap_or(Lease { until, span });
        self.lease = Some(Lease {
            until: former.until.max(until),
            span: former.span.max(span),
        });
    }
    /// Checks that the claim holds.
    ///
    /// # Errors
    ///
    /// The time after which to check again, in ms, if it does not.
    pub fn check(&self, now: MonotonicInstant) -> Result<(), Milliseconds> {
        let Some(membership_from) = self.membership_from else {
            return Err(RECHECK_INTERVAL);
        };
        let others_lapse = self.lease.map_or(Milliseconds(0), |lease| lease.span);
        let holds_from = membership_from + others_lapse + SETTLING_TIME;
        if now < holds_from {
            return Err(now.until(holds_from));
        }
        if self.lease.is_some_and(|lease| now >= lease.until) {
            return Err(RECHECK_INTERVAL);
        }
        Ok(())
    }
}

/// What was placed under a claim that has lapsed has left by then, and the second in which it counts is over.
const SETTLING_TIME: Milliseconds = Milliseconds(1500);
/// A lease may come at any moment.
const RECHECK_INTERVAL: Milliseconds = Milliseconds::seconds(1);
