use crate::view::View;
use types::{Address, DiskId, SequenceNumber, ViewNumber, messages};

messages! {
    /// Requests ballots of one instance: the greater one wins.
    #[derive(Copy, Eq, PartialOrd, Ord, Default, Hash)]
    pub struct ProposalNumber {
        /// Grows with each try.
        pub count: u64,
        /// Breaks ties: the proposer's disk.
        pub proposer: u128,
    }

    /// A round together with the view that it would decide.
    #[derive(Eq, Hash)]
    pub struct ViewProposal {
        /// Its round.
        pub proposal_number: ProposalNumber,
        /// What it is for.
        pub view: View,
    }

    /// Whoever proposed a change: who waits for its answer, and under which number.
    #[derive(Copy, Eq, PartialOrd, Ord, Hash)]
    pub struct ChangeRequestId {
        /// Where the answer goes.
        pub origin: Address,
        /// The origin's own number for it, which no other has in all its lives.
        pub number: u64,
    }

    /// One change in the chain.
    ///
    /// Invariant: `seq` with `stamp` names one body for ever: a head forwards a change only once it
    /// is on its own disk.
    #[derive(Eq, Hash)]
    pub struct Change {
        /// Its place.
        pub seq: SequenceNumber,
        /// The view in which the head took it.
        pub origin_view: ViewNumber,
        /// Who waits for it.
        pub request_id: ChangeRequestId,
        /// What it says, for the state machine alone.
        pub body: Vec<u8>,
    }

    /// What replicas say to each other.
    #[derive(Eq, Hash)]
    pub enum ReplicationMessage {
        /// Said to all, often: that I live and how far I am.
        Heartbeat {
            /// My disk.
            disk: DiskId,
            /// The view that I know.
            view: ViewNumber,
            /// The last change on my disk.
            last: SequenceNumber,
            /// Its stamp.
            origin_view: ViewNumber,
            /// The last change known to be replied.
            commit_index: SequenceNumber,
            /// Whether I hold all that was ever replied.
            is_caught_up: bool,
            /// Whether my disk takes writes, and I hear most of the voters.
            is_healthy: bool,
            /// Whether the tail sees more than half of the members with leases (the tail's word).
            has_member_majority: bool,
        },
        /// First half of a ballot.
        Prepare {
            /// For the view of this epoch.
            instance: ViewNumber,
            /// The round.
            proposal_number: ProposalNumber,
        },
        /// Response to `Prepare`: I'll take part in no lesser round.
        Promise {
            /// For the view of this epoch.
            instance: ViewNumber,
            /// The round.
            proposal_number: ProposalNumber,
            /// My disk.
            disk: DiskId,
            /// What I accepted before.
            accepted: Option<ViewProposal>,
        },
        /// Second half of a ballot.
        Accept {
            /// The ballot.
            proposal: ViewProposal,
        },
        /// Response to `Accept`.
        Accepted {
            /// For the view of this epoch.
            instance: ViewNumber,
            /// The round.
            proposal_number: ProposalNumber,
            /// My disk.
            disk: DiskId,
        },
        /// Response to a lesser round.
        ProposalRejected {
            /// For the view of this epoch.
            instance: ViewNumber,
            /// What I have promised.
            promised: ProposalNumber,
        },
        /// A view that is decided.
        Decided {
            /// The view.
            view: View,
        },
        /// The tail asks to answer for a while.
        LeaseRequest {
            /// In this view.
            view: ViewNumber,
            /// Tells asks apart.
            request_number: u64,
        },
        /// It may.
        LeaseGrant {
            /// In this view.
            view: ViewNumber,
            /// As asked.
            request_number: u64,
            /// Whose grant.
            disk: DiskId,
        },
        /// A change, from a member to its successor.
        Forward {
            /// In this view.
            view: ViewNumber,
            /// The change.
            change: Change,
        },
        /// To a newcomer's seat: you're level once you hold this change.
        CatchUpTarget {
            /// In this view.
            view: ViewNumber,
            /// My last change when I took up the view.
            last: SequenceNumber,
        },
        /// Asks the tail for what I lack.
        CatchUpRequest {
            /// My disk.
            disk: DiskId,
            /// The last change that I hold.
            last: SequenceNumber,
            /// Its stamp.
            origin_view: ViewNumber,
        },
        /// Some of what a follower lacks.
        CatchUpBatch {
            /// In order, from the one after `last`.
            changes: Vec<Change>,
        },
        /// A follower needs the snapshot; it's this long.
        SnapshotOffer {
            /// The last change in the snapshot.
            last: SequenceNumber,
            /// Its stamp.
            origin_view: ViewNumber,
            /// Its length.
            length: u64,
        },
        /// Asks for a piece of it.
        SnapshotRequest {
            /// Of the snapshot up to this change.
            last: SequenceNumber,
            /// From this byte.
            offset: u64,
        },
        /// A piece of it.
        SnapshotChunk {
            /// Of the snapshot up to this change.
            last: SequenceNumber,
            /// Its stamp.
            origin_view: ViewNumber,
            /// From this byte.
            offset: u64,
            /// Of the whole snapshot.
            length: u64,
            /// The bytes.
            bytes: Vec<u8>,
        },
        /// A proposal for the head.
        Propose {
            /// Who waits.
            request_id: ChangeRequestId,
            /// What it says.
            body: Vec<u8>,
        },
        /// The answer to a proposal. `is_replied` is false if it was turned away unchanged.
        Response {
            /// Which proposal.
            number: u64,
            /// Whether it entered the chain and is on every member's disk.
            is_final: bool,
            /// The state machine's answer; empty when the core could not take it.
            body: Vec<u8>,
        },
        /// From the head to the tail: by my state, this proposal can't be taken. Mine may be on one disk only,
        /// or of a view that is past, so say so yourself, or that it isn't so.
        ConfirmRejection {
            /// In this view.
            view: ViewNumber,
            /// Who waits.
            request_id: ChangeRequestId,
            /// The last change of the state that it was judged against.
            last: SequenceNumber,
            /// The proposal.
            body: Vec<u8>,
        },
        /// I'm about to stop; said with each beat until then.
        Draining {
            /// My disk.
            disk: DiskId,
        },
    }

    /// What goes to disk, in order. A snapshot is kept as a file of its own.
    #[derive(Eq, Hash)]
    pub enum Record {
        /// I promised this.
        Promised {
            /// For the view of this epoch.
            instance: ViewNumber,
            /// The round.
            proposal_number: ProposalNumber,
        },
        /// I accepted this.
        Accepted {
            /// The ballot.
            proposal: ViewProposal,
        },
        /// This view is decided.
        View {
            /// The view.
            view: View,
        },
        /// A change.
        Change {
            /// The change.
            change: Change,
        },
        /// From here on the snapshot counts; all changes before this record are void.
        Snapshot {
            /// The last change in it.
            last: SequenceNumber,
            /// Its stamp.
            origin_view: ViewNumber,
            /// The state machine's state.
            body: Vec<u8>,
        },
    }
}
