//! Changes while the membership is not settled: the majority of the members before the last change of the membership
//! still counts (`LeaseTable::has_majority`), until `Command::FinalizeMembership` is applied.

use super::Alone;
use crate::controller::{ControllerInput, OperatorRequest, Quorum};
use config::{Command, Proposal};
use types::{Address, ConfigEpoch, ResultCode};

/// The router that joins first, alone, and is then silent.
const FIRST: u16 = 9;
/// The routers that join later.
const LATER: [u16; 3] = [10, 11, 12];

fn accepted(number: u64) -> (u64, u64) {
    (number, u64::from(ResultCode::Accepted.number()))
}

fn core_not_ready(number: u64) -> (u64, u64) {
    (number, u64::from(ResultCode::CoreNotReady.number()))
}

/// Lets time pass while these routers renew their leases, each with the newest epoch.
fn run(core: &mut Alone, milliseconds: u64, routers: &[u16]) -> Vec<(u64, u64)> {
    let mut responses = vec![];
    for _ in 0..milliseconds / 250 {
        for router in routers {
            let epoch = core.epoch();
            responses.extend(core.poll(*router, epoch));
        }
        responses.extend(core.ticks(250));
    }
    responses
}

fn members(core: &Alone) -> (Vec<Address>, Vec<Address>) {
    let membership = &core.controller.replica().state_machine().membership;
    (membership.members.clone(), membership.previous.clone())
}

/// A core whose members are the first router and the later ones, and whose previous member is the first one alone,
/// which has been silent since the later ones asked to join.
fn unsettled() -> Alone {
    let mut core = Alone::new(Quorum::Majority);
    core.ticks(3000);
    run(&mut core, 3000, &[FIRST]);
    let first = Address::loopback(FIRST);
    assert_eq!(members(&core), (vec![first], vec![first]), "settled");
    run(&mut core, 4000, &LATER);
    let all = [FIRST, LATER[0], LATER[1], LATER[2]].map(Address::loopback);
    assert_eq!(members(&core), (all.to_vec(), vec![first]), "not settled");
    core
}

fn force_remove(core: &mut Alone, number: u64) -> Vec<(u64, u64)> {
    let proposal = Proposal {
        id: format!("op-{number}"),
        builds_on: None,
        seen: ConfigEpoch(0),
        command: Command::ForceRemove {
            members: vec![Address::loopback(FIRST)],
        },
    };
    let request = OperatorRequest::Propose(proposal);
    let age = core.age();
    core.step(
        5,
        ControllerInput::Operator {
            number,
            request,
            age,
        },
    )
}

/// Three of four members hold leases, and still no withdrawal is accepted.
#[test]
fn a_withdrawal_is_not_accepted_while_the_previous_majority_is_unreachable() {
    let mut core = unsettled();
    let epoch = core.epoch();
    assert_eq!(core.withdraw(1), []);
    assert_eq!(run(&mut core, 3750, &LATER), [], "it is retried");
    assert_eq!(run(&mut core, 1000, &LATER), [core_not_ready(1)]);
    assert_eq!(run(&mut core, 30_000, &LATER), [], "nothing comes of it");
    assert_eq!(core.epoch(), epoch, "nothing changed");
}

#[test]
fn a_withdrawal_is_accepted_once_the_previous_majority_is_back() {
    let mut core = unsettled();
    assert_eq!(core.withdraw(1), []);
    assert_eq!(run(&mut core, 2000, &LATER), []);
    let all = [FIRST, LATER[0], LATER[1], LATER[2]];
    assert_eq!(run(&mut core, 1500, &all), [accepted(1)]);
    let (members, previous) = members(&core);
    assert_eq!(members, previous, "settled");
}

#[test]
fn a_withdrawal_is_accepted_once_the_unreachable_router_is_removed_by_force() {
    let mut core = unsettled();
    run(&mut core, 6000, &LATER);
    assert_eq!(core.withdraw(1), []);
    assert_eq!(run(&mut core, 5000, &LATER), [core_not_ready(1)]);
    let mut responses = force_remove(&mut core, 2);
    responses.extend(run(&mut core, 2000, &LATER));
    assert_eq!(responses, [accepted(2)]);
    let later = LATER.map(Address::loopback).to_vec();
    assert_eq!(members(&core).0, later);
    let mut responses = core.withdraw(3);
    responses.extend(run(&mut core, 2000, &LATER));
    assert_eq!(responses, [accepted(3)]);
}
