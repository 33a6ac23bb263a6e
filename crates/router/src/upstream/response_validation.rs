//! What a server's answer proves about the call in whose place it came.

/// Whose answer a head says that it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerIdentity {
    /// It names this call, once.
    Own,
    /// It names no call.
    Missing,
    /// It names another call, or more than one.
    Other,
}

/// What a head claims, whoever the answer belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimedIdentity {
    /// The server ran the call and this is its whole answer.
    Success,
    /// The server ran it, or may have run it, and failed.
    Failure,
    /// The server did not run it.
    NotRun,
    /// Another server has the address and did not run it.
    Elsewhere,
    /// Nothing that can be relied on.
    Nothing,
}

/// Where an answer stands on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerPlace {
    /// It's the first answer on the connection, and came after the whole request had been written: the
    /// server has been asked nothing else there, so nothing else can be answered.
    Sole,
    /// Another request was answered there before, or the request was not yet whole: an answer that
    /// belongs to something else may stand here.
    Doubtful,
}

/// What an answer says about the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseValidation {
    /// It's the answer to this call; its body is to be passed on.
    Taken,
    /// It's the answer to this call, and the server failed while it ran it, or may have run it.
    Failed,
    /// The server surely did not run it.
    NotRun,
    /// Another server has the address; nothing ran.
    Elsewhere,
    /// It's no answer to this call, or none that can be relied on.
    Foreign,
}

impl ResponseValidation {
    /// Whether the server that was meant sent it, so that what it says of itself can be believed.
    pub fn is_of_the_server(self) -> bool {
        match self {
            ResponseValidation::Taken | ResponseValidation::Failed | ResponseValidation::NotRun => {
                true
            }
            ResponseValidation::Elsewhere | ResponseValidation::Foreign => false,
        }
    }

    /// Judges an answer.
    ///
    /// Invariant: that a call did not run is believed only of an answer that names the call, or of one
    /// that names none in a place where no other answer can stand. Success and failure are believed
    /// only of an answer that names the call.
    pub fn of(
        identity: AnswerIdentity,
        claim: ClaimedIdentity,
        place: AnswerPlace,
    ) -> ResponseValidation {
        match (identity, claim, place) {
            (AnswerIdentity::Other, _, _) => ResponseValidation::Foreign,
            (AnswerIdentity::Own, ClaimedIdentity::Success, _) => ResponseValidation::Taken,
            (AnswerIdentity::Own, ClaimedIdentity::Failure, _) => ResponseValidation::Failed,
            (AnswerIdentity::Own, ClaimedIdentity::NotRun, _) => ResponseValidation::NotRun,
            (AnswerIdentity::Own, ClaimedIdentity::Elsewhere, _) => ResponseValidation::Elsewhere,
            (AnswerIdentity::Missing, ClaimedIdentity::NotRun, AnswerPlace::Sole) => {
                ResponseValidation::NotRun
            }
            (AnswerIdentity::Missing, ClaimedIdentity::Elsewhere, AnswerPlace::Sole) => {
                ResponseValidation::Elsewhere
            }
            (AnswerIdentity::Missing, _, _) | (_, ClaimedIdentity::Nothing, _) => {
                ResponseValidation::Foreign
            }
        }
    }
}

#[cfg(test)]
mod tests;
