use crate::hollow::HollowRules;
use clap::Parser;

#[derive(Parser)]
struct Line {
    #[command(flatten)]
    rules: HollowRules,
}

fn rules(words: &[&str]) -> HollowRules {
    Line::parse_from([&["hollow"], words].concat()).rules
}

#[test]
fn a_size_that_cannot_fit_is_refused_with_one_that_would() {
    let large = rules(&["--nodes", "5000", "--servers", "880"]);
    let why = large.misfit(32 << 30, 200_000).expect("too large");
    let fit: u32 = why
        .split("--nodes ")
        .nth(1)
        .and_then(|rest| rest.split(' ').next()?.parse().ok())
        .expect("a size");
    assert_eq!(
        HollowRules {
            nodes: fit,
            ..large.clone()
        }
        .misfit(32 << 30, 200_000),
        None,
        "{why}"
    );
    let scattered = rules(&["--nodes", "400", "--per-process", "1"]);
    assert!(
        scattered
            .misfit(32 << 30, 200_000)
            .is_some_and(|why| why.contains("--per-process"))
    );
    assert!(
        rules(&["--nodes", "2"]).misfit(32 << 30, 200_000).is_some(),
        "fewer nodes than zones"
    );
}

#[test]
fn a_small_fleet_fits_where_thousands_of_threads_are_free() {
    let small = rules(&["--nodes", "12"]);
    assert_eq!(small.misfit(32 << 30, 120), None);
    assert!(
        small
            .misfit(32 << 30, 119)
            .is_some_and(|why| why.contains("--nodes 11 would fit"))
    );
}
