//! One request, without any input or output: its state machine, its attempts and its resume token.

pub(crate) mod attempts;
pub(crate) mod resume_token;
pub(crate) mod state_machine;
