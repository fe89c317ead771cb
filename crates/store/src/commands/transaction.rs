//! An optimistic transaction: the reads and pending writes of a group of commands.
//!
//! The version of every record that a command reads becomes a condition of the batch, so the batch is written only if
//! no record on which a decision was based has changed. This makes every command atomic without locks in any engine.

use super::keys::{LAST_AUDIT_NUMBER, counter_key};
use super::reply::PENDING_REVISION;
use crate::error::StoreError;
use crate::key::{Collection, Key};
use crate::record::{Actor, AuditAction, AuditEntry};
use crate::revision::Revision;
use crate::store::{Batch, Condition, Entry, Page, Query, Store, decode, encode, write_size_bytes};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use shorewharf_units::Micros;
use std::collections::BTreeMap;

/// The maximum number of times that a group is decided, if other instances change the records that it has read.
pub(super) const MAX_ATTEMPTS: usize = 8;

type Writes = BTreeMap<Key, Option<Vec<u8>>>;

/// The part of an audit entry that depends on the command.
pub(super) struct AuditNote {
    pub(super) action: AuditAction,
    /// The key of the changed record, or the subject of a command that changes no record.
    pub(super) target: String,
    /// The record before the command.
    pub(super) before: Option<Value>,
    /// The record after the command.
    pub(super) after: Option<Value>,
}

/// The view of the store that a group of commands has. Its pending writes hide the stored records.
pub(super) struct Transaction<'s> {
    store: &'s mut dyn Store,
    /// The time at which the group is executed.
    pub(super) now: Micros,
    /// The records that the staged commands and the current one have read; `None` for a missing record.
    read_set: BTreeMap<Key, Option<Entry>>,
    /// Records that were read from the store in advance and that no command has used yet.
    prefetched: BTreeMap<Key, Option<Entry>>,
    /// The keys in `read_set` that the current command was the first to read.
    read_by_draft: Vec<Key>,
    /// The writes of the staged commands.
    staged: Writes,
    /// The writes of the current command.
    draft: Writes,
}

