use crate::controller::{ControllerInput, OperatorRequest};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use transport::{ClientConnection, Response};
use types::{Clock, Milliseconds, MonotonicInstant, ResultCode};

/// Bounds the operators' requests that wait in this process.
const OPERATORS: usize = 64;

/// An operator of the product's own interface waits at least this long.
pub(crate) const OPERATOR_PATIENCE: Milliseconds = Milliseconds::seconds(12);
/// How often it's looked whether an operator that waits is still there.
const LOOK_EVERY: Milliseconds = Milliseconds(100);

/// One call of an operator: until when it is worth an answer, and to whom.
pub struct Attempt {
    deadline: MonotonicInstant,
    client: Option<ClientConnection>,
}

impl Attempt {
    /// One that has just come in on this connection, if it's on one, and lasts so long.
    pub fn new(patience: Milliseconds, client: Option<ClientConnection>) -> Self {
        Attempt {
            deadline: Clock::now() + patience,
            client,
        }
    }
    /// Whether nobody waits for its answer any more.
    fn is_over(&self) -> bool {
        Clock::now() >= self.deadline
            || self
                .client
                .as_ref()
                .is_some_and(ClientConnection::is_disconnected)
    }
}

/// Status and body of the control thread's word.
pub type Told = (u16, Vec<u8>);

type Waiting = HashMap<u64, flume::Sender<Told>>;

/// Who waits for the control thread's word on what, by number.
#[derive(Clone, Default)]
pub(crate) struct Responses(Arc<Mutex<Waiting>>);

impl Responses {
    fn waiting(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.0.lock().expect("no thread panics with it")
    }
    /// Hands a response to whoever waits for it.
    pub(crate) fn give(&self, number: u64, status: u16, body: Vec<u8>) {
        let waiting = self.waiting().remove(&number);
        if let Some(waiting) = waiting {
            let _ = waiting.send((status, body));
        }
    }
}

/// From a connection's thread to the control thread and back.
pub struct ReplicationTransport {
    responses: Responses,
    counter: AtomicU64,
    tell: Box<dyn Fn(ControllerInput) + Send + Sync>,
}

impl ReplicationTransport {
    pub(crate) fn new(
        responses: Responses,
        tell: impl Fn(ControllerInput) + Send + Sync + 'static,
    ) -> Self {
        ReplicationTransport {
            responses,
            counter: AtomicU64::new(1),
            tell: Box::new(tell),
        }
    }
    /// Asks, and waits for status and body while the attempt lasts. What it leaves unfinished is given up.
    pub fn ask(&self, ask: OperatorRequest, attempt: &Attempt) -> Result<Told, Box<Response>> {
        if attempt.is_over() {
            return Err(Box::new(Response::result(
                ResultCode::CoreNotReady,
                "nobody waits for it any more",
            )));
        }
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let (response, inbox) = flume::bounded(1);
        {
            let mut waiting = self.responses.waiting();
            if waiting.len() >= OPERATORS {
                let why = "too many operators' requests are waiting";
                return Err(Box::new(Response::result(ResultCode::CoreNotReady, why)));
            }
            waiting.insert(number, response);
        }
        (self.tell)(ControllerInput::Operator { number, ask });
        let told = Self::wait(&inbox, attempt);
        self.responses.waiting().remove(&number);
        told.ok_or_else(|| {
            (self.tell)(ControllerInput::Abandoned { number });
            Box::new(Response::result(
                ResultCode::FateUnknown,
                "no answer in time",
            ))
        })
    }

    fn wait(inbox: &flume::Receiver<Told>, attempt: &Attempt) -> Option<Told> {
        loop {
            let span = Clock::now().until(attempt.deadline).min(LOOK_EVERY);
            match inbox.recv_timeout(span.duration()) {
                Ok(told) => return Some(told),
                Err(flume::RecvTimeoutError::Timeout) if !attempt.is_over() => {}
                Err(_) => return None,
            }
        }
    }
}
