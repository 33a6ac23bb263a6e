use super::*;
use crate::deployment::Deployment;
use crate::world::{FaultKind, Mutant, Witness, World, WorldRules};
use config::Command;
use controller::{Quorum, RequestAge};
use types::{Milliseconds, MonotonicInstant, ResultCode};
use yare::parameterized;

/// A short run of this seed; prints how to play it again where it fails.
fn play(rules: WorldRules) -> Witness {
    let command = format!(
        "target/debug/testbed simulate --deployment {} --seed {} --faults {}",
        if rules.deployment == Deployment::Pahana {
            "pahana"
        } else {
            "valodu"
        },
        rules.seed,
        rules.faults
    ) + if rules.quorum == Quorum::Holders {
        " --quorum holders"
    } else {
        ""
    };
    let witness = World::new(rules).run();
    assert!(
        witness.violations.is_empty(),
        "{command}\n{:#?}\n{:#?}",
        witness.violations,
        witness.faults
    );
    witness
}

#[test]
fn without_faults_all_goes_well() {
    let rules = WorldRules {
        faults: 0,
        span: Milliseconds::seconds(10),
        ..WorldRules::new(Deployment::Pahana, 1)
    };
    let witness = play(rules);
    let complete = witness.words.get("complete").copied().unwrap_or(0);
    assert!(complete * 10 > witness.arrivals * 8, "{witness}");
    assert!(witness.commands[0] > 3 && witness.copies > 0, "{witness}");
}

#[parameterized(
    pahana_1 = { Deployment::Pahana, 1 },
    pahana_2 = { Deployment::Pahana, 2 },
    pahana_3 = { Deployment::Pahana, 3 },
    pahana_4 = { Deployment::Pahana, 4 },
    valodu_1 = { Deployment::Valodu, 1 },
    valodu_2 = { Deployment::Valodu, 2 },
    valodu_3 = { Deployment::Valodu, 3 },
    valodu_4 = { Deployment::Valodu, 4 },
)]
fn whatever_fails_together_nothing_on_the_list_happens(deployment: Deployment, seed: u64) {
    play(WorldRules::new(deployment, seed));
}

/// Servers that restart in place, too fast for anyone to find them gone, while requests keep coming.
#[parameterized(
    pahana_1 = { Deployment::Pahana, 1 },
    pahana_2 = { Deployment::Pahana, 2 },
    valodu_1 = { Deployment::Valodu, 1 },
    valodu_2 = { Deployment::Valodu, 2 },
)]
fn a_server_that_restarts_in_place_is_as_fresh_as_any(deployment: Deployment, seed: u64) {
    let kinds = vec![FaultKind::RestartServer];
    play(WorldRules {
        faults: 30,
        kinds,
        requests_a_second: 150,
        ..WorldRules::new(deployment, seed)
    });
}

/// A server restarted in place while nodes were without the core, and each took it for the life that it knew.
#[test]
fn a_restart_that_nobody_has_noticed_floods_no_server() {
    play(WorldRules {
        faults: 20,
        quorum: Quorum::Holders,
        ..WorldRules::new(Deployment::Valodu, 42_000_079)
    });
}

/// What only these seeds have shown, at the faults with which they did.
#[parameterized(
    a_heal_between_ask_and_response = { 910_001_121 },
    another = { 910_002_984 },
    a_connection_made_under_a_newer_epoch = { 910_002_884 },
)]
fn what_a_seed_has_shown_does_not_happen_again(seed: u64) {
    play(WorldRules {
        faults: 14,
        ..WorldRules::new(Deployment::Valodu, seed)
    });
}

