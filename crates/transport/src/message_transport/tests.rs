use super::*;
use types::Address;
use yare::parameterized;

/// The day `pahana-cut-off-then-read-back`: a control node that had been cut off for 17 s heard nobody for 7 s more,
/// since its peers' connections had been waiting for ever longer before they sent again.
#[parameterized(
    swift = { PostClass::Swift, 1500 },
    bulk = { PostClass::Bulk, 4000 },
)]
fn a_connection_gives_a_dead_path_up_by_itself(class: PostClass, bound_ms: u32) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let peer = Address(listener.local_addr().expect("bound"));
    let stream = connect(peer, class).expect("it listens");
    assert_eq!(
        sockopt::tcp_user_timeout(&stream).expect("an option of TCP"),
        bound_ms
    );
    assert!(stream.nodelay().expect("an option of TCP"));
}
