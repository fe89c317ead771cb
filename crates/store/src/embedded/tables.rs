//! The tables of the embedded engine, with the transactions that read and write them.

use super::failure::EngineFailure;
use super::row::{decode_row, encode_row};
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::migrate;
use crate::revision::Revision;
use crate::store::{Batch, Condition, Entry, Query};
use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableDatabase, ReadableTable, ReadableTableMetadata, Table,
    TableDefinition, WriteTransaction,
};
use shorewharf_units::Micros;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Each record's row by the record's key as text.
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// By revision, the keys that it changed as a JSON array of their texts.
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
/// The revision, the schema, and the number of records in each collection (under the collection's name).
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");

const REVISION: &str = "revision";
const SCHEMA: &str = "schema";

/// The number of retained revisions for a transaction that discards no earlier changes.
const RETAIN_ALL_CHANGES: u64 = u64::MAX;

/// The keys that a revision changed.
pub(super) struct ChangedKeys {
    pub(super) revision: Revision,
    /// The keys as text.
    pub(super) keys: Vec<String>,
}

/// The changed keys of the revisions after a given one, up to a limit.
pub(super) struct ChangedPage {
    pub(super) changed: Vec<ChangedKeys>,
    /// Whether more revisions follow.
    pub(super) more: bool,
}

/// Records of a collection, up to a limit.
pub(super) struct EntryPage {
    pub(super) entries: Vec<Entry>,
    /// Whether more records follow.
    pub(super) more: bool,
}

/// The schema and the revision of a database.
#[derive(Clone, Copy)]
pub(super) struct DatabaseVersion {
    pub(super) schema: u32,
    pub(super) revision: Revision,
}

/// All tables, opened in one read transaction.
pub(super) struct TableReader<'t> {
    records: ReadOnlyTable<&'static str, &'static [u8]>,
    changes: ReadOnlyTable<u64, &'static [u8]>,
    numbers: ReadOnlyTable<&'static str, u64>,
    _txn: &'t ReadTransaction,
}

