//! The bounded history: what is remembered, what is forgotten, and that nothing is applied twice.

use config::{
    AsSent, Command, Fate, History, Ledger, NotKept, OwnPlans, Proposal, REMEMBERED_BYTES,
    REMEMBERED_CHANGES, Revisions,
};
use replication::{Preview, StateMachine};
use types::{Epoch, Splice};
use yare::parameterized;

const ACCEPTED: u64 = 300;
const CONFLICT: u64 = 302;
const TOO_OLD: u64 = 311;

const SPAN: usize = 8;

fn ledger_of_span(span: usize) -> Ledger {
    Ledger {
        history: History::of_span(span),
        ..Ledger::default()
    }
}
fn take(ledger: &mut Ledger, proposal: &Proposal) -> u64 {
    let outcome = ledger.apply(&proposal.to_bytes());
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
        seen: Epoch(0),
        command,
    }
}
fn counted_change(ledger: &Ledger, base: u64) -> Proposal {
    let (plan_epoch, plan) = (ledger.plan_epoch, &ledger.plan);
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
        seen: Epoch(0),
        command: command.expect("a good change"),
    }
}
fn counted_change_after_a_plan(ledger: &mut Ledger) -> Proposal {
    take_counted(ledger, 1);
    counted_change(ledger, 1)
}
fn epoch_plan(id: &str, builds_on: Epoch) -> Proposal {
    let bytes =
        format!(r#"{{"services":{{"a":{{"zones":["north"]}}}},"note":"{id}"}}"#).into_bytes();
    Proposal {
        id: id.into(),
        builds_on: Some(builds_on),
        seen: Epoch(0),
        command: Command::plan(bytes).expect("a good plan"),
    }
}
fn withdraw(id: &str, builds_on: Option<Epoch>) -> Proposal {
    Proposal {
        id: id.into(),
        builds_on,
        seen: Epoch(0),
        command: Command::Withdraw {
            zone: "north".into(),
        },
    }
}
/// So many accepted changes that build on each other by the operators' own count.
fn take_counted(ledger: &mut Ledger, count: u64) {
    for base in ledger.revision..ledger.revision + count {
        assert_eq!(take(ledger, &counted_plan(base)), ACCEPTED);
    }
}

#[test]
fn a_repeat_is_told_its_fate_for_the_whole_span_and_then_that_it_is_too_old() {
    let mut ledger = ledger_of_span(SPAN);
    take_counted(&mut ledger, 1);
    for _ in 1..SPAN {
        take_counted(&mut ledger, 1);
        assert_eq!(take(&mut ledger, &counted_plan(0)), ACCEPTED);
        assert_eq!(ledger.history.fate("plan-0"), Fate::Accepted(Epoch(1)));
    }
    take_counted(&mut ledger, 1);
    let before = ledger.clone();
    assert_eq!(take(&mut ledger, &counted_plan(0)), TOO_OLD);
    assert_eq!(ledger.history.fate("plan-0"), Fate::TooOldToKnow);
    assert_eq!(ledger, before, "nothing changed");
    assert!(matches!(
        ledger.preview(&counted_plan(0).to_bytes()),
        Preview::TurnAway(_)
    ));
}

#[test]
fn the_span_holds_more_than_three_days_of_the_users_changes() {
    const { assert!(REMEMBERED_CHANGES > 3 * 1200) };
    let mut ledger = Ledger::default();
    take_counted(&mut ledger, REMEMBERED_CHANGES as u64);
    assert_eq!(take(&mut ledger, &counted_plan(0)), ACCEPTED);
    take_counted(&mut ledger, 1);
    assert_eq!(take(&mut ledger, &counted_plan(0)), TOO_OLD);
    assert_eq!(take(&mut ledger, &counted_plan(1)), ACCEPTED);
    assert_eq!(ledger.history.entries.len(), REMEMBERED_CHANGES);
}

/// A request that was accepted, and one of another kind that only follows it, so that it's forgotten.
#[parameterized(
    whole_by_revision = { |_| counted_plan(0), |_, n| counted_plan(n) },
    change_by_revision = { |ledger| counted_change_after_a_plan(ledger), |_, n| counted_plan(n + 1) },
    whole_by_epoch = { |_| epoch_plan("first", Epoch(0)), |ledger, n| epoch_plan(&format!("n-{n}"), ledger.epoch) },
    whole_then_evacuations = { |_| epoch_plan("first", Epoch(0)), |_, n| withdraw(&format!("n-{n}"), None) },
)]
fn what_is_forgotten_is_never_applied_again(
    first: fn(&mut Ledger) -> Proposal,
    next: fn(&Ledger, u64) -> Proposal,
) {
    let mut ledger = ledger_of_span(SPAN);
    let proposal = first(&mut ledger);
    assert_eq!(take(&mut ledger, &proposal), ACCEPTED);
    for n in 1..=3 * SPAN as u64 {
        let following = next(&ledger, n);
        assert_eq!(take(&mut ledger, &following), ACCEPTED, "change {n}");
        let before = (ledger.epoch, ledger.plan.clone());
        let expected = if n < SPAN as u64 { ACCEPTED } else { TOO_OLD };
        assert_eq!(take(&mut ledger, &proposal), expected, "after {n} changes");
        assert_eq!(
            (ledger.epoch, ledger.plan.clone()),
            before,
            "after {n} changes it was applied again"
        );
    }
}

