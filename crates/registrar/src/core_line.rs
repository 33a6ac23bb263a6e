use crate::prelude::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bounds the operators' orders that wait in this process.
const OPERATORS: usize = 64;

/// Status and body of the control thread's word.
pub type Told = (u16, Vec<u8>);

type Waiting = HashMap<u64, flume::Sender<Told>>;

/// Who waits for the control thread's word on what, by number.
#[derive(Clone, Default)]
pub(crate) struct Replies(Arc<Mutex<Waiting>>);

impl Replies {
    fn waiting(&self) -> std::sync::MutexGuard<'_, Waiting> {
        self.0.lock().expect("no thread panics with it")
    }
    /// Hands a reply to whoever waits for it.
    pub(crate) fn give(&self, number: u64, status: u16, body: Vec<u8>) {
        let waiting = self.waiting().remove(&number);
        if let Some(waiting) = waiting {
            let _ = waiting.send((status, body));
        }
    }
}

/// From a connection's thread to the control thread and back.
pub struct CoreLine {
    replies: Replies,
    counter: AtomicU64,
    tell: Box<dyn Fn(u64, OperatorAsk) + Send + Sync>,
}

impl CoreLine {
    pub(crate) fn new(replies: Replies, tell: impl Fn(u64, OperatorAsk) + Send + Sync + 'static) -> Self {
        CoreLine { replies, counter: AtomicU64::new(1), tell: Box::new(tell) }
    }
    /// Asks, and waits for status and body.
    pub fn ask(&self, ask: OperatorAsk) -> Result<Told, Box<Reply>> {
        let number = self.counter.fetch_add(1, Ordering::Relaxed);
        let (reply, inbox) = flume::bounded(1);
        {
            let mut waiting = self.replies.waiting();
            if waiting.len() >= OPERATORS {
                let why = "too many operators' orders are waiting";
                return Err(Box::new(Reply::result(ResultCode::CoreNotReady, why)));
            }
            waiting.insert(number, reply);
        }
        (self.tell)(number, ask);
        let outcome = inbox.recv_timeout(Duration::from_secs(12));
        self.replies.waiting().remove(&number);
        let silence = "this registrar's control thread gave no reply";
        outcome.map_err(|_| Box::new(Reply::result(ResultCode::FateUnknown, silence)))
    }
}
