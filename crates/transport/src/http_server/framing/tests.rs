use super::*;

impl RequestFramer {
    /// A deliberate fault: reads on behind the next line end as if a request began there.
    pub(in crate::http_server) fn resume_behind_rejected(&mut self, limits: &RequestLimits) {
        let rest = &self.buffer[self.checked..];
        let line_length = find(rest, b"\n").map_or(rest.len(), |offset| offset + 1);
        self.buffer.drain(..self.checked + line_length);
        self.released = 0;
        self.checked = 0;
        self.scanned = 0;
        self.body_bytes = 0;
        self.state = FramingState::Head;
        self.advance(limits);
    }
}

use yare::parameterized;

const LIMITS: RequestLimits = RequestLimits {
    header_bytes: 200,
    body_bytes: 40,
};

/// The requests that a framer releases of these bytes, pushed in chunks of this size, and its progress then.
fn framed(text: &str, size: usize) -> (Vec<String>, RequestProgress) {
    let (mut framer, mut requests, mut request) = (RequestFramer::new(), vec![], vec![]);
    for chunk in text.as_bytes().chunks(size) {
        framer.push(chunk, &LIMITS);
        loop {
            while framer.has_releasable() {
                request.extend_from_slice(framer.release(7));
            }
            if framer.progress() != RequestProgress::Complete {
                break;
            }
            requests.push(String::from_utf8(std::mem::take(&mut request)).expect("text"));
            framer.next_request(&LIMITS);
        }
    }
    (requests, framer.progress())
}

const GET: &str = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
const POST: &str = "POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
const CHUNKED: &str = "PUT /p?q HTTP/1.1\r\nhost: a\r\ntransfer-encoding: Chunked\r\n\r\n3\r\nabc\r\n0a;x=y\r\n0\r\n\r\nGET /\r\n0\r\nz: 1\r\n\r\n";
const OLD: &str = "GET / HTTP/1.0\r\n\r\n";
const ABSOLUTE: &str = "GET http://A:80/p HTTP/1.1\r\nhost: a:80\r\n\r\n";
const OPTIONS: &str = "OPTIONS * HTTP/1.1\r\nhost: a\r\n\r\n";

#[test]
fn requests_are_separated_however_their_bytes_come() {
    let sent = [GET, POST, CHUNKED, OLD, ABSOLUTE, OPTIONS, GET];
    for size in [1, 2, 3, 5, 16, 64, 10_000] {
        let (requests, progress) = framed(&sent.concat(), size);
        assert_eq!(
            (requests, progress),
            (sent.map(str::to_owned).to_vec(), RequestProgress::Idle),
            "by {size}"
        );
    }
}

#[test]
fn empty_lines_may_stand_before_a_request() {
    assert_eq!(
        framed(&format!("{GET}\r\n{POST}\r\n\r\n{GET}"), 3).0,
        [GET, POST, GET]
    );
    assert!(matches!(
        framed("\r\n\r\n\r\nGET", 3).1,
        RequestProgress::Rejected(RequestError::Malformed(_))
    ));
}

#[test]
fn progress_says_how_much_has_come() {
    for (text, expected) in [
        ("", RequestProgress::Idle),
        ("\r\n", RequestProgress::Idle),
        ("G", RequestProgress::Head),
        (&GET[..GET.len() - 1], RequestProgress::Head),
        (&POST[..POST.len() - 1], RequestProgress::Body),
        (&CHUNKED[..CHUNKED.len() - 1], RequestProgress::Body),
        (GET, RequestProgress::Idle),
    ] {
        assert_eq!(framed(text, 4).1, expected, "{text}");
    }
}

/// A head with these lines behind its request line and host.
fn head(lines: &str) -> String {
    format!("POST / HTTP/1.1\r\nhost: a\r\n{lines}\r\n")
}

