//! The limits of the plan in force that bind connections: of clients to this node, and of this node to
//! servers.

use config::{Plan, ServicePlan};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use transport::{ConnectionPool, HttpServerLimiter, HttpServerLimits, RequestLimits};
use types::{Milliseconds, ServiceName};

/// Connections of one node to one server, idle ones among them, whatever a plan allows.
pub(crate) const MOST_TO_ONE_SERVER: usize = 64;
/// One part in so many of a server's connections is left for nodes that have joined and that not all know.
const JOINING_PART: usize = 8;

/// Puts a plan's limits into force.
///
/// Invariant: this node has no more connections open to a server, idle ones included, than its share, but
/// for those that were in use when the share became smaller; they are closed once they are free.
pub(crate) struct ConnectionLimits {
    limiter: HttpServerLimiter,
    pool: ConnectionPool,
    members: AtomicUsize,
    state: Mutex<LimitState>,
    #[cfg(test)]
    pub mutant: Option<LimitsMutant>,
}

/// A deliberate fault, by which the tests show that they see it.
#[cfg(test)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LimitsMutant {
    /// Connections that rest are taken for none.
    ForgetIdle,
    /// Each node takes all that a server accepts.
    TakeAll,
}

#[derive(Default)]
struct LimitState {
    /// Connections that one server of a service accepts from all nodes; 0: no bound.
    accepted: HashMap<ServiceName, usize>,
    /// Whom a connection to each address was last wanted for.
    services: HashMap<SocketAddr, ServiceName>,
}

/// A node's share of the connections that one server accepts from all.
///
/// The shares of all members add up to no more than that, also while one in [`JOINING_PART`] more have joined
/// than a node knows; unless there are more nodes than connections, since no share is less than one.
pub(crate) fn connection_share(accepted: usize, members: usize) -> usize {
    if accepted == 0 {
        return MOST_TO_ONE_SERVER;
    }
    let members = members.max(1);
    let nodes = members + members.div_ceil(JOINING_PART);
    (accepted / nodes).clamp(1, MOST_TO_ONE_SERVER)
}

impl ConnectionLimits {
    /// For a gate of clients and the connections to servers.
    pub(crate) fn new(limiter: HttpServerLimiter, pool: ConnectionPool) -> Self {
        ConnectionLimits {
            limiter,
            pool,
            members: AtomicUsize::new(1),
            state: Mutex::default(),
            #[cfg(test)]
            mutant: None,
        }
    }

    fn state(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another plan is in force.
    pub(crate) fn apply_plan(&self, plan: &Plan) {
        let bounds = &plan.bounds;
        self.limiter.set(HttpServerLimits {
            request: RequestLimits {
                header_bytes: bounds.max_header_bytes as usize,
                body_bytes: bounds.max_body_bytes as usize,
            },
            head_timeout: Milliseconds(bounds.header_read_ms),
            idle_timeout: Milliseconds(bounds.idle_timeout_ms),
        });
        let accepted = |(name, service): (&String, &ServicePlan)| {
            (name.as_str().into(), service.connections as usize)
        };
        let mut state = self.state();
        state.accepted = plan.services.iter().map(accepted).collect();
        self.enforce_shares(&mut state);
    }

    /// So many nodes share the servers, as far as known here.
    pub(crate) fn set_member_count(&self, count: usize) {
        if self.members.swap(count, Ordering::SeqCst) != count {
            self.enforce_shares(&mut self.state());
        }
    }

    /// A connection to this address is wanted for a service: it's held to the share of that.
    pub(crate) fn limit_connections(&self, address: SocketAddr, service: &ServiceName) {
        let mut state = self.state();
        self.pool
            .set_max_per_address(address, self.share(&state, service));
        if state.services.get(&address) != Some(service) {
            state.services.insert(address, service.clone());
        }
    }

    fn share(&self, state: &LimitState, service: &ServiceName) -> usize {
        let accepted = state.accepted.get(service).copied().unwrap_or(0);
        #[cfg(test)]
        if self.mutant == Some(LimitsMutant::TakeAll) {
            return connection_share(accepted, 1);
        }
        connection_share(accepted, self.members.load(Ordering::SeqCst))
    }

    /// Closes the connections at rest where there are more than the share, and forgets addresses to which
    /// there is none.
    fn enforce_shares(&self, state: &mut LimitState) {
        let services = std::mem::take(&mut state.services);
        for (address, service) in services {
            let open = self.pool.open_count(address);
            if open == 0 {
                self.pool.close_idle(address);
                continue;
            }
            let share = self.share(state, &service);
            #[cfg(test)]
            let open = match self.mutant {
                Some(LimitsMutant::ForgetIdle) => open - self.pool.idle_count(address),
                _ => open,
            };
            if open > share {
                self.pool.close_idle(address);
            }
            self.pool.set_max_per_address(address, share);
            state.services.insert(address, service);
        }
    }
}

/// What a node without a gate of clients has.
pub(crate) type SharedLimits = std::sync::OnceLock<Arc<ConnectionLimits>>;

#[cfg(test)]
mod tests;
