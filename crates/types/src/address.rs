//! The addresses of our own processes.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// Where a process of the fleet listens: IP address and port, never a host name.
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
    /// The loopback address 127.0.0.1 with this port.
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
    type Err = ParseAddressError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Address)
            .map_err(|_| ParseAddressError(text.to_owned()))
    }
}

/// A text that is no [`Address`]: an IP address and a port are expected, such as 10.0.0.7:7100.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseAddressError(String);

impl fmt::Display for ParseAddressError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ParseAddressError(text) = self;
        write!(
            f,
            "`{text}` is not an IP number with a port, such as 10.0.0.7:7100"
        )
    }
}

impl std::error::Error for ParseAddressError {}

/// For callers whose errors are still texts.
impl From<ParseAddressError> for String {
    fn from(error: ParseAddressError) -> String {
        error.to_string()
    }
}
