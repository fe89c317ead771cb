//! Errors in a scenario's file.

use thiserror::Error;

/// What is wrong with a scenario's file.
#[derive(Debug, Error, PartialEq)]
pub enum ScenarioError {
    /// The text is not valid TOML, or a key is unknown, missing or of the wrong type. The message has the line and column.
    #[error("{0}")]
    Syntax(String),
    /// A key has a value that is not allowed.
    #[error("{key}: {cause}")]
    InvalidValue {
        /// The key.
        key: String,
        /// What is wrong with its value.
        cause: String,
    },
}

impl ScenarioError {
    pub(crate) fn invalid(key: impl Into<String>, cause: impl Into<String>) -> ScenarioError {
        ScenarioError::InvalidValue { key: key.into(), cause: cause.into() }
    }
}

/// Checks that the value of a key is from 0 to `maximum`.
pub(crate) fn check_range(key: impl Into<String>, value: f64, maximum: f64) -> Result<(), ScenarioError> {
    if !(0.0..=maximum).contains(&value) {
        return Err(ScenarioError::invalid(key, format!("must be from 0 to {maximum}, but is {value}")));
    }
    Ok(())
}
