use std::fmt;

/// What the fleet's tokens are checked with: drawn once, kept by the core, given with each lease.
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
