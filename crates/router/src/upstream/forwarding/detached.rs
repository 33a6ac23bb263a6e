//! A forwarder without a node: whoever holds it chooses the servers. Its connections, its judgements and its
//! state charts are those of the daemon.

use super::Forwarder;
use crate::control::event::ControlEvent;
use crate::control::node::{NodeInput, Placement, PlacementRequest, Rejection};
use crate::dialect::CallDialect;
use crate::shared::Shared;
use config::Plan;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use transport::{ConnectionPool, ConnectionPoolBounds, Request, Response};
use types::ConfigEpoch;

/// Requests that it takes at once.
const BOUND: u64 = 64;

/// The answer to the question where a request goes.
pub struct PlacementResponse {
    /// To there, or nowhere.
    pub outcome: Result<Placement, Rejection>,
    /// The epoch that has come into force by the time the request would be sent.
    pub in_force: ConfigEpoch,
}

/// Chooses the servers.
pub type PlacementSource = Box<dyn FnMut(&PlacementRequest) -> PlacementResponse + Send>;

/// A forwarder without a node.
#[derive(Clone)]
pub struct DetachedForwarder {
    forwarder: Arc<Forwarder>,
}

impl DetachedForwarder {
    /// One that acts by this plan. Its placing thread ends with the last clone.
    pub fn start(
        dialect: Arc<dyn CallDialect>,
        plan: &Arc<Plan>,
        bounds: ConnectionPoolBounds,
        mut placement_source: PlacementSource,
    ) -> std::io::Result<Self> {
        let (control, inbox) = flume::unbounded();
        let shared = Arc::new(Shared::detached(control, BOUND));
        shared.install_detached_plan(plan);
        let placing_shared = Arc::downgrade(&shared);
        std::thread::Builder::new()
            .name("placing".into())
            .spawn(move || {
                for event in inbox {
                    let ControlEvent::Place(NodeInput::Place(ask), outcome) = event else {
                        continue;
                    };
                    let response = placement_source(&ask);
                    if let Some(shared) = placing_shared.upgrade() {
                        shared
                            .epoch
                            .fetch_max(response.in_force.0, Ordering::SeqCst);
                    }
                    let _ = outcome.send(response.outcome);
                }
            })?;
        let forwarder = Forwarder {
            shared,
            dialect,
            pool: ConnectionPool::new(bounds),
            #[cfg(test)]
            mutant: None,
        };
        Ok(DetachedForwarder {
            forwarder: Arc::new(forwarder),
        })
    }
    /// Answers a client's request.
    pub fn respond(&self, request: Request) -> Response {
        self.forwarder.respond(request)
    }
}
