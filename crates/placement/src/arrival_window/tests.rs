use crate::arrival_window::ArrivalWindow;
use crate::sketch::PrefixHash;
use types::{Milliseconds, MonotonicInstant};

#[test]
fn arrivals_leave_the_window_one_by_one() {
    let (mut window, prefix, span) = (
        ArrivalWindow::default(),
        PrefixHash(1),
        Milliseconds::seconds(5),
    );
    for at in [0, 1000, 2000, 3000] {
        window.arrive(prefix, MonotonicInstant(at), span);
    }
    assert_eq!(window.count(prefix, MonotonicInstant(4999), span), 4);
    assert_eq!(window.count(prefix, MonotonicInstant(5000), span), 3);
    assert_eq!(window.hottest(MonotonicInstant(8000), span, 9), vec![]);
}
