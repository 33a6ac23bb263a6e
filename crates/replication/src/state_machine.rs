//! The replicated state machine, as its owner provides it.

/// What the head makes of a proposal before it enters the chain.
#[derive(Debug, Clone, PartialEq)]
pub enum Preview {
    /// The proposal may enter the chain.
    Admit,
    /// The proposal must be rejected, with this answer for its origin. The answer is true only of
    /// the state that was looked at, and nothing of the proposal is kept.
    Reject(Vec<u8>),
}

/// What a chain replicates: a state that changes only by applying bodies in order.
///
/// Invariant: `apply` depends on nothing but the state and the body, so all who applied the same
/// bodies hold the same state, and `restore(snapshot())` is that state again.
pub trait StateMachine {
    /// Checks a proposed change against the newest state: at the head, before it enters; and at the
    /// tail, before its origin is told that it is rejected.
    fn preview(&self, body: &[u8]) -> Preview;
    /// Whether a change may only enter while more than half of the fleet's members, and of the
    /// members before the last change of the membership, hold leases.
    fn requires_member_majority(&self, _body: &[u8]) -> bool {
        false
    }
    /// Applies a committed or about-to-be-committed change; gives the answer for its origin.
    fn apply(&mut self, body: &[u8]) -> Vec<u8>;
    /// The complete state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// The state that a snapshot holds; `None` if the bytes aren't one.
    fn restore(snapshot: &[u8]) -> Option<Self>
    where
        Self: Sized;
}
