use super::*;
use yare::parameterized;

#[parameterized(
    plain = { "drafts-2", true },
    address = { "127.0.0.1:80", true },
    empty = { "", false },
    slash = { "a/b", false },
    newline = { "a\nb", false },
)]
fn only_plain_names_are_valid(text: &str, is_valid: bool) {
    assert_eq!(ServiceName::from(text).is_valid(), is_valid);
}
