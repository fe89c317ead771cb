//! The embedded engine: one file, kept by redb in this process.
//!
//! redb writes pages anew beside the old ones and switches with two synced steps, so a process that is killed
//! leaves the last change or the one before it, never part of one. Three things are added here:
//!
//! - every page's checksum is verified when the file is opened, and every record carries one over its key,
//!   revision and text, verified each time it is read; records are counted by space;
//! - beside the file stands `FILE.head`, the last revision that was acknowledged. A file that has fallen behind
//!   it (a damaged switch, an old copy put in its place) is refused, not served as if nothing had been lost;
//! - the checksum of every block that was verified or written is remembered, so that damage under the running
//!   store is refused too, not read;
//! - redb trusts what it reads and may panic on damaged pages. No panic leaves this module: it becomes
//!   [`StoreError::Damaged`], and the file is closed and opened anew, with all checks, at the next call.

mod file;
mod guarded;
mod memory;
mod rows;

pub use file::{Backend, Create};
pub(crate) use file::{beside, io_error, put_in_place, write_whole};
pub(crate) use memory::{Memory, fill};

use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::migrate;
use crate::record::Micros;
use crate::store::{Ask, Batch, Change, Changes, Entry, Health, Page, Revision, Store, Visitor};
use file::{Failed, Head, Opener, guard};
use redb::{Database, ReadableDatabase};
use rows::Rows;
use std::collections::BTreeMap;
use std::path::Path;

/// The most revisions that one answer about changes covers.
const CHANGES_AT_ONCE: usize = 500;

/// Revisions whose changes are remembered. A watcher that falls further behind reads all anew; at 200 changes a
/// second this is 20 s, ten times what an instance's loop may ever be late.
const CHANGES_KEPT: u64 = 4096;

/// A store in one file.
pub struct Embedded {
    opener: Opener,
    /// Not there after a failure, until it is opened again.
    db: Option<Database>,
    head: Head,
    revision: Revision,
    answered: Option<Micros>,
    trouble: Option<String>,
}

impl Embedded {
    /// Opens the file, verifies all of it, and brings its schema up to this program's.
    ///
    /// Refuses a file that is damaged, newer than the program, behind its head or open elsewhere.
    pub fn open(path: impl AsRef<Path>, create: Create, now: Micros) -> Result<Embedded, StoreError> {
        Embedded::with(Opener::file(path.as_ref(), create)?, now)
    }

    /// Opens a store on another storage than a file: `make` gives it, each time it is opened anew. For tests of
    /// what happens on failing storage.
    pub fn open_on(make: Backend, now: Micros) -> Result<Embedded, StoreError> {
        Embedded::with(Opener::on(make), now)
    }

    fn with(opener: Opener, now: Micros) -> Result<Embedded, StoreError> {
        let head = Head::of(&opener);
        let (revision, trouble) = (Revision(0), None);
        let mut store = Embedded { opener, db: None, head, revision, answered: None, trouble };
        store.ready(now)?;
        Ok(store)
    }

    /// The name of the file, for messages.
    fn what(&self) -> String {
        self.opener.what()
    }

    /// Opens the file if a failure has closed it.
    fn ready(&mut self, now: Micros) -> Result<(), StoreError> {
        if self.db.is_some() {
            return Ok(());
        }
        let opened = self.reopen(now);
        self.trouble = opened.as_ref().err().map(ToString::to_string);
        opened
    }

    fn reopen(&mut self, now: Micros) -> Result<(), StoreError> {
        let what = self.what();
        let opener = &mut self.opener;
        let db = guard(|| opener.open()).map_err(|e| e.told(&what))?;
        let found = guard(|| Rows::found(&db)).map_err(|e| e.told(&what))?;
        if found.schema > migrate::SCHEMA {
            return Err(StoreError::NewerSchema { what, found: found.schema, known: migrate::SCHEMA });
        }
        if let Some(acknowledged) = self.head.read().filter(|&h| h > found.revision) {
            let cause = format!("ends at {}, though {acknowledged} was acknowledged", found.revision);
            return Err(StoreError::damaged(what, cause));
        }
        if found.schema < migrate::SCHEMA {
            self.opener.keep_copy(found.schema)?;
        }
        self.revision = guard(|| Rows::migrate(&db, found, now)).map_err(|e| e.told(&what))?;
        self.head.write(self.revision);
        self.db = Some(db);
        Ok(())
    }

    /// Closes the file; the next call opens it anew.
    fn close(&mut self) {
        let db = self.db.take();
        // What is to be forgotten may be in any state: a panic here says nothing more.
        let _ = guard(|| {
            drop(db);
            Ok::<(), Failed>(())
        });
    }

