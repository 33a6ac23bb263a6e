//! What a node is told, and what it wants done.

use crate::dialect::Access;
use crate::discovery::endpoint_list::{EndpointListReading, ReadRetryPolicy};
use crate::request::resume_token::Token;
use config::{KeyDigest, Plan, PlanError, ServiceKind};
use placement::{Decision, Event, PrefixHash, RequestCost, Timestamped};
use std::sync::Arc;
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ResultCode, RunId, ServerName,
    ServiceName,
};
use wire::Message;

/// A request that wants a server.
#[derive(Debug, Clone)]
pub struct PlacementRequest {
    /// The number, the same for all rounds of a request and no other's.
    pub number: u64,
    /// The request.
    pub request: RequestId,
    /// Its service.
    pub service: ServiceName,
    /// How it is spoken, where no route says so.
    pub kind: ServiceKind,
    /// The route that it came by, if it came by one.
    pub route: Option<String>,
    /// What stands for its client's API key, if it bears one that was known.
    pub key: Option<KeyDigest>,
    /// The prompt's hashes.
    pub hashes: Vec<PrefixHash>,
    /// What it asks of a server.
    pub request_cost: RequestCost,
    /// Zero the first time.
    pub round: u32,
    /// Servers not to be asked again.
    pub tried: Vec<ServerName>,
    /// Whether one of them may have run it.
    pub may_have_run: bool,
    /// What the run is to be called: new for each, and not to be guessed.
    pub run: RunId,
}

/// What a node is told.
#[derive(Debug, Clone)]
pub enum NodeInput {
    /// A letter came.
    Message {
        /// From there.
        from: Address,
        /// It.
        message: Message,
    },
    /// Something for the scheduler, seen here.
    Event(Event),
    /// A request wants a server; the answer comes as [`NodeOutput::Place`] with its number.
    Place(PlacementRequest),
    /// Whom to ask first, anew.
    Seeds(Vec<Address>),
    /// A client wants a stream read on; the answer comes as [`NodeOutput::Resume`] with this number.
    Resume {
        /// The number, no other request's.
        number: u64,
        /// What the client holds.
        token: String,
    },
    /// The client has its last word.
    Close {
        /// The request.
        request: RequestId,
        /// Its number: another order of the same id, turned away, closes nothing.
        number: u64,
        /// Whether a server may have run it: its id is then remembered for a while.
        may_have_run: bool,
    },
    /// A plan was read, as asked for by [`NodeOutput::Read`].
    Plan {
        /// The epoch that it was accepted as.
        plan_epoch: ConfigEpoch,
        /// It.
        plan: Result<Arc<Plan>, Vec<PlanError>>,
        /// As bytes.
        bytes: Arc<Vec<u8>>,
    },
    /// The platform's list was read, as asked for by [`NodeOutput::ReadList`].
    List(EndpointListReading),
    /// Time has passed.
    ClockEvent,
    /// The process is to stop: no new work.
    Drain,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: ServerName,
    /// Where it's reached.
    pub address: String,
    /// When its first piece is expected.
    pub expected: Milliseconds,
    /// The run's id.
    pub run: RunId,
    /// With which a broken stream may be read on, if it may.
    pub token: Option<String>,
    /// Whether the plan in force lets it go to a second server although the first may have run it.
    pub may_repeat: bool,
    /// Within which the first piece is due.
    pub first_token: Milliseconds,
    /// The epoch under which it was placed.
    pub epoch: ConfigEpoch,
    /// The server's life by which it was judged, if it told one: another one is to refuse the request.
    pub incarnation: Option<u64>,
    /// By whose right, under that epoch.
    pub access: Access,
}

/// Why a request goes nowhere.
#[derive(Debug, Clone, PartialEq)]
pub struct Rejection {
    /// The code.
    pub code: ResultCode,
    /// More about it.
    pub why: String,
    /// When to come back.
    pub retry_after: Milliseconds,
}

/// A KV order for a server.
#[derive(Debug, Clone, PartialEq)]
pub enum KvTask {
    /// Export there, import here.
    Copy {
        /// What.
        prefix: PrefixHash,
        /// From there.
        holder: ServerName,
        /// To there.
        target: ServerName,
    },
    /// A copy may go.
    Drop {
        /// What.
        prefix: PrefixHash,
        /// There.
        server: ServerName,
    },
}

/// What a node wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum NodeOutput {
    /// Send a letter.
    Send {
        /// To there.
        to: Address,
        /// On the bulk line.
        is_bulk: bool,
        /// It.
        message: Message,
    },
    /// The answer to a [`NodeInput::Place`].
    Place {
        /// Its number.
        number: u64,
        /// Where, or why not.
        outcome: Result<Placement, Rejection>,
    },
    /// The answer to a [`NodeInput::Resume`].
    Resume {
        /// Its number.
        number: u64,
        /// Which run, or why not.
        outcome: Result<Token, Rejection>,
    },
    /// Read this plan, on another thread, and say [`NodeInput::Plan`].
    Read {
        /// The epoch that it was accepted as.
        plan_epoch: ConfigEpoch,
        /// It.
        bytes: Arc<Vec<u8>>,
    },
    /// Read the platform's list of servers, on another thread, and say [`NodeInput::List`].
    ReadList(ReadRetryPolicy),
    /// Order servers to copy or drop KV.
    Kv(KvTask),
    /// For the journal of events.
    Event(Timestamped),
    /// For the journal of decisions.
    Decision(MonotonicInstant, Decision),
    /// A log line.
    Log(String),
}
