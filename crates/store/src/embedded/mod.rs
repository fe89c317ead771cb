//! The embedded engine: a redb database in one file.
//!
//! redb writes pages copy-on-write and commits in two synced phases. After the process is killed, the file holds either
//! the last transaction or the one before it, never part of one. This module adds:
//!
//! - verification: the checksum of every page is verified when the file is opened, and that of every record (over its
//!   key, revision and JSON) each time the record is read. The number of records in each collection is stored and
//!   compared when all records are read;
//! - the last acknowledged revision in `FILE.head`. A file that is older than that revision (because its header is
//!   damaged or it is an old copy) is rejected, since serving it would silently lose acknowledged changes;
//! - checksums of all blocks that were read or written, so that damage to the file of an open store is detected;
//! - conversion of redb's panics on damaged pages into [`StoreError::Corrupt`]. The file is then closed; the next call
//!   opens and verifies it again.

mod acknowledged;
mod backup_file;
mod checksummed;
mod failure;
mod location;
mod row;
mod tables;

pub(crate) use backup_file::{create_backup_file, file_in_memory};
pub use location::{Create, StorageFactory};

use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::migrate;
use crate::revision::Revision;
use crate::store::{Batch, Change, Changes, Entry, Page, Query, Store, StoreHealth, Visitor};
use acknowledged::AcknowledgedRevision;
use failure::{EngineFailure, catch_panics};
use location::Location;
use redb::{Database, ReadableDatabase};
use shorewharf_units::Micros;
use std::collections::BTreeMap;
use std::path::Path;
use tables::{ChangedKeys, TableReader};

/// The most revisions whose changes one call of [`Store::changes`] returns.
const MAX_REVISIONS_PER_READ: usize = 500;

/// The number of revisions whose changes are retained. A reader that is further behind must read all records.
const RETAINED_REVISIONS: u64 = 4096;

/// A store in one file.
pub struct Embedded {
    location: Location,
    /// `None` after a failure, until the next call opens it again.
    db: Option<Database>,
    acknowledged: AcknowledgedRevision,
    /// The revision of the last committed transaction.
    revision: Revision,
    /// When a call last succeeded.
    last_answer: Option<Micros>,
    /// Why the engine last failed; `None` once a later call has succeeded.
    fault: Option<String>,
}

impl Embedded {
    /// Opens the file, verifies every page, and migrates the records to this program's schema.
    ///
    /// # Errors
    /// If the file is damaged, has a newer schema, is older than its last acknowledged revision, or is open in another
    /// process, or if it exists or is missing contrary to `create`.
    pub fn open(path: impl AsRef<Path>, create: Create, now: Micros) -> Result<Embedded, StoreError> {
        Embedded::open_at(Location::file(path.as_ref(), create)?, now)
    }

    /// Opens a store on the storage that `factory` returns, which is called again each time the store is reopened. For
    /// backups that must not change, and for tests of failing storage.
    ///
    /// # Errors
    /// As [`Embedded::open`].
    pub fn open_with(factory: StorageFactory, now: Micros) -> Result<Embedded, StoreError> {
        Embedded::open_at(Location::Storage(factory), now)
    }

    fn open_at(location: Location, now: Micros) -> Result<Embedded, StoreError> {
        let acknowledged = AcknowledgedRevision::beside(location.path());
        let mut store = Embedded {
            location,
            db: None,
            acknowledged,
            revision: Revision(0),
            last_answer: None,
            fault: None,
        };
        store.ensure_open(now)?;
        Ok(store)
    }

    /// Opens the file if it is closed, and records why if that fails.
    fn ensure_open(&mut self, now: Micros) -> Result<(), StoreError> {
        if self.db.is_some() {
            return Ok(());
        }
        let opened = self.reopen(now);
        self.fault = opened.as_ref().err().map(ToString::to_string);
        opened
    }

    fn reopen(&mut self, now: Micros) -> Result<(), StoreError> {
        let name = self.location.name();
        let to_store_error = |e: EngineFailure| e.into_store_error(&name);
        let db = catch_panics(|| self.location.open()).map_err(to_store_error)?;
        let version = catch_panics(|| tables::database_version(&db)).map_err(to_store_error)?;
        if version.schema > migrate::SCHEMA {
            let (location, found) = (name, version.schema);
            return Err(StoreError::NewerSchema { location, found, supported: migrate::SCHEMA });
        }
        if let Some(acknowledged) = self.acknowledged.read().filter(|&revision| revision > version.revision) {
            let cause = format!("the file ends at {}, but {acknowledged} was acknowledged", version.revision);
            return Err(StoreError::corrupt(name, cause));
        }
        if version.schema < migrate::SCHEMA {
            self.location.back_up_before_migration(version.schema)?;
        }
        self.revision =
            catch_panics(|| tables::migrate_database(&db, version, now)).map_err(to_store_error)?;
        self.acknowledged.write(self.revision);
        self.db = Some(db);
        Ok(())
    }

    /// Closes the file; the next call opens it again.
    fn close(&mut self) {
        let db = self.db.take();
        // After a failure the database may be in any state. A panic while it is dropped is ignored, since the file is
        // verified when it is opened again.
        let _ = catch_panics(|| {
            drop(db);
            Ok::<(), EngineFailure>(())
        });
    }

