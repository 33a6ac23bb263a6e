//! Inputs and outputs of a controller's state machine.

use config::Proposal;
use replication::{Record, View};
use types::Address;
use wire::{Message, Query};

/// What an operator wants.
#[derive(Debug, Clone)]
pub enum OperatorRequest {
    /// Something read at the tail.
    Read(Query),
    /// Something changed.
    Propose(Proposal),
}

/// What a controller is told.
#[derive(Debug, Clone)]
pub enum ControllerInput {
    /// A letter came.
    Message {
        /// From there.
        from: Address,
        /// It.
        message: Message,
    },
    /// An operator asks, under this number.
    Operator {
        /// The number.
        number: u64,
        /// What.
        request: OperatorRequest,
    },
    /// Whoever asked under this number has gone, or waits no longer: nothing more is done for it.
    Abandoned {
        /// The number.
        number: u64,
    },
    /// The settings name these seeds now.
    Seeds(Vec<Address>),
    /// Time has passed.
    ClockEvent,
    /// Writes are synced.
    Written {
        /// Up to this one.
        id: u64,
    },
    /// The disk refused a write.
    DiskFault,
    /// This process is to stop.
    Leave,
}

/// What a controller wants done.
#[allow(clippy::large_enum_variant)] // A letter is moved once, straight to its line.
#[derive(Debug, Clone, PartialEq)]
pub enum ControllerOutput {
    /// Send a letter.
    Send {
        /// To there.
        to: Address,
        /// On the bulk line.
        is_bulk: bool,
        /// It.
        message: Message,
    },
    /// Write records.
    Write {
        /// Under this id.
        id: u64,
        /// They.
        records: Vec<Record>,
        /// In place of all before.
        replaces_all: bool,
    },
    /// Answer an operator.
    Response {
        /// Its number.
        number: u64,
        /// HTTP status.
        status: u16,
        /// The body.
        body: Vec<u8>,
    },
    /// The view changed.
    ViewChanged(View),
}
