//! What a process may hold at most, and what of it is kept for each of its listeners.

use types::Milliseconds;

/// A request that holds no more than this is small: it may use memory that large ones may not.
pub const SMALL_REQUEST_BYTES: u64 = 160 << 10;
/// An unfinished request, or an answer whose reader takes nothing, gives way to others once it's this old.
pub const HOLD_GRACE: Milliseconds = Milliseconds::seconds(1);

/// Bytes that a connection costs without a request: its thread's stack and the buffers of both sides.
const CONNECTION_BYTES: u64 = 48 << 10;
/// Connections to servers for each connection of a client: idle ones are kept for later requests.
const SERVER_CONNECTIONS_A_CONNECTION: usize = 2;
/// Memory that is kept for the process's own state.
const OWN_BYTES: u64 = 32 << 20;
/// Descriptors that are kept for listeners, files, pipes and connections to the fleet's own processes, at least.
const MIN_OWN_DESCRIPTORS: usize = 64;
/// One in so many connections may still be closing while others have taken their places.
const DEPARTING_PART: usize = 8;

/// One of the addresses at which a process takes connections: its place in the list of [`ListenerPolicy`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerId(pub usize);

/// What one listener may use, and what is kept for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenerPolicy {
    /// The name in logs.
    pub name: &'static str,
    /// Connections at most.
    pub max_connections: usize,
    /// Connections that no other listener may use.
    pub reserved_connections: usize,
    /// Bytes of requests that no other listener may use.
    pub reserved_bytes: u64,
}

/// What all listeners of a process may use together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Open connections, those that are closing included.
    pub max_connections: usize,
    /// Connections that the process opens to servers on behalf of its clients, idle ones included.
    pub max_server_connections: usize,
    /// Bytes held for requests and their answers.
    pub content_bytes: u64,
    /// Of these, bytes held for requests that are not small.
    pub large_content_bytes: u64,
}

impl BudgetLimits {
    /// No limits.
    pub const UNLIMITED: BudgetLimits = BudgetLimits {
        max_connections: usize::MAX,
        max_server_connections: usize::MAX,
        content_bytes: u64::MAX,
        large_content_bytes: u64::MAX,
    };

    /// The limits of a process with this much memory and so many descriptors.
    ///
    /// A quarter of the memory beyond the process's own is left to the allocator. A third of the rest is for
    /// connections, the other two for what is held on them, and a quarter of that for small requests alone. Each
    /// connection may need a second descriptor, towards a server.
    pub fn for_process(memory_bytes: u64, descriptors: usize) -> BudgetLimits {
        let shared_bytes = memory_bytes.saturating_sub(OWN_BYTES) / 4 * 3;
        let connection_bytes = shared_bytes / 3;
        let content_bytes = shared_bytes - connection_bytes;
        let own_descriptors = MIN_OWN_DESCRIPTORS.max(descriptors / 8);
        let by_descriptors = descriptors.saturating_sub(own_descriptors) / 2;
        let by_memory = usize::try_from(connection_bytes / CONNECTION_BYTES).unwrap_or(usize::MAX);
        BudgetLimits {
            max_connections: by_descriptors.min(by_memory),
            max_server_connections: by_descriptors.min(by_memory * SERVER_CONNECTIONS_A_CONNECTION),
            content_bytes,
            large_content_bytes: content_bytes / 4 * 3,
        }
    }

    /// Connections that may have been told to give way and not be closed yet.
    pub fn max_departing(&self) -> usize {
        (self.max_connections / DEPARTING_PART).max(1)
    }

    /// Connections that have not been told to give way.
    pub fn max_live(&self) -> usize {
        self.max_connections - self.max_departing().min(self.max_connections)
    }
}
