//! What operators had accepted, as it's stored and sent, against golden files: each command's bytes, the snapshot
//! of a ledger that has taken commands of every kind, and the JSON of the outcomes. `COBALTFALL_WRITE_GOLDEN=1` in
//! the environment writes them anew.

#[path = "../../types/tests/golden_file/mod.rs"]
mod golden_file;

use config::{
    Command, CommandOutcome, CompactionPoint, ConfigStateMachine, History, HistoryError,
    OriginalCommand, PlanError, Proposal, RecordedCommand, Revisions, parse_plan,
};
use replication::StateMachine;
use types::{Address, ConfigEpoch, Delta, TokenKey, ZoneName};

variant_names!(ALL_COMMANDS, command_name(Command) {
    Command::Plan { .. } => "Plan",
    Command::Change { .. } => "Change",
    Command::Withdraw { .. } => "Withdraw",
    Command::Restore { .. } => "Restore",
    Command::Join { .. } => "Join",
    Command::Retire { .. } => "Retire",
    Command::ForceRemove { .. } => "Forget",
    Command::FinalizeMembership { .. } => "Settle",
    Command::SetTokenKey { .. } => "Key",
});

variant_names!(ALL_KEPT_COMMANDS, kept_command_name(RecordedCommand) {
    RecordedCommand::Plan { .. } => "Plan",
    RecordedCommand::Change { .. } => "Change",
    RecordedCommand::Withdraw { .. } => "Withdraw",
    RecordedCommand::Restore { .. } => "Restore",
    RecordedCommand::ForceRemove { .. } => "Forget",
});

const PLAN: &[u8] = br#"{"services":{"drafts":{"slots":4,"zones":["north","south","centre"]}},"tenants":[{"name":"acme","api_keys":["k-1"],"rate_per_s":5.0,"burst":10.0}],"note":"one"}"#;
const NEXT_PLAN: &[u8] = br#"{"services":{"drafts":{"slots":5,"zones":["north","south","centre"]}},"tenants":[{"name":"acme","api_keys":["k-1"],"rate_per_s":5.0,"burst":10.0}],"note":"one"}"#;

fn zones() -> Vec<ZoneName> {
    ["centre", "north", "south"].map(ZoneName::from).to_vec()
}

fn proposal(id: &str, builds_on: Option<u64>, seen: u64, command: Command) -> Proposal {
    Proposal {
        id: id.into(),
        builds_on: builds_on.map(ConfigEpoch),
        seen: ConfigEpoch(seen),
        command,
    }
}

fn change_of_slots() -> Command {
    let next = Delta::between(PLAN, NEXT_PLAN);
    Command::Change {
        bytes: br#"{"services":{"drafts":{"slots":5}}}"#.to_vec(),
        base: ConfigEpoch(3),
        delta: next,
        zones: zones(),
        revisions: Revisions { own: 2, base: 1 },
    }
}

/// Commands of every kind, in an order in which each is accepted.
fn proposals() -> Vec<Proposal> {
    let member = |port: u16| Address::loopback(port);
    let joining = vec![
        (member(7201), ZoneName::from("north")),
        (member(7202), ZoneName::from("south")),
        (member(7203), ZoneName::from("east")),
        (member(7204), ZoneName::from("east")),
    ];
    let plan = Command::Plan {
        bytes: PLAN.to_vec(),
        zones: zones(),
        revisions: Revisions { own: 1, base: 0 },
    };
    let key = TokenKey([0x5a; 32]);
    let (north, south) = ("north".into(), "south".into());
    vec![
        proposal("", None, 0, Command::SetTokenKey { key }),
        proposal("", None, 0, Command::Join { members: joining }),
        proposal("plan-1", Some(2), 0, plan),
        proposal("change-1", Some(3), 0, change_of_slots()),
        proposal("w-1", None, 4, Command::Withdraw { zone: north }),
        proposal("w-2", Some(5), 5, Command::Withdraw { zone: south }),
        proposal(
            "r-1",
            None,
            6,
            Command::Restore {
                zone: "north".into(),
            },
        ),
        proposal(
            "",
            None,
            0,
            Command::FinalizeMembership {
                since: ConfigEpoch(2),
            },
        ),
        proposal(
            "",
            None,
            0,
            Command::Retire {
                members: vec![member(7204)],
            },
        ),
        proposal(
            "f-1",
            None,
            9,
            Command::ForceRemove {
                members: vec![member(7203)],
            },
        ),
        proposal(
            "w-3",
            None,
            10,
            Command::Withdraw {
                zone: "north".into(),
            },
        ),
    ]
}

