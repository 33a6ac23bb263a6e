use placement::ServerEntry;
use serde::{Deserialize, Serialize};
use types::{RequestId, RunId, ServiceName};

/// What a client posts to `/v1/requests`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientRequest {
    /// The client's own id for it.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: String,
    /// Pieces wanted at most.
    #[serde(default = "many_pieces")]
    pub max_pieces: u32,
}

fn many_pieces() -> u32 {
    256
}

/// What a client posts to `/v1/resume`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResumeRequest {
    /// The token that the stream began with.
    pub token: String,
    /// The number of the first piece that is wanted.
    pub from: u64,
}

/// Names the life of the server that a page is fetched from: any other refuses it.
pub const LIFE_HEADER: &str = "x-server-life";

/// What a router posts to a server's `/runs`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunRequest {
    /// The run's id, new for each.
    pub run: RunId,
    /// The service.
    pub service: ServiceName,
    /// The prompt.
    pub prompt: String,
    /// Pieces wanted at most.
    pub max_pieces: u32,
    /// Whether the run goes on, and its pieces are kept for a while, when nobody reads it.
    pub keep: bool,
    /// The life of the server that it's meant for: any other refuses it unrun. `None`: whichever has it.
    #[serde(rename = "life", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u64>,
}

/// One line of a server's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum RunRecord {
    /// The explicit end.
    End {
        /// The run.
        run: RunId,
        /// Always true.
        end: bool,
        /// How many pieces there were.
        pieces: u64,
    },
    /// A chunk of text.
    Chunk {
        /// The run.
        run: RunId,
        /// Its number, from 0.
        n: u64,
        /// The text.
        text: String,
    },
}

/// What a server says at `/load`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its life.
    pub incarnation: u64,
    /// How long it has been up.
    pub up_ms: u64,
    /// Requests that hold slots.
    pub running: u32,
    /// Requests that wait for one.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// What it runs.
    pub weights: String,
}

/// What the platform says at its list's address.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerListReport {
    /// All servers.
    pub servers: Vec<ServerEntry>,
}
