//! Errors of the schema library, as a path and a message for each field.

use schematic::ConfigError;

/// A field that the schema rejected.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {message}")]
pub struct InvalidField {
    /// The path of the field; `.` stands for the whole document.
    pub path: String,
    /// What is wrong with the field, and what is allowed.
    pub message: String,
}

/// The fields that an error of the schema library is about.
pub(crate) fn invalid_fields(error: &ConfigError) -> Vec<InvalidField> {
    match error {
        ConfigError::Parser { error, .. } => vec![InvalidField {
            path: error.path.clone(),
            message: error.message.clone(),
        }],
        ConfigError::Validator { error, .. } => error
            .errors
            .iter()
            .map(|error| InvalidField {
                path: error.path.to_string(),
                message: error.message.clone(),
            })
            .collect(),
        other => vec![InvalidField {
            path: ".".into(),
            message: other.to_full_string(),
        }],
    }
}
