//! Parses and checks the settings of an instance: the JSON text that it gets when it starts, and the
//! operator's own file ([`operator`]). The keys of both are mapped to names that the rest of the program
//! uses.

pub mod operator;
mod raw;

use shorewharf_decisions::interface::Settings;
use thiserror::Error;

use crate::raw::{RawSettings, remove_nulls};

/// The reason why the JSON text can't be parsed. The message names the invalid key.
#[derive(Debug, Error)]
#[error("settings: {0}")]
pub struct SettingsError(#[from] pub serde_path_to_error::Error<serde_json::Error>);

/// The parsed JSON text.
#[derive(Clone, Debug)]
pub struct ParsedSettings {
    /// The settings of the decisions.
    pub settings: Settings,
    /// Index of the value in a load report that is the server's load divided by its capacity; `None` if load
    /// reports have no such value.
    pub load_column: Option<usize>,
}

/// Parses the JSON text of the settings. Keys that are missing or null get defaults; unknown keys are
/// ignored.
///
/// # Errors
///
/// Fails if the text is not JSON or a value has the wrong type.
pub fn parse(text: &[u8]) -> Result<ParsedSettings, SettingsError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let mut value: serde_json::Value = serde_path_to_error::deserialize(&mut json)?;
    remove_nulls(&mut value);
    let raw: RawSettings = serde_path_to_error::deserialize(value)?;
    let load_column = raw.load_column();
    Ok(ParsedSettings { settings: raw.into(), load_column })
}
