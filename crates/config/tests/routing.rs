//! The route table: which route a request takes, and how a route splits over services.

use config::{OwnPlans, Plan, PlanDialect, PlanError};
use std::collections::HashMap;
use yare::parameterized;

fn route(name: &str, host: &str, prefix: &str, split: &[(&str, u64)]) -> serde_json::Value {
    let split: Vec<_> = split
        .iter()
        .map(|(service, weight)| serde_json::json!({"service": service, "weight": weight}))
        .collect();
    serde_json::json!({"name": name, "host": host, "path_prefix": prefix, "split": split})
}

fn parse(routes: &[serde_json::Value]) -> Result<Plan, Vec<PlanError>> {
    let plan = serde_json::json!({"services": {"a": {}, "b": {}, "c": {}}, "routes": routes});
    OwnPlans.parse(plan.to_string().as_bytes())
}

fn sample() -> Plan {
    parse(&[
        route("root", "one.example", "/", &[("a", 1)]),
        route("deep", "one.example", "/x/y/", &[("b", 1)]),
        route(
            "shallow",
            "One.Example",
            "/x/",
            &[("a", 90), ("b", 10), ("c", 0)],
        ),
        route("other", "two.example", "/x/", &[("c", 1)]),
    ])
    .expect("a good plan")
}

#[parameterized(
    longest = { "one.example", "/x/y/z", Some("deep") },
    exact = { "one.example", "/x/y/", Some("deep") },
    without_its_slash = { "one.example", "/x/y", Some("shallow") },
    root = { "one.example", "/z", Some("root") },
    port_and_case = { "ONE.example:8080", "/x/q", Some("shallow") },
    other_host = { "two.example", "/x/y/z", Some("other") },
    no_such_path = { "two.example", "/y/", None },
    no_such_host = { "three.example", "/x/", None },
    no_slash = { "one.example", "", None },
    longer_than_any = { "one.example", "/x/y/z/z/z/z/z/z/z/z/z/\u{e9}/z", Some("deep") },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, wanted: Option<&str>) {
    let plan = sample();
    assert_eq!(
        plan.route(host, path).map(|route| route.name.as_str()),
        wanted
    );
    assert_eq!(
        plan.route_table()
            .route(host, path)
            .map(|route| route.name.as_str()),
        wanted
    );
}

#[test]
fn a_table_finds_routes_among_thousands() {
    let routes: Vec<_> = (0..5000)
        .map(|n| {
            route(
                &format!("r{n}"),
                "h.example",
                &format!("/p{n}/"),
                &[("a", 1)],
            )
        })
        .collect();
    let table = parse(&routes).expect("a good plan").route_table();
    for n in 0..5000 {
        let found = table
            .route("h.example", &format!("/p{n}/2f"))
            .map(|route| route.name.clone());
        assert_eq!(found, Some(format!("r{n}")));
    }
}

#[test]
fn a_split_follows_its_weights_and_moves_only_what_it_must() {
    let counted = |plan: &Plan| {
        let route = plan.route("one.example", "/x/q").expect("a route").clone();
        (0..20_000u64)
            .map(|key| route.service_for(key).expect("a service").to_owned())
            .collect::<Vec<_>>()
    };
    let before = counted(&sample());
    let count = |of: &[String], name: &str| of.iter().filter(|service| *service == name).count();
    let (a, b) = (count(&before, "a"), count(&before, "b"));
    assert!(
        (17_700..18_300).contains(&a) && a + b == 20_000,
        "{a} and {b}"
    );
    let shifted = parse(&[route(
        "shallow",
        "one.example",
        "/x/",
        &[("a", 70), ("b", 30)],
    )])
    .expect("a good plan");
    let after = counted(&shifted);
    let moved: HashMap<(&str, &str), usize> =
        before
            .iter()
            .zip(&after)
            .fold(HashMap::new(), |mut moved, (old, new)| {
                *moved.entry((old.as_str(), new.as_str())).or_insert(0) += 1;
                moved
            });
    assert_eq!(moved.get(&("b", "a")), None, "who gains loses nothing");
    assert!((3_700..4_300).contains(&moved[&("a", "b")]), "{moved:?}");
}

#[test]
fn a_route_allows_what_it_gives_weight_to() {
    let plan = sample();
    assert!(
        plan.allows("shallow", "b") && !plan.allows("shallow", "c") && !plan.allows("none", "a")
    );
}

#[parameterized(
    unknown_service = { &[route("r", "h", "/x/", &[("z", 1)])], &["routes[0].split"] },
    same_host_and_prefix = { &[route("r", "h", "/x/", &[("a", 1)]), route("s", "H:80", "/x/", &[("a", 1)])], &["routes[1]"] },
    weights_of_nothing = { &[route("r", "h", "/x/", &[("a", 0), ("b", 0)])], &["routes[0].split"] },
    no_split = { &[route("r", "h", "/x/", &[])], &["routes[0].split"] },
    no_first_slash = { &[route("r", "h", "x/", &[("a", 1)])], &["routes[0].path_prefix"] },
    no_last_slash = { &[route("r", "h", "/x", &[("a", 1)])], &["routes[0].path_prefix"] },
    several = { &[route("r", "h", "x", &[("z", 0)]), route("s", "h", "/", &[("a", 1)])],
        &["routes[0].path_prefix", "routes[0].split", "routes[0].split"] },
)]
fn faults_between_parts_are_listed_by_path(routes: &[serde_json::Value], paths: &[&str]) {
    let faults = parse(routes).expect_err("a bad plan");
    assert_eq!(
        faults
            .iter()
            .map(|fault| fault.path.as_str())
            .collect::<Vec<_>>(),
        paths,
        "{faults:?}"
    );
}

#[test]
fn a_deadline_of_zero_is_a_fault() {
    let mut plan = sample();
    plan.routes[1].deadline_ms = 0;
    assert_eq!(
        plan.validation_errors()
            .iter()
            .map(|fault| fault.path.as_str())
            .collect::<Vec<_>>(),
        ["routes[1].deadline_ms"]
    );
}
