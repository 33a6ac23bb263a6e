//! The events of a measurement: plan changes, killed nodes and replaced servers, and when each is due.

use crate::hollow::rules::HollowRules;
use types::{Milliseconds, MonotonicInstant};

/// Something that is done to the fleet, with its number among those of its kind, from 1. Events due at the same
/// time take place in the order of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FleetEvent {
    /// An operator changes the plan.
    PlanChange(u64),
    /// A node is killed, and one at a new address takes its place.
    NodeReplacement(u64),
    /// A server is replaced in the platform's list.
    ServerReplacement(u64),
}

/// The events of a measurement that begins at `start`, in their order. Those of a kind are spread evenly.
pub(super) fn schedule(
    rules: &HollowRules,
    start: MonotonicInstant,
) -> Vec<(MonotonicInstant, FleetEvent)> {
    let span = Milliseconds::seconds(rules.seconds);
    let spread = |count: u64, event: fn(u64) -> FleetEvent| {
        (1..=count).map(move |n| {
            let offset = Milliseconds(span.0 * n / (count + 1).max(1));
            (start + offset, event(n))
        })
    };
    let mut events: Vec<(MonotonicInstant, FleetEvent)> =
        spread(rules.changes, FleetEvent::PlanChange)
            .chain(spread(rules.kills.into(), FleetEvent::NodeReplacement))
            .chain(spread(
                rules.replacements.into(),
                FleetEvent::ServerReplacement,
            ))
            .collect();
    events.sort_unstable();
    events
}
