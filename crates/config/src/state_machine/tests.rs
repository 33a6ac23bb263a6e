use super::*;
use crate::command::{Command, Proposal};
use crate::history::OriginalCommand;
use crate::state_machine::ConfigStateMachine;
use types::{Address, ConfigEpoch, TokenKey, ZoneName};

fn plan(id: &str, builds_on: u64, slots: u32) -> Proposal {
    let bytes = format!(r#"{{"services":{{"drafts":{{"slots":{slots},"zones":["north"]}}}}}}"#)
        .into_bytes();
    Proposal {
        id: id.into(),
        builds_on: Some(ConfigEpoch(builds_on)),
        seen: ConfigEpoch(0),
        command: Command::plan(bytes).expect("a good plan"),
    }
}
fn take(config_state: &mut ConfigStateMachine, proposal: &Proposal) -> serde_json::Value {
    serde_json::from_slice(&config_state.apply(&proposal.to_bytes())).unwrap()
}

#[test]
fn of_two_that_build_on_one_epoch_the_second_never_takes_effect() {
    let mut config_state = ConfigStateMachine::default();
    assert_eq!(take(&mut config_state, &plan("a", 0, 4))["code"], 300);
    assert_eq!(take(&mut config_state, &plan("b", 0, 5))["code"], 302);
    assert_eq!(
        (config_state.epoch, config_state.history.entries.len()),
        (ConfigEpoch(1), 1)
    );
    assert!(config_state.entry_by_id("b").is_none());
}

#[test]
fn a_repeat_is_told_its_fate_and_applied_once_and_an_id_means_one_thing() {
    let mut config_state = ConfigStateMachine::default();
    take(&mut config_state, &plan("a", 0, 4));
    let again = take(&mut config_state, &plan("a", 0, 4));
    assert_eq!(
        (&again["code"], &again["epoch"], config_state.epoch),
        (&300.into(), &1.into(), ConfigEpoch(1))
    );
    assert_eq!(take(&mut config_state, &plan("a", 1, 6))["code"], 308);
}

#[test]
fn each_plan_and_change_reads_back_as_sent_and_small_changes_of_a_large_plan_stay_small() {
    let mut config_state = ConfigStateMachine::default();
    let note = "n".repeat(200_000);
    let sent = |n: usize| {
        format!(r#"{{ "note":"{note}", "services":{{"drafts":{{"slots":{n}}}}} }}"#).into_bytes()
    };
    let mut bodies = vec![];
    for n in 1..=200usize {
        let builds_on = Some(config_state.epoch);
        let body = if n % 40 == 1 {
            sent(n)
        } else {
            format!(r#"{{"services":{{"drafts":{{"slots":{n}}}}}}}"#).into_bytes()
        };
        let command = if n % 40 == 1 {
            Command::plan(body.clone()).expect("a good plan")
        } else {
            Command::change(body.clone(), config_state.plan_epoch, &config_state.plan)
                .expect("a good change")
        };
        let proposal = Proposal {
            id: format!("n-{n}"),
            builds_on,
            seen: ConfigEpoch(0),
            command,
        };
        // Only after a whole plan, whose spaces a merge takes out, is the difference large.
        let is_small = proposal.to_bytes().len() < 1000;
        assert!(
            is_small || n % 40 < 3,
            "change {n} is {} bytes",
            proposal.to_bytes().len()
        );
        assert_eq!(take(&mut config_state, &proposal)["code"], 300);
        bodies.push(body);
    }
    let config_state = ConfigStateMachine::restore(&config_state.snapshot()).expect("a ledger");
    for (place, body) in bodies.into_iter().enumerate() {
        assert_eq!(
            config_state.original_command(ConfigEpoch(place as u64 + 1)),
            Ok(OriginalCommand::Body(body)),
            "epoch {}",
            place + 1
        );
    }
    assert!(
        config_state.snapshot().len() < 20 * note.len(),
        "the snapshot has {} bytes",
        config_state.snapshot().len()
    );
}

#[test]
fn the_lost_are_forgotten_by_name_and_count_no_more() {
    let mut config_state = ConfigStateMachine::default();
    let members: Vec<_> = (1..=5)
        .map(|n| (Address::loopback(n), ZoneName::from("north")))
        .collect();
    take(
        &mut config_state,
        &Proposal {
            id: String::new(),
            builds_on: None,
            seen: ConfigEpoch(0),
            command: Command::Join { members },
        },
    );
    let forget = |id: &str, ports: &[u16]| Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::ForceRemove {
            members: ports.iter().map(|port| Address::loopback(*port)).collect(),
        },
    };
    let unknown = take(&mut config_state, &forget("f", &[3, 9]));
    assert_eq!(
        (&unknown["code"], config_state.epoch),
        (&309.into(), ConfigEpoch(1))
    );
    assert!(
        unknown["why"]
            .as_str()
            .is_some_and(|why| why.contains("127.0.0.1:9 ")),
        "{unknown}"
    );
    assert!(!config_state.requires_member_majority(&forget("g", &[3, 4, 5]).to_bytes()));
    assert_eq!(
        take(&mut config_state, &forget("g", &[3, 4, 5]))["code"],
        300
    );
    assert_eq!(
        (
            &config_state.membership.previous,
            config_state.membership.members.len()
        ),
        (&config_state.membership.members, 2)
    );
    assert_eq!(
        take(&mut config_state, &forget("g", &[3, 4, 5]))["epoch"],
        2,
        "a repeat is told the first one's epoch"
    );
}

#[test]
fn previous_members_count_no_more_once_the_membership_is_settled_and_only_for_that_membership() {
    let mut config_state = ConfigStateMachine::default();
    let inner = |command: Command| Proposal {
        id: String::new(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command,
    };
    for n in [1, 2] {
        let members = vec![(Address::loopback(n), ZoneName::from("north"))];
        take(&mut config_state, &inner(Command::Join { members }));
    }
    assert_eq!(
        (
            config_state.membership.previous.len(),
            config_state.membership.since
        ),
        (1, ConfigEpoch(2))
    );
    assert_eq!(
        take(
            &mut config_state,
            &inner(Command::FinalizeMembership {
                since: ConfigEpoch(1)
            })
        )["code"],
        302
    );
    assert_eq!(
        take(
            &mut config_state,
            &inner(Command::FinalizeMembership {
                since: ConfigEpoch(2)
            })
        )["code"],
        300
    );
    assert_eq!(
        config_state.membership.previous,
        config_state.membership.members
    );
}

#[test]
fn the_first_key_stays() {
    let mut config_state = ConfigStateMachine::default();
    let key = |byte: u8| Proposal {
        id: String::new(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::SetTokenKey {
            key: TokenKey([byte; 32]),
        },
    };
    assert_eq!(take(&mut config_state, &key(1))["code"], 300);
    assert_eq!(take(&mut config_state, &key(2))["code"], 302);
    assert_eq!(
        (config_state.key, config_state.epoch),
        (Some(TokenKey([1; 32])), ConfigEpoch(1))
    );
}

#[test]
fn withdrawals_do_not_disturb_plans_and_unknown_zones_change_nothing() {
    let mut config_state = ConfigStateMachine::default();
    take(&mut config_state, &plan("a", 0, 4));
    let withdraw = |id: &str, zone: &str| Proposal {
        id: id.into(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::Withdraw { zone: zone.into() },
    };
    assert_eq!(take(&mut config_state, &withdraw("w", "north"))["epoch"], 2);
    assert_eq!(
        take(&mut config_state, &withdraw("v", "nowhere"))["code"],
        306
    );
    assert_eq!(take(&mut config_state, &plan("b", 1, 5))["epoch"], 3);
    assert_eq!(config_state.withdrawn, vec![ZoneName::from("north")]);
}

#[test]
fn a_snapshot_gives_the_same_ledger_back() {
    let mut config_state = ConfigStateMachine::default();
    take(&mut config_state, &plan("a", 0, 4));
    let members = vec![(Address::loopback(3), ZoneName::from("north"))];
    let join = Proposal {
        id: String::new(),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::Join { members },
    };
    take(&mut config_state, &join);
    let snapshot = config_state.snapshot();
    assert_eq!(ConfigStateMachine::restore(&snapshot), Some(config_state));
    assert_eq!(
        ConfigStateMachine::restore(&snapshot[..snapshot.len() / 2]),
        None
    );
}
