//! Data folders of a controller, what it tells operators of them, its settings and its command line, against golden
//! files. `COBALTFALL_WRITE_GOLDEN=1` in the environment writes them anew.
//!
//! The folder `log` holds a log that no snapshot has replaced yet, with every kind of record and, in its changes,
//! every kind of command; the folder `snapshot` holds a snapshot and a log after it. Zeros at the end of a log's
//! files are room for more and left out of the golden files.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use config::read_settings;
use config::{Command, ConfigStateMachine, OriginalCommand, Proposal, TenantTable, parse_plan};
use controller::{
    Controller, ControllerInput, ControllerOutput, ControllerTiming, DiscoveryTiming, DiskEvent,
    DiskThread, OperatorRequest, PeerDiscovery, Quorum, RequestAge, Settings,
};
use quota::{Amount, QuotaUsage};
use replication::{
    ChainPosition, Change, ChangeRequestId, ProposalNumber, Record, RecoveredRecords, Replica,
    StateMachine, View, ViewProposal, Voter,
};
use schematic::Config;
use std::collections::BTreeMap;
use std::fs;
use std::path::Path;
use std::time::Duration;
use storage::Storage;
use types::ConfigEpoch;
use types::{
    Address, DiskId, Milliseconds, MonotonicInstant, SequenceNumber, TenantName, TokenKey,
    ViewNumber, ZoneName,
};
use wire::Query;

const PROGRAM: &str = env!("CARGO_BIN_EXE_controller");
/// Longer than any disk takes here; a fault of the disk ends the test at once.
const PATIENCE: Duration = Duration::from_secs(60);
/// The size that a log's file is made with.
const LOG_FILE_BYTES: u64 = 1 << 20;

