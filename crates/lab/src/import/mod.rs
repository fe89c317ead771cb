//! Import of days that the simulator drew (`lbsim draw`): every value of [`Day`] comes from the file.

mod convert;
mod format;

use std::path::{Path, PathBuf};

use shorewharf_emulator::day::Day;
use thiserror::Error;

use convert::UnsupportedValue;
use format::ImportedDay;

/// Why a drawn day could not be imported.
#[derive(Debug, Error)]
pub enum ImportError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    Io {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// A key is missing or of the wrong form.
    #[error("{path}: {source}")]
    Form {
        /// The file.
        path: PathBuf,
        /// The key and what is wrong with it.
        source: Box<serde_path_to_error::Error<serde_json::Error>>,
    },
    /// A figure that the models here have no counterpart for.
    #[error("{path}: {key}: {found} can't be played here (only {allowed})")]
    Unknown {
        /// The file.
        path: PathBuf,
        /// The key.
        key: String,
        /// What stands there.
        found: String,
        /// What is supported.
        allowed: &'static str,
    },
}

/// Reads a drawn day from a file. The day is named after the file.
///
/// # Errors
/// The file can't be read, or is no drawn day that can be run here.
pub fn read(path: &Path) -> Result<Day, ImportError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ImportError::Io { path: path.into(), source })?;
    parse(path, &text)
}

/// Reads a drawn day from its text; `path` names it in messages and gives the day its name.
///
/// # Errors
/// The text is no drawn day that can be run here.
pub fn parse(path: &Path, text: &str) -> Result<Day, ImportError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let imported: ImportedDay = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| ImportError::Form { path: path.into(), source: Box::new(e) })?;
    let name = path.file_stem().map_or_else(|| imported.kind.clone(), |s| s.to_string_lossy().into_owned());
    imported.day(name).map_err(|UnsupportedValue { key, found, allowed }| ImportError::Unknown {
        path: path.into(),
        key,
        found,
        allowed,
    })
}
