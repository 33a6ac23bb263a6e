//! The control side of a router: the node's state machine and what reaches the control thread.

pub(crate) mod event;
pub(crate) mod node;
pub(crate) mod response_channel;