#[parameterized(
    one_that_lives = { false, 1 },
    one_that_was_lost_when_it_was_asked_and_came_back = { true, 0 },
)]
fn forgetting_one_that_lived_when_it_was_asked_is_seen(was_lost: bool, expected: usize) {
    let mut world = World::new(WorldRules::new(Deployment::Pahana, 1));
    let members = vec![world.routers[0].address];
    let lost = if was_lost { members.clone() } else { vec![] };
    let command = Some(Command::ForceRemove { members });
    let pending = operators::PendingCall {
        at: world.now,
        age: RequestAge::new(MonotonicInstant(world.now), Milliseconds::seconds(12)),
        id: "op-1".into(),
        command,
        newest_acknowledged: 0,
        lost,
    };
    world.operators.pending.insert(1, pending);
    let code = ResultCode::Accepted.number();
    world.on_operator_response(
        1,
        200,
        serde_json::json!({"code": code, "epoch": 1})
            .to_string()
            .as_bytes(),
    );
    let seen = world
        .witness
        .violations
        .iter()
        .filter(|what| what.contains("lives and was forgotten"));
    assert_eq!(seen.count(), expected, "{:?}", world.witness.violations);
}

/// As many disks as may be lost at once, or a zone's, are wiped right after an acknowledgement, while all others
/// lose power. The platform's core: three in three zones, or six.
#[parameterized(
    three_1 = { 3, 2, 1 },
    three_2 = { 3, 2, 2 },
    six_1 = { 6, 3, 1 },
    six_2 = { 6, 3, 2 },
)]
fn what_was_accepted_outlives_the_disks_that_may_be_lost(
    controllers: usize,
    copies: usize,
    seed: u64,
) {
    use FaultKind::{KillController, LoseBudgetAfterAck, StallDisk};
    play(WorldRules {
        controllers: Some(controllers),
        copies,
        kinds: vec![
            LoseBudgetAfterAck,
            LoseBudgetAfterAck,
            KillController,
            StallDisk,
        ],
        quorum: Quorum::Holders,
        ..WorldRules::new(Deployment::Valodu, seed)
    });
}

/// Accepted once every holder of a lease knows it: the mode of the users' platform.
#[parameterized(
    pahana_1 = { Deployment::Pahana, 1 },
    pahana_2 = { Deployment::Pahana, 2 },
    valodu_1 = { Deployment::Valodu, 1 },
    valodu_2 = { Deployment::Valodu, 2 },
)]
fn nor_where_holders_of_leases_are_the_quorum(deployment: Deployment, seed: u64) {
    play(WorldRules {
        faults: 10,
        quorum: Quorum::Holders,
        ..WorldRules::new(deployment, seed)
    });
}

/// The settings come to name controllers without a disk, and whoever restarts knows nobody else (`docs/incidents/`,
/// new-seeds-then-all-killed). Machines that are replaced meanwhile are told of nobody else either.
#[parameterized(
    all_are_killed = { &[FaultKind::ExchangeSeeds, FaultKind::ExchangeSeeds, FaultKind::KillAll, FaultKind::KillRouters] },
    the_core_loses_power = { &[FaultKind::ExchangeSeeds, FaultKind::PowerLossAll, FaultKind::KillAll, FaultKind::CutController] },
    the_core_is_replaced = { &[FaultKind::ExchangeSeeds, FaultKind::ReplaceCore, FaultKind::ReplacePlanned, FaultKind::KillAll] },
    disks_are_wiped = { &[FaultKind::ExchangeSeeds, FaultKind::WipeDisk, FaultKind::LoseZone, FaultKind::KillAll] },
)]
fn service_returns_whatever_seeds_the_settings_name(kinds: &[FaultKind]) {
    for seed in 91_000_000..91_000_012 {
        play(relay_rules(kinds, seed, None));
    }
}

/// All whom the settings name are replaced, and nobody tells the routers that restart: the core calls its members.
#[parameterized(a = { 91_000_076 }, b = { 91_000_082 }, c = { 91_000_092 }, d = { 91_000_113 })]
fn service_returns_though_all_seeds_are_gone_for_good(seed: u64) {
    let kinds = [
        FaultKind::ReplaceCore,
        FaultKind::ReplacePlanned,
        FaultKind::KillAll,
    ];
    play(WorldRules {
        relays: 0,
        ..relay_rules(&kinds, seed, None)
    });
}

