//! The router's budget: what its listeners may use, and what is kept for each.

use crate::settings::Settings;
use resource_budget::{BudgetLimits, ListenerId, ListenerPolicy};
use transport::{ListenerBudget, ResourceBudget};

/// Connections of the platform's probes.
const MAX_PROBES: usize = 32;
/// Connections between the fleet's own processes.
const MAX_PEERS: usize = 512;
/// One part in so many of the process's connections is kept for its peers.
const PEERS_PART: usize = 8;
/// One part in so many of them is kept for operators.
const OWN_PART: usize = 32;
/// Beside an ingress, the router's own interface has one part in so many of them at most: streams of decisions last as long
/// as their readers like.
const MAX_OWN_PART: usize = 4;
/// One part in so many of them is kept for probes.
const PROBES_PART: usize = 64;
/// Bytes of large requests that a listener's reserve of connections comes with.
const RESERVED_BYTES_A_CONNECTION: u64 = 96 << 10;

/// The listeners of a router.
pub(crate) struct RouterBudget {
    pub total: ResourceBudget,
    pub limits: BudgetLimits,
    /// For clients on the platform.
    pub ingress: ListenerBudget,
    /// For the platform's probes.
    pub readiness: ListenerBudget,
    /// For clients of the product's own interface, and for operators.
    pub own: ListenerBudget,
    /// For other processes of the fleet.
    pub peers: ListenerBudget,
}

impl RouterBudget {
    /// The listeners of a router with the memory and the descriptors of its settings, with an ingress or without.
    pub(crate) fn new(settings: &Settings, has_ingress: bool) -> RouterBudget {
        let limits =
            BudgetLimits::for_process(settings.memory_bytes, settings.descriptors as usize);
        let requests = settings.requests as usize;
        let max_own = if has_ingress {
            (limits.max_connections / MAX_OWN_PART).min(requests + 112)
        } else {
            requests + 112
        };
        let listeners = vec![
            listener("ingress", requests * 2 + 64, &limits, None),
            listener("readiness", MAX_PROBES, &limits, Some(PROBES_PART)),
            listener("own", max_own, &limits, Some(OWN_PART)),
            listener("peers", MAX_PEERS, &limits, Some(PEERS_PART)),
        ];
        let budget = ResourceBudget::new(limits, listeners);
        let listener = |at| budget.listener(ListenerId(at));
        RouterBudget {
            ingress: listener(0),
            readiness: listener(1),
            own: listener(2),
            peers: listener(3),
            limits,
            total: budget.clone(),
        }
    }
}

/// A listener for which one part in `reserved_part` of the connections is kept.
fn listener(
    name: &'static str,
    max_connections: usize,
    limits: &BudgetLimits,
    reserved_part: Option<usize>,
) -> ListenerPolicy {
    let reserved_connections = reserved_part.map_or(0, |part| limits.max_connections / part);
    ListenerPolicy {
        name,
        max_connections,
        reserved_connections,
        reserved_bytes: reserved_connections as u64 * RESERVED_BYTES_A_CONNECTION,
    }
}
