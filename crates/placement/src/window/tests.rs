use crate::sketch::PrefixHash;
use crate::window::Window;
use types::{Moment, Span};

#[test]
fn arrivals_leave_the_window_one_by_one() {
    let (mut window, prefix, span) = (Window::default(), PrefixHash(1), Span::seconds(5));
    for at in [0, 1000, 2000, 3000] {
        window.arrive(prefix, Moment(at), span);
    }
    assert_eq!(window.count(prefix, Moment(4999), span), 4);
    assert_eq!(window.count(prefix, Moment(5000), span), 3);
    assert_eq!(window.hottest(Moment(8000), span, 9), vec![]);
}
