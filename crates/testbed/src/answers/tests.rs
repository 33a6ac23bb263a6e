use super::*;
use clap::ValueEnum;

const RULES: AnswersRules = AnswersRules {
    seed: 18,
    calls: 12_000,
    lanes: 4,
    only_lane: None,
    mutant: None,
};

#[test]
fn whatever_servers_do_each_answer_reaches_its_own_client_and_nothing_runs_twice() {
    let report = play_answers(RULES).expect("it can be played");
    assert!(report.violations.is_empty(), "{report}");
    // Every row was played, and calls ended in every way that they may.
    for play in Play::value_variants() {
        assert!(
            report.plays.contains_key(play),
            "{play:?} was never played: {report}"
        );
    }
    for fate in [
        Fate::Served,
        Fate::Cut,
        Fate::Failed,
        Fate::Refused(503),
        Fate::Unknown,
    ] {
        assert!(
            report.fates.contains_key(&fate),
            "{fate:?} never came: {report}"
        );
    }
}

#[test]
fn each_mutant_is_caught() {
    for mutant in AnswersMutant::value_variants() {
        let rules = AnswersRules {
            calls: 4000,
            mutant: Some(*mutant),
            ..RULES
        };
        let report = play_answers(rules).expect("it can be played");
        assert!(
            !report.violations.is_empty(),
            "{mutant:?} was not caught: {report}"
        );
    }
}
