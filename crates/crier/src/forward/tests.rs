use super::*;
use yare::parameterized;

/// The failure: half of the long prompts of a burst were taken from a server that had them in its queue after
/// twice what was expected, and read by another from the start, which made the queues longer.
#[parameterized(
    reviews = { 1000, 400, 4000 },
    drafts = { 600, 300, 2400 },
    eager = { 100, 50, 2000 },
    long_pauses = { 500, 600, 4800 },
)]
fn a_stream_is_awaited_for_most_of_what_its_caller_waits_and_no_longer(target: u64, gap: u64, caller_waits: u64) {
    let patience = stream_patience(Span(target), Span(gap));
    assert!(patience.0 * 2 > caller_waits, "{} ms: given up too soon", patience.0);
    assert!(patience.0 + 500 < caller_waits, "{} ms: nothing is left for another server", patience.0);
}
