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
            let delta = Delta::between(old, &next);
            back.push(delta.reverse(old).expect("it is for the old"));
            forth.push(delta);
            versions.push(next);
        }
        let newest = &versions[versions.len() - 1];
        for (place, version) in versions.iter().enumerate() {
            let found = revert(newest, back[place..].iter().rev());
            assert_eq!(
                found.as_ref(),
                Some(version),
                "seed {seed}, back to {place}"
            );
        }
        assert_eq!(
            revert(&versions[0], &forth).as_ref(),
            Some(newest),
            "seed {seed}, forth"
        );
    }
    let wide = Delta {
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
