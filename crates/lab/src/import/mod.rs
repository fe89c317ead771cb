//! Import of drawn days: days that the simulator draws (`lbsim draw`), as JSON. Values of [`Day`] that the file
//! lacks are constants of the import; the defaults of scenarios are not used.

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
        /// Path of the file.
        path: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not valid JSON, a key is missing, or a value has the wrong type.
    #[error("{path}: {source}")]
    Json {
        /// Path of the file.
        path: PathBuf,
        /// The key and the cause.
        source: Box<serde_path_to_error::Error<serde_json::Error>>,
    },
    /// A value that the emulator does not support.
    #[error("{path}: {key}: {found} is not supported; supported: {allowed}")]
    Unsupported {
        /// Path of the file.
        path: PathBuf,
        /// Path of the key.
        key: String,
        /// The value in the file.
        found: String,
        /// The values that are supported.
        allowed: &'static str,
    },
}

/// Reads a drawn day from a file. The day is named after the file.
///
/// # Errors
/// The file can't be read, or [`parse`] rejects its text.
pub fn read(path: &Path) -> Result<Day, ImportError> {
    let text =
        std::fs::read_to_string(path).map_err(|source| ImportError::Io { path: path.into(), source })?;
    parse(path, &text)
}

/// Reads a drawn day from its text. `path` identifies it in messages, and its stem is the name of the
/// day.
///
/// # Errors
/// The text is not a drawn day, or has values that the emulator does not support.
pub fn parse(path: &Path, text: &str) -> Result<Day, ImportError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let imported: ImportedDay = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| ImportError::Json { path: path.into(), source: Box::new(e) })?;
    let name = path.file_stem().map_or_else(|| imported.kind.clone(), |s| s.to_string_lossy().into_owned());
    imported.into_day(name).map_err(|UnsupportedValue { key, found, allowed }| ImportError::Unsupported {
        path: path.into(),
        key,
        found,
        allowed,
    })
}
