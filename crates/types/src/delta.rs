use crate::messages;

messages! {
    /// What turns one plan's bytes into another's: at `start`, so many bytes go and these come.
    #[derive(Eq, Default)]
    pub struct Delta {
        /// From this byte.
        pub start: u64,
        /// So many go.
        pub removed: u64,
        /// These come.
        pub inserted: Vec<u8>,
    }
}

impl Delta {
    /// The shortest that makes `new` of `old` in one place.
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
    /// What it makes of these bytes; `None` if it isn't for them.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        revert(old, [self])
    }
    /// Whether it is for bytes of this length.
    pub fn fits(&self, old: &[u8]) -> bool {
        self.start
            .checked_add(self.removed)
            .is_some_and(|end| end <= old.len() as u64)
    }
    /// What turns the new bytes back into `old`.
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

/// Applies splices one after another. The bytes are copied once, however many splices there are.
pub fn revert<'a>(
    bytes: &'a [u8],
    splices: impl IntoIterator<Item = &'a Delta>,
) -> Option<Vec<u8>> {
    let mut parts: Vec<&[u8]> = vec![bytes];
    for delta in splices {
        let (mut left, right) = cut(parts, usize::try_from(delta.start).ok()?)?;
        let (_, rest) = cut(right, usize::try_from(delta.removed).ok()?)?;
        left.push(&delta.inserted);
        left.extend(rest);
        parts = left;
    }
    Some(parts.concat())
}

type Parts<'a> = Vec<&'a [u8]>;

/// Parts up to this byte, and from it on; `None` beyond their end.
fn cut(parts: Parts<'_>, mut at: usize) -> Option<(Parts<'_>, Parts<'_>)> {
    let (mut left, mut right) = (vec![], vec![]);
    for part in parts {
        let (before, after) = part.split_at(at.min(part.len()));
        at -= before.len();
        left.extend((!before.is_empty()).then_some(before));
        right.extend((!after.is_empty()).then_some(after));
    }
    (at == 0).then_some((left, right))
}

#[cfg(test)]
mod tests;
