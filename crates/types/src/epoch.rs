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
            /// The next one.
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
    /// Numbers the configurations (what operators had accepted). Zero: none yet.
    ///
    /// Invariant: grows by one with each accepted change; a node never goes back.
    ConfigEpoch
    /// Numbers the views of the control core. Zero: before the founding.
    ///
    /// Invariant: for each number at most one view is ever decided.
    ViewNumber
    /// Numbers the changes in the chain, from 1 without gaps.
    SequenceNumber
}
