//! Names that come from outside: from plans, clients and the platform.

use std::fmt;

macro_rules! names {
    ($($(#[$meta:meta])* $name:ident)*) => {$(
        $(#[$meta])*
        #[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
            /// Whether the name may stand in a path, a log line or a configuration: 1 to 64 ASCII
            /// letters, digits, or `-_.:`.
            pub fn is_valid(&self) -> bool {
                let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_.:".contains(c);
                (1..=64).contains(&self.0.len()) && self.0.chars().all(is_plain)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(text.to_owned())
            }
        }
    )*};
}

names! {
    /// The name of a zone, a failure domain of the fleet.
    ZoneName
    /// The id that a client gives its request, by which a repeated one is known.
    RequestId
    /// The id that a server gives one run of a request.
    RunId
    /// The name of a server (a back end): its address as the platform lists it.
    ServerName
    /// The name of a service that a plan may allow.
    ServiceName
    /// The name of a tenant; whoever has one of its API keys acts for it.
    TenantName
}

#[cfg(test)]
mod tests;
