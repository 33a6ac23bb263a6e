//! Operators who count by their own revisions: which change is taken, which repeat is recognised.

use config::{Command, ConfigStateMachine, OriginalCommand, OwnPlans, Proposal};
use replication::{Preview, StateMachine};
use types::ConfigEpoch;

fn plan_bytes(revision: u64, slots: u64) -> Vec<u8> {
    format!(r#"{{ "revision":{revision}, "services":{{"a":{{"slots":{slots}}}}} }}"#).into_bytes()
}
fn plan(id: &str, base: u64, revision: u64, slots: u64) -> Proposal {
    let command =
        Command::plan_in(&OwnPlans, plan_bytes(revision, slots), Some(base)).expect("a good plan");
    Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    }
}
fn change(
    config_state: &ConfigStateMachine,
    id: &str,
    base: u64,
    revision: u64,
    slots: u64,
) -> Proposal {
    let command = Command::change_in(
        &OwnPlans,
        plan_bytes(revision, slots),
        config_state.plan_epoch,
        &config_state.plan,
        Some(base),
    );
    Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: command.expect("a good change"),
    }
}
fn take(config_state: &mut ConfigStateMachine, proposal: &Proposal) -> u64 {
    let outcome = config_state.apply(&proposal.to_bytes());
    serde_json::from_slice::<serde_json::Value>(&outcome).expect("an outcome")["code"]
        .as_u64()
        .expect("a code")
}

const ACCEPTED: u64 = 300;
const BAD_PLAN: u64 = 301;
const CONFLICT: u64 = 302;

#[test]
fn of_two_on_one_revision_one_is_taken_and_its_repeat_is_told_so_ever_after() {
    let mut config_state = ConfigStateMachine::default();
    let (first, second) = (plan("a", 0, 5, 4), plan("b", 0, 7, 6));
    assert_eq!(take(&mut config_state, &first), ACCEPTED);
    assert_eq!(take(&mut config_state, &second), CONFLICT);
    assert_eq!(take(&mut config_state, &first), ACCEPTED);
    assert_eq!(
        (config_state.revision, config_state.history.entries.len()),
        (5, 1)
    );
    let third = change(&config_state, "c", 5, 9, 8);
    let fourth = change(&config_state, "d", 5, 11, 9);
    assert_eq!(take(&mut config_state, &third), ACCEPTED);
    assert_eq!(take(&mut config_state, &fourth), CONFLICT);
    assert_eq!(
        (
            take(&mut config_state, &third),
            take(&mut config_state, &first)
        ),
        (ACCEPTED, ACCEPTED)
    );
    assert_eq!(
        (config_state.revision, config_state.history.entries.len()),
        (9, 2)
    );
    let restored = ConfigStateMachine::restore(&config_state.snapshot()).expect("a ledger");
    assert_eq!(restored, config_state);
    assert_eq!(
        restored.original_command(ConfigEpoch(1)),
        Ok(OriginalCommand::Body(plan_bytes(5, 4)))
    );
    assert_eq!(
        restored.original_command(ConfigEpoch(2)),
        Ok(OriginalCommand::Body(plan_bytes(9, 8)))
    );
}

#[test]
fn a_revision_that_is_not_above_the_newest_is_a_fault_and_changes_nothing() {
    let mut config_state = ConfigStateMachine::default();
    assert_eq!(take(&mut config_state, &plan("a", 0, 5, 4)), ACCEPTED);
    for (id, revision) in [("b", 5), ("c", 4)] {
        assert_eq!(take(&mut config_state, &plan(id, 5, revision, 6)), BAD_PLAN);
        let change = change(&config_state, id, 5, revision, 6);
        assert_eq!(take(&mut config_state, &change), BAD_PLAN);
    }
    assert!(matches!(
        config_state.preview(&plan("d", 5, 5, 6).to_bytes()),
        Preview::Reject(_)
    ));
    assert_eq!(
        (config_state.revision, config_state.plan.clone()),
        (5, plan_bytes(5, 4))
    );
}

#[test]
fn a_plan_without_a_revision_is_a_fault_where_operators_count_by_them() {
    let faults = Command::plan_in(&OwnPlans, br#"{"services":{"a":{}}}"#.to_vec(), Some(3))
        .expect_err("no revision");
    assert_eq!(faults[0].path, "revision");
}

#[test]
fn zones_named_besides_the_plan_s_may_be_withdrawn() {
    let mut config_state = ConfigStateMachine::default();
    let mut first = plan("a", 0, 5, 4);
    first.command = first.command.with_zones(&["north".into()]);
    take(&mut config_state, &first);
    let withdraw = |zone: &str| Proposal {
        id: format!("w-{zone}"),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::Withdraw { zone: zone.into() },
    };
    assert_eq!(
        (
            take(&mut config_state, &withdraw("north")),
            take(&mut config_state, &withdraw("south"))
        ),
        (ACCEPTED, 306)
    );
}
