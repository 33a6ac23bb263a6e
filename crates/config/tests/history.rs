//! The bounded history: what is remembered, what is forgotten, and that nothing is applied twice.

use config::{
    Command, CommandStatus, ConfigStateMachine, History, HistoryError, MAX_HISTORY_BYTES,
    MAX_HISTORY_ENTRIES, OriginalCommand, OwnPlans, Proposal, Revisions,
};
use replication::{Preview, StateMachine};
use types::{ConfigEpoch, Delta};
use yare::parameterized;

const ACCEPTED: u64 = 300;
const CONFLICT: u64 = 302;
const TOO_OLD: u64 = 311;

const SPAN: usize = 8;

fn ledger_of_span(span: usize) -> ConfigStateMachine {
    ConfigStateMachine {
        history: History::with_max_entries(span),
        ..ConfigStateMachine::default()
    }
}
fn take(config_state: &mut ConfigStateMachine, proposal: &Proposal) -> u64 {
    let outcome = config_state.apply(&proposal.to_bytes());
    serde_json::from_slice::<serde_json::Value>(&outcome).expect("an outcome")["code"]
        .as_u64()
        .expect("a code")
}
fn plan_bytes(revision: u64) -> Vec<u8> {
    format!(
        r#"{{"revision":{revision},"services":{{"a":{{"slots":{}}}}}}}"#,
        revision % 60 + 1
    )
    .into_bytes()
}
fn counted_plan(base: u64) -> Proposal {
    let command =
        Command::plan_in(&OwnPlans, plan_bytes(base + 1), Some(base)).expect("a good plan");
    Proposal {
        id: format!("plan-{base}"),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    }
}
fn counted_change(config_state: &ConfigStateMachine, base: u64) -> Proposal {
    let (plan_epoch, plan) = (config_state.plan_epoch, &config_state.plan);
    let command = Command::change_in(
        &OwnPlans,
        plan_bytes(base + 1),
        plan_epoch,
        plan,
        Some(base),
    );
    Proposal {
        id: format!("change-{base}"),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: command.expect("a good change"),
    }
}
fn counted_change_after_a_plan(config_state: &mut ConfigStateMachine) -> Proposal {
    take_counted(config_state, 1);
    counted_change(config_state, 1)
}
fn epoch_plan(id: &str, builds_on: ConfigEpoch) -> Proposal {
    let bytes =
        format!(r#"{{"services":{{"a":{{"zones":["north"]}}}},"note":"{id}"}}"#).into_bytes();
    Proposal {
        id: id.into(),
        builds_on: Some(builds_on),
        seen: ConfigEpoch(0),
        command: Command::plan(bytes).expect("a good plan"),
    }
}
fn withdraw(id: &str, builds_on: Option<ConfigEpoch>) -> Proposal {
    Proposal {
        id: id.into(),
        builds_on,
        seen: ConfigEpoch(0),
        command: Command::Withdraw {
            zone: "north".into(),
        },
    }
}
/// So many accepted changes that build on each other by the operators' own count.
fn take_counted(config_state: &mut ConfigStateMachine, count: u64) {
    for base in config_state.revision..config_state.revision + count {
        assert_eq!(take(config_state, &counted_plan(base)), ACCEPTED);
    }
}

#[test]
fn a_repeat_is_told_its_fate_for_the_whole_span_and_then_that_it_is_too_old() {
    let mut config_state = ledger_of_span(SPAN);
    take_counted(&mut config_state, 1);
    for _ in 1..SPAN {
        take_counted(&mut config_state, 1);
        assert_eq!(take(&mut config_state, &counted_plan(0)), ACCEPTED);
        assert_eq!(
            config_state.history.command_status("plan-0"),
            CommandStatus::Accepted(ConfigEpoch(1))
        );
    }
    take_counted(&mut config_state, 1);
    let before = config_state.clone();
    assert_eq!(take(&mut config_state, &counted_plan(0)), TOO_OLD);
    assert_eq!(
        config_state.history.command_status("plan-0"),
        CommandStatus::TooOldToKnow
    );
    assert_eq!(config_state, before, "nothing changed");
    assert!(matches!(
        config_state.preview(&counted_plan(0).to_bytes()),
        Preview::Reject(_)
    ));
}

#[test]
fn the_span_holds_more_than_three_days_of_the_users_changes() {
    const { assert!(MAX_HISTORY_ENTRIES > 3 * 1200) };
    let mut config_state = ConfigStateMachine::default();
    take_counted(&mut config_state, MAX_HISTORY_ENTRIES as u64);
    assert_eq!(take(&mut config_state, &counted_plan(0)), ACCEPTED);
    take_counted(&mut config_state, 1);
    assert_eq!(take(&mut config_state, &counted_plan(0)), TOO_OLD);
    assert_eq!(take(&mut config_state, &counted_plan(1)), ACCEPTED);
    assert_eq!(config_state.history.entries.len(), MAX_HISTORY_ENTRIES);
}

/// A request that was accepted, and one of another kind that only follows it, so that it's forgotten.
#[parameterized(
    whole_by_revision = { |_| counted_plan(0), |_, n| counted_plan(n) },
    change_by_revision = { |config_state| counted_change_after_a_plan(config_state), |_, n| counted_plan(n + 1) },
    whole_by_epoch = { |_| epoch_plan("first", ConfigEpoch(0)), |config_state, n| epoch_plan(&format!("n-{n}"), config_state.epoch) },
    whole_then_evacuations = { |_| epoch_plan("first", ConfigEpoch(0)), |_, n| withdraw(&format!("n-{n}"), None) },
)]
fn what_is_forgotten_is_never_applied_again(
    first: fn(&mut ConfigStateMachine) -> Proposal,
    next: fn(&ConfigStateMachine, u64) -> Proposal,
) {
    let mut config_state = ledger_of_span(SPAN);
    let proposal = first(&mut config_state);
    assert_eq!(take(&mut config_state, &proposal), ACCEPTED);
    for n in 1..=3 * SPAN as u64 {
        let following = next(&config_state, n);
        assert_eq!(take(&mut config_state, &following), ACCEPTED, "change {n}");
        let before = (config_state.epoch, config_state.plan.clone());
        let expected = if n < SPAN as u64 { ACCEPTED } else { TOO_OLD };
        assert_eq!(
            take(&mut config_state, &proposal),
            expected,
            "after {n} changes"
        );
        assert_eq!(
            (config_state.epoch, config_state.plan.clone()),
            before,
            "after {n} changes it was applied again"
        );
    }
}

