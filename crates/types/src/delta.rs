//! The difference between two versions of a plan, as one replaced range of bytes.

use crate::messages;

messages! {
    /// Turns one version's bytes into another's by replacing the `removed` bytes from `start` on
    /// with `inserted`.
    #[derive(Eq, Default)]
    pub struct Delta {
        /// The offset of the first byte that is replaced.
        pub start: u64,
        /// How many bytes are removed.
        pub removed: u64,
        /// The bytes that take their place.
        pub inserted: Vec<u8>,
    }
}

impl Delta {
    /// The shortest delta that turns `old` into `new` by replacing one range.
    pub fn between(old: &[u8], new: &[u8]) -> Delta {
        let most = old.len().min(new.len());
        let start = old
            .iter()
            .zip(new)
            .take_while(|(one, other)| one == other)
            .count();
        let tail = old.iter().rev().zip(new.iter().rev()).take(most - start);
        let kept = tail.take_while(|(one, other)| one == other).count();
        let removed = (old.len() - kept - start) as u64;
        Delta {
            start: start as u64,
            removed,
            inserted: new[start..new.len() - kept].to_vec(),
        }
    }
    /// The bytes that this delta makes of `old`; `None` if its range is beyond their end.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        revert(old, [self])
    }
    /// Whether the replaced range is within `old`.
    pub fn fits(&self, old: &[u8]) -> bool {
        self.start
            .checked_add(self.removed)
            .is_some_and(|end| end <= old.len() as u64)
    }
    /// The delta that turns the new bytes back into `old`; `None` if the range of this one is
    /// beyond the end of `old`.
    pub fn reverse(&self, old: &[u8]) -> Option<Delta> {
        let start = usize::try_from(self.start).ok()?;
        let end = start.checked_add(usize::try_from(self.removed).ok()?)?;
        let inserted = old.get(start..end)?.to_vec();
        Some(Delta {
            start: self.start,
            removed: self.inserted.len() as u64,
            inserted,
        })
    }
}

/// Applies deltas one after another; `None` if one doesn't fit. The bytes are copied once, however
/// many deltas there are.
pub fn revert<'a>(bytes: &'a [u8], deltas: impl IntoIterator<Item = &'a Delta>) -> Option<Vec<u8>> {
    let mut parts: Vec<&[u8]> = vec![bytes];
    for delta in deltas {
        let (mut left, right) = split_parts(parts, usize::try_from(delta.start).ok()?)?;
        let (_, rest) = split_parts(right, usize::try_from(delta.removed).ok()?)?;
        left.push(&delta.inserted);
        left.extend(rest);
        parts = left;
    }
    Some(parts.concat())
}

type Parts<'a> = Vec<&'a [u8]>;

/// The parts before this offset, and those from it on; `None` if it is beyond their end.
fn split_parts(parts: Parts<'_>, mut offset: usize) -> Option<(Parts<'_>, Parts<'_>)> {
    let (mut left, mut right) = (vec![], vec![]);
    for part in parts {
        let (before, after) = part.split_at(offset.min(part.len()));
        offset -= before.len();
        left.extend((!before.is_empty()).then_some(before));
        right.extend((!after.is_empty()).then_some(after));
    }
    (offset == 0).then_some((left, right))
}

#[cfg(test)]
mod tests;
