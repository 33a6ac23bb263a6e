//! The way of an operator's request from its connection thread to the control thread and back.

use crate::controller::{ControllerInput, OperatorRequest, RequestAge};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use transport::{ClientConnection, Request, Response};
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// Operators' requests that may be in flight in this process; further ones are rejected at once.
const MAX_IN_FLIGHT: usize = 64;

/// The shortest time-out of a request on the product's own interface.
pub(crate) const OPERATOR_PATIENCE: Milliseconds = Milliseconds::seconds(12);
/// The time between two checks whether an operator's connection is still open.
const CONNECTION_CHECK_PERIOD: Milliseconds = Milliseconds(100);

/// One call of an operator: when it arrived, when its operator gives up, and the connection that its answer goes to.
pub struct Attempt {
    age: RequestAge,
    client: Option<ClientConnection>,
}

impl Attempt {
    /// An attempt that arrived after `arrived_after` and times out `timeout` later, or when the connection `client`
    /// closes.
    pub fn new(
        arrived_after: MonotonicInstant,
        timeout: Milliseconds,
        client: Option<ClientConnection>,
    ) -> Self {
        Attempt {
            age: RequestAge::new(arrived_after, timeout),
            client,
        }
    }

    /// An attempt at a request that was read from a connection. It may have waited there for long, so its time runs
    /// from the earliest moment at which it can have arrived.
    pub(crate) fn of_request(request: &Request, timeout: Milliseconds) -> Self {
        let client = request.client.clone();
        Attempt::new(request.arrived_after, timeout, Some(client))
    }

    /// Whether the operator may have given up: the deadline has passed or the connection is closed.
    pub(crate) fn is_over(&self) -> bool {
        Clock::now() >= self.age.deadline
            || self
                .client
                .as_ref()
                .is_some_and(ClientConnection::is_disconnected)
    }
}

/// HTTP status and body of the control thread's response.
pub type ControlResponse = (u16, Vec<u8>);

type ResponseSenders = HashMap<u64, flume::Sender<ControlResponse>>;

/// Requests in flight between connection threads and the control thread, by number.
#[derive(Clone, Default)]
pub(crate) struct PendingResponses(Arc<Mutex<ResponseSenders>>);

impl PendingResponses {
    fn lock(&self) -> MutexGuard<'_, ResponseSenders> {
        self.0.lock().expect("no thread panics with it")
    }

    /// Hands a response to the connection thread that waits for it, if it still does.
    pub(crate) fn complete(&self, number: u64, status: u16, body: Vec<u8>) {
        let sender = self.lock().remove(&number);
        if let Some(sender) = sender {
            let _ = sender.send((status, body));
        }
    }

    /// Registers a request; `None` if too many are in flight.
    fn register(&self, number: u64) -> Option<flume::Receiver<ControlResponse>> {
        let (sender, receiver) = flume::bounded(1);
        let mut pending = self.lock();
        if pending.len() >= MAX_IN_FLIGHT {
            return None;
        }
        pending.insert(number, sender);
        Some(receiver)
    }

    fn remove(&self, number: u64) {
        self.lock().remove(&number);
    }
}

/// A connection thread's client of the control thread.
pub struct ControlClient {
    pending: PendingResponses,
    last_number: AtomicU64,
    send_input: Box<dyn Fn(ControllerInput) + Send + Sync>,
}

impl ControlClient {
    /// A client whose requests go out by `send_input` and whose responses come back by `pending`.
    pub(crate) fn new(
        pending: PendingResponses,
        send_input: impl Fn(ControllerInput) + Send + Sync + 'static,
    ) -> Self {
        ControlClient {
            pending,
            last_number: AtomicU64::new(1),
            send_input: Box::new(send_input),
        }
    }

    /// Sends a request and blocks until its response, or until the attempt is over. A request without a response is
    /// abandoned on the control thread.
    ///
    /// # Errors
    ///
    /// [`ResultCode::CoreNotReady`] if the attempt was over before or too many requests are in flight: nothing was
    /// sent. [`ResultCode::FateUnknown`] if no response came in time.
    pub fn request(
        &self,
        request: OperatorRequest,
        attempt: &Attempt,
    ) -> Result<ControlResponse, Box<Response>> {
        if attempt.is_over() {
            return Err(not_sent("nobody waits for it any more"));
        }
        let number = self.last_number.fetch_add(1, Ordering::Relaxed);
        let Some(receiver) = self.pending.register(number) else {
            return Err(not_sent("too many operators' requests are waiting"));
        };
        (self.send_input)(ControllerInput::Operator {
            number,
            request,
            age: attempt.age,
        });
        let response = Self::wait(&receiver, attempt);
        self.pending.remove(number);
        response.ok_or_else(|| {
            (self.send_input)(ControllerInput::Abandoned { number });
            let reason = "no answer in time";
            Box::new(Response::result(ResultCode::FateUnknown, reason))
        })
    }

    fn wait(
        receiver: &flume::Receiver<ControlResponse>,
        attempt: &Attempt,
    ) -> Option<ControlResponse> {
        loop {
            let remaining = Clock::now().until(attempt.age.deadline);
            let timeout = remaining.min(CONNECTION_CHECK_PERIOD);
            match receiver.recv_timeout(timeout.duration()) {
                Ok(response) => return Some(response),
                Err(flume::RecvTimeoutError::Timeout) if !attempt.is_over() => {}
                Err(_) => return None,
            }
        }
    }
}

fn not_sent(reason: &str) -> Box<Response> {
    Box::new(Response::result(ResultCode::CoreNotReady, reason))
}
