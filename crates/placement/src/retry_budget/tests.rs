use crate::retry_budget::RetryBudget;
use types::MonotonicInstant;

#[test]
fn a_fifth_and_the_allowance_a_minute_and_no_more() {
    let mut allowance = RetryBudget::new(MonotonicInstant(0));
    let mut spent = 0;
    // Ten minutes, a request each second, a repeat wanted each time.
    for second in 1..=600 {
        allowance.earn(20, 1);
        allowance.accrue(1, MonotonicInstant(second * 1000));
        if allowance.has_one() {
            allowance.spend();
            spent += 1;
        }
    }
    assert!(
        (128..=130).contains(&spent),
        "{spent} of 120 earned and 10 allowed"
    );
    allowance.accrue(1, MonotonicInstant(100_000_000));
    (0..100).for_each(|_| allowance.earn(20, 1));
    let saved = std::iter::from_fn(|| allowance.has_one().then(|| allowance.spend())).count();
    assert_eq!(saved, 2, "what is saved up is bounded");
}
