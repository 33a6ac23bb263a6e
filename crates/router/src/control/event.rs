//! What reaches the control thread from all others.

use crate::control::node::{NodeInput, Placement, Rejection};
use crate::control::response_channel::ResponseSender;
use crate::request::resume_token::Token;

/// One message to the control thread.
pub(crate) enum ControlEvent {
    /// An input of the node's state machine that nobody waits for.
    Input(NodeInput),
    /// A request that wants a server, and who waits to hear which.
    Place(NodeInput, ResponseSender<Result<Placement, Rejection>>),
    /// A stream that is to be read on, and who waits to hear where.
    Resume(NodeInput, ResponseSender<Result<Token, Rejection>>),
    /// Somebody asks what this node believes.
    Believes(flume::Sender<serde_json::Value>),
}
