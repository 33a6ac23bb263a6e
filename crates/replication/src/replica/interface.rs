//! What goes into a replica and what comes out of it.
//!
//! A replica does no I/O and reads no clock: whoever runs it feeds it inputs with the time, and
//! carries out the outputs in order.

use crate::messages::{ChangeRequestId, Record, ReplicationMessage};
use crate::view::{View, Voter};
use types::{Address, Milliseconds, SequenceNumber};

/// What a replica is given.
#[derive(Debug, Clone)]
pub enum Input {
    /// A message came from another replica, or from a process that proposes.
    Message {
        /// Where it came from.
        from: Address,
        /// The message itself.
        message: ReplicationMessage,
    },
    /// This process proposes a change; the answer comes as
    /// [`Output::Response`] with the same number.
    Propose {
        /// The number of the proposal. No other proposal of this process may have it, nor one of an
        /// earlier incarnation: responses may come late.
        number: u64,
        /// The change, for the state machine.
        body: Vec<u8>,
    },
    /// Time has passed. To be given at least once in each
    /// [`Timing::heartbeat_interval`](crate::Timing).
    Tick,
    /// All writes up to this one are synced.
    Written {
        /// The id of the write, as in [`Output::Write`].
        id: u64,
    },
    /// The disk failed a write. The replica steps out; whoever runs it makes a new one from what
    /// the disk holds once the disk takes writes again.
    DiskFailed,
    /// This process is to stop: the replica asks for a view without its position, and for its vote
    /// to be taken over where there is a replica for it. See
    /// [`Replica::has_handed_over`](crate::Replica::has_handed_over).
    Drain,
}

/// What a replica wants done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a message; it may be lost, delayed or duplicated.
    Send {
        /// The address that it goes to.
        to: Address,
        /// The message itself.
        message: ReplicationMessage,
    },
    /// Write these records in the order of ids, sync, then give [`Input::Written`].
    Write {
        /// The id of the write; ids grow by one.
        id: u64,
        /// The records, in order.
        records: Vec<Record>,
        /// Whether they replace all that was written before, at once.
        replaces_all: bool,
    },
    /// The answer to a proposal of this process.
    Response {
        /// The number of the proposal.
        number: u64,
        /// Whether the answer is final: the change was committed, or rejected by a committed state.
        /// If not, nothing was changed, and the proposal may be made again.
        is_final: bool,
        /// The state machine's answer; empty if the answer isn't final.
        body: Vec<u8>,
    },
    /// At the tail: this change is committed. Whoever runs the tail gives the answer
    /// with [`Replica::respond`](crate::Replica::respond), at once or when its own conditions hold.
    Committed {
        /// The proposal that the change came from.
        request_id: ChangeRequestId,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// At the tail: this proposal is rejected by a state that is on every member's disk. Answered
    /// as [`Output::Committed`] is.
    ChangeRejected {
        /// The rejected proposal.
        request_id: ChangeRequestId,
        /// The state machine's answer.
        body: Vec<u8>,
    },
    /// A newer view was installed: the chain or the voters changed.
    ViewChanged(View),
}

/// What a replica knows of itself and others, for operators.
#[derive(Debug, Clone)]
pub struct ReplicaState {
    /// The replica itself.
    pub me: Voter,
    /// The view that it knows.
    pub view: View,
    /// The last change on its disk.
    pub last: SequenceNumber,
    /// The last change that it knows to be committed.
    pub commit_index: SequenceNumber,
    /// Whether it may answer for the chain now.
    pub may_respond: bool,
    /// Whether its disk takes writes.
    pub is_healthy: bool,
    /// How long ago the last heartbeat of each other replica came.
    pub last_seen: Vec<(Address, Milliseconds)>,
}
