/// What the head makes of a proposal before it enters the chain.
#[derive(Debug, Clone, PartialEq)]
pub enum Preview {
    /// It may enter.
    Admit,
    /// It must not; the answer for whoever proposed it, true only of the state that was looked at. Nothing is
    /// kept of it.
    Reject(Vec<u8>),
}

/// What a chain replicates: a state that changes only by applying bodies in order.
///
/// Invariant: `apply` depends on nothing but the state and the body, so all who applied the same
/// bodies hold the same state, and `restore(snapshot())` is that state again.
pub trait StateMachine {
    /// Looks at a body against the newest state: at the head, before it enters; and at the tail, before whoever
    /// proposed it is told that it can't.
    fn preview(&self, body: &[u8]) -> Preview;
    /// Whether a body may only enter while more than half of the members hold leases.
    fn requires_member_majority(&self, _body: &[u8]) -> bool {
        false
    }
    /// Takes a body in; gives the answer for whoever proposed it.
    fn apply(&mut self, body: &[u8]) -> Vec<u8>;
    /// The whole state as bytes.
    fn snapshot(&self) -> Vec<u8>;
    /// A state from such bytes; `None` if they aren't one.
    fn restore(snapshot: &[u8]) -> Option<Self>
    where
        Self: Sized;
}
