//! An optimistic transaction: what a group of commands reads and writes before anything is written to the store.
//!
//! Every record that a command reads becomes a condition of the batch, so the batch is written only if everything it
//! was decided on still holds. That makes every command atomic without a lock in any engine.

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

/// How often a group is decided if another instance writes in between.
pub(super) const MAX_ATTEMPTS: usize = 8;

type Writes = BTreeMap<Key, Option<Vec<u8>>>;

/// What an entry of the audit trail says of a command, besides its actor, time and number.
pub(super) struct AuditNote {
    pub(super) action: AuditAction,
    /// The key of the changed record, or what else was acted on.
    pub(super) target: String,
    pub(super) before: Option<Value>,
    pub(super) after: Option<Value>,
}

/// The store as a group of commands sees it.
pub(super) struct Transaction<'s> {
    store: &'s mut dyn Store,
    /// The time of the group.
    pub(super) now: Micros,
    /// What staged commands and the present one have read.
    read_set: BTreeMap<Key, Option<Entry>>,
    /// What was read from the store and not used by any command yet.
    prefetched: BTreeMap<Key, Option<Entry>>,
    /// The keys that the present command was the first to read.
    read_by_draft: Vec<Key>,
    /// The writes of the commands that succeeded.
    staged: Writes,
    /// The writes of the present command.
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

    /// Reads several records at once, since each read may be a call over the network. A record that no command uses
    /// becomes no condition.
    pub(super) fn prefetch(&mut self, keys: Vec<Key>) -> Result<(), StoreError> {
        let entries = self.store.get_many(&keys, self.now)?;
        self.prefetched.extend(keys.into_iter().zip(entries));
        Ok(())
    }

    /// A record's version and JSON.
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

    /// A record that must exist and have the expected version, if there is one.
    pub(super) fn require<T: DeserializeOwned>(
        &mut self,
        key: &Key,
        expected: Option<Revision>,
    ) -> Result<(Revision, T), StoreError> {
        let (found, record) = self.get(key)?.ok_or_else(|| StoreError::NotFound { key: key.text() })?;
        check_version(key, expected, found)?;
        Ok((found, record))
    }

    /// Writes a record.
    pub(super) fn put<T: Serialize>(&mut self, key: &Key, record: &T) -> Result<(), StoreError> {
        let value = encode(key, record)?;
        self.draft.insert(key.clone(), Some(value));
        Ok(())
    }

    /// Removes a record.
    pub(super) fn remove(&mut self, key: &Key) {
        self.draft.insert(key.clone(), None);
    }

    /// A page of the store, without this group's writes. It becomes no condition.
    pub(super) fn list(&mut self, query: &Query) -> Result<Page, StoreError> {
        self.store.list(query, self.now)
    }

    /// A counter's value; 0 before it is first set.
    pub(super) fn counter(&mut self, name: &str) -> Result<u64, StoreError> {
        Ok(self.get(&counter_key(name))?.map_or(0, |(_, count)| count))
    }

    pub(super) fn set_counter(&mut self, name: &str, count: u64) -> Result<(), StoreError> {
        self.put(&counter_key(name), &count)
    }

    /// Adds an entry to the audit trail.
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

    /// Adds the present command's writes to the group. Returns `false`, with the writes discarded, if the group would
    /// become too large: the command must be decided again in the next group.
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

    /// Forgets the present command's writes and what only it has read.
    pub(super) fn discard_draft(&mut self) {
        self.draft.clear();
        for key in self.read_by_draft.drain(..) {
            if let Some(entry) = self.read_set.remove(&key) {
                self.prefetched.insert(key, entry);
            }
        }
    }

    /// Whether the group writes anything.
    pub(super) fn has_writes(&self) -> bool {
        !self.staged.is_empty()
    }

    /// The whole group as one batch.
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

/// Whether a group may grow. The first command of a group always fits.
fn fits(present: usize, added: usize, maximum: usize) -> bool {
    present == 0 || present + added <= maximum
}

fn size_bytes(writes: &Writes) -> usize {
    writes.iter().map(|(key, value)| write_size_bytes(key, value.as_deref())).sum()
}

/// A record as the audit trail shows it.
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
