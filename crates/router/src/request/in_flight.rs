//! The in-flight guard of a request: its slot among the requests in flight at this node, and its id.

use crate::control::node::{NodeInput, Rejection};
use crate::shared::Shared;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use types::{Milliseconds, RequestId, ResultCode};

/// A slot among the requests in flight; released when dropped, together with the request's id.
pub(crate) struct InFlightGuard {
    pub shared: Arc<Shared>,
    pub request: RequestId,
    /// The number of the request, which no other has within this incarnation of the process.
    pub number: u64,
    /// Whether a server may have run it: a second request of its id is then told so.
    pub may_have_run: bool,
}

impl InFlightGuard {
    /// Admits a request.
    ///
    /// Errors: [`ResultCode::Busy`] with this `retry_after` when the node is at its bound of requests.
    pub(crate) fn admit(
        shared: &Arc<Shared>,
        request: RequestId,
        number: u64,
        retry_after: Milliseconds,
    ) -> Result<InFlightGuard, Rejection> {
        let in_flight = &shared.metrics.in_hand;
        if in_flight.fetch_add(1, Ordering::Relaxed) >= shared.bound {
            in_flight.fetch_sub(1, Ordering::Relaxed);
            let why = "this node is at its bound of requests";
            return Err(Rejection::with_reason(ResultCode::Busy, why, retry_after));
        }
        Ok(InFlightGuard {
            shared: shared.clone(),
            request,
            number,
            may_have_run: false,
        })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.metrics.in_hand.fetch_sub(1, Ordering::Relaxed);
        self.shared.notify_control(NodeInput::Close {
            request: self.request.clone(),
            number: self.number,
            may_have_run: self.may_have_run,
        });
    }
}

impl Rejection {
    /// A rejection with this code, for this reason. The client may come back after `retry_after`, where the code
    /// lets it.
    pub(crate) fn with_reason(
        code: ResultCode,
        why: impl Into<String>,
        retry_after: Milliseconds,
    ) -> Rejection {
        Rejection {
            code,
            why: why.into(),
            retry_after,
        }
    }
}
