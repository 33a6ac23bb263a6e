use crate::schema_errors::InvalidField;
use crate::tenants::MAX_QUOTA_UNITS;
use serde::{Serialize, Serializer};

/// An error in an operator's plan or in a change to it: where it is, and why it was rejected.
///
/// Operators get it as JSON with the keys `path` and `why`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, thiserror::Error)]
#[error("{path}: {reason}")]
pub struct PlanError {
    /// The path of the field, such as `services.drafts.slots`; `.` stands for the whole document.
    pub path: String,
    /// Why the field was rejected.
    #[serde(rename = "why", serialize_with = "as_text")]
    pub reason: PlanErrorReason,
}

/// Why a plan, or a change to a plan, was rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum PlanErrorReason {
    /// The document is not UTF-8.
    #[error("is not UTF-8: {0}")]
    NotUtf8(std::str::Utf8Error),
    /// The plan is not JSON.
    #[error("is not JSON: {message}")]
    NotJson {
        /// The JSON parser's message.
        message: String,
    },
    /// The plan is JSON, but not an object.
    #[error("is not a JSON object")]
    NotAnObject,
    /// One of the two inputs of a merge is not JSON.
    #[error("the {input} is not JSON: {message}")]
    MergeInputNotJson {
        /// The input that could not be parsed.
        input: MergeInput,
        /// The JSON parser's message.
        message: String,
    },
    /// The change is JSON, but not an object.
    #[error("a change is a JSON object")]
    ChangeNotAnObject,
    /// The path prefix of a route lacks its first or last slash.
    #[error("`{0}` does not begin and end with a slash")]
    PathPrefixWithoutSlashes(String),
    /// The deadline of a route is 0 ms.
    #[error("0 leaves no time")]
    ZeroDeadline,
    /// The split of a route is empty.
    #[error("it leads to no service")]
    EmptySplit,
    /// All weights in the split of a route are 0.
    #[error("its weights add up to 0")]
    ZeroWeights,
    /// The split of a route names a service that the plan does not define.
    #[error("`{0}` is not a service of this plan")]
    UnknownService(String),
    /// Two routes have the same host and path prefix.
    #[error("`{route}` has the same host and prefix as `{other}`")]
    DuplicateRoute {
        /// The name of the route that was rejected.
        route: String,
        /// The name of the route before it.
        other: String,
    },
    /// The name of a tenant is empty, too long or has other characters than those allowed.
    #[error("a name is 1 to 64 letters, digits or any of -_.:")]
    InvalidTenantName,
    /// Two tenants have the same name.
    #[error("tenants[{other}] has the same name")]
    DuplicateTenantName {
        /// The index of the tenant before it.
        other: usize,
    },
    /// An API key is empty.
    #[error("a key is not empty")]
    EmptyApiKey,
    /// Two tenants share an API key. The message does not show the key.
    #[error("tenants[{other}] has the same key")]
    DuplicateApiKey {
        /// The index of the tenant before it.
        other: usize,
    },
    /// The rate or the burst of a tenant is negative, too large or not a number.
    #[error("it is not within 0 to {MAX_QUOTA_UNITS:e}")]
    QuotaOutOfRange,
    /// Operators count plans by revisions, and the plan has none.
    #[error("it is missing or 0")]
    MissingRevision,
    /// A field was rejected by the schema: unknown, missing, of the wrong type or out of range.
    #[error("{0}")]
    InvalidField(String),
    /// A dialect of another package rejected the document.
    #[error("{0}")]
    Dialect(String),
}

/// The two inputs of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeInput {
    /// The plan that is to be changed.
    Plan,
    /// The change, a JSON merge patch.
    Change,
}

impl std::fmt::Display for MergeInput {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            MergeInput::Plan => "plan",
            MergeInput::Change => "change",
        })
    }
}

impl PlanError {
    /// The path that stands for the whole document.
    const DOCUMENT: &str = ".";

    /// An error in the field at this path.
    pub fn new(path: impl Into<String>, reason: PlanErrorReason) -> PlanError {
        PlanError {
            path: path.into(),
            reason,
        }
    }

    /// An error in the document as a whole.
    pub fn in_document(reason: PlanErrorReason) -> PlanError {
        PlanError::new(PlanError::DOCUMENT, reason)
    }

    /// An error that a dialect of another package found in the field at this path.
    pub fn in_dialect(path: impl Into<String>, message: impl Into<String>) -> PlanError {
        PlanError::new(path, PlanErrorReason::Dialect(message.into()))
    }
}

impl From<InvalidField> for PlanError {
    fn from(field: InvalidField) -> PlanError {
        PlanError::new(field.path, PlanErrorReason::InvalidField(field.message))
    }
}

fn as_text<S: Serializer>(reason: &PlanErrorReason, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(reason)
}
