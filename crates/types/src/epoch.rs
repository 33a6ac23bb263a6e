//! Numbers that only grow: of configurations, views and changes.

use std::fmt;

macro_rules! counters {
    ($($(#[$meta:meta])* $name:ident)*) => {$(
        $(#[$meta])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            #[must_use]
            pub fn next(self) -> Self {
                $name(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

counters! {
    /// The number of a configuration, which is what operators had accepted; 0 before the first one.
    ///
    /// Invariant: grows by one with each accepted change, and a node never goes
    /// back to an earlier one.
    ConfigEpoch
    /// The number of a view of the controllers' chain; 0 before the founding.
    ///
    /// Invariant: for each number at most one view is ever decided.
    ViewNumber
    /// The number of a change in the chain's log, from 1 without gaps.
    SequenceNumber
}
