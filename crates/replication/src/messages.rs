//! Messages between replicas, and the records that they write to their disks.
//!
//! The names of types, variants and fields don't reach the wire or the disk; their order does, and
//! must never change.

use crate::view::View;
use types::{Address, DiskId, SequenceNumber, ViewNumber, messages};

messages! {
    /// The proposal number of Paxos (its ballot number): orders the proposals for one view.
    #[derive(Copy, Eq, PartialOrd, Ord, Default, Hash)]
    pub struct ProposalNumber {
        /// Higher with each attempt. Each proposer uses a higher count than all that it has seen.
        pub count: u64,
        /// The proposer's disk id. It breaks ties, so that no two proposers ever share a number.
        pub proposer: u128,
    }

    /// A proposal of Paxos: a number and the proposed value, the next view.
    #[derive(Eq, Hash)]
    pub struct ViewProposal {
        /// The number of the proposal.
        pub proposal_number: ProposalNumber,
        /// The proposed view.
        pub view: View,
    }

    /// Identifies one request to change the replicated state, and where its answer goes.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct ChangeRequestId {
        /// The process that made the request and waits for the answer.
        pub origin: Address,
        /// The origin's own number for it, which no other request of the origin has,
        /// in any of its incarnations.
        pub number: u64,
    }

    /// One change in the chain, an entry of the replicated log.
    ///
    /// Invariant: `seq` and `origin_view` together name one change forever, as index and term do in
    /// Raft: a head forwards a change only once it is on its own disk.
    #[derive(Eq, Hash)]
    pub struct Change {
        /// The position of the change in the log, from 1 without gaps.
        pub seq: SequenceNumber,
        /// The view in which the head appended it.
        pub origin_view: ViewNumber,
        /// The request that it came from.
        pub request_id: ChangeRequestId,
        /// The change itself; only the state machine reads it.
        pub body: Vec<u8>,
    }

    /// What replicas, and processes that propose changes, send each other. Messages may be lost,
    /// delayed, duplicated and reordered.
    #[derive(Eq, Hash)]
    pub enum ReplicationMessage {
        /// Sent to all others in each heartbeat interval: the sender runs, and is this far.
        Heartbeat {
            /// The sender's disk.
            disk: DiskId,
            /// The last decided view that the sender knows.
            view: ViewNumber,
            /// The last change that is synced on the sender's disk.
            last: SequenceNumber,
            /// The view in which that change was appended.
            origin_view: ViewNumber,
            /// The last change that the sender knows to be committed.
            commit_index: SequenceNumber,
            /// Whether the sender holds every change that was ever committed.
            is_caught_up: bool,
            /// Whether the sender's disk takes writes and most of the voters are reachable from it.
            is_healthy: bool,
            /// Whether more than half of the fleet's members hold leases.
            /// Only the tail's heartbeat counts.
            has_member_majority: bool,
        },
        /// Paxos phase 1, proposer to voters: asks for a promise.
        Prepare {
            /// The view that is to be decided.
            instance: ViewNumber,
            /// The number of the proposal to come.
            proposal_number: ProposalNumber,
        },
        /// Answer to `Prepare`: the voter will accept no proposal with a lower number.
        Promise {
            /// The view that is to be decided.
            instance: ViewNumber,
            /// The number that is promised.
            proposal_number: ProposalNumber,
            /// The voter's disk.
            disk: DiskId,
            /// The proposal that the voter has accepted for this view before, if any.
            accepted: Option<ViewProposal>,
        },
        /// Paxos phase 2, proposer to voters: asks to accept a proposal.
        Accept {
            /// The proposal to accept.
            proposal: ViewProposal,
        },
        /// Answer to `Accept`: the voter has accepted the proposal.
        Accepted {
            /// The view that is to be decided.
            instance: ViewNumber,
            /// The number of the accepted proposal.
            proposal_number: ProposalNumber,
            /// The voter's disk.
            disk: DiskId,
        },
        /// Answer to `Prepare` or `Accept` with a number below the promised one.
        ProposalRejected {
            /// The view that is to be decided.
            instance: ViewNumber,
            /// The number that the voter has promised.
            promised: ProposalNumber,
        },
        /// A view is decided.
        Decided {
            /// The decided view.
            view: View,
        },
        /// The tail asks a voter for a lease.
        LeaseRequest {
            /// The view that it is the tail of.
            view: ViewNumber,
            /// The number of the request. Only grants of the newest request count.
            request_number: u64,
        },
        /// A voter grants the tail a lease.
        LeaseGrant {
            /// The view that it is the tail of.
            view: ViewNumber,
            /// The number of the request.
            request_number: u64,
            /// The voter's disk.
            disk: DiskId,
        },
        /// A change, from a chain member to its successor.
        Forward {
            /// The view in which it is forwarded.
            view: ViewNumber,
            /// The forwarded change.
            change: Change,
        },
        /// From a caught-up predecessor to a newcomer: it has caught up once it holds this change.
        CatchUpTarget {
            /// The present view.
            view: ViewNumber,
            /// The predecessor's last change.
            last: SequenceNumber,
        },
        /// A follower asks the tail for the changes that it lacks.
        CatchUpRequest {
            /// The follower's disk.
            disk: DiskId,
            /// The follower's last change.
            last: SequenceNumber,
            /// The view in which that change was appended.
            origin_view: ViewNumber,
        },
        /// Some of the changes that a follower lacks.
        CatchUpBatch {
            /// Changes in order, the first one right after the last that the follower reported.
            changes: Vec<Change>,
        },
        /// The log doesn't reach back to the follower's last change; the tail offers a snapshot.
        SnapshotOffer {
            /// The last change in the snapshot.
            last: SequenceNumber,
            /// The view in which that change was appended.
            origin_view: ViewNumber,
            /// The length of the snapshot in bytes.
            length: u64,
        },
        /// A follower asks for a chunk of a snapshot.
        SnapshotRequest {
            /// The last change in the snapshot.
            last: SequenceNumber,
            /// Where the chunk begins, in bytes.
            offset: u64,
        },
        /// A chunk of a snapshot.
        SnapshotChunk {
            /// The last change in the snapshot.
            last: SequenceNumber,
            /// The view in which that change was appended.
            origin_view: ViewNumber,
            /// Where the chunk begins, in bytes.
            offset: u64,
            /// The length of the complete snapshot in bytes.
            length: u64,
            /// The bytes of the chunk.
            bytes: Vec<u8>,
        },
        /// A proposed change, to the head.
        Propose {
            /// The id of the request.
            request_id: ChangeRequestId,
            /// The change, for the state machine.
            body: Vec<u8>,
        },
        /// The answer to a proposed change.
        Response {
            /// The origin's number for the request.
            number: u64,
            /// Whether the answer is final: the change was committed, or rejected by a committed
            /// state. If not, nothing was changed, and it may be proposed again.
            is_final: bool,
            /// The state machine's answer; empty if the answer isn't final.
            body: Vec<u8>,
        },
        /// From the head to the tail: by the head's state, this change must be rejected. That state
        /// may be on one disk only, or belong to a view that is past, so the tail is to confirm it.
        ConfirmRejection {
            /// The present view.
            view: ViewNumber,
            /// The id of the request.
            request_id: ChangeRequestId,
            /// The last change of the state by which the head rejects it.
            last: SequenceNumber,
            /// The proposed change, for the state machine.
            body: Vec<u8>,
        },
        /// The sender is about to stop. Sent with each heartbeat until then.
        Draining {
            /// The sender's disk.
            disk: DiskId,
        },
    }

    /// What a replica writes to its disk, in order.
    #[derive(Eq, Hash)]
    pub enum Record {
        /// A promise: no proposal with a lower number will be accepted.
        Promised {
            /// The view that is to be decided.
            instance: ViewNumber,
            /// The number that is promised.
            proposal_number: ProposalNumber,
        },
        /// An accepted proposal.
        Accepted {
            /// The proposal that was accepted.
            proposal: ViewProposal,
        },
        /// A decided view.
        View {
            /// The decided view.
            view: View,
        },
        /// A change of the log.
        Change {
            /// The change as it stands in the log.
            change: Change,
        },
        /// A snapshot. All changes recorded before it are void.
        Snapshot {
            /// The last change in the snapshot.
            last: SequenceNumber,
            /// The view in which that change was appended.
            origin_view: ViewNumber,
            /// The state machine's state.
            body: Vec<u8>,
        },
    }
}