#[parameterized(
    both_lengths = { &head("content-length: 3\r\ntransfer-encoding: chunked\r\n") },
    both_lengths_the_other_way = { &head("transfer-encoding: chunked\r\ncontent-length: 3\r\n") },
    two_lengths = { &head("content-length: 3\r\ncontent-length: 4\r\n") },
    one_length_twice = { &head("content-length: 3\r\ncontent-length: 3\r\n") },
    listed_lengths = { &head("content-length: 3, 3\r\n") },
    signed_length = { &head("content-length: +3\r\n") },
    negative_length = { &head("content-length: -1\r\n") },
    no_number = { &head("content-length: \r\n") },
    endless_length = { &head("content-length: 99999999999999999999\r\n") },
    two_encodings = { &head("transfer-encoding: gzip, chunked\r\n") },
    unknown_encoding = { &head("transfer-encoding: xchunked\r\n") },
    identity = { &head("transfer-encoding: identity\r\n") },
    encoding_twice = { &head("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n") },
    hidden_encoding = { &head("transfer-encoding : chunked\r\n") },
    vertical_tab = { &head("transfer-encoding: \x0bchunked\r\n") },
    folded = { &head("x: 1\r\n transfer-encoding: chunked\r\n") },
    folded_at_once = { &head(" x: 1\r\n") },
    no_colon = { &head("x\r\n") },
    no_name = { &head(": 1\r\n") },
    bare_line_feed = { &head("x: 1\ncontent-length: 3\r\n") },
    bare_carriage_return = { &head("x: 1\rcontent-length: 3\r\n") },
    zero_byte = { &head("x: 1\0\r\n") },
    host_twice = { &head("host: b\r\n") },
    same_host_twice = { &head("Host: a\r\n") },
    no_host = { "GET / HTTP/1.1\r\n\r\n" },
    empty_host = { "GET / HTTP/1.1\r\nhost: \r\n\r\n" },
    chunks_of_old = { "POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n" },
    other_host = { "GET http://b/ HTTP/1.1\r\nhost: a\r\n\r\n" },
    user_in_target = { "GET http://a@b/ HTTP/1.1\r\nhost: b\r\n\r\n" },
    other_scheme = { "GET ftp://a/ HTTP/1.1\r\nhost: a\r\n\r\n" },
    authority = { "CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n" },
    no_path = { "GET x HTTP/1.1\r\nhost: a\r\n\r\n" },
    two_blanks = { "GET  / HTTP/1.1\r\nhost: a\r\n\r\n" },
    four_words = { "GET / x HTTP/1.1\r\nhost: a\r\n\r\n" },
    no_version = { "GET /\r\nhost: a\r\n\r\n" },
    later_version = { "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" },
    odd_version = { "GET / HTTP/1.10\r\nhost: a\r\n\r\n" },
    odd_method = { "G(T / HTTP/1.1\r\nhost: a\r\n\r\n" },
    tab_in_line = { "GET\t/ HTTP/1.1\r\nhost: a\r\n\r\n" },
)]
fn an_ambiguous_head_is_rejected(text: &str) {
    for size in [1, 1000] {
        let (requests, progress) = framed(&format!("{GET}{text}{GET}"), size);
        assert_eq!(requests, [GET]);
        assert!(
            matches!(
                progress,
                RequestProgress::Rejected(RequestError::Malformed(_))
            ),
            "{progress:?}"
        );
    }
}

#[parameterized(
    prefixed = { "0x3\r\nabc\r\n0\r\n\r\n" },
    signed = { "+3\r\nabc\r\n0\r\n\r\n" },
    blank_before = { " 3\r\nabc\r\n0\r\n\r\n" },
    blank_behind = { "3 \r\nabc\r\n0\r\n\r\n" },
    no_digits = { "\r\nabc\r\n0\r\n\r\n" },
    bare_line_feed = { "3\nabc\r\n0\r\n\r\n" },
    carriage_return_in_extension = { "3;x\ry\r\nabc\r\n0\r\n\r\n" },
    too_many_digits = { "0000000000000003\r\nabc\r\n0\r\n\r\n" },
    too_short = { "3\r\nabcd\r\n0\r\n\r\n" },
    too_long = { "4\r\nabc\r\n0\r\n\r\n" },
    torn_trailer = { "3\r\nabc\r\n0\r\nGET / HTTP/1.1\r\n\r\n" },
    long_extension = { &format!("3;{}\r\nabc\r\n0\r\n\r\n", "x".repeat(300)) },
)]
fn a_body_with_malformed_chunks_is_never_complete(chunks: &str) {
    let text = head("transfer-encoding: chunked\r\n") + chunks + GET;
    for size in [1, 1000] {
        let (requests, progress) = framed(&text, size);
        assert!(requests.is_empty(), "{requests:?}");
        assert!(
            matches!(
                progress,
                RequestProgress::Rejected(RequestError::Malformed(_))
            ),
            "{progress:?}"
        );
    }
}

#[test]
fn limits_hold_to_the_byte() {
    let padded = |length: usize| {
        let bare = head("x: \r\n").len();
        head(&format!("x: {}\r\n", "y".repeat(length - bare)))
    };
    assert_eq!(framed(&padded(200), 9).1, RequestProgress::Idle);
    for size in [1, 9, 1000] {
        assert_eq!(
            framed(&padded(201), size).1,
            RequestProgress::Rejected(RequestError::HeadTooLarge)
        );
    }
    // A head that doesn't end is not waited for.
    assert_eq!(
        framed(&"x".repeat(201), 50).1,
        RequestProgress::Rejected(RequestError::HeadTooLarge)
    );
    let body = |length: usize| head(&format!("content-length: {length}\r\n"));
    assert_eq!(framed(&body(40), 9).1, RequestProgress::Body);
    assert_eq!(
        framed(&body(41), 9).1,
        RequestProgress::Rejected(RequestError::BodyTooLarge)
    );
    let chunks = |last: &str| {
        head("transfer-encoding: chunked\r\n") + "14\r\n01234567890123456789\r\n" + last
    };
    assert_eq!(framed(&chunks("14\r\n"), 9).1, RequestProgress::Body);
    assert_eq!(
        framed(&chunks("15\r\n"), 9).1,
        RequestProgress::Rejected(RequestError::BodyTooLarge)
    );
}

#[test]
fn a_changed_limit_binds_the_head_that_is_being_read() {
    let mut framer = RequestFramer::new();
    framer.push(&[b'x'; 150], &LIMITS);
    assert_eq!(framer.progress(), RequestProgress::Head);
    framer.push(
        b"x",
        &RequestLimits {
            header_bytes: 100,
            ..LIMITS
        },
    );
    assert_eq!(
        framer.progress(),
        RequestProgress::Rejected(RequestError::HeadTooLarge)
    );
}