    /// Reads within one transaction.
    fn read<T>(
        &mut self,
        now: Micros,
        f: impl FnOnce(&Rows<'_>) -> Result<T, Failed>,
    ) -> Result<T, StoreError> {
        self.ready(now)?;
        let what = self.what();
        let Some(db) = &self.db else { return Err(StoreError::Closed) };
        let result = guard(|| {
            let txn = db.begin_read()?;
            f(&Rows::of(&txn)?)
        });
        match result {
            Ok(value) => {
                (self.answered, self.trouble) = (Some(now), None);
                Ok(value)
            }
            Err(Failed::Refused(e)) => Err(e),
            Err(e) => {
                let e = e.told(&what);
                self.trouble = Some(e.to_string());
                self.close();
                Err(e)
            }
        }
    }

    /// Writes within one transaction. Where it is not known whether the switch was made, the file is opened anew
    /// to see: this is the only writer, so the revision tells.
    fn write(
        &mut self,
        now: Micros,
        f: impl FnOnce(&Database, Revision) -> Result<(), Failed>,
    ) -> Result<Revision, StoreError> {
        self.ready(now)?;
        let what = self.what();
        let next = Revision(self.revision.0 + 1);
        let Some(db) = &self.db else { return Err(StoreError::Closed) };
        match guard(|| f(db, next)) {
            Ok(()) => self.revision = next,
            Err(Failed::Refused(e)) => return Err(e),
            Err(e) => {
                let e = e.told(&what);
                self.close();
                if self.ready(now).is_err() {
                    return Err(StoreError::Unsure { what, cause: e.to_string() });
                }
                if self.revision < next {
                    self.trouble = Some(e.to_string());
                    return Err(e);
                }
            }
        }
        self.head.write(next);
        (self.answered, self.trouble) = (Some(now), None);
        Ok(next)
    }
}

impl Store for Embedded {
    fn get(&mut self, key: &Key, now: Micros) -> Result<Option<Entry>, StoreError> {
        self.read(now, |rows| rows.get(key))
    }

    fn list(&mut self, ask: &Ask, now: Micros) -> Result<Page, StoreError> {
        let revision = self.revision;
        self.read(now, |rows| {
            let (entries, more) = rows.range(ask.space, &ask.prefix, ask.after.as_deref(), ask.limit)?;
            Ok(Page { entries, more, revision })
        })
    }

    fn apply(&mut self, batch: &Batch, now: Micros) -> Result<Revision, StoreError> {
        batch.check()?;
        self.write(now, |db, next| Rows::commit(db, batch, next, CHANGES_KEPT))
    }

    fn changes(&mut self, since: Revision, now: Micros) -> Result<Changes, StoreError> {
        let last = self.revision;
        self.read(now, |rows| {
            let oldest = rows.oldest(last)?;
            if since < oldest {
                return Ok(Changes::Compacted { oldest });
            }
            let (told, more) = rows.changed(since, CHANGES_AT_ONCE)?;
            let upto = told.last().map_or(since.max(last), |(revision, _)| *revision);
            // A record's last change is the one to tell, at its place in the order.
            let newest: BTreeMap<&String, Revision> =
                told.iter().flat_map(|(r, keys)| keys.iter().map(|k| (k, *r))).collect();
            let mut newest: Vec<_> = newest.into_iter().map(|(key, revision)| (revision, key)).collect();
            newest.sort();
            let mut changes = Vec::with_capacity(newest.len());
            for (revision, text) in newest {
                let key = Key::parse(text).ok_or_else(|| StoreError::damaged(text, "is no key"))?;
                let value = rows.get(&key)?.map(|entry| entry.value);
                changes.push(Change { key, revision, value });
            }
            Ok(Changes::Since { changes, upto, more })
        })
    }

    fn visit(&mut self, spaces: &[Space], now: Micros, each: Visitor<'_>) -> Result<Revision, StoreError> {
        let revision = self.revision;
        self.read(now, |rows| {
            for &space in spaces {
                let mut seen = 0;
                rows.each(space, |entry| {
                    seen += 1;
                    each(entry)
                })?;
                rows.counted(space, seen)?;
            }
            Ok(revision)
        })
    }

    fn replace(&mut self, records: Vec<(Key, Vec<u8>)>, now: Micros) -> Result<Revision, StoreError> {
        self.write(now, |db, next| Rows::replace(db, &records, next))
    }

    fn verify(&mut self, now: Micros) -> Result<(), StoreError> {
        // Opening it anew checks every page from the disk; then every record is read.
        self.close();
        self.ready(now)?;
        self.visit(&Space::ALL, now, &mut |_| Ok(())).map(drop)
    }

    fn health(&self) -> Health {
        Health {
            engine: format!("file {}", self.what()),
            revision: self.revision,
            answered: self.answered,
            trouble: self.trouble.clone(),
            schema: migrate::SCHEMA,
        }
    }
}
