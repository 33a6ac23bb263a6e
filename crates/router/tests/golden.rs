//! What routers say to clients, servers and operators, their settings, metrics and command line, against golden
//! files. `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use config::read_settings;
use placement::ServerEntry;
use quota::{Amount, QuotaClientStatus};
use router::{
    ChunkReader, ClientRequest, EndpointListTiming, LIFE_HEADER, Metrics, NodeTiming, RelayedLine,
    ResumeRequest, RunRecord, RunRequest, ServerListReport, ServerReport, Settings, Token, run_id,
};
use schematic::Config;
use std::sync::atomic::Ordering;
use types::TokenKey;
use types::{RequestId, ResultCode, RunId, ServerName, ServiceName, TenantName, ZoneName};

const PROGRAM: &str = env!("CARGO_BIN_EXE_router");

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it is JSON")
}

fn run_request(incarnation: Option<u64>) -> RunRequest {
    RunRequest {
        run: RunId::from("run-1"),
        service: ServiceName::from("drafts"),
        prompt: "once upon a time".into(),
        max_pieces: 3,
        keep: true,
        incarnation,
    }
}

fn run_pieces() -> [RunRecord; 2] {
    [
        RunRecord::Chunk {
            run: RunId::from("run-1"),
            n: 0,
            text: "there".into(),
        },
        RunRecord::End {
            run: RunId::from("run-1"),
            end: true,
            pieces: 1,
        },
    ]
}

fn client_request() -> ClientRequest {
    ClientRequest {
        id: RequestId::from("r-1"),
        service: ServiceName::from("drafts"),
        prompt: "once upon a time".into(),
        max_pieces: 3,
    }
}

fn resume_request() -> ResumeRequest {
    ResumeRequest {
        token: "abcd".into(),
        from: 2,
    }
}

fn server_report() -> ServerReport {
    ServerReport {
        incarnation: 1,
        up_ms: 2,
        running: 3,
        waiting: 4,
        slots: 5,
        weights: "w-1".into(),
    }
}

fn server_list() -> ServerListReport {
    ServerListReport {
        servers: vec![ServerEntry {
            server: ServerName::from("model-0.life-3"),
            address: Some("127.0.0.1:8101".into()),
            slots: Some(16),
            warm_up_left: None,
            zone: ZoneName::from("north"),
            pool: "model".into(),
            is_draining: false,
        }],
    }
}

#[test]
fn what_clients_and_servers_exchange_has_its_golden_json() {
    let [piece, end] = run_pieces();
    let lines = [
        json(&client_request()),
        json(&resume_request()),
        json(&run_request(Some(7))),
        json(&run_request(None)),
        json(&piece),
        json(&end),
        json(&server_report()),
        json(&server_list()),
        json(&LIFE_HEADER),
    ];
    let golden = golden_file::compare_json_lines("interface.jsonl", &lines);
    fn read<T: serde::de::DeserializeOwned>(line: &str) -> T {
        serde_json::from_str(line).expect("it reads back")
    }
    assert_eq!(read::<ClientRequest>(&golden[0]), client_request());
    assert_eq!(read::<ResumeRequest>(&golden[1]), resume_request());
    assert_eq!(read::<RunRequest>(&golden[2]), run_request(Some(7)));
    assert_eq!(read::<RunRequest>(&golden[3]), run_request(None));
    assert_eq!(read::<RunRecord>(&golden[4]), piece);
    assert_eq!(read::<RunRecord>(&golden[5]), end);
    assert_eq!(read::<ServerReport>(&golden[6]), server_report());
    assert_eq!(read::<ServerListReport>(&golden[7]), server_list());
    let without = r#"{"id":"r-1","service":"drafts","prompt":"p"}"#;
    assert_eq!(read::<ClientRequest>(without).max_pieces, 256);
}

#[test]
fn what_clients_are_given_of_a_stream_is_as_ever() {
    let mut reader = ChunkReader::new(RunId::from("run-1"), 0);
    let mut given = String::new();
    for piece in run_pieces() {
        match reader.take(format!("{}\n", json(&piece)).as_bytes()) {
            RelayedLine::Chunk(line) | RelayedLine::End(line) => given.push_str(&line),
            RelayedLine::Abort(code, why) => panic!("{code}: {why}"),
        }
    }
    golden_file::compare_text("stream.jsonl", &given);
}

