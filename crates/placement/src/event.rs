//! The scheduler's inputs, [`Event`], and outputs, [`Decision`]. Their JSON is an outer interface
//! (docs/interfaces.md): names there are fixed by serde attributes.

use crate::rules::Rules;
use crate::sketch::{PrefixHash, Sketch};
use serde::{Deserialize, Serialize};
use types::{
    Address, ConfigEpoch, Milliseconds, MonotonicInstant, RequestId, ServerName, ServiceName,
    ZoneName, messages,
};

messages! {
    /// One server in the platform's endpoint list.
    #[derive(Default, Eq, Serialize, Deserialize)]
    pub struct ServerEntry {
        /// The server, by its address, or by the name of its incarnation where the list has one.
        pub server: ServerName,
        /// Where it's reached, if its name isn't its address.
        #[serde(default)]
        pub address: Option<String>,
        /// Requests that it runs at once, if the list says so.
        #[serde(default)]
        pub slots: Option<u32>,
        /// How much longer it warms up, in ms, if the list says so.
        #[serde(default)]
        #[serde(rename = "cold_left")]
        pub warm_up_left: Option<Milliseconds>,
        /// The zone that it is in.
        pub zone: ZoneName,
        /// Its pool, such as `model` or `app`.
        pub pool: String,
        /// Whether it is draining, and takes no new work.
        #[serde(rename = "is_leaving", default)]
        pub is_draining: bool,
    }
}

/// What a request costs a server, as far as its client declares. All zero: nothing is declared.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCost {
    /// Tokens that each hash of the prompt adds to the one before; empty: `SchedulerRules::block_tokens` each.
    #[serde(default)]
    pub hash_tokens: Vec<u32>,
    /// Tokens of the whole prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// The most tokens that come out.
    #[serde(default)]
    pub output_tokens: u32,
    /// Its rank among others: 0 goes first.
    #[serde(default)]
    pub rank: u8,
    /// In place of the service's: the first piece is wanted within this. Zero: the service's.
    #[serde(default)]
    pub target: Milliseconds,
    /// The client waits this long in all. Zero: not told.
    #[serde(default)]
    pub deadline: Milliseconds,
}

impl RequestCost {
    /// Whether the client declared anything; then the request is placed by expected time.
    pub fn is_declared(&self) -> bool {
        self.deadline.0 > 0 || !self.hash_tokens.is_empty()
    }
    /// Its class among those that wait to be read at one server: 0 goes first, 9 last. The shorter a prompt is
    /// against its target, the sooner: a short one holds a long one up for little, while behind a long one many
    /// short ones are late. Each class is twice the one before. Ranks of routes decide who is turned away where
    /// there is no room, not who is read first.
    pub fn urgency(&self) -> u8 {
        let share = u64::from(self.prompt_tokens) / self.target.0.max(1);
        (u64::BITS - share.leading_zeros()).min(9) as u8
    }
}

/// How a request at a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The whole answer came.
    Complete,
    /// The client went away.
    Cancelled,
    /// The server refused it unrun.
    Refused,
    /// No byte reached the server.
    Unsent,
    /// It broke, or gave no answer in time.
    Failed,
}