/// A response of the core that came late, behind a cut, was dropped with the newer epoch that it named; routers that
/// their peers alone let act went on under the old one.
#[parameterized(
    behind_a_partition = { Deployment::Pahana, 51_000_025, 20 },
    for_longer = { Deployment::Valodu, 77_001_124, 24 },
)]
fn a_late_response_names_the_newer_epoch(deployment: Deployment, seed: u64, faults: u64) {
    play(WorldRules {
        faults,
        copies: 2,
        quorum: Quorum::Holders,
        ..WorldRules::new(deployment, seed)
    });
}

/// Operators had every zone out of service for 13.9 s after all was healed, and service was said to be late.
#[test]
fn service_is_awaited_for_as_long_as_a_zone_is_in_service() {
    let witness = play(WorldRules {
        controllers: Some(6),
        copies: 3,
        faults: 20,
        quorum: Quorum::Holders,
        ..WorldRules::new(Deployment::Pahana, 812_006_064_081)
    });
    assert!(witness.back_ms.1.is_some(), "{witness}");
}

#[test]
fn seeds_that_know_nobody_are_seen_by_what_does_not_return() {
    let kinds = [FaultKind::ExchangeSeeds, FaultKind::KillAll];
    let runs = (91_000_000..91_000_012)
        .map(|seed| World::new(relay_rules(&kinds, seed, Some(Mutant::LonelySeeds))));
    let seen: Vec<String> = runs.flat_map(|world| world.run().violations).collect();
    assert!(
        seen.iter()
            .any(|what| what.contains("service was back after None")),
        "{seen:?}"
    );
}

fn relay_rules(kinds: &[FaultKind], seed: u64, mutant: Option<Mutant>) -> WorldRules {
    WorldRules {
        relays: 3,
        faults: 6,
        kinds: kinds.to_vec(),
        quorum: Quorum::Holders,
        mutant,
        ..WorldRules::new(Deployment::Pahana, seed)
    }
}

#[test]
fn a_seed_gives_the_same_run() {
    let run = || {
        let rules = WorldRules {
            span: Milliseconds::seconds(12),
            calm: Milliseconds::seconds(14),
            ..WorldRules::new(Deployment::Valodu, 5)
        };
        World::new(rules).run().trace
    };
    assert_eq!(run(), run());
}

