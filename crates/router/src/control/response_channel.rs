//! The answer to a question that another thread puts to the control thread.
//!
//! The requester waits for a limited time. Either it gets the answer, or the control thread knows that nobody
//! does: no answer is given and lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use types::Milliseconds;

/// The requester waits, and may stop waiting.
const AWAITED: u8 = 0;
/// The answer is being made: the requester waits until it is there.
const CLAIMED: u8 = 1;
/// The requester has stopped waiting.
const ABANDONED: u8 = 2;

/// How often a requester looks whether a claimed question has been let go again.
const CLAIMED_CHECK_PERIOD: Duration = Duration::from_millis(20);

/// The control thread's half. If it is dropped, the requester gets no answer.
pub(crate) struct ResponseSender<T> {
    state: Arc<AtomicU8>,
    answers: flume::Sender<T>,
}

/// The requester's half.
pub(crate) struct ResponseReceiver<T> {
    state: Arc<AtomicU8>,
    answers: flume::Receiver<T>,
}

/// Both halves of one response.
pub(crate) fn response_channel<T>() -> (ResponseSender<T>, ResponseReceiver<T>) {
    let state = Arc::new(AtomicU8::new(AWAITED));
    let (sender, receiver) = flume::bounded(1);
    let for_control = ResponseSender {
        state: state.clone(),
        answers: sender,
    };
    let for_requester = ResponseReceiver {
        state,
        answers: receiver,
    };
    (for_control, for_requester)
}

/// Changes the state from `from` to `to`. Whether it was `from`.
fn exchange(state: &AtomicU8, from: u8, to: u8) -> bool {
    state
        .compare_exchange(from, to, Ordering::SeqCst, Ordering::SeqCst)
        .is_ok()
}

impl<T> ResponseSender<T> {
    /// Takes up the question: from now on the requester waits for the answer. `false` if it has stopped waiting.
    pub(crate) fn claim(&self) -> bool {
        exchange(&self.state, AWAITED, CLAIMED)
    }

    /// The answer comes later, if the requester still waits then.
    pub(crate) fn defer(&self) {
        exchange(&self.state, CLAIMED, AWAITED);
    }

    /// Answers. `false` if the requester has stopped waiting: then it acts as if nothing had been answered.
    pub(crate) fn send(self, answer: T) -> bool {
        let is_claimed = self.state.load(Ordering::SeqCst) == CLAIMED || self.claim();
        is_claimed && self.answers.send(answer).is_ok()
    }
}

impl<T> ResponseReceiver<T> {
    /// Waits for the answer. `None`: it did not come in time, and never will.
    pub(crate) fn wait(self, timeout: Milliseconds) -> Option<T> {
        let mut timeout = timeout.duration();
        loop {
            match self.answers.recv_timeout(timeout) {
                Ok(answer) => return Some(answer),
                Err(flume::RecvTimeoutError::Disconnected) => return None,
                Err(flume::RecvTimeoutError::Timeout) => {}
            }
            if exchange(&self.state, AWAITED, ABANDONED) {
                return None;
            }
            timeout = CLAIMED_CHECK_PERIOD;
        }
    }
}

#[cfg(test)]
mod tests;