#[test]
fn an_evacuation_that_names_what_it_builds_on_is_not_applied_after_the_span_even_with_no_plan_since()
 {
    let mut ledger = ledger_of_span(SPAN);
    take(&mut ledger, &epoch_plan("plan", Epoch(0)));
    let first = withdraw("first", Some(Epoch(1)));
    assert_eq!(take(&mut ledger, &first), ACCEPTED);
    let restore = |n: usize, seen: Epoch| {
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
        let newest = ledger.epoch;
        assert_eq!(take(&mut ledger, &restore(n, newest)), ACCEPTED);
    }
    assert_eq!(take(&mut ledger, &first), TOO_OLD);
    assert!(
        ledger.withdrawn.is_empty(),
        "an evacuation that was taken back came into force again"
    );
    // A new one that knows what is newest is taken.
    let new = Proposal {
        seen: ledger.epoch,
        ..withdraw("new", Some(ledger.epoch))
    };
    assert_eq!(take(&mut ledger, &new), ACCEPTED);
}

#[test]
fn a_conflict_that_cannot_be_a_forgotten_repeat_is_still_a_firm_refusal() {
    let mut ledger = ledger_of_span(SPAN);
    take_counted(&mut ledger, 20);
    // Bases 0 to 11 are forgotten, and each of them was built on.
    for base in 0..20 {
        let other = Command::plan_in(&OwnPlans, plan_bytes(99), Some(base)).expect("a good plan");
        let other = Proposal {
            id: format!("other-{base}"),
            builds_on: None,
            seen: Epoch(0),
            command: other,
        };
        let expected = if base < 12 { TOO_OLD } else { CONFLICT };
        assert_eq!(take(&mut ledger, &other), expected, "on base {base}");
    }
    let old_epoch = |epoch| epoch_plan("other", Epoch(epoch));
    assert_eq!(take(&mut ledger, &old_epoch(11)), TOO_OLD);
    assert_eq!(take(&mut ledger, &old_epoch(12)), CONFLICT);
}

#[test]
fn what_was_sent_reads_back_within_the_span_and_is_then_no_longer_kept() {
    let mut ledger = ledger_of_span(SPAN);
    let mut sent = vec![];
    for base in 0..3 * SPAN as u64 {
        let proposal = if base % 3 == 1 {
            counted_change(&ledger, base)
        } else {
            counted_plan(base)
        };
        assert_eq!(take(&mut ledger, &proposal), ACCEPTED);
        sent.push(plan_bytes(base + 1));
    }
    let ledger = Ledger::restore(&ledger.snapshot()).expect("a ledger");
    for (place, bytes) in sent.into_iter().enumerate() {
        let is_kept = place >= 2 * SPAN;
        let expected = if is_kept {
            Ok(AsSent::Body(bytes))
        } else {
            Err(NotKept::NoLonger)
        };
        assert_eq!(
            ledger.as_sent(Epoch(place as u64 + 1)),
            expected,
            "epoch {}",
            place + 1
        );
    }
    for never in [0, 3 * SPAN as u64 + 1] {
        assert_eq!(ledger.as_sent(Epoch(never)), Err(NotKept::Never));
    }
}

#[test]
fn large_changes_use_up_the_bytes_and_never_the_span_of_repeats() {
    let mut ledger = Ledger::default();
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
            seen: Epoch(0),
            command,
        }
    };
    for n in 0..40 {
        assert_eq!(take(&mut ledger, &large(n)), ACCEPTED);
        assert!(ledger.history.byte_count() <= REMEMBERED_BYTES);
    }
    assert_eq!(
        take(&mut ledger, &large(0)),
        ACCEPTED,
        "it's known as a repeat"
    );
    assert_eq!(ledger.as_sent(Epoch(1)), Err(NotKept::NoLonger));
    assert!(matches!(ledger.as_sent(Epoch(35)), Ok(AsSent::Body(_))));
    assert!(ledger.snapshot().len() < REMEMBERED_BYTES + (1 << 20));
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
        let mut other = Ledger::restore(&whole.snapshot()).expect("a ledger");
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
    let mut ledger = Ledger::default();
    let base = Command::plan_in(&OwnPlans, plan(0), Some(0)).expect("a good plan");
    take(
        &mut ledger,
        &Proposal {
            id: "first".into(),
            builds_on: None,
            seen: Epoch(0),
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
        let (base, splice) = (ledger.plan_epoch, Splice::between(&ledger.plan, &plan(n)));
        let revisions = Revisions {
            own: n + 1,
            base: n,
        };
        let command = Command::Change {
            bytes: change,
            base,
            splice,
            zones: vec![],
            revisions,
        };
        let id = format!("change-{n}-0123456789abcdef0123456789abcdef");
        assert_eq!(
            take(
                &mut ledger,
                &Proposal {
                    id,
                    builds_on: None,
                    seen: Epoch(0),
                    command
                }
            ),
            ACCEPTED
        );
        if [10, 100, 1000, 5000, 10_000].contains(&n) {
            let (bytes, entries) = (ledger.snapshot().len(), ledger.history.entries.len());
            println!(
                "{n} changes: snapshot {bytes} bytes, {entries} remembered, plan {} bytes",
                ledger.plan.len()
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
