//! Replies that come in time, too late, and in the moment in which the requester stops waiting.

use super::*;

/// Nothing is judged by it: it ends a test that would hang.
const GUARD: Milliseconds = Milliseconds::seconds(60);
const AT_ONCE: Milliseconds = Milliseconds(0);

#[test]
fn an_answer_in_time_is_received() {
    let (sender, receiver) = response_channel();
    assert!(sender.send(7));
    assert_eq!(receiver.wait(GUARD), Some(7));
}

// A takeover that was granted after its requester had stopped waiting was taken for refused.
#[test]
fn nothing_is_sent_to_a_requester_that_has_stopped_waiting() {
    let (sender, receiver) = response_channel::<u32>();
    assert_eq!(receiver.wait(AT_ONCE), None);
    assert!(!sender.claim());
    assert!(!sender.send(7));
}

#[test]
fn a_claimed_question_is_waited_for_beyond_its_time() {
    let (sender, receiver) = response_channel();
    assert!(sender.claim());
    let requester = std::thread::spawn(move || receiver.wait(AT_ONCE));
    assert!(sender.send(7));
    assert_eq!(requester.join().expect("no panic"), Some(7));
}

#[test]
fn a_deferred_question_may_be_given_up_again() {
    let (sender, receiver) = response_channel::<u32>();
    assert!(sender.claim());
    sender.defer();
    assert_eq!(receiver.wait(AT_ONCE), None);
    assert!(!sender.send(7));
}

#[test]
fn without_a_control_thread_nobody_waits() {
    let (sender, receiver) = response_channel::<u32>();
    assert!(sender.claim());
    drop(sender);
    assert_eq!(receiver.wait(GUARD), None);
}

#[test]
fn both_sides_agree_whether_an_answer_was_received() {
    for _ in 0..2000 {
        let (sender, receiver) = response_channel();
        let control = std::thread::spawn(move || sender.send(7));
        let received = receiver.wait(AT_ONCE);
        let is_sent = control.join().expect("no panic");
        assert_eq!(received.is_some(), is_sent);
    }
}
