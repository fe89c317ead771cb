//! Databases that are not the store's own file: a backup being written, and one being read without touching it.

use super::file::{Backend, io_error, make, put_in_place};
use super::rows::{self, Put};
use crate::error::StoreError;
use crate::store::Revision;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use std::fs;
use std::path::Path;

/// The largest backup that is read: far over what 10,000 tenants with years of usage take, and it must fit memory.
const LARGEST: u64 = 4 << 30;

/// A file's content in memory.
pub(crate) struct Memory;

impl Memory {
    /// Reads a file; whoever opens the storage works on a copy of what was read.
    pub(crate) fn of_file(path: &Path) -> Result<Backend, StoreError> {
        let what = path.display().to_string();
        let told = |e| io_error(&what, &e);
        let length = fs::metadata(path).map_err(told)?.len();
        if length > LARGEST {
            return Err(StoreError::TooMuch { what, found: length, limit: LARGEST });
        }
        if length == 0 {
            return Err(StoreError::damaged(what, "the file is empty"));
        }
        let bytes = fs::read(path).map_err(told)?;
        Ok(Box::new(move || {
            let memory = InMemoryBackend::new();
            memory.set_len(bytes.len() as u64)?;
            memory.write(0, &bytes)?;
            Ok(Box::new(memory))
        }))
    }
}

/// Makes a file with the records that `each` puts, which tells their revision. The file is checked under another
/// name before it gets its own.
pub(crate) fn fill<T>(
    path: &Path,
    each: impl FnOnce(Put<'_>) -> Result<(Revision, T), StoreError>,
) -> Result<T, StoreError> {
    let fresh = super::file::beside(path, "new");
    let what = fresh.display().to_string();
    let mut told = None;
    make(&fresh, |db| {
        told = Some(rows::fill(db, &what, each)?);
        Ok(())
    })?;
    let checked = Memory::of_file(&fresh).and_then(|memory| {
        let mut copy = super::Embedded::open_on(memory, 0)?;
        crate::store::Store::visit(&mut copy, &crate::key::Space::ALL, 0, &mut |_| Ok(()))
    });
    let done = checked.and_then(|_| put_in_place(&fresh, path));
    if let Err(e) = done {
        let _ = fs::remove_file(&fresh);
        return Err(e);
    }
    told.ok_or(StoreError::Closed)
}
