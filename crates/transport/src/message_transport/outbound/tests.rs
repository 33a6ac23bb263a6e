use super::*;
use std::net::TcpListener;
use yare::parameterized;

/// The day `pahana-cut-off-then-read-back`: a control node that had been partitioned for 17 s received nothing for
/// 7 s more, since its peers' connections had backed off further and further before they sent again.
#[parameterized(
    control = { MessageClass::Control, 1500 },
    bulk = { MessageClass::Bulk, 4000 },
)]
fn a_connection_over_a_dead_path_fails_by_itself(class: MessageClass, user_timeout_ms: u32) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = Address(listener.local_addr().expect("bound"));
    let stream = connect(peer, class).expect("it listens");
    assert_eq!(
        sockopt::tcp_user_timeout(&stream).expect("an option of TCP"),
        user_timeout_ms
    );
    assert!(stream.nodelay().expect("an option of TCP"));
}
