//! The readers of servers' answers, from a fixed seed: events, pieces and tokens out of bent bytes.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use router::{ChunkReader, EventSplitter, RelayedLine, StreamEvent, Token};
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

fn part(choices: &[&'static str]) -> impl Strategy<Value = &'static str> + use<> {
    proptest::sample::select(choices.to_vec())
}

/// What comes out of a splitter that gets these bytes in parts of this size: events, and the rest.
fn split(bytes: &[u8], size: usize) -> (Vec<StreamEvent>, Vec<u8>) {
    let mut splitter = EventSplitter::default();
    let mut events = vec![];
    for part in bytes.chunks(size) {
        splitter.push(part);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    (events, splitter.rest().to_vec())
}

#[test]
fn events_are_the_same_however_the_bytes_arrive_and_none_is_lost_or_doubled() {
    let parts = part(&[
        "id: 1\n",
        "id:2\r\n",
        "id: x\n",
        "data: a\n",
        "data: b\r\n",
        "\n",
        "\r\n",
        "\r",
        ": note\n",
        "é",
    ]);
    let streams = (proptest::collection::vec(parts, 0..40), 1usize..9);
    let outcome = runner().run(&streams, |(parts, size)| {
        let bytes = parts.concat().into_bytes();
        let (events, rest) = split(&bytes, size);
        let (at_once, rest_at_once) = split(&bytes, bytes.len().max(1));
        prop_assert_eq!(&events, &at_once);
        prop_assert_eq!(&rest, &rest_at_once);
        let joined: Vec<u8> = events
            .iter()
            .flat_map(|event| event.bytes.to_vec())
            .chain(rest.clone())
            .collect();
        prop_assert_eq!(joined, bytes);
        for event in &events {
            prop_assert!(
                event.bytes.ends_with(b"\n\n") || event.bytes.ends_with(b"\n\r\n"),
                "{:?}",
                event
            );
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
