//! API keys: what they show when printed or compared.

use types::{ApiKey, ApiKeys};

#[test]
fn a_key_is_read_and_never_shown() {
    let key: ApiKey = serde_json::from_str("\"s3cret\"").expect("a key");
    assert_eq!(key, ApiKey::from("s3cret"));
    assert_eq!(format!("{key:?}"), "ApiKey(…)");
    assert_eq!(serde_json::to_string(&key).expect("JSON"), "\"…\"");
}

#[test]
fn a_string_in_place_of_a_list_is_a_fault_that_does_not_show_it() {
    let fault = serde_json::from_str::<ApiKeys>("\"s3cret\"").expect_err("no list");
    assert!(!fault.to_string().contains("s3cret"), "{fault}");
}

#[test]
fn a_key_is_read_from_a_bearer_header_alone() {
    assert_eq!(ApiKey::from_bearer("Bearer abc"), Some(ApiKey::from("abc")));
    assert_eq!(
        ApiKey::from_bearer(" bearer  abc "),
        Some(ApiKey::from("abc"))
    );
    assert_eq!(ApiKey::from_bearer("Basic abc"), None);
    assert_eq!(ApiKey::from_bearer("Bearer "), None);
    assert_eq!(ApiKey::from_bearer("abc"), None);
}
