use super::*;
use yare::parameterized;

fn read(stream: &[u8], received: Option<u64>) -> (Vec<StreamEvent>, Option<EventError>) {
    let mut reader = EventReader::new(received);
    reader.push(stream);
    let mut events = vec![];
    loop {
        match reader.next_event() {
            Ok(Some(event)) => events.push(event),
            Ok(None) => return (events, None),
            Err(malformed) => return (events, Some(malformed.error)),
        }
    }
}

#[parameterized(
    plain = { b"id: 7\ndata: a\n\n" },
    without_spaces = { b"id:7\ndata:a\n\n" },
    data_first = { b"data: a\nid: 7\n\n" },
    several_lines_of_data = { b"id: 7\ndata: a\ndata: b\ndata\n\n" },
    with_carriage_returns = { b"id: 7\r\ndata: a\r\n\r\n" },
    carriage_returns_alone = { b"id: 7\rdata: a\r\r" },
    an_extension_first = { b"weight-versions: 3\nid: 7\ndata: a\n\n" },
    all_fields = { b": note\nevent: token\nretry: 300\nid: 7\ndata: a\n\n" },
    data_that_look_like_fields = { b"id: 7\ndata: id: 3\n\n" },
    data_that_look_like_a_head = { b"id: 7\ndata: HTTP/1.1 200 OK\n\n" },
    empty_data = { b"id: 7\ndata:\n\n" },
    other_scripts = { "id: 7\ndata: நன்றி\n\n".as_bytes() },
    a_bom = { b"\xef\xbb\xbfid: 7\ndata: a\n\n" },
)]
fn an_event_passes_as_it_was_sent(event: &'static [u8]) {
    let expected = StreamEvent {
        id: 7,
        bytes: Bytes::from_static(event),
    };
    assert_eq!(read(event, None), (vec![expected], None));
}

#[parameterized(
    text = { b"certainly not\n\n", EventError::NoField },
    a_head = { b"HTTP/1.1 200 OK\r\nid: 8\r\ndata: a\r\n\r\n", EventError::NoField },
    a_name_alone = { b"garbage\nid: 8\ndata: a\n\n", EventError::NoField },
    bytes = { b"\xff\xfe\n\n", EventError::NotText },
    bytes_within = { b"id: 8\ndata: \xff\n\n", EventError::NotText },
    no_id = { b"data: a\n\n", EventError::IdCount(0) },
    only_an_extension = { b"x: a\n\n", EventError::IdCount(0) },
    two_ids = { b"id: 8\nid: 9\ndata: a\n\n", EventError::IdCount(2) },
    one_id_twice = { b"id: 8\nid: 8\ndata: a\n\n", EventError::IdCount(2) },
    an_empty_id = { b"id:\ndata: a\n\n", EventError::IdNoNumber },
    an_id_without_a_colon = { b"id\ndata: a\n\n", EventError::IdNoNumber },
    a_signed_id = { b"id: +8\ndata: a\n\n", EventError::IdNoNumber },
    not_digits = { b"id: eight\ndata: a\n\n", EventError::IdNoNumber },
    beyond_all_numbers = { b"id: 18446744073709551616\ndata: a\n\n", EventError::IdNoNumber },
    the_same_number = { b"id: 7\ndata: a\n\n", EventError::NotRising { id: 7, last: 7 } },
    an_earlier_number = { b"id: 3\ndata: a\n\n", EventError::NotRising { id: 3, last: 7 } },
    no_data = { b"id: 8\n\n", EventError::NoData },
    a_late_bom = { b"\xef\xbb\xbfid: 8\ndata: a\n\n", EventError::NoField },
)]
fn behind_what_is_no_event_nothing_is_read(malformed: &[u8], error: EventError) {
    let stream = [b"id: 7\ndata: a\n\n", malformed, b"id: 9\ndata: b\n\n"].concat();
    let (events, found) = read(&stream, None);
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    assert_eq!((ids, found), (vec![7], Some(error)));
}

#[test]
fn what_the_client_has_already_does_not_come_out_again() {
    let stream = b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 6\ndata: c\n\n";
    let (events, error) = read(stream, Some(4));
    let ids: Vec<u64> = events.iter().map(|event| event.id).collect();
    assert_eq!((ids, error), (vec![6], None));
}

#[test]
fn comments_and_blank_lines_go_on_with_the_event_behind_them() {
    let (events, error) = read(b": note\n\nretry: 9\n\n\n\nid: 1\ndata: a\n\n", None);
    let bytes: Vec<&[u8]> = events.iter().map(|event| &event.bytes[..]).collect();
    let expected: &[u8] = b": note\n\nretry: 9\n\n\n\nid: 1\ndata: a\n\n";
    assert_eq!((bytes, error), (vec![expected], None));
}

