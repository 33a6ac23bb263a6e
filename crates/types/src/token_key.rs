//! The key of the fleet's tokens.

use std::fmt;

/// The key by which the fleet's tokens are checked: drawn once, stored by the controllers, sent
/// with each lease.
///
/// Invariant: never shown, neither in logs nor in answers.
#[derive(Clone, Copy, PartialEq, Eq, rkyv::Archive, rkyv::Serialize, rkyv::Deserialize)]
pub struct TokenKey(pub [u8; 32]);

impl fmt::Debug for TokenKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenKey(…)")
    }
}

#[cfg(test)]
mod tests;
