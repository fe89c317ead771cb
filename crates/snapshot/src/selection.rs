//! Which record to restore: the latest one that is complete and may be used, and why later ones are not.

use std::io;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use shorewharf_units::Micros;
use thiserror::Error;

use crate::folder::{SnapshotFolder, read};
use crate::record::{DecodeError, Record};
use crate::validation::{RestoreCriteria, ValidationError, validate};

/// Why a record was not selected.
#[derive(Debug, Error)]
pub enum RejectionCause {
    /// It can't be read, or is damaged.
    #[error("{0}")]
    Unreadable(#[from] DecodeError),
    /// It is complete, and not to be used.
    #[error("{0}")]
    Invalid(#[from] ValidationError),
}

/// A record that was not selected.
#[derive(Debug)]
pub struct RejectedSnapshot {
    /// Where it is.
    pub path: PathBuf,
    /// Why it was not selected.
    pub cause: RejectionCause,
}

/// The record to restore.
#[derive(Debug)]
pub struct SelectedSnapshot<T> {
    /// Where it is.
    pub path: PathBuf,
    /// What it holds.
    pub record: Record<T>,
    /// Its age.
    pub age: Micros,
}

/// The result of a selection.
#[derive(Debug)]
pub struct SnapshotSelection<T> {
    /// The record to restore, if there is one.
    pub selected: Option<SelectedSnapshot<T>>,
    /// The later records that were not selected, the latest first.
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

/// Reads a record and validates it; returns it with its age.
fn read_valid<T: DeserializeOwned>(
    path: &Path,
    criteria: &RestoreCriteria<'_>,
) -> Result<(Record<T>, Micros), RejectionCause> {
    let record = read(path)?;
    let age = validate(&record.header, &record.list, criteria)?;
    Ok((record, age))
}
