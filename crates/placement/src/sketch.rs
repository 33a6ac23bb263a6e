//! What nodes report to each other: hot prefixes, cached prefixes, requests in flight, draining servers.

use serde::{Deserialize, Serialize};
use types::{Address, ServerName, messages};

/// The hash of a prefix of whole blocks.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// The origin under which a scheduler receives the sum of all other nodes; no node has this address.
pub const FLEET: Address = Address(std::net::SocketAddr::new(
    std::net::IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED),
    0,
));

messages! {
    /// How often one node saw a prefix within the window.
    #[derive(Copy, Eq, Serialize, Deserialize)]
    pub struct HotPrefix {
        /// The prefix.
        pub prefix: PrefixHash,
        /// Its arrivals at the sender alone.
        pub count: u32,
    }

    /// Which server one node believes to hold a prefix.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct CachedPrefix {
        /// The prefix.
        pub prefix: PrefixHash,
        /// The server.
        pub server: ServerName,
        /// The server's incarnation that it was seen in.
        pub incarnation: u64,
        /// Whether a first token has shown it; else it was only sent there.
        pub is_shown: bool,
    }

    /// How many requests of one node a server has in flight.
    #[derive(Eq, Serialize, Deserialize)]
    pub struct InFlight {
        /// The server.
        pub server: ServerName,
        /// Requests of the sender alone.
        pub count: u32,
        /// Prompt tokens of them that the server has yet to prefill.
        #[serde(default)]
        #[serde(rename = "unread")]
        pub pending_prefill_tokens: u64,
        /// Tokens that they take of its memory.
        #[serde(default)]
        pub tokens: u64,
        /// Tokens that the sender's requests made it prefill in the sender's incarnation.
        #[serde(default)]
        #[serde(rename = "read")]
        pub prefilled_tokens: u64,
    }

    /// What one node reports to the others, or a sum of what all others report.
    ///
    /// Invariant: a node's own holds only what it saw itself, never what peers reported, so sums count
    /// nothing twice.
    #[derive(Eq, Default, Serialize, Deserialize)]
    pub struct Sketch {
        /// The sender's incarnation.
        pub incarnation: u64,
        /// Grows within an incarnation.
        pub number: u64,
        /// Prefixes that are turning hot.
        pub hot: Vec<HotPrefix>,
        /// The servers believed to hold them.
        pub holdings: Vec<CachedPrefix>,
        /// The sender's load at servers.
        pub in_flight: Vec<InFlight>,
        /// Servers that the sender knows to be draining.
        #[serde(rename = "leaving")]
        pub draining: Vec<ServerName>,
        /// In a sum over all other nodes: the members whose reports are not in it.
        #[serde(default)]
        pub missing: Option<Vec<Address>>,
    }
}
