//! Urgency: more urgent requests are placed before less urgent ones.

use placement::RequestCost;
use types::Milliseconds;
use yare::parameterized;

#[parameterized(
    nothing_told = { 0, 0, 0 },
    a_question = { 600, 800, 0 },
    a_longer_question = { 1600, 800, 2 },
    a_draft = { 12_000, 800, 4 },
    the_longest = { 54_600, 800, 7 },
    the_same_draft_with_more_time = { 12_000, 6400, 1 },
    beyond_all_classes = { u32::MAX, 1, 9 },
)]
fn the_shorter_against_its_target_goes_first(prompt_tokens: u32, target: u64, class: u8) {
    let request_cost = RequestCost {
        prompt_tokens,
        target: Milliseconds(target),
        ..RequestCost::default()
    };
    assert_eq!(request_cost.urgency(), class);
}
