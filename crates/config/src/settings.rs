use crate::plan::{Fault, faults_of};
use schematic::{Config, ConfigLoader, ValidateError, ValidateResult};
use std::path::Path;
use types::{Address, ZoneName};

/// Why settings can't be used: each fault with its field.
#[derive(Debug, thiserror::Error)]
#[error("{}", .0.iter().map(|fault| format!("settings: {}: {}", fault.path, fault.why)).collect::<Vec<_>>().join("\n"))]
pub struct SettingsError(pub Vec<Fault>);

/// Reads a daemon's settings file (TOML), unknown fields being faults.
pub fn read_settings<T: Config>(file: Option<&Path>) -> Result<T, SettingsError> {
    let mut loader = ConfigLoader::<T>::new();
    if let Some(file) = file {
        let text = std::fs::read_to_string(file).map_err(|fault| {
            let path = file.display().to_string();
            SettingsError(vec![Fault {
                path,
                why: format!("can't be read: {fault}"),
            }])
        })?;
        loader
            .code(text, "settings.toml")
            .map_err(|fault| SettingsError(faults_of(&fault)))?;
    }
    loader
        .load()
        .map(|loaded| loaded.config)
        .map_err(|fault| SettingsError(faults_of(&fault)))
}

/// A setting that is an IP number with a port.
pub fn an_address<D, C>(text: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    text.parse::<Address>()
        .map(drop)
        .map_err(|error| ValidateError::new(error.to_string()))
}

/// A setting that is a list of such.
pub fn addresses<D, C>(list: &[String], data: &D, context: &C, is_final: bool) -> ValidateResult {
    list.iter()
        .try_for_each(|text| an_address(text, data, context, is_final))
}

/// A setting that is a plain name.
pub fn a_name<D, C>(text: &str, _: &D, _: &C, _: bool) -> ValidateResult {
    if ZoneName::from(text).is_valid() {
        Ok(())
    } else {
        Err(ValidateError::new(format!(
            "`{text}` is not a name: 1 to 64 letters, digits or any of -_.: are allowed"
        )))
    }
}

/// A setting that is a number within bounds.
pub fn within<D, C>(least: u64, most: u64) -> impl FnOnce(&u64, &D, &C, bool) -> ValidateResult {
    move |value, _, _, _| {
        if (least..=most).contains(value) {
            Ok(())
        } else {
            Err(ValidateError::new(format!(
                "{value} is not within {least} to {most}"
            )))
        }
    }
}

/// Addresses out of a list that was checked when the settings were read.
pub fn parse_addresses(list: &[String]) -> Vec<Address> {
    list.iter().filter_map(|text| text.parse().ok()).collect()
}