const DISK: DiskId = DiskId(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

fn me() -> Voter {
    Voter {
        address: Address::loopback(7101),
        disk: DISK,
    }
}

fn view() -> View {
    let position = ChainPosition {
        voter: me(),
        is_caught_up: true,
    };
    View {
        epoch: ViewNumber(1),
        chain: vec![position],
        voters: vec![me()],
        reserve: vec![],
    }
}

/// Proposals of every kind, in an order in which each is accepted.
fn proposals() -> Vec<Vec<u8>> {
    golden_file::read_entries("../../../config/tests/golden/proposals.txt")
        .into_iter()
        .map(|(_, bytes)| bytes)
        .collect()
}

fn changes(proposals: &[Vec<u8>], first: u64) -> Vec<Record> {
    let change = |(place, body): (usize, &Vec<u8>)| Record::Change {
        change: Change {
            seq: SequenceNumber(first + place as u64),
            origin_view: ViewNumber(1),
            request_id: ChangeRequestId {
                origin: Address::loopback(7104),
                number: 100 + place as u64,
            },
            body: body.clone(),
        },
    };
    proposals.iter().enumerate().map(change).collect()
}

fn ballots() -> Vec<Record> {
    let proposal_number = ProposalNumber {
        count: 3,
        proposer: DISK.0,
    };
    let next = View {
        epoch: ViewNumber(2),
        ..view()
    };
    let proposal = ViewProposal {
        proposal_number,
        view: next,
    };
    vec![
        Record::Promised {
            instance: ViewNumber(2),
            proposal_number,
        },
        Record::Accepted { proposal },
    ]
}

/// What is written to a folder, write by write, and whether a write replaces all before.
type Writes = Vec<(Vec<Record>, bool)>;

fn writes_of_log() -> Writes {
    let first = vec![Record::View { view: view() }];
    vec![
        (first, false),
        (changes(&proposals(), 1), false),
        (ballots(), false),
    ]
}

const CHANGES_IN_SNAPSHOT: usize = 8;

fn writes_of_snapshot() -> Writes {
    let proposals = proposals();
    let (before, after) = proposals.split_at(CHANGES_IN_SNAPSHOT);
    let mut config_state = ConfigStateMachine::default();
    for body in before {
        config_state.apply(body);
    }
    let snapshot = Record::Snapshot {
        last: SequenceNumber(CHANGES_IN_SNAPSHOT as u64),
        origin_view: ViewNumber(1),
        body: config_state.snapshot(),
    };
    let complete = vec![snapshot, Record::View { view: view() }];
    vec![
        (vec![Record::View { view: view() }], false),
        (changes(before, 1), false),
        (complete, true),
        (changes(after, CHANGES_IN_SNAPSHOT as u64 + 1), false),
        (ballots(), false),
    ]
}

/// What is in force of writes: the last that replaces all before it, and those after.
fn records_in_force(writes: &Writes) -> Vec<Record> {
    let mut records = vec![];
    for (written, replaces_all) in writes {
        if *replaces_all {
            records.clear();
        }
        records.extend(written.iter().cloned());
    }
    records
}

/// Opens a folder as a controller does; gives the disk's thread and what it found.
fn open(
    folder: &Path,
) -> (
    DiskThread,
    std::sync::mpsc::Receiver<DiskEvent>,
    RecoveredRecords,
) {
    let (sender, events) = std::sync::mpsc::channel();
    let notify = move |_, event| drop(sender.send(event));
    let thread = DiskThread::open(folder, notify).expect("the folder can be opened");
    match events.recv_timeout(PATIENCE) {
        Ok(DiskEvent::Ready { disk, recovered }) => {
            assert_eq!(disk, DISK);
            (thread, events, recovered)
        }
        other => panic!("the folder is not ready: {other:?}"),
    }
}

fn write_folder(folder: &Path, writes: &Writes) {
    drop(Storage::open(folder, DISK).expect("a new folder"));
    let (thread, events, recovered) = open(folder);
    assert_eq!(recovered.records, []);
    for (place, (records, replaces_all)) in writes.iter().enumerate() {
        let number = place as u64 + 1;
        thread.write(number, records.clone(), *replaces_all);
        match events.recv_timeout(PATIENCE) {
            Ok(DiskEvent::Written { id }) => assert_eq!(id, number),
            other => panic!("write {number}: {other:?}"),
        }
    }
}

/// All files below a folder by their names from there, without zeros at the end of a log's.
fn files(folder: &Path) -> BTreeMap<String, Vec<u8>> {
    let mut found = BTreeMap::new();
    for entry in fs::read_dir(folder).expect("a folder") {
        let entry = entry.expect("an entry");
        let name = entry.file_name().to_string_lossy().into_owned();
        if entry.path().is_dir() {
            for (inner, mut bytes) in files(&entry.path()) {
                let end = bytes
                    .iter()
                    .rposition(|byte| *byte != 0)
                    .map_or(0, |last| last + 1);
                bytes.truncate(end);
                found.insert(format!("{name}/{inner}"), bytes);
            }
        } else {
            found.insert(name, fs::read(entry.path()).expect("a file"));
        }
    }
    found
}

/// Copies a golden folder, so that it can be opened.
fn copy_golden(name: &str, to: &Path) {
    for (file, bytes) in files(&golden_file::folder().join(name)) {
        let path = to.join(&file);
        fs::create_dir_all(path.parent().expect("a folder")).expect("it can be made");
        fs::write(&path, bytes).expect("it can be written");
        if file.contains('/') {
            let log = fs::OpenOptions::new()
                .write(true)
                .open(&path)
                .expect("a log");
            log.set_len(LOG_FILE_BYTES).expect("it can be made longer");
        }
    }
}

fn compare_folder(name: &str, writes: &Writes) {
    let fresh = tempfile::tempdir().expect("a folder");
    write_folder(fresh.path(), writes);
    if golden_file::is_writing() {
        let golden = golden_file::folder().join(name);
        let _ = fs::remove_dir_all(&golden);
        for (file, bytes) in files(fresh.path()) {
            let path = golden.join(file);
            fs::create_dir_all(path.parent().expect("a folder")).expect("it can be made");
            fs::write(path, bytes).expect("it can be written");
        }
    }
    let (now, golden) = (
        files(fresh.path()),
        files(&golden_file::folder().join(name)),
    );
    assert!(
        now.keys().eq(golden.keys()),
        "{:?}, {:?}",
        now.keys(),
        golden.keys()
    );
    for (file, bytes) in &now {
        assert!(
            golden[file] == *bytes,
            "{name}/{file} is written otherwise than it was"
        );
    }
}

/// What a copy of a golden folder gives back.
fn recovered(name: &str) -> RecoveredRecords {
    let copy = tempfile::tempdir().expect("a folder");
    copy_golden(name, copy.path());
    let (_thread, _events, recovered) = open(copy.path());
    recovered
}

fn controller(recovered: RecoveredRecords) -> Controller {
    let mut timing = ControllerTiming {
        quorum: Quorum::Holders,
        ..ControllerTiming::default()
    };
    (
        timing.replica.min_chain_length,
        timing.replica.target_voters,
    ) = (1, 1);
    let now = MonotonicInstant(10_000);
    let founders = vec![me().address];
    let replica = Replica::new(
        me(),
        founders,
        timing.replica,
        recovered,
        ConfigStateMachine::default(),
        now,
    )
    .expect("a sound disk");
    let contacts = PeerDiscovery::new(me().address, None, vec![], now);
    Controller::new(replica, contacts, timing, TokenKey([3; 32]), 1, now)
}

fn check_ledger(config_state: &ConfigStateMachine) {
    assert_eq!(
        (config_state.epoch, config_state.plan_epoch),
        (ConfigEpoch(11), ConfigEpoch(4))
    );
    assert_eq!(config_state.revision, 2);
    let withdrawn: Vec<ZoneName> = vec!["north".into(), "south".into()];
    assert_eq!(config_state.withdrawn, withdrawn);
    assert_eq!(config_state.key, Some(TokenKey([0x5a; 32])));
    let members = vec![Address::loopback(7201), Address::loopback(7202)];
    assert_eq!(config_state.membership.members, members);
    let plan = parse_plan(&config_state.plan).expect("a plan");
    assert_eq!(plan.services["drafts"].slots, 5);
    assert_eq!(plan.tenants[0].name, "acme");
    let hasher = config::KeyHasher::draw();
    let tenants = TenantTable::new(&plan.tenants, hasher);
    let digest = tenants.digest(&types::ApiKey::from("k-1"));
    let owner = tenants.tenant(&digest).map(|tenant| tenant.name.as_str());
    assert_eq!(owner, Some("acme"));
    assert_eq!(config_state.history.entries.len(), 7);
    let restored = OriginalCommand::Restore("north".into());
    assert_eq!(config_state.original_command(ConfigEpoch(7)), Ok(restored));
}

#[test]
fn a_golden_log_is_written_and_recovered_as_ever() {
    let writes = writes_of_log();
    compare_folder("log", &writes);
    let found = recovered("log");
    assert_eq!(found.records, records_in_force(&writes));
    check_ledger(controller(found).replica().state_machine());
}

#[test]
fn a_golden_snapshot_is_written_and_recovered_as_ever() {
    let writes = writes_of_snapshot();
    compare_folder("snapshot", &writes);
    let found = recovered("snapshot");
    assert_eq!(found.records, records_in_force(&writes));
    check_ledger(controller(found).replica().state_machine());
}

/// A controller alone, on virtual time, whose disk syncs at once.
struct Played {
    controller: Controller,
    now: u64,
    last_number: u64,
}

/// Between two clock events.
const TICK: u64 = 25;

impl Played {
    fn new() -> Played {
        let mut played = Played {
            controller: controller(recovered("snapshot")),
            now: 10_000,
            last_number: 0,
        };
        for _ in 0..400 {
            played.tick();
        }
        assert!(
            played
                .controller
                .replica()
                .may_respond(MonotonicInstant(played.now))
        );
        played
    }
    fn tick(&mut self) -> Option<(u16, Vec<u8>)> {
        self.now += TICK;
        self.step(ControllerInput::ClockEvent)
    }
    fn step(&mut self, input: ControllerInput) -> Option<(u16, Vec<u8>)> {
        let (mut inputs, mut response) = (vec![input], None);
        while let Some(input) = inputs.pop() {
            for output in self.controller.step(MonotonicInstant(self.now), input) {
                match output {
                    ControllerOutput::Write { id, .. } => {
                        inputs.push(ControllerInput::Written { id });
                    }
                    ControllerOutput::Response { status, body, .. } => {
                        response = Some((status, body));
                    }
                    ControllerOutput::Send { to, message, .. } if to == me().address => {
                        inputs.push(ControllerInput::Message { from: to, message });
                    }
                    ControllerOutput::Send { .. }
                    | ControllerOutput::ViewChanged(_)
                    | ControllerOutput::ZoneChangeProposed { .. } => {}
                }
            }
        }
        response
    }
    /// The status and body that an operator gets.
    fn request(&mut self, request: OperatorRequest) -> String {
        self.last_number += 1;
        let number = self.last_number;
        let age = RequestAge::new(MonotonicInstant(self.now), Milliseconds::seconds(12));
        let mut response = self.step(ControllerInput::Operator {
            number,
            request,
            age,
        });
        for _ in 0..1000 {
            response = response.or_else(|| self.tick());
        }
        let (status, body) = response.expect("an answer");
        match String::from_utf8(body) {
            Ok(text) if !text.contains('\0') => format!("{status} {text}"),
            Ok(text) => format!("{status} {:?}", text.as_bytes()),
            Err(error) => format!("{status} {:?}", error.as_bytes()),
        }
    }
}

#[test]
fn operators_get_their_golden_answers_to_what_they_read() {
    let lost = vec![Address::loopback(7202)];
    let unreachable = |id: &str| Query::Reachability {
        id: id.into(),
        members: lost.clone(),
    };
    let fate = |id: &str| Query::CommandStatus { id: id.into() };
    let epoch = |number: u64| Query::AcceptedCommand {
        epoch: ConfigEpoch(number),
    };
    let readings = [
        Query::Latest,
        Query::Tenants,
        Query::Newest,
        Query::Base {
            at_least: ConfigEpoch(11),
        },
        unreachable("f-1"),
        unreachable("f-new"),
        fate("plan-1"),
        fate("change-1"),
        fate("never"),
    ];
    let mut played = Played::new();
    let mut answer = |query: Query| played.request(OperatorRequest::Read(query));
    let mut lines: Vec<String> = readings.into_iter().map(&mut answer).collect();
    lines.extend((0..=12).map(|number| answer(epoch(number))));
    golden_file::compare_json_lines("answers.txt", &lines);
}

#[test]
fn operators_get_their_golden_answers_to_what_they_propose() {
    let proposal = |id: &str, command: Command| Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    };
    let zone = |name: &str| ZoneName::from(name);
    let proposals = [
        proposal(
            "w-9",
            Command::Withdraw {
                zone: zone("north"),
            },
        ),
        proposal(
            "w-1",
            Command::Withdraw {
                zone: zone("south"),
            },
        ),
        proposal("w-8", Command::Withdraw { zone: zone("west") }),
        proposal(
            "f-9",
            Command::ForceRemove {
                members: vec![Address::loopback(7299)],
            },
        ),
    ];
    let mut played = Played::new();
    let lines: Vec<String> = proposals
        .into_iter()
        .map(|proposal| played.request(OperatorRequest::Propose(proposal)))
        .collect();
    golden_file::compare_json_lines("outcomes.txt", &lines);
}