impl<'s> Transaction<'s> {
    pub(super) fn new(store: &'s mut dyn Store, now: Micros) -> Transaction<'s> {
        Transaction {
            store,
            now,
            read_set: BTreeMap::new(),
            prefetched: BTreeMap::new(),
            read_by_draft: Vec::new(),
            staged: Writes::new(),
            draft: Writes::new(),
        }
    }

    /// Reads several records at once, since each separate read may be a call over the network. A prefetched record that
    /// no command uses does not become a condition.
    pub(super) fn prefetch(&mut self, keys: Vec<Key>) -> Result<(), StoreError> {
        let entries = self.store.get_many(&keys, self.now)?;
        self.prefetched.extend(keys.into_iter().zip(entries));
        Ok(())
    }

    /// The version and the JSON of a record.
    fn read(&mut self, key: &Key) -> Result<Option<(Revision, Vec<u8>)>, StoreError> {
        if let Some(written) = self.draft.get(key).or_else(|| self.staged.get(key)) {
            return Ok(written.clone().map(|value| (PENDING_REVISION, value)));
        }
        if !self.read_set.contains_key(key) {
            let entry = match self.prefetched.remove(key) {
                Some(entry) => entry,
                None => self.store.get(key, self.now)?,
            };
            self.read_set.insert(key.clone(), entry);
            self.read_by_draft.push(key.clone());
        }
        Ok(self.read_set[key].as_ref().map(|entry| (entry.revision, entry.value.clone())))
    }

    /// A record and its version.
    pub(super) fn get<T: DeserializeOwned>(
        &mut self,
        key: &Key,
    ) -> Result<Option<(Revision, T)>, StoreError> {
        let Some((version, value)) = self.read(key)? else { return Ok(None) };
        Ok(Some((version, decode(key, &value)?)))
    }

    /// A record that must exist and, if a version is expected, must have that version.
    pub(super) fn require<T: DeserializeOwned>(
        &mut self,
        key: &Key,
        expected: Option<Revision>,
    ) -> Result<(Revision, T), StoreError> {
        let (found, record) = self.get(key)?.ok_or_else(|| StoreError::NotFound { key: key.text() })?;
        check_version(key, expected, found)?;
        Ok((found, record))
    }

    /// Writes a record, as a part of the current command.
    pub(super) fn put<T: Serialize>(&mut self, key: &Key, record: &T) -> Result<(), StoreError> {
        let value = encode(key, record)?;
        self.draft.insert(key.clone(), Some(value));
        Ok(())
    }

    /// Removes a record, as a part of the current command.
    pub(super) fn remove(&mut self, key: &Key) {
        self.draft.insert(key.clone(), None);
    }

    /// Lists records in the store. The page does not show the pending writes of this group, and the listed records do
    /// not become conditions.
    pub(super) fn list(&mut self, query: &Query) -> Result<Page, StoreError> {
        self.store.list(query, self.now)
    }

    /// The value of a counter; 0 before it is first set.
    pub(super) fn counter(&mut self, name: &str) -> Result<u64, StoreError> {
        Ok(self.get(&counter_key(name))?.map_or(0, |(_, count)| count))
    }

    pub(super) fn set_counter(&mut self, name: &str, count: u64) -> Result<(), StoreError> {
        self.put(&counter_key(name), &count)
    }

    /// Adds an entry to the audit trail, as a part of the current command.
    pub(super) fn audit(&mut self, actor: &Actor, note: AuditNote) -> Result<(), StoreError> {
        let number = self.counter(LAST_AUDIT_NUMBER)? + 1;
        self.set_counter(LAST_AUDIT_NUMBER, number)?;
        let entry = AuditEntry {
            number,
            at: self.now,
            actor: actor.clone(),
            action: note.action,
            target: note.target,
            before: note.before,
            after: note.after,
        };
        self.put(&Key::new(Collection::Audit, AuditEntry::key_name(number)), &entry)
    }

    /// Adds the writes of the current command to the batch. If the batch would become too large, discards them and
    /// returns `false`: the command must be decided again in the next batch.
    pub(super) fn stage_draft(&mut self) -> bool {
        let fits = fits(self.staged.len(), self.draft.len(), Batch::MAX_OPERATIONS)
            && fits(size_bytes(&self.staged), size_bytes(&self.draft), Batch::MAX_BYTES)
            && (self.staged.is_empty() || self.read_set.len() <= Batch::MAX_OPERATIONS);
        if !fits {
            self.discard_draft();
            return false;
        }
        self.staged.append(&mut self.draft);
        self.read_by_draft.clear();
        true
    }

    /// Discards the writes of the current command, and removes the records that only this command has read from the
    /// conditions.
    pub(super) fn discard_draft(&mut self) {
        self.draft.clear();
        for key in self.read_by_draft.drain(..) {
            if let Some(entry) = self.read_set.remove(&key) {
                self.prefetched.insert(key, entry);
            }
        }
    }

    /// Whether any staged command writes a record.
    pub(super) fn has_writes(&self) -> bool {
        !self.staged.is_empty()
    }

    /// The conditions and writes of all staged commands as one batch.
    pub(super) fn into_batch(self) -> Batch {
        let condition = |(key, entry): (Key, Option<Entry>)| match entry {
            Some(entry) => Condition::AtRevision(key, entry.revision),
            None => Condition::Absent(key),
        };
        Batch {
            conditions: self.read_set.into_iter().map(condition).collect(),
            writes: self.staged.into_iter().collect(),
        }
    }
}

/// Fails if a record has another version than the expected one.
pub(super) fn check_version(
    key: &Key,
    expected: Option<Revision>,
    found: Revision,
) -> Result<(), StoreError> {
    match expected {
        Some(expected) if expected != found => Err(StoreError::Conflict { key: key.text(), expected, found }),
        _ => Ok(()),
    }
}

/// Whether a batch that has `present` operations or bytes may grow by `added`. The first command always fits.
fn fits(present: usize, added: usize, maximum: usize) -> bool {
    present == 0 || present + added <= maximum
}

fn size_bytes(writes: &Writes) -> usize {
    writes.iter().map(|(key, value)| write_size_bytes(key, value.as_deref())).sum()
}

/// A record as JSON for the audit trail.
pub(super) fn to_audit_value<T: Serialize>(record: &T) -> Value {
    serde_json::to_value(record).unwrap_or_default()
}

/// The error after the last attempt. A conflict then means that other instances changed the records during every
/// attempt, and not that the caller expected another version.
pub(super) fn contention_error(e: StoreError) -> StoreError {
    match e {
        StoreError::Conflict { key, .. } | StoreError::AlreadyExists { key } => {
            let cause = "other instances changed the record during every attempt";
            StoreError::Unavailable { endpoint: key, cause: cause.into() }
        }
        e => e,
    }
}