/// An input of the scheduler. As JSON lines this is the stream that operators may push in.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A configuration is in force.
    Rules {
        /// The configuration.
        rules: Rules,
    },
    /// The members of the fleet that share caps.
    Members {
        /// All members.
        members: Vec<Address>,
        /// The epoch at which they became these: it rises with each change, also one back to former members.
        #[serde(default)]
        since: ConfigEpoch,
    },
    /// The core gave this node a lease: the members that it was told of are those of now.
    Lease {
        /// Until when, on the node's clock.
        until: MonotonicInstant,
        /// How long each lease runs at most, whoever holds it.
        span: Milliseconds,
    },
    /// The complete endpoint list of the platform.
    ServerList {
        /// All its entries.
        servers: Vec<ServerEntry>,
    },
    /// A server's report of its own load.
    Load {
        /// The server.
        server: ServerName,
        /// Its incarnation.
        incarnation: u64,
        /// How long it has been up, in ms.
        up: Milliseconds,
        /// Requests running and waiting.
        running: u32,
        /// Of them, or besides, waiting.
        waiting: u32,
        /// How many may run.
        slots: u32,
        /// What weights it runs.
        weights: String,
    },
    /// A server could not be reached for its report: it does not listen.
    Unreachable {
        /// The server.
        server: ServerName,
    },
    /// A request is to be placed.
    Prompt {
        /// The request.
        request: RequestId,
        /// Its service.
        service: ServiceName,
        /// Its cumulative block hashes; empty for a plain fetch.
        hashes: Vec<PrefixHash>,
        /// Zero the first time; more for a retry.
        round: u32,
        /// Servers that are not to be tried again.
        tried: Vec<ServerName>,
        /// What it asks of a server, where the client tells.
        #[serde(default)]
        #[serde(rename = "demand")]
        request_cost: RequestCost,
    },
    /// The first piece came.
    FirstToken {
        /// Of this request.
        request: RequestId,
    },
    /// A request has ended at its server.
    Ended {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: Outcome,
    },
    /// A peer's sketch, or the sum of all other nodes.
    PeerSketch {
        /// The peer, or [`FLEET`](crate::FLEET).
        from: Address,
        /// Its sketch.
        sketch: Sketch,
    },
    /// A server's response to an order to copy KV.
    CopyFate {
        /// The prefix.
        prefix: PrefixHash,
        /// The server that was to take it.
        server: ServerName,
        /// Whether both sides took the order. An import itself is never announced.
        is_taken: bool,
        /// Whether the server knows such orders at all.
        knows_kv: bool,
    },
    /// Time has passed.
    Tick,
}

/// An event with its time.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Timestamped {
    /// When it came, on the node's monotonic clock.
    pub at: MonotonicInstant,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Why a server was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementReason {
    /// The prefix is active, and this is the least-loaded server that holds it.
    Warm,
    /// It holds the longest part of the prompt.
    CacheMatch,
    /// It holds the longest part but is too busy; this one is the least loaded.
    Imbalance,
    /// Nobody holds any of it; this one is the least loaded.
    LeastLoaded,
    /// The first choice was expected too late; this one is expected soonest.
    Soonest,
    /// The prefix is active and held by too few: this request's own reading warms one more.
    Warming,
}

/// A server that was considered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The server.
    pub server: ServerName,
    /// Requests believed to be in flight there.
    pub load: u32,
    /// Leading blocks believed held.
    pub matched: u32,
    /// Expected time to the first token, in ms.
    pub expected: Milliseconds,
    /// Whether it's believed to hold the counted prefix.
    pub is_warm: bool,
}

/// An output of the scheduler, with its reason, inputs and epoch.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum Decision {
    /// A request goes to a server.
    Placed {
        /// The request.
        request: RequestId,
        /// Its service.
        service: ServiceName,
        /// The server.
        server: ServerName,
        /// Why it was chosen.
        reason: PlacementReason,
        /// The number of its retry, zero at first.
        round: u32,
        /// Arrivals of its prefix within the window, over all nodes.
        count: u32,
        /// The servers that were considered.
        candidates: Vec<Candidate>,
        /// The configuration epoch that it was decided under.
        epoch: ConfigEpoch,
    },
    /// A request goes nowhere.
    Refused {
        /// The request.
        request: RequestId,
        /// Its service.
        service: ServiceName,
        /// The number of the result code.
        code: u16,
        /// The reason, for people.
        why: String,
        /// After how long to retry, in ms.
        retry_after: Milliseconds,
        /// The number of its retry, zero at first.
        round: u32,
        /// The configuration epoch that it was decided under.
        epoch: ConfigEpoch,
    },
    /// A prefix is active and is to be copied.
    Warm {
        /// The prefix.
        prefix: PrefixHash,
        /// The server that exports it.
        holder: ServerName,
        /// The servers that import it.
        targets: Vec<ServerName>,
        /// Arrivals that were counted.
        count: u32,
        /// The configuration epoch that it was decided under.
        epoch: ConfigEpoch,
    },
    /// A prefix has cooled; its copies may go.
    Cooled {
        /// The prefix.
        prefix: PrefixHash,
        /// The servers that were ordered to import it.
        copies: Vec<ServerName>,
    },
    /// A prefix was believed to be held, but its first token came as late as without.
    Disproved {
        /// The request that showed it.
        request: RequestId,
        /// The server.
        server: ServerName,
    },
    /// A server is ejected for a while.
    Suspected {
        /// The server.
        server: ServerName,
        /// For how long, in ms.
        span: Milliseconds,
    },
}
