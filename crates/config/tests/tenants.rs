//! Tenants of a plan: validation, and API keys by their digest.

use config::{KeyHasher, OwnPlans, Plan, PlanDialect, PlanError, TenantTable};
use types::ApiKey;
use yare::parameterized;

fn parse(tenants: serde_json::Value) -> Result<Plan, Vec<PlanError>> {
    let plan = serde_json::json!({"services": {"a": {}}, "tenants": tenants});
    OwnPlans.parse(plan.to_string().as_bytes())
}

fn tenant(name: &str, keys: &[&str]) -> serde_json::Value {
    serde_json::json!({"name": name, "api_keys": keys, "rate_per_s": 2.5, "burst": 4.0})
}

#[test]
fn a_plan_without_tenants_means_what_it_did() {
    let plan = OwnPlans
        .parse(br#"{"services":{"a":{}}}"#)
        .expect("a good plan");
    assert!(plan.tenants.is_empty());
    assert!(TenantTable::new(&plan.tenants, KeyHasher::draw()).is_empty());
}

#[test]
fn a_table_finds_the_tenant_of_each_key() {
    let plan = parse(serde_json::json!([
        tenant("one", &["k1", "k2"]),
        tenant("two", &["k3"]),
        tenant("none", &[])
    ]));
    let table = TenantTable::new(&plan.expect("a good plan").tenants, KeyHasher::draw());
    let name = |key: &str| {
        table
            .tenant(&table.digest(&key.into()))
            .map(|tenant| tenant.name.clone())
    };
    assert_eq!(name("k1").as_deref(), Some("one"));
    assert_eq!(name("k2").as_deref(), Some("one"));
    assert_eq!(name("k3").as_deref(), Some("two"));
    assert_eq!(name("k4"), None);
}

#[test]
fn digests_last_from_plan_to_plan_and_mean_nothing_in_another_process() {
    let (own, other) = (KeyHasher::draw(), KeyHasher::draw());
    let key = ApiKey::from("k1");
    assert_eq!(own.digest(&key), own.clone().digest(&key));
    assert_ne!(own.digest(&key), other.digest(&key));
}

#[parameterized(
    shared_key = { serde_json::json!([tenant("one", &["s3cret"]), tenant("two", &["x", "s3cret"])]), &["tenants[1].api_keys[1]"] },
    empty_key = { serde_json::json!([tenant("one", &["s3cret", ""])]), &["tenants[0].api_keys[1]"] },
    empty_name = { serde_json::json!([tenant("", &["s3cret"])]), &["tenants[0].name"] },
    same_name = { serde_json::json!([tenant("one", &["s3cret"]), tenant("one", &[])]), &["tenants[1].name"] },
    rate_below_nothing = { serde_json::json!([{"name": "one", "api_keys": ["s3cret"], "rate_per_s": -1.0}]), &["tenants[0].rate_per_s"] },
    burst_beyond_sense = { serde_json::json!([{"name": "one", "api_keys": ["s3cret"], "burst": 1e300}]), &["tenants[0].burst"] },
    keys_that_are_no_list = { serde_json::json!([{"name": "one", "api_keys": "s3cret"}]), &["tenants[0].api_keys"] },
)]
fn faults_are_listed_by_path_and_show_no_key(tenants: serde_json::Value, paths: &[&str]) {
    let faults = parse(tenants).expect_err("a bad plan");
    assert_eq!(
        faults
            .iter()
            .map(|fault| fault.path.as_str())
            .collect::<Vec<_>>(),
        paths,
        "{faults:?}"
    );
    assert!(!format!("{faults:?}").contains("s3cret"), "{faults:?}");
}

#[test]
fn the_same_key_twice_at_one_tenant_is_no_fault() {
    assert!(parse(serde_json::json!([tenant("one", &["k", "k"])])).is_ok());
}

#[test]
fn neither_plans_nor_tables_show_keys() {
    let plan = parse(serde_json::json!([tenant("one", &["s3cret"])])).expect("a good plan");
    let table = TenantTable::new(&plan.tenants, KeyHasher::draw());
    assert!(!format!("{plan:?} {table:?}").contains("s3cret"));
}
