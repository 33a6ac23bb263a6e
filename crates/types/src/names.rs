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
            /// As text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
            /// Whether it may stand in a path, a log line or a configuration: 1 to 64 letters, digits,
            /// or `-_.:`.
            pub fn is_healthy(&self) -> bool {
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
    /// A zone.
    ZoneName
    /// What a client calls its request.
    RequestId
    /// What a server calls one run of a request.
    RunId
    /// A back end, by its address as the platform lists it.
    ServerName
    /// A service that a plan may allow.
    ServiceName
    /// A tenant: whoever holds one of its API keys.
    TenantName
}

#[cfg(test)]
mod tests;
