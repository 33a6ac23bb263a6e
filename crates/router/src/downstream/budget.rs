//! The router's budget: what its doors may use, and what is kept for each.

use crate::settings::Settings;
use resource_budget::{BudgetLimits, DoorId, DoorPolicy};
use transport::{BudgetDoor, ResourceBudget};

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
/// Bytes of large requests that a door's reserve of connections comes with.
const RESERVED_BYTES_A_CONNECTION: u64 = 96 << 10;

/// The doors of a router.
pub(crate) struct RouterDoors {
    pub budget: ResourceBudget,
    pub limits: BudgetLimits,
    /// For clients on the platform.
    pub ingress: BudgetDoor,
    /// For the platform's probes.
    pub readiness: BudgetDoor,
    /// For clients of the product's own interface, and for operators.
    pub own: BudgetDoor,
    /// For other processes of the fleet.
    pub peers: BudgetDoor,
}

impl RouterDoors {
    /// The doors of a router with the memory and the descriptors of its settings, with an ingress or without.
    pub(crate) fn new(settings: &Settings, has_ingress: bool) -> RouterDoors {
        let limits =
            BudgetLimits::for_process(settings.memory_bytes, settings.descriptors as usize);
        let requests = settings.requests as usize;
        let max_own = if has_ingress {
            (limits.max_connections / MAX_OWN_PART).min(requests + 112)
        } else {
            requests + 112
        };
        let doors = vec![
            door("ingress", requests * 2 + 64, &limits, None),
            door("readiness", MAX_PROBES, &limits, Some(PROBES_PART)),
            door("own", max_own, &limits, Some(OWN_PART)),
            door("peers", MAX_PEERS, &limits, Some(PEERS_PART)),
        ];
        let budget = ResourceBudget::new(limits, doors);
        let door = |at| budget.door(DoorId(at));
        RouterDoors {
            ingress: door(0),
            readiness: door(1),
            own: door(2),
            peers: door(3),
            limits,
            budget: budget.clone(),
        }
    }
}

/// A door for which one part in `reserved_part` of the connections is kept.
fn door(
    name: &'static str,
    max_connections: usize,
    limits: &BudgetLimits,
    reserved_part: Option<usize>,
) -> DoorPolicy {
    let reserved_connections = reserved_part.map_or(0, |part| limits.max_connections / part);
    DoorPolicy {
        name,
        max_connections,
        reserved_connections,
        reserved_bytes: reserved_connections as u64 * RESERVED_BYTES_A_CONNECTION,
    }
}
