use config::{AsSent, Command, Ledger, OwnPlans, Proposal};
use replication::{Preview, StateMachine};
use types::Epoch;

fn plan_bytes(revision: u64, slots: u64) -> Vec<u8> {
    format!(r#"{{ "revision":{revision}, "services":{{"a":{{"slots":{slots}}}}} }}"#).into_bytes()
}
fn plan(id: &str, base: u64, revision: u64, slots: u64) -> Proposal {
    let command =
        Command::plan_in(&OwnPlans, plan_bytes(revision, slots), Some(base)).expect("a good plan");
    Proposal {
        id: id.into(),
        builds_on: None,
        seen: Epoch(0),
        command,
    }
}
fn change(ledger: &Ledger, id: &str, base: u64, revision: u64, slots: u64) -> Proposal {
    let command = Command::change_in(
        &OwnPlans,
        plan_bytes(revision, slots),
        ledger.plan_epoch,
        &ledger.plan,
        Some(base),
    );
    Proposal {
        id: id.into(),
        builds_on: None,
        seen: Epoch(0),
        command: command.expect("a good change"),
    }
}
fn take(ledger: &mut Ledger, proposal: &Proposal) -> u64 {
    let outcome = ledger.apply(&proposal.to_bytes());
    serde_json::from_slice::<serde_json::Value>(&outcome).expect("an outcome")["code"]
        .as_u64()
        .expect("a code")
}

const ACCEPTED: u64 = 300;
const BAD_PLAN: u64 = 301;
const CONFLICT: u64 = 302;

#[test]
fn of_two_on_one_revision_one_is_taken_and_its_repeat_is_told_so_ever_after() {
    let mut ledger = Ledger::default();
    let (first, second) = (plan("a", 0, 5, 4), plan("b", 0, 7, 6));
    assert_eq!(take(&mut ledger, &first), ACCEPTED);
    assert_eq!(take(&mut ledger, &second), CONFLICT);
    assert_eq!(take(&mut ledger, &first), ACCEPTED);
    assert_eq!((ledger.revision, ledger.history.entries.len()), (5, 1));
    let third = change(&ledger, "c", 5, 9, 8);
    let fourth = change(&ledger, "d", 5, 11, 9);
    assert_eq!(take(&mut ledger, &third), ACCEPTED);
    assert_eq!(take(&mut ledger, &fourth), CONFLICT);
    assert_eq!(
        (take(&mut ledger, &third), take(&mut ledger, &first)),
        (ACCEPTED, ACCEPTED)
    );
    assert_eq!((ledger.revision, ledger.history.entries.len()), (9, 2));
    let restored = Ledger::restore(&ledger.snapshot()).expect("a ledger");
    assert_eq!(restored, ledger);
    assert_eq!(
        restored.as_sent(Epoch(1)),
        Ok(AsSent::Body(plan_bytes(5, 4)))
    );
    assert_eq!(
        restored.as_sent(Epoch(2)),
        Ok(AsSent::Body(plan_bytes(9, 8)))
    );
}

#[test]
fn a_revision_that_is_not_above_the_newest_is_a_fault_and_changes_nothing() {
    let mut ledger = Ledger::default();
    assert_eq!(take(&mut ledger, &plan("a", 0, 5, 4)), ACCEPTED);
    for (id, revision) in [("b", 5), ("c", 4)] {
        assert_eq!(take(&mut ledger, &plan(id, 5, revision, 6)), BAD_PLAN);
        let change = change(&ledger, id, 5, revision, 6);
        assert_eq!(take(&mut ledger, &change), BAD_PLAN);
    }
    assert!(matches!(
        ledger.preview(&plan("d", 5, 5, 6).to_bytes()),
        Preview::TurnAway(_)
    ));
    assert_eq!(
        (ledger.revision, ledger.plan.clone()),
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
    let mut ledger = Ledger::default();
    let mut first = plan("a", 0, 5, 4);
    first.command = first.command.with_zones(&["north".into()]);
    take(&mut ledger, &first);
    let withdraw = |zone: &str| Proposal {
        id: format!("w-{zone}"),
        builds_on: None,
        seen: Epoch(0),
        command: Command::Withdraw { zone: zone.into() },
    };
    assert_eq!(
        (
            take(&mut ledger, &withdraw("north")),
            take(&mut ledger, &withdraw("south"))
        ),
        (ACCEPTED, 306)
    );
}
