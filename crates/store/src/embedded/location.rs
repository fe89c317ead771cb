//! Where the embedded engine keeps its database, and how the database is created and opened there.

use super::acknowledged::AcknowledgedRevision;
use super::checksummed::ChecksummedStorage;
use super::failure::{EngineFailure, catch_panics};
use super::tables::create_tables;
use crate::error::StoreError;
use crate::files::{copy_atomically, create_options, io_error, publish_with, sibling_path};
use crate::revision::Revision;
use redb::backends::FileBackend;
use redb::{Builder, Database, StorageBackend};
use std::fs::{self, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// The size of the engine's page cache in bytes: several times what 10,000 tenants with their indexes need.
const CACHE_BYTES: usize = 32 << 20;

/// Returns the storage of a database that is not in a file. Called each time the database is opened.
pub type StorageFactory = Box<dyn FnMut() -> io::Result<Box<dyn StorageBackend>> + Send>;

/// Whether opening a store creates its file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Create {
    /// The file is created if it does not exist. Fails if the file is missing but a revision of it was acknowledged.
    IfMissing,
    /// The file must exist.
    Never,
    /// The file must not exist; a new one is created. If the last acknowledged revision of a lost file is known, the
    /// new file continues from it. For restoring a backup.
    Replacement,
}

/// Where the database is stored.
pub(super) enum Location {
    File(PathBuf),
    /// A storage that is not a file, for tests and for reading backups.
    Storage(StorageFactory),
}

impl Location {
    /// The location of a database file, which is created according to `create`.
    pub(super) fn file(path: &Path, create: Create) -> Result<Location, StoreError> {
        let name = path.display().to_string();
        let is_missing = match fs::metadata(path) {
            Ok(metadata) if metadata.len() == 0 => {
                return Err(StoreError::corrupt(name, "the file is empty"));
            }
            Ok(_) => false,
            Err(e) if e.kind() == io::ErrorKind::NotFound => true,
            Err(e) => return Err(io_error(&name, &e)),
        };
        let acknowledged = AcknowledgedRevision::beside(Some(path)).read();
        match (create, is_missing, acknowledged) {
            (Create::Replacement, false, _) => return Err(StoreError::AlreadyExists { key: name }),
            (_, false, _) => {}
            (Create::Never, true, _) => return Err(StoreError::NotFound { key: name }),
            (Create::IfMissing, true, Some(acknowledged)) => {
                let cause = format!("the file is missing, but {acknowledged} was acknowledged");
                return Err(StoreError::corrupt(name, cause));
            }
            (_, true, acknowledged) => {
                create_database(path, |db| create_tables(db, acknowledged.unwrap_or_default()))?;
            }
        }
        Ok(Location::File(path.to_path_buf()))
    }

    /// The path, if the database is in a file.
    pub(super) fn path(&self) -> Option<&Path> {
        match self {
            Location::File(path) => Some(path),
            Location::Storage(_) => None,
        }
    }

    /// The name of the database in errors.
    pub(super) fn name(&self) -> String {
        self.path().map_or_else(|| "storage".into(), |path| path.display().to_string())
    }

    /// Opens the database and verifies every page. Creates the tables if the storage is empty.
    pub(super) fn open(&mut self) -> Result<Database, EngineFailure> {
        let (storage, is_new) = self.open_storage()?;
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES).set_check_integrity_on_open(true);
        let db = builder.create_with_backend(ChecksummedStorage::new(storage)?)?;
        if is_new {
            create_tables(&db, Revision(0))?;
        }
        Ok(db)
    }

    /// Opens the storage. Also returns whether it is empty.
    fn open_storage(&mut self) -> Result<(Box<dyn StorageBackend>, bool), EngineFailure> {
        match self {
            Location::File(path) => {
                let file = OpenOptions::new().read(true).write(true).open(path)?;
                Ok((Box::new(FileBackend::new(file)?), false))
            }
            Location::Storage(factory) => {
                let storage = factory()?;
                let is_new = storage.len()? == 0;
                Ok((storage, is_new))
            }
        }
    }

    /// Copies the file to `FILE.schema-N` before a migration from schema N.
    pub(super) fn back_up_before_migration(&self, schema: u32) -> Result<(), StoreError> {
        let Some(path) = self.path() else { return Ok(()) };
        copy_atomically(path, &sibling_path(path, &format!("schema-{schema}")))
    }
}

/// Creates a database file and fills it. The file appears under its name only once it is complete.
pub(super) fn create_database(
    path: &Path,
    fill: impl FnOnce(&Database) -> Result<(), EngineFailure>,
) -> Result<(), StoreError> {
    publish_with(path, |temporary| {
        let created = catch_panics(|| {
            let file = create_options().read(true).open(temporary)?;
            let db = Builder::new().create_with_backend(FileBackend::new(file)?)?;
            fill(&db)
        });
        created.map_err(|e| e.into_store_error(&temporary.display().to_string()))
    })
}
