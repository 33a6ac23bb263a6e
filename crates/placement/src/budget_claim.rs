use types::{ConfigEpoch, Milliseconds, MonotonicInstant};

/// This node's claim to its part of what fresh and cold servers bear.
///
/// Invariant: at any moment, over all nodes, the parts of those whose claims hold add up to no more than the
/// whole, whatever each of them knows. It follows from three things. Nodes whose claims hold under one membership
/// have different places in it, so that their parts are the whole. A claim holds only while a lease runs, which
/// the core gives under its newest membership alone: once a membership is replaced, each claim under it is gone after a
/// lease's span. And a claim under a new membership holds only after that span, and a little more, has passed since
/// this node learned of it, so that none under a former membership is left. A life begins without any claim.
#[derive(Debug, Clone, Copy, Default)]
pub struct BudgetClaim {
    /// When this node learned of the membership that it goes by. `None` until it's told of one.
    membership_from: Option<MonotonicInstant>,
    since: ConfigEpoch,
    /// The newest lease. Where there is no core, and no lease was ever told of, a claim doesn't lapse.
    lease: Option<Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    until: MonotonicInstant,
    span: Milliseconds,
}

impl BudgetClaim {
    /// The members were told of, as they are since this epoch. Says whether the membership is another one than
    /// before, also if its members are the same.
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
    /// The core gave a lease.
    pub fn lease(&mut self, until: MonotonicInstant, span: Milliseconds) {
        let former = self.lease.unwrap_or(Lease { until, span });
        self.lease = Some(Lease {
            until: former.until.max(until),
            span: former.span.max(span),
        });
    }
    /// Whether it holds; else when to look again.
    pub fn check(&self, now: MonotonicInstant) -> Result<(), Milliseconds> {
        let Some(membership_from) = self.membership_from else {
            return Err(LOOK_AGAIN);
        };
        let others_lapse = self.lease.map_or(Milliseconds(0), |lease| lease.span);
        let holds_from = membership_from + others_lapse + SENT_BY_THEN;
        if now < holds_from {
            return Err(now.until(holds_from));
        }
        if self.lease.is_some_and(|lease| now >= lease.until) {
            return Err(LOOK_AGAIN);
        }
        Ok(())
    }
}

/// What was placed under a claim that has lapsed has left by then, and the second in which it counts is over.
const SENT_BY_THEN: Milliseconds = Milliseconds(1500);
/// A lease may come at any moment.
const LOOK_AGAIN: Milliseconds = Milliseconds::seconds(1);
