//! The tables in the embedded engine, and what one row of them holds.

use super::file::Failed;
use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::migrate;
use crate::record::Micros;
use crate::store::{Batch, Condition, Entry, Revision};
use redb::{
    Database, ReadOnlyTable, ReadTransaction, ReadableTable, ReadableTableMetadata, Table, TableDefinition,
    WriteTransaction,
};
use std::collections::BTreeMap;
use std::ops::Bound;
use twox_hash::XxHash3_64;

/// Records by the text of their key. A row: checksum, revision (both eight bytes, lowest first), JSON.
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
/// The texts of the keys that a revision changed, as JSON.
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");
/// The revision, the schema, and how many records each space has.
const NUMBERS: TableDefinition<&str, u64> = TableDefinition::new("numbers");

const REVISION: &str = "revision";
const SCHEMA: &str = "schema";

fn sum(key: &str, rest: &[u8]) -> u64 {
    // The key's length first, so that no byte can pass from the key to the value unseen.
    XxHash3_64::oneshot(&[&(key.len() as u64).to_le_bytes(), key.as_bytes(), rest].concat())
}

fn row(key: &str, revision: Revision, value: &[u8]) -> Vec<u8> {
    let rest = [&revision.0.to_le_bytes(), value].concat();
    [&sum(key, &rest).to_le_bytes(), &rest[..]].concat()
}

fn entry(text: &str, row: &[u8]) -> Result<Entry, StoreError> {
    let bad = |cause| StoreError::damaged(text, cause);
    let (told, rest) = row.split_first_chunk::<8>().ok_or_else(|| bad("the row is too short"))?;
    if u64::from_le_bytes(*told) != sum(text, rest) {
        return Err(bad("the row's checksum differs"));
    }
    let (revision, value) = rest.split_first_chunk::<8>().ok_or_else(|| bad("the row is too short"))?;
    let key = Key::parse(text).ok_or_else(|| bad("is no key"))?;
    Ok(Entry { key, revision: Revision(u64::from_le_bytes(*revision)), value: value.to_vec() })
}

/// A refusal that must close the file, since what it holds can't be trusted: told as the engine's own.
fn distrust(e: StoreError) -> Failed {
    match e {
        StoreError::Damaged { what, cause } => {
            Failed::Engine(redb::Error::Corrupted(format!("{what}: {cause}")))
        }
        e => Failed::Refused(e),
    }
}

/// A revision and the texts of the keys that it changed.
type Changed = (Revision, Vec<String>);

/// What a file holds in all.
#[derive(Clone, Copy)]
pub(super) struct Found {
    pub(super) schema: u32,
    pub(super) revision: Revision,
}

/// All tables within one reading transaction.
pub(super) struct Rows<'t> {
    records: ReadOnlyTable<&'static str, &'static [u8]>,
    changes: ReadOnlyTable<u64, &'static [u8]>,
    numbers: ReadOnlyTable<&'static str, u64>,
    _txn: &'t ReadTransaction,
}

