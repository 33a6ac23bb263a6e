use super::*;
use yare::parameterized;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid:3\ndata: c\ndata: d\n\n";

#[parameterized(
    at_once = { 1000 },
    byte_by_byte = { 1 },
    in_fives = { 5 },
    in_sevens = { 7 },
)]
fn events_come_out_whole_however_they_arrive(size: usize) {
    let mut splitter = EventSplitter::default();
    let mut events = vec![];
    for piece in STREAM.chunks(size) {
        splitter.push(piece);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    assert_eq!(
        events.iter().map(|event| event.id).collect::<Vec<_>>(),
        [Some(1), Some(2), Some(3)]
    );
    let bytes: Vec<u8> = events
        .iter()
        .flat_map(|event| event.bytes.to_vec())
        .collect();
    assert_eq!(bytes, STREAM);
    assert!(splitter.rest().is_empty());
}

#[test]
fn a_part_of_an_event_is_kept_back() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(splitter.next_event().and_then(|event| event.id), Some(1));
    assert_eq!(splitter.next_event(), None);
    assert_eq!(&splitter.rest()[..], b"id: 2\ndata: b\n");
}
