//! A control node without a disk sends operators on to one that serves the core.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use transport::{Request, Response, http_get};
use types::{Address, Milliseconds, ResultCode};

/// How long another node may take to say whether it serves.
const PROBE_PATIENCE: Milliseconds = Milliseconds(150);

/// What another node says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It has a seat and hears a majority of the core.
    Serves,
    /// It answers, but doesn't serve at this moment.
    Waits,
    /// It gave no answer.
    Silent,
}

/// Gives the addresses where operators reach the other nodes, as the settings have them now.
pub type ReadAddresses = Arc<dyn Fn() -> Vec<Address> + Send + Sync>;

/// Picks the node that an operator is sent on to.
///
/// Invariant: nobody is sent to a node that is silent, or that is cut off from the core, while another serves.
pub(crate) struct Redirector {
    read_others: ReadAddresses,
    next: AtomicUsize,
}

impl Redirector {
    /// Among those that are read for each operator, by turns: the nodes of the first settings may all have been
    /// replaced since.
    pub(crate) fn new(read_others: ReadAddresses) -> Self {
        Redirector {
            read_others,
            next: AtomicUsize::new(0),
        }
    }

    /// The next one that serves; if none does, the first that answers at all.
    pub(crate) fn pick(&self, probe: impl Fn(Address) -> Readiness) -> Option<Address> {
        let others = (self.read_others)();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let mut waiting = None;
        for place in 0..others.len() {
            let other = others[(first + place) % others.len()];
            match probe(other) {
                Readiness::Serves => return Some(other),
                Readiness::Waits => waiting = waiting.or(Some(other)),
                Readiness::Silent => {}
            }
        }
        waiting
    }

    /// Sends an operator on.
    pub(crate) fn respond(&self, request: &Request) -> Response {
        let Some(other) = self.pick(probe) else {
            return Response::result(
                ResultCode::CoreNotReady,
                "this node has no disk, and no other answers it",
            );
        };
        let query = if request.query.is_empty() {
            String::new()
        } else {
            format!("?{}", request.query)
        };
        let location = format!("http://{other}{}{query}", request.path);
        Response::complete(307, "text/plain", "ask there\n").with_header("location", location)
    }
}

/// Asks another node whether it serves.
fn probe(other: Address) -> Readiness {
    match http_get(
        &format!("http://{other}/ready"),
        PROBE_PATIENCE,
        PROBE_PATIENCE,
    ) {
        Ok(answer) if answer.status() == 200 => Readiness::Serves,
        Ok(_) => Readiness::Waits,
        Err(_) => Readiness::Silent,
    }
}

#[cfg(test)]
mod tests;
