//! The readers of servers' answers, from a fixed seed: events, pieces and tokens out of bent bytes.

use bytes::Bytes;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use router::{ChunkReader, EventReader, EventSplitter, RelayedLine, Token};
use types::TokenKey;

const CASES: u32 = 4000;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// What comes out of a splitter that gets these bytes in parts of this size: blocks, and the rest.
fn split(bytes: &[u8], size: usize) -> (Vec<Bytes>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut blocks = vec![];
    for part in bytes.chunks(size) {
        splitter.push(part);
        blocks.extend(std::iter::from_fn(|| {
            splitter.next_block().expect("short blocks")
        }));
    }
    (blocks, splitter.take_rest().to_vec())
}

fn ends_with_blank_line(block: &[u8]) -> bool {
    let ends: [&[u8]; 4] = [b"\n\n", b"\n\r\n", b"\r\r", b"\n\r"];
    ends.iter().any(|end| block.ends_with(end))
}

/// Lines and parts of lines of streams, proper ones and others.
fn stream_parts() -> impl Strategy<Value = &'static [u8]> {
    proptest::sample::select(vec![
        &b"id: 1\n"[..],
        b"id:2\r\n",
        b"id: 3\r",
        b"id: 40\n",
        b"id: x\n",
        b"id:\n",
        b"data: a\n",
        b"data: b\r\n",
        b"data: c\r",
        b"event: token\n",
        b"retry: 3\n",
        b"weight-versions: 3\n",
        b": note\n",
        b"\n",
        b"\n",
        b"\r\n",
        b"\r",
        b"HTTP/1.1 200 OK\r\n",
        b"Content-Length: 3\r\n",
        b"certainly not\n",
        b"\xc3\xa9",
        b"\xff",
        b"\x00",
    ])
}

#[test]
fn blocks_are_the_same_however_the_bytes_arrive_and_none_is_lost_or_doubled() {
    let streams = (proptest::collection::vec(stream_parts(), 0..40), 1usize..9);
    let outcome = runner().run(&streams, |(parts, size)| {
        let bytes = parts.concat();
        let (blocks, rest) = split(&bytes, size);
        let (at_once, rest_at_once) = split(&bytes, bytes.len().max(1));
        prop_assert_eq!(&blocks, &at_once);
        prop_assert_eq!(&rest, &rest_at_once);
        let joined: Vec<u8> = blocks
            .iter()
            .flat_map(|block| block.to_vec())
            .chain(rest.clone())
            .collect();
        prop_assert_eq!(joined, bytes);
        for block in &blocks {
            prop_assert!(ends_with_blank_line(block), "{:?}", block);
        }
        Ok(())
    });
    outcome.unwrap();
}

/// The ids and the number of data lines of an event, by a reading of its own.
fn fields_of(event: &[u8]) -> (Vec<String>, usize) {
    let text = std::str::from_utf8(event).expect("an event is text");
    let text = text.replace("\r\n", "\n").replace('\r', "\n");
    let ids = text.lines().filter_map(|line| line.strip_prefix("id:"));
    let data = text.lines().filter(|line| line.starts_with("data"));
    (ids.map(|id| id.trim().to_owned()).collect(), data.count())
}

#[test]
fn whatever_bytes_come_only_events_with_rising_numbers_are_read_and_they_are_as_sent() {
    let streams = (
        proptest::collection::vec(stream_parts(), 0..60),
        1usize..9,
        proptest::option::of(0u64..4),
    );
    let outcome = runner().run(&streams, |(parts, size, received)| {
        let bytes = parts.concat();
        let mut reader = EventReader::new(received);
        let mut last = received;
        let mut position = 0;
        'stream: for part in bytes.chunks(size) {
            reader.push(part);
            loop {
                let event = match reader.next_event() {
                    Ok(Some(event)) => event,
                    Ok(None) => break,
                    Err(_) => break 'stream,
                };
                let (ids, data_count) = fields_of(&event.bytes);
                prop_assert_eq!(ids, [event.id.to_string()]);
                prop_assert!(data_count > 0);
                prop_assert!(last.is_none_or(|last| event.id > last));
                last = Some(event.id);
                let found = bytes[position..]
                    .windows(event.bytes.len())
                    .position(|window| window == &event.bytes[..]);
                position += found.expect("it was sent") + event.bytes.len();
            }
        }
        if let Ok(Some(event)) = reader.finish() {
            prop_assert!(ends_with_blank_line(&event.bytes), "{:?}", event.bytes);
            prop_assert!(bytes.ends_with(&event.bytes));
            prop_assert!(last.is_none_or(|last| event.id > last));
        }
        Ok(())
    });
    outcome.unwrap();
}

#[test]
fn pieces_pass_only_in_their_request_and_of_their_own_run() {
    let lines = (
        0u64..6,
        any::<bool>(),
        0usize..6,
        proptest::option::weighted(0.1, any::<proptest::sample::Index>()),
    );
    let outcome = runner().run(
        &(0u64..3, proptest::collection::vec(lines, 0..12)),
        |(from, lines)| {
            let mut reader = ChunkReader::new("ours".into(), from);
            let mut next = from;
            for (number, is_ours, kind, cut) in lines {
                let run = if is_ours { "ours" } else { "other" };
                let line = match kind {
                    0 => serde_json::json!({"run": run, "end": true, "pieces": number}),
                    1 => serde_json::json!({"run": run, "n": number}),
                    _ => serde_json::json!({"run": run, "n": number, "text": "t"}),
                };
                let mut line = format!("{line}\n").into_bytes();
                let is_cut = cut.is_some();
                if let Some(place) = cut {
                    line.truncate(place.index(line.len()));
                }
                match reader.take(&line) {
                    RelayedLine::Chunk(_) => {
                        prop_assert!(is_ours && kind > 1 && number == next && !is_cut);
                        next += 1;
                    }
                    RelayedLine::End(_) => {
                        prop_assert!(is_ours && kind == 0 && number == next && !is_cut);
                        return Ok(());
                    }
                    RelayedLine::Abort(..) => return Ok(()),
                }
            }
            Ok(())
        },
    );
    outcome.unwrap();
}

#[test]
fn a_token_of_another_key_server_or_run_never_opens_as_this_one() {
    let token = Token {
        request: "o-1".into(),
        service: "s".into(),
        server: "10.0.0.1:80".into(),
        run: "r".into(),
    };
    let text = token.seal(&TokenKey([7; 32]));
    let bends = (
        any::<proptest::sample::Index>(),
        "[0-9a-f]",
        any::<u8>(),
        0usize..3,
    );
    let outcome = runner().run(&bends, |(place, digit, key, how)| {
        let mut bent = text.clone();
        let place = place.index(text.len());
        let opening_key = match how {
            0 => {
                bent.replace_range(place..=place, &digit);
                TokenKey([7; 32])
            }
            1 => {
                bent.truncate(place);
                TokenKey([7; 32])
            }
            _ => TokenKey([key; 32]),
        };
        let is_same = bent == text && opening_key == TokenKey([7; 32]);
        prop_assert_eq!(
            Token::open(&bent, &opening_key),
            is_same.then(|| token.clone())
        );
        Ok(())
    });
    outcome.unwrap();
}
