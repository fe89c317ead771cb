//! Settings: the JSON text that an instance is given at its start, and the operator's own file
//! ([`operator`]). Both are checked here, and their keys are mapped to the field's terms.

pub mod operator;
mod raw;

use shorewharf_decisions::interface::Settings;
use thiserror::Error;

use crate::raw::{RawSettings, remove_nulls};

/// Settings that can't be read; the text names the key at fault.
#[derive(Debug, Error)]
#[error("settings: {0}")]
pub struct SettingsError(#[from] pub serde_path_to_error::Error<serde_json::Error>);

/// Settings that were read.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the decisions.
    pub settings: Settings,
    /// Which value of a load report is the load over capacity.
    pub load_column: Option<usize>,
}

/// Parses the settings' JSON text. Keys that are missing or null have defaults; unknown ones are ignored.
///
/// # Errors
///
/// Fails where the text is not JSON or a value has the wrong type.
pub fn parse(text: &[u8]) -> Result<ParsedSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let mut value: serde_json::Value = serde_path_to_error::deserialize(&mut json)?;
    remove_nulls(&mut value);
    let raw: RawSettings = serde_path_to_error::deserialize(value)?;
    let load_column = raw.load_column();
    Ok(ParsedSettings { settings: raw.into(), load_column })
}