impl<'t> TableReader<'t> {
    pub(super) fn new(txn: &'t ReadTransaction) -> Result<TableReader<'t>, EngineFailure> {
        Ok(TableReader {
            records: txn.open_table(RECORDS)?,
            changes: txn.open_table(CHANGES)?,
            numbers: txn.open_table(NUMBERS)?,
            _txn: txn,
        })
    }

    pub(super) fn get(&self, key: &Key) -> Result<Option<Entry>, EngineFailure> {
        let text = key.text();
        match self.records.get(text.as_str())? {
            Some(row) => decode_row(&text, row.value()).map(Some),
            None => Ok(None),
        }
    }

    /// The records that a query selects.
    pub(super) fn list(&self, query: &Query) -> Result<EntryPage, EngineFailure> {
        let prefix = format!("{}/{}", query.collection.as_str(), query.prefix);
        let after = query.after.as_ref().map(|name| format!("{}/{name}", query.collection.as_str()));
        let from = match &after {
            Some(after) if *after >= prefix => Bound::Excluded(after.as_str()),
            _ => Bound::Included(prefix.as_str()),
        };
        let mut entries = Vec::new();
        for row in self.records.range::<&str>((from, Bound::Unbounded))? {
            let (key, value) = row?;
            if !key.value().starts_with(&prefix) {
                break;
            }
            if entries.len() == query.limit {
                return Ok(EntryPage { entries, more: true });
            }
            entries.push(decode_row(key.value(), value.value())?);
        }
        Ok(EntryPage { entries, more: false })
    }

    /// Calls the visitor with every record of a collection, then compares their number with the stored one.
    pub(super) fn visit(
        &self,
        collection: Collection,
        mut visitor: impl FnMut(Entry) -> Result<(), StoreError>,
    ) -> Result<(), EngineFailure> {
        let prefix = format!("{}/", collection.as_str());
        let mut visited: u64 = 0;
        for row in self.records.range::<&str>((Bound::Included(prefix.as_str()), Bound::Unbounded))? {
            let (key, value) = row?;
            if !key.value().starts_with(&prefix) {
                break;
            }
            visitor(decode_row(key.value(), value.value())?)?;
            visited += 1;
        }
        let expected = self.numbers.get(collection.as_str())?.map_or(0, |count| count.value());
        if expected != visited {
            let cause = format!("found {visited} records, expected {expected}");
            return Err(EngineFailure::corrupt(StoreError::corrupt(prefix, cause)));
        }
        Ok(())
    }

    /// The revision after which all changes are retained; `newest` if no changes are retained.
    pub(super) fn oldest_retained(&self, newest: Revision) -> Result<Revision, EngineFailure> {
        let first = self.changes.first()?;
        Ok(first.map_or(newest, |(revision, _)| Revision(revision.value().saturating_sub(1))))
    }

    /// The changed keys of up to `limit` revisions after `since`, ordered by revision.
    pub(super) fn changed_since(&self, since: Revision, limit: usize) -> Result<ChangedPage, EngineFailure> {
        let mut changed = Vec::new();
        for row in self.changes.range((Bound::Excluded(since.0), Bound::Unbounded))? {
            if changed.len() == limit {
                return Ok(ChangedPage { changed, more: true });
            }
            let (revision, keys) = row?;
            let keys = serde_json::from_slice(keys.value());
            let keys = keys.map_err(|e| EngineFailure::corrupt(StoreError::corrupt("changes", e)))?;
            changed.push(ChangedKeys { revision: Revision(revision.value()), keys });
        }
        Ok(ChangedPage { changed, more: false })
    }
}

/// The schema and the revision of a database.
pub(super) fn database_version(db: &Database) -> Result<DatabaseVersion, EngineFailure> {
    let txn = db.begin_read()?;
    let numbers = txn.open_table(NUMBERS)?;
    let read = |name| -> Result<u64, EngineFailure> {
        let number = numbers.get(name)?.map(|number| number.value());
        let missing = || StoreError::corrupt(name, "missing in the table \"numbers\"");
        number.ok_or_else(|| EngineFailure::corrupt(missing()))
    };
    let schema = u32::try_from(read(SCHEMA)?);
    let schema = schema.map_err(|e| EngineFailure::corrupt(StoreError::corrupt(SCHEMA, e)))?;
    Ok(DatabaseVersion { schema, revision: Revision(read(REVISION)?) })
}

/// Creates the tables of an empty store, which starts at `revision`.
pub(super) fn create_tables(db: &Database, revision: Revision) -> Result<(), EngineFailure> {
    let txn = begin_write(db)?;
    txn.open_table(RECORDS)?;
    txn.open_table(CHANGES)?;
    write_version(&txn, revision)?;
    Ok(txn.commit()?)
}

fn write_version(txn: &WriteTransaction, revision: Revision) -> Result<(), EngineFailure> {
    let mut numbers = txn.open_table(NUMBERS)?;
    numbers.insert(REVISION, revision.0)?;
    numbers.insert(SCHEMA, u64::from(migrate::SCHEMA))?;
    Ok(())
}

/// Migrates a database to this program's schema in one transaction, and returns its revision.
pub(super) fn migrate_database(
    db: &Database,
    version: DatabaseVersion,
    now: Micros,
) -> Result<Revision, EngineFailure> {
    if version.schema == migrate::SCHEMA {
        return Ok(version.revision);
    }
    let next = Revision(version.revision.0 + 1);
    let mut records = read_all_records(db)?;
    let writes = migrate::migrate(version.schema, &mut records, now)?;
    let txn = begin_write(db)?;
    write_records(&txn, &writes, next, RETAIN_ALL_CHANGES)?;
    txn.open_table(NUMBERS)?.insert(SCHEMA, u64::from(migrate::SCHEMA))?;
    txn.commit()?;
    Ok(next)
}

fn read_all_records(db: &Database) -> Result<migrate::Records, EngineFailure> {
    let txn = db.begin_read()?;
    let reader = TableReader::new(&txn)?;
    let mut records = migrate::Records::new();
    for collection in Collection::ALL {
        reader.visit(collection, |entry| {
            records.insert(entry.key, entry.value);
            Ok(())
        })?;
    }
    Ok(records)
}

/// Commits a batch as revision `next` if its conditions hold. Changes older than the last `retained_revisions` are
/// discarded.
pub(super) fn commit_batch(
    db: &Database,
    batch: &Batch,
    next: Revision,
    retained_revisions: u64,
) -> Result<(), EngineFailure> {
    let txn = begin_write(db)?;
    if let Err(e) = check_conditions(&txn, &batch.conditions) {
        txn.abort()?;
        return Err(e);
    }
    write_records(&txn, &batch.writes, next, retained_revisions)?;
    Ok(txn.commit()?)
}

/// Replaces all records as revision `next`. All retained changes are discarded, since the table of changes does not
/// list the records that the replacement removed.
pub(super) fn replace_records(
    db: &Database,
    records: Vec<(Key, Vec<u8>)>,
    next: Revision,
) -> Result<(), EngineFailure> {
    let txn = begin_write(db)?;
    txn.open_table(RECORDS)?.retain(|_, _| false)?;
    reset_counts(&txn)?;
    let writes: Vec<_> = records.into_iter().map(|(key, value)| (key, Some(value))).collect();
    write_records(&txn, &writes, next, RETAIN_ALL_CHANGES)?;
    txn.open_table(CHANGES)?.retain(|_, _| false)?;
    Ok(txn.commit()?)
}

fn reset_counts(txn: &WriteTransaction) -> Result<(), EngineFailure> {
    let mut numbers = txn.open_table(NUMBERS)?;
    for collection in Collection::ALL {
        numbers.insert(collection.as_str(), 0)?;
    }
    Ok(())
}

/// Inserts one record into a backup.
pub(crate) type PutEntry<'a> = &'a mut dyn FnMut(Entry) -> Result<(), StoreError>;

/// Fills a new database with the entries that `put_all` inserts, which keep their revisions. Sets the database's
/// revision to the one that `put_all` returns, and returns that.
pub(super) fn fill_database(
    db: &Database,
    location: &str,
    put_all: impl FnOnce(PutEntry<'_>) -> Result<Revision, StoreError>,
) -> Result<Revision, EngineFailure> {
    let txn = begin_write(db)?;
    let mut counts: BTreeMap<Collection, u64> = BTreeMap::new();
    let revision = {
        let mut records = txn.open_table(RECORDS)?;
        put_all(&mut |entry| {
            let key = entry.key.text();
            let row = encode_row(&key, entry.revision, &entry.value);
            let inserted = records.insert(key.as_str(), row.as_slice());
            inserted.map_err(|e| EngineFailure::from(e).into_store_error(location))?;
            *counts.entry(entry.key.collection).or_default() += 1;
            Ok(())
        })?
    };
    write_version(&txn, revision)?;
    write_counts(&txn, &counts)?;
    txn.open_table(CHANGES)?;
    txn.commit()?;
    Ok(revision)
}

fn write_counts(txn: &WriteTransaction, counts: &BTreeMap<Collection, u64>) -> Result<(), EngineFailure> {
    let mut numbers = txn.open_table(NUMBERS)?;
    for (collection, count) in counts {
        numbers.insert(collection.as_str(), count)?;
    }
    Ok(())
}

fn begin_write(db: &Database) -> Result<WriteTransaction, EngineFailure> {
    let mut txn = db.begin_write()?;
    // With one-phase commits a damaged last commit looks like an unfinished one and would silently be rolled
    // back.
    txn.set_two_phase_commit(true);
    Ok(txn)
}

fn check_conditions(txn: &WriteTransaction, conditions: &[Condition]) -> Result<(), EngineFailure> {
    let records = txn.open_table(RECORDS)?;
    conditions.iter().try_for_each(|condition| check_condition(&records, condition))
}

fn check_condition(
    records: &Table<'_, &'static str, &'static [u8]>,
    condition: &Condition,
) -> Result<(), EngineFailure> {
    let key = condition.key().text();
    let found = match records.get(key.as_str())? {
        Some(row) => Some(decode_row(&key, row.value())?.revision),
        None => None,
    };
    match (condition, found) {
        (Condition::Absent(_), None) => Ok(()),
        (Condition::Absent(_), Some(_)) => Err(StoreError::AlreadyExists { key }.into()),
        (Condition::AtRevision(_, expected), Some(found)) if *expected == found => Ok(()),
        (Condition::AtRevision(_, expected), found) => {
            let found = found.unwrap_or_default();
            Err(StoreError::Conflict { key, expected: *expected, found }.into())
        }
    }
}

/// Writes records as revision `next`, updates the counts and the list of changes, and discards changes older than the
/// last `retained_revisions`.
fn write_records(
    txn: &WriteTransaction,
    writes: &[(Key, Option<Vec<u8>>)],
    next: Revision,
    retained_revisions: u64,
) -> Result<(), EngineFailure> {
    let mut records = txn.open_table(RECORDS)?;
    let mut changed = Vec::with_capacity(writes.len());
    let mut growth: BTreeMap<Collection, i64> = BTreeMap::new();
    for (key, value) in writes {
        let text = key.text();
        let had_value = match value {
            Some(json) => records.insert(text.as_str(), encode_row(&text, next, json).as_slice())?.is_some(),
            None => records.remove(text.as_str())?.is_some(),
        };
        *growth.entry(key.collection).or_default() += i64::from(value.is_some()) - i64::from(had_value);
        changed.push(text);
    }
    update_counts(txn, &growth)?;
    txn.open_table(NUMBERS)?.insert(REVISION, next.0)?;
    let mut changes = txn.open_table(CHANGES)?;
    let keys = serde_json::to_vec(&changed).map_err(|e| StoreError::corrupt("changes", e))?;
    changes.insert(next.0, keys.as_slice())?;
    while changes.len()? > retained_revisions {
        changes.pop_first()?;
    }
    Ok(())
}

fn update_counts(txn: &WriteTransaction, growth: &BTreeMap<Collection, i64>) -> Result<(), EngineFailure> {
    let mut numbers = txn.open_table(NUMBERS)?;
    for (collection, growth) in growth.iter().filter(|(_, growth)| **growth != 0) {
        let count = numbers.get(collection.as_str())?.map_or(0, |count| count.value());
        let Some(count) = count.checked_add_signed(*growth) else {
            let cause =
                format!("the stored count is {count}, but {} records were removed", growth.unsigned_abs());
            let e = StoreError::corrupt(collection.as_str(), cause);
            return Err(EngineFailure::corrupt(e));
        };
        numbers.insert(collection.as_str(), count)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
