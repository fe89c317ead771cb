//! Which record to start from: the latest one that is whole and may be believed, and why not those that are later.

use std::io;
use std::path::PathBuf;

use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::folder::{Folder, read};
use crate::judge::{Aside, Asks, judge};
use crate::record::{Record, Unreadable};

/// Why a record was not taken.
#[derive(Debug, Error)]
pub enum Why {
    /// It can't be read, or is damaged.
    #[error("{0}")]
    Unreadable(#[from] Unreadable),
    /// It is whole, and not to be believed.
    #[error("{0}")]
    Aside(#[from] Aside),
}

/// What was found.
#[derive(Debug)]
pub struct Choice<T> {
    /// The record, where it is, and its age in microseconds.
    pub taken: Option<(PathBuf, Record<T>, u64)>,
    /// Those that were looked at before, the latest first, and why they were not taken.
    pub left: Vec<(PathBuf, Why)>,
}

/// Looks for the record to start from.
///
/// # Errors
/// Where the folder can't be read.
pub fn choose<T: DeserializeOwned>(folder: &Folder, asks: &Asks) -> io::Result<Choice<T>> {
    let mut left = Vec::new();
    for path in folder.records()? {
        let judged = read(&path)
            .map_err(Why::from)
            .and_then(|record| Ok((judge(&record.head, &record.list, asks).map_err(Why::from)?, record)));
        match judged {
            Ok((age, record)) => return Ok(Choice { taken: Some((path, record, age)), left }),
            Err(why) => left.push((path, why)),
        }
    }
    Ok(Choice { taken: None, left })
}
