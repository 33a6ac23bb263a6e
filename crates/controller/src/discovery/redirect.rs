//! Redirects of operators from a controller without a disk to one that serves the core.

use crate::admin::control_client::Attempt;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use transport::{Request, Response, http_get};
use types::{Address, Milliseconds, ResultCode};

/// The time-out of a readiness probe, for the connection and for the response.
const PROBE_PATIENCE: Milliseconds = Milliseconds(150);

/// The outcome of a readiness probe of another controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It is in the chain and reaches a majority of the core.
    Serves,
    /// It responds, but doesn't serve the core at the moment.
    Waits,
    /// It didn't respond in time.
    Unreachable,
}

/// Reads the addresses where operators reach the other controllers, as the settings name them now.
pub type ReadAddresses = Arc<dyn Fn() -> Vec<Address> + Send + Sync>;

/// Picks the controller that an operator is redirected to.
///
/// Invariant: no operator is redirected to a controller that is unreachable, or partitioned from the core, while
/// another one serves.
pub(crate) struct Redirector {
    read_others: ReadAddresses,
    next: AtomicUsize,
}

impl Redirector {
    /// A round robin over the controllers that `read_others` returns. It is called for each request, since all that the
    /// settings named at the start may have been replaced.
    pub(crate) fn new(read_others: ReadAddresses) -> Self {
        Redirector {
            read_others,
            next: AtomicUsize::new(0),
        }
    }

    /// Picks the next controller that serves the core or, if none does, the first that responds at all.
    pub(crate) fn pick(&self, probe: impl Fn(Address) -> Readiness) -> Option<Address> {
        let others = (self.read_others)();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let mut waiting = None;
        for place in 0..others.len() {
            let other = others[(first + place) % others.len()];
            match probe(other) {
                Readiness::Serves => return Some(other),
                Readiness::Waits => waiting = waiting.or(Some(other)),
                Readiness::Unreachable => {}
            }
        }
        waiting
    }

    /// Picks where an operator's request is to be sent anew, or says why nowhere. Whoever follows a redirect sends the
    /// request as a new one, so that a late one would be carried out though its operator has replaced it.
    fn target(
        &self,
        attempt: &Attempt,
        probe: impl Fn(Address) -> Readiness,
    ) -> Result<Address, &'static str> {
        let other = self.pick(probe);
        if attempt.is_over() {
            return Err("nobody waits for it any more");
        }
        other.ok_or("this node has no disk, and no other answers it")
    }

    /// Answers an operator's request with a redirect, or with an error if no other controller responds or the operator
    /// may have given up.
    pub(crate) fn respond(&self, request: &Request, attempt: &Attempt) -> Response {
        let other = match self.target(attempt, probe) {
            Ok(other) => other,
            Err(reason) => return Response::result(ResultCode::CoreNotReady, reason),
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

/// Requests another controller's readiness.
fn probe(other: Address) -> Readiness {
    match http_get(
        &format!("http://{other}/ready"),
        PROBE_PATIENCE,
        PROBE_PATIENCE,
    ) {
        Ok(answer) if answer.status() == 200 => Readiness::Serves,
        Ok(_) => Readiness::Waits,
        Err(_) => Readiness::Unreachable,
    }
}

#[cfg(test)]
mod tests;
