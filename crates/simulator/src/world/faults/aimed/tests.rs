use crate::deployment::Deployment;
use crate::world::{FaultKind, Mutant, Witness, World, WorldRules};
use types::Milliseconds;
use yare::parameterized;

/// Four faults of one kind, in a run that must show nothing.
fn play(deployment: Deployment, kind: FaultKind, seed: u64) -> Witness {
    let rules = WorldRules {
        faults: 4,
        kinds: vec![kind],
        requests_a_second: 5,
        ..WorldRules::swept(deployment, seed)
    };
    let witness = World::new(rules).run();
    assert!(
        witness.violations.is_empty(),
        "seed {seed}: {:#?}\n{:#?}",
        witness.violations,
        witness.faults
    );
    witness
}

#[parameterized(
    cut_controller = { FaultKind::CutController },
    reset_controller = { FaultKind::ResetController },
    kill_leader = { FaultKind::KillLeader },
    freeze_leader = { FaultKind::FreezeLeader },
    evacuate_frozen = { FaultKind::EvacuateFrozen },
    cut_leader = { FaultKind::CutLeader },
    kill_after_send = { FaultKind::KillAfterSend },
    power_loss_after_send = { FaultKind::PowerLossAfterSend },
    kill_in_write = { FaultKind::KillInWrite },
    meet_return = { FaultKind::MeetReturn },
    replace_planned = { FaultKind::ReplacePlanned },
    replace_cut_seeds = { FaultKind::ReplaceCutSeeds },
)]
fn a_fault_that_is_aimed_does_no_harm(kind: FaultKind) {
    play(Deployment::Pahana, kind, 1);
    // With a grown core.
    play(Deployment::Valodu, kind, 5);
}

/// What these seeds have shown: an evacuation that its operator gave up took effect after it was taken back, and
/// a change was refused for good on the strength of one that was not accepted.
#[parameterized(
    evacuated_after_it_was_taken_back = { Deployment::Valodu, FaultKind::EvacuateCut, 7 },
    evacuated_again = { Deployment::Valodu, FaultKind::EvacuateCut, 49 },
    refused_by_the_head_alone = { Deployment::Pahana, FaultKind::MeetReturn, 5 },
    refused_by_a_head_that_returned = { Deployment::Valodu, FaultKind::MeetReturn, 27 },
)]
fn what_a_seed_has_shown_does_not_happen_again(deployment: Deployment, kind: FaultKind, seed: u64) {
    play(deployment, kind, seed);
}

/// The day `pahana-cut-off-then-read-back`: connections that wait for ever longer keep a controller that was cut
/// off from coming level again.
#[test]
fn connections_that_are_never_given_up_keep_a_controller_from_being_level_again() {
    let rules = |seed, mutant| WorldRules {
        faults: 3,
        kinds: vec![FaultKind::CutController],
        requests_a_second: 5,
        mutant,
        ..WorldRules::new(Deployment::Valodu, seed)
    };
    let is_late = |witness: &Witness| {
        witness
            .violations
            .iter()
            .any(|what| what.contains("were level again"))
    };
    let caught =
        (1..40).find(|seed| is_late(&World::new(rules(*seed, Some(Mutant::PatientLines))).run()));
    let seed = caught.expect("it is seen");
    assert!(
        !is_late(&World::new(rules(seed, None)).run()),
        "without the mutant, seed {seed}"
    );
}

/// An evacuation that waited in a frozen controller's socket while its operator had it acknowledged elsewhere, and taken
/// back, took effect when the controller woke (docs/incidents/request-read-late.md).
#[test]
fn calls_that_count_as_new_when_a_frozen_controller_reads_them_are_caught() {
    let rules = |seed, mutant| WorldRules {
        faults: 4,
        kinds: vec![FaultKind::EvacuateFrozen],
        requests_a_second: 5,
        mutant,
        ..WorldRules::new(Deployment::Pahana, seed)
    };
    let is_undone = |witness: &Witness| {
        let is_of_a_zone = |what: &String| what.contains("zone") && what.contains("linearizable");
        witness.violations.iter().any(is_of_a_zone)
    };
    let mut seeds = 1..20;
    let caught =
        seeds.find(|seed| is_undone(&World::new(rules(*seed, Some(Mutant::CountFromRead))).run()));
    let seed = caught.expect("it is seen");
    let witness = World::new(rules(seed, None)).run();
    assert!(
        witness.violations.is_empty(),
        "without the mutant, seed {seed}: {:#?}",
        witness.violations
    );
}

/// Days of hundreds of changes, on the small cores and the grown ones.
#[parameterized(
    pahana = { Deployment::Pahana, 1 },
    valodu = { Deployment::Valodu, 2 },
    five_controllers = { Deployment::Pahana, 5 },
    six_controllers = { Deployment::Valodu, 6 },
)]
fn hundreds_of_changes_are_taken_in_one_run(deployment: Deployment, seed: u64) {
    let rules = WorldRules {
        operators_gap: Milliseconds(50),
        faults: 3,
        requests_a_second: 5,
        large_plans: 0,
        ..WorldRules::swept(deployment, seed)
    };
    let witness = World::new(rules).run();
    assert!(
        witness.violations.is_empty(),
        "{:#?}\n{:#?}",
        witness.violations,
        witness.faults
    );
    assert!((100..500).contains(&witness.commands[0]), "{witness}");
}

/// Grown cores under whatever fails together.
#[parameterized(
    five_1 = { Deployment::Pahana, 5 },
    five_2 = { Deployment::Valodu, 13 },
    six_1 = { Deployment::Pahana, 6 },
    six_2 = { Deployment::Valodu, 14 },
)]
fn nothing_on_the_list_happens_with_a_grown_core(deployment: Deployment, seed: u64) {
    let witness = World::new(WorldRules::swept(deployment, seed)).run();
    assert!(
        witness.violations.is_empty(),
        "seed {seed}: {:#?}\n{:#?}",
        witness.violations,
        witness.faults
    );
}
