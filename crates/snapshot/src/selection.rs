//! Selects the record to restore: the latest one that is complete and valid. Each later record is returned with the
//! reason why it was rejected.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use shorewharf_units::Micros;
use thiserror::Error;

use crate::folder::{SnapshotFolder, read};
use crate::record::{DecodeError, Record};
use crate::validation::{RestoreCriteria, ValidationError, validate};

/// Why a record was rejected.
#[derive(Debug, Error)]
pub enum RejectionCause {
    /// The record can't be read, or is damaged.
    #[error("{0}")]
    Unreadable(#[from] DecodeError),
    /// The record is complete, but must not be restored.
    #[error("{0}")]
    Invalid(#[from] ValidationError),
}

/// A record that was rejected.
#[derive(Debug)]
pub struct RejectedSnapshot {
    /// The record's file.
    pub path: PathBuf,
    /// Why the record was rejected.
    pub cause: RejectionCause,
}

/// The record to restore.
#[derive(Debug)]
pub struct SelectedSnapshot<T> {
    /// The record's file.
    pub path: PathBuf,
    /// The decoded record.
    pub record: Record<T>,
    /// The time since the record was begun, in microseconds.
    pub age: Micros,
}

/// The result of a selection.
#[derive(Debug)]
pub struct SnapshotSelection<T> {
    /// The record to restore, if any is valid.
    pub selected: Option<SelectedSnapshot<T>>,
    /// The later records, which were rejected, the latest first.
    pub rejected: Vec<RejectedSnapshot>,
}

/// Selects the record to restore.
///
/// # Errors
///
/// Returns an error if the folder can't be read.
pub fn select<T: DeserializeOwned>(
    folder: &SnapshotFolder,
    criteria: &RestoreCriteria<'_>,
) -> io::Result<SnapshotSelection<T>> {
    let mut rejected = Vec::new();
    for path in folder.records()? {
        match read_valid(&path, criteria) {
            Ok((record, age)) => {
                let selected = Some(SelectedSnapshot { path, record, age });
                return Ok(SnapshotSelection { selected, rejected });
            }
            Err(cause) => rejected.push(RejectedSnapshot { path, cause }),
        }
    }
    Ok(SnapshotSelection { selected: None, rejected })
}

/// Reads and validates a record; returns it with its age.
fn read_valid<T: DeserializeOwned>(
    path: &Path,
    criteria: &RestoreCriteria<'_>,
) -> Result<(Record<T>, Micros), RejectionCause> {
    let record = read(path)?;
    let age = validate(&record.header, &record.list, criteria)?;
    Ok((record, age))
}
