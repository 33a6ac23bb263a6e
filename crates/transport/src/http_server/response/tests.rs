use super::*;
use types::{Milliseconds, ResultCode};

#[test]
fn each_code_tells_when_to_come_back_exactly_where_that_helps() {
    for code in ResultCode::ALL {
        let response = Response::result(*code, "why");
        let said = response
            .header("retry-after")
            .map(|value| value.parse::<u64>().expect("seconds"));
        assert_eq!(said, code.comes_back().map(|span| span.0 / 1000), "{code}");
        let later = Response::result_after(*code, "why", Milliseconds(2500));
        let said = later
            .header("retry-after")
            .map(|value| value.parse::<u64>().expect("seconds"));
        assert_eq!(said, code.comes_back().map(|_| 3), "{code}, later");
        // Whoever is turned away for now, unrun, is told when to come back.
        let is_for_now = matches!(code.http_status(), 429 | 503 | 504);
        assert!(
            !is_for_now || said.is_some(),
            "{code} leaves its client to guess"
        );
    }
}