/// A ledger that remembers so many changes and has taken all of them.
fn config_state(span: usize) -> ConfigStateMachine {
    ledger_of(span, &proposals())
}

fn ledger_of(span: usize, proposals: &[Proposal]) -> ConfigStateMachine {
    let mut config_state = ConfigStateMachine {
        history: History::with_max_entries(span),
        ..ConfigStateMachine::default()
    };
    for (place, proposal) in proposals.iter().enumerate() {
        let outcome = config_state.apply(&proposal.to_bytes());
        let outcome: serde_json::Value = serde_json::from_slice(&outcome).expect("JSON");
        let expected = (300, place as u64 + 1);
        let found = (&outcome["code"], &outcome["epoch"]);
        assert_eq!(found, (&expected.0.into(), &expected.1.into()), "{outcome}");
    }
    config_state
}

const WHOLE_SPAN: usize = 100;
const SHORT_SPAN: usize = 3;

#[test]
fn each_command_has_its_golden_bytes_and_they_read_as_it() {
    let proposals = proposals();
    let archived: Vec<(&str, Vec<u8>)> = proposals
        .iter()
        .map(|proposal| (command_name(&proposal.command), proposal.to_bytes()))
        .collect();
    golden_file::compare_entries("proposals.txt", &archived);
    let golden = golden_file::read_entries("proposals.txt");
    assert_eq!(golden.len(), proposals.len());
    for ((name, bytes), proposal) in golden.iter().zip(&proposals) {
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        let read = rkyv::from_bytes::<Proposal, rkyv::rancor::Error>(&aligned);
        assert_eq!(read.ok().as_ref(), Some(proposal), "{name}");
    }
    let names = proposals
        .iter()
        .map(|proposal| command_name(&proposal.command));
    golden_file::check_all_named(ALL_COMMANDS, names);
}

#[test]
fn a_ledgers_golden_snapshot_is_written_and_read_as_ever() {
    let (whole, short) = (config_state(WHOLE_SPAN), config_state(SHORT_SPAN));
    // Here the members differ from those before.
    let joined = ledger_of(WHOLE_SPAN, &proposals()[..2]);
    let snapshots = [
        ("empty", ConfigStateMachine::default().snapshot()),
        ("whole", whole.snapshot()),
        ("short", short.snapshot()),
        ("joined", joined.snapshot()),
    ];
    golden_file::compare_entries("ledgers.txt", &snapshots);
    let golden = golden_file::read_entries("ledgers.txt");
    let restored: Vec<ConfigStateMachine> = golden
        .iter()
        .map(|(name, bytes)| ConfigStateMachine::restore(bytes).unwrap_or_else(|| panic!("{name}")))
        .collect();
    assert_eq!(
        restored,
        vec![ConfigStateMachine::default(), whole, short, joined]
    );
    let kept = restored[1].history.entries.iter();
    let names = kept.map(|entry| kept_command_name(&entry.command));
    golden_file::check_all_named(ALL_KEPT_COMMANDS, names);
}