/// Each deliberate fault is seen within a few seeds, and the same runs without it are clean: the
/// checkers judge, and don't just nod.
#[parameterized(
    skip_sync = { Mutant::SkipSync, &[FaultKind::PowerLossAfterAck], 6, 25, None },
    skip_fencing = { Mutant::SkipFencing, &[FaultKind::SplitCore, FaultKind::CutOneWay], 14, 10, Some(250) },
    reuse_wiped_vote = { Mutant::ReuseWipedVote, &[FaultKind::WipeAfterAck, FaultKind::WipeDisk], 6, 10, None },
    slide_epoch = { Mutant::SlideEpoch, &[FaultKind::KillAll, FaultKind::KillRouters, FaultKind::CutCore], 6, 25, None },
    ignore_lease = { Mutant::IgnoreLease, &[FaultKind::CutRouter], 10, 25, None },
    ignore_leaving = { Mutant::IgnoreLeaving, &[FaultKind::LeaveServer], 6, 25, None },
    repeat_anything = { Mutant::RepeatAnything, &[FaultKind::DarkServer, FaultKind::CrashServer], 8, 25, None },
    ask_once = { Mutant::AskOnce, &[FaultKind::FreezeRouter, FaultKind::LateAccept], 10, 60, None },
    stale_news = { Mutant::StaleNews, &[FaultKind::PlanStorm], 4, 25, None },
    answer_twice = { Mutant::AnswerTwice, &[FaultKind::LoseMembers], 4, 10, None },
    reuse_numbers = { Mutant::ReuseNumbers, &[FaultKind::KillController, FaultKind::KillCore, FaultKind::BadNetwork, FaultKind::PlanStorm], 40, 10, None },
    free_repeats = { Mutant::FreeRepeats, &[FaultKind::Brownout], 4, 80, None },
    lax_pieces = { Mutant::LaxPieces, &[FaultKind::GarbleServers], 4, 25, None },
    pass_malformed = { Mutant::PassMalformed, &[FaultKind::GarbleServers], 4, 25, None },
    pass_unterminated = { Mutant::PassUnterminated, &[FaultKind::GarbleServers], 4, 25, None },
    resume_from_start = { Mutant::ResumeFromStart, &[FaultKind::KillRouters], 6, 25, None },
    forget_holders = { Mutant::ForgetHolders, &[FaultKind::BadNetwork, FaultKind::CutOneWay], 6, 25, None },
    forget_too_early = { Mutant::ForgetTooEarly, &[FaultKind::PlanStorm], 4, 25, None },
    ignore_lives = { Mutant::IgnoreLives, &[FaultKind::RestartServer], 8, 150, None },
    skip_ramp = { Mutant::SkipRamp, &[FaultKind::ReplaceServers, FaultKind::CrashServer], 8, 150, None },
)]
fn each_mutant_is_caught(
    mutant: Mutant,
    kinds: &[FaultKind],
    faults: u64,
    requests_a_second: u64,
    suspect: Option<u64>,
) {
    let quorum = if mutant == Mutant::ForgetHolders {
        Quorum::Holders
    } else {
        Quorum::Majority
    };
    let rules = |seed, mutant| WorldRules {
        faults,
        kinds: kinds.to_vec(),
        requests_a_second,
        suspect: suspect.map(Milliseconds),
        mutant,
        quorum,
        ..WorldRules::new(Deployment::Pahana, seed)
    };
    for seed in 1..40 {
        let caught = World::new(rules(seed, Some(mutant))).run();
        if !caught.violations.is_empty() {
            let clean = World::new(rules(seed, None)).run();
            assert!(
                clean.violations.is_empty(),
                "without the mutant, seed {seed}: {:#?}",
                clean.violations
            );
            return;
        }
    }
    panic!("{mutant:?} was never caught");
}

fn tenant_rules(seed: u64, mutant: Option<Mutant>) -> WorldRules {
    WorldRules {
        tenants: 3,
        faults: 12,
        requests_a_second: 60,
        mutant,
        ..WorldRules::new(Deployment::Pahana, seed)
    }
}

#[test]
fn keys_and_quotas_hold_whatever_fails() {
    for seed in 95_000_000..95_000_010 {
        let witness = World::new(tenant_rules(seed, None)).run();
        assert_eq!(witness.violations, Vec::<String>::new(), "seed {seed}");
        assert!(
            witness
                .words
                .get("unauthorized")
                .is_some_and(|count| *count > 0),
            "seed {seed}: {witness}"
        );
    }
}

/// Each fault in the keeping of quotas is seen, and the same runs without it are clean.
#[parameterized(
    double_grants = { Mutant::DoubleGrants },
    forget_credit = { Mutant::ForgetCredit },
)]
fn each_mutant_of_quotas_is_caught(mutant: Mutant) {
    let caught = (5000..5040).find(|seed| {
        !World::new(tenant_rules(*seed, Some(mutant)))
            .run()
            .violations
            .is_empty()
    });
    let seed = caught.unwrap_or_else(|| panic!("{mutant:?} was never caught"));
    assert_eq!(
        World::new(tenant_rules(seed, None)).run().violations,
        Vec::<String>::new(),
        "seed {seed}"
    );
}
