use crate::config_update::ConfigUpdate;
use crate::core_location::CoreLocation;
use crate::dissemination::DigestLeg;
use crate::lease::{LeaseRequest, LeaseResponse};
use crate::query::Query;
use crate::server_list::{ServerListChange, ServerListChunk, ServerListState, ServerListVersion};
use placement::DigestChange;
use quota::{CreditGrant, CreditRequest};
use types::{ConfigEpoch, Delta, messages};

messages! {
    /// A message between processes of the fleet.
    pub enum Message {
        /// Between replicas of the core: a message of the replication protocol.
        Replication {
            /// The message.
            message: Box<replication::ReplicationMessage>,
        },
        /// From a member to the core: a request for a lease.
        LeaseRequest {
            /// The request.
            request: Box<LeaseRequest>,
        },
        /// From the core to a member: the response to a lease request.
        LeaseResponse {
            /// The round of the request.
            round: u64,
            /// The response.
            response: Box<LeaseResponse>,
        },
        /// From a member to the core or to a peer: a request for a plan, chunk by chunk.
        PlanRequest {
            /// The epoch that the plan was accepted as.
            epoch: ConfigEpoch,
            /// The offset of the chunk, in bytes.
            offset: u64,
            /// The epoch of the plan that the sender has.
            have: ConfigEpoch,
        },
        /// The delta from a plan to the next one, for a receiver that has the former.
        PlanDelta {
            /// The epoch that the plan was accepted as.
            epoch: ConfigEpoch,
            /// The epoch of the plan that the delta applies to.
            base: ConfigEpoch,
            /// The delta.
            delta: Delta,
        },
        /// A chunk of a plan.
        PlanChunk {
            /// The epoch that the plan was accepted as.
            epoch: ConfigEpoch,
            /// The offset of the chunk, in bytes.
            offset: u64,
            /// The length of the complete plan, in bytes.
            length: u64,
            /// The bytes of the chunk.
            bytes: Vec<u8>,
        },
        /// A configuration update: from the core without a request, or from a peer at request.
        ConfigUpdate {
            /// The update.
            update: Box<ConfigUpdate>,
        },
        /// Between members: a request for a configuration update.
        ConfigUpdateRequest,
        /// From a member whose lease has expired or is about to: a request to peers for the epoch that they know.
        PeerCheckRequest {
            /// The number of the check among those of this incarnation.
            round: u64,
            /// The newest epoch whose configuration the sender has completely.
            epoch: ConfigEpoch,
        },
        /// The response to a peer check.
        PeerCheckResponse {
            /// The round of the request.
            echo: u64,
            /// The newest epoch whose configuration the sender has completely; 0 if it never had a lease.
            epoch: ConfigEpoch,
        },
        /// A digest, as the change since the previous message on the same leg.
        Digest {
            /// The leg.
            leg: DigestLeg,
            /// The incarnation of the sender.
            incarnation: u64,
            /// The number of the message, which grows by one on each leg.
            number: u64,
            /// Whether the digest is a snapshot: a change from nothing rather than from the previous message.
            is_snapshot: bool,
            /// The change.
            change: Box<DigestChange>,
        },
        /// The acknowledgement of a digest.
        DigestAck {
            /// The leg.
            leg: DigestLeg,
            /// The newest number that was received; 0 if the receiver needs a snapshot.
            number: u64,
        },
        /// From the collector of a zone to its members: the list of servers has not changed.
        ServerListUnchanged {
            /// The state of the list.
            state: ServerListState,
        },
        /// From the collector of a zone to its members: the list of servers has changed.
        ServerListChange {
            /// The change.
            change: Box<ServerListChange>,
        },
        /// From a member to the collector of its zone: a request for the list of servers, chunk by chunk.
        ServerListRequest {
            /// The version that the sender has begun to receive.
            version: ServerListVersion,
            /// The index of the first entry.
            offset: u32,
        },
        /// The response to a request for the list of servers.
        ServerListChunk {
            /// The chunk; the first one if the version has changed since the request.
            chunk: Box<ServerListChunk>,
        },
        /// Between controllers: a query for the tail.
        QueryRequest {
            /// The number of the query, unique among all queries and proposals of the sender in all its
            /// incarnations.
            number: u64,
            /// The query.
            query: Box<Query>,
        },
        /// The tail's response to a query, for HTTP.
        QueryResponse {
            /// The number of the query.
            number: u64,
            /// The HTTP status.
            status: u16,
            /// The HTTP body.
            body: Vec<u8>,
        },
        /// From a node to the tail: a request for credit of tenants' quotas.
        CreditRequest {
            /// The request.
            request: Box<CreditRequest>,
        },
        /// The tail's response to a request for credit.
        CreditGrant {
            /// The grant.
            grant: Box<CreditGrant>,
        },
        /// Between controllers: where the core is.
        CoreLocation {
            /// The location, as far as the sender knows it.
            location: Box<CoreLocation>,
            /// Whether this is a response, so that the receiver does not respond again.
            is_response: bool,
        },
    }
}

impl Message {
    /// Whether the message goes as a datagram: it is small, sent to many receivers at once, and requested or sent
    /// again when lost.
    pub fn is_datagram(&self) -> bool {
        matches!(
            self,
            Message::PeerCheckRequest { .. }
                | Message::PeerCheckResponse { .. }
                | Message::ServerListUnchanged { .. }
                | Message::CoreLocation { .. }
        )
    }
}
