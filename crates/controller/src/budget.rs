//! The controller's budget: what its listeners may use, and what is kept for each.

use crate::settings::Settings;
use resource_budget::{BudgetLimits, ListenerId, ListenerPolicy};
use transport::{ListenerBudget, ResourceBudget};

/// Operators' connections that are served at once.
const MAX_OPERATORS: usize = 128;
/// Connections between the fleet's own processes.
const MAX_PEERS: usize = 512;
/// One part in so many of the process's connections is kept for operators.
const OPERATORS_PART: usize = 8;
/// One part in so many of them is kept for peers.
const PEERS_PART: usize = 2;
/// One part in so many of the memory is kept for messages of peers.
const PEERS_MEMORY_PART: u64 = 4;

/// The listeners of a controller.
pub(crate) struct ControllerBudget {
    pub total: ResourceBudget,
    /// For operators and probes.
    pub operators: ListenerBudget,
    /// For other processes of the fleet.
    pub peers: ListenerBudget,
}

impl ControllerBudget {
    /// The listeners of a controller with the memory and the descriptors of its settings.
    pub(crate) fn new(settings: &Settings) -> ControllerBudget {
        let limits =
            BudgetLimits::for_process(settings.memory_bytes, settings.descriptors as usize);
        let listeners = vec![
            ListenerPolicy {
                name: "operators",
                max_connections: MAX_OPERATORS,
                reserved_connections: limits.max_connections / OPERATORS_PART,
                reserved_bytes: 0,
            },
            ListenerPolicy {
                name: "peers",
                max_connections: MAX_PEERS,
                reserved_connections: limits.max_connections / PEERS_PART,
                reserved_bytes: limits.content_bytes / PEERS_MEMORY_PART,
            },
        ];
        let budget = ResourceBudget::new(limits, listeners);
        ControllerBudget {
            operators: budget.listener(ListenerId(0)),
            peers: budget.listener(ListenerId(1)),
            total: budget,
        }
    }
}
