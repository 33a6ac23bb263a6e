//! Settings files of the daemons, and validators for settings and plans.

use crate::schema_errors::{InvalidField, invalid_fields};
use schematic::{Config, ConfigLoader, ValidateError, ValidateResult};
use std::path::{Path, PathBuf};
use types::{Address, ZoneName};

/// Why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("settings: {}: can't be read: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is no TOML, or fields are unknown or invalid: a line of the message for each field.
    #[error("{}", lines(.0))]
    Invalid(Vec<InvalidField>),
}

fn lines(fields: &[InvalidField]) -> String {
    let lines: Vec<String> = fields
        .iter()
        .map(|field| format!("settings: {field}"))
        .collect();
    lines.join("\n")
}

/// Reads a daemon's settings file (TOML). Without a file, all settings have their defaults.
///
/// # Errors
///
/// The file cannot be read, is malformed, or has unknown or invalid fields.
pub fn read_settings<T: Config>(file: Option<&Path>) -> Result<T, SettingsError> {
    let mut loader = ConfigLoader::<T>::new();
    if let Some(path) = file {
        let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        loader
            .code(text, "settings.toml")
            .map_err(|error| SettingsError::Invalid(invalid_fields(&error)))?;
    }
    loader
        .load()
        .map(|loaded| loaded.config)
        .map_err(|error| SettingsError::Invalid(invalid_fields(&error)))
}

/// Validates a setting that is an IPv4 address with a port.
///
/// # Errors
///
/// The text is no such address.
pub fn validate_address<D, C>(text: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    text.parse::<Address>()
        .map(drop)
        .map_err(|error| ValidateError::new(error.to_string()))
}

/// Validates a setting that is a list of addresses; see [`validate_address`].
///
/// # Errors
///
/// An entry of the list is no address.
pub fn validate_addresses<D, C>(
    list: &[String],
    data: &D,
    context: &C,
    is_final: bool,
) -> ValidateResult {
    list.iter()
        .try_for_each(|text| validate_address(text, data, context, is_final))
}

/// Validates a setting that is a name: 1 to 64 letters, digits or any of `-_.:`.
///
/// # Errors
///
/// The text is no such name.
pub fn validate_name<D, C>(text: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    if ZoneName::from(text).is_valid() {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "`{text}` is not a name: 1 to 64 letters, digits or any of -_.: are allowed"
        )))
    }
}

/// A validator of a setting that is a number from `min` to `max`, both included.
pub fn validate_range<D, C>(
    min: u64,
    max: u64,
) -> impl FnOnce(&u64, &D, &C, bool) -> ValidateResult {
    move |value, _, _, _| {
        if (min..=max).contains(value) {
            Ok(())
        } else {
            Err(ValidateError::new(format!(
                "{value} is not within {min} to {max}"
            )))
        }
    }
}

/// Parses a list of addresses that [`validate_addresses`] accepted. Entries that are no addresses are left out.
pub fn parse_addresses(list: &[String]) -> Vec<Address> {
    list.iter().filter_map(|text| text.parse().ok()).collect()
}