#[test]
fn a_restored_golden_ledger_holds_what_was_accepted() {
    let golden = golden_file::read_entries("ledgers.txt");
    let restore = |place: usize| ConfigStateMachine::restore(&golden[place].1).expect("a ledger");
    let (whole, short) = (restore(1), restore(2));
    assert_eq!(
        (whole.epoch, whole.plan_epoch),
        (ConfigEpoch(11), ConfigEpoch(4))
    );
    assert_eq!((whole.plan.as_slice(), whole.revision), (NEXT_PLAN, 2));
    assert_eq!(whole.plan_zones, zones());
    assert_eq!(whole.withdrawn, vec!["north".into(), "south".into()]);
    let changed: Vec<(ZoneName, ConfigEpoch)> = vec![
        ("south".into(), ConfigEpoch(6)),
        ("north".into(), ConfigEpoch(11)),
    ];
    assert_eq!(whole.zone_changes, changed);
    let members = vec![Address::loopback(7201), Address::loopback(7202)];
    assert_eq!(whole.membership.members, members);
    assert_eq!(whole.membership.previous, members);
    assert_eq!(whole.membership.since, ConfigEpoch(10));
    assert_eq!(whole.key, Some(TokenKey([0x5a; 32])));
    let newest = Delta::between(PLAN, NEXT_PLAN);
    assert_eq!(whole.newest, Some((ConfigEpoch(3), newest)));
    assert_eq!(
        whole.original_command(ConfigEpoch(3)),
        Ok(OriginalCommand::Body(PLAN.to_vec()))
    );
    let change = br#"{"services":{"drafts":{"slots":5}}}"#.to_vec();
    assert_eq!(
        whole.original_command(ConfigEpoch(4)),
        Ok(OriginalCommand::Body(change))
    );
    assert_eq!(
        whole.original_command(ConfigEpoch(2)),
        Err(HistoryError::NotAccepted)
    );
    assert_eq!(
        short.original_command(ConfigEpoch(4)),
        Err(HistoryError::Compacted)
    );
    let compacted = CompactionPoint {
        epoch: ConfigEpoch(6),
        base_revision: Some(1),
    };
    assert_eq!(short.history.compacted, compacted);
    assert_eq!(short.history.entries.len(), SHORT_SPAN);
}

#[test]
fn outcomes_have_their_golden_json() {
    let error = PlanError::in_dialect("services.drafts.slots", "0 is not within 1 to 100000");
    let outcome = CommandOutcome {
        code: 301,
        result: "bad-plan",
        epoch: ConfigEpoch(11),
        plan_epoch: ConfigEpoch(4),
        reason: "nothing changed".into(),
        plan_errors: vec![error],
    };
    let mut lines = vec![outcome.to_bytes()];
    let mut config_state = config_state(SHORT_SPAN);
    let refused = [
        proposal(
            "w-3",
            None,
            10,
            Command::Withdraw {
                zone: "north".into(),
            },
        ),
        proposal(
            "w-3",
            None,
            10,
            Command::Withdraw {
                zone: "south".into(),
            },
        ),
        proposal(
            "w-4",
            None,
            11,
            Command::Withdraw {
                zone: "west".into(),
            },
        ),
        proposal(
            "r-2",
            None,
            5,
            Command::Restore {
                zone: "south".into(),
            },
        ),
        proposal(
            "w-5",
            Some(12),
            11,
            Command::Withdraw {
                zone: "north".into(),
            },
        ),
        proposal(
            "w-6",
            Some(3),
            11,
            Command::Withdraw {
                zone: "north".into(),
            },
        ),
        proposal(
            "f-2",
            None,
            11,
            Command::ForceRemove {
                members: vec![Address::loopback(7299)],
            },
        ),
        proposal(
            "",
            None,
            0,
            Command::FinalizeMembership {
                since: ConfigEpoch(2),
            },
        ),
        proposal(
            "",
            None,
            0,
            Command::SetTokenKey {
                key: TokenKey([1; 32]),
            },
        ),
        proposal("change-2", Some(11), 0, change_of_slots()),
    ];
    lines.extend(
        refused
            .iter()
            .map(|proposal| config_state.apply(&proposal.to_bytes())),
    );
    lines.push(config_state.apply(b"not a proposal"));
    let text: String = lines
        .iter()
        .map(|line| format!("{}\n", String::from_utf8_lossy(line)))
        .collect();
    golden_file::compare_text("outcomes.jsonl", &text);
}

#[test]
fn plans_have_their_golden_keys_and_defaults() {
    let with_all_keys = golden_file::read("plan-with-every-key.json");
    let plan = parse_plan(&with_all_keys).expect("each of its keys is known");
    golden_file::compare_text("plan-with-every-key.txt", &golden_file::values_of(&plan));
    let smallest = br#"{"services":{"a":{}},"routes":[{"name":"r","host":"h","path_prefix":"/","split":[{"service":"a"}]}],"tenants":[{"name":"t"}]}"#;
    let plan = parse_plan(smallest).expect("it has all that is required");
    golden_file::compare_text("plan-defaults.txt", &golden_file::values_of(&plan));
}
