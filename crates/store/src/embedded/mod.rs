//! The embedded engine: one file, managed by redb in this process.
//!
//! redb writes pages copy-on-write and commits in two synced phases, so a killed process leaves the last transaction or
//! the one before it, never a part of one. This module adds:
//!
//! - checksums: every page's is verified when the file is opened, every record's (over its key, revision and JSON) each
//!   time it is read, and the records of each collection are counted;
//! - the last acknowledged revision in `FILE.head`. A file that is behind it (a damaged header, an old copy) is
//!   rejected rather than served as if nothing were lost;
//! - checksums of all blocks that were read or written, so that damage to the file of a running store is detected;
//! - panics of redb on damaged pages become [`StoreError::Corrupt`]. The file is closed, and opened and verified again
//!   at the next call.

mod backup_file;
mod checksummed;
mod failure;
mod head;
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
use failure::{EngineFailure, catch_panics};
use head::AcknowledgedRevision;
use location::Location;
use redb::{Database, ReadableDatabase};
use shorewharf_units::Micros;
use std::collections::BTreeMap;
use std::path::Path;
use tables::{ChangedKeys, TableReader};

/// The most revisions that one answer about changes covers.
const MAX_REVISIONS_PER_READ: usize = 500;

/// Revisions whose changes are retained. A reader that is further behind reads all records.
const RETAINED_REVISIONS: u64 = 4096;

/// A store in one file.
pub struct Embedded {
    location: Location,
    /// `None` after a failure, until it is opened again.
    db: Option<Database>,
    acknowledged: AcknowledgedRevision,
    revision: Revision,
    last_answer: Option<Micros>,
    fault: Option<String>,
}

impl Embedded {
    /// Opens the file, verifies all of it, and migrates it to this program's schema.
    ///
    /// # Errors
    /// If the file is damaged, has a newer schema, is behind its acknowledged revision, or is open in another process.
    pub fn open(path: impl AsRef<Path>, create: Create, now: Micros) -> Result<Embedded, StoreError> {
        Embedded::open_at(Location::file(path.as_ref(), create)?, now)
    }

    /// Opens a store on storage that `factory` gives, each time it is opened. For tests of failing storage.
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

    /// Opens the file if a failure has closed it.
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
        let failed = |e: EngineFailure| e.into_store_error(&name);
        let db = catch_panics(|| self.location.open()).map_err(failed)?;
        let version = catch_panics(|| tables::database_version(&db)).map_err(failed)?;
        if version.schema > migrate::SCHEMA {
            let (location, found) = (name, version.schema);
            return Err(StoreError::NewerSchema { location, found, supported: migrate::SCHEMA });
        }
        if let Some(acknowledged) = self.acknowledged.read().filter(|&revision| revision > version.revision) {
            let cause = format!("ends at {}, though {acknowledged} was acknowledged", version.revision);
            return Err(StoreError::corrupt(name, cause));
        }
        if version.schema < migrate::SCHEMA {
            self.location.keep_copy(version.schema)?;
        }
        self.revision = catch_panics(|| tables::migrate_database(&db, version, now)).map_err(failed)?;
        self.acknowledged.write(self.revision);
        self.db = Some(db);
        Ok(())
    }

    /// Closes the file; the next call opens it again.
    fn close(&mut self) {
        let db = self.db.take();
        // After a failure the database may be in any state: a panic here adds nothing to it.
        let _ = catch_panics(|| {
            drop(db);
            Ok::<(), EngineFailure>(())
        });
    }

    /// Reads within one transaction.
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

    /// Writes within one transaction. If it is not known whether it was committed, the file is opened again: as this
    /// is the only writer, the revision shows it.
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

    /// Finds out whether a failed write was committed as revision `next` all the same.
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

/// The newest change of each record, in the order of revisions.
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
        let key = Key::parse(text).ok_or_else(|| StoreError::corrupt(text, "is no key"))?;
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
        // Opening the file verifies every page; visiting verifies every record.
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