impl<'t> Rows<'t> {
    pub(super) fn of(txn: &'t ReadTransaction) -> Result<Rows<'t>, Failed> {
        Ok(Rows {
            records: txn.open_table(RECORDS)?,
            changes: txn.open_table(CHANGES)?,
            numbers: txn.open_table(NUMBERS)?,
            _txn: txn,
        })
    }

    pub(super) fn get(&self, key: &Key) -> Result<Option<Entry>, Failed> {
        let text = key.text();
        let Some(row) = self.records.get(text.as_str())? else { return Ok(None) };
        entry(&text, row.value()).map(Some).map_err(distrust)
    }

    /// Up to `limit` records, and whether more come.
    pub(super) fn range(
        &self,
        space: Space,
        prefix: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<(Vec<Entry>, bool), Failed> {
        let within = format!("{}/{prefix}", space.as_str());
        let after = after.map(|name| format!("{}/{name}", space.as_str())).filter(|a| *a >= within);
        let from = match &after {
            Some(after) => Bound::Excluded(after.as_str()),
            None => Bound::Included(within.as_str()),
        };
        let mut entries = Vec::new();
        for row in self.records.range::<&str>((from, Bound::Unbounded))? {
            let (key, value) = row?;
            if !key.value().starts_with(&within) {
                break;
            }
            if entries.len() == limit {
                return Ok((entries, true));
            }
            entries.push(entry(key.value(), value.value()).map_err(distrust)?);
        }
        Ok((entries, false))
    }

    pub(super) fn each(
        &self,
        space: Space,
        mut each: impl FnMut(Entry) -> Result<(), StoreError>,
    ) -> Result<(), Failed> {
        let within = format!("{}/", space.as_str());
        for row in self.records.range::<&str>((Bound::Included(within.as_str()), Bound::Unbounded))? {
            let (key, value) = row?;
            if !key.value().starts_with(&within) {
                break;
            }
            each(entry(key.value(), value.value()).map_err(distrust)?)?;
        }
        Ok(())
    }

    /// Refuses if a space should have another number of records.
    pub(super) fn counted(&self, space: Space, seen: u64) -> Result<(), Failed> {
        let should = self.numbers.get(space.as_str())?.map_or(0, |n| n.value());
        match should == seen {
            true => Ok(()),
            false => Err(distrust(StoreError::damaged(
                format!("{}/", space.as_str()),
                format!("{seen} records where {should} were written"),
            ))),
        }
    }

    /// Changes after this revision are remembered.
    pub(super) fn oldest(&self, last: Revision) -> Result<Revision, Failed> {
        let first = self.changes.first()?;
        Ok(first.map_or(last, |(revision, _)| Revision(revision.value().saturating_sub(1))))
    }

    /// The keys that were changed, by revision, and whether more come.
    pub(super) fn changed(&self, since: Revision, limit: usize) -> Result<(Vec<Changed>, bool), Failed> {
        let mut told = Vec::new();
        for row in self.changes.range((Bound::Excluded(since.0), Bound::Unbounded))? {
            if told.len() == limit {
                return Ok((told, true));
            }
            let (revision, keys) = row?;
            let keys = serde_json::from_slice(keys.value());
            let keys = keys.map_err(|e| distrust(StoreError::damaged("changes", e)))?;
            told.push((Revision(revision.value()), keys));
        }
        Ok((told, false))
    }

    /// What a database says of itself.
    pub(super) fn found(db: &Database) -> Result<Found, Failed> {
        use redb::ReadableDatabase;
        let txn = db.begin_read()?;
        let numbers = txn.open_table(NUMBERS)?;
        let read = |name| -> Result<u64, Failed> {
            let value = numbers.get(name)?.map(|v| v.value());
            value.ok_or_else(|| distrust(StoreError::damaged(name, "is not there")))
        };
        let schema = read(SCHEMA)?;
        let schema = u32::try_from(schema).map_err(|e| distrust(StoreError::damaged(SCHEMA, e)))?;
        Ok(Found { schema, revision: Revision(read(REVISION)?) })
    }

    /// Makes the tables of an empty store.
    pub(super) fn begin(db: &Database, revision: Revision) -> Result<(), Failed> {
        let txn = begin_write(db)?;
        {
            txn.open_table(RECORDS)?;
            txn.open_table(CHANGES)?;
            let mut numbers = txn.open_table(NUMBERS)?;
            numbers.insert(REVISION, revision.0)?;
            numbers.insert(SCHEMA, u64::from(migrate::SCHEMA))?;
        }
        Ok(txn.commit()?)
    }

    /// Brings a database up to this program's schema, all steps in one transaction; the revision that it has then.
    pub(super) fn migrate(db: &Database, found: Found, now: Micros) -> Result<Revision, Failed> {
        if found.schema == migrate::SCHEMA {
            return Ok(found.revision);
        }
        let next = Revision(found.revision.0 + 1);
        let mut all = BTreeMap::new();
        {
            use redb::ReadableDatabase;
            let txn = db.begin_read()?;
            let rows = Rows::of(&txn)?;
            for space in Space::ALL {
                rows.each(space, |entry| {
                    all.insert(entry.key, entry.value);
                    Ok(())
                })?;
            }
        }
        let writes = migrate::steps(found.schema, &mut all, now)?;
        let txn = begin_write(db)?;
        write(&txn, &writes, next, u64::MAX)?;
        txn.open_table(NUMBERS)?.insert(SCHEMA, u64::from(migrate::SCHEMA))?;
        txn.commit()?;
        Ok(next)
    }

    /// Writes a batch as revision `next` if its conditions hold, and forgets changes that are `kept` revisions old.
    pub(super) fn commit(db: &Database, batch: &Batch, next: Revision, kept: u64) -> Result<(), Failed> {
        let txn = begin_write(db)?;
        {
            let records = txn.open_table(RECORDS)?;
            for condition in &batch.conditions {
                if let Err(e) = holds(&records, condition) {
                    drop(records);
                    txn.abort()?;
                    return Err(e);
                }
            }
        }
        write(&txn, &batch.writes, next, kept)?;
        Ok(txn.commit()?)
    }

    /// Puts records in the place of all; nobody who watches can be told what changed, so changes are forgotten.
    pub(super) fn replace(db: &Database, records: &[(Key, Vec<u8>)], next: Revision) -> Result<(), Failed> {
        let txn = begin_write(db)?;
        txn.open_table(RECORDS)?.retain(|_, _| false)?;
        {
            let mut numbers = txn.open_table(NUMBERS)?;
            for space in Space::ALL {
                numbers.insert(space.as_str(), 0)?;
            }
        }
        let writes: Vec<_> = records.iter().map(|(key, value)| (key.clone(), Some(value.clone()))).collect();
        write(&txn, &writes, next, u64::MAX)?;
        txn.open_table(CHANGES)?.retain(|_, _| false)?;
        Ok(txn.commit()?)
    }
}

/// Puts one record into a backup.
pub(crate) type Put<'a> = &'a mut dyn FnMut(Entry) -> Result<(), StoreError>;

/// Fills a new database with the records that `each` puts, which keep their revisions.
pub(super) fn fill<T>(
    db: &Database,
    what: &str,
    each: impl FnOnce(Put<'_>) -> Result<(Revision, T), StoreError>,
) -> Result<T, Failed> {
    let txn = begin_write(db)?;
    let mut counts: BTreeMap<Space, u64> = BTreeMap::new();
    let answer = {
        let mut records = txn.open_table(RECORDS)?;
        let (revision, answer) = each(&mut |entry| {
            let text = entry.key.text();
            let row = row(&text, entry.revision, &entry.value);
            records.insert(text.as_str(), row.as_slice()).map_err(|e| Failed::from(e).told(what))?;
            *counts.entry(entry.key.space).or_default() += 1;
            Ok(())
        })?;
        let mut numbers = txn.open_table(NUMBERS)?;
        numbers.insert(REVISION, revision.0)?;
        numbers.insert(SCHEMA, u64::from(migrate::SCHEMA))?;
        for (space, count) in &counts {
            numbers.insert(space.as_str(), count)?;
        }
        txn.open_table(CHANGES)?;
        answer
    };
    txn.commit()?;
    Ok(answer)
}

fn begin_write(db: &Database) -> Result<WriteTransaction, Failed> {
    let mut txn = db.begin_write()?;
    // With one synced step a damaged last commit looks like one that was never finished, and would be undone in
    // silence. With two it can't be mistaken.
    txn.set_two_phase_commit(true);
    Ok(txn)
}

fn holds(records: &Table<'_, &'static str, &'static [u8]>, condition: &Condition) -> Result<(), Failed> {
    let (Condition::Absent(key) | Condition::At(key, _)) = condition;
    let text = key.text();
    let found = match records.get(text.as_str())? {
        Some(row) => Some(entry(&text, row.value()).map_err(distrust)?.revision),
        None => None,
    };
    match (condition, found) {
        (Condition::Absent(_), None) => Ok(()),
        (Condition::Absent(_), Some(_)) => Err(StoreError::Exists { key: text }.into()),
        (Condition::At(_, expected), Some(found)) if *expected == found => Ok(()),
        (Condition::At(_, expected), found) => {
            let found = found.unwrap_or_default();
            Err(StoreError::Conflict { key: text, expected: *expected, found }.into())
        }
    }
}

fn write(
    txn: &WriteTransaction,
    writes: &[(Key, Option<Vec<u8>>)],
    next: Revision,
    kept: u64,
) -> Result<(), Failed> {
    let mut records = txn.open_table(RECORDS)?;
    let mut numbers = txn.open_table(NUMBERS)?;
    let mut changed = Vec::with_capacity(writes.len());
    let mut grown: BTreeMap<Space, i64> = BTreeMap::new();
    for (key, value) in writes {
        let text = key.text();
        let had = match value {
            Some(value) => records.insert(text.as_str(), row(&text, next, value).as_slice())?.is_some(),
            None => records.remove(text.as_str())?.is_some(),
        };
        *grown.entry(key.space).or_default() += i64::from(value.is_some()) - i64::from(had);
        changed.push(text);
    }
    for (space, by) in grown.into_iter().filter(|(_, by)| *by != 0) {
        let count = numbers.get(space.as_str())?.map_or(0, |n| n.value());
        let count = count.checked_add_signed(by);
        let count =
            count.ok_or_else(|| distrust(StoreError::damaged(space.as_str(), "fewer records than none")))?;
        numbers.insert(space.as_str(), count)?;
    }
    numbers.insert(REVISION, next.0)?;
    let mut changes = txn.open_table(CHANGES)?;
    let keys = serde_json::to_vec(&changed).map_err(|e| StoreError::damaged("changes", e))?;
    changes.insert(next.0, keys.as_slice())?;
    while changes.len()? > kept {
        changes.pop_first()?;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
