use placement::{DigestChange, ServerEntry};
use quota::{CreditAsk, CreditGrant};
use replication::ReplicationMessage;
use types::{
    Address, ConfigEpoch, Delta, Milliseconds, ServerName, TokenKey, ViewNumber, ZoneName, messages,
};

messages! {
    /// A node of the data plane, as others see it.
    #[derive(Eq)]
    pub struct Member {
        /// Its inner address.
        pub address: Address,
        /// Its zone.
        pub zone: ZoneName,
    }

    /// A member asks the core for a lease and for news.
    pub struct LeaseRequest {
        /// Who asks.
        pub member: Member,
        /// Tells polls of one life apart.
        pub round: u64,
        /// The newest epoch that it has whole.
        pub epoch: ConfigEpoch,
        /// The view whose voters it knows.
        pub view: ViewNumber,
        /// Whether it has the token key.
        pub has_key: bool,
        /// Other nodes that it has heard lately.
        pub reachable_peers: Vec<Address>,
    }

    /// What is in force, but for the plan itself.
    #[derive(Eq)]
    pub struct ConfigUpdate {
        /// The newest epoch.
        pub epoch: ConfigEpoch,
        /// The epoch of the plan in force, to be asked for if not held.
        pub plan_epoch: ConfigEpoch,
        /// Zones that are withdrawn.
        pub withdrawn: Vec<ZoneName>,
        /// The members; left out for one that knows them, as all do who have an epoch from `members_since` on.
        pub members: Option<Vec<Member>>,
        /// The epoch at which the members last changed.
        pub members_since: ConfigEpoch,
    }

    /// Which way a digest goes.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum DigestLeg {
        /// From a node to its zone's collector: what the node saw.
        Report,
        /// From a zone's collector to another's: the zone's sum.
        Zone,
        /// From a zone's collector to a node: the sum of the fleet.
        Fleet,
    }

    /// Names a list of servers: whoever holds the same version holds the same entries.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct ListVersion {
        /// The life of the node that first read it.
        pub incarnation: u64,
        /// Grows by one with each list that this life found changed.
        pub number: u64,
    }

    /// What a zone's collector holds of the platform's list of servers.
    #[derive(Copy, Eq)]
    pub struct ListState {
        /// Which list.
        pub version: ListVersion,
        /// A hash of its entries, without how long they are cold.
        pub check: u64,
        /// How long all of them together are still cold.
        pub cold: Milliseconds,
        /// How long ago the reading began that it is from, or was last confirmed by.
        pub age: Milliseconds,
    }

    /// What makes a list of servers of the one before.
    #[derive(Eq)]
    pub struct ListChange {
        /// The list that comes of it.
        pub state: ListState,
        /// The one before.
        pub base: ListVersion,
        /// Entries that are new or have changed.
        pub set: Vec<ServerEntry>,
        /// Servers that are listed no more.
        pub gone: Vec<ServerName>,
    }

    /// A piece of a list of servers.
    #[derive(Eq)]
    pub struct ServerListChunk {
        /// The list.
        pub state: ListState,
        /// From this entry on.
        pub offset: u32,
        /// Entries of the whole.
        pub length: u32,
        /// They.
        pub entries: Vec<ServerEntry>,
    }

    /// What the core answers to a poll.
    pub enum LeaseResponse {
        /// Ask that one; these are the core's machines.
        Elsewhere {
            /// The view that this is of: one that was away may know but an old one.
            view: ViewNumber,
            /// The tail, if known.
            tail: Option<Address>,
            /// All voters.
            voters: Vec<Address>,
        },
        /// A lease, reckoned from when the poll was sent. What the asker has is not said again.
        Lease {
            /// For this long.
            span: Milliseconds,
            /// The newest epoch.
            epoch: ConfigEpoch,
            /// The news, if the asker's is older.
            update: Option<ConfigUpdate>,
            /// The view.
            view: ViewNumber,
            /// The core's machines, if the asker knows another view's.
            voters: Vec<Address>,
            /// What tokens are checked with, once it was drawn, if the asker lacks it.
            key: Option<TokenKey>,
        },
    }

    /// What an operator wants read at the tail.
    pub enum Query {
        /// The newest state, without plans.
        Latest,
        /// The plan in force behind its epoch (eight bytes), for a change to be merged into.
        Base {
            /// Known to whoever responds at least up to this epoch.
            at_least: ConfigEpoch,
        },
        /// What was accepted as this epoch.
        ConfigEpoch {
            /// It.
            epoch: ConfigEpoch,
        },
        /// Whether these members, said to be lost, are heard by the core or by any member.
        Heard {
            /// The operator's id for forgetting them.
            id: String,
            /// Who.
            members: Vec<Address>,
        },
        /// What became of a change.
        CommandStatus {
            /// The operator's id for it.
            id: String,
        },
        /// The newest accepted epoch (eight bytes).
        Newest,
        /// Tenants with a quota: what they may send and have sent.
        Tenants,
    }

    /// Where one controller with a disk is reached.
    #[derive(Copy, Eq)]
    pub struct ControllerContact {
        /// By our own processes.
        pub inner: Address,
        /// By operators.
        pub admin: Address,
        /// How long ago it was last heard, by whoever heard it.
        pub age: Milliseconds,
    }

    /// Where the core is, as far as a controller knows. Whoever has just started knows but its seeds, and these may
    /// be controllers without a disk: so all controllers tell their seeds, and are told by them.
    #[derive(Eq)]
    pub struct CoreLocation {
        /// The newest view known; zero: none.
        pub view: ViewNumber,
        /// Its voters.
        pub voters: Vec<Address>,
        /// Controllers with a disk that were heard lately.
        pub controllers: Vec<ControllerContact>,
    }

    /// All letters.
    pub enum Message {
        /// Between replicas of the core.
        Replication {
            /// It.
            message: Box<ReplicationMessage>,
        },
        /// From a member to the core.
        LeaseRequest {
            /// It.
            poll: Box<LeaseRequest>,
        },
        /// From the core to a member.
        LeaseResponse {
            /// Of the poll.
            round: u64,
            /// It.
            response: Box<LeaseResponse>,
        },
        /// Asks for a plan, by pieces, from the core or from a peer.
        PlanRequest {
            /// The epoch it was accepted as.
            epoch: ConfigEpoch,
            /// From this byte.
            offset: u64,
            /// The epoch of the plan that the asker holds.
            have: ConfigEpoch,
        },
        /// What makes a plan of the one before, for one that holds that.
        PlanDelta {
            /// The epoch it was accepted as.
            epoch: ConfigEpoch,
            /// The epoch of the plan before.
            base: ConfigEpoch,
            /// It.
            delta: Delta,
        },
        /// A piece of a plan as it is in force.
        PlanChunk {
            /// The epoch it was accepted as.
            epoch: ConfigEpoch,
            /// From this byte.
            offset: u64,
            /// The length of the whole.
            length: u64,
            /// The bytes.
            bytes: Vec<u8>,
        },
        /// News, unasked from the core, or asked for from a peer.
        ConfigUpdate {
            /// It.
            update: Box<ConfigUpdate>,
        },
        /// Asks a peer for its news.
        ConfigUpdateRequest,
        /// From a member whose lease is about to lapse, or has: who is there, and what is known?
        PeerCheckRequest {
            /// Tells the checks of one life apart.
            round: u64,
            /// The newest epoch that the asker has whole.
            epoch: ConfigEpoch,
        },
        /// The answer of whoever gets it.
        PeerCheckResponse {
            /// The round that it answers.
            echo: u64,
            /// The newest epoch that the sender has whole. Zero from one that never held a lease.
            epoch: ConfigEpoch,
        },
        /// A digest, as what changed since the letter before on the same leg.
        Digest {
            /// The leg.
            leg: DigestLeg,
            /// The sender's life.
            incarnation: u64,
            /// Grows by one with each letter of a leg.
            number: u64,
            /// Whether the change is from nothing, not from the letter before.
            is_whole: bool,
            /// What changed.
            change: Box<DigestChange>,
        },
        /// The answer to a digest.
        DigestAck {
            /// The leg.
            leg: DigestLeg,
            /// The newest number that was had; zero: none that can be gone on from, it must come whole.
            number: u64,
        },
        /// From a zone's collector to its members: the list of servers is still this one.
        ListFresh {
            /// What it is.
            state: ListState,
        },
        /// From a zone's collector to its members: the list of servers has changed.
        ListChange {
            /// How.
            change: Box<ListChange>,
        },
        /// Asks a zone's collector for its whole list of servers, piece by piece.
        ServerListRequest {
            /// The version that the asker has begun to take.
            version: ListVersion,
            /// From this entry on.
            offset: u32,
        },
        /// The answer.
        ServerListChunk {
            /// It; from the beginning if the version is another by now.
            piece: Box<ServerListChunk>,
        },
        /// Between controllers: a query to be answered by the tail.
        QueryRequest {
            /// The requester's number, which it gives to no other query or proposal in any of its incarnations.
            number: u64,
            /// The query to answer.
            reading: Box<Query>,
        },
        /// The tail's response to a query: a status and a body for HTTP.
        QueryResponse {
            /// The number of the query.
            number: u64,
            /// The HTTP status code.
            status: u16,
            /// The body of the HTTP response.
            body: Vec<u8>,
        },
        /// From a node to the core's tail: what it holds and wants of tenants' quotas.
        CreditAsk {
            /// It.
            ask: Box<CreditAsk>,
        },
        /// The tail's answer.
        CreditGrant {
            /// It.
            grant: Box<CreditGrant>,
        },
        /// Between controllers: where the core is.
        CoreLocation {
            /// As far as the sender knows.
            location: Box<CoreLocation>,
            /// Whether it answers another's, and so wants no answer.
            is_answer: bool,
        },
    }
}

/// Bytes of a plan that one letter carries.
const PIECE: usize = 256 << 10;
/// A splice that is longer goes by pieces of the whole plan.
pub const SPLICE_MOST: usize = PIECE;

impl Message {
    /// Whether it's small, goes to many at once, and is asked for again when lost.
    pub fn is_datagram(&self) -> bool {
        matches!(
            self,
            Message::PeerCheckRequest { .. }
                | Message::PeerCheckResponse { .. }
                | Message::ListFresh { .. }
                | Message::CoreLocation { .. }
        )
    }
    /// The piece of a plan from this byte on; `None` beyond its end.
    pub fn plan_chunk(epoch: ConfigEpoch, plan: &[u8], offset: u64) -> Option<Message> {
        let rest = plan.get(usize::try_from(offset).ok()?..)?;
        let bytes = rest[..rest.len().min(PIECE)].to_vec();
        Some(Message::PlanChunk {
            epoch,
            offset,
            length: plan.len() as u64,
            bytes,
        })
    }
}
