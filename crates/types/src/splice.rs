use crate::messages;

messages! {
    /// What turns one plan's bytes into another's: at `start`, so many bytes go and these come.
    #[derive(Eq, Default)]
    pub struct Splice {
        /// From this byte.
        pub start: u64,
        /// So many go.
        pub removed: u64,
        /// These come.
        pub inserted: Vec<u8>,
    }
}

impl Splice {
    /// The shortest that makes `new` of `old` in one place.
    pub fn between(old: &[u8], new: &[u8]) -> Splice {
        let most = old.len().min(new.len());
        let start = old
            .iter()
            .zip(new)
            .take_while(|(one, other)| one == other)
            .count();
        let tail = old.iter().rev().zip(new.iter().rev()).take(most - start);
        let kept = tail.take_while(|(one, other)| one == other).count();
        let removed = (old.len() - kept - start) as u64;
        Splice {
            start: start as u64,
            removed,
            inserted: new[start..new.len() - kept].to_vec(),
        }
    }
    /// What it makes of these bytes; `None` if it isn't for them.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        unwind(old, [self])
    }
    /// Whether it is for bytes of this length.
    pub fn fits(&self, old: &[u8]) -> bool {
        self.start
            .checked_add(self.removed)
            .is_some_and(|end| end <= old.len() as u64)
    }
    /// What turns the new bytes back into `old`.
    pub fn reverse(&self, old: &[u8]) -> Option<Splice> {
        let start = usize::try_from(self.start).ok()?;
        let end = start.checked_add(usize::try_from(self.removed).ok()?)?;
        let inserted = old.get(start..end)?.to_vec();
        Some(Splice {
            start: self.start,
            removed: self.inserted.len() as u64,
            inserted,
        })
    }
}

/// Applies splices one after another. The bytes are copied once, however many splices there are.
pub fn unwind<'a>(
    bytes: &'a [u8],
    splices: impl IntoIterator<Item = &'a Splice>,
) -> Option<Vec<u8>> {
    let mut parts: Vec<&[u8]> = vec![bytes];
    for splice in splices {
        let (mut left, right) = cut(parts, usize::try_from(splice.start).ok()?)?;
        let (_, rest) = cut(right, usize::try_from(splice.removed).ok()?)?;
        left.push(&splice.inserted);
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
mod tests {
    use super::*;

    #[test]
    fn splices_lead_there_and_back_over_many_versions() {
        for seed in 0..300u64 {
            let mut state = seed;
            let mut draw = |bound: usize| {
                state = state
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                ((state >> 33) % bound.max(1) as u64) as usize
            };
            let mut versions = vec![b"aabbaabb".repeat(draw(4))];
            let (mut forth, mut back) = (vec![], vec![]);
            for _ in 0..12 {
                let mut next = versions[versions.len() - 1].clone();
                let (start, end) = (draw(next.len() + 1), draw(next.len() + 1));
                let fresh: Vec<u8> = (0..draw(9)).map(|_| b'a' + draw(3) as u8).collect();
                next.splice(start.min(end)..start.max(end), fresh);
                let old = &versions[versions.len() - 1];
                let splice = Splice::between(old, &next);
                back.push(splice.reverse(old).expect("it is for the old"));
                forth.push(splice);
                versions.push(next);
            }
            let newest = &versions[versions.len() - 1];
            for (place, version) in versions.iter().enumerate() {
                let found = unwind(newest, back[place..].iter().rev());
                assert_eq!(
                    found.as_ref(),
                    Some(version),
                    "seed {seed}, back to {place}"
                );
            }
            assert_eq!(
                unwind(&versions[0], &forth).as_ref(),
                Some(newest),
                "seed {seed}, forth"
            );
        }
        let wide = Splice {
            start: 3,
            removed: 9,
            inserted: vec![],
        };
        assert_eq!(
            (wide.apply(b"short"), wide.reverse(b"short")),
            (None, None),
            "not for these bytes"
        );
    }
}
