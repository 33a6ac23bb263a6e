use super::*;
use yare::parameterized;

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nweight-versions: 3\nid:3\ndata: c\ndata: d\n\nid: 4\rdata: e\r\r";
const BLOCKS: [&[u8]; 4] = [
    b"id: 1\ndata: a\n\n",
    b"id: 2\r\ndata: b\r\n\r\n",
    b"weight-versions: 3\nid:3\ndata: c\ndata: d\n\n",
    b"id: 4\rdata: e\r\r",
];

/// The blocks of a stream that comes in parts of this size.
fn blocks_of(stream: &[u8], size: usize) -> (Vec<Bytes>, Bytes) {
    let mut splitter = EventSplitter::default();
    let mut blocks = vec![];
    for part in stream.chunks(size) {
        splitter.push(part);
        blocks.extend(std::iter::from_fn(|| {
            splitter.next_block().expect("short blocks")
        }));
    }
    (blocks, splitter.take_rest())
}

#[parameterized(
    at_once = { 1000 },
    byte_by_byte = { 1 },
    in_fives = { 5 },
    in_sevens = { 7 },
)]
fn blocks_come_out_complete_however_they_arrive(size: usize) {
    let (blocks, rest) = blocks_of(STREAM, size);
    assert_eq!(blocks, BLOCKS);
    assert!(rest.is_empty());
}

#[test]
fn a_part_of_a_block_stays_behind() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    let first = splitter.next_block().expect("short");
    assert_eq!(first.as_deref(), Some(&b"id: 1\ndata: a\n\n"[..]));
    assert_eq!(splitter.next_block(), Ok(None));
    assert_eq!(&splitter.take_rest()[..], b"id: 2\ndata: b\n");
}

#[parameterized(
    line_feeds = { b"a\n\n", 3 },
    both = { b"a\r\n\r\n", 5 },
    carriage_returns = { b"a\r\r", 3 },
    line_feed_then_both = { b"a\n\r\n", 4 },
    behind_blank_lines = { b"\n\r\n\ra\n\n", 7 },
)]
fn a_block_comes_out_with_the_last_byte_of_its_end_and_not_before(block: &[u8], length: usize) {
    let mut splitter = EventSplitter::default();
    let (before, last) = block.split_at(length - 1);
    splitter.push(before);
    assert_eq!(splitter.next_block(), Ok(None));
    splitter.push(last);
    assert_eq!(
        splitter.next_block().expect("short").as_deref(),
        Some(block)
    );
}

#[parameterized(
    both = { b"a\r\n\r", true },
    line_feed_then_both = { b"a\n\r", true },
    without_the_blank_line = { b"a\r\n", false },
)]
fn a_carriage_return_ends_the_last_block_once_no_line_feed_can_follow(
    bytes: &[u8],
    is_block: bool,
) {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes);
    assert_eq!(splitter.next_block(), Ok(None));
    splitter.end();
    let block = splitter.next_block().expect("short");
    assert_eq!(block.as_deref(), is_block.then_some(bytes));
}

#[test]
fn a_long_block_comes_out_complete_and_one_that_is_too_long_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'x'; MAX_BLOCK_BYTES]);
    assert_eq!(splitter.next_block(), Ok(None));
    splitter.push(b"\n\n");
    let block = splitter.next_block().expect("its end is there");
    assert_eq!(block.map(|block| block.len()), Some(MAX_BLOCK_BYTES + 2));
    splitter.push(&vec![b'x'; MAX_BLOCK_BYTES + 1]);
    assert_eq!(splitter.next_block(), Err(BlockTooLong));
}
