use crate::plan::{ServiceKind, merge_change, parse_plan};
use yare::parameterized;

#[test]
fn a_plan_has_defaults_for_what_it_leaves_out() {
    let plan = parse_plan(br#"{"services":{"drafts":{"resumable":true,"btb":{"x":6}}}}"#)
        .expect("a good plan");
    let drafts = &plan.services["drafts"];
    assert_eq!(
        (drafts.kind, drafts.resumable, drafts.idempotent),
        (ServiceKind::Stream, true, false)
    );
    assert_eq!(
        (drafts.btb.y, drafts.btb.x, drafts.btb.z_ms, drafts.btb.m),
        (64, 6, 5000, 3)
    );
}

#[parameterized(
    torn = { r#"{"services":"#, &["."] },
    list = { "[]", &["."] },
    none = { "{}", &["services"] },
    unknown_field = { r#"{"services":{"a":{"slotz":4}}}"#, &["services.a.slotz"] },
    wrong_type = { r#"{"services":{"a":{"slots":"many"}}}"#, &["services.a.slots"] },
    out_of_range_twice = { r#"{"services":{"a":{"slots":0,"btb":{"x":1}}}}"#, &["services.a.slots", "services.a.btb.x"] },
    of_every_kind_at_once = { r#"{"services":{"a.b":{"slots":"many","colour":1},"c":{"zones":[3],"first_token_ms":0}}}"#,
        &["services.a.b.slots", "services.a.b.colour", "services.c.zones[0]", "services.c.first_token_ms"] },
    a_stream_that_may_not_be_resumed_called_idempotent = { r#"{"services":{"a":{"idempotent":true},"b":{"idempotent":true,"resumable":true},"c":{"idempotent":true,"kind":"fetch"}}}"#, &["services.a.idempotent"] },
    bad_service_name = { r#"{"services":{"a/b":{}}}"#, &["services"] },
)]
fn faults_are_listed_by_path(text: &str, paths: &[&str]) {
    let faults = parse_plan(text.as_bytes()).expect_err("a bad plan");
    let mut found: Vec<&str> = faults.iter().map(|fault| fault.path.as_str()).collect();
    found.sort();
    let mut wanted = paths.to_vec();
    wanted.sort();
    assert_eq!(found, wanted, "{faults:?}");
}

#[test]
fn a_bent_or_torn_plan_is_read_or_refused_and_never_panics() {
    let plan =
        br#"{"services":{"drafts":{"slots":4,"btb":{"x":5},"zones":["east"]}},"note":"\u00e9"}"#;
    let mut refused = 0;
    for place in 0..plan.len() {
        refused += u32::from(parse_plan(&plan[..place]).is_err());
        for bit in 0..8 {
            let mut bent = plan.to_vec();
            bent[place] ^= 1 << bit;
            refused += u32::from(parse_plan(&bent).is_err());
            let _ = merge_change(plan, &bent).map(|merged| parse_plan(&merged));
        }
    }
    assert!(
        refused as usize > plan.len() * 4,
        "only {refused} were refused"
    );
}

#[test]
fn a_change_is_merged_and_null_takes_away() {
    let plan = br#"{"services":{"a":{"slots":4},"b":{}}}"#;
    let merged = merge_change(plan, br#"{"services":{"a":{"slots":5},"b":null}}"#).unwrap();
    assert_eq!(merged, br#"{"services":{"a":{"slots":5}}}"#);
}
