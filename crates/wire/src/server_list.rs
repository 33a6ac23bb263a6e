use placement::ServerEntry;
use types::{Milliseconds, ServerName, messages};

messages! {
    /// The version of a list of servers. Nodes with the same version have the same entries.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct ServerListVersion {
        /// The incarnation of the node that first read the list.
        pub incarnation: u64,
        /// The number of the list, which grows by one with each list that this incarnation found changed.
        pub number: u64,
    }

    /// The state of the platform's list of servers at the collector of a zone.
    #[derive(Copy, Eq)]
    pub struct ServerListState {
        /// The version of the list.
        pub version: ServerListVersion,
        /// A hash of the entries, without their times of warming up.
        pub check: u64,
        /// The sum of the times for which the servers are still warming up.
        pub warming_up: Milliseconds,
        /// The time since the start of the reading that the list is from, or that last confirmed it.
        pub age: Milliseconds,
    }

    /// The change from a list of servers to the next version.
    #[derive(Eq)]
    pub struct ServerListChange {
        /// The state of the changed list.
        pub state: ServerListState,
        /// The version that the change applies to.
        pub base: ServerListVersion,
        /// The entries that are new or have changed.
        pub set: Vec<ServerEntry>,
        /// The servers that are no longer listed.
        pub removed: Vec<ServerName>,
    }

    /// A chunk of a list of servers.
    #[derive(Eq)]
    pub struct ServerListChunk {
        /// The state of the list.
        pub state: ServerListState,
        /// The index of the chunk's first entry.
        pub offset: u32,
        /// The number of entries of the complete list.
        pub length: u32,
        /// The entries of the chunk.
        pub entries: Vec<ServerEntry>,
    }
}
