use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Where a process of ours listens: IP number and port, never a host name.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    rkyv::Archive,
    rkyv::Serialize,
    rkyv::Deserialize,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Address(pub SocketAddr);

impl Address {
    /// Loopback at this port.
    pub fn loopback(port: u16) -> Self {
        Address(SocketAddr::from(([127, 0, 0, 1], port)))
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Address {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Address)
            .map_err(|_| format!("`{text}` is not an IP number with a port, such as 10.0.0.7:7100"))
    }
}