/// Clients hold tokens over a change of builds.
#[test]
fn tokens_have_their_golden_text_and_open() {
    let token = Token {
        request: RequestId::from("r-1"),
        service: ServiceName::from("drafts"),
        server: ServerName::from("127.0.0.1:8101"),
        run: run_id([0x1f; 16]),
    };
    let key = TokenKey([0x5a; 32]);
    let golden = golden_file::compare_json_lines("token.txt", &[token.seal(&key)]);
    assert_eq!(Token::open(&golden[0], &key), Some(token));
}

#[test]
fn held_credit_has_its_golden_json() {
    let amount = |thousandths: u64| Amount { thousandths };
    let credit = QuotaClientStatus {
        tenant: TenantName::from("acme"),
        rate: amount(1),
        burst: amount(2),
        available: amount(3),
        demand: amount(4),
        admitted: 5,
        over_quota: 6,
        unknown: 7,
    };
    golden_file::compare_json_lines("held-credit.jsonl", &[json(&credit)]);
}

#[test]
fn metrics_have_their_golden_text() {
    let metrics = Metrics::default();
    let codes = [
        ResultCode::Unauthorized,
        ResultCode::OverQuota,
        ResultCode::QuotaUnknown,
        ResultCode::Crowded,
        ResultCode::Unknown,
    ];
    codes.iter().for_each(|code| metrics.refuse(*code));
    let counters = [
        (&metrics.received, 11),
        (&metrics.complete, 12),
        (&metrics.broken, 13),
        (&metrics.repeats, 14),
        (&metrics.resumed, 15),
        (&metrics.copies, 16),
        (&metrics.placed_warm, 17),
        (&metrics.placed_match, 18),
        (&metrics.placed_other, 19),
        (&metrics.in_hand, 20),
        (&metrics.epoch, 21),
        (&metrics.may_act, 22),
        (&metrics.gone, 23),
    ];
    for (counter, value) in counters {
        counter.store(value, Ordering::Relaxed);
    }
    golden_file::compare_text("metrics.txt", &metrics.text());
}

#[test]
fn settings_have_their_golden_keys_and_defaults() {
    let defaults = <Settings as Config>::default_partial();
    let text = serde_json::to_string_pretty(&defaults).expect("settings are JSON");
    golden_file::compare_text("settings-defaults.json", &format!("{text}\n"));
    let mut keys: Vec<String> = <Settings as Config>::settings().into_keys().collect();
    keys.sort();
    golden_file::compare_json_lines("settings-keys.txt", &keys);
}

#[test]
fn a_settings_file_with_every_key_reads_as_ever() {
    let file = golden_file::folder().join("settings.toml");
    let text = String::from_utf8(golden_file::read("settings.toml")).expect("UTF-8");
    let written = text.lines().filter(|line| line.contains(" = ")).count();
    assert_eq!(written, <Settings as Config>::settings().len());
    let settings = read_settings::<Settings>(Some(&file)).expect("each key is known");
    golden_file::compare_text("settings.txt", &golden_file::values_of(&settings));
}

#[test]
fn the_command_line_is_as_ever() {
    golden_file::compare_text("command-line.txt", &golden_file::command_line(PROGRAM, &[]));
}

#[test]
fn exit_codes_are_as_ever() {
    let unused = "127.0.0.1:1";
    let missing = ["serve", "--settings", "no-such-file.toml"];
    assert_eq!(golden_file::exit_code(PROGRAM, &missing), Some(2));
    assert_eq!(golden_file::exit_code(PROGRAM, &["no-such-task"]), Some(2));
    assert_eq!(
        golden_file::exit_code(PROGRAM, &["believes", "--at", unused]),
        Some(1)
    );
    assert_eq!(golden_file::exit_code(PROGRAM, &["replay"]), Some(0));
    assert_eq!(golden_file::exit_code(PROGRAM, &["--version"]), Some(0));
}

#[test]
fn the_spans_and_bounds_of_a_router_are_as_ever() {
    let node = golden_file::values_of(&NodeTiming::default());
    let list = golden_file::values_of(&EndpointListTiming::default());
    golden_file::compare_text("timing.txt", &format!("{node}{list}"));
}