#[test]
fn tenants_have_their_golden_json() {
    let amount = |thousandths: u64| Amount { thousandths };
    let tenant = QuotaUsage {
        tenant: TenantName::from("acme"),
        rate: amount(1),
        burst: amount(2),
        spent_in_window: amount(3),
        outstanding: amount(4),
        denied: 5,
    };
    let json = serde_json::to_string(&tenant).expect("JSON");
    golden_file::compare_json_lines("tenants.jsonl", &[json]);
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
fn the_spans_and_bounds_of_a_controller_are_as_ever() {
    let timing = ControllerTiming::default();
    let contacts = golden_file::values_of(&DiscoveryTiming::default());
    let text = format!("{}{contacts}", golden_file::values_of(&timing));
    golden_file::compare_text("timing.txt", &text);
}

#[test]
fn the_command_line_is_as_ever() {
    golden_file::compare_text("command-line.txt", &golden_file::command_line(PROGRAM, &[]));
}

#[test]
fn exit_codes_and_earlier_names_are_as_ever() {
    let code = |arguments: &[&str]| golden_file::exit_code(PROGRAM, arguments);
    assert_eq!(code(&["serve", "--settings", "no-such-file.toml"]), Some(2));
    assert_eq!(code(&["no-such-task"]), Some(2));
    assert_eq!(code(&["admin", "latest", "--at", "127.0.0.1:1"]), Some(3));
    let put = [
        "admin",
        "put",
        "no-such-file.json",
        "--id",
        "i",
        "--builds-on",
        "0",
    ];
    assert_eq!(code(&put), Some(2));
    assert_eq!(code(&["desk", "--help"]), Some(0));
    assert_eq!(code(&["--version"]), Some(0));
}
