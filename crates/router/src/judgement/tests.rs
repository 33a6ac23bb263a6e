use super::*;
use yare::parameterized;

const IDENTITIES: [AnswerIdentity; 3] = [
    AnswerIdentity::Own,
    AnswerIdentity::Missing,
    AnswerIdentity::Other,
];
const CLAIMS: [AnswerClaim; 5] = [
    AnswerClaim::Success,
    AnswerClaim::Failure,
    AnswerClaim::NotRun,
    AnswerClaim::Elsewhere,
    AnswerClaim::Nothing,
];
const PLACES: [AnswerPlace; 2] = [AnswerPlace::Sole, AnswerPlace::Doubtful];

/// All judgements of one identity, in the order of the claims.
fn judged(identity: AnswerIdentity, place: AnswerPlace) -> [Judgement; 5] {
    CLAIMS.map(|claim| Judgement::of(identity, claim, place))
}

#[parameterized(
    own_alone = { AnswerIdentity::Own, AnswerPlace::Sole },
    own_behind_others = { AnswerIdentity::Own, AnswerPlace::Doubtful },
)]
fn an_answer_that_names_the_call_is_believed_wherever_it_stands(
    identity: AnswerIdentity,
    place: AnswerPlace,
) {
    use Judgement::{Elsewhere, Failed, Foreign, NotRun, Taken};
    assert_eq!(
        judged(identity, place),
        [Taken, Failed, NotRun, Elsewhere, Foreign]
    );
}

#[test]
fn an_answer_that_names_another_call_is_believed_nowhere() {
    for place in PLACES {
        assert_eq!(
            judged(AnswerIdentity::Other, place),
            [Judgement::Foreign; 5]
        );
    }
}

#[test]
fn an_answer_that_names_none_is_believed_only_where_no_other_can_stand_and_only_that_nothing_ran() {
    use Judgement::{Elsewhere, Foreign, NotRun};
    assert_eq!(
        judged(AnswerIdentity::Missing, AnswerPlace::Sole),
        [Foreign, Foreign, NotRun, Elsewhere, Foreign]
    );
    assert_eq!(
        judged(AnswerIdentity::Missing, AnswerPlace::Doubtful),
        [Foreign; 5]
    );
}

#[test]
fn what_claims_that_it_ran_is_never_taken_as_not_run() {
    for identity in IDENTITIES {
        for place in PLACES {
            for claim in [
                AnswerClaim::Success,
                AnswerClaim::Failure,
                AnswerClaim::Nothing,
            ] {
                let judgement = Judgement::of(identity, claim, place);
                assert!(
                    !matches!(judgement, Judgement::NotRun | Judgement::Elsewhere),
                    "{identity:?} {claim:?}"
                );
            }
        }
    }
}