    /// Calls `read` within one read transaction. Closes the file if the engine fails.
    fn read<T>(
        &mut self,
        now: Micros,
        read: impl FnOnce(&TableReader<'_>) -> Result<T, EngineFailure>,
    ) -> Result<T, StoreError> {
        self.ensure_open(now)?;
        let Some(db) = &self.db else { return Err(StoreError::Closed) };
        let result = catch_panics(|| {
            let txn = db.begin_read()?;
            read(&TableReader::new(&txn)?)
        });
        match result {
            Ok(value) => {
                self.record_answer(now);
                Ok(value)
            }
            Err(EngineFailure::Rejected(e)) => Err(e),
            Err(e) => {
                let e = e.into_store_error(&self.location.name());
                self.fault = Some(e.to_string());
                self.close();
                Err(e)
            }
        }
    }

    /// Calls `write`, which commits one transaction as the next revision. If the engine fails, the file is reopened to
    /// see whether the transaction was committed: this process is the only writer, so the revision shows it.
    fn write(
        &mut self,
        now: Micros,
        write: impl FnOnce(&Database, Revision) -> Result<(), EngineFailure>,
    ) -> Result<Revision, StoreError> {
        self.ensure_open(now)?;
        let next = Revision(self.revision.0 + 1);
        let Some(db) = &self.db else { return Err(StoreError::Closed) };
        match catch_panics(|| write(db, next)) {
            Ok(()) => self.revision = next,
            Err(EngineFailure::Rejected(e)) => return Err(e),
            Err(e) => self.resolve_failed_write(e, next, now)?,
        }
        self.acknowledged.write(next);
        self.record_answer(now);
        Ok(next)
    }

    /// Reopens the file after a failed write. Succeeds if the write was committed as revision `next` nevertheless.
    fn resolve_failed_write(
        &mut self,
        e: EngineFailure,
        next: Revision,
        now: Micros,
    ) -> Result<(), StoreError> {
        let location = self.location.name();
        let e = e.into_store_error(&location);
        self.close();
        if self.ensure_open(now).is_err() {
            return Err(StoreError::OutcomeUnknown { location, cause: e.to_string() });
        }
        if self.revision < next {
            self.fault = Some(e.to_string());
            return Err(e);
        }
        Ok(())
    }

    fn record_answer(&mut self, now: Micros) {
        self.last_answer = Some(now);
        self.fault = None;
    }
}

/// The newest change of each changed record, ordered by revision.
fn newest_changes(reader: &TableReader<'_>, changed: &[ChangedKeys]) -> Result<Vec<Change>, EngineFailure> {
    let mut newest: BTreeMap<&String, Revision> = BTreeMap::new();
    for ChangedKeys { revision, keys } in changed {
        newest.extend(keys.iter().map(|key| (key, *revision)));
    }
    let mut in_order: Vec<(Revision, &String)> =
        newest.into_iter().map(|(key, revision)| (revision, key)).collect();
    in_order.sort();
    let mut changes = Vec::with_capacity(in_order.len());
    for (revision, text) in in_order {
        let key = Key::parse(text).ok_or_else(|| StoreError::corrupt(text, "not a valid record key"))?;
        let value = reader.get(&key)?.map(|entry| entry.value);
        changes.push(Change { key, revision, value });
    }
    Ok(changes)
}

impl Store for Embedded {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        self.read(now, |reader| reader.get(key))
    }

    fn list(&mut self, query: &Query, now: Micros) -> Result<Page, StoreError> {
        let revision = self.revision;
        self.read(now, |reader| {
            let page = reader.list(query)?;
            Ok(Page { entries: page.entries, more: page.more, revision })
        })
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        batch.validate()?;
        self.write(now, |db, next| tables::commit_batch(db, batch, next, RETAINED_REVISIONS))
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        let newest = self.revision;
        self.read(now, |reader| {
            let oldest = reader.oldest_retained(newest)?;
            if since < oldest {
                return Ok(Changes::Compacted { oldest });
            }
            let page = reader.changed_since(since, MAX_REVISIONS_PER_READ)?;
            let up_to = page.changed.last().map_or(since.max(newest), |last| last.revision);
            let changes = newest_changes(reader, &page.changed)?;
            Ok(Changes::Since { changes, up_to, more: page.more })
        })
    }

    fn visit(
        &mut self,
        collections: &[Collection],
        now: Micros,
        visitor: Visitor<'_>,
    ) -> Result<Revision, StoreError> {
        let revision = self.revision;
        self.read(now, |reader| {
            for &collection in collections {
                reader.visit(collection, &mut *visitor)?;
            }
            Ok(revision)
        })
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.write(now, |db, next| tables::replace_records(db, records, next))
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        // Opening the file verifies every page, and visiting verifies every record and the number of records.
        self.close();
        self.ensure_open(now)?;
        self.visit(&Collection::ALL, now, &mut |_| Ok(())).map(drop)
    }

    fn health(&self) -> StoreHealth {
        StoreHealth {
            engine: format!("file {}", self.location.name()),
            revision: self.revision,
            last_answer: self.last_answer,
            fault: self.fault.clone(),
            schema: migrate::SCHEMA,
        }
    }
}
