use crate::control::node::Rejection;
use crate::upstream::response_validation::{AnswerIdentity, ClaimedIdentity};
use bytes::Bytes;
use placement::{PrefixHash, RequestCost, ServerEntry};
use transport::{Request, Response};
use types::{ApiKey, Milliseconds, RequestId, ServerName, TenantName};

/// A client's request as the product knows it, whatever it was spoken in.
#[derive(Debug, Clone)]
pub struct Call {
    /// The client's id for it; no other request has the same.
    pub id: RequestId,
    /// How it's asked.
    pub method: http::Method,
    /// The host, as the client named it.
    pub host: String,
    /// Path and query, exactly as sent.
    pub target: String,
    /// The key that the client bears, if it bears one.
    pub api_key: Option<ApiKey>,
    /// What is passed on with it.
    pub headers: http::HeaderMap,
    /// The body, whole.
    pub body: Bytes,
    /// How long the client waits from now on.
    pub left: Milliseconds,
    /// A stream is to go on behind this piece.
    pub after: Option<u64>,
    /// Hashes of the prompt's parts, each with all before it.
    pub hashes: Vec<PrefixHash>,
    /// What it asks of a server.
    pub request_cost: RequestCost,
}

impl Call {
    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

/// One sending of a call to a server.
#[derive(Debug, Clone, Copy)]
pub struct Sending<'a> {
    /// To this one; another one at its address must not run it.
    pub server: &'a ServerName,
    /// What is left of the client's patience.
    pub left: Milliseconds,
    /// A stream is to go on behind this piece.
    pub after: Option<u64>,
    /// Its class among those that wait there: 0 goes first, 9 last.
    pub urgency: u8,
    /// By whose right it's sent. A key is never sent on where the plan has tenants.
    pub access: &'a Access,
}

/// By whose right a request goes to a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Access {
    /// The plan has no tenants: nobody asks.
    Unrestricted,
    /// The plan has tenants, and the route is for everybody.
    Public,
    /// This tenant's.
    Tenant(TenantName),
}

/// Requests that a server has, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLoad {
    /// Running.
    pub running: u32,
    /// Waiting.
    pub waiting: u32,
    /// At once at most.
    pub slots: u32,
}

/// How clients, servers and the list of servers are spoken to. It translates: it decides nothing and
/// keeps nothing.
pub trait CallDialect: Send + Sync + 'static {
    /// A client's request.
    fn read(&self, request: Request) -> Result<Call, Rejection>;
    /// Tells a client that its request goes nowhere.
    fn refuse(&self, id: Option<&RequestId>, rejection: &Rejection) -> Response;
    /// The request to a server.
    fn request(&self, call: &Call, sending: &Sending<'_>) -> http::Request<Bytes>;
    /// Whose answer a server's head says that it is.
    fn identity(&self, call: &Call, head: &http::response::Parts) -> AnswerIdentity;
    /// What a server's head claims, whoever the answer belongs to.
    fn claim(&self, head: &http::response::Parts) -> ClaimedIdentity;
    /// The load that a head tells, if it does.
    fn load(&self, head: &http::response::Parts) -> Option<ServerLoad>;
    /// What of a server's head goes on to the client.
    fn passed(&self, head: &http::response::Parts) -> http::HeaderMap;
    /// Whether it's the question whether this node is ready.
    fn is_probe(&self, request: &Request) -> bool;
    /// The request for a page of the list of servers; `None` is the first.
    fn list_request(&self, page: Option<&str>) -> http::Request<Bytes>;
    /// A page of the list, and the name of the next.
    fn read_list(&self, body: &[u8]) -> Result<(Vec<ServerEntry>, Option<String>), String>;
}
