use super::*;
use types::{Milliseconds, ResultCode};

#[test]
fn each_result_code_has_retry_after_exactly_where_a_retry_helps() {
    for code in ResultCode::ALL {
        let response = Response::result(*code, "why");
        let retry_after = response
            .header("retry-after")
            .map(|value| value.parse::<u64>().expect("seconds"));
        assert_eq!(
            retry_after,
            code.comes_back().map(|span| span.0 / 1000),
            "{code}"
        );
        let later = Response::result_after(*code, "why", Milliseconds(2500));
        let retry_after = later
            .header("retry-after")
            .map(|value| value.parse::<u64>().expect("seconds"));
        assert_eq!(retry_after, code.comes_back().map(|_| 3), "{code}, later");
        // A client that is rejected for now, before its request ran, is told when to retry.
        let is_temporary = matches!(code.http_status(), 429 | 503 | 504);
        assert!(
            !is_temporary || retry_after.is_some(),
            "{code} has no retry-after"
        );
    }
}
