use super::*;
use yare::parameterized;

const IDENTITIES: [AnswerIdentity; 3] = [
    AnswerIdentity::Own,
    AnswerIdentity::Missing,
    AnswerIdentity::Other,
];
const CLAIMS: [ClaimedIdentity; 5] = [
    ClaimedIdentity::Success,
    ClaimedIdentity::Failure,
    ClaimedIdentity::NotRun,
    ClaimedIdentity::Elsewhere,
    ClaimedIdentity::Nothing,
];
const PLACES: [AnswerPlace; 2] = [AnswerPlace::Sole, AnswerPlace::Doubtful];

/// All judgements of one identity, in the order of the claims.
fn judged(identity: AnswerIdentity, place: AnswerPlace) -> [ResponseValidation; 5] {
    CLAIMS.map(|claim| ResponseValidation::of(identity, claim, place))
}

#[parameterized(
    own_alone = { AnswerIdentity::Own, AnswerPlace::Sole },
    own_behind_others = { AnswerIdentity::Own, AnswerPlace::Doubtful },
)]
fn an_answer_that_names_the_call_is_believed_wherever_it_stands(
    identity: AnswerIdentity,
    place: AnswerPlace,
) {
    use ResponseValidation::{Elsewhere, Failed, Foreign, NotRun, Taken};
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
            [ResponseValidation::Foreign; 5]
        );
    }
}

#[test]
fn an_answer_that_names_none_is_believed_only_where_no_other_can_stand_and_only_that_nothing_ran() {
    use ResponseValidation::{Elsewhere, Foreign, NotRun};
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
                ClaimedIdentity::Success,
                ClaimedIdentity::Failure,
                ClaimedIdentity::Nothing,
            ] {
                let response_validation = ResponseValidation::of(identity, claim, place);
                assert!(
                    !matches!(
                        response_validation,
                        ResponseValidation::NotRun | ResponseValidation::Elsewhere
                    ),
                    "{identity:?} {claim:?}"
                );
            }
        }
    }
}
