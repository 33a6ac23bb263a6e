//! Inputs and outputs of a controller's state machine.

use config::Proposal;
use replication::{Record, View};
use types::{Address, ConfigEpoch, Milliseconds, MonotonicInstant};
use wire::{Message, Query};

/// A request of an operator.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// A query, answered by the tail.
    Read(Query),
    /// A change of the configuration.
    Propose(Proposal),
}

/// How old an operator's request may be, however late it was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestAge {
    /// The request arrived after this instant.
    pub arrived_after: MonotonicInstant,
    /// From then on its operator may have given up: nothing is started for it any more.
    pub deadline: MonotonicInstant,
}

impl RequestAge {
    /// Of a request that arrived after `arrived_after`, and whose operator waits for this long.
    pub fn new(arrived_after: MonotonicInstant, timeout: Milliseconds) -> Self {
        RequestAge {
            arrived_after,
            deadline: arrived_after + timeout,
        }
    }
}

/// An input of a controller's state machine.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// A message was received.
    Message {
        /// The address of the sender.
        from: Address,
        /// The message as it was received.
        message: Message,
    },
    /// An operator sent a request.
    Operator {
        /// The number that the response will carry.
        number: u64,
        /// The query or the change that is requested.
        request: OperatorRequest,
        /// How old it may be. It may have waited in a socket and in this process's queues.
        age: RequestAge,
    },
    /// A request's operator has disconnected or timed out: nothing more is done for the request.
    Abandoned {
        /// The number of the request.
        number: u64,
    },
    /// The seeds in the settings have changed to these.
    Seeds(Vec<Address>),
    /// A timer is due, or some time has passed.
    ClockEvent,
    /// Writes are synced to the disk.
    Written {
        /// The id of the last of them; all earlier ones are synced too.
        id: u64,
    },
    /// The disk refused a write.
    DiskFault,
    /// This process is about to stop, so the replica hands its position in the chain over.
    Leave,
}

/// An effect that the state machine requests from its driver.
#[allow(clippy::large_enum_variant)] // A message is moved once, straight to its connection.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a message.
    Send {
        /// The address of the receiver.
        to: Address,
        /// Whether it goes over the bulk connection, where it delays no small message.
        is_bulk: bool,
        /// The message to send.
        message: Message,
    },
    /// Write records to the disk.
    Write {
        /// The id that [`ControllerInput::Written`] gives back.
        id: u64,
        /// The records, in the order in which they are written.
        records: Vec<Record>,
        /// Whether they replace all records that were written before.
        replaces_all: bool,
    },
    /// Answer an operator's request.
    Response {
        /// The number of the request.
        number: u64,
        /// The HTTP status code of the response.
        status: u16,
        /// The body of the response.
        body: Vec<u8>,
    },
    /// The replica has entered another view.
    ViewChanged(View),
    /// An operator's change of a zone was proposed; to be logged.
    ZoneChangeProposed {
        /// The id of the proposal.
        id: String,
        /// The change, in a word.
        change: &'static str,
        /// The epoch that the tail called the newest on behalf of the request.
        seen: ConfigEpoch,
        /// The newest epoch that this replica has applied.
        applied: ConfigEpoch,
        /// How old the request may be.
        pending_for: Milliseconds,
    },
}
