use crate::digest::{Digest, DigestKey};
use crate::sketch::{CachedPrefix, HotPrefix, InFlight, PrefixHash, Sketch};
use types::ServerName;

fn sketch(count: u32) -> Sketch {
    Sketch {
        hot: vec![HotPrefix {
            prefix: PrefixHash(7),
            count,
        }],
        holdings: vec![CachedPrefix {
            prefix: PrefixHash(7),
            server: "a".into(),
            incarnation: 3,
            is_shown: true,
        }],
        in_flight: vec![InFlight {
            server: "a".into(),
            count,
            pending_prefill_tokens: 0,
            tokens: 0,
            prefilled_tokens: 0,
        }],
        draining: vec!["b".into()],
        ..Sketch::default()
    }
}

#[test]
fn a_sum_less_a_part_is_the_rest_and_reads_back_for_the_servers_known_here() {
    let (one, two) = (Digest::of(&sketch(2)), Digest::of(&sketch(5)));
    let mut sum = one.clone();
    sum.add(&two);
    sum.subtract(&two);
    assert_eq!(sum, one);
    let (a, b, other) = (
        ServerName::from("a"),
        ServerName::from("b"),
        ServerName::from("a-later"),
    );
    let prefilled_tokens = sum.sketch(1, 1, [(&a, 3), (&b, 1), (&other, 3)].into_iter());
    assert_eq!(
        (prefilled_tokens.hot, prefilled_tokens.in_flight),
        (sketch(2).hot, sketch(2).in_flight)
    );
    assert_eq!(
        (prefilled_tokens.holdings, prefilled_tokens.draining),
        (sketch(2).holdings, sketch(2).draining)
    );
    let next_life = sum.sketch(1, 1, [(&a, 4)].into_iter());
    assert_eq!(
        next_life.holdings,
        vec![],
        "what was held in another life of the server"
    );
}

#[test]
fn a_change_makes_the_new_of_the_old_and_nothing_new_is_no_change() {
    let (old, new) = (
        Digest::of(&sketch(2)),
        Digest::of(&Sketch {
            in_flight: vec![],
            ..sketch(5)
        }),
    );
    let change = new.change_from(&old).expect("it differs");
    let mut cached = old.clone();
    cached.apply(&change);
    assert_eq!(cached, new);
    assert_eq!(new.change_from(&cached), None);
    let (many, nearly) = (Digest::of(&sketch(80)), Digest::of(&sketch(89)));
    assert_eq!(
        nearly.change_from(&many),
        None,
        "off by little more than a tenth"
    );
    assert!(Digest::of(&sketch(91)).change_from(&many).is_some());
}

#[test]
fn whatever_a_node_saw_what_it_tells_is_bounded() {
    let many = Sketch {
        hot: (0..10_000)
            .map(|n| HotPrefix {
                prefix: PrefixHash(n),
                count: n as u32,
            })
            .collect(),
        holdings: (0..10_000)
            .map(|n| CachedPrefix {
                prefix: PrefixHash(n),
                server: "a".into(),
                incarnation: 1,
                is_shown: false,
            })
            .collect(),
        in_flight: (0..10_000)
            .map(|n| InFlight {
                server: ServerName(format!("s{n}")),
                count: 1,
                pending_prefill_tokens: 0,
                tokens: 0,
                prefilled_tokens: 0,
            })
            .collect(),
        ..Sketch::default()
    };
    let digest = Digest::of(&many);
    assert_eq!(
        digest.count(DigestKey::HotPrefix(PrefixHash(9_999))),
        9_999,
        "the hottest stay"
    );
    let change = digest.change_from(&Digest::default()).expect("much");
    assert!(change.bytes() < 15_000, "{} bytes", change.bytes());
    let mut sum = digest.clone();
    (1..50).for_each(|_| sum.add(&digest));
    sum.bound_sum();
    assert!(sum.len() < 2600, "{} counts", sum.len());
}