#[test]
fn comments_without_end_are_an_error() {
    let mut reader = EventReader::default();
    let comment = [b":".as_slice(), &vec![b'x'; MAX_BLOCK_BYTES / 2], b"\n\n"].concat();
    reader.push(&comment);
    assert_eq!(reader.next_event(), Ok(None));
    reader.push(&comment);
    let error = reader.next_event().expect_err("too many").error;
    assert_eq!(error, EventError::TooLong(BlockTooLong));
}

#[parameterized(
    nothing = { b"", Ok(None) },
    a_blank_line = { b"\n", Ok(None) },
    a_comment = { b": note\n", Ok(None) },
    a_comment_without_the_end_of_its_line = { b": no", Ok(None) },
    comments_and_blank_lines = { b"\r\n: a\r\r\n:b\n", Ok(None) },
    an_event_whose_line_feed_is_left_out = { b"id: 8\r\ndata: a\r\n\r", Ok(Some(8)) },
    an_event_without_its_blank_line = { b"id: 8\ndata: a\n", Err(EventError::Unterminated) },
    the_same_with_carriage_returns = { b"id: 8\rdata: a\r", Err(EventError::Unterminated) },
    the_same_with_both = { b"id: 8\r\ndata: a\r\n", Err(EventError::Unterminated) },
    an_event_without_the_end_of_its_line = { b"id: 8\ndata: a", Err(EventError::Unterminated) },
    the_first_byte_of_an_event = { b"i", Err(EventError::Unterminated) },
    a_field_that_says_nothing = { b"event: token\n", Err(EventError::Unterminated) },
    a_comment_and_a_part_of_an_event = { b": a\nid: 8\n", Err(EventError::Unterminated) },
    a_part_of_a_character = { b": \xe0\xae", Err(EventError::NotText) },
    text = { b"and more", Err(EventError::Unterminated) },
    no_data = { b"id: 8\n", Err(EventError::Unterminated) },
    an_earlier_number = { b"id: 2\ndata: a\n", Err(EventError::Unterminated) },
    an_earlier_number_whose_line_feed_is_left_out = { b"id: 2\r\ndata: a\r\n\r", Err(EventError::NotRising { id: 2, last: 7 }) },
)]
fn what_is_left_at_the_end_is_an_error_unless_a_blank_line_ends_it_or_it_is_a_comment(
    rest: &[u8],
    expected: Result<Option<u64>, EventError>,
) {
    let mut reader = EventReader::default();
    reader.push(&[b"id: 7\ndata: a\n\n", rest].concat());
    assert_eq!(
        reader.next_event().map(|event| event.map(|it| it.id)),
        Ok(Some(7))
    );
    assert_eq!(reader.next_event(), Ok(None));
    let found = reader.finish();
    let found = found.map(|event| event.map(|it| it.id));
    assert_eq!(found.map_err(|malformed| malformed.error), expected);
}

/// A server breaks off in the last event, whatever ends its lines: with the blank line left out no event comes of it.
#[parameterized(
    line_feeds = { b"id: 8\ndata: abc\n\n", 1 },
    carriage_returns = { b"id: 8\rdata: abc\r\r", 1 },
    both = { b"id: 8\r\ndata: abc\r\n\r\n", 2 },
    behind_a_comment = { b": note\nid: 8\ndata: abc\n\n", 1 },
    first_a_load = { b"weight-versions: 3\nid: 8\ndata: abc\n\n", 1 },
)]
fn no_event_comes_of_one_that_ends_at_any_byte_before_its_blank_line(event: &[u8], blank: usize) {
    for length in 1..=event.len() - blank {
        let mut reader = EventReader::new(None);
        reader.push(b"id: 7\ndata: a\n\n");
        reader.push(&event[..length]);
        assert_eq!(
            reader.next_event().map(|event| event.map(|it| it.id)),
            Ok(Some(7))
        );
        assert_eq!(reader.next_event(), Ok(None));
        let is_comment = event[..length].starts_with(b":") && !event[..length].contains(&b'i');
        let found = reader.finish().map_err(|malformed| malformed.error);
        let expected = if is_comment {
            Ok(None)
        } else {
            Err(EventError::Unterminated)
        };
        assert_eq!(found, expected, "{length} bytes");
    }
}

#[test]
fn what_is_left_of_comments_passes_behind_the_last_event() {
    let mut reader = EventReader::new(None);
    reader.push(b"id: 7\ndata: a\n\n: a\n\n: b");
    assert!(matches!(reader.next_event(), Ok(Some(_))));
    assert_eq!(reader.next_event(), Ok(None));
    assert_eq!(reader.finish(), Ok(None));
    assert_eq!(&reader.take_trailer()[..], b": a\n\n: b");
}