#[test]
fn an_evacuation_that_names_what_it_builds_on_is_not_applied_after_the_span_even_with_no_plan_since()
 {
    let mut config_state = ledger_of_span(SPAN);
    take(&mut config_state, &epoch_plan("plan", ConfigEpoch(0)));
    let first = withdraw("first", Some(ConfigEpoch(1)));
    assert_eq!(take(&mut config_state, &first), ACCEPTED);
    let restore = |n: usize, seen: ConfigEpoch| {
        let command = Command::Restore {
            zone: "north".into(),
        };
        Proposal {
            id: format!("r-{n}"),
            builds_on: None,
            seen,
            command,
        }
    };
    for n in 0..SPAN {
        let newest = config_state.epoch;
        assert_eq!(take(&mut config_state, &restore(n, newest)), ACCEPTED);
    }
    assert_eq!(take(&mut config_state, &first), TOO_OLD);
    assert!(
        config_state.withdrawn.is_empty(),
        "an evacuation that was taken back came into force again"
    );
    // A new one that knows what is newest is taken.
    let new = Proposal {
        seen: config_state.epoch,
        ..withdraw("new", Some(config_state.epoch))
    };
    assert_eq!(take(&mut config_state, &new), ACCEPTED);
}

#[test]
fn a_conflict_that_cannot_be_a_forgotten_repeat_is_still_a_firm_refusal() {
    let mut config_state = ledger_of_span(SPAN);
    take_counted(&mut config_state, 20);
    // Bases 0 to 11 are forgotten, and each of them was built on.
    for base in 0..20 {
        let other = Command::plan_in(&OwnPlans, plan_bytes(99), Some(base)).expect("a good plan");
        let other = Proposal {
            id: format!("other-{base}"),
            builds_on: None,
            seen: ConfigEpoch(0),
            command: other,
        };
        let expected = if base < 12 { TOO_OLD } else { CONFLICT };
        assert_eq!(take(&mut config_state, &other), expected, "on base {base}");
    }
    let old_epoch = |epoch| epoch_plan("other", ConfigEpoch(epoch));
    assert_eq!(take(&mut config_state, &old_epoch(11)), TOO_OLD);
    assert_eq!(take(&mut config_state, &old_epoch(12)), CONFLICT);
}

#[test]
fn what_was_sent_reads_back_within_the_span_and_is_then_no_longer_kept() {
    let mut config_state = ledger_of_span(SPAN);
    let mut sent = vec![];
    for base in 0..3 * SPAN as u64 {
        let proposal = if base % 3 == 1 {
            counted_change(&config_state, base)
        } else {
            counted_plan(base)
        };
        assert_eq!(take(&mut config_state, &proposal), ACCEPTED);
        sent.push(plan_bytes(base + 1));
    }
    let config_state = ConfigStateMachine::restore(&config_state.snapshot()).expect("a ledger");
    for (place, bytes) in sent.into_iter().enumerate() {
        let is_kept = place >= 2 * SPAN;
        let expected = if is_kept {
            Ok(OriginalCommand::Body(bytes))
        } else {
            Err(HistoryError::Compacted)
        };
        assert_eq!(
            config_state.original_command(ConfigEpoch(place as u64 + 1)),
            expected,
            "epoch {}",
            place + 1
        );
    }
    for never in [0, 3 * SPAN as u64 + 1] {
        assert_eq!(
            config_state.original_command(ConfigEpoch(never)),
            Err(HistoryError::NotAccepted)
        );
    }
}

