//! Outcomes: what proposers are told of their commands.

use crate::plan::PlanError;
use types::{Address, ConfigEpoch, ResultCode, ZoneName};

/// The outcome of a proposal, sent to its proposer as JSON.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct CommandOutcome {
    /// The number of the result code.
    pub code: u16,
    /// The word of the result code.
    pub result: &'static str,
    /// The epoch that the command was accepted as; if it was rejected, the newest epoch.
    pub epoch: ConfigEpoch,
    /// The epoch of the plan in force, which the next plan must build on.
    pub plan_epoch: ConfigEpoch,
    /// Details of the result; empty if there are none.
    #[serde(rename = "why")]
    pub reason: String,
    /// The errors of the plan, if it was rejected for them.
    #[serde(rename = "faults", skip_serializing_if = "Vec::is_empty")]
    pub plan_errors: Vec<PlanError>,
}

impl CommandOutcome {
    /// Whether the command was accepted, now or before.
    pub fn is_accepted(&self) -> bool {
        self.code == ResultCode::Accepted.number()
    }

    /// The JSON that goes to the proposer.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("an outcome can be written as JSON")
    }
}

/// Why the state machine does not apply a proposal.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Rejection {
    /// The proposal is a retry of one that was accepted.
    #[error("it was accepted before; it is not applied twice")]
    AlreadyAccepted { epoch: ConfigEpoch },
    /// The id belongs to another proposal that was accepted.
    #[error("epoch {epoch} has this id")]
    IdReused { epoch: ConfigEpoch },
    /// The proposal may have been accepted before the oldest entry of the history.
    #[error("it builds on what came before epoch {compacted}; nothing changed now")]
    TooOldToKnow { compacted: ConfigEpoch },
    /// The body is no proposal.
    #[error("not a proposal")]
    NotAProposal,
    /// The proposal builds on an epoch that was not accepted yet.
    #[error("it builds on epoch {0}, which is not accepted so far")]
    EpochNotAccepted(ConfigEpoch),
    /// The proposal builds on an epoch before that of the plan in force.
    #[error("it builds on epoch {base}, the plan in force is of epoch {plan_epoch}")]
    EpochConflict {
        base: ConfigEpoch,
        plan_epoch: ConfigEpoch,
    },
    /// A plan or change without a revision names no epoch.
    #[error("the epoch that it builds on is missing")]
    MissingEpoch,
    /// The proposal builds on a revision that was not accepted yet.
    #[error("it builds on revision {0}, which is not accepted so far")]
    RevisionNotAccepted(u64),
    /// The proposal builds on a revision before that of the plan in force.
    #[error("it builds on revision {base}, the plan in force is revision {newest}")]
    RevisionConflict { base: u64, newest: u64 },
    /// The revision does not grow.
    #[error("revision {own} is not above {newest}")]
    RevisionNotAbove { own: u64, newest: u64 },
    /// The change was merged into another plan than the one in force. Merged again, it may be accepted, so this
    /// is no conflict between operators.
    #[error("it was merged into epoch {base}, the plan in force is of epoch {plan_epoch}")]
    MergedIntoOldPlan {
        base: ConfigEpoch,
        plan_epoch: ConfigEpoch,
    },
    /// The delta does not fit the plan in force.
    #[error("the change is not one of the plan in force")]
    DeltaDoesNotFit,
    /// Neither a member nor the plan names the zone.
    #[error("no member or plan names zone `{zone}`; known: {known}")]
    UnknownZone { zone: ZoneName, known: String },
    /// The zone was changed after the request arrived.
    #[error("zone `{zone}` was changed as epoch {epoch}, after this request came in")]
    Overtaken { zone: ZoneName, epoch: ConfigEpoch },
    /// An address to be removed is that of no member.
    #[error("{0} is not a member; `latest` shows who is")]
    UnknownMember(Address),
    /// The membership to be finalized is not the present one.
    #[error("the membership has changed since")]
    MembershipChanged,
    /// There is a token key.
    #[error("there is a key already")]
    TokenKeyExists,
}

impl Rejection {
    /// The result code that the proposer is given.
    pub(crate) fn code(&self) -> ResultCode {
        match self {
            Rejection::AlreadyAccepted { .. } => ResultCode::Accepted,
            Rejection::IdReused { .. } => ResultCode::IdReused,
            Rejection::TooOldToKnow { .. } => ResultCode::TooOldToKnow,
            Rejection::NotAProposal | Rejection::DeltaDoesNotFit => ResultCode::BadMessage,
            // The proposer may retry: these are no final answers.
            Rejection::EpochNotAccepted(_)
            | Rejection::RevisionNotAccepted(_)
            | Rejection::MergedIntoOldPlan { .. } => ResultCode::CoreNotReady,
            Rejection::EpochConflict { .. }
            | Rejection::RevisionConflict { .. }
            | Rejection::MembershipChanged
            | Rejection::TokenKeyExists => ResultCode::Conflict,
            Rejection::MissingEpoch | Rejection::RevisionNotAbove { .. } => ResultCode::BadPlan,
            Rejection::UnknownZone { .. } => ResultCode::UnknownZone,
            Rejection::Overtaken { .. } => ResultCode::Overtaken,
            Rejection::UnknownMember(_) => ResultCode::UnknownMember,
        }
    }
}
