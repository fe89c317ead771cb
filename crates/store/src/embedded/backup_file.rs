//! Database files for backups: writing a new one, and opening an existing one without changing it.

use super::location::{StorageFactory, create_database};
use super::tables::{PutEntry, fill_database};
use crate::error::StoreError;
use crate::files::io_error;
use crate::revision::Revision;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use std::fs;
use std::path::Path;

/// The size of the largest backup that is read into memory.
const MAX_BACKUP_BYTES: u64 = 4 << 30;

/// Reads a file into memory. Each storage from the factory is a fresh copy of it, so the file is never changed.
pub(crate) fn file_in_memory(path: &Path) -> Result<StorageFactory, StoreError> {
    let location = path.display().to_string();
    let length = fs::metadata(path).map_err(|e| io_error(&location, &e))?.len();
    if length > MAX_BACKUP_BYTES {
        return Err(StoreError::LimitExceeded { what: location, found: length, limit: MAX_BACKUP_BYTES });
    }
    if length == 0 {
        return Err(StoreError::corrupt(location, "the file is empty"));
    }
    let bytes = fs::read(path).map_err(|e| io_error(&location, &e))?;
    Ok(Box::new(move || {
        let memory = InMemoryBackend::new();
        memory.set_len(bytes.len() as u64)?;
        memory.write(0, &bytes)?;
        Ok(Box::new(memory))
    }))
}

/// Creates a database file from the entries that `put_all` inserts. Sets its revision to the one that `put_all`
/// returns, and returns that.
pub(crate) fn create_backup_file(
    path: &Path,
    put_all: impl FnOnce(PutEntry<'_>) -> Result<Revision, StoreError>,
) -> Result<Revision, StoreError> {
    let location = path.display().to_string();
    let mut revision = Revision(0);
    create_database(path, |db| {
        revision = fill_database(db, &location, put_all)?;
        Ok(())
    })?;
    Ok(revision)
}