#[test]
fn large_changes_use_up_the_bytes_and_never_the_span_of_repeats() {
    let mut config_state = ConfigStateMachine::default();
    let large = |n: u64| {
        let note: String = (0..300_000u64)
            .map(|at| char::from(b'a' + ((at * (n + 7) / 3 + n) % 26) as u8))
            .collect();
        let bytes = format!(
            r#"{{"revision":{},"services":{{"a":{{}}}},"note":"{note}"}}"#,
            n + 1
        )
        .into_bytes();
        let command = Command::plan_in(&OwnPlans, bytes, Some(n)).expect("a good plan");
        Proposal {
            id: format!("large-{n}"),
            builds_on: None,
            seen: ConfigEpoch(0),
            command,
        }
    };
    for n in 0..40 {
        assert_eq!(take(&mut config_state, &large(n)), ACCEPTED);
        assert!(config_state.history.byte_count() <= MAX_HISTORY_BYTES);
    }
    assert_eq!(
        take(&mut config_state, &large(0)),
        ACCEPTED,
        "it's known as a repeat"
    );
    assert_eq!(
        config_state.original_command(ConfigEpoch(1)),
        Err(HistoryError::Compacted)
    );
    assert!(matches!(
        config_state.original_command(ConfigEpoch(35)),
        Ok(OriginalCommand::Body(_))
    ));
    assert!(config_state.snapshot().len() < MAX_HISTORY_BYTES + (1 << 20));
}

#[test]
fn all_who_apply_the_same_remember_the_same_through_a_snapshot_at_any_place() {
    let mut whole = ledger_of_span(SPAN);
    for base in 0..40 {
        let proposal = if base % 2 == 1 {
            counted_change(&whole, base)
        } else {
            counted_plan(base)
        };
        let mut other = ConfigStateMachine::restore(&whole.snapshot()).expect("a ledger");
        assert_eq!(take(&mut whole, &proposal), take(&mut other, &proposal));
        assert_eq!(whole, other, "after {base}");
        assert_eq!(whole.snapshot(), other.snapshot(), "after {base}");
    }
}

/// Bytes of a snapshot by how many changes there were: printed with `--nocapture`, for docs/control-safety.md.
#[test]
fn a_snapshot_stops_growing_with_the_number_of_changes() {
    let routes: Vec<String> = (0..1000)
        .map(|n| {
            format!(
                r#""route-{n}":{{"slots":{},"zones":["north","south"],"first_token_ms":4000}}"#,
                n % 60 + 1
            )
        })
        .collect();
    let plan = |n: u64| {
        let slots = n % 50 + 1;
        let bytes = format!(
            r#"{{"revision":{},"services":{{"a":{{"slots":{slots}}},{}}}}}"#,
            n + 1,
            routes.join(",")
        );
        bytes.into_bytes()
    };
    let mut config_state = ConfigStateMachine::default();
    let base = Command::plan_in(&OwnPlans, plan(0), Some(0)).expect("a good plan");
    take(
        &mut config_state,
        &Proposal {
            id: "first".into(),
            builds_on: None,
            seen: ConfigEpoch(0),
            command: base,
        },
    );
    let mut sizes = vec![];
    for n in 1..=10_000u64 {
        let change = format!(
            r#"{{"revision":{},"services":{{"a":{{"slots":{}}}}}}}"#,
            n + 1,
            n % 50 + 1
        )
        .into_bytes();
        // A parse of 1,000 routes a change would take minutes: what it comes to is made by hand.
        let (base, delta) = (
            config_state.plan_epoch,
            Delta::between(&config_state.plan, &plan(n)),
        );
        let revisions = Revisions {
            own: n + 1,
            base: n,
        };
        let command = Command::Change {
            bytes: change,
            base,
            delta,
            zones: vec![],
            revisions,
        };
        let id = format!("change-{n}-0123456789abcdef0123456789abcdef");
        assert_eq!(
            take(
                &mut config_state,
                &Proposal {
                    id,
                    builds_on: None,
                    seen: ConfigEpoch(0),
                    command
                }
            ),
            ACCEPTED
        );
        if [10, 100, 1000, 5000, 10_000].contains(&n) {
            let (bytes, entries) = (
                config_state.snapshot().len(),
                config_state.history.entries.len(),
            );
            println!(
                "{n} changes: snapshot {bytes} bytes, {entries} remembered, plan {} bytes",
                config_state.plan.len()
            );
            sizes.push(bytes);
        }
    }
    let [.., at_5000, at_10_000] = sizes[..] else {
        panic!("{sizes:?}")
    };
    assert!(
        at_10_000 < at_5000 + 4096,
        "it grew from {at_5000} to {at_10_000}"
    );
    assert!(at_10_000 < 2 << 20, "{at_10_000}");
}
